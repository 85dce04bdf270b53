"""Expiry of RPCs whose response must be sent now, or whose result would be of no value.

This module has no state: on each timer event, it checks all active RPCs. See "Departures, and when they act"
in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.completion import Completion
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import AWAITING_CALL, PAUSED, QUEUED, RUNNING, RpcHandle


class Expiry:
    """Rejects or fails overdue RPCs."""

    def __init__(self, state: NodeState, completion: Completion) -> None:
        """Expire RPCs of this state."""
        self._table = state.table
        self._deadlines = state.deadlines
        self._shutdown = state.shutdown
        self._completion = completion

    def expire_overdue(self, now: int) -> None:
        """Reject or fail each overdue RPC, in the order of arrival.

        An RPC is overdue if its response must be sent now, or if its result would have no value.
        """
        for rpc in list(self._table.active.values()):
            if rpc.response_sent:
                continue
            must_end = self._deadlines.must_respond(now, rpc) or self._shutdown.outlives_grace(now, rpc)
            if rpc.state is QUEUED or rpc.state is PAUSED:
                if must_end:
                    self._completion.drop_queued(now, rpc, RejectionReason.DEADLINE_TOO_NEAR)
                elif self._deadlines.misses_objective(now, rpc):
                    self._completion.drop_queued(now, rpc, RejectionReason.MISSES_OBJECTIVE)
            elif must_end or (now > rpc.objective_at and _may_fail_when_late(rpc)):
                self._completion.fail(now, rpc)


def _may_fail_when_late(rpc: RpcHandle) -> bool:
    """Return whether the result of a run has no value after the objective, so that the RPC may be failed."""
    return rpc.method.worthless_when_late and (rpc.state is RUNNING or rpc.state is AWAITING_CALL)
