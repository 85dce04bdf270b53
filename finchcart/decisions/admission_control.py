"""The control loop of admission: how much of each method is admitted.

Owns `admission_probability` and `relative_latency` of the methods. It must never look at a single RPC. See
"Intake: the loop" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.expected_wait import WaitForecast
from finchcart.decisions.method import Method
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing

BUSY_THRESHOLD = 0.9  # part of the cores, or of the host's time, in use, above which admission is cut
SETPOINT_PART = 0.6  # of the latency objective: the loop's setpoint
MIN_PROBABILITY = 0.05  # at the deepest cut
MAX_CUT = 0.95  # a probability falls to no less than this of itself in an interval
PROBABILITY_GROWTH = 0.015  # in an interval at the setpoint; the faster the further the latency is below it
MIN_GROWTH_BASE = 0.2  # of the relative latency
NEXT_RANK_PROBABILITY = 0.1  # a method is cut once those less critical are admitted with less than this


class AdmissionControl:
    """The control loop. Invariant: a probability stays from MIN_PROBABILITY to 1."""

    def __init__(self, state: NodeState, pausing: Pausing, wait: WaitForecast) -> None:
        """Control the admission of this state's methods."""
        self._methods = state.methods
        self._runs = state.runs
        self._gauges = state.gauges
        self._pausing = pausing
        self._slowdown = state.slowdown
        self._wait = wait

    def update(self, now: int, ingress_delay: float) -> None:
        """Turn the loop once; `ingress_delay`: that an RPC arriving now would meet before it is read."""
        self._measure_latency(now, ingress_delay)
        self._adjust_probabilities()

    def _measure_latency(self, now: int, ingress_delay: float) -> None:
        """Forecast the latency that an RPC arriving now would meet, over the setpoint."""
        for method in self._methods.all:
            priority = (-method.criticality, now + method.latency_objective)
            latency = ingress_delay + self._wait.expected_wait(priority)
            latency += method.estimates.service_time.mean * self._slowdown.factor
            method.relative_latency = latency / (SETPOINT_PART * method.latency_objective)

    def _adjust_probabilities(self) -> None:
        """Cut the less critical methods first, also for others' sake, and none that others yield to."""
        core_use = min(1.0, self._runs.on_cores / self._runs.cores)
        is_busy = max(self._gauges.core_use, core_use, self._gauges.input_busy) > BUSY_THRESHOLD
        for method in self._methods.all:
            of_more_critical = max((other.relative_latency for other in method.more_critical), default=0)
            relative_latency = max(method.relative_latency, of_more_critical)
            probability = method.admission_probability
            if is_busy and relative_latency > 1 and self._may_cut(method):
                cut = max(MAX_CUT, 1 / relative_latency)
                method.admission_probability = max(MIN_PROBABILITY, probability * cut)
            else:
                growth = PROBABILITY_GROWTH / max(MIN_GROWTH_BASE, relative_latency)
                method.admission_probability = min(1.0, probability + growth)

    def _may_cut(self, method: Method) -> bool:
        """Return whether the less critical methods are cut as far as they go, and none of them yields."""
        if any(self._pausing.yields(other, method.criticality) for other in method.less_critical):
            return False
        probability = max((other.admission_probability for other in method.less_critical), default=0)
        return probability < NEXT_RANK_PROBABILITY
