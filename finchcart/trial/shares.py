"""Planners and holders on a virtual clock, with faults of all kinds: strict limits held against the truth.

Owns the clocks of the processes, which drift apart, the calls that holders make, and the count of those in
hand at the store. It must never take a process's word for what it uses. A seed that fails replays
identically.
"""

from random import Random

import xxhash

from finchcart.members import wire as base
from finchcart.quota.holder import Holder
from finchcart.quota.limits import SECOND, Limit, Quota
from finchcart.quota.planner import Planner
from finchcart.trial.virtual import BUFFER, Clock

TICK = 100_000


class Breach(AssertionError):
    """What did not hold, when, and in which seed."""


class Process:
    """One name: its state machine, its clock, and for a holder the calls that it has at the store."""

    def __init__(self, name, address, rate, begun):
        self.name, self.address, self.rate, self.begun = name, address, rate, begun
        self.machine, self.stopped, self.waiting, self.life = None, False, [], 0
        self.floor, self.amount, self.until = 0, 0, 0
        self.calls, self.wants, self.slot = [], 0, 0  # calls: (ends in true time, whether leased)

    def clock(self, now):
        return self.begun + int((now - self.begun) * self.rate)

    def true(self, own):
        """The true time at which the own clock shows that."""
        return self.begun + int((own - self.begun) / self.rate)


