"""Rounds of faults for nodes that share consensus, and the decisions that the nodes must then reach.

This module owns the choice of the nodes that a round disturbs, and the expectations of each round. Each round
begins with all nodes healthy and without decisions; the caller restores that state after a round.
"""

from collections.abc import Collection
from functools import partial

from finchcart.consensus import messages, subjects
from finchcart.consensus.subjects import Restriction, StoreHealth
from finchcart.fault_injection.consensus.round_kinds import RoundKind, Timing
from finchcart.fault_injection.consensus.simulation import CHECK_NEVER_POLL_US, ConsensusSimulation
from finchcart.fault_injection.consensus.view import (
    NodeView,
    considers_itself_ejected,
    is_blocked,
    is_down,
    is_restricted,
    is_working,
)
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.membership.config import SECOND
from finchcart.simulated_peers.store import StoreState

UNAFFECTED_PERIOD_US = 12 * SECOND  # no node may reach a decision in this time
PARTITION_DETECTED_US = 6 * SECOND  # nodes on each side of a cut have detected it by this time
REJOIN_US = 8 * SECOND  # all restarted nodes know each other by this time
FLOOD_RATE = 40  # bad messages per second
FLOODING_SOURCES = 5000
FLAPS = 6
FLAP_HALF_PERIOD_US = 2 * SECOND
MOST_FLAP_CHANGES = 8
HIGH_LOSS = 0.3
LEVEL_ROUNDING = 0.026
MAX_DELAY_US = 10_000_000


