"""The interface of the decision module as the node calls it.

`NodeController` implements this interface; `ShadowController` does so in watch mode, in which a second
decision module with other settings runs beside the active one and is only observed (shadow.py). This module
contains only types. Times are whole microseconds.
"""

from typing import Protocol

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome


class ControlledRpc(Protocol):
    """The handle of one RPC, on which the node reports what happens to it."""

    def run_ended(self, now: int, outcome: Outcome, spent: int, /) -> None:
        """Report the end of the RPC's run, or of its wait as a duplicate."""

    def caller_gone(self, now: int, /) -> None:
        """Report that the RPC's caller no longer waits."""

    def awaiting_call(self, now: int, /) -> None:
        """Report that the RPC's run awaits a call."""

    def call_ended(self, now: int, outcome: Outcome, spent: int, /) -> None:
        """Report the end of the RPC's call."""


class Controller(Protocol):
    """The decision module of a node."""

    @property
    def own_shed_level(self) -> float:
        """The shed level of this node alone, regardless of the fleet."""

    def start(self, now: int, /) -> None:
        """Start the decision module."""

    def admit(self, now: int, index: int, arrival: RpcArrival, /) -> ControlledRpc:
        """Decide about an RPC that was read completely; return the RPC's handle."""

    def on_timer(self, now: int, gauges: Gauges, /) -> None:
        """Handle the periodic timer, with the current gauges."""

    def worker_pool_restarted(self, now: int, cold: bool, /) -> None:
        """Handle a restart of the worker pool, in which all runs are lost."""

    def drain(self, now: int, kill_at: int, /) -> None:
        """Begin the graceful shutdown."""
