"""A bounded exhaustive search of elections and grants: every placing of a few faults.

Owns what may happen in a step. Time goes in steps; in each, all processes tick and all messages arrive,
until none is under way. Before each step any one fault may happen: a process is restarted, stops or goes
on; what goes from one to another is delayed by some steps, or arrives now and once more later, or is lost;
a holder's demand changes. Clocks drift apart by the stated part, each way that `DRIFTS` names. All placings
of a bounded number of faults within a bounded number of steps are tried. The frame of the search is in
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
)  # grants outlive a lease
PLANNERS = ("p0", "p1", "p2")
HOLDERS = ("n0", "n1")
NAMES = PLANNERS + HOLDERS
FIRST_DEMAND = {"n0": 4, "n1": 2}
DEMANDS = (0, 4)
FOREVER_STEPS = 99
DELAYS = (1, 3, FOREVER_STEPS)  # steps that a message is delayed by
TWICE_DELAY = 2  # steps after which a message arrives once more
ELECTION_STEPS = 9  # a planner leads by then
MOST_INPUTS_A_STEP = 400
NOT_STATE = ("counts", "effects", "quota", "random", "others", "planners")  # don't change what a machine does
# By process, or by all of its kind; 1: as fast as allowed.
DRIFTS: tuple[dict[str, int], ...] = (
    {},
    {"p": 1, "n": -1},
    {"p": -1, "n": 1},
    {"p0": 1, "p1": -1, "p2": -1},
)


class NoChance:
    """In place of `Random`: the least that may be drawn, and sessions one after the other."""

    def __init__(self, first: int) -> None:
        self.first = first

    def randrange(self, low: int, high: int | None = None) -> int:
        """Return the least of the range."""
        return 0 if high is None else low

    def getrandbits(self, bits: int) -> int:
        """Return the next number."""
        self.first += 1
        return self.first


class Delay(NamedTuple):
    """Messages from one process to another that come `steps` later; `twice`: now as well."""

    origin: str
    target: str
    steps: int
    twice: bool = False


class Fault(NamedTuple):
    """A fault that may happen before a step: `action(state, *arguments)`, or messages that are delayed."""

    name: str
    action: Callable[..., None] | None = None
    arguments: tuple = ()
    delay: Delay | None = None


NO_FAULT = Fault("")


class DelayedMessage(NamedTuple):
    """A message under way until a step."""

    step: int
    origin: str
    target: str
    data: bytes


class QuotaState:
    """Everything that a state is."""

    def __init__(self, factories: QuotaFactories, drift: dict[str, int]) -> None:
        self.now = 10 * STEP_US
        self.step = 0
        self.lives = 0
        self.factories = factories
        self.delayed: list[DelayedMessage] = []
        self.clock_rates = {name: 1 + QUOTA.drift * drift.get(name, drift.get(name[0], 0)) for name in NAMES}
        self.machines: dict[str, Any] = {}
        self.stopped: dict[str, list[tuple]] = {}  # name -> the inputs that wait
        self.allowances: dict[str, tuple[int, int]] = {}  # holder -> (amount, until)
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process; nothing is left of an earlier one."""
        self.lives += 1
        chance = NoChance(self.lives * 100)
        if name in PLANNERS:
            address = QUOTA.planners[PLANNERS.index(name)]
            self.machines[name] = self.factories.planner(address, "f", QUOTA, chance, self.clock(name))
        else:
            self.machines[name] = self.factories.lease_holder(name, "f", QUOTA, chance, self.clock(name))
            self.allowances[name] = 0, 0
            self.report_demand(name, FIRST_DEMAND[name])
        self.stopped.pop(name, None)

    def report_demand(self, name: str, demand: int) -> None:
        """Tell a holder its node's demand."""
        self.machines[name].reduce(self.clock(name), UsageReported("store", 0, demand))

    def change_demand(self, name: str, demand: int) -> None:
        """Change the demand of a holder's node; a stopped holder is not told."""
        if name not in self.stopped:
            self.report_demand(name, demand)

    def clock(self, name: str, count: int = 0) -> int:
        """Return what the process's own clock reads, after so many inputs of the step."""
        return int((self.now + count) * self.clock_rates[name])

    def address(self, name: str) -> tuple[str, int]:
        """Return the address of a process."""
        number = int(name[1])
        return codec.parse_address(QUOTA.planners[number]) if name in PLANNERS else ("10.0.0.9", 7 + number)

    def name_at(self, address: tuple[str, int]) -> str | None:
        """Return the name of the process at that address."""
        return next((name for name in self.machines if self.address(name) == address), None)

    def play_step(self, delay: Delay | None) -> None:
        """Play one step; messages of the delayed link come later."""
        self.step += 1
        self.now += STEP_US
        todo: list[tuple[str, tuple]] = [(name, Tick()) for name in self.machines]
        for message in [message for message in self.delayed if message.step <= self.step]:
            todo.append((message.target, DatagramReceived(self.address(message.origin), message.data)))
        self.delayed = [message for message in self.delayed if message.step > self.step]
        for count in range(MOST_INPUTS_A_STEP):
            if count >= len(todo):
                break
            name, machine_input = todo[count]
            if name not in self.stopped:
                todo += self._feed(name, machine_input, count, delay)
            elif isinstance(machine_input, DatagramReceived):
                self.stopped[name].append(machine_input)

    def _feed(
        self, name: str, machine_input: tuple, count: int, delay: Delay | None
    ) -> list[tuple[str, tuple]]:
        """Hand an input to a process; return the inputs of others that come of it in this step."""
        following: list[tuple[str, tuple]] = []
        for effect in self.machines[name].reduce(self.clock(name, count), machine_input):
            if isinstance(effect, LimitAllowance):
                self.allowances[name] = effect.amount, effect.until
                self.check()
            elif isinstance(effect, SendDatagram):
                target = self.name_at(effect.address)
                if target is not None and self._arrives_now(name, target, effect.data, delay):
                    following.append((target, DatagramReceived(self.address(name), effect.data)))
        return following

    def _arrives_now(self, origin: str, target: str, data: bytes, delay: Delay | None) -> bool:
        """Whether a message arrives in this step; what is delayed is put under way."""
        if delay is None or (origin, target) != (delay.origin, delay.target):
            return True
        if delay.steps < FOREVER_STEPS:
            self.delayed.append(DelayedMessage(self.step + delay.steps, origin, target, data))
        return delay.twice

    def stop(self, name: str) -> None:
        """Stop a process: datagrams wait for it."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        """Let a stopped process go on: it gets what waited."""
        for waiting in self.stopped.pop(name):
            for effect in self.machines[name].reduce(self.clock(name), waiting):
                if isinstance(effect, LimitAllowance):
                    self.allowances[name] = effect.amount, effect.until

    def check(self) -> None:
        """Check what holders may use together, now."""
        used = {name: amount for name, (amount, until) in self.allowances.items() if self.clock(name) < until}
        if sum(used.values()) > QUOTA.limits[0].amount:
            raise InvariantError(f"step {self.step}: {used} of {QUOTA.limits[0].amount}")

    def key(self) -> int:
        """Return a hash of the state, without counters that only tell."""
        parts = []
        for name, machine in self.machines.items():
            fields = {field: value for field, value in vars(machine).items() if field not in NOT_STATE}
            parts.append((name, pickle.dumps(fields)))
        stopped = sorted((name, tuple(map(str, inputs))) for name, inputs in self.stopped.items())
        allowances = sorted(self.allowances.items())
        return hash((self.step, tuple(parts), tuple(self.delayed), tuple(stopped), tuple(allowances)))


def faults(state: QuotaState) -> Iterator[Fault]:
    """Yield each fault that may happen before the next step."""
    for name in NAMES:
        if name in state.stopped:
            yield Fault(f"{name} goes on", QuotaState.resume, (name,))
        else:
            yield Fault(f"{name} started anew", QuotaState.start, (name,))
            yield Fault(f"{name} stops", QuotaState.stop, (name,))
    for name in HOLDERS:
        for demand in DEMANDS:
            yield Fault(f"{name} wants {demand}", QuotaState.change_demand, (name, demand))
    for origin in NAMES:
        for target in NAMES:
            if origin != target and (origin in PLANNERS or target in PLANNERS):
                yield from message_faults(origin, target)


def message_faults(origin: str, target: str) -> Iterator[Fault]:
    """Yield the faults of the messages from one process to another."""
    for steps in DELAYS:
        what = "lost" if steps == FOREVER_STEPS else f"{steps} later"
        yield Fault(f"{origin} to {target} {what}", delay=Delay(origin, target, steps))
    yield Fault(f"{origin} to {target} twice", delay=Delay(origin, target, TWICE_DELAY, twice=True))


class QuotaSearch(StateSpaceSearch[QuotaState, Fault]):
    """The search of elections and grants; its budget is (faults,)."""

    def __init__(self, last_step: int, share: tuple[int, int]) -> None:
        super().__init__(share)
        self.last_step = last_step

    def choices(self, state: QuotaState, budget: Budget) -> Sequence[Fault]:
        """Return all faults that may happen before the next step, and first that none does."""
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
        """Whether a fault was made."""
        return choice is not NO_FAULT

    def budget_after(self, budget: Budget, choice: Fault) -> Budget:
        """Return the faults that are left."""
        (faults_left,) = budget
        return (faults_left - self.extends_path(choice),)

    def key(self, state: QuotaState) -> int:
        """Return the hash of a state."""
        return state.key()

    def is_in_share(self, number: int) -> bool:
        """Whether a choice is in this search's part: no fault is in all parts."""
        return number == 0 or super().is_in_share(number)


def explore(
    depth: int,
    most: int,
    factories: QuotaFactories | None = None,
    begin: int = ELECTION_STEPS,
    share: tuple[int, int] = (0, 1),
    drift: int = 0,
) -> SearchResult:
    """Return the number of states, and the first breach with the faults that led to it, or None.

    The first `begin` steps are without faults: a planner leads by then. At most `most` faults are placed in
    the `depth` steps after. `share` (k, n) plays the k-th of n parts of the first choices; `drift` is an
    index into `DRIFTS`.
    """
    state = QuotaState(factories or QuotaFactories(), DRIFTS[drift])
    for _ in range(begin):
        state.play_step(None)
    return QuotaSearch(begin + depth, share).explore(state, (most,))
