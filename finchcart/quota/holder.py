"""A node's part of the fleet's limits: asks for it, knows until when it may use it.

Owns the grants that this process holds. `reduce(now, what)` takes one input and returns effects; no I/O,
clock or lock. `now` is the boot clock in whole microseconds. It must never count calls: what is in hand and
wanted is told to it, and what may be used is handed out.

Inputs: `("tick",)`, `("got", address, datagram)`, `("use", name, leased, wants, first)` (of a limit: in
hand beyond the floor, and wanted beyond it; `first`: what of that matters more than the rest), `("leave",)`,
`("quota", Quota)`. Effects: `("send", address, datagram)`, `("allow", name, floor, amount, until)` (beyond
the floor, `until` on the boot clock), `("log", text, fields)`.

A grant counts from before it was asked for. One that is less than what is in hand is taken at once for new
calls; until the old ones are over, the holder says that it uses what they need.
"""

from finchcart.membership import codec
from finchcart.quota import wire
from finchcart.quota.talker import Talker
from finchcart.quota.wire import Elsewhere, Grant, Line, Want

ASKS = 8  # whose answers are still taken
SOON = 100_000  # least time between two asks


def none(now):
    return []


class Held:
    """The grant of one limit that is used."""

    def __init__(self, limit):
        self.limit, self.term, self.number, self.amount, self.until = limit, 0, 0, 0, 0
        self.leased, self.wants, self.first, self.told, self.asked_at = 0, 0, 0, None, 0
        self.whole, self.fallen = limit.amount, True


