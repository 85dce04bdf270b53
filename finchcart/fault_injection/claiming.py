"""Claims on a virtual clock: keepers and holders, messages under way one by one, and the runs that came of
it.

Owns the truth: which run of a key was commanded when. Two drivers of the same world: seeded runs, with clocks
that drift, and a bounded search of all orders, losses, copies, restarts and pauses. It must never take a
machine's word for a run.
"""

import pickle
from random import Random

import xxhash

from finchcart.key_leases import messages
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig
from finchcart.key_leases.messages import LeaseStatus
from finchcart.key_leases.replica import KeyLeaseReplica
from finchcart.membership import codec

TICK = 50 * MS
BOOT = 10**12  # microseconds on the boot clocks at the start: keepers are past their silence


class Breach(AssertionError):
    """Two runs of one key within its life, or an answer that no run made."""


class World:
    """`make`: "keeper" and "holder", so that planted defects can be played."""

    def __init__(self, keepers=3, holders=2, figures=None, make=None, rates=None):
        places = tuple(f"10.0.0.{n + 1}:1" for n in range(keepers))
        self.figures = KeyLeaseConfig(**{**(figures or KeyLeaseConfig()).__dict__, "keepers": places})
        self.make, self.now, self.lives = make or {}, 0, 0
        self.rates = rates or {}
        self.machines, self.stopped, self.net = {}, set(), []
        self.runs = {}  # key -> [(when, holder, life of its process, how it ended or None)]
        self.to_command, self.running = {}, {}  # (holder, key) -> by; -> its run
        self.answers = {}  # (holder, key) -> kinds
        for n in range(keepers):
            self.start(f"k{n}", self.figures.startup_quiet_period + SECOND)
        for n in range(holders):
            self.start(f"h{n}")

    def clock(self, name):
        return BOOT + int(self.now * self.rates.get(name, 1))

    def start(self, name, before=0):
        """Anew: nothing is left of an earlier process but what is under way, and runs in the worker pool."""
        self.lives += 1
        self.stopped.discard(name)
        if name[0] == "k":
            begun = self.clock(name) - before
            self.machines[name] = self.make.get("keeper", KeyLeaseReplica)("f", self.figures, begun)
        else:
            chance = Random(self.lives)
            self.machines[name] = self.make.get("holder", KeyLeaseClient)(
                name, "f", self.figures, chance, self.clock(name)
            )
            for which in [which for which in self.to_command if which[0] == name]:
                del self.to_command[which]
            self.running = {which: run for which, run in self.running.items() if which[0] != name}

    def address(self, name):
        return f"10.0.{int(name[0] == 'h')}.{int(name[1:]) + 1}", 1

    def at(self, address):
        parts = address[0].split(".")
        return f"{'kh'[int(parts[2])]}{int(parts[3]) - 1}"

    def feed(self, name, *what):
        if name in self.stopped:
            return
        for effect in self.machines[name].reduce(self.clock(name), what):
            if effect[0] == "send":
                self.net.append((name, self.at(effect[1]), effect[2]))
            else:
                self.claimed(name, *effect[1:])

    def claimed(self, name, key, kind, result, by):
        self.answers.setdefault((name, key), []).append(kind)
        if kind == LeaseStatus.GRANTED:
            self.to_command[name, key] = by
        elif kind == LeaseStatus.COMPLETED:
            ok = [run for run in self.runs.get(key, ()) if run[3] == LeaseStatus.COMPLETED]
            if not ok:
                raise Breach(f"{self.now / SECOND:.3f} s: {name} is told a result that no run made")

    def command(self, name, key):
        """The last look at the clock, and the run."""
        by = self.to_command.pop((name, key))
        if self.clock(name) >= by:
            self.feed(name, "never", key)
            return
        run = [self.now, name, self.machines[name].session, None]
        for other in self.runs.setdefault(key, []):
            if self.now - other[0] < self.figures.run_spacing_bound():
                ago = (self.now - other[0]) / SECOND
                raise Breach(
                    f"{self.now / SECOND:.3f} s: {key.hex()[:4]} runs at {name}, and did at "
                    f"{other[1]} {ago:.3f} s ago"
                )
        self.runs[key].append(run)
        self.running[name, key] = run

    def end(self, name, key, kind=LeaseStatus.COMPLETED):
        run = self.running.pop((name, key))
        run[3] = kind
        self.feed(name, "ended", key, kind, b"ok" if kind == LeaseStatus.COMPLETED else b"")

    def deliver(self, n, keep=False):
        origin, to, data = self.net[n] if keep else self.net.pop(n)
        self.feed(to, "got", self.address(origin), data)

    def pass_time(self, span):
        self.now += span
        for name in self.machines:
            self.feed(name, "tick")


KEY = messages.key_digest("m", "t")