class Shares(Clock):
    """`strict`: raises a `Breach` where more than the limit is in hand."""

    def __init__(self, seed, planners=3, holders=4, quota=None, make=None, latency=300, drift=None):
        super().__init__(seed)
        self.random, self.latency = Random(f"shares {seed}"), latency
        self.make = make or {}
        names = [f"p{n}" for n in range(planners)] + [f"n{n}" for n in range(holders)]
        address = lambda n: f"10.0.{n // 250}.{n % 250 + 1}:7401"
        places = tuple(address(n) for n in range(planners))
        base_ = quota or Quota(limits=(Limit("store", 40, 1),), most=holders + 2)
        self.quota = Quota(**{**base_.__dict__, "planners": places})
        drift = self.quota.drift if drift is None else drift
        self.processes, self.at = {}, {}
        for n, name in enumerate(names):
            rate = 1 + self.random.choice([-1, 0, 1]) * drift
            self.processes[name] = Process(name, address(n), rate, self.random.randrange(10**9))
            self.at[address(n)] = name
        self.limit = self.quota.limits[0]
        self.trace = xxhash.xxh3_64()
        self.used, self.wanted, self.in_hand, self.looked = 0.0, 0.0, 0, self.now
        self.worst = 0
        self.logs = []

    # ---- processes

    def start(self, name):
        process = self.processes[name]
        process.life += 1
        process.stopped, process.waiting = False, []
        own = process.clock(self.now)
        chance = Random(f"{self.seed} {name} {process.life}")
        if name[0] == "p":
            process.machine = self.make.get("planner", Planner)(
                process.address, "virtual", self.quota, chance, own)
        else:
            process.machine = self.make.get("holder", Holder)(name, "virtual", self.quota, chance, own)
            process.floor, process.amount, process.until = self.limit.floor, 0, 0
        self.put(self.now + self.random.randrange(TICK), self.tick, name, process.life)

    def kill(self, name):
        """Its connections close: the store gives its calls up."""
        process = self.processes[name]
        process.machine, process.stopped, process.waiting = None, False, []
        process.life += 1
        process.calls, process.amount = [], 0

    def stop(self, name):
        self.processes[name].stopped = True

    def go_on(self, name):
        process = self.processes[name]
        process.stopped = False
        waiting, process.waiting = process.waiting, []
        for what in waiting:
            self.feed(name, what)
        self.feed(name, ("tick",))

    def tick(self, name, life):
        process = self.processes[name]
        if process.life != life:
            return
        self.feed(name, ("tick",))
        if name[0] == "n" and not process.stopped:
            self.make_calls(process)
        self.put(self.now + int(TICK / process.rate), self.tick, name, life)

    def feed(self, name, what):
        process = self.processes[name]
        if process.machine is None:
            return
        if process.stopped:
            if what[0] == "got" and len(process.waiting) < BUFFER:
                process.waiting.append(what)
            return
        for effect in process.machine.reduce(process.clock(self.now), what):
            if effect[0] == "send":
                to = self.at.get(f"{effect[1][0]}:{effect[1][1]}")
                if to is not None:
                    self.carry(("datagram", name, to, effect[2]))
                continue
            self.trace.update(f"{self.now} {name} {effect}".encode())
            if effect[0] == "allow":
                process.floor, process.amount, process.until = effect[2:]
                self.make_calls(process)
            else:
                self.logs.append((self.now, name, effect[1], effect[2]))

    def arrive(self, a, b, data):
        self.feed(b, ("got", base.place_of(self.processes[a].address), data))

    # ---- calls, as finchcart/node/meter.py makes them

    def make_calls(self, process):
        """As many as are wanted and allowed; one beyond the floor ends by itself within what is left."""
        now, own = self.now, process.clock(self.now)
        process.calls = [call for call in process.calls if call[0] > now]
        count = lambda leased: sum(call[1] is leased for call in process.calls)
        free, leased = count(False), count(True)
        left = process.until - own - self.quota.slack
        for _ in range(max(0, process.wants - free - leased)):
            takes = int(self.random.expovariate(1 / 300_000)) + 1000
            if free < process.floor:
                free += 1
                process.calls.append((now + takes, False))
            elif left > 0 and leased < process.amount:
                leased += 1
                process.calls.append((min(now + takes, process.true(own + left)), True))
        if process.machine and not process.stopped:
            self.feed_use(process, leased)

    def feed_use(self, process, leased):
        if not getattr(process, "inside", False):
            process.inside = True
            self.feed(process.name, ("use", self.limit.name, leased, max(0, process.wants - process.floor)))
            process.inside = False

    def count(self):
        """The truth: calls in hand at the store."""
        now = self.now
        return sum(call[0] > now for process in self.processes.values() for call in process.calls)

    def after_step(self, _):
        in_hand = self.count()
        self.used += self.in_hand * (self.now - self.looked)
        want = sum(p.wants for p in self.processes.values() if p.machine and not p.stopped)
        self.wanted += min(want, self.limit.amount) * (self.now - self.looked)
        self.in_hand, self.looked = in_hand, self.now
        self.worst = max(self.worst, in_hand)
        if in_hand > self.limit.amount:
            raise Breach(f"seed {self.seed}, {self.now / SECOND:.3f} s: {in_hand} calls in hand of "
                         f"{self.limit.amount}: " + str({
                             name: (len(p.calls), p.amount, (p.until - p.clock(self.now)) // 1000)
                             for name, p in self.processes.items() if p.calls}))


class Run(Shares):
    """One seed of faults by chance."""

    KINDS = ("stop", "stop", "kill", "cut", "one way", "loss", "late", "demand", "demand", "all planners",
             "leader")

    def __init__(self, seed, make=None, kinds=None, drift=None, **more):
        super().__init__(seed, make=make, drift=drift, **more)
        self.kinds = kinds or self.KINDS
        self.planners = [name for name in self.processes if name[0] == "p"]
        self.holders = [name for name in self.processes if name[0] == "n"]

    def play(self, seconds=60):
        for name in self.processes:
            self.start(name)
        for name in self.holders:
            self.processes[name].wants = self.random.randrange(0, 40)
        self.run(8 * SECOND, self.after_step)
        end = self.now + seconds * SECOND
        self.put(self.now, self.fault, end)
        self.run(end, self.after_step)
        self.fabric.reduce(self.now, ("clear",))
        self.run(end + 30 * SECOND, self.after_step)  # all stops are over
        self.fabric.reduce(self.now, ("clear",))  # a rule of a pair may have kept what then held for all
        # Then all is shared again: the wants of all are met as far as the limit goes.
        for name in self.holders:
            self.processes[name].wants = self.limit.amount
        self.run(self.now + self.quota.back_within() + self.quota.jump_within(), self.after_step)
        self.used, self.wanted = 0.0, 0.0
        self.run(self.now + 5 * SECOND, self.after_step)
        use = self.used / max(1, self.wanted)
        if use < 0.5:
            raise Breach(f"seed {self.seed}: only {use:.2f} of the limit is used where all want it")
        return self.trace.hexdigest()

    def fault(self, end):
        chance, now = self.random, self.now
        until = now + chance.randrange(1, 12) * SECOND
        kind = chance.choice(self.kinds)
        up = [name for name, process in self.processes.items() if process.machine and not process.stopped]
        if kind == "stop" and up:
            name = chance.choice(up)
            self.stop(name)
            self.put(now + chance.randrange(1, 30) * SECOND, self.wake, name, self.processes[name].life)
        elif kind == "leader":
            leads = [name for name in self.planners if name in up
                     and self.processes[name].machine.owned_since is not None]
            if leads and chance.random() < 0.5:
                self.kill(leads[0])
                self.put(until, self.again, leads[0])
            elif leads:
                self.stop(leads[0])
                self.put(until, self.wake, leads[0], self.processes[leads[0]].life)
        elif kind == "kill" and up:
            name = chance.choice(up)
            self.kill(name)
            self.put(now + chance.randrange(0, 8) * SECOND, self.again, name)
        elif kind == "all planners":
            for name in self.planners:
                self.kill(name)
                self.put(now + chance.randrange(0, 4) * SECOND, self.again, name)
        elif kind in ("cut", "one way"):
            some = chance.sample(list(self.processes), chance.randrange(1, len(self.processes)))
            rest = [name for name in self.processes if name not in some]
            pairs = [(a, b) for a in some for b in rest] + (
                [(b, a) for a in some for b in rest] if kind == "cut" else [])
            self.rule(pairs, until, {"cut": True}, {"cut": False})
        elif kind == "loss":
            bad = {"lose": 0.3, "double": 0.3, "swap": 0.2}
            self.rule(None, until, bad, dict.fromkeys(bad, 0.0))
        elif kind == "late":
            self.rule(None, until, {"delay": 1000, "jitter": chance.choice([300_000, 3_000_000, 10_000_000])},
                      {"delay": 0, "jitter": 0})
        elif kind == "demand":
            for name in self.holders:
                self.processes[name].wants = chance.choice([0, 0, 3, 15, 60])
        if now < end:
            self.put(now + chance.randrange(200, 4000) * 1000, self.fault, end)

    def rule(self, pairs, until, changes, back):
        for a, b in pairs or [(None, None)]:
            self.fabric.reduce(self.now, ("rule", a, b, changes))
        if back:
            self.put(until, self.rule, pairs, 0, back, None)

    def wake(self, name, life):
        process = self.processes[name]
        if process.life == life and process.stopped:
            self.go_on(name)

    def again(self, name):
        if self.processes[name].machine is None:
            self.start(name)


def one(seed):
    """(seed, digest or None, the breach or None)."""
    try:
        return seed, Run(seed).play(), None
    except Breach as breach:
        return seed, None, str(breach)
