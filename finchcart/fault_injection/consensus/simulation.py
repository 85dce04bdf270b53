"""Simulates nodes that share consensus on a virtual clock: their faults, evidence and decisions.

This module owns the actual state (the state of the store at each node, the nodes that each source floods, the
nodes that report falsely) and the part of it that each node observes. It must not show a node more than the
node's core would observe, and its checks must not use a consensus store's state to excuse a decision.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NoReturn

import xxhash

from finchcart.consensus import subjects
from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.evidence import CallCounts, Evidence, RunOutcomeCounts, SourceCounts
from finchcart.consensus.inputs import EvidenceCollected
from finchcart.consensus.store import ConsensusStore
from finchcart.consensus.subjects import StoreHealth
from finchcart.fault_injection.consensus.view import NodeView, Predicate, is_down
from finchcart.fault_injection.membership.simulation import MemberFactory, MembershipSimulation
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.inputs import PiggybackInput
from finchcart.membership.member import Member
from finchcart.node.limiters import PROBE_DEMAND_PERIOD_US
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.inputs import UsageReported
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits
from finchcart.simulated_peers.store import StoreState

CALLS_PER_INTERVAL = 6  # calls of a node per evidence interval while nothing limits them
RPCS_PER_INTERVAL = 20
RUNS_PER_INTERVAL = 10
RUN_US = 500_000
CALL_US = {StoreState.OK: 20_000, StoreState.SLOW: 400_000, StoreState.DOWN: 0}
ZONES = 3
MAX_ENTRY_BYTES = 600
POLL_US = 20_000
CHECK_NEVER_POLL_US = 100_000


class ConsensusSimulation(MembershipSimulation):
    """Members with a consensus store each.

    `make` creates a consensus store and `member` a member; tests replace them to plant defects. `on` sets
    whether the decisions limit the nodes' calls.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        consensus_config: ConsensusConfig | None = None,
        make: Callable[..., ConsensusStore] = ConsensusStore,
        member: MemberFactory = Member,
        on: bool = True,
    ) -> None:
        self.consensus_config = consensus_config or ConsensusConfig()
        self.make_store = make
        self.make_member = member
        self.on = on
        names = [f"n{number:03d}" for number in range(count)]
        super().__init__(names, seed, MembershipConfig(), watch=self._watch, make=self._make_node)
        self.chance = Random(f"beliefs {seed}")
        self.store_states = dict.fromkeys(names, StoreState.OK)
        self.floods: dict[int, tuple[int, set[str]]] = {}  # source -> (bad messages per second, nodes)
        self.failing: set[str] = set()  # nodes that fail their runs
        self.levels: dict[str, float] = {}  # node -> shed level
        self.faulty_reporters: set[str] = set()  # nodes that report false evidence
        self.harmless_source = subjects.parse_subject("source", "10.9.9.9")  # sends no bad messages
        self.node_views = {name: NodeView() for name in names}
        self.written_at: dict[tuple, int] = {}  # key of a gossip entry -> time at which its author wrote it
        self.trace = xxhash.xxh3_64()
        self.wasted_calls = 0
        self.probe_calls = 0
        probe_limit = Limit("trial", self.consensus_config.probe_calls, counts="trial", mode="loose")
        self.quota = QuotaConfig(limits=(probe_limit,))

    def _make_node(
        self,
        name: str,
        fleet: str,
        address: str,
        seeds: list[str],
        config: MembershipConfig,
        random: Random,
        wall_clock_ms: int,
        now: int,
    ) -> Member:
        member = self.make_member(name, fleet, address, seeds, config, random, wall_clock_ms, now)
        zone = int(name[1:]) % ZONES
        store_config = ConsensusConfig(**{**self.consensus_config.__dict__, "zone": f"z{zone}"})
        member.consensus_store = self.make_store(name, fleet, store_config, now)
        member.piggyback_clients += [LocalLimits(self.quota, now), member.consensus_store]
        self.node_views[name] = NodeView()
        return member

    def start_all(self) -> None:
        """Start all nodes, and the periodic collection of evidence at each of them."""
        for name in list(self.processes):
            self.start(name)
        for name in list(self.processes):
            first = self.now + self.chance.randrange(self.consensus_config.evidence_interval)
            self.schedule(first, self._collect_evidence, name)

    # ---- what the core of a node would observe

    def _watch(self, now: int, name: str, effect: tuple) -> None:
        self.trace.update(f"{now} {name} {effect}".encode())
        view = self.node_views[name]
        if isinstance(effect, DecisionsChanged):
            previous = view.consensus
            view.consensus = effect
            if previous.store != effect.store:
                view.store_changes.append((now, effect.store))
                view.recovered_at = now if previous.store == StoreHealth.DOWN else None
        elif isinstance(effect, LimitAllowance):
            view.probes = effect.amount
            view.probes_until = effect.until

    def _collect_evidence(self, name: str) -> None:
        """Make a node's calls of one evidence interval, and feed the evidence to its consensus store."""
        process = self.processes[name]
        self.schedule(self.now + self.consensus_config.evidence_interval, self._collect_evidence, name)
        if process.machine is None or process.stopped:
            return
        calls = self._calls_in_interval(self.node_views[name])
        ok = 0 if self.store_states[name] == StoreState.DOWN else calls
        self.wasted_calls += calls - ok
        self.feed(name, PiggybackInput(EvidenceCollected(self._evidence(name, calls, ok))))
        self._report_probes(name, calls)

    def _calls_in_interval(self, view: NodeView) -> int:
        if self.on and is_down(view):
            calls = min(1, view.probes if self.now < view.probes_until else 0)
            self.probe_calls += calls
            return calls
        if self.on and view.recovered_at is not None:
            steps = min(8, (self.now - view.recovered_at) // self.consensus_config.recovery_step)
            return min(CALLS_PER_INTERVAL, 1 << steps)
        return CALLS_PER_INTERVAL

    def _evidence(self, name: str, calls: int, ok: int) -> Evidence:
        sources = self._flooding_sources(name)
        evidence = Evidence(
            calls=CallCounts(ok, calls - ok, CALL_US[self.store_states[name]] * ok),
            rpcs=RPCS_PER_INTERVAL,
            sources=sources,
            runs=RunOutcomeCounts(
                RUNS_PER_INTERVAL, RUNS_PER_INTERVAL if name in self.failing else 0, RUN_US
            ),
            level=self.levels.get(name, 0.0),
        )
        if name in self.faulty_reporters:
            accused = SourceCounts(bad_messages=self.consensus_config.max_bad_messages)
            return evidence._replace(
                calls=CallCounts(failed=CALLS_PER_INTERVAL),
                level=1.0,
                sources={**sources, self.harmless_source: accused},
            )
        return evidence

    def _flooding_sources(self, name: str) -> dict[int, SourceCounts]:
        sources: dict[int, SourceCounts] = {}
        for subject, (rate, nodes) in self.floods.items():
            if len(sources) >= self.consensus_config.max_sources:
                break  # as in the core's table of one evidence interval
            bad = rate * self.consensus_config.evidence_interval // SECOND if name in nodes else 0
            if bad:
                sources[subject] = SourceCounts(bad_messages=bad)
        return sources

    def _report_probes(self, name: str, calls: int) -> None:
        """Report demand for probe calls until `PROBE_DEMAND_PERIOD_US` after the node's last call."""
        view = self.node_views[name]
        if calls or self.now - view.called_at < PROBE_DEMAND_PERIOD_US:
            view.called_at = self.now if calls else view.called_at
            self.feed(name, PiggybackInput(UsageReported("trial", 0, 1)))

    # ---- invariants

    def after_step(self, _: object) -> None:
        """Check that no gossip entry is considered younger than it is, and that tables keep their bounds."""
        name = self.last_active_name
        member = self.processes[name].machine if name else None
        if member is None:
            return
        for held in member.gossip.own.values():
            self.written_at.setdefault(
                (held.entry.member_id, held.entry.topic, held.entry.precedence), held.written_at
            )
        for held in member.gossip.received.values():
            true_written_at = self.written_at.get(
                (held.entry.member_id, held.entry.topic, held.entry.precedence)
            )
            if (
                held.written_at is not None
                and true_written_at is not None
                and held.written_at > true_written_at
            ):
                younger_ms = (held.written_at - true_written_at) // 1000
                self.fail(f"{name} considers a gossip entry {younger_ms} ms younger than it is")
        store = member.consensus_store
        config = self.consensus_config
        if len(store.observer.sources) > config.max_sources or len(store.overrides) > config.max_overrides:
            self.fail(f"{name} has more sources or overrides than the configured maximum")
        if any(len(held.entry.payload) > MAX_ENTRY_BYTES for held in member.gossip.own.values()):
            self.fail(f"{name} wrote a gossip entry that is too long")

    def fail(self, text: str) -> NoReturn:
        """Raise an `InvariantError` with the seed, the time and the text."""
        raise InvariantError(f"seed {self.seed}, {self.now / SECOND:.3f} s: {text}")

    # ---- expectations

    def bound(self, loss: float = 0.0) -> int:
        """Return the time for all nodes to act, counted from when enough nodes have the evidence."""
        return self.consensus_config.reaction_time_bound(self.config, len(self.running()), loss)

    def wait_until(self, predicate: Predicate, names: Iterable[str], timeout: int, text: str) -> int:
        """Run until the predicate is true for all these nodes; return the time it took."""
        started_at = self.now
        while True:
            unmet = [name for name in names if not predicate(self.node_views[name])]
            if not unmet:
                return self.now - started_at
            if self.now - started_at > timeout:
                decisions = self.node_views[unmet[0]].consensus
                self.fail(
                    f"{text}: not true after {timeout / SECOND:.2f} s at {unmet[:4]}; "
                    f"decisions of the first: {decisions}"
                )
            self.run(self.now + POLL_US, self.after_step)

    def check_never(self, predicate: Predicate, names: Iterable[str], span: int, text: str) -> None:
        """Run for `span`; fail if the predicate becomes true for one of these nodes."""
        end = self.now + span
        while self.now < end:
            self.run(self.now + CHECK_NEVER_POLL_US, self.after_step)
            for name in names:
                if predicate(self.node_views[name]):
                    self.fail(f"{text}: {name} decided {self.node_views[name].consensus}")

    def set_cut(self, group: Iterable[str], rest: Iterable[str], both: bool = True, cut: bool = True) -> None:
        """Cut the links from one group to the rest, and back if `both` is set; `cut=False` restores them."""
        for origin in group:
            for target in rest:
                self.network.set_rule(self.now, origin, target, {"cut": cut})
                if both:
                    self.network.set_rule(self.now, target, origin, {"cut": cut})
