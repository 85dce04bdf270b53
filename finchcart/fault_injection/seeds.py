"""Seeded runs on the virtual clock: faults of all kinds by chance, properties after every step.

Owns what must hold whatever happens, and the choice of faults. It knows the truth from the faults that it
made; it must never read a member's view to excuse what the member did. A seed that fails replays identically.
"""

from random import Random

import xxhash

from finchcart.fault_injection.virtual import Fleet
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.member import Member
from finchcart.membership.messages import DeclaredStatus

NAMES = [f"n{n:02d}" for n in range(12)]
FAULTS, CALM = 40 * SECOND, 12 * SECOND  # faults are made for so long; then all must come together again
CUTS = "pair", "both", "star", "deaf", "mute", "zone", "zone mute", "zone deaf", "flap", "ring"

KINDS = "kill", "stop", "term", "starve", "cut", "cut", "loss", "twin", "back", "forge"


class Breach(AssertionError):
    """What did not hold, when, and in which seed."""


class Run:
    """One seed. `make`: of a member, so that a planted defect can be played."""

    def __init__(self, seed, make=Member, kinds=None):
        self.seed, self.random = seed, Random(f"faults {seed}")
        self.figures = MembershipConfig(forget_after=600 * SECOND)
        self.fleet = Fleet(NAMES, seed, self.figures, watch=self.watch, make=make)
        self.fleet.add("twin")
        self.trace = xxhash.xxh3_64()
        self.kinds = kinds
        self.loss = 0.0
        self.down = {}  # name -> since when dead or gone
        self.disturbed = {}  # name -> until when its links may be too few, or it may be held for dead
        self.twins = None
        self.rows = {}  # (name, life) -> id -> the row it held last
        self.events = 0

    def breach(self, text):
        raise Breach(f"seed {self.seed}, {self.fleet.now / SECOND:.3f} s: {text}")

    # ---- what the members do

    def watch(self, now, name, effect):
        self.events += 1
        self.trace.update(f"{now} {name} {effect}".encode())
        if effect[0] == "change" and effect[2] == "failed":
            if self.steady(name) and self.steady(effect[1]):
                self.breach(f"{name} holds {effect[1]} to be failed, and both are well")

    def steady(self, name):
        if name == "twin" or self.twins == name:
            return False
        return name not in self.down and self.disturbed.get(name, 0) <= self.fleet.now

    def after_step(self, fleet):
        """Bounds and order, of the member that acted last: rows only ever grow newer, and are their
        owner's."""
        name = fleet.fed
        member = fleet.places[name].member if name in NAMES else None
        if member is None:
            return
        config = member.config
        if (
            len(member.known_members) > config.max_members
            or len(member.table.updates) > config.max_pending_updates
        ):
            self.breach(f"{name} holds more than its bounds")
        if (
            member.outbox.sent_in_period > config.max_datagrams
            or len(member.links) > len(member.known_members) + 1
        ):
            self.breach(f"{name} sends or links more than its bounds")
        digest = 0
        for known in member.known_members.values():
            digest ^= known.digest if known.state not in ("failed", "left") else 0
        if member.table.digest != digest:
            self.breach(f"{name} keeps a digest that is not of its rows")
        rows = self.rows.setdefault((name, fleet.places[name].life), {})
        for other, known in member.known_members.items():
            before, row = rows.get(other), known.record
            if before is row:
                continue
            rows[other] = row
            if before is not None and row.precedence < before.precedence:
                self.breach(f"{name} took an older row of {row.name}")
            place = fleet.places.get(row.name)
            truth = place and place.member
            if truth and truth.record.session == row.session and truth.record.precedence < row.precedence:
                self.breach(f"{name} holds a row of {row.name} that it never wrote")

    # ---- faults

    def disturb(self, names, until):
        """Until then, and for as long after as others may take to come back to them."""
        until += self.figures.staleness_bound(len(NAMES), max(self.loss, 0.4)) + 2 * SECOND
        for name in names:
            self.disturbed[name] = max(self.disturbed.get(name, 0), until)

    def rule(self, pairs, until, **changes):
        fleet = self.fleet
        for a, b in pairs:
            fleet.fabric.reduce(fleet.now, ("rule", a, b, changes))
        back = {name: 0 if isinstance(value, int) else 0.0 for name, value in changes.items()}
        fleet.put(until, self.unrule, pairs, back)

    def unrule(self, pairs, back):
        for a, b in pairs:
            self.fleet.fabric.reduce(self.fleet.now, ("rule", a, b, back))

    def fault(self):
        fleet, chance = self.fleet, self.random
        kinds = self.kinds or KINDS
        kind = chance.choice(kinds)
        up = [
            name
            for name in NAMES
            if self.steady(name) and fleet.places[name].member and not fleet.places[name].stopped
        ]
        now, until = fleet.now, fleet.now + chance.randrange(3, 15) * SECOND
        # At most a third of the members is hurt at once, so that the rest is more than half of everybody's
        # links.
        hurt = len(NAMES) - len(up)
        if not up:
            pass  # a ring of cuts touches all: nobody is hurt besides
        elif kind in ("kill", "stop", "term", "back", "twin") and hurt < 4:
            name = chance.choice(up)
            if kind == "stop":
                until = now + chance.randrange(8, 30) * SECOND
                self.disturb([name], until)
                fleet.stop(name)
                fleet.put(until, fleet.go_on, name)
            elif kind == "twin" and self.twins is None:
                self.twins = name
                fleet.start("twin", as_name=name)
            else:
                self.down[name] = now
                if kind == "term":
                    fleet.tell(name, "leave")
                    fleet.tell(name, "end")
                fleet.kill(name)
                fleet.put(until, self.restart, name, -3_600_000 if kind == "back" else 0)
        elif kind == "starve":
            name = chance.choice(up)
            fleet.places[name].delay = chance.randrange(50_000, 400_000)
            fleet.put(until, self.feed, name)
        elif kind == "cut":
            self.cut(chance.choice(CUTS), up, until, hurt)
        elif kind == "loss" and not self.loss:
            self.loss = chance.choice([0.05, 0.1, 0.2, 0.3])
            pairs = [(a, b) for a in NAMES for b in NAMES if a != b]
            self.rule(
                pairs,
                until,
                lose=self.loss,
                double=0.1,
                swap=0.1,
                spoil=0.02,
                jitter=30_000,
                burst=chance.choice([0.0, 0.01]),
                burst_length=200_000,
            )
            fleet.put(until, self.no_loss)
        elif kind == "forge":
            self.forge()
        fleet.put(now + chance.randrange(1, 6) * SECOND // 2, self.fault)

    def no_loss(self):
        self.loss = 0.0

    def feed(self, name):
        self.fleet.places[name].delay = 0

    def restart(self, name, wall_off):
        del self.down[name]
        self.disturb([name], self.fleet.now)
        self.fleet.start(name, wall_off)

    def cut(self, kind, up, until, hurt):
        chance = self.random
        a, b = chance.sample(up, 2) if len(up) > 1 else (None, None)
        rest = lambda ones: [name for name in NAMES if name not in ones]
        of = chance.randrange(4)
        zone = [name for name in NAMES if int(name[1:]) % 4 == of]
        if a is None or hurt > 1 and kind in ("star", "deaf", "mute", "zone", "zone mute", "zone deaf"):
            return
        ones = zone if kind.startswith("zone") else [a]
        there, back = ([(x, y) for x in ones for y in rest(ones)], [(y, x) for x in ones for y in rest(ones)])
        if kind in ("pair", "both", "flap"):
            if hurt > 2:
                return  # one link fewer could put out who has just half left
            pairs = [(a, b)] + ([(b, a)] if kind != "pair" else [])
            self.rule(pairs, until, **({"flap": 700_000} if kind == "flap" else {"cut": True}))
        elif kind == "ring":
            if hurt == 0:
                self.rule(list(zip(NAMES, NAMES[1:] + NAMES[:1])), until, cut=True)
                self.disturb(NAMES, until)
        else:
            self.disturb(ones, until)
            pairs = {"deaf": back, "zone deaf": back, "mute": there, "zone mute": there}
            self.rule(pairs.get(kind, there + back), until, cut=True)

    def forge(self):
        """Rubbish, and rows that claim what is impossible."""
        from finchcart.membership import messages

        chance, fleet = self.random, self.fleet
        to = chance.choice(NAMES)
        row = messages.MemberRecord(chance.choice(NAMES), "10.9.9.9:1", 7, 2**52, 2**52, 1, 0, [])
        odd = messages.MemberRecord("odd", "10.0.0.999:1", 7, 1, 1, 1, 0, [])
        packed = lambda fleet, row: messages.CODEC.encode(fleet, messages.MemberRecords([row]))
        rubbish = chance.randbytes(40)
        for data in (rubbish, packed("virtual", row), packed("other", row), packed("virtual", odd)):
            fleet.feed(to, ("got", ("10.9.9.9", 1), data))

    # ---- the run

    def play(self):
        """The digest of all that happened; `Breach` where something did not hold."""
        fleet = self.fleet
        for name in NAMES:
            self.disturb([name], fleet.now)
            fleet.start(name)
        fleet.run(6 * SECOND, self.after_step)
        self.disturbed.clear()
        for name in NAMES:
            if any(fleet.state(name, other) != "alive" for other in NAMES):
                self.breach(f"{name} does not know all others")
        end = fleet.now + FAULTS
        fleet.put(fleet.now, self.fault)
        fleet.run(end, self.after_step)
        self.fault = lambda: None
        # Whatever is still going on ends by itself, at the latest a stop of 29 s; then all come together.
        while self.down or any(place.stopped for place in fleet.places.values()) or fleet.now < end + CALM:
            fleet.run(fleet.now + SECOND, self.after_step)
        fleet.run(fleet.now + CALM, self.after_step)
        self.at_rest()
        return self.trace.hexdigest()

    def at_rest(self):
        fleet = self.fleet
        for name in NAMES:
            if name == self.twins:
                continue
            member = fleet.places[name].member
            if member.isolated:
                self.breach(f"{name} holds itself to be isolated, and nothing is wrong any more")
            states = {
                known.record.name: known.state
                for known in member.known_members.values()
                if known.record.status != DeclaredStatus.LEFT
            }
            wrong = {other: states.get(other) for other in NAMES if states.get(other) != "alive"}
            if wrong:
                self.breach(f"{name} holds {wrong}, and all are well")
        if self.twins is not None:
            pair = [fleet.places[self.twins].member, fleet.places["twin"].member]
            still = [member for member in pair if not member.yielded]
            if len(still) != 1:
                self.breach(f"{len(still)} of two processes stand under the name {self.twins}")
            if still[0].record.seniority != max(m.record.seniority for m in pair):
                self.breach(f"the elder stands under the name {self.twins}")


def one(seed):
    """(seed, digest or None, the breach or None)."""
    try:
        return seed, Run(seed).play(), None
    except Breach as breach:
        return seed, None, str(breach)


def many(first, count, jobs):
    """Breaches of the seeds, in order; jobs are processes."""
    from concurrent.futures import ProcessPoolExecutor

    with ProcessPoolExecutor(jobs) as pool:
        for seed, digest, breach in pool.map(one, range(first, first + count), chunksize=4):
            yield seed, digest, breach
