"""Seeded runs of nodes that share a limit: faults of all kinds by chance, the bound checked at every step.

Owns the choice of faults and what must hold once they are over. A seed that fails replays identically.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from finchcart.fault_injection.quota.process import QuotaFactories, QuotaProcess, SharingMode
from finchcart.fault_injection.quota.simulation import QuotaSimulation
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.quota.limits import SECOND, Limit, Mode, QuotaConfig, Unit

ELECTION_US = 12 * SECOND  # by then a planner shares out
STOPS_OVER_US = 30 * SECOND
CALM_US = 5 * SECOND
LEAST_USE = 0.5  # of the limit, where all want it
ELSEWHERE_DEMAND = 5
ELSEWHERE_US = 20 * SECOND
MOST_DEMAND = 40

Pairs = Sequence[tuple[str | None, str | None]]


class QuotaFault(StrEnum):
    """What a fault does."""

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
    NAME_ELSEWHERE = "again elsewhere"
    REPLACE = "replace"


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
    QuotaFault.NAME_ELSEWHERE,
    QuotaFault.REPLACE,
)


class QuotaFaultRun(QuotaSimulation):
    """One seed of faults by chance."""

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
        """Make faults for so long; return the digest of all that happened."""
        for name in self.processes:
            self.start(name)
        for name in self.node_names:
            self.processes[name].demand = self.random.randrange(0, MOST_DEMAND)
        self.run(ELECTION_US, self.after_step)
        self.phase = "faults"
        end = self.now + seconds * SECOND
        self.schedule(self.now, self._inject_fault, end)
        self.run(end, self.after_step)
        self.network.clear_rules(self.now)
        self.phase = "coming back"
        self.run(end + STOPS_OVER_US, self.after_step)
        self.network.clear_rules(self.now)  # a rule of a pair may have kept what then held for all
        # Then all is shared again: the demand of all is met as far as the limit goes.
        for name in self.node_names:
            self.processes[name].demand = self.limit.amount
            self.processes[name].overstates_demand = False
        self.run(self.now + self.quota.recovery_bound() + self.quota.rebalancing_bound(), self.after_step)
        self.phase = "calm"
        self.run(self.now + CALM_US, self.after_step)
        self._check_use()
        return self.trace.hexdigest()

    def _check_use(self) -> None:
        used, wanted = self.use["calm"]
        use = used / max(1, wanted)
        if use < LEAST_USE and self.mode != SharingMode.STATIC:
            raise InvariantError(f"seed {self.seed}: only {use:.2f} of the limit is used where all want it")

    # ---- faults

    def _inject_fault(self, end: int) -> None:
        until = self.now + self.random.randrange(1, 12) * SECOND
        kind = self.random.choice(self.kinds)
        if kind in (
            QuotaFault.STOP,
            QuotaFault.KILL,
            QuotaFault.STOP_BEFORE_WRITE,
            QuotaFault.NAME_ELSEWHERE,
        ):
            running = self._running()
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

    def _running(self) -> list[str]:
        return [name for name, process in self.processes.items() if process.machine and not process.stopped]

    def _seconds_from_now(self, low: int, high: int) -> int:
        return self.now + self.random.randrange(low, high) * SECOND

    def _inject_process_fault(self, kind: QuotaFault, running: list[str]) -> None:
        if kind == QuotaFault.STOP:
            name = self.random.choice(running)
            self.stop(name)
            self.schedule(
                self._seconds_from_now(1, 30), self._resume_generation, name, self.processes[name].generation
            )
        elif kind == QuotaFault.KILL:
            name = self.random.choice(running)
            self.kill(name)
            self.schedule(self._seconds_from_now(0, 8), self._start_again, name)
        else:
            self._stop_before_write(kind, running)

    def _stop_before_write(self, kind: QuotaFault, running: list[str]) -> None:
        running_nodes = [name for name in running if self.processes[name].is_node]
        name = self.random.choice(running_nodes or self.node_names)
        process = self.processes[name]
        if not process.machine or process.stopped:
            return
        self.stop_before_write(name)
        self.schedule(self._seconds_from_now(1, 30), self._resume_generation, name, process.generation)
        if kind == QuotaFault.NAME_ELSEWHERE:
            self.schedule(self.now + SECOND, self._start_elsewhere, name)

    def _inject_planner_fault(self, kind: QuotaFault, until: int) -> None:
        if kind == QuotaFault.LEADER:
            self._inject_leader_fault(until)
        elif kind == QuotaFault.ALL_PLANNERS:
            for name in self.planner_names:
                self.kill(name)
                self.schedule(self._seconds_from_now(0, 4), self._start_again, name)
        elif kind == QuotaFault.TWO_PLANNERS:
            for name in self.planner_names[:2]:
                self.schedule(self.now, self._restart, name, until - self.now)
        else:
            for number, name in enumerate(self.planner_names):
                self.schedule(self.now + number * 700_000, self._restart, name, 100_000)

    def _inject_leader_fault(self, until: int) -> None:
        running = self._running()
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
            self.schedule(until, self._start_again, leader)
        else:
            self.stop(leader)
            self.schedule(until, self._resume_generation, leader, self.processes[leader].generation)

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
            some = self.random.sample(list(self.processes), self.random.randrange(1, len(self.processes)))
            rest = [name for name in self.processes if name not in some]
            pairs = [(origin, target) for origin in some for target in rest]
            if kind == QuotaFault.CUT:
                pairs += [(target, origin) for origin in some for target in rest]
            self._set_rule(pairs, until, LinkRuleChanges(cut=True), LinkRuleChanges(cut=False))

    def _set_rule(
        self, pairs: Pairs, until: int, rule: LinkRuleChanges, reset: LinkRuleChanges | None
    ) -> None:
        """Change the rules of these links, and change them to `reset` then."""
        for origin, target in pairs:
            self.network.set_rule(self.now, origin, target, rule)
        if reset:
            self.schedule(until, self._set_rule, pairs, 0, reset, None)

    def _resume_generation(self, name: str, generation: int) -> None:
        process = self.processes[name]
        if process.generation == generation and process.stopped:
            self.resume(name)

    def _restart(self, name: str, after: int) -> None:
        self.kill(name)
        self.schedule(self.now + after, self._start_again, name)

    def _start_again(self, name: str) -> None:
        if self.processes[name].machine is None:
            self.start(name)

    def _start_elsewhere(self, name: str) -> None:
        """Start a node's name at another address, with another clock, for a while."""
        other_name = name + "b"
        other = self.processes.get(other_name)
        if other is None:
            address = f"10.1.0.{len(self.processes)}:7401"
            clock_rate = 1 + self.random.choice([-1, 1]) * self.drift
            other = QuotaProcess(other_name, address, clock_rate=clock_rate, clock_origin=77)
            other.demand = ELSEWHERE_DEMAND
            self.add_process(other)
        running = sum(node.machine is not None for node in self.nodes)
        if other.machine is None and running < self.quota.max_processes:
            self.start(other_name)
            self.schedule(self.now + ELSEWHERE_US, self.kill, other_name)


@dataclass(frozen=True)
class QuotaSeedResult:
    """What a seed came to."""

    breach: str | None  # what did not hold
    worst: float  # most in hand, or the fullest bucket
    remainder: int  # most that stopped processes wrote too late
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
    """Play one seed."""
    run = QuotaFaultRun(seed, mode=mode, per=per, drift=drift)
    breach = None
    try:
        run.play(seconds)
    except InvariantError as error:
        breach = str(error)
    limit = run.limit.amount if per == "in_hand" else run.limit.burst
    return QuotaSeedResult(breach, run.worst, run.remainder, run.steps, run.use, limit)


def seconds_to_follow_demand(mode: str, holders: int = 16) -> float | None:
    """Return how long a jump of demand, from all nodes to one, takes to be followed.

    Counted are seconds until nine tenths of what an oracle would give that node are in hand; None: not within
    20 s.
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
    began = fleet.now
    enough = 0.9 * min(node.demand, fleet.limit.shareable(fleet.quota.max_processes))
    while fleet.now < began + 20 * SECOND:
        fleet.run(fleet.now + 50_000, fleet.after_step)
        if len(node.calls) >= enough:
            return (fleet.now - began) / SECOND
    return None