class ConsensusRounds(ConsensusSimulation):
    """The rounds; the argument `names` lists the running nodes in order."""

    def __init__(self, count: int, seed: int, **options: object) -> None:
        super().__init__(count, seed, **options)
        self.loss = 0.0
        self.kind = RoundKind.STORE_DOWN
        self.timings: list[Timing] = []
        self.most_flap_changes = 0
        self.rounds = {
            RoundKind.STORE_DOWN: self.store_down,
            RoundKind.STORE_DOWN_IN_ZONE: self.store_down_for_a_zone,
            RoundKind.STORE_DOWN_FOR_NODE: self.store_down_for_a_node,
            RoundKind.STORE_SLOW_FOR_HALF: self.store_slow_for_half,
            RoundKind.STORE_FLAPS: self.store_flaps,
            RoundKind.SOURCE_FLOODS: self.source_floods,
            RoundKind.MANY_SOURCES_FLOOD: self.many_sources_flood,
            RoundKind.FEW_FAULTY_REPORTERS: self.few_faulty_reporters,
            RoundKind.THIRD_FAULTY_REPORTERS: self.third_of_nodes_faulty,
            RoundKind.RESUMED_AFTER_RECOVERY: self.resumed_after_recovery,
            RoundKind.HALVES_CUT_OFF: self.halves_cut_off,
            RoundKind.ONE_WAY_CUT: self.one_way_cut,
            RoundKind.ALL_RESTARTED: self.all_restarted,
            RoundKind.ROLLING_RESTART: self.rolling_restart,
            RoundKind.OVERRIDES: self.overrides_on_both_sides,
            RoundKind.DELAYED_MESSAGES: self.delayed_messages,
            RoundKind.FAILING_RUNS: self.nodes_fail_runs,
            RoundKind.SHED_LEVEL: self.shed_level,
        }

    # ---- shared by several rounds

    def _timed(self, event: str, took: int, bound: int) -> None:
        self.timings.append(Timing(self.kind, event, took, bound))

    def _set_store(self, state: StoreState) -> None:
        self.store_states = dict.fromkeys(self.store_states, state)

    def _break_store(self, names: Collection[str]) -> None:
        """Break the store for all nodes; these nodes must consider it down within the bound."""
        self._set_store(StoreState.DOWN)
        bound = self.consensus_config.store_reaction_time_bound(self.config, len(names), self.loss)
        self._timed("in", self.wait_until(is_down, names, bound, "the store is considered down"), bound)

    def _repair_store(self, names: Collection[str], restarts: int = 0) -> None:
        """Repair the store for all nodes; these nodes must consider it working within the bound."""
        self._set_store(StoreState.OK)
        bound = self.consensus_config.store_recovery_time_bound(self.config, len(names), restarts, self.loss)
        self._timed(
            "out",
            self.wait_until(is_working, names, bound, "the store is considered working again"),
            bound,
        )

    def _harmless_source_is_restricted(self, names: Collection[str]) -> bool:
        return any(is_restricted(self.harmless_source, self.node_views[name]) for name in names)

    # ---- the store

    def store_down(self, names: list[str]) -> None:
        """Break the store for all nodes for a while: probe calls stay few, and decisions don't flap."""
        self._break_store(names)
        probes_before = self.probe_calls
        started_at = self.now
        self.run(self.now + self.chance.randrange(3, 15) * SECOND, self.after_step)
        intervals = (self.now - started_at) / self.consensus_config.evidence_interval + 2
        probes = self.probe_calls - probes_before
        if self.loss == 0 and probes > self.consensus_config.probe_calls * intervals:
            self.fail(f"{probes} probe calls in {intervals:.0f} evidence intervals")
        self._repair_store(names)
        if self.loss < HIGH_LOSS:
            for name in names:
                changes = self.node_views[name].store_changes
                if [value for _, value in changes] not in (
                    [StoreHealth.DOWN, StoreHealth.WORKING],
                    [StoreHealth.SLOW, StoreHealth.DOWN, StoreHealth.WORKING],
                ):
                    self.fail(f"{name} made unexpected changes of its decision on the store: {changes}")

    def store_down_for_a_zone(self, names: list[str]) -> None:
        """Break the store for one zone only: no node may consider it down."""
        for name in names:
            if int(name[1:]) % 3 == 1:
                self.store_states[name] = StoreState.DOWN
        self.check_never(is_down, names, UNAFFECTED_PERIOD_US, "the store is down for one zone only")

    def store_down_for_a_node(self, names: list[str]) -> None:
        """Break the store for one node only: no node may consider it down."""
        self.store_states[self.chance.choice(names)] = StoreState.DOWN
        self.check_never(is_down, names, UNAFFECTED_PERIOD_US, "the store is down for one node only")

    def store_slow_for_half(self, names: list[str]) -> None:
        """Slow the store for half of the nodes: no node may consider it down."""
        for name in names[::2]:
            self.store_states[name] = StoreState.SLOW
        self.check_never(is_down, names, UNAFFECTED_PERIOD_US, "the store is slow for half of the nodes")

    def store_flaps(self, names: list[str]) -> None:
        """Let the store flap: decisions must change less often than the store."""
        for _ in range(FLAPS):
            self._set_store(StoreState.DOWN)
            self.run(self.now + FLAP_HALF_PERIOD_US, self.after_step)
            self._set_store(StoreState.OK)
            self.run(self.now + FLAP_HALF_PERIOD_US, self.after_step)
        change_count = max(len(self.node_views[name].store_changes) for name in names)
        self.most_flap_changes = max(self.most_flap_changes, change_count)
        if change_count > MOST_FLAP_CHANGES:
            self.fail(
                f"{change_count} changes of the decision on the store in 24 s, while it flaps every 2 s"
            )

    # ---- sources

    def source_floods(self, names: list[str]) -> None:
        """Let a source flood one node after another; it is blocked once enough nodes have reported it."""
        subject = subjects.parse_subject("source", "10.1.2.3")
        blocked = partial(is_blocked, subject)
        needed = self.consensus_config.required_reports(len(names))
        for number, name in enumerate(self.chance.sample(names, needed)):
            self.floods = {subject: (FLOOD_RATE, {name})}
            if number < needed - 1:
                self.check_never(blocked, names, SECOND, "too few nodes have reported the source")
        bound = self.consensus_config.max_bad_messages * SECOND // FLOOD_RATE + self.bound(self.loss)
        self._timed("out", self.wait_until(blocked, names, bound, "a flooding source is blocked"), bound)
        self.floods = {}
        if self._harmless_source_is_restricted(names):
            self.fail("a source that sends no bad messages is restricted")

    def many_sources_flood(self, names: list[str]) -> None:
        """Let thousands of sources flood: tables stay bounded, and no other source is restricted."""
        rates = self.chance.choices([4, 4, FLOOD_RATE], k=FLOODING_SOURCES)
        self.floods = {
            subjects.parse_subject("source", f"10.2.{number // 250}.{number % 250}"): (rate, set(names))
            for number, rate in enumerate(rates)
        }
        self.check_never(
            partial(is_restricted, self.harmless_source),
            names,
            3 * SECOND,
            "the source sends no bad messages",
        )
        self.floods = {}

    # ---- nodes that report false evidence, fail runs or shed

    def _report_falsely(self, names: list[str], count: int) -> list[str]:
        """Let `count` nodes report false evidence; return the others, which must not be affected."""

        def is_affected(view: NodeView) -> bool:
            return is_down(view) or view.consensus.minimum_level > 0

        self.faulty_reporters = set(self.chance.sample(names, count))
        honest = [name for name in names if name not in self.faulty_reporters]
        self.check_never(
            is_affected, honest, UNAFFECTED_PERIOD_US, f"{count} of {len(names)} nodes report false evidence"
        )
        return honest

    def few_faulty_reporters(self, names: list[str]) -> None:
        """Let fewer nodes report false evidence than any decision needs."""
        needed = self.consensus_config.required_reports(len(names))
        honest = self._report_falsely(names, self.chance.randrange(1, max(2, needed)))
        if self._harmless_source_is_restricted(honest):
            self.fail("too few faulty reporters restrict a source")

    def third_of_nodes_faulty(self, names: list[str]) -> None:
        """Let a third report false evidence: they can block a source, as documented, and nothing else."""
        self._report_falsely(names, len(names) // 3)

    def nodes_fail_runs(self, names: list[str]) -> None:
        """Let some nodes fail their runs: they eject themselves, up to the configured fraction at once."""
        max_ejected = int(self.consensus_config.max_ejected_fraction * len(names))
        count = self.chance.randrange(1, max(2, len(names) // 2))
        self.failing = set(self.chance.sample(names, count))
        if count <= max_ejected:
            bound = (
                self.consensus_config.observation_span + 2 * self.bound(self.loss) + self.config.period * 2
            )
            took = self.wait_until(
                considers_itself_ejected, self.failing, bound, "nodes that fail their runs eject themselves"
            )
            self._timed("in", took, bound)
        end = self.now + 10 * SECOND
        while self.now < end:
            self.run(self.now + CHECK_NEVER_POLL_US, self.after_step)
            ejected = [name for name in names if considers_itself_ejected(self.node_views[name])]
            if len(ejected) > max_ejected or set(ejected) - self.failing:
                self.fail(
                    f"{ejected} are ejected; failing: {sorted(self.failing)}, allowed at most: {max_ejected}"
                )
        self.failing = set()

    def shed_level(self, names: list[str]) -> None:
        """Let most nodes shed less critical RPCs: all nodes reach the same level, within one level step."""
        level = self.chance.choice([0.3, 0.5, 0.8])
        for name in names[: len(names) // 2 + 2]:
            self.levels[name] = level
        min_level = level - self.consensus_config.level_step - LEVEL_ROUNDING

        def is_reached(view: NodeView) -> bool:
            return view.consensus.minimum_level >= min_level

        bound = self.bound(self.loss) + 2 * self.config.period
        self._timed("in", self.wait_until(is_reached, names, bound, "all nodes reach the shed level"), bound)
        self.levels = {}

    # ---- nodes that stop, restart or are cut off

    def resumed_after_recovery(self, names: list[str]) -> None:
        """Suspend a node while the store is down, and resume it after the recovery."""
        self._break_store(names)
        stopped = self.chance.choice(names)
        self.stop(stopped)
        self.run(self.now + 5 * SECOND, self.after_step)
        self._repair_store([name for name in names if name != stopped])
        self.run(self.now + self.chance.randrange(3, 20) * SECOND, self.after_step)
        self.resume(stopped)
        if is_down(self.node_views[stopped]):
            self.fail(f"{stopped} kept its decision from before the suspension")
        self.check_never(is_down, names, 5 * SECOND, "a resumed node brought back outdated evidence")

    def halves_cut_off(self, names: list[str]) -> None:
        """Partition the nodes in halves, with the store down for one of them."""
        broken_half = names[::2]
        working_half = names[1::2]
        self.set_cut(broken_half, working_half)
        for name in broken_half:
            self.store_states[name] = StoreState.DOWN
        detection = self.config.detection_bound(len(names), self.loss) + 4 * SECOND
        bound = detection + self.consensus_config.store_reaction_time_bound(
            self.config, len(names), self.loss
        )
        self.wait_until(is_down, broken_half, bound, "the half for which the store is down considers it down")
        self.check_never(is_down, working_half, 3 * SECOND, "the store works for this half")
        self.set_cut(broken_half, working_half, cut=False)
        # All observations count for one decision: half of the nodes that call the store report it down.
        self._set_store(StoreState.DOWN)
        self.wait_until(is_down, names, bound + 5 * SECOND, "all nodes reach one decision after the cut")
        self._repair_store(names)

    def one_way_cut(self, names: list[str]) -> None:
        """Cut off a few nodes from the others in one direction."""
        group = self.chance.sample(names, max(1, len(names) // 4))
        rest = [name for name in names if name not in group]
        inbound = self.chance.random() < 0.5
        origins, targets = (rest, group) if inbound else (group, rest)
        self.set_cut(origins, targets, both=False)
        self.run(self.now + PARTITION_DETECTED_US, self.after_step)
        self._set_store(StoreState.DOWN)
        bound = self.consensus_config.store_reaction_time_bound(self.config, len(names), self.loss) + SECOND
        self.wait_until(is_down, rest, bound, "connected nodes consider the store down")
        self.set_cut(origins, targets, both=False, cut=False)
        self.run(self.now + PARTITION_DETECTED_US, self.after_step)
        self._repair_store(names)

    def all_restarted(self, names: list[str]) -> None:
        """Restart all nodes at once while the store is down."""
        self._break_store(names)
        for name in names:
            self.kill(name)
            self.start(name)
        bound = REJOIN_US + self.consensus_config.store_reaction_time_bound(
            self.config, len(names), self.loss
        )
        self.wait_until(is_down, names, bound, "all nodes were restarted while the store is down")
        self._repair_store(names, 1)

    def rolling_restart(self, names: list[str]) -> None:
        """Restart all nodes but one, one after the other, while the store is down."""
        self._break_store(names)
        for name in names[:-1]:
            self.kill(name)
            self.run(self.now + 300_000, self.after_step)
            self.start(name)
        bound = REJOIN_US + self.consensus_config.store_reaction_time_bound(
            self.config, len(names), self.loss
        )
        self.wait_until(is_down, names, bound, "all nodes but one were restarted while the store is down")
        self._repair_store(names, 2)

    # ---- operators' overrides and delayed messages

    def overrides_on_both_sides(self, names: list[str]) -> None:
        """Issue an override on one side of a partition, and change or withdraw it on the other."""
        subject = subjects.parse_subject("source", "10.5.5.5")
        number = self.chance.randrange(10**6)
        blocked = partial(is_blocked, subject)
        if not self._override(names[0], number, subject, Restriction.BLOCKED, 90 * SECOND)["taken"]:
            self.fail("an override was not accepted")
        bound = self.bound(self.loss)
        self._timed("said", self.wait_until(blocked, names, bound, "an override reaches all nodes"), bound)
        one_side = names[::2]
        other_side = names[1::2]
        self.set_cut(one_side, other_side)
        self.run(self.now + 5 * SECOND, self.after_step)
        self._override(one_side[0], number, subject, 0, 0)
        for _ in range(self.chance.randrange(1, 3)):
            self._override(other_side[0], number, subject, Restriction.BLOCKED, 60 * SECOND)
            self.run(self.now + SECOND, self.after_step)
        self.run(self.now + 3 * SECOND + bound, self.after_step)
        self.set_cut(one_side, other_side, cut=False)
        self.run(self.now + PARTITION_DETECTED_US + bound, self.after_step)
        restrictions = {name: self.node_views[name].consensus.sources.get(subject) for name in names}
        if len(set(restrictions.values())) != 1:
            self.fail(f"nodes disagree on an override after the cut: {restrictions}")
        self._override(other_side[0], number, subject, 0, 0)
        self.wait_until(partial(self._is_unset, subject), names, bound, "a withdrawn override is removed")

    def _override(self, name: str, number: int, subject: int, value: int, span: int) -> dict:
        """Issue an operator's override at a node; the value 0 withdraws it."""
        request = messages.OverrideRequest(number, subject, value, span, "trial")
        return self.processes[name].machine.consensus_store.issue_override(self.now, request)

    @staticmethod
    def _is_unset(subject: int, view: NodeView) -> bool:
        return view.consensus.sources.get(subject) is None

    def delayed_messages(self, names: list[str]) -> None:
        """Delay messages by up to 10 s: no old observation counts as a new one, which `after_step` checks."""
        delayed = LinkRuleChanges(jitter=MAX_DELAY_US, double=0.5, swap=0.5)
        self.network.set_rule(self.now, None, None, delayed)
        self.store_states[names[0]] = StoreState.DOWN
        self.run(self.now + 15 * SECOND, self.after_step)
        self.network.set_rule(self.now, None, None, LinkRuleChanges(jitter=0, double=0.0, swap=0.0))
        self._set_store(StoreState.OK)
        self.run(self.now + 20 * SECOND, self.after_step)
        self.check_never(is_down, names, 5 * SECOND, "an outdated report counts")
