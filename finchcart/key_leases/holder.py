"""A node's side of claims: asks a majority of the keepers before a run is commanded, tells them how it ended.

Owns the tries of this process and what was not yet heard of by the keepers. `reduce(now, what)` takes one
input and returns effects; no I/O, clock or lock. `now` is the boot clock in whole microseconds. It must never
say that a key is its own without the votes of a majority for one try, all asked for less than `command` ago,
nor try a key again before it gave the earlier try back.

Inputs: `("claim", [(key, body, life), ...])`, `("ended", key, kind, result)` (of a run that was commanded:
ENDED or FAILED), `("never", key)` (it won't be commanded), `("leave_it", key)` (nobody waits any more),
`("got", address, datagram)`, `("tick",)`, `("end",)`. Effects: `("send", address, datagram)`, `("claimed",
key, kind, result, by)`: YES (command it until `by` on the boot clock or not at all), ENDED with the result,
FAILED, HELD (it runs elsewhere, and did not end in time), FULL (no majority, or no room: it never ran here),
OTHER_BODY.

Bounds: tries `figures.entries`; each ends with its answer, what is to be told with its life.
"""

from finchcart.key_leases import wire
from finchcart.key_leases.wire import (
    ENDED,
    FAILED,
    FULL,
    HELD,
    OTHER_BODY,
    RELEASED,
    YES,
    Ask,
    Claim,
    Say,
    Vote,
)
from finchcart.membership import codec

TELLS = 40  # times that an outcome or release is told to a keeper that does not answer


class Try:
    """One try to claim a key."""

    def __init__(self, now, key, body, life, attempt):
        self.key, self.body, self.life, self.attempt = key, body, life, attempt
        self.asked, self.due = now, now
        self.since, self.next = now, 0  # since: when the first try of this claim began
        self.votes, self.waiting = {}, False  # votes: keeper -> kind; waiting: for a run elsewhere


class Telling:
    """What keepers are to hear of a claim."""

    def __init__(self, now, line, keepers):
        self.line, self.left, self.due, self.times = line, set(range(keepers)), now, 0


