"""The limits of a fleet, the durations by which they are shared, and the bounds that follow.

Owns the configuration of quota; filled once from the settings file, whose keys the fields are named after
(without the unit). It must never hold what is learnt while running. Times are whole microseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil
from typing import Literal

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

TICK_US = 100 * MS  # between two looks at the clock, of holders and planners
MIN_LEADER_LEASE_US = SECOND // 2  # a shorter lease can't be renewed in time
MIN_ROUNDS_PER_LEASE = 3  # so that two lost requests cost a holder nothing
MIN_SLACKS_PER_LEASE = 4
ELECTION_RETRIES = 10  # of one leader lease
EXPECTED_ELECTION_RETRIES = 4  # until one is elected, where a majority answers
REBALANCING_ROUNDS = 3  # until the others have given way and confirmed it

Counted = Literal["calls", "rpcs", "trial"]  # "trial": calls to a store that is held to be down
Unit = Literal["in_hand", "rate"]
Mode = Literal["strict", "loose"]


@dataclass(frozen=True)
class Limit:
    """A limit on the whole fleet: at most `amount` in hand at any moment, or `amount` a second and `burst` at
    once."""

    name: str
    amount: int
    floor: int = 0  # each node's own, whatever fails; of a loose limit, until the node knows others
    counts: Counted = "calls"  # to the store; or RPCs that are admitted
    per: Unit = "in_hand"
    burst: int = 0
    mode: Mode = "strict"  # never over, whoever fails; or "loose": there on every side of a partition
    method: str = ""  # of RPCs: those of this method alone
    dispatcher: str = ""  # those of this dispatcher alone
    weight: float = 1.0  # of this node, where the limit is divided

    @property
    def strict(self) -> bool:
        """Whether planners allocate it."""
        return self.mode == "strict"

    @property
    def scope(self) -> tuple[Counted, Unit, str, str]:
        """What it counts: two limits of one scope would be one limit."""
        return self.counts, self.per, self.method, self.dispatcher

    def shareable(self, max_processes: int) -> int:
        """The amount that is left to allocate besides the floors of so many processes."""
        return self.amount - self.floor * max_processes


@dataclass(frozen=True)
class QuotaConfig:
    """How the limits are shared; see docs/operate/quota.md for how to choose the values."""

    limits: tuple[Limit, ...] = ()
    planners: tuple[str, ...] = ()  # their addresses; a planner knows itself by its own
    most: int = 64  # processes of nodes at once, those that are stopped counted
    life: int = 3 * SECOND  # of a holder's lease of a part of a limit
    round: int = 500 * MS  # between two requests of a holder
    lease: int = 1_500 * MS  # of the leader: shorter than a holder's, so that the next leader renews those
    drift: float = 0.001  # the part by which any two clocks of the fleet may run apart
    step: float = 0.25  # of what is shareable: a holder's allocation rises by no more in a round
    room: float = 0.05  # of what is shareable: kept free for holders that come
    slack: int = 20 * MS  # a call is written within this after it was decided on, or not at all
    holders: int = 1024  # remembered by the leader
    over: float = 1.0  # by which part all sides of a partition together may exceed a loose limit

    @property
    def strict(self) -> tuple[Limit, ...]:
        """The limits that planners allocate."""
        return tuple(limit for limit in self.limits if limit.strict)

    @property
    def loose(self) -> tuple[Limit, ...]:
        """The limits that each node takes by its own view of the members."""
        return tuple(limit for limit in self.limits if not limit.strict)

    def timing_text(self) -> str:
        """What all planners must have alike."""
        return f"{self.life} {self.lease} {self.drift} {self.most}"

    def widened(self, duration: int) -> int:
        """The duration of a lease as its granter counts it, see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """Microseconds in which a planner that starts votes for nobody: it may have voted before."""
        return self.widened(self.lease)

    @property
    def takeover_wait(self) -> int:
        """Microseconds in which a new leader gives nothing new: until any earlier holder's lease is over."""
        return self.widened(self.life)

    @property
    def election_retry(self) -> int:
        """Microseconds between two candidatures, at least."""
        return self.lease // ELECTION_RETRIES

    def fallback_bound(self) -> int:
        """Microseconds from the loss of all planners until a node is down to its floor."""
        return self.widened(self.life) + TICK_US

    def recovery_bound(self) -> int:
        """Microseconds from contact with a majority of restarted planners until limits are shared again.

        The sum of the planners' quiet period, an election in a few tries and the new leader's wait; then each
        round gives a step more.
        """
        election = EXPECTED_ELECTION_RETRIES * self.election_retry
        return self.startup_quiet_period + election + self.takeover_wait + self.round

    def rebalancing_bound(self) -> int:
        """Microseconds from a jump of demand at one holder to its whole allocation, where all answer.

        The others learn that they have to give way with their next request and confirm it with the one after;
        then the allocation rises step by step.
        """
        return REBALANCING_ROUNDS * self.round + ceil(1 / self.step) * self.round

    def staleness_bound(self) -> int:
        """Microseconds: the oldest grant that a holder acts on."""
        return self.life

    def strict_overshoot_bound(self, stopped: int) -> int:
        """Calls beyond a strict limit, at most.

        Arguments:
            stopped: processes stopped between their last look at the clock and the write; one call for each.
        """
        return stopped

    def overshoot_duration_bound(self) -> int:
        """Microseconds that such a call is in hand, once written: its time limit is never longer."""
        return self.life

    def window_bound(self, limit: Limit, window: int) -> int:
        """The most of a strict rate in any `window` of microseconds.

        Calls are written up to `slack` after they were counted, by clocks that may be fast by the drift.
        """
        return limit.burst + ceil(limit.amount * (window + self.slack) * (1 + self.drift) / SECOND)

    def partition_allowance(self, limit: Limit, seen: int, known: int) -> int:
        """What one side of a partition may use of a loose limit.

        However the fleet is partitioned, the allowances of all sides together are no more than (1 + over) of
        the limit.

        Arguments:
            limit: the loose limit.
            seen: members of this side.
            known: members of the fleet, those lately failed counted.
        """
        return int(limit.amount * min(1.0, (1 + self.over) * seen / max(1, known)))

    def loose_overshoot_bound(self, limit: Limit, known: int, joined: int = 0) -> int:
        """Beyond a loose limit, of all sides of any partition together, at most.

        Arguments:
            limit: the loose limit.
            known: members before the partition.
            joined: members on one side since, which the others don't know.
        """
        unknown = (1 + self.over) * joined / max(1, known + joined)
        # Parts are whole numbers, which may be rounded up at each member.
        rounding = 0 if limit.per == "rate" else min(known + joined - 1, limit.amount)
        return ceil(limit.amount * (self.over + unknown)) + rounding


