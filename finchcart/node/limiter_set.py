"""All limiters of a node, and the recovery ramp of a store that consensus declared to be down.

`LimiterSet` owns the limiters and determines which of them count a call or an RPC. It must never decide which
call is made or which RPC is shed: the decision module decides that, by the reported capacity.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from finchcart.decisions.arrival import FleetQuota
from finchcart.node.limiters import (
    CallConcurrencyLimiter,
    CallPermit,
    CallsInFlight,
    Limiter,
    ProbeLimiter,
    RateLimiter,
    RpcConcurrencyLimiter,
    Usage,
)
from finchcart.quota.limits import Limit

RECOVERY_STEPS = 12  # doublings of the call capacity, after which the recovery ramp ends

RpcLimiter = RateLimiter | RpcConcurrencyLimiter


class LimitedCall(NamedTuple):
    """The permission of all limiters for one more call."""

    leased: bool  # whether the call uses the amount beyond the floor of the fleet limit
    time_limit_us: int | None  # upper bound of the call's timeout; None: no such bound
    write_by: int | None  # latest time to write the call to its connection, on the boot clock; None: no limit


class LimiterSet:
    """The limiters of a node, by what they count.

    `slack_us`, `processes`: see `Limiter`. Bounds: one limiter for each limit in the settings at the start of
    the process; limits that are added later take effect at the next start.
    """

    def __init__(self, limits: Iterable[Limit], slack_us: int, processes: int) -> None:
        self.slack_us = slack_us
        self.now_us = 0
        self.all: list[Limiter] = []
        self.calls: CallConcurrencyLimiter | None = None
        self.calls_rate: RateLimiter | None = None
        self.probe: ProbeLimiter | None = None
        self.rpcs: list[RpcLimiter] = []
        # Set by the host from the settings of finchcart/consensus. The call capacity doubles after each
        # recovery step; a probe call is abandoned after its timeout.
        self.recovery_step_us = 0
        self.probe_timeout_us = 0
        self._recovering_since: int | None = None
        for limit in limits:
            self._add(limit, slack_us, processes)
        self.by_name = {limiter.name: limiter for limiter in self.all}

    def _add(self, limit: Limit, slack_us: int, processes: int) -> None:
        is_rate = limit.per == "rate"
        if limit.counts == "trial":
            self.probe = ProbeLimiter(limit, slack_us, processes)
            self.all.append(self.probe)
        elif limit.counts == "rpcs":
            kind: type[RpcLimiter] = RateLimiter if is_rate else RpcConcurrencyLimiter
            limiter = kind(limit, slack_us, processes)
            self.rpcs.append(limiter)
            self.all.append(limiter)
        elif is_rate:
            self.calls_rate = RateLimiter(limit, slack_us, processes)
            self.all.append(self.calls_rate)
        else:
            self.calls = CallConcurrencyLimiter(limit, slack_us, processes)
            self.all.append(self.calls)

    def set_clock(self, now_us: int) -> None:
        """Set the boot clock of this turn, in microseconds."""
        self.now_us = now_us
        for limiter in self.all:
            limiter.now_us = now_us

    def set_allowance(self, name: str, floor: int | None, amount: int, until: int) -> None:
        """Set the allowance of this node for the named limit; an unknown name is ignored."""
        if name in self.by_name:
            self.by_name[name].set_allowance(floor, amount, until)

    # ---- Probe calls while the consensus is that the store is down, and the recovery ramp

    @property
    def probing(self) -> bool:
        """Whether the consensus of the fleet is that the store is down, so that only probe calls are made."""
        return self.probe is not None and self.probe.probing

    def set_dependency_down(self, down: bool) -> None:
        """Apply the consensus of the fleet on whether the store is down."""
        if self.probe and self.probe.probing != down:
            self.probe.probing = down
            self._recovering_since = None if down else self.now_us

    def _recovery_capacity(self, calls: CallsInFlight) -> int | None:
        """Return how many calls the consensus allows in flight, or None without such a bound.

        While the store is down, this is the share of this node in the probe calls. Once the store is up,
        the capacity starts at 1 and doubles after each step, so that the nodes together don't overload
        the store.
        """
        if self.probe is not None and self.probe.probing:
            return self.probe.capacity(calls)
        if self._recovering_since is None:
            return None
        steps = (self.now_us - self._recovering_since) // self.recovery_step_us
        if steps > RECOVERY_STEPS:
            self._recovering_since = None
            return None
        return 1 << steps

    # ---- Calls

    def call_capacity(self, calls: CallsInFlight) -> int | None:
        """Return how many calls may be in flight until the next timer, or None if there is no bound."""
        capacities = [self._recovery_capacity(calls)]
        if self.calls:
            capacities.append(self.calls.capacity(calls))
        if self.calls_rate and not self.calls_rate.removed:
            in_flight = calls.in_flight(False) + calls.in_flight(True)
            capacities.append(in_flight + self.calls_rate.availability().available)
        return min((capacity for capacity in capacities if capacity is not None), default=None)

    def acquire_call(self, calls: CallsInFlight) -> LimitedCall | None:
        """Return the permission for one more call, or None if there is no capacity."""
        recovery_capacity = self._recovery_capacity(calls)
        if recovery_capacity is not None:
            in_flight = calls.in_flight(False) + calls.in_flight(True)
            if in_flight >= recovery_capacity:
                return None
        rate = self.calls_rate
        if rate and not rate.removed and rate.availability().available < 1:
            rate.refusals += 1
            return None
        permit = self.calls.try_acquire(calls) if self.calls else CallPermit(False, None)
        if permit is None:
            return None
        time_limit_us = permit.time_limit_us
        if self.probing:
            time_limit_us = min(time_limit_us or self.probe_timeout_us, self.probe_timeout_us)
        if rate:
            rate.try_acquire()
        strict = permit.leased or (rate is not None and rate.limit.is_strict)
        return LimitedCall(permit.leased, time_limit_us, self.now_us + self.slack_us if strict else None)

    # ---- RPCs

    def limiters_of(self, method: str, caller: str | int) -> list[RpcLimiter]:
        """Return the limiters that count an RPC of this method and caller."""
        return [
            limiter
            for limiter in self.rpcs
            if not limiter.removed
            and limiter.limit.method in ("", method)
            and limiter.limit.dispatcher in ("", str(caller))
        ]

    def quota(self, limiters: Sequence[RpcLimiter]) -> FleetQuota | None:
        """Record the demand of one RPC, and return its quota.

        The quota is that of the limiter which can admit the fewest RPCs; None: there are no limiters.
        """
        for limiter in limiters:
            limiter.record_demand()
        if not limiters:
            return None
        return min(_quota_of(limiter) for limiter in limiters)

    def usage(
        self, calls: CallsInFlight, waiting: int, waiting_with_priority: int
    ) -> list[tuple[str, Usage]]:
        """Return the names and usages of the limits whose usage changed; see `Limiter.usage`."""
        changed = []
        for limiter in self.all:
            usage = limiter.usage(calls, waiting, waiting_with_priority)
            if usage:
                changed.append((limiter.name, usage))
        return changed


def _quota_of(limiter: RpcLimiter) -> FleetQuota:
    available, capacity = limiter.availability()
    return FleetQuota(available, capacity, limiter.retry_after_us())
