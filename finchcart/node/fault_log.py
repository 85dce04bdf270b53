"""Log lines on faults that may come by the thousand: a few for each party, and a count of the others.

Owns how many lines each party had in the interval under way, and what was left out of it by cause. It must
never leave a fault out without counting it, nor keep a count longer than the interval.
"""

from collections import Counter
from collections.abc import Callable

LINES_PER_INTERVAL = 12  # of one party: the first cuts of a link are seen one by one
Schedule = Callable[..., None]


class PartyFaults:
    """The faults of one party in the interval under way."""

    def __init__(self) -> None:
        self.lines = 0
        self.left_out: Counter[str] = Counter()  # by cause


class FaultLog:
    """Lines by party. Bounds: one record a party, for as long as its interval lasts.

    Arguments:
        interval_us: for so long the lines of a party are counted together, in microseconds.
        write: writes one line.
        schedule: has a function called after a delay, as `EffectBuffer.schedule_after`.
    """

    def __init__(self, interval_us: int, write: Callable[[str], None], schedule: Schedule) -> None:
        self._interval_us = interval_us
        self._write = write
        self._schedule = schedule
        self._parties: dict[str, PartyFaults] = {}

    def record(self, party: str, cause: str, text: str) -> None:
        """Write a line, or count it under its cause where the party had its lines."""
        faults = self._parties.get(party)
        if faults is None:
            faults = self._parties[party] = PartyFaults()
            self._schedule(self._interval_us, self.summarize, party)
        if faults.lines < LINES_PER_INTERVAL:
            faults.lines += 1
            self._write(f"{party}: {text}")
        else:
            faults.left_out[cause] += 1

    def summarize(self, party: str) -> None:
        """Write what was left out: the party's interval is over."""
        faults = self._parties.pop(party, None)
        if faults and faults.left_out:
            causes = ", ".join(f"{cause} {count}" for cause, count in faults.left_out.most_common())
            self._write(f"{party}: {faults.left_out.total()} lines left out: {causes}")

    def summarize_all(self) -> None:
        """Write what was left out so far, of every party: the process ends."""
        for party in list(self._parties):
            self.summarize(party)
