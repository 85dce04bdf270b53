"""Health that the node reports while it serves.

This module reports the health until the graceful shutdown begins, which then reports the node unhealthy
permanently. See *Health* in docs/design.md.
"""

from finchcart.decisions.admission_control import BUSY_THRESHOLD
from finchcart.decisions.hysteresis import Hysteresis
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.rejection import FULL_FLEET_RETRY_RATIO

# Thresholds of the ingress queueing delay, as fractions of the shortest latency objective.
UNHEALTHY_DELAY = Hysteresis(enter=0.5, exit=0.1)
READS_FRACTION = 0.5  # reads that need more than this fraction of the cores delay the runs


class Health:
    """Reported health. Invariant: `is_healthy` is the last value reported before the shutdown."""

    def __init__(self, port: Port, state: NodeState) -> None:
        """Begin healthy."""
        self._port = port
        self._runs = state.runs
        self._gauges = state.gauges
        self._arrivals = state.arrivals
        self._shutdown = state.shutdown
        self.is_healthy = True

    def update(self, delay_fraction: float) -> None:
        """Report a change of the health.

        `delay_fraction` is the ingress queueing delay as a fraction of the shortest latency objective. The
        node is unhealthy while the fleet ejects it, or while reads take its cores and RPCs wait too long to
        be read. It stays healthy if the ratio of retries shows that the whole fleet is full, as otherwise
        all nodes would become unhealthy at once.
        """
        reads = self._gauges.on_cores - self._runs.on_cores
        is_busy_reading = (
            reads > self._runs.cores * READS_FRACTION or self._gauges.input_busy > BUSY_THRESHOLD
        )
        is_only_node_affected = is_busy_reading and self._arrivals.retry_ratio < FULL_FLEET_RETRY_RATIO
        is_delayed = UNHEALTHY_DELAY.is_above(delay_fraction, not self.is_healthy)
        is_unhealthy = self._gauges.ejected or (is_only_node_affected and is_delayed)
        if self._shutdown.termination_deadline is not None or self.is_healthy != is_unhealthy:
            return
        self.is_healthy = not self.is_healthy
        self._port.set_health(self.is_healthy, True)
        reason = f"ingress queueing delay is {delay_fraction:.2f} of the shortest latency objective"
        if self._gauges.ejected:
            reason = "ejected by the fleet's consensus"
        self._port.log(f"health set to {'healthy' if self.is_healthy else 'unhealthy'}: {reason}")
