"""The methods of a node: their settings, the estimates of their runs, and how much of each is admitted.

Owns the link between the three. `admission_probability` and `relative_latency` are written by
admission_control.py alone. Times are microseconds.
"""

from collections.abc import Mapping

from finchcart.decisions.node_settings import MethodSettings, order_by_criticality
from finchcart.decisions.service_time import ServiceTimeEstimates
from finchcart.decisions.units import SECOND

DEFAULT_DEADLINE = 5 * SECOND
OBJECTIVE_WITHOUT_METHODS = SECOND


class Method(MethodSettings):
    """One method. Invariant: `admission_probability` is above 0, and 1 at most."""

    def __init__(self, settings: Mapping[str, object], number: int, cold_factor: float) -> None:
        """Read method `number` (from 0) of the settings; `cold_factor`: see `ServiceTimeEstimates`."""
        super().__init__(settings, number, DEFAULT_DEADLINE)
        self.admission_probability = 1.0
        self.relative_latency = 0.0  # expected latency over its setpoint
        self.estimates = ServiceTimeEstimates(self.latency_objective, cold_factor)


class MethodSet:
    """All methods of a node. Invariant: the criticality ranks of `all` are 0 to `rank_count` - 1."""

    def __init__(self, settings: Mapping[str, object], cold_factor: float) -> None:
        """Take the methods of these settings, in their order."""
        numbers = range(settings.get("methods.count", 0))
        self.all = [Method(settings, number, cold_factor) for number in numbers]
        self.by_name = {method.name: method for method in self.all}
        self.rank_count = order_by_criticality(self.all)
        objectives = (method.latency_objective for method in self.all)
        self.shortest_objective = min(objectives, default=OBJECTIVE_WITHOUT_METHODS)
