"""The types shared by the decision module and the programs that host it.

A host (the simulator adapter, or the node) implements `Port`, makes one `NodeController` for each node (see
controller.py) and reports to it what happens. Times are whole microseconds on one clock; an RPC is
named by a small index that the host assigns. Nothing in this file decides anything.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple, Protocol


class Outcome(Enum):
    """How a run, a call or the wait of a duplicate ended."""

    OK = "ok"
    ERROR = "error"  # it failed, and may have had its effect
    REJECTED = "rejected"  # rejected unseen: proves that it never ran
    TIMEOUT = "timeout"  # abandoned; may have had its effect
    UNREACHABLE = "unreachable"  # never connected: proves that it never ran
    CONNECTION_LOST = "connection lost"  # may have had its effect
    STOPPED = "stopped"  # the run was stopped or paused, or ended while awaiting a call
    NOT_STARTED = "not started"  # cancelled before start: proves that it never ran

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that nothing ran."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED))


class FleetQuota(NamedTuple):
    """What is left here of the fleet's limits on an RPC, of the limit that has the least left."""

    available: int  # RPCs that may be admitted now
    capacity: int  # of how many at most
    retry_after: int  # microseconds until there may be more


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
        """The gauges of a worker pool or simulator, by name; other readings are ignored."""
        return cls(core_use=readings.get("core_use"), on_cores=readings.get("on_cores"))


class Port(Protocol):
    """What the decision module can do. `index` names an RPC. Calls take effect in the order made."""

    def run(self, index: int) -> None:
        """Start a queued RPC, or resume a paused one."""

    def stop(self, index: int) -> None:
        """Stop work on a core; this is not an answer.

        What was done is lost, or kept where `can_pause` is set and an answer is owed. `run_ended` with
        `Outcome.STOPPED` reports that it took effect; it may not, during a stall or a call.
        """

    def reject(self, index: int, retry_after: int, do_not_retry: bool) -> None:
        """Final answer: it never ran here.

        The caller may come back after `retry_after` microseconds (0: no advice); `do_not_retry` asks it not
        to try another node either.
        """

    def fail(self, index: int) -> None:
        """Final answer: failed, without saying whether it ran."""

    def call(self, index: int, timeout: int) -> None:
        """Make the call that a run awaits; it is abandoned after `timeout` microseconds."""

    def degrade(self, index: int) -> None:
        """Leave out the call that a run awaits, for a degraded answer."""

    def answer_duplicate(self, index: int) -> None:
        """Answer a duplicate from the result of the first RPC of its key, once that is known."""

    def store_key(self, index: int, ttl: int) -> None:
        """Keep the RPC's idempotency key for `ttl` microseconds, so that duplicates are recognized."""

    def evict_key(self, index: int) -> None:
        """Remove the RPC's idempotency key."""

    def set_health(self, healthy: bool, cached: bool) -> None:
        """How health checks are answered from now on; `cached`: without doing work for each."""

    def set_shed_level(self, level: float) -> None:
        """The shed level (0 to 1) that is published with all answers."""

    def set_credit(self, credit: float) -> None:
        """How many RPCs each caller may have open here, published with all answers."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""

    def set_timer(self, delay: int, name: str) -> None:
        """Ask for `NodeController.on_timer(now, name, gauges)` after `delay` microseconds."""

    def log(self, text: str) -> None:
        """One line for the operators."""

    def release(self, index: int) -> None:
        """The decision module won't name this index again."""
