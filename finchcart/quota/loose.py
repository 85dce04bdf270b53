"""Limits that are there on every side of a cut: each node takes its part by its own view of the members.

Owns the loose limits of this process: what it uses and wants of them, which rides on the members' beats, and
its part of each. It must never count calls, send anything itself, or take more for a member that it can't
hear. `now` is the boot clock in whole microseconds.

Inputs: `("use", name, used, wants, first)` (of a limit: in hand, and wanted in all), `("quota", Quota)`;
`turn(now, member)` with each tick of the member. Effects: `("allow", name, floor, amount, until)`.

How the overshoot is bounded. Where all hear each other: a part is the max-min share of what all want; the own
want counts only when the others have heard of it, and theirs as soon as it is heard, so nobody takes what
another may still use; and what others have in hand is left to them. A member that was not heard both ways for
`fresh` may not know of others' wants: it is reckoned to want all, so nobody takes its even part. A side that
sees a part of the known members, the others failed, uses (1 + over) times that part of the limit, all of it
at most: see `Quota.part_of`.
"""

from collections import deque

from finchcart.membership.codec import name_hash
from finchcart.quota.division import divide

KEEP = 2_000_000  # what is handed out is good for so long: a node whose members' part ends has its floor
TOPIC = 0  # of its notes
AGAIN = 500_000  # it is handed out anew after this


def fresh(figures, count, loss):
    """How old the word of a heard member can be, and how long a new word takes to all."""
    return figures.dissemination_time(count, loss) + 2 * figures.period


class Held:
    """The part of one limit."""

    def __init__(self, limit):
        self.limit, self.id = limit, name_hash(limit.name)
        self.used, self.wants = 0, 0
        self.said = deque()  # (when, wants), the youngest last
        self.part, self.told, self.told_at = limit.floor, None, None

    def say(self, now, back):
        """Kept for the time `back`, whether it is asked for or not."""
        self.said.append((now, self.wants))
        while len(self.said) > 1 and self.said[1][0] <= now - back:
            self.said.popleft()

    def settled(self):
        """The least that it said it wants lately: what all others know of."""
        return min(wants for _, wants in self.said)


class Loose:
    def __init__(self, quota, now):
        self.quota = quota
        self.held = {limit.name: Held(limit) for limit in quota.loose}
        self.since = None  # when it first knew of others
        self.seen, self.knows, self.age = 1, 1, 0
        self.lately = deque()  # (when, seen, knows)

    def reduce(self, now, what):
        if what[0] == "use":
            held = self.held.get(what[1])
            if held:
                held.used, held.wants = what[2], max(what[2], what[3])
        elif what[0] == "quota":
            return self.on_quota(what[1])
        return []

    def on_quota(self, quota):
        gone = [name for name in self.held if name not in {limit.name for limit in quota.loose}]
        for limit in quota.loose:
            if limit.name in self.held:
                self.held[limit.name].limit = limit
            else:
                self.held[limit.name] = Held(limit)
        for name in gone:
            del self.held[name]
        self.quota = quota
        return [("allow", name, None, 0, 0) for name in gone]

    def turn(self, now, member):
        self.look(now, member)
        member.publish(now, TOPIC, [(held.id, held.used, held.wants) for held in self.held.values()])
        effects = []
        for held in self.held.values():
            # Twice in hand: others must have heard of the want, and this one of what they had by then.
            held.say(now, 2 * self.age if held.limit.per == "in_hand" else self.age)
            part = held.part = self.part(now, member, held)
            if part != held.told or now - held.told_at >= AGAIN:
                held.told, held.told_at = part, now
                floor = min(part, held.limit.floor)
                effects.append(("allow", held.limit.name, floor, part - floor, now + KEEP))
        return effects

    def look(self, now, member):
        """Who is seen, who is known, and who is not heard."""
        figures, count = member.config, len(member.known_members)
        self.age = fresh(figures, count, member.loss)
        self.heard, self.unheard, gone = [], [], 0
        mine = member.graph.get(member.own_id, ())
        for one, known in member.known_members.items():
            if one == member.own_id or known.state == "left":
                continue
            if known.state == "failed":
                gone += 1
            elif one in mine and (one not in member.links or member.view_age(now, one) > self.age):
                self.unheard.append(one)
            else:
                self.heard.append(one)
        if member.isolated or member.is_resuming:
            # What it knows of others is of before: it is a side of its own.
            gone, self.heard, self.unheard = gone + len(self.heard) + len(self.unheard), [], []
        elif self.since is None:
            self.since = now
        self.seen = 1 + len(self.heard) + len(self.unheard)
        self.knows = self.seen + gone
        # Guards against a member that both sides of a cut count while they come together: the least that was
        # seen lately counts, until all see alike.
        back = now - self.age - figures.rise
        self.lately.append((now, self.seen, self.knows))
        while self.lately[0][0] < back:
            self.lately.popleft()
        _, self.seen, self.knows = min(self.lately, key=lambda each: each[1] / each[2])

    def part(self, now, member, held):
        limit = held.limit
        if self.since is None or now - self.since < self.age:
            return limit.floor  # others don't know of it yet
        whole = self.quota.part_of(limit, self.seen, self.knows)
        demands, used = {member.own_id: held.settled()}, {}
        for one in self.unheard:
            demands[one] = whole
        for one in self.heard:
            held_note = member.gossip.received.get((one, TOPIC))
            for ident, uses, wants in held_note.entry.counters if held_note else ():
                if ident == held.id:
                    demands[one], used[one] = wants, uses
        wanted = sum(demands.values())
        parts = divide(whole, demands)
        # Calls that outlast a part that fell are left to their node, and the rest is divided.
        beyond = sum(max(0, uses - parts[one]) for one, uses in used.items()) if limit.per == "in_hand" else 0
        mine = divide(whole - beyond, demands)[member.own_id] if beyond else parts[member.own_id]
        if wanted < whole and not beyond:
            # Nobody goes short: a jump finds something at once.
            mine += (whole - wanted) // (1 + len(self.heard) + len(self.unheard))
        return mine

    def status(self, now):
        return [
            {
                "name": held.limit.name,
                "limit": held.limit.amount,
                "mode": "loose",
                "mine": held.part,
                "used": held.used,
                "wants": held.wants,
                "granted": held.part,
                "term": 0,
                "leader": "",
                "stale_ms": self.age // 1000,
                "left_ms": KEEP // 1000,
                "seen": self.seen,
                "known": self.knows,
                "over_at_most": self.quota.loose_over_at_most(held.limit, self.knows),
            }
            for held in self.held.values()
        ]
