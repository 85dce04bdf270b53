"""Exhaustive search of elections and lease grants, with a bounded number of faults and steps.

This module owns the faults and the effect of a step. Time advances in steps. In each step, all processes tick
and messages are delivered until none is in flight. Before each step, one fault may happen: a process
restarts, stops or resumes; the messages from one process to another are delayed by some steps, duplicated or
lost; or a holder's demand changes. Clocks drift apart by the configured drift, in the combinations of
`DRIFTS`. The search tries every placement of the faults in the steps. The search algorithm itself is in
virtual_time/state_space.py.
"""

import pickle
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

from finchcart.fault_injection.quota.process import QuotaFactories
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.state_space import Budget, SearchResult, StateSpaceSearch
from finchcart.fleet import codec
from finchcart.fleet.effects import SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Tick
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.inputs import UsageReported
from finchcart.quota.limits import Limit, QuotaConfig

STEP_US = 500_000
# A holder's lease lasts longer than the leader's lease.
QUOTA = QuotaConfig(
    limits=(Limit("store", 4),),
    planners=("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"),
    max_processes=2,
    drift=0.02,
    lease_duration=5 * STEP_US,
    request_interval=STEP_US,
    leader_lease_duration=2 * STEP_US,
    max_step=1.0,
    reserve=0.0,
)
PLANNERS = ("p0", "p1", "p2")
HOLDERS = ("n0", "n1")
NAMES = PLANNERS + HOLDERS
INITIAL_DEMAND = {"n0": 4, "n1": 2}
DEMANDS = (0, 4)
LOST_STEPS = 99
DELAYS = (1, 3, LOST_STEPS)  # steps; LOST_STEPS drops the message
DUPLICATE_DELAY = 2  # steps until the second copy of a message arrives
ELECTION_STEPS = 9  # a planner leads after this many steps
MAX_INPUTS_PER_STEP = 400
# Fields that don't influence the behaviour of a machine.
IGNORED_FIELDS = ("counts", "effects", "quota", "random", "others", "planners")
# Clock drift by process name, or by the first letter of the names: 1 is the fastest clock that the drift
# allows, -1 the slowest.
DRIFTS: tuple[dict[str, int], ...] = (
    {},
    {"p": 1, "n": -1},
    {"p": -1, "n": 1},
    {"p0": 1, "p1": -1, "p2": -1},
)


class DeterministicRandom:
    """Replaces `Random`: draws the smallest value of a range, and consecutive numbers as session numbers."""

    def __init__(self, first: int) -> None:
        self.first = first

    def randrange(self, low: int, high: int | None = None) -> int:
        """Return the smallest value of the range."""
        return 0 if high is None else low

    def getrandbits(self, bits: int) -> int:
        """Return the next consecutive number."""
        self.first += 1
        return self.first


class Delay(NamedTuple):
    """Messages from one process to another arrive `steps` later and, if `duplicate` is set, also now."""

    origin: str
    target: str
    steps: int
    duplicate: bool = False


class Fault(NamedTuple):
    """A fault before a step: a call of `action(state, *arguments)`, or a delay of messages in the step."""

    name: str
    action: Callable[..., None] | None = None
    arguments: tuple = ()
    delay: Delay | None = None


NO_FAULT = Fault("")


class DelayedMessage(NamedTuple):
    """A message that arrives in a later step."""

    step: int
    origin: str
    target: str
    data: bytes


