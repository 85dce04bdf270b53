"""Collects the reports and overrides that other members publish, and ignores those that must not count.

Owns the reports and overrides read from each member's gossip entry and how often each member changes its
reports. This module must never treat a report as more recent than the time at which it was written, and must
never accept a node's report about another node's runs.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.messages import ObservationReport, OperatorOverride, decode_overrides, decode_reports
from finchcart.consensus.subjects import SubjectKind, kind_of, node_subject
from finchcart.membership.gossip import DatedEntry
from finchcart.membership.member import Member
from finchcart.membership.messages import GossipTopic
from finchcart.membership.records import IN_FLEET

# Window of the change rate; also the time for which a member above the allowed rate is ignored.
RATE_WINDOW_US = 10_000_000

# Each tick looks these up for every member: a plain integer costs a quarter of an enum member's lookup.
OBSERVATIONS = GossipTopic.OBSERVATIONS.value
OVERRIDES = GossipTopic.OVERRIDES.value

Precedence = tuple[int, int]  # incarnation and sequence of a gossip entry


class ReceivedOverride(NamedTuple):
    """An override that another member published."""

    message: OperatorOverride
    ends_at: int  # time at which the override ends, in microseconds on the boot clock of this process
    origin: str  # name of the node that published it


class ChangeRate:
    """The number of times that a member changed its reports since `window_start`."""

    __slots__ = ("first", "ignored_until", "window_start")

    def __init__(self, now: int, precedence: Precedence) -> None:
        self.window_start = now
        self.first = precedence  # precedence of the first entry in the window
        self.ignored_until = 0

    def changes(self, now: int, precedence: Precedence) -> int:
        """Return the number of changes from the window's first entry to the entry of `precedence`."""
        if precedence[0] != self.first[0] or now - self.window_start > RATE_WINDOW_US:
            self.window_start = now
            self.first = precedence
        return precedence[1] - self.first[1]


class ReportCollector:
    """Reads members' gossip entries; its state is bounded by the number of known members.

    Arguments:
        config: sets the lifetime of a report and the shortest interval between changes.
        count: counts ignored entries, by reason.
    """

    def __init__(self, config: ConsensusConfig, count: Callable[[str], None]) -> None:
        self.config = config
        # Age in microseconds of the oldest report that the last collection accepted.
        self.oldest_age = 0
        self.reporting_count = 0  # number of members whose reports the last collection accepted
        self.member_count = 1  # number of members in the fleet, including this one
        self._count = count
        self._decoded: dict[int, tuple[Precedence, list[ObservationReport] | None]] = {}
        self._overrides_read: dict[int, Precedence] = {}
        self._change_rates: dict[int, ChangeRate] = {}

    def on_clock_gap(self) -> None:
        """Reset change rates and read all overrides again after a suspension of this process.

        Changes that the members made during the suspension may arrive all at once.
        """
        self._change_rates.clear()
        self._overrides_read.clear()

    def new_overrides(self, member: Member) -> Iterator[ReceivedOverride]:
        """Yield the overrides in gossip entries that have not been read yet."""
        for (member_id, topic), dated in member.gossip.received.items():
            if topic != OVERRIDES or dated.written_at is None:
                continue
            known = member.known_members.get(member_id)
            if known is None:
                continue
            precedence = dated.entry.precedence
            if self._overrides_read.get(member_id) == precedence:
                continue
            self._overrides_read[member_id] = precedence
            for message in decode_overrides(dated.entry.payload) or ():
                ends_at = dated.written_at + message.remaining_us
                yield ReceivedOverride(message, ends_at, known.record.name)

    def collect(self, now: int, member: Member, is_alone: bool) -> dict[int, list[ObservationReport]]:
        """Return the accepted reports of all other members in the fleet, by member id.

        The result is empty when `is_alone` is true: this node then has no contact with the fleet.
        """
        self.oldest_age = 0
        self.reporting_count = 0
        self.member_count = 1
        self._drop_unknown_members(member)
        collected: dict[int, list[ObservationReport]] = {}
        if is_alone:
            return collected
        lifetime = self.config.report_lifetime
        own_id = member.own_id
        received = member.gossip.received
        for member_id, known in member.known_members.items():
            if member_id == own_id or known.state not in IN_FLEET:
                continue
            self.member_count += 1
            dated = received.get((member_id, OBSERVATIONS))
            if dated is None or dated.written_at is None or now - dated.written_at > lifetime:
                continue
            reports = self._accepted_reports(now, member_id, dated, known.record.name)
            if reports is not None:
                collected[member_id] = reports
                self.reporting_count += 1
                self.oldest_age = max(self.oldest_age, now - dated.written_at)
        return collected

    def _accepted_reports(
        self, now: int, member_id: int, dated: DatedEntry, name: str
    ) -> list[ObservationReport] | None:
        if self._changes_too_often(now, member_id, dated.entry.precedence):
            return None
        return self._decode_once(member_id, dated, name)

    def _decode_once(self, member_id: int, dated: DatedEntry, name: str) -> list[ObservationReport] | None:
        """Return the reports in an entry, which is decoded only when it is first seen.

        A node may report only its own runs: reports about other nodes are dropped.
        """
        precedence = dated.entry.precedence
        decoded_precedence, reports = self._decoded.get(member_id, (None, None))
        if decoded_precedence == precedence:
            return reports
        reports = decode_reports(dated.entry.payload)
        if reports is None:
            self._count("reports not valid")
        else:
            own = node_subject(name)
            reports = [
                each for each in reports if kind_of(each.subject) != SubjectKind.NODE or each.subject == own
            ]
        self._decoded[member_id] = precedence, reports
        return reports

    def _changes_too_often(self, now: int, member_id: int, precedence: Precedence) -> bool:
        rate = self._change_rates.get(member_id)
        if rate is None:
            rate = ChangeRate(now, precedence)
            self._change_rates[member_id] = rate
        allowed = 2 * RATE_WINDOW_US // self.config.min_publish_interval
        if rate.changes(now, precedence) > allowed and now >= rate.ignored_until:
            rate.ignored_until = now + RATE_WINDOW_US
            self._count("changes too often")
        return now < rate.ignored_until

    def _drop_unknown_members(self, member: Member) -> None:
        """Drop the state of members that are no longer known."""
        known = member.known_members
        if len(self._decoded) > len(known):
            self._decoded = {key: decoded for key, decoded in self._decoded.items() if key in known}
            self._overrides_read = {key: read for key, read in self._overrides_read.items() if key in known}
            self._change_rates = {key: rate for key, rate in self._change_rates.items() if key in known}
