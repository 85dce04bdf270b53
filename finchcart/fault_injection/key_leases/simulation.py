"""Simulates key leases on a virtual clock: replicas, clients, the messages in flight and the runs of keys.

This module owns the record of the runs: which client commanded a run of a key, and at which time. Two drivers
use the simulation: seeded runs with clocks that drift, and a bounded exhaustive search of the orders of
events and faults. The simulation must never rely on what a state machine reports about a run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet.effects import SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Tick
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig
from finchcart.key_leases.inputs import KeyLeaseRunCancelled, KeyLeaseRunEnded
from finchcart.key_leases.messages import LeaseStatus
from finchcart.key_leases.replica import KeyLeaseReplica

TICK_US = 50 * MS
BOOT_CLOCK_US = 10**12  # initial reading of boot clocks, so that replicas are past their quiet period
RESULT = b"ok"
REPLICA_SUBNET = 0  # third octet of the replicas' addresses
CLIENT_SUBNET = 1  # third octet of the clients' addresses

Key = bytes
ClientKey = tuple[str, Key]  # (name of the client, key)


class Datagram(NamedTuple):
    """A message in flight."""

    origin: str
    target: str
    data: bytes


@dataclass(frozen=True)
class KeyLeaseFactories:
    """Factories of the state machines; tests replace them to plant defects."""

    replica: Callable[..., KeyLeaseReplica] = KeyLeaseReplica
    client: Callable[..., KeyLeaseClient] = KeyLeaseClient


@dataclass
class KeyLeaseRun:
    """A run of a key."""

    started_at: int  # in simulation time
    client: str
    session: int  # of the client's process
    outcome: LeaseStatus | None = None  # how it ended


class KeyLeaseSimulation:
    """Replicas k0, k1, ... and clients h0, h1, ...

    `clock_rates` are the rates of the processes' clocks, relative to simulation time.
    """

    def __init__(
        self,
        replicas: int = 3,
        clients: int = 2,
        config: KeyLeaseConfig | None = None,
        factories: KeyLeaseFactories | None = None,
        clock_rates: dict[str, float] | None = None,
    ) -> None:
        addresses = tuple(f"10.0.{REPLICA_SUBNET}.{number + 1}:1" for number in range(replicas))
        self.config = KeyLeaseConfig(**{**(config or KeyLeaseConfig()).__dict__, "replicas": addresses})
        self.factories = factories or KeyLeaseFactories()
        self.now = 0
        self.lives = 0
        self.clock_rates = clock_rates or {}
        self.machines: dict[str, Any] = {}
        self.stopped: set[str] = set()
        self.in_flight: list[Datagram] = []
        self.runs: dict[Key, list[KeyLeaseRun]] = {}
        self.granted: dict[ClientKey, int] = {}  # not commanded yet -> latest start on the client's clock
        self.running: dict[ClientKey, KeyLeaseRun] = {}
        self.answers: dict[ClientKey, list[int]] = {}
        for number in range(replicas):
            self.start(f"k{number}", self.config.startup_quiet_period + SECOND)
        for number in range(clients):
            self.start(f"h{number}")

    def clock(self, name: str) -> int:
        """Return the time on the process's own clock."""
        return BOOT_CLOCK_US + int(self.now * self.clock_rates.get(name, 1))

    def start(self, name: str, uptime: int = 0) -> None:
        """Start or restart a process, as if it had started `uptime` microseconds ago.

        Of an earlier process with the name, only messages in flight and runs in the worker pool remain.
        """
        self.lives += 1
        self.stopped.discard(name)
        if is_replica(name):
            self.machines[name] = self.factories.replica("f", self.config, self.clock(name) - uptime)
            return
        self.machines[name] = self.factories.client(
            name, "f", self.config, Random(self.lives), self.clock(name)
        )
        for client_key in [client_key for client_key in self.granted if client_key[0] == name]:
            del self.granted[client_key]
        self.running = {client_key: run for client_key, run in self.running.items() if client_key[0] != name}

    def address(self, name: str) -> tuple[str, int]:
        """Return the address of a process."""
        subnet = REPLICA_SUBNET if is_replica(name) else CLIENT_SUBNET
        return f"10.0.{subnet}.{int(name[1:]) + 1}", 1

    def name_at(self, address: tuple[str, int]) -> str:
        """Return the name of the process at that address."""
        _, _, subnet, number = address[0].split(".")
        return f"{'kh'[int(subnet)]}{int(number) - 1}"

    def feed(self, name: str, machine_input: tuple) -> None:
        """Feed an input to a process's state machine, or drop the input if the process is stopped."""
        if name in self.stopped:
            return
        for effect in self.machines[name].reduce(self.clock(name), machine_input):
            if isinstance(effect, SendDatagram):
                self.in_flight.append(Datagram(name, self.name_at(effect.address), effect.data))
            else:
                self.on_answer(name, *effect)

    def on_answer(self, name: str, key: Key, answer: int, result: bytes, run_before: int) -> None:
        """Record the answer a client received for a key. A granted run must start before `run_before`."""
        self.answers.setdefault((name, key), []).append(answer)
        if answer == LeaseStatus.GRANTED:
            self.granted[name, key] = run_before
        elif answer == LeaseStatus.COMPLETED and not any(
            run.outcome == LeaseStatus.COMPLETED for run in self.runs.get(key, ())
        ):
            raise InvariantError(
                f"{self.now / SECOND:.3f} s: {name} received a result, but no run of the key completed"
            )

    def command(self, name: str, key: Key) -> None:
        """Check the client's clock, and run the key unless its latest start has passed."""
        run_before = self.granted.pop((name, key))
        if self.clock(name) >= run_before:
            self.feed(name, KeyLeaseRunCancelled(key))
            return
        run = KeyLeaseRun(self.now, name, self.machines[name].session)
        runs = self.runs.setdefault(key, [])
        for other in runs:
            if self.now - other.started_at < self.config.run_spacing_bound():
                elapsed_s = (self.now - other.started_at) / SECOND
                raise InvariantError(
                    f"{self.now / SECOND:.3f} s: {key.hex()[:4]} runs at {name}, and its run at "
                    f"{other.client} started only {elapsed_s:.3f} s earlier"
                )
        runs.append(run)
        self.running[name, key] = run

    def end(self, name: str, key: Key, outcome: LeaseStatus = LeaseStatus.COMPLETED) -> None:
        """End a run with an outcome, and report it to the client."""
        self.running.pop((name, key)).outcome = outcome
        result = RESULT if outcome == LeaseStatus.COMPLETED else b""
        self.feed(name, KeyLeaseRunEnded(key, outcome, result))

    def deliver(self, index: int, keep_copy: bool = False) -> None:
        """Deliver one of the messages in flight; with `keep_copy`, a copy of it stays in flight."""
        datagram = self.in_flight[index] if keep_copy else self.in_flight.pop(index)
        self.feed(datagram.target, DatagramReceived(self.address(datagram.origin), datagram.data))

    def drop(self, index: int) -> None:
        """Drop one of the messages in flight."""
        del self.in_flight[index]

    def pass_time(self, span: int) -> None:
        """Advance time by `span` microseconds and let all processes tick."""
        self.now += span
        for name in self.machines:
            self.feed(name, Tick())


def is_replica(name: str) -> bool:
    """Whether this is the name of a replica and not of a client."""
    return name[0] == "k"
