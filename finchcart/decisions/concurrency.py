"""Limits of concurrent runs: of those on cores, and of all in progress.

This module adjusts the concurrency limit, and derives its bounds from the overload that the node survives. It
must not start a run.
"""

from finchcart.decisions.gauges import LatestGauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.run_queue import RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.warm_up import WarmUp

# Bounds of the runs in progress, including those that wait for calls.
IN_PROGRESS_FRACTION = 0.8  # upper bound as a fraction of the maximum concurrency
MAX_RUNS_PER_CORE = 4

# Bounds of the concurrency limit.
LIMIT_PER_CORE = 2
LIMIT_FRACTION = 0.4  # upper bound as a fraction of the maximum concurrency
LIMIT_GROWTH_DIVISOR = 4  # per maintenance interval, the limit grows by the number of cores divided by this
LIMIT_CUT_FACTOR = 0.9  # factor by which a cut multiplies the limit, per maintenance interval


class ConcurrencyLimit:
    """Limit of the runs on cores. Invariant: `limit` is above 0, and at most LIMIT_PER_CORE per core."""

    def __init__(
        self, settings: NodeSettings, warm_up: WarmUp, runs: RunCounts, queue: RunQueue, gauges: LatestGauges
    ) -> None:
        """Begin with a limit of one run per core."""
        self._overload_factor = settings.overload_factor
        self._warm_up = warm_up
        self._runs = runs
        self._queue = queue
        self._gauges = gauges
        self._cores = runs.cores
        self.limit = float(runs.cores)

    def maximum(self, now: int) -> float:
        """Return the maximum concurrency: the number of concurrent runs that the node survives.

        Runs that wait for calls count, as all of them may return to the cores at the same time.
        """
        return self._cores * (1 + (self._overload_factor - 1) * self._warm_up.progress(now))

    def max_in_progress(self, now: int) -> float:
        """Return how many runs may be in progress, on cores or waiting for calls."""
        return min(IN_PROGRESS_FRACTION * self.maximum(now), MAX_RUNS_PER_CORE * self._cores)

    def adjust(self, now: int) -> None:
        """Raise the limit while cores are free and RPCs are queued; cut it while demand exceeds the cores.

        The adjustment follows the present demand for cores. The averaged utilization lags behind the demand,
        and an adjustment by the average would put too many runs on cores at once.
        """
        demand = self._gauges.on_cores
        if self._queue.entries and demand < self._cores and self._runs.on_cores >= self.limit - 1:
            ceiling = min(LIMIT_PER_CORE * self._cores, LIMIT_FRACTION * self.maximum(now))
            self.limit = min(self.limit + self._cores / LIMIT_GROWTH_DIVISOR, ceiling)
        elif demand > self._cores:
            self.limit = max(self._cores, self.limit * LIMIT_CUT_FACTOR)
