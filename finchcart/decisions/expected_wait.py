"""How long an RPC of some priority would wait for a core.

Owns no state; worked out from the runs and the queue each time. Times are microseconds.
"""

from finchcart.decisions.concurrency import ConcurrencyLimit
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.run_queue import Priority, RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.slowdown import Slowdown


class WaitForecast:
    """The forecast of the wait in the queue."""

    def __init__(
        self,
        runs: RunCounts,
        queue: RunQueue,
        pausing: Pausing,
        slowdown: Slowdown,
        concurrency: ConcurrencyLimit,
    ) -> None:
        """Read these parts."""
        self._runs = runs
        self._queue = queue
        self._pausing = pausing
        self._slowdown = slowdown
        self._concurrency = concurrency

    def expected_wait(self, priority: Priority) -> float:
        """Return the time until an RPC of this priority would get a core."""
        return self._work_ahead(priority) / self._concurrency.limit

    def _work_ahead(self, priority: Priority) -> float:
        """Return the service time of the runs and queued RPCs that come before this priority."""
        runs = self._runs
        limit = self._concurrency.limit
        slowdown = self._slowdown.factor
        pausing = self._pausing
        work = pausing.work_not_yielding(-priority[0]) if pausing.is_enabled else runs.expected_work
        work *= slowdown / 2  # on average, half of a run is over
        if runs.on_cores < limit:
            work *= runs.on_cores / limit / 2
        for queued_priority, _, rpc in self._queue.entries:
            if queued_priority > priority:
                break
            work += rpc.expected_service_time * slowdown
        return work
