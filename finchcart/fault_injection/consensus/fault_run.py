"""Seeded runs of consensus rounds, on links that lose, duplicate and reorder messages.

This module owns the choice of rounds and the check that no node keeps a decision after the faults of a round
have ended. A run depends only on its seed, so a seed that fails can be replayed identically.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from finchcart.fault_injection.consensus.round_kinds import RoundKind, Timing
from finchcart.fault_injection.consensus.rounds import ConsensusRounds
from finchcart.fault_injection.consensus.view import has_no_decisions
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.membership.config import SECOND
from finchcart.simulated_peers.store import StoreState

JOIN_US = 10 * SECOND  # every node knows all others by this time


class ConsensusFaultRun(ConsensusRounds):
    """A run of one seed: `count` nodes go through `rounds` rounds, of kinds drawn from `kinds`."""

    KINDS = tuple(RoundKind)

    def __init__(
        self,
        seed: int,
        count: int = 8,
        kinds: Sequence[str] | None = None,
        rounds: int = 3,
        **more: object,
    ) -> None:
        super().__init__(count, seed, **more)
        self.kinds = kinds or self.KINDS
        self.round_count = rounds

    def play(self) -> str:
        """Run the rounds; return the digest of all effects, or raise `InvariantError` on a violation."""
        self.start_all()
        self.run(self.now + JOIN_US, self.after_step)
        for _ in range(self.round_count):
            self.loss = self.chance.choice([0.0, 0.0, 0.1, 0.3])
            rule = LinkRuleChanges(lose=self.loss, double=self.loss, swap=self.loss)
            self.network.set_rule(self.now, None, None, rule)
            self.kind = RoundKind(self.chance.choice(self.kinds))
            self.rounds[self.kind](sorted(self.running()))
            self._restore()
        return self.trace.hexdigest()

    def _restore(self) -> None:
        """End all faults of the round, and check that every node then drops its decisions."""
        self.network.clear_rules(self.now)
        self._set_store(StoreState.OK)
        self.floods = {}
        self.failing = set()
        self.levels = {}
        self.faulty_reporters = set()
        for name, process in self.processes.items():
            if process.machine is None:
                self.start(name)
            elif process.stopped:
                self.resume(name)
        config = self.consensus_config
        timeout = (
            config.restriction_time
            + 2 * config.source_span
            + config.report_lifetime
            + config.max_hold_time
            + 10 * SECOND
        )
        self.wait_until(
            has_no_decisions, self.running(), timeout, f"no node keeps a decision after round {self.kind}"
        )
        self.run(self.now + config.recurrence_window, self.after_step)
        for view in self.node_views.values():
            view.store_changes.clear()


@dataclass(frozen=True)
class ConsensusSeedResult:
    """The result of a run of one seed."""

    breach: str | None  # the invariant that was violated
    timings: list[Timing]
    steps: int
    most_flap_changes: int


def play_seed(
    seed: int, count: int = 8, rounds: int = 3, kinds: Sequence[str] | None = None
) -> ConsensusSeedResult:
    """Play the fault run that `seed` determines, and return its result."""
    run = ConsensusFaultRun(seed, count, kinds, rounds)
    breach = None
    try:
        run.play()
    except InvariantError as error:
        breach = f"{run.kind}: {error}"
    return ConsensusSeedResult(breach, run.timings, run.steps, run.most_flap_changes)
