"""Runs whose command or notice may have been lost, and which the node counts as running for now.

`UnconfirmedRuns` owns the time for which each of them counts as running, and the end of the first run of an
RPC if a second run may have been started. It must never forget a run that may be in progress: an unconfirmed
run ends by a notice of the worker pool, by a restart of the worker pool, or when the longest time that the
settings allow for a run has passed.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.rpc import NodeRpc


class RunEnd(NamedTuple):
    """The end of a run, as the worker pool reported it."""

    outcome: Outcome
    spent_us: int
    result: bytes


class UnconfirmedRun(NamedTuple):
    """A run that may be in progress."""

    rpc: NodeRpc
    first_end: RunEnd | None  # end of the first of two runs; None: no end was reported
    # Distinguishes entries of the same index, so that an old timer does not expire a new entry.
    number: int


class UnconfirmedRuns:
    """The unconfirmed runs by the index of their RPC. Times are whole microseconds.

    `on_expired(rpc, first_end)` is called for a run if no notice of it arrived within its time limit. Bounds:
    at most as many runs as the decision module allows at once; each is removed by a notice or at its time
    limit.
    """

    def __init__(
        self, effect_buffer: EffectBuffer, on_expired: Callable[[NodeRpc, RunEnd | None], None]
    ) -> None:
        self._effect_buffer = effect_buffer
        self._on_expired = on_expired
        self._runs: dict[int, UnconfirmedRun] = {}
        self._added = 0

    def __contains__(self, index: int) -> bool:
        return index in self._runs

    def add(self, rpc: NodeRpc, limit_us: int, first_end: RunEnd | None = None) -> None:
        """Count the run of an RPC as running for `limit_us` from now on, unless it is already counted."""
        if rpc.index in self._runs:
            return
        self._added += 1
        self._runs[rpc.index] = UnconfirmedRun(rpc, first_end, self._added)
        self._effect_buffer.statistics.count("unconfirmed runs")
        self._effect_buffer.schedule_after(limit_us, self._expire, rpc.index, self._added)

    def first_end(self, rpc: NodeRpc) -> RunEnd | None:
        """Return the end of the first run of an RPC if a second run may be in progress, else None."""
        run = self._runs.get(rpc.index)
        return run.first_end if run else None

    def discard(self, rpc: NodeRpc) -> None:
        """Forget the run of an RPC, because a notice of the run arrived or the run has ended."""
        self._runs.pop(rpc.index, None)

    def clear(self) -> None:
        """Forget all runs, because a restart of the worker pool ended them."""
        self._runs.clear()

    def _expire(self, index: int, number: int) -> None:
        run = self._runs.get(index)
        if run and run.number == number:
            del self._runs[index]
            self._on_expired(run.rpc, run.first_end)
