"""Start of queued RPCs, in the order of the queue, as far as the limits allow.

This module has no state. It must not change the order of the queue or a limit.
"""

from finchcart.decisions.completion import Completion
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.port import Port
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcHandle


class RunStarter:
    """Starts queued RPCs and resumes paused ones."""

    def __init__(self, port: Port, state: NodeState, pausing: Pausing, completion: Completion) -> None:
        """Start RPCs from the queue of this state."""
        self._port = port
        self._queue = state.queue
        self._runs = state.runs
        self._memory = state.memory
        self._concurrency = state.concurrency
        self._pausing = pausing
        self._deadlines = state.deadlines
        self._completion = completion

    def start_queued(self, now: int) -> None:
        """Start queued RPCs and resume paused ones.

        While at least half of the cores are busy, drop RPCs that cannot meet their objective any more.
        """
        queue = self._queue.entries
        if not queue:
            return
        runs = self._runs
        limit = self._concurrency.max_in_progress(now)
        while queue and runs.in_progress < limit:
            rpc = queue[0][2]
            if runs.on_cores * 2 >= runs.cores and self._deadlines.misses_objective(now, rpc):
                self._completion.drop_queued(now, rpc, RejectionReason.MISSES_OBJECTIVE)
            elif self._may_start(rpc):
                self._start_first(now, rpc)
            else:
                break

    def _start_first(self, now: int, rpc: RpcHandle) -> None:
        self._queue.remove_first()
        if not rpc.has_run:
            self._memory.reserve(rpc.extra_run_kb)
        self._runs.begin(now, rpc)
        self._port.run(rpc.index)

    def _may_start(self, rpc: RpcHandle) -> bool:
        further_kb = 0 if rpc.has_run else rpc.extra_run_kb
        if not self._memory.can_start(further_kb):
            return False
        runs = self._runs
        has_core = runs.on_cores - len(runs.pausing) < self._concurrency.limit
        return has_core or self._pausing.pause_least_critical(rpc.method.criticality)