def choices(world, faults):
    """(its name, whether it is a fault, what it does) of all that may come next."""
    for n, (origin, to, _) in enumerate(world.net):
        yield f"{origin} to {to}", False, ("deliver", n)
        if faults:
            yield f"{origin} to {to} lost", True, ("lose", n)
            yield f"{origin} to {to} and once more", True, ("twice", n)
    for which in world.to_command:
        yield f"{which[0]} commands", False, ("command", *which)
    for which in world.running:
        yield f"{which[0]} ends", False, ("end", *which)
    yield "time", False, ("time", TICK)
    if faults:
        yield "time, long", True, ("time", world.figures.command)
        for name in world.machines:
            yield f"{name} anew", True, ("start", name)
        for name in world.machines:
            if name[0] == "h" and not any(which[0] == name for which in (*world.to_command, *world.running)):
                yield f"{name} claims again", True, ("claim", name)


def act(world, what):
    kind, *rest = what
    if kind == "deliver":
        world.deliver(rest[0])
    elif kind == "lose":
        world.net.pop(rest[0])
    elif kind == "twice":
        world.deliver(rest[0], True)
    elif kind == "command":
        world.command(*rest)
    elif kind == "end":
        world.end(*rest)
    elif kind == "time":
        world.pass_time(rest[0])
    elif kind == "start":
        world.start(rest[0])
    elif kind == "claim":
        world.feed(rest[0], "claim", [(KEY, 7, 12 * SECOND)])


def digest(world):
    parts = [
        world.now,
        sorted(world.net),
        sorted(world.to_command.items()),
        sorted(world.running),
        [[run[0], run[1], run[3]] for run in world.runs.get(KEY, ())],
    ]
    for name, machine in world.machines.items():
        parts.append(
            {
                field: value
                for field, value in vars(machine).items()
                if field not in ("counts", "effects", "config", "random", "replicas")
            }
        )
    return xxhash.xxh3_128_digest(pickle.dumps(parts))


def explore(depth, faults, make=None, most=10**9, share=(0, 1)):
    """(states, the first breach with what led to it, or None). Two holders claim one key at once; everything
    that may come next is tried, at most `faults` of them faults, to `depth` such steps. A state met before
    with as many steps and faults left is not entered again."""
    world = World(make=make)
    for name in ("h0", "h1"):
        act(world, ("claim", name))
    seen, count = {}, 0
    stack = [(pickle.dumps(world), depth, faults, ())]
    while stack and count < most:
        packed, left, allowed, path = stack.pop()
        here = pickle.loads(packed)
        for n, (name, fault, what) in enumerate(list(choices(here, allowed))):
            if not path and n % share[1] != share[0]:
                continue
            new = pickle.loads(packed)
            try:
                act(new, what)
            except Breach as breach:
                return count, f"{'; '.join([*path, name])}: {breach}"
            which, rest = digest(new), (left - 1, allowed - fault)
            if any(old[0] >= rest[0] and old[1] >= rest[1] for old in seen.get(which, ())):
                continue
            seen.setdefault(which, []).append(rest)
            count += 1
            if rest[0]:
                stack.append((pickle.dumps(new), *rest, (*path, name)))
    return count, None


