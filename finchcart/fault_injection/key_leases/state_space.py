"""Exhaustive search of key leases, with a bounded number of steps and faults.

This module owns the choices of each step. Two clients request the same key at once. The search then tries
every order of deliveries, runs and ticks, with lost and duplicated messages, restarts, long pauses and
repeated requests as faults. The search algorithm itself is in virtual_time/state_space.py.
"""

import pickle
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import xxhash

from finchcart.fault_injection.key_leases.simulation import (
    TICK_US,
    KeyLeaseFactories,
    KeyLeaseSimulation,
    is_replica,
)
from finchcart.fault_injection.virtual_time.state_space import (
    NO_BOUND,
    Budget,
    SearchResult,
    StateSpaceSearch,
)
from finchcart.key_leases import messages
from finchcart.key_leases.config import SECOND
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyToLease

KEY = messages.key_digest("m", "t")
PAYLOAD_DIGEST = 7
LEASE_US = 12 * SECOND
# Fields that don't influence the behaviour of a machine.
IGNORED_FIELDS = ("counts", "effects", "config", "random", "replicas")


class Choice(NamedTuple):
    """A possible next step: a call of `action(simulation, *arguments)`."""

    name: str
    is_fault: bool
    action: Callable[..., None]
    arguments: tuple = ()


def request_key(simulation: KeyLeaseSimulation, client: str) -> None:
    """Let a client request the key."""
    simulation.feed(client, AcquireKeyLeases([KeyToLease(KEY, PAYLOAD_DIGEST, LEASE_US)]))


def choices(simulation: KeyLeaseSimulation, with_faults: bool) -> Iterator[Choice]:
    """Yield all possible next steps."""
    for index, (origin, target, _) in enumerate(simulation.in_flight):
        link = f"{origin} to {target}"
        yield Choice(link, False, KeyLeaseSimulation.deliver, (index,))
        if with_faults:
            yield Choice(f"{link} lost", True, KeyLeaseSimulation.drop, (index,))
            yield Choice(f"{link} duplicated", True, KeyLeaseSimulation.deliver, (index, True))
    for client, key in simulation.granted:
        yield Choice(f"{client} commands", False, KeyLeaseSimulation.command, (client, key))
    for client, key in simulation.running:
        yield Choice(f"{client} ends", False, KeyLeaseSimulation.end, (client, key))
    yield Choice("a tick", False, KeyLeaseSimulation.pass_time, (TICK_US,))
    if with_faults:
        yield from process_faults(simulation)


def process_faults(simulation: KeyLeaseSimulation) -> Iterator[Choice]:
    """Yield long pauses, restarts and repeated requests."""
    yield Choice("a long pause", True, KeyLeaseSimulation.pass_time, (simulation.config.command_timeout,))
    for name in simulation.machines:
        yield Choice(f"{name} restarts", True, KeyLeaseSimulation.start, (name,))
    busy = {client for client, _ in (*simulation.granted, *simulation.running)}
    for name in simulation.machines:
        if not is_replica(name) and name not in busy:
            yield Choice(f"{name} requests the key again", True, request_key, (name,))


def digest(simulation: KeyLeaseSimulation) -> bytes:
    """Return a digest that identifies the state."""
    parts = [
        simulation.now,
        sorted(simulation.in_flight),
        sorted(simulation.granted.items()),
        sorted(simulation.running),
        [[run.started_at, run.client, run.outcome] for run in simulation.runs.get(KEY, ())],
    ]
    parts += [
        {field: value for field, value in vars(machine).items() if field not in IGNORED_FIELDS}
        for machine in simulation.machines.values()
    ]
    return xxhash.xxh3_128_digest(pickle.dumps(parts))


class KeyLeaseSearch(StateSpaceSearch[KeyLeaseSimulation, Choice]):
    """The search of key leases; its budget is (steps, faults), both as numbers that are left."""

    def choices(self, state: KeyLeaseSimulation, budget: Budget) -> Sequence[Choice]:
        """Return all possible next steps, with faults if the budget has any left."""
        _, faults = budget
        return list(choices(state, faults > 0))

    def perform(self, state: KeyLeaseSimulation, choice: Choice) -> None:
        """Run the choice on the state."""
        choice.action(state, *choice.arguments)

    def label(self, state: KeyLeaseSimulation, choice: Choice) -> str:
        """Return the choice's name."""
        return choice.name

    def budget_after(self, budget: Budget, choice: Choice) -> Budget:
        """Return the steps and faults that are left after a choice."""
        steps, faults = budget
        return steps - 1, faults - choice.is_fault

    def key(self, state: KeyLeaseSimulation) -> bytes:
        """Return the digest of a state."""
        return digest(state)

    def is_final(self, budget: Budget) -> bool:
        """Whether no step is left."""
        return budget[0] == 0


def explore(
    depth: int,
    faults: int,
    factories: KeyLeaseFactories | None = None,
    most: int = NO_BOUND,
    share: tuple[int, int] = (0, 1),
) -> SearchResult:
    """Return the number of states, and the first breach with the choices that led to it, or None.

    The search injects up to `faults` faults within `depth` steps and enters about `most` states. `share`
    (k, n) searches only the k-th of n parts of the first choices.
    """
    simulation = KeyLeaseSimulation(factories=factories)
    for client in ("h0", "h1"):
        request_key(simulation, client)
    return KeyLeaseSearch(share).explore(simulation, (depth, faults), most)
