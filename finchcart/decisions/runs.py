"""The runs that began and did not end: their states, and how many there are.

Owns the counts, so that nothing is added up over all RPCs at each arrival. Decides nothing.
"""

from finchcart.decisions.rpc import AWAITING_CALL, PAUSED, RUNNING, RpcHandle


class RunCounts:
    """The runs in progress. Times are microseconds.

    Invariant: `in_progress` counts the RPCs in the states RUNNING, AWAITING_CALL and CALLING, `on_cores`
    those that are RUNNING; `expected_work` is the sum of the expected service times of the latter, and
    `pausing` a subset of them.
    """

    def __init__(self, cores: float) -> None:
        """Begin without a run; `cores`: of the node."""
        self.cores = cores
        self.in_progress = 0
        self.on_cores = 0
        self.expected_work = 0.0
        self.pausing: set[RpcHandle] = set()  # stopped to be paused, and not confirmed yet

    def begin(self, now: int, rpc: RpcHandle) -> None:
        """Count a queued run that begins, or a paused one that goes on."""
        if not rpc.has_run:
            rpc.started_at = now
        rpc.state = RUNNING
        rpc.has_run = True
        self._count_on_cores(rpc, 1)
        self.in_progress += 1

    def pause(self, rpc: RpcHandle, spent: int, remaining_service_time: float) -> None:
        """Count a run that yielded its core after `spent`; it keeps its memory."""
        self._count_on_cores(rpc, -1)
        self.in_progress -= 1
        rpc.state = PAUSED
        rpc.spent_before_pause += spent
        rpc.expected_service_time = remaining_service_time

    def suspend(self, now: int, rpc: RpcHandle) -> None:
        """Count a run that left its core to await a call."""
        rpc.state = AWAITING_CALL
        rpc.awaiting_since = now
        self._count_on_cores(rpc, -1)

    def resume(self, now: int, rpc: RpcHandle) -> None:
        """Count a run that goes on after its call, or without it."""
        rpc.state = RUNNING
        rpc.time_at_calls += now - rpc.awaiting_since
        self._count_on_cores(rpc, 1)

    def end(self, rpc: RpcHandle) -> None:
        """Count out a run that is over, whatever it waited for."""
        self.in_progress -= rpc.state is not PAUSED
        if rpc.state is RUNNING:
            self._count_on_cores(rpc, -1)

    def mark_pausing(self, rpc: RpcHandle) -> None:
        """Mark a run on a core as stopped to be paused."""
        self.pausing.add(rpc)

    def clear_pausing(self) -> None:
        """Count every run as going on: nothing pauses in a stall, what did not by the next timer goes on."""
        self.pausing.clear()

    def _count_on_cores(self, rpc: RpcHandle, change: int) -> None:
        self.on_cores += change
        self.pausing.discard(rpc)
        expected_work = self.expected_work + change * rpc.expected_service_time
        self.expected_work = expected_work * (self.on_cores > 0)  # no rounding error is left on free cores
