"""The clock of everything that a process shares with others on its machine or counts over a suspension.

Owns no state. Wall clocks order nothing here: they step.
"""

from time import CLOCK_BOOTTIME, clock_gettime_ns


def boot_clock() -> int:
    """Return whole microseconds since the machine started, suspension counted."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1000
