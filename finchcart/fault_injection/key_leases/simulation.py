"""Key leases on the virtual clock: replicas and clients, messages under way one by one, and the runs made.

Owns the truth: which run of a key was commanded when. Two drivers play it: seeded runs, with clocks that
drift, and a bounded search of all orders, losses, copies, restarts and pauses. It must never take a
machine's word for a run.
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
BOOT_US = 10**12  # on the boot clocks at the start: replicas are past their quiet period
RESULT = b"ok"
REPLICA_NET = 0  # third part of replicas' addresses
CLIENT_NET = 1

Key = bytes
ClientKey = tuple[str, Key]  # (name of the client, key)


class Datagram(NamedTuple):
    """A message under way."""

    origin: str
    target: str
    data: bytes


@dataclass(frozen=True)
class KeyLeaseFactories:
    """What makes the state machines, so that planted defects can be played."""

    replica: Callable[..., KeyLeaseReplica] = KeyLeaseReplica
    client: Callable[..., KeyLeaseClient] = KeyLeaseClient


@dataclass
class KeyLeaseRun:
    """A run of a key."""

    began: int  # in true time
    client: str
    session: int  # of the client's process
    outcome: LeaseStatus | None = None  # how it ended


class KeyLeaseSimulation:
    """Replicas k0, k1, ... and clients h0, h1, ...

    `clock_rates` are of the processes' clocks to true time.
    """

    def __init__(
        self,
        replicas: int = 3,
        clients: int = 2,
        config: KeyLeaseConfig | None = None,
        factories: KeyLeaseFactories | None = None,
        clock_rates: dict[str, float] | None = None,
    ) -> None:
        addresses = tuple(f"10.0.{REPLICA_NET}.{number + 1}:1" for number in range(replicas))
        self.config = KeyLeaseConfig(**{**(config or KeyLeaseConfig()).__dict__, "replicas": addresses})
        self.factories = factories or KeyLeaseFactories()
        self.now = 0
        self.lives = 0
        self.clock_rates = clock_rates or {}
        self.machines: dict[str, Any] = {}
        self.stopped: set[str] = set()
        self.in_flight: list[Datagram] = []
        self.runs: dict[Key, list[KeyLeaseRun]] = {}
        self.granted: dict[ClientKey, int] = {}  # not commanded yet -> by when it has to be
        self.running: dict[ClientKey, KeyLeaseRun] = {}
        self.answers: dict[ClientKey, list[int]] = {}
        for number in range(replicas):
            self.start(f"k{number}", self.config.startup_quiet_period + SECOND)
        for number in range(clients):
            self.start(f"h{number}")

    def clock(self, name: str) -> int:
        """Return what the process's own clock reads."""
        return BOOT_US + int(self.now * self.clock_rates.get(name, 1))

    def start(self, name: str, before: int = 0) -> None:
        """Start a process, so long before now.

        Nothing is left of an earlier one but what is under way, and its runs in the worker pool.
        """
        self.lives += 1
        self.stopped.discard(name)
        if is_replica(name):
            self.machines[name] = self.factories.replica("f", self.config, self.clock(name) - before)
            return
        self.machines[name] = self.factories.client(
            name, "f", self.config, Random(self.lives), self.clock(name)
        )
        for client_key in [client_key for client_key in self.granted if client_key[0] == name]:
            del self.granted[client_key]
        self.running = {client_key: run for client_key, run in self.running.items() if client_key[0] != name}

    def address(self, name: str) -> tuple[str, int]:
        """Return the address of a process."""
        net = REPLICA_NET if is_replica(name) else CLIENT_NET
        return f"10.0.{net}.{int(name[1:]) + 1}", 1

    def name_at(self, address: tuple[str, int]) -> str:
        """Return the name of the process at that address."""
        _, _, net, number = address[0].split(".")
        return f"{'kh'[int(net)]}{int(number) - 1}"

    def feed(self, name: str, machine_input: tuple) -> None:
        """Hand an input to a process's state machine; a stopped one loses it."""
        if name in self.stopped:
            return
        for effect in self.machines[name].reduce(self.clock(name), machine_input):
            if isinstance(effect, SendDatagram):
                self.in_flight.append(Datagram(name, self.name_at(effect.address), effect.data))
            else:
                self.on_answer(name, *effect)

    def on_answer(self, name: str, key: Key, answer: int, result: bytes, by: int) -> None:
        """Note what a client answers for a key; a grant has to be commanded by `by` on its clock."""
        self.answers.setdefault((name, key), []).append(answer)
        if answer == LeaseStatus.GRANTED:
            self.granted[name, key] = by
        elif answer == LeaseStatus.COMPLETED and not any(
            run.outcome == LeaseStatus.COMPLETED for run in self.runs.get(key, ())
        ):
            raise InvariantError(f"{self.now / SECOND:.3f} s: {name} is told a result that no run made")

    def command(self, name: str, key: Key) -> None:
        """Take the client's last look at the clock, and run the key if there is time."""
        by = self.granted.pop((name, key))
        if self.clock(name) >= by:
            self.feed(name, KeyLeaseRunCancelled(key))
            return
        run = KeyLeaseRun(self.now, name, self.machines[name].session)
        runs = self.runs.setdefault(key, [])
        for other in runs:
            if self.now - other.began < self.config.run_spacing_bound():
                ago = (self.now - other.began) / SECOND
                raise InvariantError(
                    f"{self.now / SECOND:.3f} s: {key.hex()[:4]} runs at {name}, and did at "
                    f"{other.client} {ago:.3f} s ago"
                )
        runs.append(run)
        self.running[name, key] = run

    def end(self, name: str, key: Key, outcome: LeaseStatus = LeaseStatus.COMPLETED) -> None:
        """End a run."""
        self.running.pop((name, key)).outcome = outcome
        result = RESULT if outcome == LeaseStatus.COMPLETED else b""
        self.feed(name, KeyLeaseRunEnded(key, outcome, result))

    def deliver(self, index: int, keep: bool = False) -> None:
        """Hand over one of the messages under way, and keep it there as well if asked to."""
        datagram = self.in_flight[index] if keep else self.in_flight.pop(index)
        self.feed(datagram.target, DatagramReceived(self.address(datagram.origin), datagram.data))

    def lose(self, index: int) -> None:
        """Lose one of the messages under way."""
        del self.in_flight[index]

    def pass_time(self, span: int) -> None:
        """Let so many microseconds pass and all processes tick."""
        self.now += span
        for name in self.machines:
            self.feed(name, Tick())


def is_replica(name: str) -> bool:
    """Whether this is the name of a replica; else it is a client's."""
    return name[0] == "k"
