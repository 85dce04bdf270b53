"""The network between members: what becomes of a datagram on its way.

Owns a rule, a seeded `Random` and counts for each directed link. Time is handed in with each call, in whole
microseconds; it must never do I/O or read a clock. Each call returns the datagrams that arrive at that time.
Drivers: fault_injecting_proxy.py on loopback, virtual_time.py on the virtual clock.
"""

from collections import Counter
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, TypedDict

COUNTS = ("taken", "lost", "cut", "doubled", "swapped", "spoilt", "delivered")
Endpoints = tuple[str | None, str | None]  # of a directed link; (None, None): of all links


class LinkRuleChanges(TypedDict, total=False):
    """New values of some fields of a `LinkRule`."""

    lose: float
    burst: float
    burst_length: int
    delay: int
    jitter: int
    double: float
    swap: float
    swap_by: int
    spoil: float
    cut: bool
    flap: int


@dataclass(frozen=True)
class LinkRule:
    """What happens to the datagrams of a directed link.

    The fields are the keys of scripts. Probabilities are from 0 to 1, times whole microseconds.
    """

    lose: float = 0.0  # independently
    burst: float = 0.0  # a datagram begins a burst of loss, which takes
    burst_length: int = 0  # so long
    delay: int = 0
    jitter: int = 0  # added to the delay, evenly from 0
    double: float = 0.0
    swap: float = 0.0  # overtaken: delayed by
    swap_by: int = 50_000
    spoil: float = 0.0  # one byte is another
    cut: bool = False
    flap: int = 0  # cut and open in turn, each for so long

    def is_cut(self, now: int) -> bool:
        """Whether nothing passes at this time."""
        return bool(self.cut or (self.flap and now // self.flap % 2))


class Delivery(NamedTuple):
    """A datagram that arrives."""

    origin: str
    target: str
    data: bytes


class DirectedLink:
    """Chance and counts of the datagrams from one member to another."""

    def __init__(self, seed: str) -> None:
        self.random = Random(seed)
        self.burst_until = 0
        self.counts = dict.fromkeys(COUNTS, 0)

    def happens(self, probability: float) -> bool:
        """Draw an event of that probability; nothing is drawn where it is 0."""
        return bool(probability) and self.random.random() < probability

    def loses(self, rule: LinkRule, now: int) -> bool:
        """Whether a datagram sent now is lost, in a burst or by itself."""
        if rule.burst and now >= self.burst_until and self.random.random() < rule.burst:
            self.burst_until = now + rule.burst_length
        return now < self.burst_until or self.happens(rule.lose)

    def copies(self, rule: LinkRule) -> int:
        """How often a datagram is passed on: once or twice."""
        if not self.happens(rule.double):
            return 1
        self.counts["doubled"] += 1
        return 2

    def arrival_time(self, rule: LinkRule, now: int) -> int:
        """When a datagram sent now arrives."""
        when = now + rule.delay
        if rule.jitter:
            when += int(self.random.random() * rule.jitter)
        if self.happens(rule.swap):
            self.counts["swapped"] += 1
            when += rule.swap_by
        return when

    def corrupted(self, rule: LinkRule, data: bytes) -> bytes:
        """Return the datagram, with another byte in it where the rule says so."""
        if not self.happens(rule.spoil):
            return data
        self.counts["spoilt"] += 1
        position = int(self.random.random() * len(data))
        changed = data[position] ^ 1 + int(self.random.random() * 255)
        return data[:position] + bytes([changed]) + data[position + 1 :]


class SimulatedNetwork:
    """All directed links; datagrams under way are bounded: what is over is lost and counted as such."""

    def __init__(self, seed: int | str, max_in_flight: int = 100_000) -> None:
        self.seed = seed
        self.max_in_flight = max_in_flight
        self.rules: dict[Endpoints, LinkRule] = {}
        self.links: dict[tuple[str, str], DirectedLink] = {}
        self.in_flight: list[tuple[int, int, Delivery]] = []  # heap by (arrival time, number)
        self.sequence = 0
        self.now = 0

    def rule(self, origin: str | None, target: str | None) -> LinkRule:
        """Return the rule of a directed link: its own, that of all links, or none."""
        return self.rules.get((origin, target)) or self.rules.get((None, None)) or LinkRule()

    def link(self, origin: str, target: str) -> DirectedLink:
        """Return the directed link, made at its first use."""
        if (origin, target) not in self.links:
            self.links[origin, target] = DirectedLink(f"{self.seed} {origin} {target}")
        return self.links[origin, target]

    def next_arrival(self) -> int | None:
        """When the next datagram under way arrives."""
        return self.in_flight[0][0] if self.in_flight else None

    def advance(self, now: int) -> list[Delivery]:
        """Return the datagrams that arrive up to this time."""
        self.now = max(now, self.now)
        deliveries = []
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, delivery = heappop(self.in_flight)
            if not self.rule(delivery.origin, delivery.target).cut:
                self.link(delivery.origin, delivery.target).counts["delivered"] += 1
                deliveries.append(delivery)
        return deliveries

    def set_rule(
        self, now: int, origin: str | None, target: str | None, changes: LinkRuleChanges
    ) -> list[Delivery]:
        """Change fields of the rule of a directed link; of all links where both names are None."""
        deliveries = self.advance(now)
        self.rules[origin, target] = replace(self.rule(origin, target), **changes)
        return deliveries

    def clear_rules(self, now: int) -> list[Delivery]:
        """Let everything pass."""
        deliveries = self.advance(now)
        self.rules.clear()
        return deliveries

    def send(self, now: int, origin: str, target: str, data: bytes) -> list[Delivery]:
        """Take a datagram from one member to another."""
        deliveries = self.advance(now)
        rule = self.rule(origin, target)
        link = self.link(origin, target)
        link.counts["taken"] += 1
        if rule.is_cut(self.now):
            link.counts["cut"] += 1
        elif link.loses(rule, self.now):
            link.counts["lost"] += 1
        else:
            for _ in range(link.copies(rule)):
                deliveries += self._forward(rule, link, Delivery(origin, target, data))
        return deliveries

    def _forward(self, rule: LinkRule, link: DirectedLink, datagram: Delivery) -> list[Delivery]:
        """Return the datagram if it arrives at once; else put it under way."""
        when = link.arrival_time(rule, self.now)
        delivery = datagram._replace(data=link.corrupted(rule, datagram.data))
        if when <= self.now:
            link.counts["delivered"] += 1
            return [delivery]
        if len(self.in_flight) >= self.max_in_flight:
            link.counts["lost"] += 1
            return []
        self.sequence += 1
        heappush(self.in_flight, (when, self.sequence, delivery))
        return []

    def total_counts(self) -> dict[str, int]:
        """Return the counts of all links together."""
        total: Counter[str] = Counter()
        for link in self.links.values():
            total.update(link.counts)
        return dict(total)
