"""The clock of the node: all its deadlines, timers and spans are counted on it.

Owns no state. The wall clock orders nothing here, as it steps. It is the boot clock and not CLOCK_MONOTONIC,
as callers of a suspended machine continue to wait in real time: what was due meanwhile is late when it wakes.
"""

from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns
from typing import NamedTuple

MAX_READING_US = 500  # between the two readings of the boot clock around one of the wall clock
READING_ATTEMPTS = 3


class ClockReading(NamedTuple):
    """Both clocks at one moment, in whole microseconds."""

    boot: int
    unix: int


def boot_clock() -> int:
    """Return the time since the machine started, with suspension, in whole microseconds."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1000


def read_clocks() -> ClockReading:
    """Read both clocks at one moment, again where the thread was interrupted in between."""
    for _ in range(READING_ATTEMPTS):
        before = boot_clock()
        unix = time_ns() // 1000
        after = boot_clock()
        if after - before <= MAX_READING_US:
            break
    return ClockReading((before + after) // 2, unix)
