"""By when an RPC must be responded to, and whether it can still meet its latency objective.

Owns the response margin: responses are sent a few ticks before they are due, and earlier by twice what stalls
lately cost. Expired RPCs are found by expiry.py. See "Departures, and when they act" and "Guards for the
rules" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.graceful_shutdown import GracefulShutdown
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.slowdown import Slowdown
from finchcart.decisions.units import MS, SECOND

MAINTENANCE_INTERVAL = 40 * MS  # between two timers
RESPONSE_MARGIN = 20 * MS  # a response is sent so long before it is due, besides two ticks and an interval
TERMINATION_MARGIN = 50 * MS  # every response is sent so long before the termination deadline, besides
MAX_LATENESS_MARGIN = SECOND  # responses are sent earlier where timers are late, by this at most
LATENESS_FADE = 63, 64  # numerator and denominator, in a maintenance interval: it fades in seconds
BEST_CASE_PART = 0.6  # of its expected service time: runs vary, what waits may still be in time


class ResponseDeadlines:
    """The response margin and what follows from it.

    Invariant: `response_margin` covers two ticks, one maintenance interval and the fixed margin at least.
    """

    def __init__(self, settings: NodeSettings, shutdown: GracefulShutdown, slowdown: Slowdown) -> None:
        """Begin with timers that are on time."""
        self._shutdown = shutdown
        self._slowdown = slowdown
        self._two_ticks = 2 * settings.tick_us
        self._set_timer_lateness(0)

    def record_timer(self, elapsed: int) -> None:
        """Count a timer that rang `elapsed` microseconds after the one before."""
        lateness = elapsed - MAINTENANCE_INTERVAL - self._two_ticks
        numerator, denominator = LATENESS_FADE
        self._set_timer_lateness(max(lateness, self.timer_lateness * numerator // denominator, 0))

    def must_respond(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether its response is due before the next timer."""
        due_at = rpc.due_at
        termination_deadline = self._shutdown.termination_deadline
        if termination_deadline is not None:
            due_at = min(due_at, termination_deadline - TERMINATION_MARGIN)
        return now >= due_at - self.response_margin

    def misses_objective(self, now: float, rpc: RpcHandle) -> bool:
        """Return whether a run that begins `now` cannot meet the objective, even if it is a short one."""
        return now + rpc.expected_service_time * self._slowdown.factor * BEST_CASE_PART > rpc.objective_at

    def _set_timer_lateness(self, lateness: int) -> None:
        self.timer_lateness = lateness
        margin = self._two_ticks + MAINTENANCE_INTERVAL + RESPONSE_MARGIN
        self.response_margin = margin + min(2 * lateness, MAX_LATENESS_MARGIN)
