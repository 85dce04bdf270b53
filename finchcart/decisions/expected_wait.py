"""Forecast of the time that an RPC of a given priority would wait for a core.

This module has no state: it computes the forecast from the runs and the queue each time. Times are
microseconds.
"""

from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.run_queue import Priority


class WaitForecast:
    """Forecast of the time that an RPC would wait in the queue."""

    def __init__(self, state: NodeState, pausing: Pausing) -> None:
        """Forecast for the node with this state."""
        self._runs = state.runs
        self._queue = state.queue
        self._pausing = pausing
        self._slowdown = state.slowdown
        self._concurrency = state.concurrency

    def expected_wait(self, priority: Priority) -> float:
        """Return the time until an RPC of this priority would get a core."""
        return self._work_ahead(priority) / self._concurrency.limit

    def _work_ahead(self, priority: Priority) -> float:
        """Return the expected remaining service time of the runs and queued RPCs ahead of this priority."""
        runs = self._runs
        limit = self._concurrency.limit
        slowdown = self._slowdown.factor
        pausing = self._pausing
        work = pausing.work_not_yielding(-priority[0]) if pausing.is_enabled else runs.expected_work
        work *= slowdown / 2  # a run in progress is taken to have half of its work left
        if runs.on_cores < limit:
            work *= runs.on_cores / limit / 2
        for queued_priority, _, rpc in self._queue.entries:
            if queued_priority > priority:
                break
            work += rpc.expected_service_time * slowdown
        return work
