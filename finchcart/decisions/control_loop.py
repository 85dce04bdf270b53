"""Control loop of the node, which runs once per maintenance interval.

This module defines the order of the loop's steps. Times are microseconds.
"""

from finchcart.decisions.admission_control import AdmissionControl
from finchcart.decisions.expected_wait import WaitForecast
from finchcart.decisions.feedback import CallerFeedback
from finchcart.decisions.health import Health
from finchcart.decisions.idle_timeout import IdleTimeout
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.port import Port


class ControlLoop:
    """Updates admission, concurrency limit, feedback, grace period, health, idle timeout, in this order."""

    def __init__(
        self, port: Port, settings: NodeSettings, state: NodeState, pausing: Pausing, wait: WaitForecast
    ) -> None:
        """Control the node with this state."""
        self._gauges = state.gauges
        self._arrivals = state.arrivals
        self._concurrency = state.concurrency
        self._shutdown = state.shutdown
        self._shortest_objective = state.methods.shortest_objective
        self._admission = AdmissionControl(state, pausing, wait)
        self.feedback = CallerFeedback(port, settings, state)
        self.health = Health(port, state)
        self.idle_timeout = IdleTimeout(port, settings, state)

    def run_once(self, now: int) -> None:
        """Run one iteration of the loop."""
        # The age of the inputs counts twice, because each RPC waits in the host twice: its arrival and the
        # end of its run are both inputs that the host must process.
        input_age = self._gauges.input_age
        ingress_delay = max(self._arrivals.ingress_queueing_delay, input_age) + input_age
        self._admission.update(now, ingress_delay)
        self._concurrency.adjust(now)
        self.feedback.publish(now)
        self._shutdown.end_grace(now)
        delay_fraction = ingress_delay / self._shortest_objective
        self.health.update(delay_fraction)
        self.idle_timeout.update(delay_fraction)
