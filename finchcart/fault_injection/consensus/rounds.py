"""Rounds of what may happen to nodes that share consensus, and what each must then hold.

Owns the choice of whom a round disturbs, and the expectations. Each round begins with all nodes well and
holding nothing; who plays it brings that back.
"""

from collections.abc import Collection
from functools import partial

from finchcart.consensus import messages, subjects
from finchcart.consensus.subjects import Restriction, StoreHealth
from finchcart.fault_injection.consensus.round_kinds import RoundKind, Timing
from finchcart.fault_injection.consensus.simulation import NEVER_POLL_US, ConsensusSimulation
from finchcart.fault_injection.consensus.view import (
    NodeView,
    holds_itself_out,
    is_blocked,
    is_down,
    is_restricted,
    is_working,
)
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.membership.config import SECOND
from finchcart.simulated_peers.store import StoreState

QUIET_US = 12 * SECOND  # in which nothing may be held
APART_US = 6 * SECOND  # by then those who are cut off from each other know it
RESTARTED_US = 8 * SECOND  # by then all know each other again
FLOOD_RATE = 40  # bad messages a second
MANY_SOURCES = 5000
FLAPS = 6
FLAP_US = 2 * SECOND
MOST_FLAP_CHANGES = 8
LOSSY = 0.3
LEVEL_ROUNDING = 0.026
LATEST_US = 10_000_000


