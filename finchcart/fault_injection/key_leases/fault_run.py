"""Seeded runs of key leases under faults: clients request keys, some keys at several clients at once.

This module owns the choice of faults: links that lose, duplicate, delay or cut off messages, stopped
processes, and restarts of clients and replicas. Retries request a key at a random client. A run depends only
on its seed, so a seed that fails can be replayed identically.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from heapq import heappop, heappush
from random import Random

import xxhash

from finchcart.fault_injection.key_leases.simulation import (
    TICK_US,
    Datagram,
    Key,
    KeyLeaseFactories,
    KeyLeaseSimulation,
    is_replica,
)
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet.inputs import DatagramReceived, Tick
from finchcart.key_leases import messages
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyLeaseRunCancelled, KeyToLease
from finchcart.key_leases.messages import LeaseStatus

LEASE_US = 6 * SECOND
PAYLOAD_DIGEST = 7
STOPPED_POLL_US = 50 * MS  # interval at which a stopped client is checked again
LOSS = 0.3
REJECTED_FRACTION = 0.1  # fraction of the granted keys that the node rejects
MAX_DELAY_US = 3 * SECOND


class KeyLeaseFault(StrEnum):
    """Kinds of faults."""

    STOP = "stop"
    RESTART_CLIENT = "kill"
    RESTART_REPLICA = "keeper"
    RESTART_ALL_REPLICAS = "all keepers"
    ROLLING_RESTART = "one by one"
    CUT = "cut"
    ONE_WAY_CUT = "one way"
    LOSS = "loss"


# A kind that is listed twice is chosen twice as often.
KINDS = (
    KeyLeaseFault.STOP,
    KeyLeaseFault.STOP,
    KeyLeaseFault.RESTART_CLIENT,
    KeyLeaseFault.RESTART_REPLICA,
    KeyLeaseFault.RESTART_ALL_REPLICAS,
    KeyLeaseFault.ROLLING_RESTART,
    KeyLeaseFault.CUT,
    KeyLeaseFault.ONE_WAY_CUT,
    KeyLeaseFault.LOSS,
)


class KeyLeaseFaultRun(KeyLeaseSimulation):
    """A run of one seed, with random requests and faults."""

    def __init__(
        self,
        seed: int,
        clients: int = 4,
        replicas: int = 3,
        factories: KeyLeaseFactories | None = None,
        config: KeyLeaseConfig | None = None,
    ) -> None:
        self.chance = Random(f"claims {seed}")
        self.seed = seed
        config = config or KeyLeaseConfig(lease_duration=LEASE_US)
        names = [f"k{number}" for number in range(replicas)] + [f"h{number}" for number in range(clients)]
        clock_rates = {name: 1 + self.chance.choice((-1, 0, 1)) * config.drift for name in names}
        super().__init__(replicas, clients, config, factories, clock_rates)
        self.steps = 0
        self.key_count = 0
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.buffered: dict[str, list[Datagram]] = {}  # stopped process -> datagrams that wait for it
        self.trace = xxhash.xxh3_64()
        self._queue: list[tuple[int, int, Callable[..., None], tuple]] = []
        self._sequence = 0

    def play(self, seconds: int = 30) -> str:
        """Run the seed; return the digest of all datagrams, or raise `InvariantError` if a key ran twice."""
        for name in self.machines:
            self._schedule(self.chance.randrange(TICK_US), self._tick, name)
        self._schedule(0, self._request_new_key)
        self._schedule(SECOND, self._inject_fault)
        end = self.now + seconds * SECOND
        while True:
            self._send_datagrams()
            when, _, action, arguments = heappop(self._queue)
            if when > end:
                return self.trace.hexdigest()
            self.now = max(self.now, when)
            self.steps += 1
            action(*arguments)

    def _schedule(self, span: int, action: Callable[..., None], *arguments: object) -> None:
        self._sequence += 1
        heappush(self._queue, (self.now + span, self._sequence, action, arguments))

    # ---- messages

    def _send_datagrams(self) -> None:
        """Schedule the delivery of the datagrams that the machines sent, with loss, duplicates and delays."""
        for datagram in self.in_flight:
            origin, target, data = datagram
            self.trace.update(f"{self.now} {origin} {target}".encode() + data)
            if (origin, target) in self.cuts or self.chance.random() < self.loss:
                continue
            for _ in range(2 if self.chance.random() < self.loss else 1):
                max_delay = self.chance.randrange(MAX_DELAY_US) if self.loss else 400
                delay = self.chance.choice((200, 300, 5 * MS, max_delay))
                self._schedule(delay, self._receive, datagram)
        self.in_flight.clear()

    def _receive(self, datagram: Datagram) -> None:
        if datagram.target in self.stopped:
            self.buffered.setdefault(datagram.target, []).append(datagram)
        else:
            self.feed(datagram.target, DatagramReceived(self.address(datagram.origin), datagram.data))

    # ---- clients and keys

    def _tick(self, name: str) -> None:
        self.feed(name, Tick())
        self._schedule(TICK_US, self._tick, name)

    def _request_new_key(self) -> None:
        """Request a new key at one or more clients at once, and later again at random clients."""
        self.key_count += 1
        key = messages.key_digest("m", str(self.key_count))
        clients = [name for name in self.machines if not is_replica(name)]
        for name in self.chance.sample(clients, self.chance.choice((1, 1, 2, 3))):
            self._request_key(name, key)
        for _ in range(self.chance.choice((0, 1, 2))):
            delay = self.chance.randrange(4 * SECOND)
            self._schedule(delay, self._request_key, self.chance.choice(clients), key)
        self._schedule(self.chance.randrange(10 * MS, 400 * MS), self._request_new_key)

    def _request_key(self, name: str, key: Key) -> None:
        self.feed(name, AcquireKeyLeases([KeyToLease(key, PAYLOAD_DIGEST, self.config.lease_duration)]))

    def on_answer(self, name: str, key: Key, answer: int, result: bytes, run_before: int) -> None:
        """Record the answer that a client received for a key; if the key is granted, start its run later."""
        super().on_answer(name, key, answer, result, run_before)
        if answer == LeaseStatus.GRANTED:
            session = self.machines[name].session
            delay = self.chance.choice((0, 100, 50 * MS))
            self._schedule(delay, self._command_granted, name, key, session)

    def _command_granted(self, name: str, key: Key, session: int) -> None:
        if name in self.stopped:  # the client has not checked its clock yet
            self._schedule(STOPPED_POLL_US, self._command_granted, name, key, session)
            return
        if (name, key) not in self.granted or self.machines[name].session != session:
            return
        if self.chance.random() < REJECTED_FRACTION:
            del self.granted[name, key]
            self.feed(name, KeyLeaseRunCancelled(key))
            return
        self.command(name, key)
        if (name, key) in self.running:
            duration = self.chance.choice((10 * MS, 200 * MS, 2 * SECOND))
            self._schedule(duration, self._end_run, name, key, session)

    def _end_run(self, name: str, key: Key, session: int) -> None:
        if name in self.stopped:
            self._schedule(STOPPED_POLL_US, self._end_run, name, key, session)
        elif (name, key) in self.running and self.machines[name].session == session:
            self.end(
                name,
                key,
                self.chance.choice((LeaseStatus.COMPLETED, LeaseStatus.COMPLETED, LeaseStatus.FAILED)),
            )

    # ---- faults

    def _inject_fault(self) -> None:
        kind = self.chance.choice(KINDS)
        names = list(self.machines)
        span = self.chance.randrange(200 * MS, 8 * SECOND)
        if kind == KeyLeaseFault.STOP:
            name = self.chance.choice(names)
            self.stopped.add(name)
            self._schedule(span, self._resume, name)
        elif kind in (KeyLeaseFault.CUT, KeyLeaseFault.ONE_WAY_CUT):
            self._cut(kind, names, span)
        elif kind == KeyLeaseFault.LOSS:
            self.loss = LOSS
            self._schedule(span, self._end_loss)
        else:
            self._inject_restarts(kind, names)
        self._schedule(self.chance.randrange(500 * MS, 4 * SECOND), self._inject_fault)

    def _inject_restarts(self, kind: KeyLeaseFault, names: list[str]) -> None:
        replicas = [name for name in names if is_replica(name)]
        if kind == KeyLeaseFault.RESTART_CLIENT:
            self.start(self.chance.choice([name for name in names if not is_replica(name)]))
        elif kind == KeyLeaseFault.RESTART_REPLICA:
            self.start(self.chance.choice(replicas))
        else:
            interval = SECOND if kind == KeyLeaseFault.ROLLING_RESTART else 0
            for number, name in enumerate(replicas):
                self._schedule(number * interval, self._restart, name)

    def _cut(self, kind: KeyLeaseFault, names: list[str], span: int) -> None:
        group = set(self.chance.sample(names, self.chance.randrange(1, len(names))))
        links = {(origin, target) for origin in group for target in names if target not in group}
        if kind == KeyLeaseFault.CUT:
            links |= {(target, origin) for origin, target in links}
        self.cuts |= links
        self._schedule(span, self._restore_links, links)

    def _resume(self, name: str) -> None:
        if name in self.stopped:
            self.stopped.discard(name)
            for datagram in self.buffered.pop(name, ()):
                self.feed(name, DatagramReceived(self.address(datagram.origin), datagram.data))

    def _restart(self, name: str) -> None:
        self.start(name)
        self.buffered.pop(name, None)

    def _restore_links(self, links: set[tuple[str, str]]) -> None:
        self.cuts -= links

    def _end_loss(self) -> None:
        self.loss = 0.0


@dataclass(frozen=True)
class KeyLeaseSeedResult:
    """The result of a run of one seed."""

    breach: str | None  # the invariant that was violated
    steps: int
    keys: int
    answers: dict[int, int]  # `LeaseStatus` of an answer -> number of such answers
    runs: int


def play_seed(seed: int, seconds: int = 30, factories: KeyLeaseFactories | None = None) -> KeyLeaseSeedResult:
    """Play the fault run that `seed` determines, and return its result."""
    run = KeyLeaseFaultRun(seed, factories=factories)
    breach = None
    try:
        run.play(seconds)
    except InvariantError as error:
        breach = f"seed {seed}: {error}"
    answers = Counter(answer for answers in run.answers.values() for answer in answers)
    run_count = sum(len(runs) for runs in run.runs.values())
    return KeyLeaseSeedResult(breach, run.steps, run.key_count, dict(answers), run_count)
