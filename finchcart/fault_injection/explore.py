"""A bounded exhaustive check of elections and grants: the true state machines, every placing of a few faults.

Owns the search. Time goes in steps; in each, all processes tick and all messages arrive, again and again
until none is under way. Before each step any one fault may happen: a process is started anew, stops or goes
on; what goes from one to another is held back and arrives some steps later, or arrives now and once more
later, or is lost; a holder's want changes. Clocks drift apart by the stated part, each way that `DRIFTS`
names. All placings of at most `faults` of them within `depth` steps are tried; a
state met before with as many faults left is not entered again. It must never cut a branch for any other
reason.
"""

import pickle

from finchcart.membership import codec
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.planner import Planner

STEP = 500_000
QUOTA = QuotaConfig(
    limits=(Limit("store", 4),),
    planners=("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"),
    most=2,
    drift=0.02,
    life=5 * STEP,
    round=STEP,
    lease=2 * STEP,
    step=1.0,
    room=0.0,
)  # grants outlive a lease
LATER = 1, 3, 99  # steps that a message is held back for; the last: for ever
DRIFTS = ({}, {"p": 1, "n": -1}, {"p": -1, "n": 1}, {"p0": 1, "p1": -1, "p2": -1})  # 1: as fast as allowed


class Steady:
    """No chance but by the order of asking: the least of what may be drawn, and sessions one after the
    other."""

    def __init__(self, first):
        self.first = first

    def randrange(self, low, high=None):
        return 0 if high is None else low

    def getrandbits(self, bits):
        self.first += 1
        return self.first


class World:
    """Everything that a state is; `make` as in shares.py."""

    def __init__(self, make, drift):
        self.now, self.step, self.late, self.lives = 10 * STEP, 0, [], 0
        self.rates = {
            name: 1 + QUOTA.drift * drift.get(name, drift.get(name[0], 0))
            for name in ("p0", "p1", "p2", "n0", "n1")
        }
        self.machines, self.stopped = {}, {}
        self.amounts = {}  # holder -> (amount, until)
        self.make = make
        for name in ("p0", "p1", "p2", "n0", "n1"):
            self.start(name)

    def start(self, name):
        self.lives += 1
        chance = Steady(self.lives * 100)
        if name[0] == "p":
            make = self.make.get("planner", Planner)
            self.machines[name] = make(QUOTA.planners[int(name[1])], "f", QUOTA, chance, self.clock(name))
        else:
            make = self.make.get("holder", LeaseHolder)
            self.machines[name] = make(name, "f", QUOTA, chance, self.clock(name))
            self.amounts[name] = 0, 0
            self.machines[name].reduce(self.clock(name), ("use", "store", 0, 4 if name == "n0" else 2))
        self.stopped.pop(name, None)

    def clock(self, name, count=0):
        return int((self.now + count) * self.rates[name])

    def address(self, name):
        number = int(name[1])
        return codec.parse_address(QUOTA.planners[number]) if name[0] == "p" else ("10.0.0.9", 7 + number)

    def name(self, address):
        for name in self.machines:
            if self.address(name) == address:
                return name
        return None

    def play(self, hold, twice):
        """One step; `hold`: (from, to, steps) whose messages come later, `twice` of them now as well."""
        self.step, self.now = self.step + 1, self.now + STEP
        todo = [(name, ("tick",)) for name in self.machines]
        due = [each for each in self.late if each[0] <= self.step]
        self.late = [each for each in self.late if each[0] > self.step]
        todo += [(to, ("got", self.address(origin), data)) for _, origin, to, data in due]
        for count in range(400):
            if count >= len(todo):
                break
            name, what = todo[count]
            if name in self.stopped:
                if what[0] == "got":
                    self.stopped[name].append(what)
                continue
            for effect in self.machines[name].reduce(self.clock(name, count), what):
                if effect[0] == "send":
                    to = self.name(effect[1])
                    if hold and (name, to) == hold[:2]:
                        if hold[2] < 99:
                            self.late.append((self.step + hold[2], name, to, effect[2]))
                        if not twice:
                            continue
                    todo.append((to, ("got", self.address(name), effect[2])))
                elif effect[0] == "allow":
                    self.amounts[name] = effect[3], effect[4]
                    self.check()

    def check(self):
        """What holders may use together, now."""
        used = {name: amount for name, (amount, until) in self.amounts.items() if self.clock(name) < until}
        if sum(used.values()) > QUOTA.limits[0].amount:
            raise AssertionError(f"step {self.step}: {used} of {QUOTA.limits[0].amount}")

    def key(self):
        """The state, without counters that only tell."""
        parts = []
        for name, machine in self.machines.items():
            held = {
                field: value
                for field, value in vars(machine).items()
                if field not in ("counts", "effects", "quota", "random", "others", "planners")
            }
            parts.append((name, pickle.dumps(held)))
        return hash(
            (
                self.step,
                tuple(parts),
                tuple(self.late),
                tuple(sorted((name, tuple(map(str, what))) for name, what in self.stopped.items())),
                tuple(sorted(self.amounts.items())),
            )
        )


