"""Completion of an RPC: its rejection or failure, and the release of its resources.

This module defines the order in which an RPC is removed from the other components. It must not decide which
RPC is completed, and must not start another one. Times are microseconds.
"""

from finchcart.decisions.node_state import NodeState
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.port import Port
from finchcart.decisions.rejection import RejectionAdvice
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import (
    AWAITING_CALL,
    CALLING,
    COMPLETED,
    PAUSED,
    QUEUED,
    RUNNING,
    SHARING,
    RpcHandle,
)


class Completion:
    """Rejects, fails, completes and releases RPCs.

    Invariant: an RPC gets one final response at most, and none after it is COMPLETED. An RPC is released
    exactly once, as soon as it is completed and its idempotency key is no longer stored.
    """

    def __init__(self, port: Port, state: NodeState, advice: RejectionAdvice) -> None:
        """Complete RPCs of the node with this state."""
        self._port = port
        self._table = state.table
        self._memory = state.memory
        self._keys = state.keys
        self._queue = state.queue
        self._runs = state.runs
        self._calls = state.calls
        self._advice = advice

    def reject(self, now: int, rpc: RpcHandle, reason: RejectionReason, expected_wait: float = 0) -> None:
        """Reject an RPC that never ran; `expected_wait` is how long it would have waited for a core."""
        do_not_retry = self._advice.do_not_retry(now, rpc)
        retry_after = self._advice.retry_after(expected_wait)
        self._port.reject(rpc.index, reason, retry_after, do_not_retry)
        self.complete(now, rpc)

    def fail(self, now: int, rpc: RpcHandle) -> None:
        """Send the response that the RPC failed; stop its run where that is allowed.

        A run that may not be stopped continues to its end.
        """
        if rpc.response_pending:
            self._port.fail(rpc.index)
        rpc.response_sent = True
        if rpc.state in (QUEUED, SHARING, PAUSED):
            self.complete(now, rpc)
        elif rpc.state is RUNNING and rpc.method.stoppable:
            self._port.stop(rpc.index)

    def drop_queued(self, now: int, rpc: RpcHandle, reason: RejectionReason) -> None:
        """Remove an RPC from the queue and reject the RPC; if its run was paused, fail the RPC instead."""
        self._queue.remove(rpc)
        if rpc.has_run:
            self.fail(now, rpc)
        else:
            self.reject(now, rpc, reason)

    def complete(self, now: int, rpc: RpcHandle) -> None:
        """Complete an RPC and free its resources; if it never ran, also evict its idempotency key."""
        if rpc.state is CALLING:
            self._calls.end(now, rpc, Outcome.TIMEOUT)
        if rpc.state is not QUEUED and rpc.state is not SHARING:
            self._memory.free(rpc.extra_run_kb)
            self._runs.end(rpc)
            if rpc.state is AWAITING_CALL:
                self._calls.withdraw(rpc)
        rpc.state = COMPLETED
        rpc.response_sent = True
        self._memory.free(rpc.memory_kb)
        self._table.complete(rpc)
        if rpc.key_expires_at and not rpc.has_run:
            self._keys.evict(rpc)
        if not rpc.key_expires_at:
            self.release(rpc)

    def release(self, rpc: RpcHandle) -> None:
        """Forget a completed RPC and release its index."""
        self._table.remove(rpc)
        self._port.release(rpc.index)