class QuotaState:
    """A state of the search: the machines of all processes, delayed messages and allowances."""

    def __init__(self, factories: QuotaFactories, drift: dict[str, int]) -> None:
        self.now = 10 * STEP_US
        self.step = 0
        self.lives = 0
        self.factories = factories
        self.delayed: list[DelayedMessage] = []
        self.clock_rates = {name: 1 + QUOTA.drift * drift.get(name, drift.get(name[0], 0)) for name in NAMES}
        self.machines: dict[str, Any] = {}
        self.stopped: dict[str, list[tuple]] = {}  # name -> datagrams that it has not received yet
        self.allowances: dict[str, tuple[int, int]] = {}  # holder -> (amount, until)
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start or restart a process, with no state of an earlier one."""
        self.lives += 1
        random = DeterministicRandom(self.lives * 100)
        if name in PLANNERS:
            address = QUOTA.planners[PLANNERS.index(name)]
            self.machines[name] = self.factories.planner(address, "f", QUOTA, random, self.clock(name))
        else:
            self.machines[name] = self.factories.lease_holder(name, "f", QUOTA, random, self.clock(name))
            self.allowances[name] = 0, 0
            self.report_demand(name, INITIAL_DEMAND[name])
        self.stopped.pop(name, None)

    def report_demand(self, name: str, demand: int) -> None:
        """Report a node's demand to its holder."""
        self.machines[name].reduce(self.clock(name), UsageReported("store", 0, demand))

    def change_demand(self, name: str, demand: int) -> None:
        """Report a node's new demand to its holder, unless the holder is stopped."""
        if name not in self.stopped:
            self.report_demand(name, demand)

    def clock(self, name: str, count: int = 0) -> int:
        """Return the time on the process's own clock, after `count` inputs of the step."""
        return int((self.now + count) * self.clock_rates[name])

    def address(self, name: str) -> tuple[str, int]:
        """Return the address of a process."""
        number = int(name[1])
        return codec.parse_address(QUOTA.planners[number]) if name in PLANNERS else ("10.0.0.9", 7 + number)

    def name_at(self, address: tuple[str, int]) -> str | None:
        """Return the name of the process at that address."""
        return next((name for name in self.machines if self.address(name) == address), None)

    def play_step(self, delay: Delay | None) -> None:
        """Run one step; messages on the link that `delay` names arrive later."""
        self.step += 1
        self.now += STEP_US
        pending_inputs: list[tuple[str, tuple]] = [(name, Tick()) for name in self.machines]
        for message in [message for message in self.delayed if message.step <= self.step]:
            pending_inputs.append(
                (message.target, DatagramReceived(self.address(message.origin), message.data))
            )
        self.delayed = [message for message in self.delayed if message.step > self.step]
        for count in range(MAX_INPUTS_PER_STEP):
            if count >= len(pending_inputs):
                break
            name, machine_input = pending_inputs[count]
            if name not in self.stopped:
                pending_inputs += self._feed(name, machine_input, count, delay)
            elif isinstance(machine_input, DatagramReceived):
                self.stopped[name].append(machine_input)

    def _feed(
        self, name: str, machine_input: tuple, count: int, delay: Delay | None
    ) -> list[tuple[str, tuple]]:
        """Feed an input to a process; return the inputs that it causes at other processes in this step."""
        caused_inputs: list[tuple[str, tuple]] = []
        for effect in self.machines[name].reduce(self.clock(name, count), machine_input):
            if isinstance(effect, LimitAllowance):
                self.allowances[name] = effect.amount, effect.until
                self.check()
            elif isinstance(effect, SendDatagram):
                target = self.name_at(effect.address)
                if target is not None and self._deliver_or_delay(name, target, effect.data, delay):
                    caused_inputs.append((target, DatagramReceived(self.address(name), effect.data)))
        return caused_inputs

    def _deliver_or_delay(self, origin: str, target: str, data: bytes, delay: Delay | None) -> bool:
        """Store a delayed message for a later step; return whether it also arrives in this step."""
        if delay is None or (origin, target) != (delay.origin, delay.target):
            return True
        if delay.steps < LOST_STEPS:
            self.delayed.append(DelayedMessage(self.step + delay.steps, origin, target, data))
        return delay.duplicate

    def stop(self, name: str) -> None:
        """Stop a process and buffer its datagrams."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        """Resume a stopped process and deliver its buffered datagrams."""
        for buffered_input in self.stopped.pop(name):
            for effect in self.machines[name].reduce(self.clock(name), buffered_input):
                if isinstance(effect, LimitAllowance):
                    self.allowances[name] = effect.amount, effect.until

    def check(self) -> None:
        """Check that the allowances of all holders that are valid now fit the limit."""
        used = {name: amount for name, (amount, until) in self.allowances.items() if self.clock(name) < until}
        if sum(used.values()) > QUOTA.limits[0].amount:
            raise InvariantError(f"step {self.step}: allowances {used} exceed {QUOTA.limits[0].amount}")

    def key(self) -> int:
        """Return a hash of the state, without fields that don't influence behaviour."""
        parts = []
        for name, machine in self.machines.items():
            fields = {field: value for field, value in vars(machine).items() if field not in IGNORED_FIELDS}
            parts.append((name, pickle.dumps(fields)))
        stopped = sorted((name, tuple(map(str, inputs))) for name, inputs in self.stopped.items())
        allowances = sorted(self.allowances.items())
        return hash((self.step, tuple(parts), tuple(self.delayed), tuple(stopped), tuple(allowances)))


