"""A planner: votes on who shares out, and shares out while it is the one.

Owns its votes, its lease and what it has granted. `reduce(now, what)` takes one input and returns effects; no
I/O, clock or lock. Nothing is kept on a disk: a planner that starts is silent until any lease that an earlier
process of its place may have voted for is over (the lease protocol is known as PaxosLease, Trencseni et al.).

Why it is never over: a lease is longer for those that voted than for its owner, who counts it from before it
proposed; two majorities share a voter; so one planner at a time shares out. Each grant is longer for the
planner, who counts it from after it answered, than for its holder, who counts it from before it asked;
whoever begins to share out waits for so long, and until then only renews what a holder says it holds, to that
holder, by no more. So what holders may use together is never more than what is counted here.

Inputs: `("tick",)`, `("got", address, datagram)`, `("quota", Quota)`. Effects: `("send", address, datagram)`,
`("log", text, fields)`. Bounds: `quota.holders` holders, a few grants each; planners as named.
"""

from finchcart.membership import codec
from finchcart.quota import wire
from finchcart.quota.division import shared_out
from finchcart.quota.talker import Talker
from finchcart.quota.wire import Accept, Elsewhere, Grant, Part, Prepare, Promise, Propose, Refuse

AGAIN = 50_000  # microseconds that targets are used for
MOST_OUT = 8  # grants of one limit out at one holder: no more are given until it says which it holds


class Out:
    """One grant that its holder may use: until `ends` on this clock."""

    __slots__ = ("number", "seq", "amount", "ends")

    def __init__(self, number, seq, amount, ends):
        self.number, self.seq, self.amount, self.ends = number, seq, amount, ends


class Holder:
    """What is known of one process of a node; gone when its last grant is over and it asked no more."""

    def __init__(self):
        self.out = {}  # limit -> [Out]
        self.wants, self.extra = {}, {}  # limit -> wanted; floor beyond what is reckoned with here
        self.first, self.before, self.weight = {}, {}, {}  # limit -> of that, first; wanted before; weight
        self.heard, self.seq, self.leaving = 0, 0, False


