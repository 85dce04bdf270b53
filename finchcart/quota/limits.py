"""The limits of a fleet, the durations by which they are shared, and the bounds that follow.

Owns the configuration of quota, by the names of the code; `FIELDS_BY_SETTING` has the words of the settings
file. It must never hold what is learnt while running. Times are whole microseconds.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any, Literal

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

TICK_US = 100 * MS  # between two ticks of holders and planners
MIN_LEADER_LEASE_US = SECOND // 2  # a shorter lease can't be renewed in time
MIN_REQUESTS_PER_LEASE = 3  # so that two lost requests cost a holder nothing
MIN_SLACKS_PER_LEASE = 4
ELECTION_RETRIES = 10  # of one leader lease
EXPECTED_ELECTION_RETRIES = 4  # until one is elected, where a majority answers
REBALANCING_INTERVALS = 3  # of requests, until the others use less and have confirmed it

# Key of a setting (without its unit) -> the field, where they differ.
FIELDS_BY_SETTING = {
    "most": "max_processes",
    "life": "lease_duration",
    "round": "request_interval",
    "lease": "leader_lease_duration",
    "step": "max_step",
    "room": "reserve",
    "slack": "write_slack",
    "holders": "max_holders",
    "over": "partition_overshoot",
}

Counted = Literal["calls", "rpcs", "trial"]  # "trial": probe calls to a store that is down
Unit = Literal["in_hand", "rate"]
Mode = Literal["strict", "loose"]


@dataclass(frozen=True)
class Limit:
    """A limit on the whole fleet.

    At most `amount` in progress at any moment, or `amount` a second and `burst` at once.
    """

    name: str
    amount: int
    floor: int = 0  # each node's own, whatever fails; of a loose limit, until the node knows others
    counts: Counted = "calls"  # to the store; or RPCs that are admitted
    per: Unit = "in_hand"
    burst: int = 0
    mode: Mode = "strict"  # never exceeded, whoever fails; "loose": available on each side of a partition
    method: str = ""  # of RPCs: those of this method alone
    dispatcher: str = ""  # those of this dispatcher alone
    weight: float = 1.0  # of this node, where the limit is divided

    @property
    def is_strict(self) -> bool:
        """Whether planners allocate it."""
        return self.mode == "strict"

    @property
    def scope(self) -> tuple[Counted, Unit, str, str]:
        """What it counts: two limits of one scope would be one limit."""
        return self.counts, self.per, self.method, self.dispatcher

    def shareable(self, max_processes: int) -> int:
        """Return the amount that is left to allocate besides the floors of so many processes."""
        return self.amount - self.floor * max_processes


@dataclass(frozen=True)
class QuotaConfig:
    """How the limits are shared; see docs/operate/quota.md for how to choose the values."""

    limits: tuple[Limit, ...] = ()
    planners: tuple[str, ...] = ()  # their addresses; a planner knows itself by its own
    max_processes: int = 64  # of nodes at once, suspended ones included
    lease_duration: int = 3 * SECOND  # of a part of a limit, by its holder
    request_interval: int = 500 * MS  # between two requests of a holder
    leader_lease_duration: int = 1_500 * MS  # below `lease_duration`: the next leader renews holders' leases
    drift: float = 0.001  # the part by which any two clocks of the fleet may run apart
    max_step: float = 0.25  # part of what is shareable by which an allocation rises at a request, at most
    reserve: float = 0.05  # part of what is shareable that is kept free for new holders
    write_slack: int = 20 * MS  # a call is written within this after its decision, or not at all
    max_holders: int = 1024  # recorded by the leader
    partition_overshoot: float = 1.0  # part by which all sides of a partition may exceed a loose limit

    @classmethod
    def from_settings(
        cls, limits: tuple[Limit, ...], planners: tuple[str, ...], settings: Mapping[str, Any]
    ) -> "QuotaConfig":
        """Return the configuration of settings by key (without its unit); times are microseconds."""
        fields = {FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()}
        return cls(limits, planners, **fields)

    @property
    def strict_limits(self) -> tuple[Limit, ...]:
        """The limits that planners allocate."""
        return tuple(limit for limit in self.limits if limit.is_strict)

    @property
    def loose_limits(self) -> tuple[Limit, ...]:
        """The limits that each node takes by its own view of the members."""
        return tuple(limit for limit in self.limits if not limit.is_strict)

    def timing_text(self) -> str:
        """Return what all planners must have alike, as text."""
        return f"{self.lease_duration} {self.leader_lease_duration} {self.drift} {self.max_processes}"

    def widened(self, duration: int) -> int:
        """Return the duration of a lease as its granter counts it, see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """The microseconds in which a planner that starts votes for nobody: it may have voted before."""
        return self.widened(self.leader_lease_duration)

    @property
    def takeover_wait(self) -> int:
        """The microseconds in which a new leader only renews: until any lease of an earlier term is over."""
        return self.widened(self.lease_duration)

    @property
    def election_retry(self) -> int:
        """The microseconds between two candidacies, at least."""
        return self.leader_lease_duration // ELECTION_RETRIES

    def fallback_bound(self) -> int:
        """Return the microseconds from the loss of all planners until a node is down to its floor."""
        return self.widened(self.lease_duration) + TICK_US

    def recovery_bound(self) -> int:
        """Return the microseconds until restarted planners in contact with a majority allocate again.

        The sum of the planners' quiet period, an election in a few attempts and the new leader's wait; then
        allocations rise a step with each request.
        """
        election = EXPECTED_ELECTION_RETRIES * self.election_retry
        return self.startup_quiet_period + election + self.takeover_wait + self.request_interval

    def rebalancing_bound(self) -> int:
        """Return the microseconds from a jump of a holder's demand to its full allocation, if all answer.

        The others receive smaller leases with their next request and confirm them with the one after; then
        the allocation rises step by step.
        """
        return REBALANCING_INTERVALS * self.request_interval + ceil(1 / self.max_step) * self.request_interval

    def staleness_bound(self) -> int:
        """Return the greatest age, in microseconds, of a lease that a holder acts on."""
        return self.lease_duration

    def strict_overshoot_bound(self, stopped: int) -> int:
        """Return the number of calls beyond a strict limit, at most.

        Arguments:
            stopped: processes suspended between their check of the clock and the write; one call for each.
        """
        return stopped

    def overshoot_duration_bound(self) -> int:
        """Return the microseconds that such a call lasts, once written: its time limit is never longer."""
        return self.lease_duration

    def window_bound(self, limit: Limit, window: int) -> int:
        """Return the most of a strict rate in any `window` of microseconds.

        Calls are written up to `slack` after they were counted, by clocks that may be fast by the drift.
        """
        return limit.burst + ceil(limit.amount * (window + self.write_slack) * (1 + self.drift) / SECOND)

    def partition_allowance(self, limit: Limit, seen: int, known: int) -> int:
        """Return what one side of a partition may use of a loose limit.

        However the fleet is partitioned, the allowances of all sides together are no more than (1 +
        `partition_overshoot`) of the limit.

        Arguments:
            limit: the loose limit.
            seen: members of this side.
            known: members of the fleet, those lately failed counted.
        """
        return int(limit.amount * min(1.0, (1 + self.partition_overshoot) * seen / max(1, known)))

    def loose_overshoot_bound(self, limit: Limit, known: int, joined: int = 0) -> int:
        """Return by how much all sides of a partition together exceed a loose limit, at most.

        Arguments:
            limit: the loose limit.
            known: members before the partition.
            joined: members on one side since, which the others do not know.
        """
        unknown = (1 + self.partition_overshoot) * joined / max(1, known + joined)
        # Parts are whole numbers, which may be rounded up at each member.
        rounding = 0 if limit.per == "rate" else min(known + joined - 1, limit.amount)
        return ceil(limit.amount * (self.partition_overshoot + unknown)) + rounding


