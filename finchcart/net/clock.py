"""The clock of the node, on which all its deadlines, timers and durations are measured.

The node uses the boot clock. The wall clock can step, so nothing is ordered by it. CLOCK_MONOTONIC stops
while the machine is suspended, but callers continue to wait in real time: a timer whose time has
passed during the suspension must be due when the machine resumes. This module has no state.
"""

from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns
from typing import NamedTuple

MAX_READING_US = 500  # longest time between the two boot clock readings around a wall clock reading
READING_ATTEMPTS = 3


class ClockReading(NamedTuple):
    """A simultaneous reading of the boot clock and the wall clock, in whole microseconds."""

    boot: int
    unix: int


def boot_clock() -> int:
    """Return the time since the machine booted, including suspension, in whole microseconds."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1000


def read_clocks() -> ClockReading:
    """Read both clocks; retry if the thread was interrupted between the readings."""
    for _ in range(READING_ATTEMPTS):
        before = boot_clock()
        unix = time_ns() // 1000
        after = boot_clock()
        if after - before <= MAX_READING_US:
            break
    return ClockReading((before + after) // 2, unix)
