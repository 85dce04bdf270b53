"""Measurements that the host passes with each timer event.

This module stores the latest measurements. It must not read a clock or measure anything itself.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Gauges(NamedTuple):
    """Measurements that the host passes with each timer event, and decisions of the fleet's consensus."""

    core_use: float | None = None  # utilization of the cores, averaged; None: not measured
    on_cores: float | None = None  # runs and reads that need a core now; None: not measured
    call_capacity: int | None = None  # concurrent calls that the fleet's limit allows; None: no such limit
    ejected: bool = False  # the consensus is that this node must report itself unhealthy
    min_shed_level: float = 0.0  # lowest shed level to publish and apply, set by the consensus
    dependency_down: bool = False  # by consensus, the dependency is down; `call_capacity` limits probe calls
    input_busy: float = 0.0  # fraction of the time in which the host processed its inputs
    input_age: int = 0  # microseconds that the oldest recent input waited in the host

    @classmethod
    def from_readings(cls, readings: Mapping[str, float]) -> "Gauges":
        """Return the gauges among readings of a worker pool or simulator; ignore readings of other names."""
        return cls(core_use=readings.get("core_use"), on_cores=readings.get("on_cores"))


class LatestGauges:
    """The latest gauges, in plain fields because admission reads them for each RPC.

    Invariant: a gauge that the host did not measure is derived from the counts of runs.
    """

    def __init__(self) -> None:
        """Begin with all gauges at zero."""
        self.update(Gauges(core_use=0.0, on_cores=0.0), 0, 1)

    def update(self, gauges: Gauges, runs_on_cores: int, cores: float) -> None:
        """Store the gauges of a timer event."""
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
