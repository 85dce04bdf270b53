"""Idle timeout of callers' connections.

This module decides whether idle connections are kept. When the grace period of a shutdown ends,
graceful_shutdown.py sets the final timeout. See "Goodbye to connections: kept and changed" in docs/design.md.
Times are microseconds.
"""

from finchcart.decisions.caller_reuse import REUSE_WINDOW
from finchcart.decisions.graceful_shutdown import DRAINING_IDLE_TIMEOUT
from finchcart.decisions.hysteresis import Hysteresis
from finchcart.decisions.node_settings import Feedback, NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.units import MS

MIN_IDLE_TIMEOUT = DRAINING_IDLE_TIMEOUT
MAX_IDLE_TIMEOUT = REUSE_WINDOW

# Idle connections are kept while the first or second value is above, or the third is below, its thresholds.
KEPT_REUSE = Hysteresis(enter=0.75, exit=0.6)  # caller reuse ratio
KEPT_DELAY = Hysteresis(enter=0.2, exit=0.04)  # ratio of ingress queueing delay to shortest objective
KEPT_PROBABILITY = Hysteresis(enter=0.6, exit=0.9)  # lowest admission probability, if no level is published


class IdleTimeout:
    """Idle timeout. Invariant: `keeps_connections` tells which of the two timeouts was set last."""

    def __init__(self, port: Port, settings: NodeSettings, state: NodeState) -> None:
        """Begin without keeping idle connections."""
        self._publishes_level = settings.feedback is Feedback.LEVEL
        self._highest = settings.idle_timeout_max_us
        self._port = port
        self._methods = state.methods
        self._callers = state.callers
        self._shutdown = state.shutdown
        self.keeps_connections = False

    def start(self) -> None:
        """Set the initial idle timeout."""
        self._port.set_idle_timeout(MIN_IDLE_TIMEOUT)

    def update(self, delay_fraction: float) -> None:
        """Set the timeout if it changes; `delay_fraction` is described at `Health.update`.

        Idle connections are kept if callers reuse them soon; otherwise keeping them costs more than opening
        new ones. They are also kept if RPCs wait too long to be read, or if admission is cut and no shed
        level is published: a full connection table is the cheapest way to reject new callers.
        """
        keep = self._should_keep(delay_fraction)
        if self._shutdown.is_past_grace or keep == self.keeps_connections:
            return
        self.keeps_connections = keep
        timeout = MAX_IDLE_TIMEOUT if keep else MIN_IDLE_TIMEOUT
        self._port.set_idle_timeout(min(self._highest, timeout))
        reason = f"caller reuse ratio {self._callers.ratio:.2f}, ingress queueing delay {delay_fraction:.2f}"
        self._port.log(f"idle timeout set to {timeout // MS} ms: {reason} of the shortest latency objective")

    def _should_keep(self, delay_fraction: float) -> bool:
        are_kept = self.keeps_connections
        if KEPT_REUSE.is_above(self._callers.ratio, are_kept):
            return True
        if KEPT_DELAY.is_above(delay_fraction, are_kept):
            return True
        if self._publishes_level:
            return False
        least = min((method.admission_probability for method in self._methods.all), default=1)
        return KEPT_PROBABILITY.is_below(least, are_kept)
