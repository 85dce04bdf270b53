"""Converts Unix timestamps of RPCs to times of the node's clock, although the wall clock may have stepped.

`WallClockHistory` owns the offsets of the machine's wall clock from the node's clock, with the period in
which each offset was in force, and the offsets of other clocks by which dispatchers set timestamps. All other
code works with the node's clock alone: nothing may be ordered or measured by the wall clock.

An RPC carries a timestamp, the Unix time at which it reached the machine. If the wall clock has stepped since
then, a timestamp can correspond to two times of the node's clock, or to none. The conversion considers the
candidate times in this order:

1. A candidate that lies within the period of its offset, as far as the node observed the clock.
2. A candidate by the offset of another period: the clock that set the timestamp did not step.
3. A candidate by the offset of another clock.

A candidate before the time at which the connection was last read empty is not possible. If all candidates lie
before that time, the RPC was read late from a connection that was accepted late, or its timestamp was set
shortly before it was written: then a candidate within its period counts after all, or else the latest
candidate. `Arrival` has the earliest and the latest of the times that remain.

If there is no candidate, the timestamp is from a clock that this process has not observed: either the
machine's clock stepped before the process started, or the dispatcher uses a clock of its own. In that case
the connection alone bounds the arrival, and the offset is recorded as that of another clock. The offset is
used for later timestamps, and is raised when an RPC shows that it is too low. A timestamp that differs from
the machine's wall clock by more than `MAX_CLOCK_DIFFERENCE_US` is not valid. A dispatcher gains nothing by a
wrong timestamp: a timestamp of the current time makes its RPC look just as recent.

The error of an RPC's computed age is the sum of the time between two readings of the clock if the step
happened between them (one event-loop turn, or a suspension of the process), of the slew of the clock during
that age, and of 1 ms, the resolution of timestamps.
"""

from collections import deque
from typing import NamedTuple

STEP_THRESHOLD_US = 10_000  # a larger change of the offset between two readings is a step, not slew
MAX_PERIODS = 16  # the latest periods are kept; timestamps older than the deadlines are not valid anyhow
TIMESTAMP_UNIT_US = 1_000  # timestamps are truncated to whole milliseconds
DISTANT_PAST = -(1 << 62)
MAX_OTHER_CLOCKS = 4  # the clocks that were recorded last are kept
OTHER_CLOCK_ERROR_US = 1_000_000  # how long the RPC that defined an offset may have waited to be read
MAX_CLOCK_DIFFERENCE_US = 24 * 3600 * 1_000_000  # errors of time zone or date are below one day


class Arrival(NamedTuple):
    """The earliest and the latest time, on the node's clock, at which an RPC can have reached the machine."""

    earliest: int
    latest: int


class ClockPeriod:
    """A period in which the wall clock did not step. Times are on the node's clock."""

    __slots__ = ("begins", "ends", "offset")

    def __init__(self, begins: int, ends: int | None, offset: int) -> None:
        self.begins = begins  # the earliest time at which the period can have begun
        self.ends = ends  # the latest time at which the period can have ended; None for the current period
        self.offset = offset  # wall clock minus node's clock, in microseconds

    def includes(self, time_us: int) -> bool:
        """Return whether the period's offset can have been in force at that time."""
        return self.begins - TIMESTAMP_UNIT_US <= time_us and (self.ends is None or time_us <= self.ends)


class WallClockHistory:
    """The offsets of the wall clock by period, and those of other clocks. Times are whole microseconds."""

    def __init__(self) -> None:
        self.other_clocks: deque[int] = deque([], MAX_OTHER_CLOCKS)  # offsets from the node's clock
        self._periods: deque[ClockPeriod] = deque([ClockPeriod(DISTANT_PAST, None, 0)], MAX_PERIODS)
        self._read_at: int | None = None

    def record(self, now: int, unix_us: int) -> int:
        """Record a reading of the wall clock at `now`; return the size of its step in microseconds, or 0."""
        current = self._periods[-1]
        offset = unix_us - now
        step = offset - current.offset
        if self._read_at is None:
            current.offset = offset
            step = 0
        elif abs(step) <= STEP_THRESHOLD_US:
            current.offset = offset  # a change this small is slew, not a step
            step = 0
        else:
            current.ends = now
            self._periods.append(ClockPeriod(self._read_at, None, offset))
        self._read_at = now
        return step

    def to_unix(self, now: int) -> int:
        """Convert a time of the node's clock to Unix time, by the last reading of the wall clock."""
        return now + self._periods[-1].offset

    def arrival(
        self, timestamp: int, not_before: int, received_at: int, oldest: int, lead: int
    ) -> Arrival | None:
        """Return when an RPC with that timestamp arrived; None if no known clock yields a candidate time.

        Arguments:
            timestamp: the Unix time that the RPC carries.
            not_before: when the connection was last read empty; the RPC cannot have arrived earlier.
            received_at: when the RPC was read; it cannot have arrived later.
            oldest: an arrival before this time is not valid.
            lead: how far the timestamp may be ahead of the clock.
        """
        candidates_by_period = [
            (timestamp - period.offset, period)
            for period in self._periods
            if oldest <= timestamp - period.offset <= received_at + lead
        ]
        within_period = [time_us for time_us, period in candidates_by_period if period.includes(time_us)]
        by_any_period = [time_us for time_us, _ in candidates_by_period]
        by_other_clocks = [
            timestamp - offset
            for offset in self.other_clocks
            if oldest <= timestamp - offset <= received_at + OTHER_CLOCK_ERROR_US
        ]
        not_before -= TIMESTAMP_UNIT_US
        for candidates in (within_period, by_any_period, by_other_clocks):
            possible = [time_us for time_us in candidates if time_us >= not_before]
            if possible:
                self._correct_other_clock(timestamp, max(possible), received_at)
                return Arrival(min(*possible, received_at), min(max(possible), received_at))
        # The connection was accepted late, or the timestamp was set before the connection was read empty and
        # the RPC was written after that.
        if within_period:
            return Arrival(min(within_period), min(max(within_period), received_at))
        nearest = max(by_any_period or by_other_clocks, default=None)
        return None if nearest is None else Arrival(nearest, nearest)

    def _correct_other_clock(self, timestamp: int, arrived_at: int, received_at: int) -> None:
        """Raise the offset of another clock if by that offset an RPC arrived after it was read."""
        offset = timestamp - arrived_at
        if arrived_at > received_at and offset in self.other_clocks:
            self.other_clocks[self.other_clocks.index(offset)] = timestamp - received_at

    def add_other_clock(
        self, timestamp: int, not_before: int, received_at: int, oldest: int, lead: int
    ) -> Arrival | None:
        """Record the clock of a timestamp for which `arrival` returned None; return when its RPC arrived.

        The arguments are those of `arrival`. Returns None, and records nothing, if the timestamp is merely
        too old by a known clock, or differs from the wall clock by more than `MAX_CLOCK_DIFFERENCE_US`.
        """
        is_known = any(
            not_before - TIMESTAMP_UNIT_US <= timestamp - period.offset <= received_at + lead
            for period in self._periods
        )
        if is_known or abs(timestamp - self.to_unix(received_at)) > MAX_CLOCK_DIFFERENCE_US:
            return None
        self.other_clocks.append(timestamp - received_at)
        return Arrival(min(max(not_before, oldest), received_at), received_at)
