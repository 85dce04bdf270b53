"""Limits on the calls that runs make to the dependency: each call is made, delayed or skipped.

This module keeps the runs that await a call, the calls in flight, the abandoned calls that the dependency
still works on, and the token bucket of call time. It must not respond to an RPC: rpc_events.py decides what
follows from a failed call. See "Guards for the rules" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.deadlines import BEST_CASE_FRACTION, ResponseDeadlines
from finchcart.decisions.gauges import LatestGauges
from finchcart.decisions.histogram import Histogram
from finchcart.decisions.node_settings import (
    DEFAULT_CALLS_LINGER_US,
    UNLIMITED_CALLS,
    Dependency,
    NodeSettings,
)
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import AWAITING_CALL, CALLING, RpcHandle
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.service_time import HISTOGRAM_SAMPLES
from finchcart.decisions.slowdown import Slowdown
from finchcart.decisions.token_bucket import TokenBucket
from finchcart.decisions.units import MS

# Token bucket of call time: one token is one microsecond of a call. The first value is a fraction of the
# node's share of the dependency, the others are fractions of the share times its window.
REFILL_FRACTION = 0.8  # refill rate; below 1, so that the mean over the window stays below the share
BUCKET_FRACTION = 0.2  # size of the bucket
AMPLE_TOKENS_FRACTION = 0.1  # with more tokens than this, more calls may be in flight

# Limits of the calls in flight, as fractions of the node's share.
AMPLE_CALLS_FRACTION = 0.8
CAUTIOUS_CALLS_FRACTION = 0.5
SHORT_CALLS = 32  # calls count as short if this many mean calls fit in the shortest latency objective

SHORTEST_CALL_BIN = 2 * MS
PRIOR_CALL_TIME = 30 * MS
DEGRADE_MARGIN = 1.5  # an optional call is skipped if the time for it is below this many mean call times
# To leave time for a degraded response, a timeout is shortened to this quantile of the call times at most.
USUAL_CALL_QUANTILE = 0.95
BEFORE_ANY_CALL = -(10**15)


class DependencyCalls:
    """Calls of all runs to the dependency.

    Invariant: `awaiting` holds RPCs in the state AWAITING_CALL, each once; `in_flight` is the number of RPCs
    in the state CALLING.
    """

    def __init__(
        self,
        settings: NodeSettings,
        port: Port,
        runs: RunCounts,
        gauges: LatestGauges,
        slowdown: Slowdown,
        deadlines: ResponseDeadlines,
        shortest_objective: int,
    ) -> None:
        """Begin without calls; `shortest_objective` is the shortest latency objective of all methods."""
        self._settings = settings
        self._port = port
        self._runs = runs
        self._gauges = gauges
        self._slowdown = slowdown
        self._deadlines = deadlines
        self._shortest_objective = shortest_objective
        # A dependency that is a tier does its own admission, so no share is enforced here.
        is_shared = settings.dependency is Dependency.SHARED
        self._share = settings.calls_limit if is_shared else UNLIMITED_CALLS
        self._window = settings.calls_window_us
        linger_us = settings.calls_linger_us
        self._linger = DEFAULT_CALLS_LINGER_US if linger_us is None else linger_us
        self.awaiting: list[RpcHandle] = []
        self.in_flight = 0
        self.abandoned: list[int] = []  # when the dependency presumably ends each abandoned call
        self.unreachable_at = BEFORE_ANY_CALL  # when a call last failed to reach the dependency
        self.call_time = Histogram(SHORTEST_CALL_BIN, PRIOR_CALL_TIME, HISTOGRAM_SAMPLES)
        self.bucket = TokenBucket(BUCKET_FRACTION * self._share * self._window)

    def start(self, now: int) -> None:
        """Refill the token bucket from `now` on."""
        self.bucket.start(now)

    def await_call(self, rpc: RpcHandle) -> None:
        """Have a call made for a run as soon as the limits allow it."""
        self.awaiting.append(rpc)

    def withdraw(self, rpc: RpcHandle) -> None:
        """Cancel the pending call of a run that has ended."""
        if rpc in self.awaiting:
            self.awaiting.remove(rpc)

    def make_calls(self, now: int) -> None:
        """Make or skip the calls that runs await, as far as the limits allow."""
        # The dependency may be cold after an outage, so the share ramps up after a call failed to reach it.
        progress = self._settings.warm_up_progress(now - self.unreachable_at)
        share = self._share * progress
        size = BUCKET_FRACTION * share * self._window
        self.bucket.refill(now, REFILL_FRACTION * share, size)
        self._forget_abandoned(now)
        if not self.awaiting:
            return
        awaiting = [rpc for rpc in self.awaiting if rpc.response_pending]
        self.awaiting = []
        capacity = self._gauges.call_capacity
        if capacity is None:
            limit = self._limit(share)
        else:  # the fleet grants this capacity to this node alone, so the token bucket does not limit calls
            limit = min(capacity, max(1, int(capacity * progress)))
            self.bucket.fill()
            awaiting.sort(key=lambda rpc: rpc.priority)
        for rpc in awaiting:
            self._make_call(now, rpc, limit)

    def record_success(self, duration: int) -> None:
        """Add the duration of a successful call to the histogram of call times."""
        self.call_time.add(max(1, duration))

    def end(self, now: int, rpc: RpcHandle, outcome: Outcome) -> None:
        """Record the end of a call, and take the call's duration from the token bucket.

        After a timeout or a lost connection, the dependency is assumed to work on the call for a while. The
        call then still counts as abandoned, and the token bucket is charged for this time as well.
        """
        rpc.state = AWAITING_CALL
        self.in_flight -= 1
        self.bucket.take(now - rpc.called_at)
        if outcome in (Outcome.TIMEOUT, Outcome.CONNECTION_LOST):
            self.abandoned.append(now + self._linger)
            self.bucket.take(self._linger)
        elif outcome is Outcome.UNREACHABLE:
            self.unreachable_at = now

    def degrade(self, now: int, rpc: RpcHandle) -> None:
        """Resume a run without the call that it awaits."""
        self._port.degrade(rpc.index)
        self._runs.resume(now, rpc)

    def _forget_abandoned(self, now: int) -> None:
        while self.abandoned and self.abandoned[0] <= now:
            self.abandoned.pop(0)

    def _limit(self, share: float) -> int:
        """Return the limit of calls in flight, which is lower for a slow dependency or with few tokens."""
        ample_tokens = AMPLE_TOKENS_FRACTION * self._share * self._window
        are_short = SHORT_CALLS * self.call_time.mean < self._shortest_objective
        is_ample = are_short and not self.abandoned and self.bucket.tokens > ample_tokens
        return max(1, int((AMPLE_CALLS_FRACTION if is_ample else CAUTIOUS_CALLS_FRACTION) * share))

    def _make_call(self, now: int, rpc: RpcHandle, limit: int) -> None:
        is_full = self.in_flight + len(self.abandoned) >= limit
        can_degrade = rpc.method.degraded_value > 0
        if can_degrade and (self._lacks_time(now, rpc) or (self._gauges.dependency_down and is_full)):
            self.degrade(now, rpc)
        elif self.bucket.tokens <= 0 or is_full:
            self.awaiting.append(rpc)
        else:
            rpc.state = CALLING
            rpc.called_at = now
            self.in_flight += 1
            self._port.call(rpc.index, self._timeout(now, rpc, limit))

    def _lacks_time(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether the call and the rest of the run no longer fit in the time until the objective."""
        rest = BEST_CASE_FRACTION * rpc.expected_service_time * self._slowdown.factor
        return rpc.objective_at - now < DEGRADE_MARGIN * self.call_time.mean + rest

    def _timeout(self, now: int, rpc: RpcHandle, limit: int) -> int:
        """Return the timeout of a call, which leaves time for a degraded response where that has a value."""
        timeout: float = rpc.due_at - now - self._deadlines.response_margin
        if rpc.method.degraded_value > 0:
            service_time = rpc.expected_service_time * self._slowdown.factor
            time_for_call = rpc.objective_at - now - service_time
            timeout = min(timeout, max(time_for_call, self.call_time.quantile(USUAL_CALL_QUANTILE)))
        longest = self._share * self._window / limit
        return max(self._settings.tick_us, int(min(timeout, longest)))
