"""The limits of a fleet, the durations by which they are divided, and the bounds that follow from both.

The module owns the configuration of quota. Its fields have descriptive names; `FIELDS_BY_SETTING` maps the
keys of the settings file to them. It must not contain state that changes at run time. Times are whole
microseconds.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any, Literal

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

TICK_US = 100 * MS  # interval between two ticks of a lease holder or a planner
MIN_LEADER_LEASE_US = SECOND // 2  # a shorter lease can't be renewed in time
MIN_REQUESTS_PER_LEASE = 3  # a holder keeps its lease if two requests in a row are lost
MIN_SLACKS_PER_LEASE = 4
ELECTION_RETRIES_PER_LEASE = 10
EXPECTED_ELECTION_RETRIES = 4  # retry intervals until a leader is elected, if a majority answers
REBALANCING_INTERVALS = 3  # request intervals until the other holders have confirmed smaller leases

# Key of a setting (without its unit) -> name of the field, where the two differ.
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

    The limit allows at most `amount` calls or RPCs in progress at any moment; or, if `per` is "rate",
    `amount` a second and `burst` at once.
    """

    name: str
    amount: int
    floor: int = 0  # what a node may use without a lease, or of a loose limit before it knows the other nodes
    counts: Counted = "calls"  # calls to the store, or admitted RPCs
    per: Unit = "in_hand"
    burst: int = 0
    mode: Mode = "strict"  # "strict": holds in any failure; "loose": available on each side of a partition
    method: str = ""  # if set, only RPCs of this method count
    dispatcher: str = ""  # if set, only RPCs of this dispatcher count
    weight: float = 1.0  # weight of this node in the division of the limit

    @property
    def is_strict(self) -> bool:
        """Whether the planners allocate this limit."""
        return self.mode == "strict"

    @property
    def scope(self) -> tuple[Counted, Unit, str, str]:
        """What this limit counts; two limits of the same scope are a mistake in the configuration."""
        return self.counts, self.per, self.method, self.dispatcher

    def shareable(self, max_processes: int) -> int:
        """Return the amount that remains to be allocated beyond the floors of `max_processes` processes."""
        return self.amount - self.floor * max_processes


