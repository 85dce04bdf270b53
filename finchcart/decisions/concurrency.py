"""How many runs may be on cores and in progress at once.

Owns the concurrency limit, and the bounds that follow from what the node survives. It must never start a run.
"""

from finchcart.decisions.gauges import LatestGauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.run_queue import RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.warm_up import WarmUp

# Bounds of the runs in progress, at calls too.
IN_PROGRESS_PART = 0.8  # of the maximum concurrency
MAX_RUNS_PER_CORE = 4

# Bounds of the concurrency limit.
LIMIT_PER_CORE = 2
LIMIT_PART = 0.4  # of the maximum concurrency
LIMIT_GROWTH = 4  # the limit grows by the cores over this in a maintenance interval
LIMIT_CUT = 0.9  # factor in a maintenance interval


class ConcurrencyLimit:
    """The limit of runs on cores. Invariant: `limit` is above 0, LIMIT_PER_CORE a core at most."""

    def __init__(
        self, settings: NodeSettings, warm_up: WarmUp, runs: RunCounts, queue: RunQueue, gauges: LatestGauges
    ) -> None:
        """Begin with one run a core."""
        self._overload_factor = settings.overload_factor
        self._warm_up = warm_up
        self._runs = runs
        self._queue = queue
        self._gauges = gauges
        self._cores = runs.cores
        self.limit = float(runs.cores)

    def maximum(self, now: int) -> float:
        """Return the runs at once that the node survives; those at calls count, as they may come back."""
        return self._cores * (1 + (self._overload_factor - 1) * self._warm_up.progress(now))

    def max_in_progress(self, now: int) -> float:
        """Return the runs that may be in progress, on cores and at calls."""
        return min(IN_PROGRESS_PART * self.maximum(now), MAX_RUNS_PER_CORE * self._cores)

    def adjust(self, now: int) -> None:
        """Grow the limit while cores are free and RPCs wait; cut it while more wants a core than there are.

        Follows what wants a core now: after the averaged gauge too many runs would be on cores at once.
        """
        wanted = self._gauges.on_cores
        if self._queue.entries and wanted < self._cores and self._runs.on_cores >= self.limit - 1:
            ceiling = min(LIMIT_PER_CORE * self._cores, LIMIT_PART * self.maximum(now))
            self.limit = min(self.limit + self._cores / LIMIT_GROWTH, ceiling)
        elif wanted > self._cores:
            self.limit = max(self._cores, self.limit * LIMIT_CUT)
