"""Estimates of the service time and the duration of a method's runs.

The estimates are learned from successful runs; old runs lose weight as new runs end. This module must not
refer to single RPCs. See "Departures, and when they act" in docs/design.md. Times are microseconds. The
service time of a run excludes the time of its calls to the dependency.
"""

from math import log2

from finchcart.decisions.histogram import Histogram

HISTOGRAM_SAMPLES = 120  # counts are halved at this number of samples, so that old samples decay
MIN_HINT_RATIO_LOG2 = 0.5  # lower bound, as a small and a large hint that are close give no reliable exponent


class ServiceTimeEstimates:
    """Histograms of the runs of one method.

    Invariant: each call of `learn` adds one sample to `service_time` and to `run_duration`. With a hint, it
    also adds one sample to both histograms of the small hints, or to both of the large hints.
    """

    def __init__(self, objective: int, cold_factor: float) -> None:
        """Set prior estimates, which apply until runs end.

        The prior service time is a sixth of the latency objective, and the prior for hints is a service time
        proportional to about the square root of the hint. `cold_factor` is the factor by which runs take
        longer on a node that starts cold.
        """
        lowest = objective / 96
        self.service_time = Histogram(lowest, objective / 6 * cold_factor, HISTOGRAM_SAMPLES)
        self.small_hint = Histogram(lowest, objective / 24, HISTOGRAM_SAMPLES)
        self.small_service_time = Histogram(lowest, objective / 12 * cold_factor, HISTOGRAM_SAMPLES)
        self.large_hint = Histogram(lowest, objective / 3, HISTOGRAM_SAMPLES)
        self.large_service_time = Histogram(lowest, objective / 4 * cold_factor, HISTOGRAM_SAMPLES)
        self.run_duration = Histogram(objective / 32, objective / 4 * cold_factor, HISTOGRAM_SAMPLES)

    def expected(self, hint: int) -> float:
        """Return the expected service time of a run with this service time hint (0: no hint).

        The result is a power function of the hint, through two points: the mean service times of recent runs
        with small hints and with large hints. The more reliable the hints, the closer the exponent is to 1.
        """
        if not hint:
            return self.service_time.mean
        small_hint = self.small_hint.mean
        small_service_time = self.small_service_time.mean
        hint_ratio = self.large_hint.mean / small_hint
        power = log2(self.large_service_time.mean / small_service_time)
        power /= max(MIN_HINT_RATIO_LOG2, log2(hint_ratio))
        return small_service_time * (hint / small_hint) ** max(0.0, min(1.0, power))

    def learn(self, hint: int, service_time: int, run_duration: int) -> None:
        """Add a successful run to the histograms; `run_duration` includes the time of the run's calls."""
        self.service_time.add(service_time)
        self.run_duration.add(run_duration)
        if not hint:
            return
        if hint * hint > self.small_hint.mean * self.large_hint.mean:
            self.large_hint.add(hint)
            self.large_service_time.add(service_time)
        else:
            self.small_hint.add(hint)
            self.small_service_time.add(service_time)