class Claims:
    """`random`: of this process alone."""

    def __init__(self, name, fleet, figures, random, now):
        self.name, self.fleet, self.figures, self.random = name, fleet, figures, random
        self.session = random.getrandbits(64)
        self.places = [codec.parse_address(place) for place in figures.keepers]
        self.tries, self.mine, self.attempts = {}, {}, 0  # mine: key -> (attempt, body, until)
        self.telling = {}  # (key, attempt) -> Telling
        self.now, self.counts, self.effects, self.ended = now, {}, [], False

    def reduce(self, now, what):
        self.effects = effects = []
        self.now = now = max(now, self.now)
        if what[0] == "claim":
            self.on_claim(now, what[1])
        elif what[0] == "got":
            self.on_got(now, what[1], what[2])
        elif what[0] == "ended":
            self.on_ended(now, *what[1:])
        elif what[0] == "never":
            self.on_never(now, what[1])
        elif what[0] == "leave_it":
            trying = self.tries.pop(what[1], None)
            if trying:
                self.give_back(now, trying)
        elif what[0] == "end":
            self.ended = True
        self.send_due(now)
        return effects

    def count(self, reason):
        self.counts[reason] = self.counts.get(reason, 0) + 1

    # ---- tries

    def on_claim(self, now, asks):
        for key, body, life in asks:
            if key in self.tries or key in self.mine:
                self.count("claimed already")
            elif len(self.tries) + len(self.mine) >= self.figures.entries:
                self.answer(now, key, FULL)
            else:
                self.attempts += 1
                self.tries[key] = Try(now, key, body, life, self.attempts)

    def answer(self, now, key, kind, result=b"", by=None):
        self.count(("", "mine", "elsewhere", "ended", "failed", "", "no majority", "another body")[kind])
        self.effects.append(("claimed", key, kind, result, by))

    def give_back(self, now, trying):
        """It never ran and never will, under this attempt."""
        line = Vote(trying.key, trying.attempt, RELEASED)
        self.telling[trying.key, trying.attempt] = Telling(now, line, len(self.places))

    def on_votes(self, now, keeper, vote):
        trying = self.tries.get(vote.key)
        if trying is None or vote.attempt != trying.attempt:
            return
        trying.votes[keeper] = vote.kind
        if vote.kind in (ENDED, FAILED):
            # Only a holder with a majority runs, and only it says so: one keeper's word is enough.
            self.leave_with(now, trying, vote.kind, vote.result)
        elif vote.kind == OTHER_BODY:
            self.leave_with(now, trying, OTHER_BODY)
        elif sum(kind == YES for kind in trying.votes.values()) >= self.figures.majority:
            by = trying.asked + self.figures.command
            if now >= by:
                self.leave_with(now, trying, FULL)
                return
            del self.tries[vote.key]
            self.mine[vote.key] = trying.attempt, trying.body, now + self.figures.wide(trying.life)
            self.answer(now, vote.key, YES, b"", by)
        elif len(trying.votes) == len(self.places) or self.hopeless(trying):
            self.lost(now, trying)

    def hopeless(self, trying):
        """Whether no majority can come any more."""
        no = sum(kind != YES for kind in trying.votes.values())
        return no > len(self.places) - self.figures.majority

    def leave_with(self, now, trying, kind, result=b""):
        del self.tries[trying.key]
        self.give_back(now, trying)
        self.answer(now, trying.key, kind, result)

    def lost(self, now, trying):
        """Another has it, or it is split between several. Given back, and asked for again as a new try."""
        held = any(kind == HELD for kind in trying.votes.values())
        if now - trying.since >= (self.figures.wait if held else self.figures.answer):
            self.leave_with(now, trying, HELD if held else FULL)
            return
        self.give_back(now, trying)
        self.attempts += 1
        new = self.tries[trying.key] = Try(now, trying.key, trying.body, trying.life, self.attempts)
        new.since, new.waiting = trying.since, held
        pause = self.figures.ask if held else self.figures.again
        new.due = new.asked = now + pause // 2 + self.random.randrange(pause)

    # ---- runs that were commanded, or won't be

    def on_ended(self, now, key, kind, result=b""):
        """How the run ended; a result that is too large is told as lost."""
        attempt, body, _ = self.mine.pop(key, (None, 0, 0))
        if attempt is None:
            return self.count("not its own")
        if kind == ENDED and len(result) > self.figures.result:
            kind, result = FAILED, b""
        line = Vote(key, attempt, kind, result if kind == ENDED else b"", body)
        self.telling[key, attempt] = Telling(now, line, len(self.places))

    def on_never(self, now, key):
        attempt, _, _ = self.mine.pop(key, (None, 0, 0))
        if attempt is not None:
            self.telling[key, attempt] = Telling(now, Vote(key, attempt, RELEASED), len(self.places))

    # ---- messages

    def on_got(self, now, address, data):
        try:
            said = wire.CODEC.decode(self.fleet, data)
        except codec.DatagramError as error:
            return self.count(str(error))
        if address not in self.places or getattr(said, "session", None) != self.session:
            return self.count("not for this process")
        keeper = self.places.index(address)
        if isinstance(said, wire.Votes):
            for vote in said.votes:
                self.on_votes(now, keeper, vote)
        elif isinstance(said, wire.Noted):
            for key, attempt, kind in said.keys:
                telling = self.telling.get((key, attempt))
                if telling and telling.line.kind == kind:
                    telling.left.discard(keeper)
                    if not telling.left:
                        del self.telling[key, attempt]
        else:
            self.count("not for a holder")

    def send_due(self, now):
        """All that is due, many to a message."""
        figures = self.figures
        for key in [key for key, (_, _, until) in self.mine.items() if until <= now]:
            del self.mine[key]  # its claim is over: nothing to be told of it
            self.count("never told how it ended")
        asks, lines = [[] for _ in self.places], [[] for _ in self.places]
        for trying in list(self.tries.values()):
            if now < trying.due:
                continue
            if now - trying.asked >= figures.answer:
                self.lost(now, trying)
                continue
            trying.due = now + figures.again
            for keeper in range(len(self.places)):
                if keeper not in trying.votes:
                    asks[keeper].append(Ask(trying.key, trying.body, trying.attempt, trying.life))
        for which, telling in list(self.telling.items()):
            if now < telling.due:
                continue
            telling.due, telling.times = now + figures.again * min(8, 1 + telling.times), telling.times + 1
            for keeper in telling.left:
                lines[keeper].append(telling.line)
            if telling.times >= TELLS:
                del self.telling[which]
        for keeper, place in enumerate(self.places):
            for n in range(0, len(asks[keeper]), figures.batch):
                self.send(place, Claim(self.name, self.session, asks[keeper][n : n + figures.batch]))
            rest = lines[keeper]
            while rest:
                some = codec.take_fitting(rest[: figures.batch], codec.MAX_DATAGRAM_BYTES - 160)
                rest = rest[len(some) :]
                self.send(place, Say(self.name, self.session, some))

    def send(self, place, said):
        self.count("sent")
        self.effects.append(("send", place, wire.CODEC.encode(self.fleet, said)))
