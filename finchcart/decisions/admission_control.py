"""Feedback control of the admission probability of each method.

Only this module writes `admission_probability` and `relative_latency` of the methods. It must not depend on
single RPCs. See "Intake: the loop" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.expected_wait import WaitForecast
from finchcart.decisions.method import Method
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing

BUSY_THRESHOLD = 0.9  # admission is cut above this utilization of the cores or of the host process
SETPOINT_FRACTION = 0.6  # setpoint of the control loop, as a fraction of the latency objective
MIN_PROBABILITY = 0.05  # lower bound of an admission probability
MIN_CUT_FACTOR = 0.95  # lower bound of the factor by which a cut multiplies a probability in one interval
# Growth of a probability in one interval at the setpoint. The growth is divided by the relative latency, and
# so is faster at lower latencies.
PROBABILITY_GROWTH = 0.015
MIN_GROWTH_BASE = 0.2  # lower bound of the relative latency in that division
NEXT_RANK_PROBABILITY = 0.1  # a method is cut only if all less critical ones have a lower probability


class AdmissionControl:
    """Controller of the admission probabilities. Invariant: each is between MIN_PROBABILITY and 1."""

    def __init__(self, state: NodeState, pausing: Pausing, wait: WaitForecast) -> None:
        """Control the admission probabilities of the methods of this state."""
        self._methods = state.methods
        self._runs = state.runs
        self._gauges = state.gauges
        self._pausing = pausing
        self._slowdown = state.slowdown
        self._wait = wait

    def update(self, now: int, ingress_delay: float) -> None:
        """Update the relative latency and the admission probability of each method.

        `ingress_delay` is the expected time until an RPC that arrives now is read.
        """
        self._measure_latency(now, ingress_delay)
        self._adjust_probabilities()

    def _measure_latency(self, now: int, ingress_delay: float) -> None:
        """Set each relative latency: the expected latency of an RPC arriving now, divided by the setpoint."""
        for method in self._methods.all:
            priority = (-method.criticality, now + method.latency_objective)
            latency = ingress_delay + self._wait.expected_wait(priority)
            latency += method.estimates.service_time.mean * self._slowdown.factor
            method.relative_latency = latency / (SETPOINT_FRACTION * method.latency_objective)

    def _adjust_probabilities(self) -> None:
        """Adjust the probabilities by the relative latencies, the least critical methods first.

        A method is also cut where only a more critical method is too slow. A method is not cut while runs of
        less critical methods yield their cores to its runs.
        """
        core_use = min(1.0, self._runs.on_cores / self._runs.cores)
        is_busy = max(self._gauges.core_use, core_use, self._gauges.input_busy) > BUSY_THRESHOLD
        for method in self._methods.all:
            of_more_critical = max((other.relative_latency for other in method.more_critical), default=0)
            relative_latency = max(method.relative_latency, of_more_critical)
            probability = method.admission_probability
            if is_busy and relative_latency > 1 and self._may_cut(method):
                cut = max(MIN_CUT_FACTOR, 1 / relative_latency)
                method.admission_probability = max(MIN_PROBABILITY, probability * cut)
            else:
                growth = PROBABILITY_GROWTH / max(MIN_GROWTH_BASE, relative_latency)
                method.admission_probability = min(1.0, probability + growth)

    def _may_cut(self, method: Method) -> bool:
        """Return whether all less critical methods are cut, and none has runs that yield to this method."""
        if any(self._pausing.yields(other, method.criticality) for other in method.less_critical):
            return False
        probability = max((other.admission_probability for other in method.less_critical), default=0)
        return probability < NEXT_RANK_PROBABILITY
