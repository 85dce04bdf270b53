"""The measurements that a host hands over with each timer.

Owns the type alone; it must never read a clock or measure anything itself.
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
