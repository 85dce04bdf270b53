"""Read what the other members publish, and leave out what must not count.

Owns the reports and overrides read from each member's gossip entry and how often each member changes them.
It must never take a report for younger than it can be, nor one that a node makes of another node's runs.
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

RATE_WINDOW_US = 10_000_000  # a member that changes its reports too often in this is muted for as long

# Looked up for every member in each tick: plain numbers cost a quarter of an enum's.
OBSERVATIONS = GossipTopic.OBSERVATIONS.value
OVERRIDES = GossipTopic.OVERRIDES.value

Precedence = tuple[int, int]


class ReceivedOverride(NamedTuple):
    """An override that another member published."""

    message: OperatorOverride
    ends_at: int  # boot clock of this process, microseconds
    origin: str  # name of the node that published it


class ChangeRate:
    """How often a member changed its reports since `window_start`."""

    __slots__ = ("first", "muted_until", "window_start")

    def __init__(self, now: int, precedence: Precedence) -> None:
        self.window_start = now
        self.first = precedence  # of the entry that the window began with
        self.muted_until = 0

    def changes(self, now: int, precedence: Precedence) -> int:
        """Return the changes in this window, up to the entry of that precedence."""
        if precedence[0] != self.first[0] or now - self.window_start > RATE_WINDOW_US:
            self.window_start = now
            self.first = precedence
        return precedence[1] - self.first[1]


class ReportCollector:
    """Bounded by the members there are.

    Arguments:
        config: the lifetime of a report and the pace of changes.
        count: counts what was left out, by reason.
    """

    def __init__(self, config: ConsensusConfig, count: Callable[[str], None]) -> None:
        self.config = config
        self.oldest_age = 0  # microseconds, of the reports that counted last
        self.reporting_count = 0  # members whose reports counted last
        self.member_count = 1  # members in the fleet, this one included
        self._count = count
        self._read: dict[int, tuple[Precedence, list[ObservationReport] | None]] = {}
        self._overrides_read: dict[int, Precedence] = {}
        self._change_rates: dict[int, ChangeRate] = {}

    def on_clock_gap(self) -> None:
        """Start anew after a suspension: many changes may come at once, and overrides are read again."""
        self._change_rates.clear()
        self._overrides_read.clear()

    def new_overrides(self, member: Member) -> Iterator[ReceivedOverride]:
        """Yield the overrides in entries that were not read yet."""
        for (member_id, topic), held in member.gossip.received.items():
            if topic != OVERRIDES or held.written_at is None:
                continue
            known = member.known_members.get(member_id)
            if known is None:
                continue
            precedence = held.entry.precedence
            if self._overrides_read.get(member_id) == precedence:
                continue
            self._overrides_read[member_id] = precedence
            for message in decode_overrides(held.entry.payload) or ():
                ends_at = held.written_at + message.remaining_us
                yield ReceivedOverride(message, ends_at, known.record.name)

    def collect(self, now: int, member: Member, is_alone: bool) -> dict[int, list[ObservationReport]]:
        """Return id -> reports that count, of all other members in the fleet; none where it is alone."""
        self.oldest_age = 0
        self.reporting_count = 0
        self.member_count = 1
        self._forget_missing(member)
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
            held = received.get((member_id, OBSERVATIONS))
            if held is None or held.written_at is None or now - held.written_at > lifetime:
                continue
            reports = self._reports_that_count(now, member_id, held, known.record.name)
            if reports is not None:
                collected[member_id] = reports
                self.reporting_count += 1
                self.oldest_age = max(self.oldest_age, now - held.written_at)
        return collected

    def _reports_that_count(
        self, now: int, member_id: int, held: DatedEntry, name: str
    ) -> list[ObservationReport] | None:
        if self._changes_too_often(now, member_id, held.entry.precedence):
            return None
        return self._read_once(member_id, held, name)

    def _read_once(self, member_id: int, held: DatedEntry, name: str) -> list[ObservationReport] | None:
        """Return the reports in an entry, decoded when it is seen first.

        Of runs a node reports its own alone: others are left out.
        """
        precedence = held.entry.precedence
        read_precedence, reports = self._read.get(member_id, (None, None))
        if read_precedence == precedence:
            return reports
        reports = decode_reports(held.entry.payload)
        if reports is None:
            self._count("reports not valid")
        else:
            own = node_subject(name)
            reports = [
                each for each in reports if kind_of(each.subject) != SubjectKind.NODE or each.subject == own
            ]
        self._read[member_id] = precedence, reports
        return reports

    def _changes_too_often(self, now: int, member_id: int, precedence: Precedence) -> bool:
        rate = self._change_rates.get(member_id)
        if rate is None:
            rate = ChangeRate(now, precedence)
            self._change_rates[member_id] = rate
        allowed = 2 * RATE_WINDOW_US // self.config.min_publish_interval
        if rate.changes(now, precedence) > allowed and now >= rate.muted_until:
            rate.muted_until = now + RATE_WINDOW_US
            self._count("changes too often")
        return now < rate.muted_until

    def _forget_missing(self, member: Member) -> None:
        """Take out members that are not known any more."""
        known = member.known_members
        if len(self._read) > len(known):
            self._read = {one: read for one, read in self._read.items() if one in known}
            self._overrides_read = {one: read for one, read in self._overrides_read.items() if one in known}
            self._change_rates = {one: rate for one, rate in self._change_rates.items() if one in known}
