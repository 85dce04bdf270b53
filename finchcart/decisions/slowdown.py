"""Slowdown factor: how much longer runs take than expected, for whatever reason.

This module keeps decaying sums over the last one to two seconds, and must not depend on single RPCs. See
"Departures, and when they act" in docs/design.md.
"""

from collections.abc import Sequence

from finchcart.decisions.method import Method
from finchcart.decisions.runs import RunCounts

SUM_DECAY = 0.975  # decay factor per maintenance interval: the sums cover the last one to two seconds
MIN_SLOWDOWN = 0.3
MAX_SLOWDOWN = 16.0


class Slowdown:
    """Ratio of the core time spent to the expected service time of the completed work.

    All forecasts of service times are multiplied by `factor`. Times are microseconds.

    Invariant: `factor` is between MIN_SLOWDOWN and MAX_SLOWDOWN.
    """

    def __init__(self, methods: Sequence[Method], runs: RunCounts) -> None:
        """Begin with a factor of 1."""
        self._methods = methods
        self._runs = runs
        self.factor = 1.0
        self.core_time_spent = 0.0  # sum over all runs
        self.work_completed = 0.0  # expected service time of the runs, or portions of runs, that ended

    def record_work(self, expected_service_time: float) -> None:
        """Add completed work, measured by its expected service time."""
        self.work_completed += expected_service_time

    def update(self, elapsed: int) -> None:
        """Add the core time of the runs in the last `elapsed` microseconds, and recompute the factor."""
        core_time = self._runs.on_cores * elapsed
        self.core_time_spent = self.core_time_spent * SUM_DECAY + core_time
        self.work_completed *= SUM_DECAY
        service_times = sum(method.estimates.service_time.mean for method in self._methods)
        # This term keeps the factor of an idle node near 1.
        usual = self._runs.cores * service_times / max(1, len(self._methods))
        factor = (self.core_time_spent + usual) / (self.work_completed + usual)
        self.factor = max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, factor))