@dataclass(frozen=True)
class QuotaConfig:
    """How nodes share the limits; see docs/operate/quota.md for how to choose the values."""

    limits: tuple[Limit, ...] = ()
    planners: tuple[str, ...] = ()  # addresses of the planners; a planner finds its own among them
    max_processes: int = 64  # greatest number of processes of nodes at once, suspended ones included
    lease_duration: int = 3 * SECOND  # duration of a holder's lease of a limit
    request_interval: int = 500 * MS  # interval between two lease requests of a holder
    leader_lease_duration: int = 1_500 * MS  # below `lease_duration`, so that a new leader can renew leases
    drift: float = 0.001  # greatest relative difference in rate between any two clocks of the fleet
    max_step: float = 0.25  # fraction of the shareable amount by which one request may raise an allocation
    reserve: float = 0.05  # fraction of the shareable amount that is kept free for new holders
    write_slack: int = 20 * MS  # a call is written within this time of the decision to make it, or not at all
    max_holders: int = 1024  # greatest number of holders that the leader records
    partition_overshoot: float = 1.0  # fraction by which a partitioned fleet may exceed a loose limit

    @classmethod
    def from_settings(
        cls, limits: tuple[Limit, ...], planners: tuple[str, ...], settings: Mapping[str, Any]
    ) -> "QuotaConfig":
        """Return the configuration from settings by key (without the unit); times are microseconds."""
        fields = {FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()}
        return cls(limits, planners, **fields)

    @property
    def strict_limits(self) -> tuple[Limit, ...]:
        """The limits that planners allocate."""
        return tuple(limit for limit in self.limits if limit.is_strict)

    @property
    def loose_limits(self) -> tuple[Limit, ...]:
        """The limits that each node allocates to itself by its own view of the members."""
        return tuple(limit for limit in self.limits if not limit.is_strict)

    def timing_text(self) -> str:
        """Return, as text, the timing settings that must be equal in all planners."""
        return f"{self.lease_duration} {self.leader_lease_duration} {self.drift} {self.max_processes}"

    def widened(self, duration: int) -> int:
        """Return the duration of a lease, widened for clock drift; see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """The microseconds for which a planner doesn't vote after its start.

        An earlier process at its address may have voted for a lease that this process doesn't know.
        """
        return self.widened(self.leader_lease_duration)

    @property
    def takeover_wait(self) -> int:
        """The microseconds for which a new leader only renews leases: earlier leases may last so long."""
        return self.widened(self.lease_duration)

    @property
    def election_retry(self) -> int:
        """The least number of microseconds between two candidacies of a planner."""
        return self.leader_lease_duration // ELECTION_RETRIES_PER_LEASE

    def fallback_bound(self) -> int:
        """Return the microseconds from the loss of all planners until each node uses only its floor."""
        return self.widened(self.lease_duration) + TICK_US

    def recovery_bound(self) -> int:
        """Return the microseconds until restarted planners in contact with a majority allocate again.

        The bound is the sum of the planners' quiet period, an election of a few attempts, the new leader's
        wait and one request interval. After that, allocations rise by one step with each request.
        """
        election = EXPECTED_ELECTION_RETRIES * self.election_retry
        return self.startup_quiet_period + election + self.takeover_wait + self.request_interval

    def rebalancing_bound(self) -> int:
        """Return the microseconds from a sudden rise of a holder's demand to its full allocation.

        The bound holds if all holders and planners answer. The other holders receive smaller leases with
        their next request and confirm them with the one after it; then the allocation rises step by step.
        """
        return REBALANCING_INTERVALS * self.request_interval + ceil(1 / self.max_step) * self.request_interval

    def staleness_bound(self) -> int:
        """Return the greatest age, in microseconds, of a lease that a holder still uses."""
        return self.lease_duration

    def strict_overshoot_bound(self, stopped: int) -> int:
        """Return the greatest number of calls beyond a strict limit.

        Arguments:
            stopped: number of processes suspended between their check of the clock and the write of a call;
                each of them may write one call too late.
        """
        return stopped

    def overshoot_duration_bound(self) -> int:
        """Return the longest time limit, in microseconds, of a call that exceeds a strict limit."""
        return self.lease_duration

    def window_bound(self, limit: Limit, window: int) -> int:
        """Return the greatest number that a strict rate allows in any `window` of microseconds.

        Calls are written up to `write_slack` after they were counted, by clocks that may be fast by `drift`.
        """
        return limit.burst + ceil(limit.amount * (window + self.write_slack) * (1 + self.drift) / SECOND)

    def partition_allowance(self, limit: Limit, seen: int, known: int) -> int:
        """Return what one side of a partition may use of a loose limit.

        However the fleet is partitioned, the allowances of all sides together are at most
        (1 + `partition_overshoot`) times the limit.

        Arguments:
            limit: the loose limit.
            seen: number of members on this side.
            known: number of members of the fleet, including members that failed lately.
        """
        return int(limit.amount * min(1.0, (1 + self.partition_overshoot) * seen / max(1, known)))

    def loose_overshoot_bound(self, limit: Limit, known: int, joined: int = 0) -> int:
        """Return the greatest amount by which all sides of a partition together exceed a loose limit.

        Arguments:
            limit: the loose limit.
            known: number of members before the partition.
            joined: number of members that joined one side since, and that the other sides do not know.
        """
        unknown = (1 + self.partition_overshoot) * joined / max(1, known + joined)
        # The allocation of each member is a whole number and may have been rounded up.
        rounding = 0 if limit.per == "rate" else min(known + joined - 1, limit.amount)
        return ceil(limit.amount * (self.partition_overshoot + unknown)) + rounding


def config_errors(config: QuotaConfig) -> Iterator[FieldProblem]:
    """Yield a problem for each setting with which the bounds of this module would not hold."""
    for index, limit in enumerate(config.limits):
        yield from _limit_errors(f"limits.{index}", limit, config.max_processes)
    if len({limit.name for limit in config.limits}) < len(config.limits):
        yield FieldProblem("limits", "two limits have the same name")
    if len({limit.scope for limit in config.limits}) < len(config.limits):
        yield FieldProblem(
            "limits", "two limits of one kind count the same calls or RPCs: merge them into one"
        )
    if config.strict_limits:
        yield from leases.group_size_problems("planners", config.planners)
    yield from leases.duplicate_problems("planners", config.planners)
    yield from _timing_errors(config)


def _limit_errors(path: str, limit: Limit, max_processes: int) -> Iterator[FieldProblem]:
    if limit.is_strict and limit.counts == "rpcs" and limit.per == "in_hand":
        yield FieldProblem(
            f"{path}.mode",
            "an RPC in progress can't be ended when a lease expires, so this limit can't be strict: "
            "set the mode to loose, or limit the rate",
        )
    if limit.per == "rate" and limit.burst < max_processes:
        yield FieldProblem(
            f"{path}.burst",
            f"{limit.burst} is less than most = {max_processes}: each process needs a burst of at least one",
        )
    if limit.counts == "calls" and (limit.method or limit.dispatcher):
        yield FieldProblem(path, "method and dispatcher apply only to RPCs: counts has to be rpcs")
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
            f"{life_ms} ms is less than 3 x round_ms = {min_life_ms} ms: two lost requests would "
            "cost a holder its lease",
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
