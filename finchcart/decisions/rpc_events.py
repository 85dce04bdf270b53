"""Handling of the events that a host reports on the handle of an RPC.

This module has no state of its own; it writes the fields `failed`, `failed_calls` and `caller_is_gone` of an
RPC, and `has_run` at the end of a run. Arrivals are handled by admission.py. Times are microseconds.
"""

from finchcart.decisions.completion import Completion
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import CALLING, COMPLETED, PAUSED, QUEUED, RUNNING, SHARING, RpcHandle
from finchcart.decisions.run_starter import RunStarter

MAX_CALL_ATTEMPTS = 2  # attempts per run, including the first one


class RpcEventHandler:
    """Handler of the events of all RPCs; see `RpcEvents`.

    An event that no longer fits the RPC's state is ignored: the host may have reported it before a command
    of this module took effect.
    """

    def __init__(
        self, port: Port, state: NodeState, pausing: Pausing, completion: Completion, starter: RunStarter
    ) -> None:
        """Handle the events of the node with this state."""
        self._port = port
        self._queue = state.queue
        self._runs = state.runs
        self._slowdown = state.slowdown
        self._calls = state.calls
        self._pausing = pausing
        self._completion = completion
        self._starter = starter

    def run_ended(self, now: int, rpc: RpcHandle, outcome: Outcome, duration: int) -> None:
        """Requeue a run that was paused, or else complete the RPC; then start queued RPCs."""
        if rpc.state is COMPLETED:
            return
        was_stopped = outcome is Outcome.STOPPED
        lacks_response = rpc.response_pending and (was_stopped or outcome is Outcome.NOT_STARTED)
        if lacks_response and was_stopped and rpc.state is RUNNING and self._pausing.is_enabled:
            self._pausing.requeue(rpc, duration)
            self._starter.start_queued(now)
            return
        if rpc.state is not SHARING:
            self._record_run(rpc, outcome, duration)
        if lacks_response:
            self._port.fail(rpc.index)  # a rejection would be wrong, as the run may have had an effect
        self._completion.complete(now, rpc)
        self._starter.start_queued(now)

    def caller_gone(self, now: int, rpc: RpcHandle) -> None:
        """Complete an RPC that is not running, or stop its run where that is allowed."""
        if rpc.state is COMPLETED or rpc.caller_is_gone:
            return
        rpc.caller_is_gone = True
        if rpc.state in (QUEUED, PAUSED):
            self._queue.remove(rpc)
        if rpc.state in (QUEUED, PAUSED, SHARING):
            self._completion.complete(now, rpc)
        elif rpc.state is RUNNING and rpc.method.stoppable and not rpc.response_sent:
            self._port.stop(rpc.index)

    def awaiting_call(self, now: int, rpc: RpcHandle) -> None:
        """Record that a run left its core, and have its call made if a response is still pending."""
        if rpc.state is not RUNNING:
            return
        self._runs.suspend(now, rpc)
        if rpc.response_pending:
            self._calls.await_call(rpc)
            self._calls.make_calls(now)
        self._starter.start_queued(now)

    def call_ended(self, now: int, rpc: RpcHandle, outcome: Outcome, duration: int) -> None:
        """Resume the run after a successful call; otherwise retry or skip the call, or fail the RPC."""
        if rpc.state is not CALLING:
            return
        self._calls.end(now, rpc, outcome)
        if outcome is Outcome.OK:
            self._calls.record_success(duration)
            self._runs.resume(now, rpc)
        elif rpc.response_pending:
            self._call_failed(now, rpc, outcome)
        self._calls.make_calls(now)
        self._starter.start_queued(now)

    def _record_run(self, rpc: RpcHandle, outcome: Outcome, duration: int) -> None:
        rpc.failed = outcome is not Outcome.OK
        # A run that did not start changes no estimate, and the key of its RPC is evicted on completion.
        rpc.has_run = outcome is not Outcome.NOT_STARTED
        if rpc.has_run:
            self._slowdown.record_work(rpc.expected_service_time)
        if not rpc.failed:
            run_duration = duration + rpc.duration_before_pause
            service_time = max(1, run_duration - rpc.time_at_calls)
            rpc.method.estimates.learn(rpc.service_time_hint, service_time, max(1, run_duration))

    def _call_failed(self, now: int, rpc: RpcHandle, outcome: Outcome) -> None:
        """Retry the call, skip it for a degraded response, or fail the RPC.

        A call must not take effect twice, and retries must not overload a failing dependency. So a call is
        retried once at most, and only where the method is idempotent or the call provably never ran.
        """
        rpc.failed_calls += 1
        can_degrade = rpc.method.degraded_value > 0
        may_retry = rpc.method.idempotent or outcome.never_ran
        if outcome is Outcome.TIMEOUT and can_degrade:
            may_retry = False
        if may_retry and rpc.failed_calls < MAX_CALL_ATTEMPTS:
            self._calls.await_call(rpc)
        elif can_degrade:
            self._calls.degrade(now, rpc)
        else:
            self._completion.fail(now, rpc)