class Run(World):
    """One seed: holders that claim keys, some at two nodes at once, links that lose, double, delay and cut,
    stops, restarts of all kinds; a repeat goes to another node."""

    def __init__(self, seed, holders=4, keepers=3, make=None, figures=None, loose=False):
        chance = Random(f"claims {seed}")
        figures = figures or KeyLeaseConfig(life=6 * SECOND)
        names = [f"k{n}" for n in range(keepers)] + [f"h{n}" for n in range(holders)]
        rates = {name: 1 + chance.choice((-1, 0, 1)) * figures.drift for name in names}
        super().__init__(keepers, holders, figures, make, rates)
        self.seed, self.chance, self.steps = seed, chance, 0
        self.way, self.made = [], 0  # (when, number, from, to, data)
        self.cuts, self.loss = set(), 0.0
        self.waiting = {}  # stopped process -> what came meanwhile
        self.todo = []  # (when, number, what)
        self.keys, self.trace = 0, xxhash.xxh3_64()

    def later(self, span, *what):
        self.made += 1
        self.todo.append((self.now + span, self.made, what))

    def send_on(self):
        """What machines sent is on its way."""
        for origin, to, data in self.net:
            self.trace.update(f"{self.now} {origin} {to}".encode() + data)
            if (origin, to) in self.cuts or self.chance.random() < self.loss:
                continue
            for _ in range(2 if self.chance.random() < self.loss else 1):
                delay = self.chance.choice(
                    (200, 300, 5 * MS, self.chance.randrange(3 * SECOND) if self.loss else 400)
                )
                self.made += 1
                self.way.append((self.now + delay, self.made, origin, to, data))
        self.net.clear()

    def play(self, seconds=30):
        for name in self.machines:
            self.later(self.chance.randrange(TICK), "tick", name)
        self.later(0, "new key")
        self.later(SECOND, "fault")
        end = self.now + seconds * SECOND
        while True:
            self.send_on()
            events = [min(queue) for queue in (self.way, self.todo) if queue]
            first = min(events)
            if first[0] > end:
                return self.trace.hexdigest()
            self.now, self.steps = max(self.now, first[0]), self.steps + 1
            if first in self.way:
                self.way.remove(first)
                _, _, origin, to, data = first
                if to in self.stopped:
                    self.waiting.setdefault(to, []).append((origin, data))
                else:
                    self.feed(to, "got", self.address(origin), data)
            else:
                self.todo.remove(first)
                self.do(*first[2], end)

    def claimed(self, name, key, kind, result, by):
        super().claimed(name, key, kind, result, by)
        if kind == LeaseStatus.GRANTED:
            session = self.machines[name].session
            self.later(self.chance.choice((0, 100, 50 * MS)), "command", name, key, session)

    def do(self, kind, *rest):
        getattr(self, f"do_{kind.replace(' ', '_')}")(*rest)

    def do_tick(self, name, end):
        self.feed(name, "tick")
        self.later(TICK, "tick", name)

    def do_new_key(self, end):
        """A key, claimed at one or two nodes at once, and again later elsewhere."""
        self.keys += 1
        key, names = messages.key_digest("m", str(self.keys)), [n for n in self.machines if n[0] == "h"]
        for name in self.chance.sample(names, self.chance.choice((1, 1, 2, 3))):
            self.do_claim(name, key, end)
        for _ in range(self.chance.choice((0, 1, 2))):
            self.later(self.chance.randrange(4 * SECOND), "claim", self.chance.choice(names), key)
        self.later(self.chance.randrange(10 * MS, 400 * MS), "new key")

    def do_claim(self, name, key, end):
        self.feed(name, "claim", [(key, 7, self.figures.life)])

    def do_command(self, name, key, session, end):
        if name in self.stopped:
            self.later(50 * MS, "command", name, key, session)  # stopped before its last look at the clock
        elif (name, key) in self.to_command and self.machines[name].session == session:
            if self.chance.random() < 0.1:
                del self.to_command[name, key]
                self.feed(name, "never", key)  # pushed back: it never ran
                return
            self.command(name, key)
            if (name, key) in self.running:
                self.later(self.chance.choice((10 * MS, 200 * MS, 2 * SECOND)), "ended", name, key, session)

    def do_ended(self, name, key, session, end):
        if name in self.stopped:
            self.later(50 * MS, "ended", name, key, session)
        elif (name, key) in self.running and self.machines[name].session == session:
            self.end(
                name,
                key,
                self.chance.choice((LeaseStatus.COMPLETED, LeaseStatus.COMPLETED, LeaseStatus.FAILED)),
            )

    def do_fault(self, end):
        chance = self.chance
        kind = chance.choice(
            ("stop", "stop", "kill", "keeper", "all keepers", "one by one", "cut", "one way", "loss")
        )
        names = list(self.machines)
        span = chance.randrange(200 * MS, 8 * SECOND)
        if kind == "stop":
            name = chance.choice(names)
            self.stopped.add(name)
            self.later(span, "go on", name)
        elif kind == "kill":
            self.start(chance.choice([name for name in names if name[0] == "h"]))
        elif kind == "keeper":
            self.start(chance.choice([name for name in names if name[0] == "k"]))
        elif kind in ("all keepers", "one by one"):
            for n, name in enumerate(name for name in names if name[0] == "k"):
                self.later(n * SECOND * (kind == "one by one"), "again", name)
        elif kind in ("cut", "one way"):
            some = set(chance.sample(names, chance.randrange(1, len(names))))
            pairs = {(a, b) for a in some for b in names if b not in some}
            pairs |= {(b, a) for a, b in pairs} if kind == "cut" else set()
            self.cuts |= pairs
            self.later(span, "heal", pairs)
        else:
            self.loss = 0.3
            self.later(span, "calm")
        self.later(chance.randrange(500 * MS, 4 * SECOND), "fault")

    def do_go_on(self, name, end):
        if name in self.stopped:
            self.stopped.discard(name)
            for origin, data in self.waiting.pop(name, ()):
                self.feed(name, "got", self.address(origin), data)

    def do_again(self, name, end):
        self.start(name)
        self.waiting.pop(name, None)

    def do_heal(self, pairs, end):
        self.cuts -= pairs

    def do_calm(self, end):
        self.loss = 0.0


def one(seed, seconds=30, make=None):
    """What one seed came to."""
    run, breach = Run(seed, make=make), None
    try:
        run.play(seconds)
    except Breach as error:
        breach = f"seed {seed}: {error}"
    kinds = {}
    for said in run.answers.values():
        for kind in said:
            kinds[kind] = kinds.get(kind, 0) + 1
    return {
        "breach": breach,
        "steps": run.steps,
        "keys": run.keys,
        "kinds": kinds,
        "runs": sum(map(len, run.runs.values())),
        "in_flight": codec.MAX_DATAGRAM_BYTES,
    }
