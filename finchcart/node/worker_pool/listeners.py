"""Interfaces of the listeners that the worker pool client notifies of runs and of the worker pool itself.

The module holds only types and constants, and no state.
"""

from collections.abc import Mapping
from typing import Protocol

from finchcart.decisions.outcome import Outcome
from finchcart.node.rpc import NodeRpc

PARTY = "worker pool"  # prefix of log lines and of statistics counters


class RunListener(Protocol):
    """The listener for events of runs."""

    def running_rpcs(self) -> list[NodeRpc]:
        """Return the RPCs whose run was started and is not completed."""

    def longest_run_us(self, rpc: NodeRpc) -> int:
        """Return for how many more microseconds the settings let a run continue without any notice."""

    def answer_before_end(self, rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        """Answer the RPC of a run that has ended while a second start of the same run may be in progress.

        `run_ended` is called later, once both runs have ended or are presumed to have ended.
        """

    def find_running(self, name: str) -> NodeRpc | None:
        """Return the RPC of this name if its run is not completed, else None."""

    def run_ended(self, rpc: NodeRpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """Handle the end of a run."""

    def awaiting_call(self, rpc: NodeRpc, cursor: int, body: bytes) -> None:
        """Handle a run that awaits a call; `cursor` is the number of the notice that reported the wait."""


class PoolListener(Protocol):
    """The listener for events of the worker pool itself."""

    def worker_pool_ready(self, cold: bool) -> None:
        """Handle the first contact with the worker pool; `cold` tells whether the pool has just started."""

    def worker_pool_restarted(self, cold: bool) -> None:
        """Handle a restart of the worker pool, which lost all runs."""

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """Handle a due timer of the decision module.

        `readings` maps the names of the gauges to their values; it is empty if no values arrived in time.
        """
