"""The configuration of consensus, in one type, and the bounds that follow from it.

Owns the values that operators set; `FIELDS_BY_SETTING` maps the keys of the settings file to its fields. This
module must never hold state that is learnt at run time. Times are whole microseconds, fractions are from 0
to 1.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any

from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND
from finchcart.membership.config import MembershipConfig

# Maps the key of a setting, without its unit, to the name of its field where the two differ.
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
    """Durations, thresholds and bounds of consensus; see docs/operate/verdicts.md for how to choose them."""

    zone: str = ""  # the zone of this node, empty where the fleet has no zones
    min_zones: int = 1  # a decision needs reports from nodes in at least this many zones
    evidence_interval: int = 250 * MS  # how often the core hands its evidence to the consensus store
    observation_span: int = 2 * SECOND  # a report on the store or on runs covers a window of this length
    min_publish_interval: int = 300 * MS  # shortest time between two changes of this node's reports
    report_lifetime: int = 15 * SECOND  # a report that is not confirmed for this long is ignored
    quiet_period: int = 3 * SECOND  # after a suspension, this node publishes no reports for this long
    min_reports: int = 2  # the fewest reports that a decision can rest on
    store_quorum: float = 0.5  # a decision on the store needs more than this fraction of the voters
    min_hold_time: int = 2 * SECOND  # a decision stays in force this long; doubled with each recurrence
    max_hold_time: int = 16 * SECOND  # upper bound of the hold time after recurrences
    min_calls: int = 4  # the fewest calls in `observation_span` for a report on the store
    failed_fraction: float = 0.5  # at this fraction of failures, the store is down or a node is an outlier
    slow_factor: float = 4.0  # slow at this multiple of the usual call time or of the others' median run time
    probe_calls: int = 4  # concurrent calls of the whole fleet to a store that is down
    probe_timeout: int = 1 * SECOND  # timeout of a probe call
    recovery_step: int = 500 * MS  # when the store is back, the allowed calls double at each step
    max_bad_messages: int = 20  # unreadable messages and connections without an RPC, in `source_span`
    source_span: int = 10 * SECOND  # the window over which a node counts the bad messages of a source
    source_quorum: float = 0.25  # fraction of the members that must report a source; at least `min_reports`
    restriction_time: int = 30 * SECOND  # a source is reported until this long after its last excess
    throttled_rate: int = 5  # RPCs a second that each node admits from a throttled source
    max_blocked_fraction: float = 0.2  # fraction of all RPCs that decisions may block, over all sources
    min_runs: int = 20  # the fewest runs in `observation_span` for a report on the node
    max_ejected_fraction: float = 0.2  # fraction of the members that may be ejected at once
    runs_report_lifetime: int = 30 * SECOND  # an ejected node without runs repeats its last report this long
    level_step: float = 0.2  # a node's shed level may be below the fleet's by this much
    max_source_reports: int = 12  # sources that one node reports; the worst ones are chosen
    max_sources: int = 512  # sources that a node observes; `Observer` evicts one to make room
    max_overrides: int = 16  # operators' overrides; when full, the one that ends first is dropped
    recurrence_window: int = 30 * SECOND  # a decision that recurs within this time is held for longer

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> "ConsensusConfig":
        """Return the configuration for settings given by key without unit; times are microseconds."""
        return cls(**{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    def reaction_time_bound(
        self, membership: MembershipConfig, count: int, loss: float = 0.0, lateness: int = 0
    ) -> int:
        """Return the microseconds from enough nodes having the evidence until all connected nodes act.

        This is the sum of the evidence interval, a tick of the fleet thread, the publish interval, the
        dissemination, a tick of the receiver's fleet thread and the next timer of its core.

        Arguments:
            membership: the configuration of membership.
            count: the number of members.
            loss: the fraction of messages lost, 0 to 1.
            lateness: microseconds by which ticks run late.
        """
        dissemination = membership.dissemination_time(count, loss)
        if count > membership.watch_degree + 1:
            # Regular heartbeats relay an entry to two members each, so each step takes one period.
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
        """Return the microseconds from an outage of the store until all connected nodes act.

        The calls in the observation span have to fail first. For the arguments see `reaction_time_bound`.
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
        """Return the microseconds from the store's recovery until all nodes increase their calls again.

        `recurrences` is the number of recent recurrences of the outage; for the other arguments see
        `reaction_time_bound`.
        """
        return (
            2 * self.observation_span
            + self.hold_time(recurrences)
            + self.reaction_time_bound(membership, count, loss, lateness)
        )

    def hold_time(self, recurrences: int) -> int:
        """Return the shortest time in microseconds that a decision stays in force after `recurrences`."""
        return min(self.min_hold_time << recurrences, self.max_hold_time)

    def staleness_bound(self) -> int:
        """Return the greatest age, in microseconds, of a report that a decision can rest on."""
        return self.report_lifetime

    def required_reports(self, member_count: int) -> int:
        """Return the number of reports that a decision on a source needs in a fleet of `member_count`."""
        return max(self.min_reports, ceil(self.source_quorum * member_count))

    def excess_messages(self, per_second: int, member_count: int, within: int) -> int:
        """Return how many messages a source can send to all nodes before the last node acts on a decision.

        Arguments:
            per_second: the rate at which the source sends to one node.
            member_count: the number of members of the fleet.
            within: microseconds from the evidence until the last node acts.
        """
        return ceil(per_second * member_count * within / SECOND)


def config_errors(config: ConsensusConfig) -> Iterator[FieldProblem]:
    """Yield each combination of values that cannot be used."""
    if config.store_quorum <= 0:
        yield FieldProblem("part", "0 lets a single node decide for the whole fleet")
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
    """Yield each value that can be used but is probably a mistake."""
    if config.min_reports < 2:
        yield FieldProblem("count", "1: one node that is wrong, or lies, shuts a source out for all")
    if config.max_blocked_fraction > 0.5:
        yield FieldProblem(
            "most_out", f"{config.max_blocked_fraction}: opinions may turn away more than half of all RPCs"
        )
