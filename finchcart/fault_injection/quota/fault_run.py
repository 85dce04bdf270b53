"""Seeded runs of nodes that share a limit: injects random faults and checks the limit's bound at every step.

This module owns the choice of faults and the checks that follow after the last fault. A run depends only on
its seed, so a seed that fails can be replayed identically.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from finchcart.fault_injection.quota.process import QuotaFactories, QuotaProcess, SharingMode
from finchcart.fault_injection.quota.simulation import QuotaSimulation
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.quota.limits import SECOND, Limit, Mode, QuotaConfig, Unit

ELECTION_END_US = 12 * SECOND  # a planner leads and grants leases by this time
RECOVERY_US = 30 * SECOND  # the longest that a fault stops a process
STABLE_PERIOD_US = 5 * SECOND
MIN_UTILIZATION = 0.5  # fraction of the limit that is used while every node's demand reaches it
SECOND_INSTANCE_DEMAND = 5
SECOND_INSTANCE_US = 20 * SECOND
MAX_INITIAL_DEMAND = 40

Links = Sequence[tuple[str | None, str | None]]


class QuotaFault(StrEnum):
    """Kinds of faults."""

    STOP = "stop"
    KILL = "kill"
    CUT = "cut"
    ONE_WAY_CUT = "one way"
    LOSS = "loss"
    DELAY = "late"
    DEMAND = "demand"
    ALL_PLANNERS = "all planners"
    LEADER = "leader"
    TWO_PLANNERS = "two planners"
    ONE_BY_ONE = "one by one"
    STOP_BEFORE_WRITE = "write"
    OVERSTATED_DEMAND = "lie"
    DUPLICATE_NAME = "again elsewhere"
    REPLACE = "replace"


# A kind that is listed twice is chosen twice as often.
KINDS = (
    QuotaFault.STOP,
    QuotaFault.STOP,
    QuotaFault.KILL,
    QuotaFault.CUT,
    QuotaFault.ONE_WAY_CUT,
    QuotaFault.LOSS,
    QuotaFault.DELAY,
    QuotaFault.DEMAND,
    QuotaFault.DEMAND,
    QuotaFault.ALL_PLANNERS,
    QuotaFault.LEADER,
    QuotaFault.TWO_PLANNERS,
    QuotaFault.ONE_BY_ONE,
    QuotaFault.STOP_BEFORE_WRITE,
    QuotaFault.OVERSTATED_DEMAND,
    QuotaFault.DUPLICATE_NAME,
    QuotaFault.REPLACE,
)


class QuotaFaultRun(QuotaSimulation):
    """A run of one seed, with random faults."""

    def __init__(
        self,
        seed: int,
        factories: QuotaFactories | None = None,
        kinds: Sequence[QuotaFault] = KINDS,
        drift: float | None = None,
        mode: str = SharingMode.STRICT,
        per: Unit = "in_hand",
    ) -> None:
        super().__init__(seed, factories=factories, drift=drift, mode=mode, per=per)
        self.kinds = kinds
        self.planner_names = [name for name, process in self.processes.items() if not process.is_node]
        self.node_names = [process.name for process in self.nodes]

    def play(self, seconds: int = 60) -> str:
        """Inject faults for `seconds`, check the recovery, and return the digest of all effects."""
        for name in self.processes:
            self.start(name)
        for name in self.node_names:
            self.processes[name].demand = self.random.randrange(0, MAX_INITIAL_DEMAND)
        self.run(ELECTION_END_US, self.after_step)
        self.phase = "faults"
        end = self.now + seconds * SECOND
        self.schedule(self.now, self._inject_fault, end)
        self.run(end, self.after_step)
        self.network.clear_rules(self.now)
        self.phase = "coming back"
        self.run(end + RECOVERY_US, self.after_step)
        self.network.clear_rules(self.now)  # a rule of one link may have kept values of a rule for all links
        # Without faults, the whole limit is leased again and is used as far as the demand reaches.
        for name in self.node_names:
            self.processes[name].demand = self.limit.amount
            self.processes[name].overstates_demand = False
        self.run(self.now + self.quota.recovery_bound() + self.quota.rebalancing_bound(), self.after_step)
        self.phase = "calm"
        self.run(self.now + STABLE_PERIOD_US, self.after_step)
        self._check_utilization()
        return self.trace.hexdigest()

    def _check_utilization(self) -> None:
        used, wanted = self.use["calm"]
        use = used / max(1, wanted)
        if use < MIN_UTILIZATION and self.mode != SharingMode.STATIC:
            raise InvariantError(
                f"seed {self.seed}: only {use:.2f} of the limit is used while every node's demand reaches it"
            )

    # ---- faults

    def _inject_fault(self, end: int) -> None:
        until = self.now + self.random.randrange(1, 12) * SECOND
        kind = self.random.choice(self.kinds)
        if kind in (
            QuotaFault.STOP,
            QuotaFault.KILL,
            QuotaFault.STOP_BEFORE_WRITE,
            QuotaFault.DUPLICATE_NAME,
        ):
            running = self._running_names()
            if running:
                self._inject_process_fault(kind, running)
        elif kind in (QuotaFault.CUT, QuotaFault.ONE_WAY_CUT, QuotaFault.LOSS, QuotaFault.DELAY):
            self._inject_network_fault(kind, until)
        elif kind in (QuotaFault.DEMAND, QuotaFault.OVERSTATED_DEMAND, QuotaFault.REPLACE):
            self._change_nodes(kind)
        else:
            self._inject_planner_fault(kind, until)
        if self.now < end:
            self.schedule(self.now + self.random.randrange(200, 4000) * 1000, self._inject_fault, end)

    def _running_names(self) -> list[str]:
        return [name for name, process in self.processes.items() if process.machine and not process.stopped]

    def _seconds_from_now(self, low: int, high: int) -> int:
        return self.now + self.random.randrange(low, high) * SECOND

    def _inject_process_fault(self, kind: QuotaFault, running: list[str]) -> None:
        if kind == QuotaFault.STOP:
            name = self.random.choice(running)
            self.stop(name)
            self.schedule(
                self._seconds_from_now(1, 30),
                self._resume_unless_restarted,
                name,
                self.processes[name].generation,
            )
        elif kind == QuotaFault.KILL:
            name = self.random.choice(running)
            self.kill(name)
            self.schedule(self._seconds_from_now(0, 8), self._start_unless_running, name)
        else:
            self._stop_before_write(kind, running)

    def _stop_before_write(self, kind: QuotaFault, running: list[str]) -> None:
        running_nodes = [name for name in running if self.processes[name].is_node]
        name = self.random.choice(running_nodes or self.node_names)
        process = self.processes[name]
        if not process.machine or process.stopped:
            return
        self.stop_before_write(name)
        self.schedule(self._seconds_from_now(1, 30), self._resume_unless_restarted, name, process.generation)
        if kind == QuotaFault.DUPLICATE_NAME:
            self.schedule(self.now + SECOND, self._start_second_instance, name)

    def _inject_planner_fault(self, kind: QuotaFault, until: int) -> None:
        if kind == QuotaFault.LEADER:
            self._inject_leader_fault(until)
        elif kind == QuotaFault.ALL_PLANNERS:
            for name in self.planner_names:
                self.kill(name)
                self.schedule(self._seconds_from_now(0, 4), self._start_unless_running, name)
        elif kind == QuotaFault.TWO_PLANNERS:
            for name in self.planner_names[:2]:
                self.schedule(self.now, self._restart, name, until - self.now)
        else:
            for number, name in enumerate(self.planner_names):
                self.schedule(self.now + number * 700_000, self._restart, name, 100_000)

    def _inject_leader_fault(self, until: int) -> None:
        running = self._running_names()
        leaders = [
            name
            for name in self.planner_names
            if name in running and self.processes[name].machine.election.is_leader
        ]
        if not leaders:
            return
        leader = leaders[0]
        if self.random.random() < 0.5:
            self.kill(leader)
            self.schedule(until, self._start_unless_running, leader)
        else:
            self.stop(leader)
            self.schedule(until, self._resume_unless_restarted, leader, self.processes[leader].generation)

    def _change_nodes(self, kind: QuotaFault) -> None:
        if kind == QuotaFault.DEMAND:
            for name in self.node_names:
                self.processes[name].demand = self.random.choice([0, 0, 3, 15, 60])
        elif kind == QuotaFault.OVERSTATED_DEMAND:
            process = self.processes[self.random.choice(self.node_names)]
            process.overstates_demand = not process.overstates_demand
        else:
            for name in self.node_names[:-1]:
                self.schedule(self._seconds_from_now(0, 4), self._restart, name, 200_000)

    def _inject_network_fault(self, kind: QuotaFault, until: int) -> None:
        if kind == QuotaFault.LOSS:
            rule = LinkRuleChanges(lose=0.3, double=0.3, swap=0.2)
            reset = LinkRuleChanges(lose=0.0, double=0.0, swap=0.0)
            self._set_rule([(None, None)], until, rule, reset)
        elif kind == QuotaFault.DELAY:
            jitter = self.random.choice([300_000, 3_000_000, 10_000_000])
            rule = LinkRuleChanges(delay=1000, jitter=jitter)
            self._set_rule([(None, None)], until, rule, LinkRuleChanges(delay=0, jitter=0))
        else:
            group = self.random.sample(list(self.processes), self.random.randrange(1, len(self.processes)))
            rest = [name for name in self.processes if name not in group]
            links = [(origin, target) for origin in group for target in rest]
            if kind == QuotaFault.CUT:
                links += [(target, origin) for origin in group for target in rest]
            self._set_rule(links, until, LinkRuleChanges(cut=True), LinkRuleChanges(cut=False))

    def _set_rule(
        self, links: Links, until: int, rule: LinkRuleChanges, reset: LinkRuleChanges | None
    ) -> None:
        """Apply `rule` to these links now, and `reset` at the time `until`."""
        for origin, target in links:
            self.network.set_rule(self.now, origin, target, rule)
        if reset:
            self.schedule(until, self._set_rule, links, 0, reset, None)

    def _resume_unless_restarted(self, name: str, generation: int) -> None:
        process = self.processes[name]
        if process.generation == generation and process.stopped:
            self.resume(name)

    def _restart(self, name: str, after: int) -> None:
        self.kill(name)
        self.schedule(self.now + after, self._start_unless_running, name)

    def _start_unless_running(self, name: str) -> None:
        if self.processes[name].machine is None:
            self.start(name)

    def _start_second_instance(self, name: str) -> None:
        """Start a second node with the same name at another address for a limited time."""
        second_name = name + "b"
        second = self.processes.get(second_name)
        if second is None:
            address = f"10.1.0.{len(self.processes)}:7401"
            clock_rate = 1 + self.random.choice([-1, 1]) * self.drift
            second = QuotaProcess(second_name, address, clock_rate=clock_rate, clock_origin=77)
            second.demand = SECOND_INSTANCE_DEMAND
            self.add_process(second)
        running = sum(node.machine is not None for node in self.nodes)
        if second.machine is None and running < self.quota.max_processes:
            self.start(second_name)
            self.schedule(self.now + SECOND_INSTANCE_US, self.kill, second_name)


@dataclass(frozen=True)
class QuotaSeedResult:
    """The result of a run of one seed."""

    breach: str | None  # the invariant that was violated
    worst: float  # most calls in progress, or the highest level of the rate bucket
    remainder: int  # most calls in progress that stopped processes wrote too late
    steps: int
    use: dict[str, list[float]]  # phase -> [used, wanted]
    limit: int


def play_seed(
    seed: int,
    mode: str = SharingMode.STRICT,
    per: Unit = "in_hand",
    seconds: int = 60,
    drift: float | None = None,
) -> QuotaSeedResult:
    """Run one seed and return its result."""
    run = QuotaFaultRun(seed, mode=mode, per=per, drift=drift)
    breach = None
    try:
        run.play(seconds)
    except InvariantError as error:
        breach = str(error)
    limit = run.limit.amount if per == "in_hand" else run.limit.burst
    return QuotaSeedResult(breach, run.worst, run.remainder, run.steps, run.use, limit)


def seconds_to_follow_demand(mode: str, holders: int = 16) -> float | None:
    """Return how many seconds the allocation takes to follow when all demand moves to one node.

    The time ends when the node has nine tenths of the calls in progress that an ideal allocation would give
    it. The result is None if that takes more than 20 s.
    """
    limit_mode: Mode = "loose" if mode == SharingMode.LOOSE else "strict"
    floor = 0 if limit_mode == "loose" else 1
    limit = Limit("store", 48, floor, mode=limit_mode)
    quota = QuotaConfig(limits=(limit,), max_processes=holders + 4)
    fleet = QuotaSimulation(1, holders=holders, mode=mode, quota=quota)
    for name in fleet.processes:
        fleet.start(name)
    nodes = fleet.nodes
    for node in nodes:
        node.demand = 6
    fleet.run(14 * SECOND, fleet.after_step)
    for node in nodes:
        node.demand = 0
    node = nodes[3]
    node.demand = fleet.limit.amount
    started_at = fleet.now
    target_calls = 0.9 * min(node.demand, fleet.limit.shareable(fleet.quota.max_processes))
    while fleet.now < started_at + 20 * SECOND:
        fleet.run(fleet.now + 50_000, fleet.after_step)
        if len(node.calls) >= target_calls:
            return (fleet.now - started_at) / SECOND
    return None
