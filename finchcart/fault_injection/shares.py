"""Nodes that share a limit, on a virtual clock, with faults of all kinds: the bounds held against the truth.

Owns the clocks of the processes, which drift apart, the calls that nodes make through the node's own meters,
and the count of those in hand at the store. It must never take a process's word for what it uses. A seed that
fails replays identically.

Four ways to share, on the same seeds: "strict" (planners and holders), "loose" (members), and two baselines:
"static" (each node its part for ever) and "none" (each node holds to the whole limit alone).
"""

from random import Random

import xxhash

from finchcart.fault_injection.virtual import BUFFER, Clock
from finchcart.membership import codec
from finchcart.membership.config import MembershipConfig
from finchcart.membership.member import Member
from finchcart.node.limiters import CallConcurrencyLimiter, RateLimiter
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import SECOND, Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits
from finchcart.quota.planner import Planner

TICK = 100_000
FOR_EVER = 10**15


class Breach(AssertionError):
    """What did not hold, when, and in which seed."""


class Process:
    """One name: its state machine, its clock, and for a node the calls that it has at the store."""

    def __init__(self, name, address, rate, begun):
        self.name, self.address, self.rate, self.begun = name, address, rate, begun
        self.machine, self.stopped, self.waiting, self.life = None, False, [], 0
        self.meter, self.telling, self.tried = None, False, None
        self.wants, self.lies, self.owed = 0, False, 0.0  # owed: attempts at a rate, not made yet
        self.calls = []  # [ends in true time, whether leased, whether written by a stopped process]
        self.pending = None  # a call decided on, not written: (takes, left) in true time

    def clock(self, now):
        return self.begun + int((now - self.begun) * self.rate)

    @property
    def amount(self):
        return self.meter.amount if self.meter else 0

    def in_flight(self, leased):
        return sum(call[1] is leased for call in self.calls)


