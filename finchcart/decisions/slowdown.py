"""How much longer runs take than expected, whatever slows the machine.

Owns the sums of the last second or two that it is worked out from. It must never look at single RPCs. See
"Departures, and when they act" in docs/design.md.
"""

from collections.abc import Sequence

from finchcart.decisions.method import Method
from finchcart.decisions.runs import RunCounts

SUM_FADE = 0.975  # in a maintenance interval: the sums hold the last second or two
MIN_SLOWDOWN = 0.3
MAX_SLOWDOWN = 16.0


class Slowdown:
    """Core time spent over expected service time of what ended; `factor` stretches every forecast.

    Invariant: `factor` is from MIN_SLOWDOWN to MAX_SLOWDOWN. Times are microseconds.
    """

    def __init__(self, methods: Sequence[Method], runs: RunCounts) -> None:
        """Begin as fast as expected."""
        self._methods = methods
        self._runs = runs
        self.factor = 1.0
        self.core_time_spent = 0.0  # by all runs
        self.work_completed = 0.0  # expected service time of the runs, or parts of runs, that ended

    def record_work(self, expected_service_time: float) -> None:
        """Count work that was completed, by what it was expected to take."""
        self.work_completed += expected_service_time

    def update(self, elapsed: int) -> None:
        """Add the core time of the runs over the last `elapsed` microseconds, and work the factor out."""
        spent = self._runs.on_cores * elapsed
        self.core_time_spent = self.core_time_spent * SUM_FADE + spent
        self.work_completed *= SUM_FADE
        service_times = sum(method.estimates.service_time.mean for method in self._methods)
        usual = self._runs.cores * service_times / max(1, len(self._methods))  # keeps an idle node near 1
        factor = (self.core_time_spent + usual) / (self.work_completed + usual)
        self.factor = max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, factor))
