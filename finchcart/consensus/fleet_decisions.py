"""What the fleet decides, as this node works it out of all reports, and the overrides over it.

Owns the reports of the others, the decisions in force and operators' overrides. It must never publish
anything, nor act on a decision. Times are microseconds on the boot clock.
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

MemberReports = Mapping[int, Sequence[ObservationReport]]  # id of a member -> its reports


class DecisionBasis(NamedTuple):
    """What decisions were made of: the same gives the same."""

    reports: MemberReports
    member_count: int
    is_alone: bool
    config: ConsensusConfig


class FleetDecisions:
    """Bounded by the members there are, by what they report, and by `config.max_overrides`.

    Arguments:
        own_subject: of this node.
        config: thresholds and durations.
        count: counts what was left out, by reason.

    Attributes:
        level: of load shedding, as the fleet decides it, 0 to 1.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig, count: Callable[[str], None]) -> None:
        self.config = config
        self.collector = ReportCollector(config, count)
        self.overrides = OverrideTable(config.max_overrides)
        self.active = ActiveDecisions(own_subject, config)
        self.level = 0.0
        self._basis: DecisionBasis | None = None
        self._decisions: dict[int, Decision] = {}

    def set_config(self, config: ConsensusConfig) -> None:
        """Take a new configuration."""
        self.config = config
        self.collector.config = config
        self.active.config = config
        self.overrides.max_overrides = config.max_overrides

    def on_clock_gap(self) -> None:
        """Drop what was decided before a suspension; others may have seen otherwise meanwhile."""
        self.active.clear()
        self.collector.on_clock_gap()

    def update(self, now: int, member: Member, reports: MemberReports, *, is_alone: bool) -> None:
        """Decide anew.

        Arguments:
            now: microseconds on the boot clock.
            member: on whose heartbeats the reports are piggybacked.
            reports: that count, this node's among them.
            is_alone: this node has no contact with the fleet: its own reports are enough, and the only ones.
        """
        basis = DecisionBasis(reports, self.collector.member_count, is_alone, self.config)
        if basis != self._basis:
            config = self.config
            if is_alone:
                config = replace(config, min_reports=1, min_zones=1, source_quorum=0.0)
            self._basis = basis
            self._decisions = decide(reports, config, basis.member_count)
        decisions = dict(self._decisions)
        self.level = decisions.pop(LEVEL_SUBJECT, NO_LEVEL).value / LEVEL_SCALE
        self.active.update(now, decisions, self.reaction_time_bound(member))

    def values_in_force(self) -> dict[int, int]:
        """Return subject -> value: of decisions, and over them the overrides of operators."""
        values = self.active.values()
        for subject, override in self.overrides.by_subject.items():
            if override.message.value and kind_of(subject) != SubjectKind.LEVEL:
                values[subject] = override.message.value
        return values

    def minimum_level(self) -> float:
        """Return the least level that nodes may announce: the fleet's less a step, or an override."""
        overridden = self.overrides.active_value(LEVEL_SUBJECT)
        if overridden:
            return overridden / LEVEL_SCALE
        return max(0.0, self.level - self.config.level_step)

    def reaction_time_bound(self, member: Member) -> int:
        """Return the microseconds until all connected nodes act, at the measured loss and lateness."""
        return self.config.reaction_time_bound(
            member.config, self.collector.member_count, member.loss, member.lateness
        )
