"""The times and sizes of claims, and the bounds that follow.

Owns the figures; filled once from the settings file. It must never hold what is learnt while running. Times
are whole microseconds. `drift`: the part by which any two clocks of the fleet may run apart.
"""

from dataclasses import dataclass
from math import ceil

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class KeyLeaseConfig:
    keepers: tuple = ()  # their addresses: 1, 3 or 5, the same everywhere
    life: int = 20 * SECOND  # the longest that a claim is kept: the longest window and what a try may be late
    command: int = 1 * SECOND  # a run is commanded so soon after its claim was asked for, or not at all
    answer: int = 200 * MS  # a claim without a majority is given up after this
    again: int = 50 * MS  # what was not answered is sent once more after this
    wait: int = 2 * SECOND  # a repeat waits so long for the outcome of a run elsewhere
    ask: int = 100 * MS  # meanwhile it asks so often
    drift: float = 0.001
    result: int = 256  # bytes of a result that keepers keep; a larger one is told as lost
    entries: int = 200_000  # claims that a keeper holds; when full, new ones are refused and repeats answered
    batch: int = 16  # claims in a message

    def wide(self, time):
        """So long on the own clock, and the time is over on any other that began before."""
        return ceil(time * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def startup_quiet_period(self):
        """A keeper that starts answers nobody before all claims that it may have voted for are over."""
        return self.wide(self.life)

    @property
    def quorum(self):
        return len(self.keepers) // 2 + 1

    def run_spacing_bound(self):
        """Two runs of one key are commanded at least so far apart."""
        return self.life - self.command

    def state_bytes_bound(self):
        """What a keeper holds when it is full: 500 bytes an entry measured, and its result."""
        return self.entries * (500 + self.result)


def validation_errors(figures):
    """(field, reason) of what can't hold."""
    if len(figures.keepers) not in (1, 3, 5):
        yield "keepers", f"{len(figures.keepers)} are named: a majority of 1, 3 or 5 is needed"
    if len(set(figures.keepers)) < len(figures.keepers):
        yield "keepers", "one is named twice: its vote would count double"
    if figures.command + 2 * figures.answer > figures.life // 2:
        yield (
            "command_ms",
            (
                f"{figures.command // MS} ms and the answer leave less than half of life_ms, "
                f"{figures.life // MS} ms, between two runs"
            ),
        )
