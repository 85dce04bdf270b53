"""Estimates of how long the runs of one method take on a core.

Owns what is learned from runs that ended well, fading as new runs end. It must never know a single RPC. See
"Departures, and when they act" in docs/design.md. Times are microseconds; a service time leaves out the time
at calls to the dependency.
"""

from math import log2

from finchcart.decisions.histogram import Histogram

HISTOGRAM_SAMPLES = 120  # histograms are halved when they reach it, so that old samples fade
MIN_HINT_RATIO_LOG2 = 0.5  # hints closer than this tell too little of the power between them


class ServiceTimeEstimates:
    """What the runs of one method took.

    Invariant: each `learn` adds one sample to `service_time` and to `run_duration`, and with a hint one to
    the pair of small or of large hints.
    """

    def __init__(self, objective: int, cold_factor: float) -> None:
        """Assume a sixth of the latency objective, and half-believed hints, until runs end.

        `cold_factor`: how much longer runs take on a node that starts cold.
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

        How far hints can be believed shows in what runs with small and with large hints took lately: a power
        function goes through these two points.
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
        """Add a run that ended well; `run_duration` includes its time at calls."""
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