class Planner(Talker):
    """`place`: its own address as the settings name it; `address`es of others are (host, port)."""

    def __init__(self, place, fleet, quota, random, now):
        self.place, self.fleet, self.quota, self.random = place, fleet, quota, random
        self.session = random.getrandbits(64)
        self.others = [codec.parse_address(each) for each in quota.planners if each != place]
        self.votes_from = now + quota.silence
        self.promised, self.held = (0, 0), None  # held: (ballot, owner, until) of the lease voted for
        self.ballot, self.phase, self.voted, self.asked_at = None, None, set(), 0
        self.owns_until, self.owned_since, self.term = 0, None, 0
        self.next_try, self.top = now + quota.silence + random.randrange(quota.retry), 0
        self.leader, self.leader_until = "", 0
        self.holders, self.number = {}, 0
        self.parts, self.parts_at = {}, 0  # targets by limit, and when they were worked out
        self.times = codec.name_hash(quota.times())
        super().__init__()
        self.now = now
        self.ended = False

    # ---- in and out

    def reduce(self, now, what):
        self.effects = effects = []
        self.now = now = max(now, self.now)
        if self.owned_since is not None and now >= self.owns_until:
            self.lose(now, "its lease is over")
        if what[0] == "got":
            self.on_got(now, what[1], what[2])
        elif what[0] == "tick":
            self.on_tick(now)
        elif what[0] == "quota":
            self.quota, self.parts_at = what[1], 0
            self.times = codec.name_hash(self.quota.times())
        elif what[0] == "end":
            self.ended = True
        return effects

    def log(self, text, **fields):
        self.effects.append(("log", text, fields))

    def on_got(self, now, address, data):
        said = self.read(data)
        if said is None:
            return
        act = {
            Prepare: self.on_prepare,
            Promise: self.on_promise,
            Propose: self.on_propose,
            Accept: self.on_accept,
            Refuse: self.on_refuse,
            wire.Want: self.on_want,
            wire.StatusRequest: self.on_ask,
        }.get(type(said))
        if act is None:
            return self.count("not for a planner")
        if act in (self.on_prepare, self.on_promise, self.on_propose, self.on_accept, self.on_refuse):
            if address not in self.others and address is not self:
                return self.count("not from a planner")
        act(now, address, said)

    # ---- the vote

    def voter(self, now):
        """Whether it may vote: not before any lease voted for by an earlier process here is over."""
        if self.held is not None and now >= self.held[2]:
            self.held = None
        return now >= self.votes_from

    def on_prepare(self, now, address, said):
        if said.times != self.times:
            return self.count("other times in its settings")
        if not self.voter(now):
            return
        self.top = max(self.top, said.ballot[0])
        if said.ballot < self.promised:
            self.reply(now, address, Refuse(said.ballot, self.promised))
            return
        self.promised = said.ballot
        self.reply(now, address, Promise(said.ballot, self.held and (self.held[0], self.held[1])))

    def on_propose(self, now, address, said):
        if not self.voter(now):
            return
        if said.ballot < self.promised:
            self.reply(now, address, Refuse(said.ballot, self.promised))
            return
        # Counted from after the vote, and widened: longer than the owner counts it.
        self.promised = said.ballot
        self.held = said.ballot, said.owner, now + self.quota.wide(self.quota.lease)
        if said.owner != self.session:
            self.leader, self.leader_until = self.place_at(address), self.held[2]
        self.reply(now, address, Accept(said.ballot))

    def place_at(self, address):
        return f"{address[0]}:{address[1]}"

    def reply(self, now, address, said):
        """To itself without a message: one of the voters is here."""
        if address is self:
            {Promise: self.on_promise, Accept: self.on_accept, Refuse: self.on_refuse}[type(said)](
                now, address, said
            )
        else:
            self.send(address, said)

    # ---- the election

    @property
    def majority(self):
        return (len(self.others) + 1) // 2 + 1

    def campaign(self, now):
        self.top += 1
        self.ballot, self.phase, self.voted, self.asked_at = (self.top, self.session), "prepare", set(), now
        for address in self.others:
            self.send(address, Prepare(self.ballot, self.times))
        self.on_prepare(now, self, Prepare(self.ballot, self.times))

    def on_promise(self, now, address, said):
        if said.ballot != self.ballot or self.phase != "prepare":
            return
        if said.holds is not None and said.holds[1] != self.session:
            return  # another's lease is not over there: this vote is not open
        self.voted.add(address)
        if len(self.voted) >= self.majority:
            self.phase, self.voted, self.asked_at = "propose", set(), now  # the lease counts from before
            for other in self.others:
                self.send(other, Propose(self.ballot, self.session))
            self.on_propose(now, self, Propose(self.ballot, self.session))

    def on_accept(self, now, address, said):
        if said.ballot != self.ballot or self.phase != "propose":
            return
        self.voted.add(address)
        if len(self.voted) >= self.majority:
            self.phase = None
            until = self.asked_at + self.quota.lease
            if now < until:
                self.own(now, until)

    def on_refuse(self, now, address, said):
        self.top = max(self.top, said.promised[0])
        if said.ballot == self.ballot:
            self.phase = None

    def own(self, now, until):
        self.owns_until = until
        if self.owned_since is None:
            self.owned_since, self.term = now, self.ballot[0]
            self.holders, self.number = {}, 0
            self.log("shares out", term=self.term, wait_ms=self.quota.wait // 1000)

    def lose(self, now, why):
        self.log("shares out no more", term=self.term, why=why)
        self.owned_since, self.holders, self.phase = None, {}, None
        self.next_try = now + self.random.randrange(self.quota.retry, 2 * self.quota.retry)

    def on_tick(self, now):
        quota = self.quota
        if self.owned_since is not None:
            if now >= self.owns_until - quota.lease // 2 and now >= self.next_try:
                self.next_try = now + quota.retry
                self.campaign(now)
            self.forget(now)
        elif self.voter(now) and now >= self.next_try:
            self.next_try = now + self.random.randrange(quota.retry, 2 * quota.retry)
            if self.held is None:
                self.campaign(now)

    # ---- sharing out

    def forget(self, now):
        for key, holder in list(self.holders.items()):
            for name, out in list(holder.out.items()):
                out[:] = [each for each in out if each.ends > now]
                if not out:
                    del holder.out[name]
            if not holder.out and now - holder.heard > self.quota.life:
                del self.holders[key]

    def committed(self, holder, limit):
        """The most that the holder may use of a limit beyond its floor."""
        return max((each.amount for each in holder.out.get(limit, ())), default=0)

    def on_want(self, now, address, said):
        for line in said.lines:
            if line.term > self.top:
                self.top = line.term  # terms go on where all planners were started anew
        if self.owned_since is None or any(line.term > self.term for line in said.lines):
            if self.owned_since is not None:
                self.lose(now, "a holder knows a later term")
            leader = self.leader if now < self.leader_until else ""
            self.send(address, Elsewhere(said.session, said.seq, leader))
            return
        key = said.name, said.session
        holder = self.holders.get(key)
        if holder is None:
            if len(self.holders) >= self.quota.holders:
                return self.count("no room for a holder")
            holder = self.holders[key] = Holder()
        if said.seq <= holder.seq:
            return self.count("asked before")  # doubled or overtaken: its answer went out
        holder.seq, holder.heard, holder.leaving = said.seq, now, said.leaving
        parts = []
        lines = {line.limit: line for line in said.lines}
        for limit in self.quota.strict:
            line = lines.get(limit.name)
            if line is None:
                self.count(f"a holder knows no limit {limit.name}")
                continue
            self.heard(now, holder, line, said)
            part = self.part(now, key, holder, limit, line, said.seq)
            if part:
                parts.append(part)
        self.send(address, Grant(self.term, said.session, said.seq, parts))

    def heard(self, now, holder, line, said):
        """What the holder says that it holds puts an end to all grants that it can't use any more."""
        out, before = holder.out.setdefault(line.limit, []), self.committed(holder, line.limit)
        if line.term == self.term:
            out[:] = [
                each
                for each in out
                if each.ends > now
                and (each.number == line.number or each.number > line.number and each.seq >= said.oldest)
            ]
            for each in out:
                if each.number == line.number:
                    each.amount = min(line.amount, before)  # or what is still in hand of a greater one
        else:
            out[:] = [each for each in out if each.ends > now and each.seq >= said.oldest]
        # Guards against parts that go to and fro between two whose demand alternates: the greater of the last
        # two words counts, but for one that leaves.
        before, holder.before[line.limit] = holder.before.get(line.limit, 0), line.wants
        holder.wants[line.limit] = line.wants if holder.leaving else max(line.wants, before)
        holder.first[line.limit], holder.weight[line.limit] = line.first, line.weight / 100
        floor = next(limit.floor for limit in self.quota.strict if limit.name == line.limit)
        holder.extra[line.limit] = max(0, line.floor - floor)

    def target(self, now, limit, key):
        """Worked out anew after a while: each ask moves it only a little."""
        if now - self.parts_at >= AGAIN or key not in self.parts.get(limit.name, ()):
            self.parts = {each.name: self.targets(each) for each in self.quota.strict}
            self.parts_at = now
        return self.parts[limit.name].get(key, 0)

    def targets(self, limit):
        """Parts of all holders by what they want; a part is kept free for those who come."""
        shared = limit.shared(self.quota.most)
        demands = {
            key: holder.wants.get(limit.name, 0)
            for key, holder in self.holders.items()
            if holder.wants.get(limit.name) or not holder.leaving
        }
        wanted = sum(demands.values())
        free = int(shared * self.quota.room) if wanted >= shared else 0
        of = lambda what: {
            key: getattr(holder, what).get(limit.name, 0)
            for key, holder in self.holders.items()
            if key in demands
        }
        parts = shared_out(shared - free, demands, of("first"), of("weight"))
        if wanted < shared:
            # Nobody goes short: what is over is spread, so that a jump finds something at once.
            spare = (shared - wanted) // (2 * max(1, len(demands)))
            parts = {key: part + spare for key, part in parts.items()}
        return parts

    def part(self, now, key, holder, limit, line, seq):
        quota, name = self.quota, limit.name
        out = holder.out[name]
        if len(out) >= MOST_OUT:
            return None
        mine = self.committed(holder, name)
        shared = limit.shared(quota.most)
        if now < self.owned_since + quota.wait:
            # Another may hold all the rest, from an earlier term: what this one holds is renewed, and no
            # more.
            amount = min(line.amount if line.term < self.term else mine, shared)
        else:
            target = self.target(now, limit, key)
            taken = sum(
                self.committed(other, name) + other.extra.get(name, 0) for other in self.holders.values()
            )
            step = max(1, int(shared * quota.step))
            amount = min(target, mine + max(0, min(shared - taken, step)))
        self.number += 1
        out.append(Out(self.number, seq, amount, now + quota.wait))
        return Part(name, self.number, amount, quota.life, limit.amount)

    # ---- what is told

    def on_ask(self, now, address, said):
        leads = self.owned_since is not None
        self.send(
            address,
            wire.StatusResponse(
                said.number,
                {
                    "planner": self.place,
                    "term": self.term if leads else 0,
                    "leads": leads,
                    "leader": self.place if leads else self.leader if now < self.leader_until else "",
                    "limits": [
                        {
                            "name": limit.name,
                            "limit": limit.amount,
                            "shared": limit.shared(self.quota.most),
                            "granted": sum(
                                self.committed(each, limit.name) for each in self.holders.values()
                            ),
                            "holders": sum(limit.name in holder.out for holder in self.holders.values()),
                        }
                        for limit in self.quota.strict
                    ],
                    "counts": self.counts,
                },
            ),
        )
