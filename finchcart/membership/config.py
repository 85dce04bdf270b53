"""All figures of membership, in one type, and the bounds that follow from them.

Owns the times and sizes by which a member acts; filled once from the settings file. It must never hold what
is learnt while running. Times are whole microseconds.
"""

from dataclasses import dataclass
from math import ceil, log, log2

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class Figures:
    period: int = 500 * MS  # between beats to one member
    parts: int = 5  # a period has so many ticks: its beats are spread over them
    patience: int = 4  # periods without two-way contact after which a link is down, where nothing is lost
    patience_most: int = 10  # the same where much is lost
    link_wrong: float = 0.01  # patience is chosen so that loss alone takes a link for down this seldom
    suspect: int = 500 * MS  # who is out for so long is failed
    rise: int = 500 * MS  # a failed member is alive again after it was in for so long
    watch: int = 24  # members that each exchanges beats with, at most, rounded down to even
    remember: int = 600 * SECOND  # a failed or left member is forgotten after this
    revive: int = 8  # failed members and seeds sent a beat in a period
    members: int = 4096  # rows kept; when full, failed ones go first, then new ones are refused
    news: int = 256  # changed rows that wait to be passed on; the rest is left to the comparing of digests
    datagrams: int = 400  # sent in one period at most; what is over waits for the next tick
    ahead: int = 24 * 3600 * 1000  # milliseconds past the own wall clock: a later incarnation is impossible
    starved_most: int = 5 * SECOND  # a late member's patience grows by no more

    @property
    def tick(self):
        return self.period // self.parts

    @property
    def gap(self):
        """A tick later than this is a pause: nothing believed before it counts."""
        return self.period + self.tick

    def periods(self, loss):
        """Patience at a measured part of messages lost on the way. A link of `n` periods has n tries there
        and back, taken in turn: all fail by chance with (n (1 - p) + 1) p^n or less."""
        for n in range(self.patience, self.patience_most):
            if loss <= 0 or (n * (1 - loss) + 1) * loss**n <= self.link_wrong:
                return n
        return self.patience_most

    def link(self, loss=0.0, late=0):
        """Without two-way contact for so long a link is down; `late`: by so much the own ticks run late."""
        return self.periods(loss) * self.period + min(4 * late, self.starved_most)

    def spread(self, count, loss=0.0):
        """News at all of `count` connected members: each step takes a tick to go out, and a period more where
        it was lost, so often that at most one member in a hundred fleets lacks it."""
        steps = 1 if count <= self.watch + 1 else ceil(log(count) / log(self.watch)) + 1
        again = 0 if loss <= 0 else ceil(log(0.01 / max(1, count)) / log(loss)) - 1
        return steps * 2 * self.tick + again * self.period

    def failed_within(self, count, loss=0.0, late=0):
        """From a death until all others have it as failed."""
        return self.link(loss, late) + 2 * self.tick + self.spread(count, loss) + self.suspect + 2 * late

    def stale(self, count, loss=0.0, late=0):
        """How old what a view says of a member can be, whatever failed between them."""
        return self.failed_within(count, loss, late) + self.period

    def known(self, count):
        """How often a changed row is passed on by each member that has it."""
        return 3 * max(1, ceil(log2(count + 1)))
