"""The links between members: what becomes of a datagram on its way.

Owns a rule, a seeded `Random` and counts for each directed pair. `reduce(now, what)` takes one input and
returns effects; it must never do I/O or read a clock. Drivers: relay.py on loopback, virtual.py.

Inputs: `("datagram", a, b, data)` from member a to member b, `("rule", a, b, changes)` (`a`, `b`: names, or
None for all; `changes`: fields of `Rule`), `("clear",)`, `("time",)`. Effects: `("deliver", a, b, data)`.
"""

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from random import Random


@dataclass(frozen=True)
class Rule:
    """Of one directed pair. Parts are from 0 to 1, times whole microseconds."""

    lose: float = 0.0  # independently
    burst: float = 0.0  # a datagram begins a burst of loss, which takes
    burst_length: int = 0  # so long
    delay: int = 0
    jitter: int = 0  # added to the delay, evenly from 0
    double: float = 0.0
    swap: float = 0.0  # overtaken: held back by
    swap_by: int = 50_000
    spoil: float = 0.0  # one byte is another
    cut: bool = False
    flap: int = 0  # cut and open in turn, each for so long


class Pair:
    def __init__(self, seed):
        self.random, self.burst_until = Random(seed), 0
        self.counts = dict.fromkeys(("taken", "lost", "cut", "doubled", "swapped", "spoilt", "delivered"), 0)


class Fabric:
    """Datagrams under way are bounded by `most`: what is over is lost and counted as such."""

    def __init__(self, seed, most=100_000):
        self.seed, self.most = seed, most
        self.rules, self.pairs, self.way, self.made = {}, {}, [], 0
        self.now = 0

    def rule(self, a, b):
        return self.rules.get((a, b)) or self.rules.get((None, None)) or Rule()

    def pair(self, a, b):
        if (a, b) not in self.pairs:
            self.pairs[a, b] = Pair(f"{self.seed} {a} {b}")
        return self.pairs[a, b]

    def due(self):
        return self.way[0][0] if self.way else None

    def reduce(self, now, what):
        self.now = now = max(now, self.now)
        effects = []
        while self.way and self.way[0][0] <= now:
            _, _, a, b, data = heappop(self.way)
            if not self.rule(a, b).cut:
                self.pair(a, b).counts["delivered"] += 1
                effects.append(("deliver", a, b, data))
        if what[0] == "datagram":
            self.take(now, *what[1:], effects)
        elif what[0] == "rule":
            _, a, b, changes = what
            self.rules[a, b] = replace(self.rule(a, b), **changes)
        elif what[0] == "clear":
            self.rules.clear()
        return effects

    def take(self, now, a, b, data, effects):
        rule, pair = self.rule(a, b), self.pair(a, b)
        counts, chance = pair.counts, pair.random.random
        counts["taken"] += 1
        if rule.cut or rule.flap and now // rule.flap % 2:
            counts["cut"] += 1
            return
        if rule.burst and now >= pair.burst_until and chance() < rule.burst:
            pair.burst_until = now + rule.burst_length
        if now < pair.burst_until or rule.lose and chance() < rule.lose:
            counts["lost"] += 1
            return
        copies = 1
        if rule.double and chance() < rule.double:
            counts["doubled"] += 1
            copies = 2
        for _ in range(copies):
            when = now + rule.delay + (int(chance() * rule.jitter) if rule.jitter else 0)
            if rule.swap and chance() < rule.swap:
                counts["swapped"] += 1
                when += rule.swap_by
            out = data
            if rule.spoil and chance() < rule.spoil:
                counts["spoilt"] += 1
                n = int(chance() * len(data))
                out = data[:n] + bytes([data[n] ^ 1 + int(chance() * 255)]) + data[n + 1 :]
            if when <= now:
                counts["delivered"] += 1
                effects.append(("deliver", a, b, out))
            elif len(self.way) >= self.most:
                counts["lost"] += 1
            else:
                self.made += 1
                heappush(self.way, (when, self.made, a, b, out))

    def total(self):
        out = {}
        for pair in self.pairs.values():
            for name, count in pair.counts.items():
                out[name] = out.get(name, 0) + count
        return out