class Holder(Talker):
    def __init__(self, name, fleet, quota, random, now):
        self.name, self.fleet, self.quota, self.random = name, fleet, quota, random
        self.session = random.getrandbits(64)
        self.planners = [codec.parse_address(place) for place in quota.planners]
        self.leader = random.randrange(max(1, len(self.planners)))
        self.seq, self.asks, self.next_ask, self.last_ask, self.answered = 0, {}, now, now, now
        self.held = {limit.name: Held(limit) for limit in quota.strict}
        self.loose = none  # what is told of the loose ones, see loose.py
        self.leaving, self.ended = False, False
        super().__init__()
        self.now = now

    # ---- in and out

    def reduce(self, now, what):
        self.effects = effects = []
        self.now = now = max(now, self.now)
        if what[0] == "got":
            self.on_got(now, what[1], what[2])
        elif what[0] == "tick":
            self.on_tick(now)
        elif what[0] == "use":
            self.on_use(now, *what[1:])
        elif what[0] == "leave":
            self.leaving = True
            self.next_ask = now
        elif what[0] == "end":
            self.on_end(now)
        elif what[0] == "quota":
            self.on_quota(now, what[1])
        return effects

    def on_got(self, now, address, data):
        said = self.read(data)
        if said is None:
            return
        if isinstance(said, Grant):
            self.on_grant(now, said)
        elif isinstance(said, Elsewhere):
            self.on_elsewhere(now, said)
        elif isinstance(said, wire.StatusRequest):
            self.send(address, wire.StatusResponse(said.number, self.status(now)))
        else:
            self.count("not for a holder")

    # ---- asking

    def on_tick(self, now):
        for held in self.held.values():
            self.allow(now, held)
        if self.held and now >= self.next_ask and not self.ended:
            self.ask(now)

    def ask(self, now):
        if self.asks and now - self.answered > 2 * self.quota.round:
            # No answer from that one for a while: the next.
            self.leader = (self.leader + 1) % len(self.planners)
        self.seq += 1
        self.asks[self.seq] = now, {name: (held.term, held.number) for name, held in self.held.items()}
        while len(self.asks) > ASKS:
            del self.asks[min(self.asks)]
        self.last_ask, self.next_ask = now, now + self.quota.round
        lines = []
        for held in self.held.values():
            live = now < held.until
            lines.append(
                Line(
                    held.limit.name,
                    held.term,
                    held.number if live else 0,
                    max(held.amount, held.leased) if live else 0,
                    held.wants,
                    held.limit.floor,
                    min(held.first, held.wants),
                    max(1, round(100 * held.limit.weight)),
                )
            )
        self.send(
            self.planners[self.leader],
            Want(self.name, self.session, self.seq, min(self.asks), self.leaving, lines),
        )

    def on_use(self, now, name, leased, wants, first=0):
        held = self.held.get(name)
        if held is None:
            return
        jumped = wants > held.amount and wants > held.wants
        freed = held.leased > held.amount >= leased
        held.leased, held.wants, held.first = leased, wants, first
        if jumped or freed:
            self.next_ask = min(self.next_ask, max(now, self.last_ask + SOON))

    def on_elsewhere(self, now, said):
        if said.session != self.session or said.seq != self.seq:
            return
        places = list(self.quota.planners)
        new = places.index(said.leader) if said.leader in places else (self.leader + 1) % len(places)
        if new != self.leader:
            self.leader, self.answered = new, now
            self.next_ask = min(self.next_ask, now + SOON)

    def on_grant(self, now, said):
        if said.session != self.session:
            return self.count("of another process")
        if said.seq not in self.asks:
            return self.count("not asked for any more")
        self.answered = now
        asked, then = self.asks[said.seq]
        for part in said.parts:
            held = self.held.get(part.limit)
            if held is None:
                self.count("of an unknown limit")
            elif said.term < held.term:
                self.count("of an earlier term")
            elif (said.term, part.number) <= (held.term, held.number):
                self.count("of an earlier number")
            elif now >= asked + part.life:
                self.count("over when it came")
            elif (
                said.term > held.term
                and part.amount > (held.amount if now < held.until else 0)
                and then.get(part.limit) != (held.term, held.number)
            ):
                # Guards against a late ask that a new planner took for what is held now: meanwhile the old
                # one may have given the difference to another.
                self.count("of what was held before")
            else:
                if said.term > held.term:
                    self.effects.append(
                        (
                            "log",
                            f"limit {part.limit}: term {said.term}",
                            {"limit": part.limit, "term": said.term},
                        )
                    )
                held.term, held.number, held.amount = said.term, part.number, part.amount
                held.until, held.asked_at, held.whole = asked + part.life, asked, part.whole
                if held.told is not None and held.amount < held.told[1]:
                    # Says at once what it holds now, so that another may have the rest.
                    self.next_ask = min(self.next_ask, max(now, self.last_ask + SOON))
                self.allow(now, held)

    def allow(self, now, held):
        """Hands out what may be used, where it is not what was handed out last."""
        if now >= held.until and held.amount:
            held.amount = 0
        fallen = now >= held.until
        new = held.limit.floor, held.amount, held.until
        if new != held.told:
            held.told = new
            self.effects.append(("allow", held.limit.name, *new))
        if fallen != held.fallen:
            held.fallen = fallen
            limit = held.limit
            text = "down to the floor, no grant" if fallen else "shared again"
            self.effects.append(
                (
                    "log",
                    f"limit {limit.name}: {text}",
                    {"limit": limit.name, "fallen": fallen, "floor": limit.floor, "amount": held.amount},
                )
            )

    def on_end(self, now):
        """Gives all back: no answer to an earlier ask is taken any more."""
        self.leaving = True
        for held in self.held.values():
            held.amount, held.until, held.leased, held.wants = 0, 0, 0, 0
            self.allow(now, held)
        self.asks.clear()
        if self.held:
            self.ask(now)
        self.asks.clear()
        self.ended = True

    def on_quota(self, now, quota):
        """Other figures: limits that are new begin at their floor; those that are gone are handed out as
        such."""
        for name in [name for name in self.held if name not in {limit.name for limit in quota.strict}]:
            del self.held[name]
            self.effects.append(("allow", name, None, 0, 0))
        for limit in quota.strict:
            if limit.name in self.held:
                self.held[limit.name].limit = limit
            else:
                self.held[limit.name] = Held(limit)
        self.quota = quota

    # ---- what is told

    def status(self, now):
        return {
            "name": self.name,
            "limits": [
                {
                    "name": held.limit.name,
                    "limit": held.whole,
                    "mode": "strict",
                    "mine": held.limit.floor + (held.amount if now < held.until else 0),
                    "used": held.leased,
                    "wants": held.wants,
                    "granted": held.amount,
                    "term": held.term,
                    "leader": self.quota.planners[self.leader],
                    "stale_ms": (now - held.asked_at) // 1000 if now < held.until else None,
                    "left_ms": max(0, held.until - now) // 1000,
                    "over_at_most": self.quota.over_at_most(0),
                    "over_at_most_a_stopped_process": self.quota.over_at_most(1),
                }
                for held in self.held.values()
            ]
            + self.loose(now),
            "counts": self.counts,
        }
