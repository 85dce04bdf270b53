"""Seeded runs of consensus rounds, on links that lose, double and swap.

Owns the choice of rounds, and that nothing is held once all is well again. A seed that fails replays
identically.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from finchcart.fault_injection.consensus.round_kinds import RoundKind, Timing
from finchcart.fault_injection.consensus.rounds import ConsensusRounds
from finchcart.fault_injection.consensus.view import holds_nothing
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.membership.config import SECOND
from finchcart.simulated_peers.store import StoreState

JOIN_US = 10 * SECOND  # all know all by then


class ConsensusFaultRun(ConsensusRounds):
    """One seed: `count` nodes play so many rounds of some kinds."""

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
        """Return the digest of all that happened; `InvariantError` where something did not hold."""
        self.start_all()
        self.run(self.now + JOIN_US, self.after_step)
        for _ in range(self.round_count):
            self.loss = self.chance.choice([0.0, 0.0, 0.1, 0.3])
            rule = LinkRuleChanges(lose=self.loss, double=self.loss, swap=self.loss)
            self.network.set_rule(self.now, None, None, rule)
            self.kind = RoundKind(self.chance.choice(self.kinds))
            self.rounds[self.kind](sorted(self.running()))
            self._recover()
        return self.trace.hexdigest()

    def _recover(self) -> None:
        """Make all well again: then nothing may be held by anybody."""
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
        within = (
            config.restriction_time
            + 2 * config.source_span
            + config.report_lifetime
            + config.max_hold_time
            + 10 * SECOND
        )
        self.wait_until(holds_nothing, self.running(), within, f"after {self.kind} nothing is held")
        self.run(self.now + config.recurrence_window, self.after_step)
        for view in self.node_views.values():
            view.store_changes.clear()


@dataclass(frozen=True)
class ConsensusSeedResult:
    """What a seed came to."""

    breach: str | None  # what did not hold
    timings: list[Timing]
    steps: int
    most_flap_changes: int


def play_seed(
    seed: int, count: int = 8, rounds: int = 3, kinds: Sequence[str] | None = None
) -> ConsensusSeedResult:
    """Play one seed."""
    run = ConsensusFaultRun(seed, count, kinds, rounds)
    breach = None
    try:
        run.play()
    except InvariantError as error:
        breach = f"{run.kind}: {error}"
    return ConsensusSeedResult(breach, run.timings, run.steps, run.most_flap_changes)
