"""Calls held to the node's part of a limit of the whole fleet.

Owns what the node may have in hand: its floor, and beyond it what it was granted until a time on the boot
clock. What is in hand is the store's links, asked each time. It must never give out more than was granted,
nor decide which call is made: the module does, told how many there may be.

`now` is the boot clock in whole microseconds, set by the driver before each turn; the turn's own clock may be
set back, and would lengthen a grant.
"""

MS = 1_000


class Meter:
    """`slack`: a call is written so long after this turn began, or not at all; what is left of a grant is
    told to the store less this, so that the store ends the call itself however late this process is then."""

    def __init__(self, name, floor, slack):
        self.name, self.floor, self.slack = name, floor, slack
        self.amount, self.until, self.now = 0, 0, 0
        self.off = False  # the limit is in the settings no more
        self.told = None
        self.refused = 0

    def allow(self, floor, amount, until):
        if floor is None:
            self.off = True
        else:
            self.off, self.floor, self.amount, self.until = False, floor, amount, until

    def left(self):
        """Microseconds that a call beyond the floor may take from here on."""
        return self.until - self.now - self.slack - 2 * MS

    def room(self):
        """Calls that may be in hand now; None: as many as the module likes."""
        if self.off:
            return None
        return self.floor + (self.amount if self.left() > self.slack else 0)

    def take(self, store):
        """(leased, longest) for one more call: whether it is beyond the floor, and how long it may take there
        (None: as long as the module likes). None where there is no room."""
        if self.off:
            return False, None
        if store.in_hand(False) < self.floor:
            return False, None
        left = self.left()
        if left > self.slack and store.in_hand(True) < self.amount:
            return True, left
        self.refused += 1
        return None

    def use(self, store, standing):
        """(leased, wanted beyond the floor), where it is not what was told last."""
        leased = store.in_hand(True)
        said = leased, max(0, standing - self.floor)
        if said == self.told:
            return None
        self.told = said
        return said
