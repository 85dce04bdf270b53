"""What the worker pool's client notifies: of runs, and of the worker pool itself.

Owns types alone.
"""

from collections.abc import Mapping
from typing import Protocol

from finchcart.decisions.outcome import Outcome
from finchcart.node.rpc import NodeRpc

PARTY = "worker pool"  # in log lines


class RunListener(Protocol):
    """What is notified of runs."""

    def running_rpcs(self) -> list[NodeRpc]:
        """Return the RPCs that were started and are not completed."""

    def longest_run_us(self, rpc: NodeRpc) -> int:
        """Return how long a run without any notice may still take, in microseconds, by the settings."""

    def answer_before_end(self, rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        """Answer a run that ended and may have been started twice: `run_ended` follows for both."""

    def find_running(self, name: str) -> NodeRpc | None:
        """Return the RPC of that name whose run is not completed, or None."""

    def run_ended(self, rpc: NodeRpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """Handle the end of a run."""

    def awaiting_call(self, rpc: NodeRpc, cursor: int, body: bytes) -> None:
        """Handle a run that awaits a call; `cursor` is of the notice that reported it."""


class PoolListener(Protocol):
    """What is notified of the worker pool itself."""

    def worker_pool_ready(self, cold: bool) -> None:
        """Handle the worker pool's first contact; `cold`: it has just started."""

    def worker_pool_restarted(self, cold: bool) -> None:
        """Handle a restart of the worker pool, which has lost all runs."""

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """Handle the due timer of the decision module with the gauges by name; empty where late."""