def faults(world):
    """Each fault that may happen before the next step: (its name, what it does, what is held back, twice)."""
    names = list(world.machines)
    for name in names:
        if name in world.stopped:
            yield f"{name} goes on", ("go on", name), None, False
        else:
            yield f"{name} started anew", ("start", name), None, False
            yield f"{name} stops", ("stop", name), None, False
    for name in ("n0", "n1"):
        for wants in (0, 4):
            yield f"{name} wants {wants}", ("want", name, wants), None, False
    for a in names:
        for b in names:
            if a != b and "p" in a + b:
                for steps in LATER:
                    what = f"{steps} later" if steps < 99 else "lost"
                    yield f"{a} to {b} {what}", None, (a, b, steps), False
                yield f"{a} to {b} twice", None, (a, b, 2), True


def act(world, what):
    if what is None:
        return
    kind, name, *rest = what
    if kind == "start":
        world.start(name)
    elif kind == "stop":
        world.stopped[name] = []
    elif kind == "go on":
        for waiting in world.stopped.pop(name):
            for effect in world.machines[name].reduce(world.clock(name), waiting):
                if effect[0] == "allow":
                    world.amounts[name] = effect[3], effect[4]
    elif name not in world.stopped:
        world.machines[name].reduce(world.clock(name), ("use", "store", 0, rest[0]))


def explore(depth, most, make=None, begin=9, share=(0, 1), drift=0):
    """(states, the first breach with the faults that led to it, or None). The first `begin` steps are without
    faults: one shares out by then. `share`: (k, n) plays the k-th of n parts of the first choices; `drift`:
    which of `DRIFTS`."""
    world = World(make or {}, DRIFTS[drift])
    for _ in range(begin):
        world.play(None, False)
    seen, count = {}, 0
    stack = [(pickle.dumps(world), most, (), True)]
    while stack:
        packed, left, path, first = stack.pop()
        world = pickle.loads(packed)
        if world.step >= begin + depth:
            continue
        choices = [("", None, None, False)] + (list(faults(world)) if left else [])
        for n, (name, what, hold, twice) in enumerate(choices):
            if first and n and n % share[1] != share[0]:
                continue
            new = pickle.loads(packed)
            try:
                act(new, what)
                new.play(hold, twice)
                new.check()
            except AssertionError as breach:
                return count, f"{'; '.join([*path, f'{new.step}: {name}'])}: {breach}"
            rest = left - bool(name)
            key = new.key()
            if seen.get(key, -1) >= rest:
                continue
            seen[key], count = rest, count + 1
            stack.append(
                (
                    pickle.dumps(new),
                    rest,
                    path + ((f"{new.step}: {name}",) if name else ()),
                    first and not name,
                )
            )
    return count, None
