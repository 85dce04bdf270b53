"""What the node calls of its decision module: `NodeController`, or the pair of watch mode.

Owns types alone. Times are whole microseconds.
"""

from typing import Protocol

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome


class ControlledRpc(Protocol):
    """The handle of one RPC, on which the node reports what happens to it."""

    def run_ended(self, now: int, outcome: Outcome, spent: int, /) -> None:
        """Report the end of its run, or of its wait as a duplicate."""

    def caller_gone(self, now: int, /) -> None:
        """Report that its caller no longer waits."""

    def awaiting_call(self, now: int, /) -> None:
        """Report that its run awaits a call."""

    def call_ended(self, now: int, outcome: Outcome, spent: int, /) -> None:
        """Report the end of its call."""


class Controller(Protocol):
    """The decision module of a node."""

    @property
    def own_shed_level(self) -> float:
        """The shed level that this node alone would publish."""

    def start(self, now: int, /) -> None:
        """Begin to serve."""

    def admit(self, now: int, index: int, arrival: RpcArrival, /) -> ControlledRpc:
        """Decide on an RPC that was read to its end."""

    def on_timer(self, now: int, gauges: Gauges, /) -> None:
        """Handle the due timer."""

    def worker_pool_restarted(self, now: int, cold: bool, /) -> None:
        """Handle the restart of the worker pool: all runs are lost."""

    def drain(self, now: int, kill_at: int, /) -> None:
        """Begin the graceful shutdown."""