class ConsensusRounds(ConsensusSimulation):
    """The rounds; `names` are the nodes that run, in order."""

    def __init__(self, count: int, seed: int, **more: object) -> None:
        super().__init__(count, seed, **more)
        self.loss = 0.0
        self.kind = RoundKind.STORE_DOWN
        self.timings: list[Timing] = []
        self.most_flap_changes = 0
        self.rounds = {
            RoundKind.STORE_DOWN: self.store_down,
            RoundKind.ONE_ZONE: self.store_down_for_a_zone,
            RoundKind.ONE_NODE: self.store_down_for_a_node,
            RoundKind.SLOW_FOR_HALF: self.store_slow_for_half,
            RoundKind.FLAPS: self.store_flaps,
            RoundKind.FLOOD: self.source_floods,
            RoundKind.MANY_SOURCES: self.many_sources_flood,
            RoundKind.FEW_LIE: self.few_faulty_reporters,
            RoundKind.THIRD_LIES: self.third_of_nodes_faulty,
            RoundKind.RESUMED: self.resumed_after_recovery,
            RoundKind.HALVES: self.halves_cut_off,
            RoundKind.ONE_WAY_CUT: self.one_way_cut,
            RoundKind.ALL_RESTARTED: self.all_restarted,
            RoundKind.ROLLING_RESTART: self.rolling_restart,
            RoundKind.OVERRIDES: self.overrides_on_both_sides,
            RoundKind.DELAYED: self.delayed_messages,
            RoundKind.FAILING_RUNS: self.nodes_fail_runs,
            RoundKind.SHED_LEVEL: self.shed_level,
        }

    # ---- what rounds share

    def _timed(self, event: str, took: int, bound: int) -> None:
        self.timings.append(Timing(self.kind, event, took, bound))

    def _set_store(self, state: StoreState) -> None:
        self.store_states = dict.fromkeys(self.store_states, state)

    def _break_store(self, names: Collection[str]) -> None:
        """Break the store for all; these nodes must hold it to be down in time."""
        self._set_store(StoreState.DOWN)
        bound = self.consensus_config.store_reaction_time_bound(self.config, len(names), self.loss)
        self._timed("in", self.wait_until(is_down, names, bound, "the store is down"), bound)

    def _repair_store(self, names: Collection[str], restarts: int = 0) -> None:
        """Repair the store for all; these nodes must hold it to work in time."""
        self._set_store(StoreState.OK)
        bound = self.consensus_config.store_recovery_time_bound(self.config, len(names), restarts, self.loss)
        self._timed("out", self.wait_until(is_working, names, bound, "the store is back"), bound)

    def _innocent_is_restricted(self, names: Collection[str]) -> bool:
        return any(is_restricted(self.innocent, self.node_views[name]) for name in names)

    # ---- the store

    def store_down(self, names: list[str]) -> None:
        """Break the store for all for a while: few probe calls, and no flapping."""
        self._break_store(names)
        probes_before = self.probe_calls
        began = self.now
        self.run(self.now + self.chance.randrange(3, 15) * SECOND, self.after_step)
        looks = (self.now - began) / self.consensus_config.evidence_interval + 2
        probes = self.probe_calls - probes_before
        if self.loss == 0 and probes > self.consensus_config.probe_calls * looks:
            self.fail(f"{probes} trial calls in {looks:.0f} looks")
        self._repair_store(names)
        if self.loss < LOSSY:
            for name in names:
                changes = self.node_views[name].store_changes
                if [value for _, value in changes] not in (
                    [StoreHealth.DOWN, StoreHealth.WORKING],
                    [StoreHealth.SLOW, StoreHealth.DOWN, StoreHealth.WORKING],
                ):
                    self.fail(f"{name} changed its mind: {changes}")

    def store_down_for_a_zone(self, names: list[str]) -> None:
        """Break the store for one zone alone: no node may hold it to be down."""
        for name in names:
            if int(name[1:]) % 3 == 1:
                self.store_states[name] = StoreState.DOWN
        self.never(is_down, names, QUIET_US, "the store is down for one zone alone")

    def store_down_for_a_node(self, names: list[str]) -> None:
        """Break the store for one node alone: no node may hold it to be down."""
        self.store_states[self.chance.choice(names)] = StoreState.DOWN
        self.never(is_down, names, QUIET_US, "the store is down for one node alone")

    def store_slow_for_half(self, names: list[str]) -> None:
        """Slow the store for half of the nodes: no node may hold it to be down."""
        for name in names[::2]:
            self.store_states[name] = StoreState.SLOW
        self.never(is_down, names, QUIET_US, "the store is slow for half")

    def store_flaps(self, names: list[str]) -> None:
        """Let the store flap: consensus must change less often."""
        for _ in range(FLAPS):
            self._set_store(StoreState.DOWN)
            self.run(self.now + FLAP_US, self.after_step)
            self._set_store(StoreState.OK)
            self.run(self.now + FLAP_US, self.after_step)
        most = max(len(self.node_views[name].store_changes) for name in names)
        self.most_flap_changes = max(self.most_flap_changes, most)
        if most > MOST_FLAP_CHANGES:
            self.fail(f"24 s of flaps of 2 s: {most} changes of verdict")

    # ---- sources

    def source_floods(self, names: list[str]) -> None:
        """Let a source flood one node after the other; it is blocked once enough have reported it."""
        subject = subjects.parse_subject("source", "10.1.2.3")
        blocked = partial(is_blocked, subject)
        needed = self.consensus_config.required_reports(len(names))
        for number, name in enumerate(self.chance.sample(names, needed)):
            self.floods = {subject: (FLOOD_RATE, {name})}
            if number < needed - 1:
                self.never(blocked, names, SECOND, "too few saw it")
        bound = self.consensus_config.max_bad_messages * SECOND // FLOOD_RATE + self.bound(self.loss)
        self._timed("out", self.wait_until(blocked, names, bound, "a source floods"), bound)
        self.floods = {}
        if self._innocent_is_restricted(names):
            self.fail("another source is shut out")

    def many_sources_flood(self, names: list[str]) -> None:
        """Let thousands of sources flood: tables stay bounded, and no other source is blocked."""
        rates = self.chance.choices([4, 4, FLOOD_RATE], k=MANY_SOURCES)
        self.floods = {
            subjects.parse_subject("source", f"10.2.{number // 250}.{number % 250}"): (rate, set(names))
            for number, rate in enumerate(rates)
        }
        self.never(partial(is_restricted, self.innocent), names, 3 * SECOND, "it did nothing")
        self.floods = {}

    # ---- nodes that report what is not so, fail or shed

    def _report_falsely(self, names: list[str], count: int) -> list[str]:
        """Let so many nodes report what is not so; return the others, who must not be moved."""

        def is_moved(view: NodeView) -> bool:
            return is_down(view) or view.consensus.minimum_level > 0

        self.faulty_reporters = set(self.chance.sample(names, count))
        honest = [name for name in names if name not in self.faulty_reporters]
        self.never(is_moved, honest, QUIET_US, f"{count} of {len(names)} report what is not so")
        return honest

    def few_faulty_reporters(self, names: list[str]) -> None:
        """Let fewer nodes report what is not so than are needed for any verdict."""
        needed = self.consensus_config.required_reports(len(names))
        honest = self._report_falsely(names, self.chance.randrange(1, max(2, needed)))
        if self._innocent_is_restricted(honest):
            self.fail("faulty reporters shut a source out")

    def third_of_nodes_faulty(self, names: list[str]) -> None:
        """Let a third report what is not so: it can block a source, as documented, and nothing else."""
        self._report_falsely(names, len(names) // 3)

    def nodes_fail_runs(self, names: list[str]) -> None:
        """Let some nodes fail their runs: they eject themselves, up to the largest fraction at once."""
        most = int(self.consensus_config.max_ejected_fraction * len(names))
        count = self.chance.randrange(1, max(2, len(names) // 2))
        self.failing = set(self.chance.sample(names, count))
        if count <= most:
            bound = (
                self.consensus_config.observation_span + 2 * self.bound(self.loss) + self.config.period * 2
            )
            took = self.wait_until(holds_itself_out, self.failing, bound, "it fails its runs")
            self._timed("in", took, bound)
        end = self.now + 10 * SECOND
        while self.now < end:
            self.run(self.now + NEVER_POLL_US, self.after_step)
            out = [name for name in names if holds_itself_out(self.node_views[name])]
            if len(out) > most or set(out) - self.failing:
                self.fail(f"{out} are out of {sorted(self.failing)}, {most} at most")
        self.failing = set()

    def shed_level(self, names: list[str]) -> None:
        """Let most nodes shed less critical RPCs: all reach one level, up to its step."""
        level = self.chance.choice([0.3, 0.5, 0.8])
        for name in names[: len(names) // 2 + 2]:
            self.levels[name] = level
        least = level - self.consensus_config.level_step - LEVEL_ROUNDING

        def is_reached(view: NodeView) -> bool:
            return view.consensus.minimum_level >= least

        bound = self.bound(self.loss) + 2 * self.config.period
        self._timed("in", self.wait_until(is_reached, names, bound, "one level"), bound)
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
            self.fail(f"{stopped} goes on with the verdict of before")
        self.never(is_down, names, 5 * SECOND, "it brought back an old opinion")

    def halves_cut_off(self, names: list[str]) -> None:
        """Partition the nodes in halves, with the store down for one of them."""
        broken = names[::2]
        working = names[1::2]
        self.set_cut(broken, working)
        for name in broken:
            self.store_states[name] = StoreState.DOWN
        apart = self.config.detection_bound(len(names), self.loss) + 4 * SECOND
        bound = apart + self.consensus_config.store_reaction_time_bound(self.config, len(names), self.loss)
        self.wait_until(is_down, broken, bound, "the half for which it is down")
        self.never(is_down, working, 3 * SECOND, "the half for which it works")
        self.set_cut(broken, working, cut=False)
        # One rule: by all observations. Half of those who call it say that it is down.
        self._set_store(StoreState.DOWN)
        self.wait_until(is_down, names, bound + 5 * SECOND, "one verdict after the cut")
        self._repair_store(names)

    def one_way_cut(self, names: list[str]) -> None:
        """Cut a few nodes off from the others in one direction."""
        some = self.chance.sample(names, max(1, len(names) // 4))
        rest = [name for name in names if name not in some]
        inbound = self.chance.random() < 0.5
        origins, targets = (rest, some) if inbound else (some, rest)
        self.set_cut(origins, targets, both=False)
        self.run(self.now + APART_US, self.after_step)
        self._set_store(StoreState.DOWN)
        bound = self.consensus_config.store_reaction_time_bound(self.config, len(names), self.loss) + SECOND
        self.wait_until(is_down, rest, bound, "the connected ones")
        self.set_cut(origins, targets, both=False, cut=False)
        self.run(self.now + APART_US, self.after_step)
        self._repair_store(names)

    def all_restarted(self, names: list[str]) -> None:
        """Restart all nodes at once while the store is down."""
        self._break_store(names)
        for name in names:
            self.kill(name)
            self.start(name)
        bound = RESTARTED_US + self.consensus_config.store_reaction_time_bound(
            self.config, len(names), self.loss
        )
        self.wait_until(is_down, names, bound, "all started anew while it is down")
        self._repair_store(names, 1)

    def rolling_restart(self, names: list[str]) -> None:
        """Restart all nodes but one, one after the other, while the store is down."""
        self._break_store(names)
        for name in names[:-1]:
            self.kill(name)
            self.run(self.now + 300_000, self.after_step)
            self.start(name)
        bound = RESTARTED_US + self.consensus_config.store_reaction_time_bound(
            self.config, len(names), self.loss
        )
        self.wait_until(is_down, names, bound, "nine in ten replaced while it is down")
        self._repair_store(names, 2)

    # ---- operators' overrides and late messages

    def overrides_on_both_sides(self, names: list[str]) -> None:
        """Issue an override on one side of a partition, and change or withdraw it on the other."""
        subject = subjects.parse_subject("source", "10.5.5.5")
        number = self.chance.randrange(10**6)
        blocked = partial(is_blocked, subject)
        if not self._override(names[0], number, subject, Restriction.BLOCKED, 90 * SECOND)["taken"]:
            self.fail("a word is not taken")
        bound = self.bound(self.loss)
        self._timed("said", self.wait_until(blocked, names, bound, "a word"), bound)
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
        self.run(self.now + APART_US + bound, self.after_step)
        held = {name: self.node_views[name].consensus.sources.get(subject) for name in names}
        if len(set(held.values())) != 1:
            self.fail(f"two words after the cut: {held}")
        self._override(other_side[0], number, subject, 0, 0)
        self.wait_until(partial(self._is_unset, subject), names, bound, "taken back")

    def _override(self, name: str, number: int, subject: int, value: int, span: int) -> dict:
        """Issue an operator's override at a node; withdraw it where the value is 0."""
        request = messages.OverrideRequest(number, subject, value, span, "trial")
        return self.processes[name].machine.consensus_store.issue_override(self.now, request)

    @staticmethod
    def _is_unset(subject: int, view: NodeView) -> bool:
        return view.consensus.sources.get(subject) is None

    def delayed_messages(self, names: list[str]) -> None:
        """Delay messages by up to 10 s: no old observation passes for a new one (see `after_step`)."""
        delayed = LinkRuleChanges(jitter=LATEST_US, double=0.5, swap=0.5)
        self.network.set_rule(self.now, None, None, delayed)
        self.store_states[names[0]] = StoreState.DOWN
        self.run(self.now + 15 * SECOND, self.after_step)
        self.network.set_rule(self.now, None, None, LinkRuleChanges(jitter=0, double=0.0, swap=0.0))
        self._set_store(StoreState.OK)
        self.run(self.now + 20 * SECOND, self.after_step)
        self.never(is_down, names, 5 * SECOND, "an old opinion")
