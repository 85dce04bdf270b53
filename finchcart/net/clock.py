"""The clock of the node: all its deadlines, timers and spans are counted on it.

Owns no state. Wall clocks order nothing here: they step. The boot clock and not CLOCK_MONOTONIC, since a
suspended machine's callers wait on in real time: what is due then is late when it wakes, as after a pause.
"""

from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns
from typing import NamedTuple

LONGEST_LOOK_US = 500  # between the two looks at the boot clock round one at the wall clock
LOOKS = 3


class ClockReading(NamedTuple):
    """What both clocks said at one moment, in whole microseconds."""

    boot: int
    unix: int


def boot_clock() -> int:
    """Return whole microseconds since the machine started, suspension counted."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1000


def read_clocks() -> ClockReading:
    """Read both clocks at one moment; anew where the thread was held up between."""
    for _ in range(LOOKS):
        before = boot_clock()
        unix = time_ns() // 1000
        after = boot_clock()
        if after - before <= LONGEST_LOOK_US:
            break
    return ClockReading((before + after) // 2, unix)
