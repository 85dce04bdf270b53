"""Counts and state changes of the runs in progress.

The counts are kept up to date, so that no sum over all RPCs is needed at each arrival. This module makes no
decisions.
"""

from finchcart.decisions.rpc import AWAITING_CALL, PAUSED, RUNNING, RpcHandle


class RunCounts:
    """Counts of the runs in progress. Times are microseconds.

    Invariant: `in_progress` counts the RPCs in the states RUNNING, AWAITING_CALL and CALLING, and `on_cores`
    those in the state RUNNING. `expected_work` is the sum of the expected service times of the RPCs in the
    state RUNNING, and `pausing` a subset of these RPCs.
    """

    def __init__(self, cores: float) -> None:
        """Begin without runs; `cores` is the number of cores of the node."""
        self.cores = cores
        self.in_progress = 0
        self.on_cores = 0
        self.expected_work = 0.0
        self.pausing: set[RpcHandle] = set()  # told to pause, but the pause is not confirmed yet

    def begin(self, now: int, rpc: RpcHandle) -> None:
        """Record the start of a queued RPC's run, or the resumption of a paused run."""
        if not rpc.has_run:
            rpc.started_at = now
        rpc.state = RUNNING
        rpc.has_run = True
        self._count_on_cores(rpc, 1)
        self.in_progress += 1

    def pause(self, rpc: RpcHandle, duration: int, remaining_service_time: float) -> None:
        """Record that a run yielded its core after `duration` microseconds; the run keeps its memory."""
        self._count_on_cores(rpc, -1)
        self.in_progress -= 1
        rpc.state = PAUSED
        rpc.duration_before_pause += duration
        rpc.expected_service_time = remaining_service_time

    def suspend(self, now: int, rpc: RpcHandle) -> None:
        """Record that a run left its core to await a call."""
        rpc.state = AWAITING_CALL
        rpc.awaiting_since = now
        self._count_on_cores(rpc, -1)

    def resume(self, now: int, rpc: RpcHandle) -> None:
        """Record that a run occupies a core again because its call succeeded or the RPC was degraded."""
        rpc.state = RUNNING
        rpc.time_at_calls += now - rpc.awaiting_since
        self._count_on_cores(rpc, 1)

    def end(self, rpc: RpcHandle) -> None:
        """Record the end of a run, in whichever state it is."""
        self.in_progress -= rpc.state is not PAUSED
        if rpc.state is RUNNING:
            self._count_on_cores(rpc, -1)

    def mark_pausing(self, rpc: RpcHandle) -> None:
        """Mark a run on a core as told to pause."""
        self.pausing.add(rpc)

    def clear_pausing(self) -> None:
        """Treat all pausing runs as running again.

        A command to pause has no effect during a stall. A run that has not paused by the next timer event is
        taken to have missed the command.
        """
        self.pausing.clear()

    def _count_on_cores(self, rpc: RpcHandle, change: int) -> None:
        self.on_cores += change
        self.pausing.discard(rpc)
        expected_work = self.expected_work + change * rpc.expected_service_time
        self.expected_work = expected_work * (self.on_cores > 0)  # no runs on cores: clears rounding errors