def config_errors(config: QuotaConfig) -> Iterator[FieldProblem]:
    """What cannot hold its own bounds."""
    for index, limit in enumerate(config.limits):
        yield from _limit_errors(f"limits.{index}", limit, config.most)
    if len({limit.name for limit in config.limits}) < len(config.limits):
        yield FieldProblem("limits", "two have one name")
    if len({limit.scope for limit in config.limits}) < len(config.limits):
        yield FieldProblem("limits", "two limit the same: one limit holds it")
    if config.strict:
        yield from leases.group_size_problems("planners", config.planners)
    yield from leases.duplicate_problems("planners", config.planners)
    yield from _timing_errors(config)


def _limit_errors(path: str, limit: Limit, max_processes: int) -> Iterator[FieldProblem]:
    if limit.strict and limit.counts == "rpcs" and limit.per == "in_hand":
        yield FieldProblem(
            f"{path}.mode",
            "an RPC in hand can't be ended with a grant, so this can't be strict: loose, or a rate",
        )
    if limit.per == "rate" and limit.burst < max_processes:
        yield FieldProblem(
            f"{path}.burst",
            f"{limit.burst} is less than most = {max_processes}: each process has one of it, or could never "
            "use its part",
        )
    if limit.counts == "calls" and (limit.method or limit.dispatcher):
        yield FieldProblem(path, "method and dispatcher are of RPCs: counts has to be rpcs")
    floors = limit.floor * max_processes
    if floors > limit.amount:
        yield FieldProblem(
            f"{path}.floor",
            f"{limit.floor} x {max_processes} (most) = {floors} is more than the limit of {limit.amount}",
        )


def _timing_errors(config: QuotaConfig) -> Iterator[FieldProblem]:
    life_ms = config.life // MS
    if config.life < MIN_ROUNDS_PER_LEASE * config.round:
        yield FieldProblem(
            "life_ms",
            f"{life_ms} ms is less than 3 x round_ms = {3 * config.round // MS} ms: two lost asks would cost "
            "a holder its part",
        )
    if config.lease < MIN_LEADER_LEASE_US:
        yield FieldProblem(
            "lease_ms",
            f"{config.lease // MS} ms is too short to be renewed in time: at least 500 ms",
        )
    if config.slack * MIN_SLACKS_PER_LEASE > config.life:
        yield FieldProblem(
            "slack_ms", f"{config.slack // MS} ms is more than a quarter of life_ms, {life_ms} ms"
        )
