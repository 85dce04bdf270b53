"""Time limits of an RPC: when its response must be sent, and whether it can meet its latency objective.

This module computes the response margin: responses are sent a few ticks before they are due, and earlier
still by twice the recent lateness of timers, which stalls of the process cause. Expired RPCs are found by
expiry.py. See "Departures, and when they act" and "Guards for the rules" in docs/design.md. Times are
microseconds.
"""

from finchcart.decisions.graceful_shutdown import GracefulShutdown
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.slowdown import Slowdown
from finchcart.decisions.units import MS, SECOND

MAINTENANCE_INTERVAL = 40 * MS  # time between two timer events
RESPONSE_MARGIN = 20 * MS  # part of the margin in addition to two ticks and a maintenance interval
TERMINATION_MARGIN = 50 * MS  # during a shutdown, responses are due this long before the termination deadline
MAX_LATENESS_MARGIN = SECOND  # upper bound of the margin that is added for late timers
# Decay factor per maintenance interval, as numerator and denominator: the lateness decays within seconds.
LATENESS_DECAY = 63, 64
# Fraction of its expected service time that a short run is assumed to take. Service times vary, so a waiting
# RPC is given up only if even a short run would be late.
BEST_CASE_FRACTION = 0.6


class ResponseDeadlines:
    """Response margin, and checks of an RPC's time limits.

    Invariant: `response_margin` is at least two ticks, one maintenance interval and RESPONSE_MARGIN together.
    """

    def __init__(self, settings: NodeSettings, shutdown: GracefulShutdown, slowdown: Slowdown) -> None:
        """Begin without lateness of the timers."""
        self._shutdown = shutdown
        self._slowdown = slowdown
        self._two_ticks = 2 * settings.tick_us
        self._set_timer_lateness(0)

    def record_timer(self, elapsed: int) -> None:
        """Record a timer event that came `elapsed` microseconds after the previous one."""
        lateness = elapsed - MAINTENANCE_INTERVAL - self._two_ticks
        numerator, denominator = LATENESS_DECAY
        self._set_timer_lateness(max(lateness, self.timer_lateness * numerator // denominator, 0))

    def must_respond(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether the RPC's response is due before the next timer event."""
        due_at = rpc.due_at
        termination_deadline = self._shutdown.termination_deadline
        if termination_deadline is not None:
            due_at = min(due_at, termination_deadline - TERMINATION_MARGIN)
        return now >= due_at - self.response_margin

    def misses_objective(self, now: float, rpc: RpcHandle) -> bool:
        """Return whether a run that begins at `now` would miss the objective even if the run is short."""
        return now + rpc.expected_service_time * self._slowdown.factor * BEST_CASE_FRACTION > rpc.objective_at

    def _set_timer_lateness(self, lateness: int) -> None:
        self.timer_lateness = lateness
        margin = self._two_ticks + MAINTENANCE_INTERVAL + RESPONSE_MARGIN
        self.response_margin = margin + min(2 * lateness, MAX_LATENESS_MARGIN)