class Shares(Clock):
    """`mode`: see above. Raises a `Breach` where more than the bound is in hand."""

    def __init__(
        self,
        seed,
        planners=3,
        holders=4,
        quota=None,
        make=None,
        latency=300,
        drift=None,
        mode="strict",
        per="in_hand",
    ):
        super().__init__(seed)
        self.random, self.latency, self.mode = Random(f"shares {seed}"), latency, mode
        self.make = make or {}
        names = [f"p{n}" for n in range(planners)] + [f"n{n}" for n in range(holders)]
        address = lambda n: f"10.0.{n // 250}.{n % 250 + 1}:7401"
        places = tuple(address(n) for n in range(planners))
        burst = 0 if per == "in_hand" else 20
        floor = 1 if mode == "strict" else 40 // holders if mode == "static" else 0
        limit = Limit("store", 40, floor, per=per, burst=burst, mode="loose" if mode == "loose" else "strict")
        base_ = quota or QuotaConfig(limits=(limit,), most=holders + 2)
        self.quota = QuotaConfig(**{**base_.__dict__, "planners": places})
        self.drift = self.quota.drift if drift is None else drift
        self.figures = MembershipConfig()
        self.processes, self.at = {}, {}
        for n, name in enumerate(names):
            rate = 1 + self.random.choice([-1, 0, 1]) * self.drift
            self.processes[name] = Process(name, address(n), rate, self.random.randrange(10**9))
            self.at[address(n)] = name
        self.limit = self.quota.limits[0]
        self.trace = xxhash.xxh3_64()
        self.phase, self.use = "start", {}  # phase -> [used, wanted], unit-seconds
        self.in_hand, self.looked = 0, self.now
        self.worst, self.remainder = 0, 0  # most in hand; most that stopped processes wrote too late
        self.level, self.level_at, self.taken = 0.0, self.now, 0  # of a bucket that empties at the rate
        self.logs = []
        self.takes = 300_000  # a call, on average

    # ---- processes

    def start(self, name):
        process = self.processes[name]
        process.life += 1
        process.stopped, process.waiting, process.pending = False, [], None
        own = process.clock(self.now)
        chance = Random(f"{self.seed} {name} {process.life}")
        if name[0] == "p":
            process.machine = self.make.get("planner", Planner)(
                process.address, "virtual", self.quota, chance, own
            )
        else:
            kind = self.make.get("meter") or (
                RateLimiter if self.limit.per == "rate" else CallConcurrencyLimiter
            )
            process.meter = kind(self.limit, self.quota.slack, self.quota.most)
            process.meter.now_us = own
            process.machine = self.node(name, process, chance, own)
        self.put(self.now + self.random.randrange(TICK), self.tick, name, process.life)

    def node(self, name, process, chance, own):
        if self.mode == "loose":
            seeds = [other.address for other in self.processes.values() if other.name[0] == "n"][:3]
            member = Member(
                name,
                "virtual",
                process.address,
                seeds,
                self.figures,
                chance,
                1_700_000_000_000 + self.now // 1000,
                own,
            )
            member.piggyback_clients.append(self.make.get("loose", LocalLimits)(self.quota, own))
            return member
        if self.mode == "strict":
            return self.make.get("holder", LeaseHolder)(name, "virtual", self.quota, chance, own)
        parts = sum(each[0] == "n" for each in self.processes) if self.mode == "static" else 1
        process.meter.set_allowance(self.limit.amount // parts, 0, FOR_EVER)
        return Idle()

    def kill(self, name):
        """Its connections close: the store gives its calls up."""
        process = self.processes[name]
        process.machine, process.stopped, process.waiting, process.pending = None, False, [], None
        process.life += 1
        process.calls = []

    def stop(self, name):
        self.processes[name].stopped = True

    def stop_at_the_write(self, name):
        """Stopped after the last look at the clock, before a call that was allowed is written."""
        process = self.processes[name]
        if self.limit.per == "in_hand" and self.mode == "strict" and process.wants > 0:
            process.meter.now_us = process.clock(self.now)
            given = process.meter.try_acquire(process)
            if given and given[0]:
                takes = int(self.random.expovariate(1 / self.takes)) + 1000
                process.pending = min(takes, int(given[1] / process.rate))
        self.stop(name)

    def go_on(self, name):
        process = self.processes[name]
        process.stopped = False
        if process.pending is not None:
            process.calls.append([self.now + process.pending, True, True])
            process.pending = None
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
                process.meter.now_us = process.clock(self.now)
                process.meter.set_allowance(*effect[2:])
                self.make_calls(process)
            elif effect[0] == "log":
                self.logs.append((self.now, name, effect[1], effect[2]))

    def arrive(self, a, b, data):
        self.feed(b, ("got", codec.parse_address(self.processes[a].address), data))

    # ---- calls, by the node's own meter

    def make_calls(self, process):
        now, meter = self.now, process.meter
        meter.now_us = process.clock(now)
        if process.stopped or process.machine is None:
            return
        if self.limit.per == "rate":
            self.take_at_rate(process)
        else:
            process.calls = [call for call in process.calls if call[0] > now]
            for _ in range(max(0, process.wants - len(process.calls))):
                given = meter.try_acquire(process)
                if given is None:
                    break
                leased, longest = given
                takes = int(self.random.expovariate(1 / self.takes)) + 1000
                if longest is not None:
                    takes = min(takes, int(longest / process.rate))
                process.calls.append([now + takes, leased, False])
                self.put(now + takes, self.call_ended, process)
        if not process.telling:
            process.telling = True
            self.tell(process)
            process.telling = False

    def call_ended(self, process):
        if self.limit.per == "in_hand":
            self.make_calls(process)

    def take_at_rate(self, process):
        """`wants` a second; what is not taken is gone."""
        before, process.tried = self.now if process.tried is None else process.tried, self.now
        process.owed = min(process.owed + process.wants * (self.now - before) / SECOND, process.wants)
        while process.owed >= 1:
            process.owed -= 1
            process.meter.record_demand()
            if process.meter.try_acquire():
                rate = self.whole() * (1 + self.drift) / SECOND
                self.level = max(0.0, self.level - (self.now - self.level_at) * rate) + 1
                self.level_at, self.taken = self.now, self.taken + 1

    def tell(self, process):
        if self.mode not in ("strict", "loose"):
            return
        lie = 10**6 if process.lies else 0
        rate = self.limit.per == "rate"
        said = process.meter.usage(process, 0 if rate else max(process.wants, lie))
        if said and lie and rate:
            said = said[0], lie, 0
        if said:
            self.feed(
                process.name, (*(("rider",) if self.mode == "loose" else ()), "use", self.limit.name, *said)
            )

    def count(self):
        """The truth: (calls in hand at the store, those of them that stopped processes wrote too late)."""
        now = self.now
        all_ = [call for process in self.processes.values() for call in process.calls if call[0] > now]
        return len(all_), sum(call[2] for call in all_)

    def bound(self):
        """Beyond the limit, whatever fails."""
        if self.mode == "loose":
            return self.quota.loose_overshoot_bound(
                self.limit, sum(name[0] == "n" for name in self.processes)
            )
        return 0 if self.mode == "strict" else FOR_EVER

    def whole(self):
        """The limit and what may come beyond it, whatever fails."""
        return self.limit.amount + self.bound() if self.mode == "loose" else self.limit.amount

    def after_step(self, _):
        span, limit = self.now - self.looked, self.limit
        use = self.use.setdefault(self.phase, [0.0, 0.0])
        want = sum(p.wants for p in self.processes.values() if p.machine and not p.stopped)
        wanted = min(want, limit.amount) * span
        self.looked = self.now
        use[1] += wanted
        if limit.per == "rate":
            use[0], self.taken = use[0] + self.taken * SECOND, 0
            self.worst = max(self.worst, self.level)
            most = limit.burst * self.whole() / limit.amount
            if self.mode in ("strict", "loose") and self.level > most + 1e-6:
                raise Breach(
                    f"seed {self.seed}, {self.now / SECOND:.3f} s: {self.level:.1f} at once of "
                    f"{most} and {self.whole()} a second"
                )
            return
        in_hand, late = self.count()
        use[0] += self.in_hand * span
        self.in_hand = in_hand
        self.worst, self.remainder = max(self.worst, in_hand - late), max(self.remainder, late)
        if in_hand - late > limit.amount + self.bound():
            raise Breach(
                f"seed {self.seed}, {self.now / SECOND:.3f} s: {in_hand} calls in hand of "
                f"{limit.amount}: "
                + str(
                    {
                        name: (len(p.calls), p.amount, (p.meter.until - p.clock(self.now)) // 1000)
                        for name, p in self.processes.items()
                        if p.calls
                    }
                )
            )


class Idle:
    """Of a node that talks to nobody."""

    def reduce(self, now, what):
        return []


class Run(Shares):
    """One seed of faults by chance."""

    KINDS = (
        "stop",
        "stop",
        "kill",
        "cut",
        "one way",
        "loss",
        "late",
        "demand",
        "demand",
        "all planners",
        "leader",
        "two planners",
        "one by one",
        "write",
        "lie",
        "again elsewhere",
        "replace",
    )

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
        self.run(12 * SECOND, self.after_step)
        self.phase = "faults"
        end = self.now + seconds * SECOND
        self.put(self.now, self.fault, end)
        self.run(end, self.after_step)
        self.fabric.reduce(self.now, ("clear",))
        self.phase = "coming back"
        self.run(end + 30 * SECOND, self.after_step)  # all stops are over
        self.fabric.reduce(self.now, ("clear",))  # a rule of a pair may have kept what then held for all
        # Then all is shared again: the wants of all are met as far as the limit goes.
        for name in self.holders:
            self.processes[name].wants, self.processes[name].lies = self.limit.amount, False
        self.run(self.now + self.quota.recovery_bound() + self.quota.rebalancing_bound(), self.after_step)
        self.phase = "calm"
        self.run(self.now + 5 * SECOND, self.after_step)
        used, wanted = self.use["calm"]
        use = used / max(1, wanted)
        if use < 0.5 and self.mode != "static":
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
            leads = [
                name
                for name in self.planners
                if name in up and self.processes[name].machine.election.is_leader
            ]
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
        elif kind in ("two planners", "one by one"):
            for n, name in enumerate(self.planners[:2] if kind == "two planners" else self.planners):
                self.put(
                    now + n * 700_000 * (kind == "one by one"),
                    self.end_and_again,
                    name,
                    until - now if kind == "two planners" else 100_000,
                )
        elif kind in ("write", "again elsewhere") and up:
            name = chance.choice([name for name in up if name[0] == "n"] or self.holders)
            process = self.processes[name]
            if process.machine and not process.stopped:
                self.stop_at_the_write(name)
                self.put(now + chance.randrange(1, 30) * SECOND, self.wake, name, process.life)
                if kind == "again elsewhere":
                    self.put(now + SECOND, self.elsewhere, name)
        elif kind == "lie":
            name = chance.choice(self.holders)
            self.processes[name].lies = not self.processes[name].lies
        elif kind == "replace":
            for name in self.holders[:-1]:
                self.put(now + chance.randrange(0, 4) * SECOND, self.end_and_again, name, 200_000)
        elif kind in ("cut", "one way"):
            some = chance.sample(list(self.processes), chance.randrange(1, len(self.processes)))
            rest = [name for name in self.processes if name not in some]
            pairs = [(a, b) for a in some for b in rest] + (
                [(b, a) for a in some for b in rest] if kind == "cut" else []
            )
            self.rule(pairs, until, {"cut": True}, {"cut": False})
        elif kind == "loss":
            bad = {"lose": 0.3, "double": 0.3, "swap": 0.2}
            self.rule(None, until, bad, dict.fromkeys(bad, 0.0))
        elif kind == "late":
            self.rule(
                None,
                until,
                {"delay": 1000, "jitter": chance.choice([300_000, 3_000_000, 10_000_000])},
                {"delay": 0, "jitter": 0},
            )
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

    def end_and_again(self, name, after):
        self.kill(name)
        self.put(self.now + after, self.again, name)

    def elsewhere(self, name):
        """The name of a stopped process is started anew at another place, with another clock."""
        new = self.processes.get(name + "b")
        if new is None:
            n = len(self.processes)
            new = self.processes[name + "b"] = Process(
                name + "b", f"10.1.0.{n}:7401", 1 + self.random.choice([-1, 1]) * self.drift, 77
            )
            self.at[new.address] = name + "b"
            new.wants = 5
        running = sum(p.machine is not None for p in self.processes.values() if p.name[0] == "n")
        if new.machine is None and running < self.quota.most:
            self.start(name + "b")
            self.put(self.now + 20 * SECOND, self.kill, name + "b")

    def again(self, name):
        if self.processes[name].machine is None:
            self.start(name)


def one(seed, mode="strict", per="in_hand", seconds=60, drift=None):
    """What one seed came to, as a dict; `breach`: None, or what did not hold."""
    run, breach = Run(seed, mode=mode, per=per, drift=drift), None
    try:
        run.play(seconds)
    except Breach as error:
        breach = str(error)
    return {
        "breach": breach,
        "worst": run.worst,
        "remainder": run.remainder,
        "steps": run.steps,
        "use": run.use,
        "limit": run.limit.amount if per == "in_hand" else run.limit.burst,
    }


def jump(mode, holders=16):
    """Seconds from a jump of demand, from all to one node, until nine tenths of what an oracle gives it are
    in hand; None: not within 20 s."""
    limit = Limit("store", 48, 0 if mode == "loose" else 1, mode="loose" if mode == "loose" else "strict")
    fleet = Shares(1, holders=holders, mode=mode, quota=QuotaConfig(limits=(limit,), most=holders + 4))
    for name in fleet.processes:
        fleet.start(name)
    nodes = [process for process in fleet.processes.values() if process.name[0] == "n"]
    for process in nodes:
        process.wants = 6
    fleet.run(14 * SECOND, fleet.after_step)
    for process in nodes:
        process.wants = 0
    first, began = nodes[3], fleet.now
    first.wants = fleet.limit.amount
    reach = 0.9 * min(first.wants, fleet.limit.shareable(fleet.quota.most))
    while fleet.now < began + 20 * SECOND:
        fleet.run(fleet.now + 50_000, fleet.after_step)
        if len(first.calls) >= reach:
            return (fleet.now - began) / SECOND
    return None
