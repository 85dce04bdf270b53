"""One keeper: votes for one holder of each key, and keeps how its run ended.

Owns the claims that it voted for, until their life is over. `reduce(now, what)` takes one input and returns
effects; no I/O, clock or lock. `now` is the boot clock in whole microseconds. It must never vote for two
holders of one key while a claim on it lives, nor answer before all claims that an earlier process of its name
may have voted for are over: it has no disk.

Inputs: `("tick",)`, `("got", address, datagram)`, `("end",)`. Effects: `("send", address, datagram)`.

Bounds: `figures.entries` claims, and as many released attempts; both age out with the claim's life.
"""

from collections import OrderedDict

from finchcart.key_leases import wire
from finchcart.key_leases.wire import ENDED, FAILED, FULL, HELD, OTHER_BODY, RELEASED, YES, Noted, Vote, Votes
from finchcart.membership import codec

SWEEP = 64  # claims looked at in a tick


class Entry:
    """A claim: whose it is, and how its run ended, if it has."""

    __slots__ = ("session", "attempt", "body", "state", "result", "until")

    def __init__(self, session, attempt, body, until):
        self.session, self.attempt, self.body, self.until = session, attempt, body, until
        self.state, self.result = HELD, b""


class Keeper:
    def __init__(self, fleet, figures, now):
        self.fleet, self.figures = fleet, figures
        self.silent_until = now + figures.silence
        # released: (key, session) -> (attempt, until)
        self.entries, self.released = OrderedDict(), OrderedDict()
        self.now, self.counts, self.effects, self.ended = now, {}, [], False

    def reduce(self, now, what):
        self.effects = effects = []
        self.now = now = max(now, self.now)
        if what[0] == "got":
            self.on_got(now, what[1], what[2])
        elif what[0] == "tick":
            self.sweep(now)
        elif what[0] == "end":
            self.ended = True
        return effects

    def count(self, reason):
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def on_got(self, now, address, data):
        try:
            said = wire.CODEC.decode(self.fleet, data)
        except codec.DatagramError as error:
            return self.count(str(error))
        if now < self.silent_until:
            return self.count("silent after the start")
        if isinstance(said, wire.Claim):
            votes = [Vote(ask.key, ask.attempt, *self.vote(now, said.session, ask)) for ask in said.asks]
            # What has no room in one datagram is asked for again.
            votes = codec.take_fitting(votes, codec.MAX_DATAGRAM_BYTES - 120)
            self.send(address, Votes(said.session, votes))
        elif isinstance(said, wire.Say):
            for line in said.lines:
                self.note(now, said.session, line)
            noted = [(line.key, line.attempt, line.kind) for line in said.lines]
            self.send(address, Noted(said.session, noted))
        else:
            self.count("not for a keeper")

    def send(self, address, said):
        self.effects.append(("send", address, wire.CODEC.encode(self.fleet, said)))

    # ---- claims

    def entry(self, now, key):
        entry = self.entries.get(key)
        if entry is not None and entry.until <= now:
            del self.entries[key]
            return None
        return entry

    def vote(self, now, session, ask):
        """(kind, result) of one try."""
        attempt, until = self.released.get((ask.key, session), (-1, 0))
        if ask.attempt <= attempt and now < until:
            return (RELEASED,)  # guards against a late copy of a claim that was given back
        if ask.life > self.figures.life:
            self.count("a life longer than kept")
            return (FULL,)
        entry = self.entry(now, ask.key)
        if entry is None:
            if len(self.entries) >= self.figures.entries:
                self.count("full")
                return (FULL,)
            self.entries[ask.key] = Entry(session, ask.attempt, ask.body, now + self.figures.wide(ask.life))
            return (YES,)
        if entry.body != ask.body:
            self.count("another body")
            return (OTHER_BODY,)
        if entry.session == session and entry.attempt == ask.attempt and entry.state == HELD:
            return (YES,)
        # Also for a later try of the same process, until it said of the earlier one that it never ran: it may
        # have ended, and the word of that is on its way.
        return entry.state, entry.result

    def release(self, now, key, session, attempt, until):
        before, _ = self.released.get((key, session), (-1, 0))
        until = max(until, now + self.figures.wide(self.figures.life))
        self.released[key, session] = max(before, attempt), until
        self.released.move_to_end((key, session))
        while len(self.released) > self.figures.entries:
            self.released.popitem(last=False)

    def note(self, now, session, line):
        """How the run of a claim ended, by its holder alone."""
        entry = self.entry(now, line.key)
        mine = entry is not None and entry.session == session and entry.attempt == line.attempt
        if line.kind == RELEASED:
            self.release(now, line.key, session, line.attempt, now)
            if mine and entry.state == HELD:
                del self.entries[line.key]
        elif line.kind in (ENDED, FAILED):
            if mine:
                entry.state, entry.result = line.kind, line.result
            elif entry is None:
                # It voted for nobody: it was not reached when the claim was made, or is new since.
                until = now + self.figures.wide(self.figures.life)
                new = self.entries[line.key] = Entry(session, line.attempt, line.body, until)
                new.state, new.result = line.kind, line.result
                self.count("an outcome without a claim")

    def sweep(self, now):
        """Some of the oldest each tick: claims are made in about the order in which they end."""
        tables = (self.entries, lambda entry: entry.until), (self.released, lambda held: held[1])
        for table, until in tables:
            for _ in range(min(SWEEP, len(table))):
                key, value = next(iter(table.items()))
                if until(value) > now:
                    break
                del table[key]