def faults(state: QuotaState) -> Iterator[Fault]:
    """Yield each fault that may happen before the next step."""
    for name in NAMES:
        if name in state.stopped:
            yield Fault(f"{name} resumes", QuotaState.resume, (name,))
        else:
            yield Fault(f"{name} restarts", QuotaState.start, (name,))
            yield Fault(f"{name} stops", QuotaState.stop, (name,))
    for name in HOLDERS:
        for demand in DEMANDS:
            yield Fault(f"demand of {name} becomes {demand}", QuotaState.change_demand, (name, demand))
    for origin in NAMES:
        for target in NAMES:
            if origin != target and (origin in PLANNERS or target in PLANNERS):
                yield from message_faults(origin, target)


def message_faults(origin: str, target: str) -> Iterator[Fault]:
    """Yield the faults of the messages from one process to another."""
    for steps in DELAYS:
        delivery = "lost" if steps == LOST_STEPS else f"{steps} steps late"
        yield Fault(f"{origin} to {target} {delivery}", delay=Delay(origin, target, steps))
    yield Fault(
        f"{origin} to {target} duplicated", delay=Delay(origin, target, DUPLICATE_DELAY, duplicate=True)
    )


class QuotaSearch(StateSpaceSearch[QuotaState, Fault]):
    """The search of elections and grants; its budget is the number of faults that are left."""

    def __init__(self, last_step: int, share: tuple[int, int]) -> None:
        super().__init__(share)
        self.last_step = last_step

    def choices(self, state: QuotaState, budget: Budget) -> Sequence[Fault]:
        """Return the faults that may happen before the next step, with `NO_FAULT` first."""
        if state.step >= self.last_step:
            return []
        (faults_left,) = budget
        return [NO_FAULT, *faults(state)] if faults_left else [NO_FAULT]

    def perform(self, state: QuotaState, choice: Fault) -> None:
        """Inject the fault and play the step."""
        if choice.action is not None:
            choice.action(state, *choice.arguments)
        state.play_step(choice.delay)
        state.check()

    def label(self, state: QuotaState, choice: Fault) -> str:
        """Return the step and the fault's name."""
        return f"{state.step}: {choice.name}"

    def extends_path(self, choice: Fault) -> bool:
        """Whether the choice is a fault."""
        return choice is not NO_FAULT

    def budget_after(self, budget: Budget, choice: Fault) -> Budget:
        """Return the number of faults that are left after the choice."""
        (faults_left,) = budget
        return (faults_left - self.extends_path(choice),)

    def key(self, state: QuotaState) -> int:
        """Return the hash of a state."""
        return state.key()

    def is_in_share(self, number: int) -> bool:
        """Whether a choice is in this search's part; `NO_FAULT` is in every part."""
        return number == 0 or super().is_in_share(number)


def explore(
    depth: int,
    max_faults: int,
    factories: QuotaFactories | None = None,
    begin: int = ELECTION_STEPS,
    share: tuple[int, int] = (0, 1),
    drift: int = 0,
) -> SearchResult:
    """Return the number of states, and the first breach with the faults that led to it, or None.

    The first `begin` steps have no faults, so that a planner leads after them. At most `max_faults` faults
    are placed in the `depth` steps that follow. `share` (k, n) searches only the k-th of n parts of the first
    choices. `drift` is an index into `DRIFTS`.
    """
    state = QuotaState(factories or QuotaFactories(), DRIFTS[drift])
    for _ in range(begin):
        state.play_step(None)
    return QuotaSearch(begin + depth, share).explore(state, (max_faults,))
