"""Unix times that a protocol carries, turned into the node's own time and nowhere else.

Owns what is known of the machine's wall clock: how far it was ahead of the node's clock, and when that
changed. It must never set a span or order anything: spans are counted on the node's clock alone.

An RPC carries in Unix time when it reached the machine. The wall clock may have stepped since; then the same
stamp can mean two moments, or none. A moment counts if the clock stood so at that moment, as far as the node
saw it; if none does, the stamp is of a clock that did not step, and an offset that was seen before is taken.
A moment before the connection was last read empty is not possible, whatever its stamp. What is still
open is left open: `Arrival` has the earliest and the latest moment.

Error of an age: the time between two readings of the clock, where the step fell between them (a turn of the
event loop, or the pause of a process); what the clock slewed in that age; 1 ms, the unit of stamps.
"""

from collections import deque
from typing import NamedTuple

STEP_US = 10_000  # a change of the offset between two readings, beyond slewing, is a step
MAX_PERIODS = 16  # that are remembered, the latest; a stamp older than the deadlines is not valid anyhow
STAMP_UNIT_US = 1_000  # a stamp is cut off to whole milliseconds
NEVER = -(1 << 62)


class Arrival(NamedTuple):
    """When an RPC reached the machine, on the node's clock: between these two moments."""

    earliest: int
    latest: int


class ClockPeriod:
    """A time in which the wall clock did not step."""

    __slots__ = ("begins", "ends", "offset")

    def __init__(self, begins: int, ends: int | None, offset: int) -> None:
        self.begins = begins  # the earliest moment, on the node's clock
        self.ends = ends  # the latest moment; None: it lasts
        self.offset = offset  # microseconds that the wall clock was ahead

    def includes(self, moment: int) -> bool:
        """Whether the clock can have stood so at that moment."""
        return self.begins - STAMP_UNIT_US <= moment and (self.ends is None or moment <= self.ends)


class WallClockHistory:
    """What was seen of the wall clock. All times are whole microseconds. Bounds: `MAX_PERIODS`."""

    def __init__(self) -> None:
        self._periods: deque[ClockPeriod] = deque([ClockPeriod(NEVER, None, 0)], MAX_PERIODS)
        self._read_at: int | None = None

    def record(self, now: int, unix_us: int) -> int:
        """Record a reading of the wall clock at `now`; return the microseconds by which it stepped, or 0."""
        current = self._periods[-1]
        offset = unix_us - now
        step = offset - current.offset
        if self._read_at is None:
            current.offset = offset
            step = 0
        elif abs(step) <= STEP_US:
            current.offset = offset  # slewed
            step = 0
        else:
            current.ends = now
            self._periods.append(ClockPeriod(self._read_at, None, offset))
        self._read_at = now
        return step

    def to_unix(self, now: int) -> int:
        """Return the Unix time of a moment of the node's clock, by the last reading."""
        return now + self._periods[-1].offset

    def arrival(
        self, stamp: int, not_before: int, received_at: int, oldest: int, lead: int
    ) -> Arrival | None:
        """Return when an RPC with that stamp arrived; None where the stamp can mean no such moment.

        Arguments:
            stamp: Unix time.
            not_before: the RPC cannot have arrived before, as its connection was read empty then.
            received_at: when it was read; it cannot have arrived later.
            oldest: an arrival before this moment is not valid.
            lead: a stamp may be ahead of the clock by this.
        """
        moments = [
            (stamp - period.offset, period)
            for period in self._periods
            if oldest <= stamp - period.offset <= received_at + lead
        ]
        seen = [moment for moment, period in moments if period.includes(moment)]
        others = [moment for moment, _ in moments]
        not_before -= STAMP_UNIT_US
        for candidates in (
            [moment for moment in seen if moment >= not_before],
            [moment for moment in others if moment >= not_before],
            seen,
            others,
        ):
            if candidates:
                return Arrival(min(*candidates, received_at), min(max(candidates), received_at))
        return None
