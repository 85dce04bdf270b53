"""Handling of duplicates: RPCs whose idempotency key is stored on this node.

This module has no state. A duplicate must not run, as its method would take effect twice. See "Guards for the
rules" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.completion import Completion
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import COMPLETED, SHARING, RpcHandle


class Duplicates:
    """Answers duplicates with the result of the first RPC that has the same idempotency key."""

    def __init__(self, port: Port, state: NodeState, completion: Completion) -> None:
        """Look up first RPCs in this state."""
        self._port = port
        self._table = state.table
        self._memory = state.memory
        self._deadlines = state.deadlines
        self._completion = completion

    def answer(self, now: int, rpc: RpcHandle, first_index: int) -> bool:
        """Have a duplicate share the first RPC's result, or fail the duplicate, and return true.

        Return false, and do nothing, if the first RPC was completed without having run.
        """
        first = self._table.find(first_index)
        has_failed = False
        if first is not None and first.state is COMPLETED:
            if not first.has_run:
                return False
            has_failed = first.failed
        if not self._memory.can_share() or has_failed or self._deadlines.must_respond(now, rpc):
            self._completion.fail(now, rpc)
        else:
            rpc.state = SHARING
            self._port.answer_duplicate(rpc.index)
        return True
