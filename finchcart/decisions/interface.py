"""The types shared by the decision module and the programs that host it.

A host (the simulator adapter, or the node) implements `Port`, makes one `NodeController` for each node (see
controller.py) and reports to it what happens. Times are whole microseconds on one clock; an RPC is
named by a small index that the host assigns. Nothing in this file decides anything.

Settings are one flat mapping (finchcart/settings.py reads it from a configuration). The decision module looks
for these names, all optional but `cores` and the methods:

- `methods.count`, and for each method N: `methods.N.name`, `.kind` (`idempotent`, `keyed`,
  `non_idempotent`), `.criticality`, `.latency_target`, `.deadline`, `.window` (of its idempotency keys),
  `.late_value`
- for each method, as a tuple: `degraded_value` (value of an answer without its optional call; 0: the call is
  not optional) and `method_calls` (whether a run makes a call)
- `cores`, `memory_kb`, `run_factor` (memory of a running RPC over that of a queued one), `key_entry_kb`,
  `tick`, `can_stop` (running work can be stopped), `can_pause` (with it: a run that is stopped while an
  answer is owed is paused, keeps its memory, and is resumed by `Port.run`)
- `drain_grace` (for so long RPCs are served after the drain notice), `overload_factor` (running RPCs that a
  core survives), `fresh_start`, `cold_start_speed`, `warm_up` (a fresh start begins at this part of its speed
  and reaches all of it after this time)
- `dependency` (`shared`, the default, or `tier`), `calls_limit`, `calls_window`, `calls_linger`: the node's
  share of the dependency, where it is shared
- `feedback` (`level`, `credit`; others are not used), `feedback_lifetime` (for so long callers heed it),
  `retry_after_max`, `idle_timeout_max`, `marks_retries` (false: retries carry no mark)
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
