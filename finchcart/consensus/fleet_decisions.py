"""The fleet's decisions as this node derives them from all reports, and the operators' overrides.

Owns the other members' reports, the decisions in force and the overrides, which take precedence over
decisions. This module must never publish anything, nor act on a decision. Times are microseconds on the boot
clock.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from finchcart.consensus.active_decisions import ActiveDecisions
from finchcart.consensus.collector import ReportCollector
from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.decision import Decision, decide
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.overrides import OverrideTable
from finchcart.consensus.subjects import LEVEL_SCALE, LEVEL_SUBJECT, SubjectKind, kind_of
from finchcart.membership.member import Member

NO_LEVEL = Decision(0, 0, 0)

MemberReports = Mapping[int, Sequence[ObservationReport]]  # a member's reports, by member id


class DecisionInputs(NamedTuple):
    """All that the decision rules depend on; decisions are derived anew only when it changes."""

    reports: MemberReports
    member_count: int
    is_alone: bool
    config: ConsensusConfig


class FleetDecisions:
    """Derives decisions from reports and keeps those in force, with the overrides.

    Its state is bounded by the number of members, by their reports and by `config.max_overrides`.

    Arguments:
        own_subject: the subject of this node.
        config: thresholds and durations.
        count: counts ignored entries, by reason.

    Attributes:
        level: the load-shedding level that the fleet decided on, 0 to 1.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig, count: Callable[[str], None]) -> None:
        self.config = config
        self.collector = ReportCollector(config, count)
        self.overrides = OverrideTable(config.max_overrides)
        self.active = ActiveDecisions(own_subject, config)
        self.level = 0.0
        self._last_inputs: DecisionInputs | None = None
        self._decisions: dict[int, Decision] = {}

    def set_config(self, config: ConsensusConfig) -> None:
        """Apply a new configuration to all parts."""
        self.config = config
        self.collector.config = config
        self.active.config = config
        self.overrides.max_overrides = config.max_overrides

    def on_clock_gap(self) -> None:
        """Drop the decisions from before a suspension; the other nodes may have decided differently since."""
        self.active.clear()
        self.collector.on_clock_gap()

    def update(self, now: int, member: Member, reports: MemberReports, *, is_alone: bool) -> None:
        """Derive the decisions from the present reports and update those in force.

        Arguments:
            now: microseconds on the boot clock.
            member: the membership protocol of this node; reports are piggybacked on its heartbeats.
            reports: the accepted reports by member id, those of this node included.
            is_alone: this node has no contact with the fleet and decides by its own reports alone.
        """
        inputs = DecisionInputs(reports, self.collector.member_count, is_alone, self.config)
        if inputs != self._last_inputs:
            config = self.config
            if is_alone:
                config = replace(config, min_reports=1, min_zones=1, source_quorum=0.0)
            self._last_inputs = inputs
            self._decisions = decide(reports, config, inputs.member_count)
        decisions = dict(self._decisions)
        self.level = decisions.pop(LEVEL_SUBJECT, NO_LEVEL).value / LEVEL_SCALE
        self.active.update(now, decisions, self.reaction_time_bound(member))

    def values_in_force(self) -> dict[int, int]:
        """Return the values in force by subject; an operator's override replaces a decision."""
        values = self.active.values()
        for subject, override in self.overrides.by_subject.items():
            if override.message.value and kind_of(subject) != SubjectKind.LEVEL:
                values[subject] = override.message.value
        return values

    def minimum_level(self) -> float:
        """Return the lowest shed level that nodes may announce.

        This is an operator's override, or else the fleet's level less `level_step`.
        """
        overridden = self.overrides.active_value(LEVEL_SUBJECT)
        if overridden:
            return overridden / LEVEL_SCALE
        return max(0.0, self.level - self.config.level_step)

    def reaction_time_bound(self, member: Member) -> int:
        """Return the microseconds until all connected nodes act, at the measured loss and tick delay."""
        return self.config.reaction_time_bound(
            member.config, self.collector.member_count, member.loss, member.lateness
        )
