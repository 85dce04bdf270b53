"""Rate-limits log lines on faults: a few lines for each origin per interval, and a summary of the others.

The origin of a fault is the peer or component that it concerns. `FaultLog` owns the number of lines and the
suppressed faults, by cause, of each origin in the current interval. It must never suppress a fault without
counting it, nor keep a count beyond the interval.
"""

from collections import Counter
from collections.abc import Callable

LINES_PER_INTERVAL = 12  # for each origin; enough to log the first lost connections to a peer one by one
Schedule = Callable[..., None]


class OriginFaults:
    """The faults of one origin in the current interval."""

    def __init__(self) -> None:
        self.lines = 0
        self.suppressed: Counter[str] = Counter()  # number of faults by cause


class FaultLog:
    """Logs the faults of each origin. An origin has one record, until the end of its interval.

    Arguments:
        interval_us: the length of an origin's interval in microseconds; it begins with the first fault.
        write: writes one line.
        schedule: calls a function after a delay, as `EffectBuffer.schedule_after` does.
    """

    def __init__(self, interval_us: int, write: Callable[[str], None], schedule: Schedule) -> None:
        self._interval_us = interval_us
        self._write = write
        self._schedule = schedule
        self._origins: dict[str, OriginFaults] = {}

    def record(self, origin: str, cause: str, text: str) -> None:
        """Write a line, or only count the cause if the origin has used up its lines of this interval."""
        faults = self._origins.get(origin)
        if faults is None:
            faults = self._origins[origin] = OriginFaults()
            self._schedule(self._interval_us, self.summarize, origin)
        if faults.lines < LINES_PER_INTERVAL:
            faults.lines += 1
            self._write(f"{origin}: {text}")
        else:
            faults.suppressed[cause] += 1

    def summarize(self, origin: str) -> None:
        """End the origin's interval: write how many faults were suppressed, by cause."""
        faults = self._origins.pop(origin, None)
        if faults and faults.suppressed:
            causes = ", ".join(f"{cause} {count}" for cause, count in faults.suppressed.most_common())
            self._write(f"{origin}: {faults.suppressed.total()} lines suppressed: {causes}")

    def summarize_all(self) -> None:
        """Write the summary of every origin, before the process ends."""
        for origin in list(self._origins):
            self.summarize(origin)
