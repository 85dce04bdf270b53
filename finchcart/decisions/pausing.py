"""Pausing of runs that yield their core to RPCs that are more than twice as critical.

This module chooses the runs to pause, if the settings state that runs can be paused; runs.py keeps track of
the runs that are pausing. See "Intake: the loop" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.method import Method
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RUNNING, RpcHandle

YIELD_CRITICALITY_RATIO = 0.5  # a run yields to an RPC if its criticality is below this fraction of the RPC's
# The remaining service time of a paused run is at least its expected service time divided by this.
MIN_REMAINING_DIVISOR = 4


class Pausing:
    """Pauses and requeues runs. Invariant: only runs whose response is pending are paused."""

    def __init__(self, port: Port, settings: NodeSettings, state: NodeState) -> None:
        """Begin without paused runs."""
        self.is_enabled = settings.can_pause
        self._port = port
        self._table = state.table
        self._queue = state.queue
        self._runs = state.runs
        self._slowdown = state.slowdown

    def yields(self, method: Method, criticality: float) -> bool:
        """Return whether runs of the method may be paused for an RPC of this criticality."""
        return self.is_enabled and method.criticality < YIELD_CRITICALITY_RATIO * criticality

    def work_not_yielding(self, criticality: float) -> float:
        """Return the expected service time of the runs on cores that do not yield to this criticality."""
        running = [rpc for rpc in self._table.active.values() if rpc.state is RUNNING]
        return sum(rpc.expected_service_time for rpc in running if not self.yields(rpc.method, criticality))

    def pause_least_critical(self, criticality: float) -> bool:
        """Pause the least critical run that yields, or return false if no run does.

        Among runs of the same criticality, the one that was started last is paused.
        """
        # A run without a pending response is not paused: the host would end it, with its effects incomplete.
        pausable = [
            rpc
            for rpc in self._table.active.values()
            if rpc.state is RUNNING
            and self.yields(rpc.method, criticality)
            and rpc.response_pending
            and rpc not in self._runs.pausing
        ]
        least = min(pausable, key=lambda rpc: (rpc.method.criticality, -rpc.started_at), default=None)
        if least is None:
            return False
        self._runs.mark_pausing(least)
        self._port.stop(least.index)
        return True

    def requeue(self, rpc: RpcHandle, duration: int) -> None:
        """Queue a run that was paused after `duration` microseconds; it keeps its memory and its work."""
        expected = rpc.expected_service_time
        remaining = max(expected / MIN_REMAINING_DIVISOR, expected - duration / self._slowdown.factor)
        self._slowdown.record_work(expected - remaining)
        self._runs.pause(rpc, duration, remaining)
        self._queue.push(rpc)
