"""A bounded exhaustive search of key leases: all orders, losses, copies, restarts and pauses.

Owns the search. Two clients claim one key at once; everything that may come next is tried, with a bounded
number of faults, to a bounded depth. A state met before with as many steps and faults left is not entered
again; no branch is cut for any other reason.
"""

import pickle
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from finchcart.fault_injection.key_leases.simulation import TICK_US, KeyLeaseSimulation, is_replica
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.key_leases import messages
from finchcart.key_leases.config import SECOND
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyToLease

KEY = messages.key_digest("m", "t")
BODY_HASH = 7
LIFE_US = 12 * SECOND
NOT_STATE = (
    "counts",
    "effects",
    "config",
    "random",
    "replicas",
)  # fields that don't change what a machine does


class Choice(NamedTuple):
    """One thing that may come next: see `perform` for its action."""

    name: str
    is_fault: bool
    action: tuple


def choices(simulation: KeyLeaseSimulation, with_faults: bool) -> Iterator[Choice]:
    """Yield all that may come next."""
    for index, (origin, target, _) in enumerate(simulation.in_flight):
        yield Choice(f"{origin} to {target}", False, ("deliver", index))
        if with_faults:
            yield Choice(f"{origin} to {target} lost", True, ("lose", index))
            yield Choice(f"{origin} to {target} and once more", True, ("twice", index))
    for client, key in simulation.granted:
        yield Choice(f"{client} commands", False, ("command", client, key))
    for client, key in simulation.running:
        yield Choice(f"{client} ends", False, ("end", client, key))
    yield Choice("time", False, ("time", TICK_US))
    if with_faults:
        yield from process_faults(simulation)


def process_faults(simulation: KeyLeaseSimulation) -> Iterator[Choice]:
    """Yield the faults that are not of a message."""
    yield Choice("time, long", True, ("time", simulation.config.command_timeout))
    for name in simulation.machines:
        yield Choice(f"{name} anew", True, ("start", name))
    busy = {client for client, _ in (*simulation.granted, *simulation.running)}
    for name in simulation.machines:
        if not is_replica(name) and name not in busy:
            yield Choice(f"{name} claims again", True, ("claim", name))


def perform(simulation: KeyLeaseSimulation, action: tuple) -> None:
    """Carry out an action: its word and its arguments."""
    word, *arguments = action
    if word == "lose":
        simulation.in_flight.pop(*arguments)
    elif word == "twice":
        simulation.deliver(*arguments, keep=True)
    elif word == "claim":
        simulation.feed(*arguments, AcquireKeyLeases([KeyToLease(KEY, BODY_HASH, LIFE_US)]))
    else:
        actions = {
            "deliver": simulation.deliver,
            "command": simulation.command,
            "end": simulation.end,
            "time": simulation.pass_time,
            "start": simulation.start,
        }
        actions[word](*arguments)


def digest(simulation: KeyLeaseSimulation) -> bytes:
    """Return a digest of the state, by which it is known again."""
    parts = [
        simulation.now,
        sorted(simulation.in_flight),
        sorted(simulation.granted.items()),
        sorted(simulation.running),
        [[run.began, run.client, run.outcome] for run in simulation.runs.get(KEY, ())],
    ]
    parts += [
        {field: value for field, value in vars(machine).items() if field not in NOT_STATE}
        for machine in simulation.machines.values()
    ]
    return xxhash.xxh3_128_digest(pickle.dumps(parts))


class Branch(NamedTuple):
    """A state that is to be entered, and what led to it."""

    state: bytes  # pickled
    steps_left: int
    faults_left: int
    path: tuple[str, ...]


class Search:
    """The states met so far, with the steps and faults that were left."""

    def __init__(self, share: tuple[int, int]) -> None:
        self.share = share
        self.count = 0
        self.stack: list[Branch] = []
        self.met: dict[bytes, list[tuple[int, int]]] = {}

    def enter(self, branch: Branch) -> str | None:
        """Try all that may come next; return the first breach with what led to it."""
        simulation = pickle.loads(branch.state)
        part, parts = self.share
        for number, choice in enumerate(list(choices(simulation, branch.faults_left > 0))):
            if not branch.path and number % parts != part:
                continue
            following = pickle.loads(branch.state)
            try:
                perform(following, choice.action)
            except InvariantError as error:
                return f"{'; '.join([*branch.path, choice.name])}: {error}"
            self._push(following, branch, choice)
        return None

    def _push(self, simulation: KeyLeaseSimulation, branch: Branch, choice: Choice) -> None:
        left = (branch.steps_left - 1, branch.faults_left - choice.is_fault)
        met = self.met.setdefault(digest(simulation), [])
        if any(steps >= left[0] and faults >= left[1] for steps, faults in met):
            return
        met.append(left)
        self.count += 1
        if left[0]:
            self.stack.append(Branch(pickle.dumps(simulation), *left, (*branch.path, choice.name)))


def explore(
    depth: int,
    faults: int,
    make: dict | None = None,
    most: int = 10**9,
    share: tuple[int, int] = (0, 1),
) -> tuple[int, str | None]:
    """Return the number of states, and the first breach with what led to it, or None.

    At most `faults` faults are made within `depth` steps, and about `most` states entered; `share` (k, n)
    plays the k-th of n parts of the first choices.
    """
    simulation = KeyLeaseSimulation(make=make)
    for name in ("h0", "h1"):
        perform(simulation, ("claim", name))
    search = Search(share)
    search.stack.append(Branch(pickle.dumps(simulation), depth, faults, ()))
    while search.stack and search.count < most:
        breach = search.enter(search.stack.pop())
        if breach:
            return search.count, breach
    return search.count, None
