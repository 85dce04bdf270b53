"""Runs whose command or notice may have been lost: counted as running until something proves that they ended.

Owns for how long each counts, and how its first run ended where a second one may have been started. It must
never let a run go that may be running: what ends one is a notice of the worker pool, its restart, or the time
that the settings let a run take.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.rpc import NodeRpc


class RunEnd(NamedTuple):
    """How a run ended."""

    outcome: Outcome
    spent_us: int
    result: bytes


class UnconfirmedRun(NamedTuple):
    """A run that may be in progress."""

    rpc: NodeRpc
    first_end: RunEnd | None  # None: nothing is known of it
    number: int


class UnconfirmedRuns:
    """The unconfirmed runs by index of their RPC. Times are whole microseconds.

    `on_expired(rpc, first_end)` is called where no notice of one came in time. Bounds: the runs that the
    decision module allows at once; each leaves by a notice or after its time.
    """

    def __init__(
        self, effect_buffer: EffectBuffer, on_expired: Callable[[NodeRpc, RunEnd | None], None]
    ) -> None:
        self._turn = effect_buffer
        self._on_expired = on_expired
        self._runs: dict[int, UnconfirmedRun] = {}
        self._added = 0

    def __contains__(self, index: int) -> bool:
        return index in self._runs

    def add(self, rpc: NodeRpc, limit_us: int, first_end: RunEnd | None = None) -> None:
        """Count the RPC's run as running for `limit_us` from now on, unless it is counted already."""
        if rpc.index in self._runs:
            return
        self._added += 1
        self._runs[rpc.index] = UnconfirmedRun(rpc, first_end, self._added)
        self._turn.statistics.count("unconfirmed runs")
        self._turn.schedule_after(limit_us, self._expire, rpc.index, self._added)

    def first_end(self, rpc: NodeRpc) -> RunEnd | None:
        """Return how the RPC's first run ended, where a second one may be in progress."""
        run = self._runs.get(rpc.index)
        return run.first_end if run else None

    def discard(self, rpc: NodeRpc) -> None:
        """Forget the RPC's run: a notice of it came, or it is over."""
        self._runs.pop(rpc.index, None)

    def clear(self) -> None:
        """Forget all: none of them runs any more."""
        self._runs.clear()

    def _expire(self, index: int, number: int) -> None:
        run = self._runs.get(index)
        if run and run.number == number:
            del self._runs[index]
            self._on_expired(run.rpc, run.first_end)
