"""Unix times that a protocol carries, turned into the node's own time and nowhere else.

Owns what is known of the machine's wall clock: how far it was ahead of the node's clock, and when that
changed, and how far other clocks are, by which dispatchers stamp. It must never set a span or order anything:
spans are counted on the node's clock alone.

An RPC carries in Unix time when it reached the machine. The wall clock may have stepped since; then the same
stamp can mean two moments, or none. A moment counts if the clock stood so at that moment, as far as the node
saw it; if none does, the stamp is of a clock that did not step, and an offset that was seen before is taken.
A moment before the connection was last read empty is not possible, whatever its stamp; where all are before
it and no period includes one, the stamp was made a little before it was written, and the latest is taken.
What is still open is left open: `Arrival` has the earliest and the latest moment.

A stamp that no offset makes possible is of a clock that this process never saw: the machine's was stepped
before it started, or the dispatcher's is another. The connection alone bounds its arrival then, and the
offset is kept as one of another clock: taken for the next stamps, and raised as one comes that was read
sooner. A stamp beyond `MAX_CLOCK_DIFFERENCE_US` is no clock's error. Whoever stamps wrongly gains nothing: a
stamp of now gives as much.

Error of an age: the time between two readings of the clock, where the step fell between them (a turn of the
event loop, or the pause of a process); what the clock slewed in that age; 1 ms, the unit of stamps.
"""

from collections import deque
from typing import NamedTuple

STEP_US = 10_000  # a change of the offset between two readings, beyond slewing, is a step
MAX_PERIODS = 16  # that are remembered, the latest; a stamp older than the deadlines is not valid anyhow
STAMP_UNIT_US = 1_000  # a stamp is cut off to whole milliseconds
NEVER = -(1 << 62)
MAX_OTHER_CLOCKS = 4  # that are remembered, the latest
OTHER_CLOCK_ERROR_US = 1_000_000  # an RPC whose offset was taken first may have waited so long to be read
MAX_CLOCK_DIFFERENCE_US = 24 * 3600 * 1_000_000  # wrong time zones and dates stay within a day


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
    """What was seen of the wall clock and of others.

    All times are whole microseconds. Bounds: `MAX_PERIODS`, `MAX_OTHER_CLOCKS`.
    """

    def __init__(self) -> None:
        self.other_clocks: deque[int] = deque([], MAX_OTHER_CLOCKS)  # their offsets from the node's clock
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
        """Return when an RPC with that stamp arrived; None where no clock that is known allows it.

        Arguments:
            stamp: Unix time.
            not_before: the RPC cannot have arrived before, as its connection was read empty then.
            received_at: when it was read; it cannot have arrived later.
            oldest: an arrival before this moment is not valid.
            lead: a stamp may be ahead of the clock by this.
        """
        known = [
            (stamp - period.offset, period)
            for period in self._periods
            if oldest <= stamp - period.offset <= received_at + lead
        ]
        seen = [moment for moment, period in known if period.includes(moment)]
        others = [moment for moment, _ in known]
        by_other_clocks = [
            stamp - offset
            for offset in self.other_clocks
            if oldest <= stamp - offset <= received_at + OTHER_CLOCK_ERROR_US
        ]
        not_before -= STAMP_UNIT_US
        for candidates in (seen, others, by_other_clocks):
            possible = [moment for moment in candidates if moment >= not_before]
            if possible:
                self._correct_other_clock(stamp, max(possible), received_at)
                return Arrival(min(*possible, received_at), min(max(possible), received_at))
        # The connection was accepted late, or the stamp made before it was read empty and written after it.
        if seen:
            return Arrival(min(seen), min(max(seen), received_at))
        nearest = max(others or by_other_clocks, default=None)
        return None if nearest is None else Arrival(nearest, nearest)

    def _correct_other_clock(self, stamp: int, moment: int, received_at: int) -> None:
        """Raise the offset of another clock by whose stamp an RPC was read before it was sent."""
        offset = stamp - moment
        if moment > received_at and offset in self.other_clocks:
            self.other_clocks[self.other_clocks.index(offset)] = stamp - received_at

    def add_other_clock(
        self, stamp: int, not_before: int, received_at: int, oldest: int, lead: int
    ) -> Arrival | None:
        """Record the clock of a stamp for which `arrival` gave None; return when its RPC arrived.

        Arguments as there. None where the stamp is just too old by a clock that is known, or no clock's.
        """
        is_known = any(
            not_before - STAMP_UNIT_US <= stamp - period.offset <= received_at + lead
            for period in self._periods
        )
        if is_known or abs(stamp - self.to_unix(received_at)) > MAX_CLOCK_DIFFERENCE_US:
            return None
        self.other_clocks.append(stamp - received_at)
        return Arrival(min(max(not_before, oldest), received_at), received_at)
