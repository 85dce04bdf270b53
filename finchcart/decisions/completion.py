"""The end of an RPC: its rejection or failure, and giving back what it held.

Owns the order in which an RPC is taken out of the other parts. It must never decide which RPC ends, nor start
another. Times are microseconds.
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
    """Ends RPCs.

    Invariant: an RPC gets one final response at most, and none after it is COMPLETED; it is released once, as
    soon as it is completed and its key is not stored any more.
    """

    def __init__(self, port: Port, state: NodeState, advice: RejectionAdvice) -> None:
        """End RPCs of a node in this state."""
        self._port = port
        self._table = state.table
        self._memory = state.memory
        self._keys = state.keys
        self._queue = state.queue
        self._runs = state.runs
        self._calls = state.calls
        self._advice = advice

    def reject(self, now: int, rpc: RpcHandle, reason: RejectionReason, expected_wait: float = 0) -> None:
        """Reject an RPC that never ran; `expected_wait`: until it might have got a core here."""
        do_not_retry = self._advice.do_not_retry(now, rpc)
        retry_after = self._advice.retry_after(expected_wait)
        self._port.reject(rpc.index, reason, retry_after, do_not_retry)
        self.complete(now, rpc)

    def fail(self, now: int, rpc: RpcHandle) -> None:
        """Send the response that it failed; a run goes on to its end, or is stopped where that is allowed."""
        if rpc.response_pending:
            self._port.fail(rpc.index)
        rpc.response_sent = True
        if rpc.state in (QUEUED, SHARING, PAUSED):
            self.complete(now, rpc)
        elif rpc.state is RUNNING and rpc.method.stoppable:
            self._port.stop(rpc.index)

    def drop_queued(self, now: int, rpc: RpcHandle, reason: RejectionReason) -> None:
        """Take an RPC out of the queue for good; a paused one has run, and is failed instead of rejected."""
        self._queue.remove(rpc)
        if rpc.has_run:
            self.fail(now, rpc)
        else:
            self.reject(now, rpc, reason)

    def complete(self, now: int, rpc: RpcHandle) -> None:
        """Give back what an RPC held; the key of what never ran is of no use."""
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
        """Release a completed RPC."""
        self._table.remove(rpc)
        self._port.release(rpc.index)
