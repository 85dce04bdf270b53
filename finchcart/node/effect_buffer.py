"""One turn of a node's state: its time, the effects asked for, timers and log lines.

Owns the clock value of the turn, the list of effects, the heap of timers and the numbers of links that the
node makes. All pieces of a node share one `Turn`; it must never know what they do with it.

The types of effects: effects.py.
"""

from heapq import heappop, heappush

from finchcart.node.effects import Connect, Log


def own_connections_first(inputs):
    """The inputs of one turn with those of the node's own links first: what is under way goes before those
    who want more. Guards against an end that overtakes what was read before it: each link's order is kept."""
    return sorted(inputs, key=lambda what: getattr(what, "connection", 0) >= 0)


class EffectBuffer:
    """Times are whole microseconds. Links that the node makes have numbers from -1 down."""

    def __init__(self, log_again):
        self.now, self.effects = 0, []
        self.log_again = log_again  # between lines on faults of one party
        self.timers, self.made = [], 0  # heap of (when, number, what)
        self.faults, self.links = {}, 0
        self.owners = {}  # link -> the piece that hears of it, until it is closed

    def begin(self, now):
        """All timers that are due ring; returns the list that this turn's effects are added to."""
        self.now = now = max(now, self.now)
        self.effects = effects = []
        timers = self.timers
        while timers and timers[0][0] <= now:
            _, _, act, args = heappop(timers)
            act(*args)
        return effects

    def due(self):
        """When the next timer is due, or None."""
        return self.timers[0][0] if self.timers else None

    def emit(self, effect):
        self.effects.append(effect)

    def at(self, when, act, *args):
        self.made += 1
        heappush(self.timers, (when, self.made, act, args))

    def connect(self, kind, address, owner):
        """Asks for a link of that kind; `owner` hears what comes of it. Returns its number."""
        self.links -= 1
        self.owners[self.links] = owner
        self.emit(Connect(self.links, kind, address))
        return self.links

    def fault(self, whose, text):
        """One line for many faults of the same party: the next line has the count of those not told."""
        told, missed = self.faults.get(whose, (None, 0))
        if told is not None and self.now - told < self.log_again:
            self.faults[whose] = told, missed + 1
        else:
            self.faults[whose] = self.now, 0
            self.emit(Log(f"{whose}: {text}" + (f"; {missed} more since the last line" if missed else "")))