def config_errors(config: QuotaConfig) -> Iterator[FieldProblem]:
    """Yield what contradicts its own bounds."""
    for index, limit in enumerate(config.limits):
        yield from _limit_errors(f"limits.{index}", limit, config.max_processes)
    if len({limit.name for limit in config.limits}) < len(config.limits):
        yield FieldProblem("limits", "two have one name")
    if len({limit.scope for limit in config.limits}) < len(config.limits):
        yield FieldProblem("limits", "two limit the same: one limit holds it")
    if config.strict_limits:
        yield from leases.group_size_problems("planners", config.planners)
    yield from leases.duplicate_problems("planners", config.planners)
    yield from _timing_errors(config)


def _limit_errors(path: str, limit: Limit, max_processes: int) -> Iterator[FieldProblem]:
    if limit.is_strict and limit.counts == "rpcs" and limit.per == "in_hand":
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
    life_ms = config.lease_duration // MS
    min_life_ms = MIN_REQUESTS_PER_LEASE * config.request_interval // MS
    if config.lease_duration < MIN_REQUESTS_PER_LEASE * config.request_interval:
        yield FieldProblem(
            "life_ms",
            f"{life_ms} ms is less than 3 x round_ms = {min_life_ms} ms: two lost asks would cost "
            "a holder its part",
        )
    if config.leader_lease_duration < MIN_LEADER_LEASE_US:
        yield FieldProblem(
            "lease_ms",
            f"{config.leader_lease_duration // MS} ms is too short to be renewed in time: at least 500 ms",
        )
    if config.write_slack * MIN_SLACKS_PER_LEASE > config.lease_duration:
        yield FieldProblem(
            "slack_ms", f"{config.write_slack // MS} ms is more than a quarter of life_ms, {life_ms} ms"
        )
