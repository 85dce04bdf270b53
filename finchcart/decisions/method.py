"""Methods of a node: values derived from their settings, estimates of their runs, and their admission state.

The derived values are computed once at start. Only admission_control.py writes `admission_probability` and
`relative_latency`, and only rpc_events.py updates the estimates. Times are microseconds.
"""

from finchcart.decisions.node_settings import (
    DEFAULT_CRITICALITY,
    DEFAULT_DEADLINE_US,
    MethodKind,
    MethodSettings,
    NodeSettings,
)
from finchcart.decisions.service_time import ServiceTimeEstimates
from finchcart.decisions.units import SECOND

OBJECTIVE_WITHOUT_METHODS = SECOND
# Lower bound of the speed of a cold node, as a fraction of the full speed. A lower setting is implausible and
# is raised to this bound.
MIN_COLD_SPEED = 0.1


class Method:
    """One method. Invariant: `admission_probability` is above 0, and at most 1."""

    def __init__(self, settings: MethodSettings, can_stop: bool, cold_factor: float) -> None:
        """Derive the method's values from its settings.

        `can_stop` tells whether runs can be stopped; `cold_factor` is described at `ServiceTimeEstimates`.
        """
        criticality = settings.criticality
        deadline_us = settings.deadline_us
        objective_us = settings.latency_objective_us
        self.name = settings.name
        self.keyed = settings.kind is MethodKind.KEYED
        self.idempotent = settings.kind is MethodKind.IDEMPOTENT
        self.criticality: float = DEFAULT_CRITICALITY if criticality is None else criticality
        self.criticality_rank = 0  # rank among the criticalities of the node's methods; 0: the lowest
        self.more_critical: list[Method] = []
        self.less_critical: list[Method] = []
        self.deadline = DEFAULT_DEADLINE_US if deadline_us is None else deadline_us
        self.latency_objective = self.deadline if objective_us is None else objective_us
        self.key_window = settings.key_window_us
        self.degraded_value = settings.degraded_value
        self.needs_call = settings.makes_call and not settings.degraded_value
        self.stoppable = self.idempotent and can_stop
        self.worthless_when_late = self.stoppable and not settings.late_value
        self.estimates = ServiceTimeEstimates(self.latency_objective, cold_factor)
        self.admission_probability = 1.0
        self.relative_latency = 0.0  # ratio of the expected latency to its setpoint


class MethodSet:
    """All methods of a node. Invariant: the criticality ranks of `all` are 0 to `rank_count` - 1."""

    def __init__(self, settings: NodeSettings) -> None:
        """Create the methods in the order in which the settings list them."""
        cold_speed = settings.cold_start_speed if settings.fresh_start else 1
        cold_factor = 1 / max(cold_speed, MIN_COLD_SPEED)
        self.all = [Method(method, settings.can_stop, cold_factor) for method in settings.methods]
        self.by_name = {method.name: method for method in self.all}
        self.rank_count = self._rank_by_criticality()
        objectives = (method.latency_objective for method in self.all)
        self.shortest_objective = min(objectives, default=OBJECTIVE_WITHOUT_METHODS)

    def _rank_by_criticality(self) -> int:
        """Set each method's rank and lists of more and less critical methods; return the number of ranks."""
        criticalities = sorted({method.criticality for method in self.all})
        for method in self.all:
            method.criticality_rank = criticalities.index(method.criticality)
            method.more_critical = [other for other in self.all if other.criticality > method.criticality]
            method.less_critical = [other for other in self.all if other.criticality < method.criticality]
        return len(criticalities)
