"""What is fixed about a method: what its settings mean, and its rank among the methods of the node.

Owns these facts, worked out once at start. Nothing here decides; what is learned of a method stands in
finchcart/decisions/controller.py.
"""

from collections.abc import Sequence

from finchcart.decisions.node_settings import (
    DEFAULT_CRITICALITY,
    DEFAULT_DEADLINE_US,
    MethodKind,
    MethodSettings,
)


class MethodRecord:
    """One method. Times are microseconds."""

    def __init__(self, settings: MethodSettings, can_stop: bool) -> None:
        """Work out the method's facts; `can_stop`: running work can be stopped."""
        criticality = settings.criticality
        deadline_us = settings.deadline_us
        objective_us = settings.latency_objective_us
        self.name = settings.name
        self.keyed = settings.kind is MethodKind.KEYED
        self.idempotent = settings.kind is MethodKind.IDEMPOTENT
        self.criticality: float = DEFAULT_CRITICALITY if criticality is None else criticality
        self.criticality_rank = 0  # among those of the node; 0: the least critical
        self.more_critical: list[MethodRecord] = []
        self.less_critical: list[MethodRecord] = []
        self.deadline = DEFAULT_DEADLINE_US if deadline_us is None else deadline_us
        self.latency_objective = self.deadline if objective_us is None else objective_us
        self.key_window = settings.key_window_us
        self.degraded_value = settings.degraded_value
        self.needs_call = settings.makes_call and not settings.degraded_value
        self.stoppable = self.idempotent and can_stop
        self.worthless_when_late = self.stoppable and not settings.late_value


def order_by_criticality(methods: Sequence[MethodRecord]) -> int:
    """Set each method's rank, and those above and below it; return the number of ranks."""
    criticalities = sorted({method.criticality for method in methods})
    for method in methods:
        method.criticality_rank = criticalities.index(method.criticality)
        method.more_critical = [other for other in methods if other.criticality > method.criticality]
        method.less_critical = [other for other in methods if other.criticality < method.criticality]
    return len(criticalities)
