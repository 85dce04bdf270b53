"""One turn of a node's state: its time, the effects asked for, timers and log lines.

Owns the clock value of the turn, the list of effects, the heap of timers and the numbers of links that the
node makes. All pieces of a node share one `Turn`; it must never know what they do with it.

Effects are plain tuples: `("read", link)` (deliver one batch more), `("send", link, bytes)`,
`("send_by", link, bytes, by)` (until then on the boot clock, or the link breaks), `("use", name, leased,
wants)` (of a limit of the fleet, see meter.py), `("evidence", map)` (for its verdicts, see witness.py),
`("claim", input)` (see claims/holder.py),
`("close", link)` (once all is written), `("finish", link)` (if nothing is on its way; `finished` tells),
`("drop", link)` (at once), `("connect", link, kind, address)`,
`("report", address, bytes)`, `("later", input)`, `("log", text)`, `("unlisten",)` (no new connections),
`("end",)`.
"""

from heapq import heappop, heappush


def own_first(inputs):
    """The inputs of one turn with those of the node's own links first: what is under way goes before those
    who want more. Guards against an end that overtakes what was read before it: each link's order is kept."""
    own = lambda what: len(what) > 1 and isinstance(what[1], int) and what[1] < 0
    return sorted(inputs, key=lambda what: not own(what))


class Turn:
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

    def ask(self, *effect):
        self.effects.append(effect)

    def at(self, when, act, *args):
        self.made += 1
        heappush(self.timers, (when, self.made, act, args))

    def connect(self, kind, address, owner):
        """Asks for a link of that kind; `owner` hears what comes of it. Returns its number."""
        self.links -= 1
        self.owners[self.links] = owner
        self.ask("connect", self.links, kind, address)
        return self.links

    def fault(self, whose, text):
        """One line for many faults of the same party: the next line has the count of those not told."""
        told, missed = self.faults.get(whose, (None, 0))
        if told is not None and self.now - told < self.log_again:
            self.faults[whose] = told, missed + 1
        else:
            self.faults[whose] = self.now, 0
            self.ask("log", f"{whose}: {text}" + (f"; {missed} more since the last line" if missed else ""))
