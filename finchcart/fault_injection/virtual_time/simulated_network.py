"""Simulates the network between members: drops, delays, duplicates, reorders and corrupts datagrams.

Each directed link has a rule, a seeded `Random` and counters. The caller passes the current time in whole
microseconds with each call, and each call returns the datagrams that are due at that time. This module must
not do I/O or read a clock, since it serves both fault_injecting_proxy.py, on real time over loopback, and
driver.py, on simulated time.
"""

from collections import Counter
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, TypedDict

COUNTS = ("taken", "lost", "cut", "doubled", "swapped", "spoilt", "delivered")
Endpoints = tuple[str | None, str | None]  # (origin, target) of a directed link; (None, None) for all links


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
    """The faults that apply to the datagrams of a directed link.

    Scripts use the field names as keys. Probabilities are from 0 to 1, times are in whole microseconds.
    """

    lose: float = 0.0  # probability that a datagram is dropped, independently of others
    burst: float = 0.0  # probability that a datagram starts a period in which all datagrams are dropped
    burst_length: int = 0  # length of this period
    delay: int = 0
    jitter: int = 0  # maximum of a uniformly distributed addition to the delay
    double: float = 0.0  # probability that a datagram is duplicated
    swap: float = 0.0  # probability that a datagram is delayed by `swap_by`, so that later ones overtake it
    swap_by: int = 50_000
    spoil: float = 0.0  # probability that one byte of a datagram is changed
    cut: bool = False  # all datagrams are dropped
    flap: int = 0  # the link is alternately open and cut for periods of this length; 0: it does not flap

    def is_cut(self, now: int) -> bool:
        """Whether the link drops all datagrams at this time."""
        return bool(self.cut or (self.flap and now // self.flap % 2))


class Delivery(NamedTuple):
    """A datagram that is delivered to its target."""

    origin: str
    target: str
    data: bytes


class DirectedLink:
    """Random source and counters for the datagrams from one member to another."""

    def __init__(self, seed: str) -> None:
        self.random = Random(seed)
        self.burst_until = 0
        self.counts = dict.fromkeys(COUNTS, 0)

    def draw_event(self, probability: float) -> bool:
        """Return True with this probability; a probability of 0 does not consume a random number."""
        return bool(probability) and self.random.random() < probability

    def draw_loss(self, rule: LinkRule, now: int) -> bool:
        """Return whether a datagram sent now is dropped, in a burst or independently; may start a burst."""
        if rule.burst and now >= self.burst_until and self.random.random() < rule.burst:
            self.burst_until = now + rule.burst_length
        return now < self.burst_until or self.draw_event(rule.lose)

    def draw_copy_count(self, rule: LinkRule) -> int:
        """Draw how many copies of a datagram are forwarded, 1 or 2, and count duplicates."""
        if not self.draw_event(rule.double):
            return 1
        self.counts["doubled"] += 1
        return 2

    def draw_arrival_time(self, rule: LinkRule, now: int) -> int:
        """Draw when a datagram sent now arrives, and count reordered ones."""
        when = now + rule.delay
        if rule.jitter:
            when += int(self.random.random() * rule.jitter)
        if self.draw_event(rule.swap):
            self.counts["swapped"] += 1
            when += rule.swap_by
        return when

    def corrupted(self, rule: LinkRule, data: bytes) -> bytes:
        """Return the datagram, with one byte changed if the rule's random draw says so, and count it."""
        if not self.draw_event(rule.spoil):
            return data
        self.counts["spoilt"] += 1
        position = int(self.random.random() * len(data))
        changed = data[position] ^ 1 + int(self.random.random() * 255)
        return data[:position] + bytes([changed]) + data[position + 1 :]


class SimulatedNetwork:
    """All directed links and the datagrams in flight.

    At most `max_in_flight` datagrams are in flight; further ones are dropped and counted as "lost".
    """

    def __init__(self, seed: int | str, max_in_flight: int = 100_000) -> None:
        self.seed = seed
        self.max_in_flight = max_in_flight
        self.rules: dict[Endpoints, LinkRule] = {}
        self.links: dict[tuple[str, str], DirectedLink] = {}
        # Heap ordered by (arrival time, sequence number).
        self.in_flight: list[tuple[int, int, Delivery]] = []
        self.sequence = 0
        self.now = 0

    def rule(self, origin: str | None, target: str | None) -> LinkRule:
        """Return the rule of a directed link, else the rule of all links, else a rule without faults."""
        return self.rules.get((origin, target)) or self.rules.get((None, None)) or LinkRule()

    def link(self, origin: str, target: str) -> DirectedLink:
        """Return the directed link, and create it on first use."""
        if (origin, target) not in self.links:
            self.links[origin, target] = DirectedLink(f"{self.seed} {origin} {target}")
        return self.links[origin, target]

    def next_arrival(self) -> int | None:
        """Return when the next datagram in flight arrives, or None if there is none."""
        return self.in_flight[0][0] if self.in_flight else None

    def advance(self, now: int) -> list[Delivery]:
        """Advance the time and return the datagrams that have arrived.

        A datagram is dropped if its link has `cut` set at its arrival.
        """
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
        """Change fields of the rule of a directed link, or of the rule of all links if both names are None.

        Returns the datagrams that have arrived by `now` under the previous rule.
        """
        deliveries = self.advance(now)
        self.rules[origin, target] = replace(self.rule(origin, target), **changes)
        return deliveries

    def clear_rules(self, now: int) -> list[Delivery]:
        """Remove all rules and return the datagrams that have arrived by `now` under them."""
        deliveries = self.advance(now)
        self.rules.clear()
        return deliveries

    def send(self, now: int, origin: str, target: str, data: bytes) -> list[Delivery]:
        """Send a datagram under the rule of its link and return all datagrams that have arrived by `now`."""
        deliveries = self.advance(now)
        rule = self.rule(origin, target)
        link = self.link(origin, target)
        link.counts["taken"] += 1
        if rule.is_cut(self.now):
            link.counts["cut"] += 1
        elif link.draw_loss(rule, self.now):
            link.counts["lost"] += 1
        else:
            for _ in range(link.draw_copy_count(rule)):
                deliveries += self._forward(rule, link, Delivery(origin, target, data))
        return deliveries

    def _forward(self, rule: LinkRule, link: DirectedLink, datagram: Delivery) -> list[Delivery]:
        """Return the datagram if it arrives immediately; else add it to those in flight."""
        when = link.draw_arrival_time(rule, self.now)
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
        """Return the counters summed over all links."""
        total: Counter[str] = Counter()
        for link in self.links.values():
            total.update(link.counts)
        return dict(total)
