"""The control loop of the node: what is adjusted and published in each maintenance interval.

Owns the order of its steps. Times are microseconds.
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
    """Admission, concurrency limit, feedback, grace period, health, idle timeout: in this order."""

    def __init__(
        self, port: Port, settings: NodeSettings, state: NodeState, pausing: Pausing, wait: WaitForecast
    ) -> None:
        """Control a node in this state."""
        self._gauges = state.gauges
        self._arrivals = state.arrivals
        self._concurrency = state.concurrency
        self._shutdown = state.shutdown
        self._shortest_objective = state.methods.shortest_objective
        self._admission = AdmissionControl(state, pausing, wait)
        self.feedback = CallerFeedback(port, settings, state)
        self.health = Health(port, state)
        self.idle_timeout = IdleTimeout(port, settings, state)

    def turn(self, now: int) -> None:
        """Adjust and publish once."""
        # Added twice: the ends of runs and calls wait in the same inputs as the RPC itself.
        input_age = self._gauges.input_age
        ingress_delay = max(self._arrivals.ingress_queueing_delay, input_age) + input_age
        self._admission.update(now, ingress_delay)
        self._concurrency.adjust(now)
        self.feedback.publish(now)
        self._shutdown.end_grace(now)
        delay_part = ingress_delay / self._shortest_objective
        self.health.update(delay_part)
        self.idle_timeout.update(delay_part)
