"""Members on a virtual clock: the true state machines by the hundred, in one thread.

Owns the clock, the queue of what is due, and the truth of who runs. It must never change what a member does:
the same objects run on sockets. A stopped member keeps what comes to it, as a socket's buffer does, up to a
bound; it is handed over when it goes on.
"""

from heapq import heappop, heappush
from random import Random

from finchcart.fault_injection.fabric import Fabric
from finchcart.membership.config import MembershipConfig
from finchcart.membership.member import Member

BUFFER = 250  # datagrams that wait for a stopped member


class Place:
    """One name: its process, if any, and its address."""

    def __init__(self, name, address):
        self.name, self.address = name, address
        self.member, self.stopped, self.waiting = None, False, []
        self.life = 0  # raised by each start: ticks of an earlier process are void
        self.delay = 0  # of each tick: a process starved of its core


class Clock:
    """What is due, in order. Times are whole microseconds."""

    def __init__(self, seed):
        self.now, self.seed, self.queue, self.made, self.steps = 1_000_000, seed, [], 0, 0
        self.fabric, self.looks = Fabric(seed), None

    def put(self, when, act, *args):
        self.made += 1
        heappush(self.queue, (when, self.made, act, args))

    def run(self, until, after_step=None):
        """Up to that time; `after_step(self)` after each step."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act, args = heappop(self.queue)
            self.steps += 1
            act(*args)
            if after_step:
                after_step(self)
        self.now = max(self.now, until)

    def carry(self, what):
        """An input of the fabric; what it delivers arrives after the latency."""
        for _, a, b, data in self.fabric.reduce(self.now, what):
            self.put(self.now + self.latency, self.arrive, a, b, data)
        due = self.fabric.due()
        if due is not None and due > self.now and self.looks != due:
            self.looks = due
            self.put(due, self.carry, ("time",))


class Fleet(Clock):
    """`watch(now, name, effect)` hears of all effects but datagrams."""

    def __init__(self, names, seed, figures=None, seeds=3, latency=200, watch=None, make=Member):
        super().__init__(seed)
        self.random = Random(f"fleet {seed}")
        self.figures, self.latency, self.make = figures or MembershipConfig(), latency, make
        self.places, self.at = {}, {}
        self.seeds = seeds
        self.watch = watch or (lambda now, name, effect: None)
        self.wall = 1_700_000_000_000
        self.fed = None  # the place that acted last
        for name in names:
            self.add(name)

    def add(self, name):
        n = len(self.places)
        address = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:7400"
        self.places[name] = Place(name, address)
        self.at[address] = name
        return self.places[name]

    # ---- what happens to processes

    def start(self, name, wall_off=0, as_name=None):
        """`wall_off`: milliseconds that its wall clock is off; `as_name`: of the member, where not the
        place's."""
        place = self.places[name]
        place.life += 1
        place.stopped, place.waiting = False, []
        seeds = [other.address for other in list(self.places.values())[: self.seeds]]
        place.member = self.make(
            as_name or name,
            "virtual",
            place.address,
            seeds,
            self.figures,
            Random(f"{self.seed} {name} {place.life}"),
            self.wall + self.now // 1000 + wall_off,
            self.now,
        )
        self.put(self.now + self.random.randrange(self.figures.tick), self.tick, name, place.life)

    def kill(self, name):
        place = self.places[name]
        place.member, place.stopped, place.waiting = None, False, []
        place.life += 1

    def stop(self, name):
        self.places[name].stopped = True

    def go_on(self, name):
        place = self.places[name]
        place.stopped = False
        waiting, place.waiting = place.waiting, []
        for what in waiting:
            self.feed(name, what)
        if place.member:
            self.feed(name, ("tick",))

    def tell(self, name, *what):
        self.feed(name, what)

    # ---- the run

    def tick(self, name, life):
        place = self.places[name]
        if place.life != life:
            return
        if not place.stopped:
            self.feed(name, ("tick",))
        self.put(
            self.now + self.figures.tick + (self.random.randrange(place.delay) if place.delay else 0),
            self.tick,
            name,
            life,
        )

    def feed(self, name, what):
        place = self.places[name]
        if place.member is None:
            return
        if place.stopped:
            if what[0] == "got" and len(place.waiting) < BUFFER:
                place.waiting.append(what)
            return
        self.fed = name
        for effect in place.member.reduce(self.now, what):
            if effect[0] == "send":
                to = self.at.get(f"{effect[1][0]}:{effect[1][1]}")
                if to is not None:
                    self.carry(("datagram", name, to, effect[2]))
            else:
                self.watch(self.now, name, effect)

    def arrive(self, a, b, data):
        host, _, port = self.places[a].address.rpartition(":")
        self.feed(b, ("got", (host, int(port)), data))

    def live(self):
        return [name for name, place in self.places.items() if place.member and not place.stopped]

    def state(self, at, of):
        member = self.places[at].member
        for known in member.known_members.values():
            if known.record.name == of:
                return known.state
        return None

    def views(self):
        """name of each live member -> {name: state} as it has it."""
        return {
            name: {
                known.record.name: known.state for known in self.places[name].member.known_members.values()
            }
            for name in self.live()
        }
