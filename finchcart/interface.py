"""The types between the decision module and whatever carries its decisions out.

A front (the simulator's wire today, a network protocol later) implements `Port`, makes one `Control` for each
node (see `finchcart/control.py`) and calls it with what happens. Times are whole microseconds on one clock;
an RPC is named by a small index that the front hands out. Nothing in this file decides anything.

Settings are one plain map. Names that the module looks for, all optional but `cores` and the methods:

- `methods.count`, `methods.N.name`, `.kind` (`idempotent`, `tokened`, `non_idempotent`), `.criticality`,
  `.latency_target`, `.deadline`, `.window`, `.late_worth`; `method_poorer` (worth of an answer without
  calls), `method_calls` (whether a run makes a call)
- `cores`, `memory_kb`, `run_factor`, `entry_kb`, `tick`, `can_stop` (running work can be stopped),
  `can_pause` (with it: what is stopped while it owes its answer is paused, keeps its memory, goes on by
  `Port.run`)
- `grace` (served after the drain notice), `crowd` (running RPCs a core survives), `fresh_start`,
  `cold_start`, `cold` (a fresh start begins at this part of its speed and is warm after this time)
- `below` (`shared`, the default, or `tier`), `calls_limit`, `calls_window`, `calls_linger` (the node's share
  of the dependency, where it is shared)
- `told` (`level`, `credit`, or another: not used), `told_heeded` (for so long callers mind it), `advice_max`,
  `idle_max`, `marks_further` (false: further tries carry no mark)

Gauges that `Control.wake` looks for, all optional: `core_use` (busy part of the cores, averaged),
`on_cores` (what wants a core now), `calls_room` (calls that may be in hand, where a
fleet shares a limit out: all of it may be used), of the fleet's verdicts `told_out` (this node is to tell bad
health), `told_level` (the least that it may tell and keep to) and `below_down` (the dependency is held to be
down: `calls_room` are trial calls), and of the node itself `intake_use` (part of the time in
which inputs were worked on) and `intake_age` (the longest that an input lately waited).
"""

from enum import Enum
from typing import Protocol


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"  # it failed, and may have had its effect
    FULL = "full"  # turned away unseen: proves that it never ran
    TIMEOUT = "timeout"  # given up; may have had its effect
    UNREACHED = "unreached"  # proves that it never ran
    BROKEN_OFF = "broken off"  # may have had its effect
    STOPPED = "stopped"  # the run was stopped, or ended at a call
    MOOT = "moot"  # nothing started: the RPC was over already

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT)


class Port(Protocol):
    """What the module can do. `index` is the small index of an RPC. Calls take effect in the order made."""

    def run(self, index: int) -> None:
        """Start a held RPC, or let a paused one go on."""

    def stop(self, index: int) -> None:
        """Stop work on a core; not an answer. What was done is lost, or kept where `can_pause` is told and an
        answer is owed. `Rpc.ended` with `STOPPED` tells that it took effect; it may not (a stall, a call)."""

    def push_back(self, index: int, wait: int, last: bool) -> None:
        """Final answer: it never ran here. Come back after `wait`; `last`: don't try elsewhere."""

    def abort(self, index: int) -> None:
        """Final answer: failed, with no word on whether it ran."""

    def call(self, index: int, limit: int) -> None:
        """Make the call that an RPC stands at, given up after `limit`."""

    def skip(self, index: int) -> None:
        """Leave the call out, for a poorer answer."""

    def share(self, index: int) -> None:
        """Answer a repeat from the result of the RPC that it repeats."""

    def remember(self, index: int, keep: int) -> None:
        """Keep the RPC in the table for `keep`, so that repeats are known."""

    def forget(self, index: int) -> None:
        """Take the RPC's entry out of the table."""

    def health(self, good: bool, stored: bool) -> None:
        """How health checks are answered from now on; `stored`: without doing work for each."""

    def level(self, value: float) -> None:
        """The value that rides on all answers."""

    def credit(self, value: float) -> None:
        """How many RPCs each caller may have out here, told with all answers; a fraction counts by chance."""

    def idle_limit(self, keep: int) -> None:
        """Close connections that idle for `keep`."""

    def wake_in(self, delay: int, name: str) -> None:
        """Ask for `Control.wake` after `delay`."""

    def log(self, text: str) -> None:
        """One line for the operators."""

    def release(self, index: int) -> None:
        """The module won't name this index again."""
