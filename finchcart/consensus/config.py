"""The configuration of consensus, in one type, and the bounds that follow from it.

Owns what operators set, by the names of the code; `FIELDS_BY_SETTING` has the words of the settings file. It
must never hold what is learnt while running. Times are whole microseconds, fractions are from 0 to 1.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any

from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND
from finchcart.membership.config import MembershipConfig

# Key of a setting (without its unit) -> the field, where they differ.
FIELDS_BY_SETTING = {
    "zones": "min_zones",
    "look": "evidence_interval",
    "span": "observation_span",
    "pace": "min_publish_interval",
    "life": "report_lifetime",
    "quiet": "quiet_period",
    "count": "min_reports",
    "part": "store_quorum",
    "hold": "min_hold_time",
    "hold_most": "max_hold_time",
    "calls": "min_calls",
    "failed": "failed_fraction",
    "slower": "slow_factor",
    "trials": "probe_calls",
    "trial": "probe_timeout",
    "rise": "recovery_step",
    "bad": "max_bad_messages",
    "bad_span": "source_span",
    "source_part": "source_quorum",
    "shut": "restriction_time",
    "slowed": "throttled_rate",
    "most_out": "max_blocked_fraction",
    "runs": "min_runs",
    "out_part": "max_ejected_fraction",
    "node_hold": "runs_report_lifetime",
    "opinions": "max_source_reports",
    "subjects": "max_sources",
    "words": "max_overrides",
    "again": "recurrence_window",
}


@dataclass(frozen=True)
class ConsensusConfig:
    """Spans, thresholds and bounds; see docs/operate/verdicts.md for how to choose them."""

    zone: str = ""  # of this node; reports from `min_zones` of them are needed
    min_zones: int = 1
    evidence_interval: int = 250 * MS  # the core hands on what it saw so often
    observation_span: int = 2 * SECOND  # of calls and runs that a report rests on
    min_publish_interval: int = 300 * MS  # between two changes of the own reports
    report_lifetime: int = 15 * SECOND  # a report that is not confirmed for so long is void
    quiet_period: int = 3 * SECOND  # after a suspension this node reports nothing for so long
    min_reports: int = 2  # reports that a decision needs at least
    store_quorum: float = 0.5  # of those that could know, and more: store
    min_hold_time: int = 2 * SECOND  # of a decision in force; doubled each time that it comes back soon
    max_hold_time: int = 16 * SECOND
    min_calls: int = 4  # in a span, for a report of the store
    failed_fraction: float = 0.5  # of calls, or of runs, that failed: down, or failing
    slow_factor: float = 4.0  # times the usual time of calls, or the median of other nodes' runs: slow
    probe_calls: int = 4  # at once, of the whole fleet to a store that is down
    probe_timeout: int = 1 * SECOND  # the longest of these
    recovery_step: int = 500 * MS  # once it is back, calls double at each step of this length
    max_bad_messages: int = 20  # messages that can't be read and connections without an RPC, in `source_span`
    source_span: int = 10 * SECOND
    source_quorum: float = 0.25  # of the members that have to report a source, and at least `min_reports`
    restriction_time: int = 30 * SECOND  # a source is reported for so long after the last that was seen
    throttled_rate: int = 5  # RPCs a second that each node admits of a source that is throttled
    max_blocked_fraction: float = 0.2  # of all RPCs: what comes from sources blocked by reports together
    min_runs: int = 20  # in a span, for a report of a node
    max_ejected_fraction: float = 0.2  # of the members that may be ejected at once
    runs_report_lifetime: int = 30 * SECOND  # an ejected node that runs nothing keeps its numbers for so long
    level_step: float = 0.2  # a node may be laxer than the fleet's level by this
    max_source_reports: int = 12  # reports of sources, by one node: the worst
    max_sources: int = 512  # sources observed by a node; see `Observer` for what happens when full
    max_overrides: int = 16  # overrides of operators; the one that ends first goes when full
    recurrence_window: int = 30 * SECOND  # a decision that comes back within this stands for longer each time

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> "ConsensusConfig":
        """Return the configuration of settings by key (without its unit); times are microseconds."""
        return cls(**{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    def reaction_time_bound(
        self, membership: MembershipConfig, count: int, loss: float = 0.0, lateness: int = 0
    ) -> int:
        """Return the microseconds from enough nodes having the evidence until all connected nodes act.

        The sum of the core's look, the fleet's thread, the pace of changes, dissemination, the thread at the
        other end and the core's next timer.

        Arguments:
            membership: the configuration of membership.
            count: of members.
            loss: part of messages lost, 0 to 1.
            lateness: microseconds by which ticks run late.
        """
        dissemination = membership.dissemination_time(count, loss)
        if count > membership.watch_degree + 1:
            # Passed on with the usual heartbeats, to two each: a period a step.
            steps = (count // membership.watch_degree).bit_length() + 2
            dissemination += steps * membership.period
        return (
            self.evidence_interval
            + self.min_publish_interval
            + dissemination
            + 3 * membership.tick
            + 3 * lateness
        )

    def store_reaction_time_bound(
        self, membership: MembershipConfig, count: int, loss: float = 0.0, lateness: int = 0
    ) -> int:
        """Return the microseconds from a fault of the store until all connected nodes act.

        The observation span has to fill first. The arguments are those of `reaction_time_bound`.
        """
        return (
            self.observation_span
            + self.probe_timeout
            + self.reaction_time_bound(membership, count, loss, lateness)
        )

    def store_recovery_time_bound(
        self,
        membership: MembershipConfig,
        count: int,
        recurrences: int = 0,
        loss: float = 0.0,
        lateness: int = 0,
    ) -> int:
        """Return the microseconds from the store's return until calls rise again everywhere.

        `recurrences`: how often it fell lately; the other arguments are those of `reaction_time_bound`.
        """
        return (
            2 * self.observation_span
            + self.hold_time(recurrences)
            + self.reaction_time_bound(membership, count, loss, lateness)
        )

    def hold_time(self, recurrences: int) -> int:
        """Return the microseconds that a decision stays in force at least, after so many recurrences."""
        return min(self.min_hold_time << recurrences, self.max_hold_time)

    def staleness_bound(self) -> int:
        """Return the greatest age, in microseconds, of a report that a decision can rest on."""
        return self.report_lifetime

    def required_reports(self, member_count: int) -> int:
        """Return the number of reports that a decision on a source needs, of so many members."""
        return max(self.min_reports, ceil(self.source_quorum * member_count))

    def excess_messages(self, per_second: int, member_count: int, within: int) -> int:
        """Return how many messages a source can have sent to all nodes before the last one acts.

        Arguments:
            per_second: that it sends to one node.
            member_count: of the fleet.
            within: microseconds between the evidence and the last node that acts.
        """
        return ceil(per_second * member_count * within / SECOND)


def config_errors(config: ConsensusConfig) -> Iterator[FieldProblem]:
    """Yield what cannot be used."""
    if config.store_quorum <= 0:
        yield FieldProblem("part", "0 lets one node alone speak for all")
    if config.report_lifetime < 3 * config.observation_span:
        yield FieldProblem(
            "life_ms",
            f"{config.report_lifetime // MS} ms is less than "
            f"3 x span_ms = {3 * config.observation_span // MS} ms: "
            "opinions would be void before they are confirmed",
        )
    if config.max_hold_time < config.min_hold_time:
        yield FieldProblem(
            "hold_most_ms",
            f"{config.max_hold_time // MS} ms is less than hold_ms, {config.min_hold_time // MS} ms",
        )


def config_warnings(config: ConsensusConfig) -> Iterator[FieldProblem]:
    """Yield what can be used, but is seldom meant."""
    if config.min_reports < 2:
        yield FieldProblem("count", "1: one node that is wrong, or lies, shuts a source out for all")
    if config.max_blocked_fraction > 0.5:
        yield FieldProblem(
            "most_out", f"{config.max_blocked_fraction}: opinions may turn away more than half of all RPCs"
        )
