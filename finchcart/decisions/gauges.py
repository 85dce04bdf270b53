"""The measurements that a host hands over with each timer.

Owns the last ones. It must never read a clock or measure anything itself.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Gauges(NamedTuple):
    """Measurements that a host hands over with each timer."""

    core_use: float | None = None  # busy part of the cores, averaged; None: not measured
    on_cores: float | None = None  # what wants a core now, runs and reads; None: not measured
    call_capacity: int | None = None  # calls that the fleet's limit allows here at once; None: no such limit
    ejected: bool = False  # the fleet's consensus: this node is to report itself unhealthy
    min_shed_level: float = 0.0  # the fleet's consensus: the least shed level to publish and to keep to
    dependency_down: bool = False  # the fleet's consensus; `call_capacity` then counts probe calls
    input_busy: float = 0.0  # part of the time in which the host worked on its inputs
    input_age: int = 0  # microseconds that the oldest input waited lately

    @classmethod
    def from_readings(cls, readings: Mapping[str, float]) -> "Gauges":
        """Return the gauges of a worker pool or simulator, given by name; other readings are ignored."""
        return cls(core_use=readings.get("core_use"), on_cores=readings.get("on_cores"))


class LatestGauges:
    """The gauges of the last timer, as fields that are read on the path of each RPC.

    Invariant: what the host did not measure is taken from the counts of runs.
    """

    def __init__(self) -> None:
        """Begin without a measurement."""
        self.update(Gauges(core_use=0.0, on_cores=0.0), 0, 1)

    def update(self, gauges: Gauges, runs_on_cores: int, cores: float) -> None:
        """Take over the gauges of a timer."""
        core_use = gauges.core_use
        on_cores = gauges.on_cores
        self.core_use = min(1.0, runs_on_cores / cores) if core_use is None else core_use
        self.on_cores = runs_on_cores if on_cores is None else on_cores
        self.call_capacity = gauges.call_capacity
        self.ejected = gauges.ejected
        self.min_shed_level = gauges.min_shed_level
        self.dependency_down = gauges.dependency_down
        self.input_busy = gauges.input_busy
        self.input_age = gauges.input_age
