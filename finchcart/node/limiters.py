"""The limiters, each of which enforces this node's part of one limit of the fleet.

A limiter owns the allowance of this node: its floor, which never expires, and an amount beyond the floor that
expires at a time on the boot clock. Limiters don't count calls in flight; the store client does. A limiter
must never grant more than its allowance. It must never decide which call is made or which RPC is shed: the
decision module decides that, by the capacity that the limiters report.

`now_us` is the boot clock in whole microseconds, which the host sets before each turn of the event loop. The
clock of the turn itself may be set back, which would extend an allowance.
"""

from math import ceil
from typing import NamedTuple, Protocol

from finchcart.node.rpc import NodeRpc
from finchcart.quota.limits import Limit

MS = 1_000
SECOND = 1_000_000
PROBE_DEMAND_PERIOD_US = 10 * SECOND  # a node that called the store within this period requests a probe call
DEMAND_PERIOD_US = 250 * MS  # interval over which demand is measured
WRITE_MARGIN_US = 2 * MS  # time allowed, besides the slack, between the decision on a call and its write
DEMAND_HEADROOM = 1.1  # ratio of published to measured demand, so that an allowance can grow


class CallsInFlight(Protocol):
    """The interface of the store client through which limiters read the number of calls in flight."""

    def in_flight(self, leased: bool) -> int:
        """Return the number of calls in flight.

        `leased` selects either the calls beyond the floor of the fleet limit, or those within the floor.
        """


class Usage(NamedTuple):
    """The usage and demand of this node for one limit.

    The numbers cover only the part beyond the floor for a strict limit, and the total for a loose one.
    """

    in_use: int
    demand: int
    priority_demand: int


class CallPermit(NamedTuple):
    """The permission of one limiter for one more call."""

    leased: bool  # whether the call uses the amount beyond the floor
    time_limit_us: int | None  # upper bound of the call's timeout; None: no such bound


class Availability(NamedTuple):
    """The number of requests that may be admitted now, and the capacity under the present allowance."""

    available: int
    capacity: int


class Limiter:
    """The base class of all limiters.

    `limit`: see finchcart/quota/limits.py. `slack_us`: a call is written within this time after the start of
    the turn, or not at all. `processes`: the number of nodes that may run at once.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        self.limit = limit
        self.name = limit.name
        self.slack_us = slack_us
        self.processes = processes
        self.now_us = 0
        self.removed = False  # whether the limit was removed from the settings
        self.floor = limit.floor if limit.is_strict else 0
        self.amount = 0  # allowance beyond the floor
        self.until = 0  # expiry of `amount`, on the boot clock
        self.refusals = 0
        self._last_usage: Usage | None = None

    def set_allowance(self, floor: int | None, amount: int, until: int) -> None:
        """Set the allowance from now on; a floor of None means that the limit is removed."""
        if floor is None:
            self.removed = True
            return
        self.removed = False
        self.floor = floor
        self.amount = amount
        self.until = until

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return the usage to publish, or None if the usage has not changed.

        Arguments:
            calls: the source of the number of calls in flight.
            waiting: the number of runs that await a call.
            waiting_with_priority: the number of these runs whose method has priority.
        """
        raise NotImplementedError(f"{type(self).__name__}: expected an implementation of usage()")

    def _if_changed(self, usage: Usage) -> Usage | None:
        """Return the usage if it differs from the last returned one, else None."""
        if usage == self._last_usage:
            return None
        self._last_usage = usage
        return usage


class CallConcurrencyLimiter(Limiter):
    """Limits the number of calls in flight.

    A call beyond the floor of a strict limit carries the remaining time of the allowance, less the slack, as
    its timeout. The store ends the call at this timeout, even if this process is stopped by then.
    """

    def leased_time_left_us(self) -> int:
        """Return for how many microseconds from now a call beyond the floor may last."""
        return self.until - self.now_us - self.slack_us - WRITE_MARGIN_US

    def capacity(self, calls: CallsInFlight) -> int | None:
        """Return how many calls may be in flight now, or None if the limit is removed."""
        return None if self.removed else self._capacity()

    def _capacity(self) -> int:
        return self.floor + (self.amount if self.leased_time_left_us() > self.slack_us else 0)

    def try_acquire(self, calls: CallsInFlight) -> CallPermit | None:
        """Return the permission for one more call, or None if there is no capacity."""
        if self.removed:
            return CallPermit(False, None)
        if not self.limit.is_strict:
            if calls.in_flight(False) < self._capacity():
                return CallPermit(False, None)
        else:
            if calls.in_flight(False) < self.floor:
                return CallPermit(False, None)
            time_left_us = self.leased_time_left_us()
            if time_left_us > self.slack_us and calls.in_flight(True) < self.amount:
                return CallPermit(True, time_left_us)
        self.refusals += 1
        return None

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return the usage to publish if it changed; see `Limiter.usage`."""
        if not self.limit.is_strict:
            in_use = calls.in_flight(False)
            return self._if_changed(Usage(in_use, max(in_use, waiting), waiting_with_priority))
        demand = max(0, waiting - self.floor)
        priority_demand = max(0, waiting_with_priority - self.floor)
        return self._if_changed(Usage(calls.in_flight(True), demand, priority_demand))


class ProbeLimiter(CallConcurrencyLimiter):
    """Limits the probe calls of this node while the consensus of the fleet is that the store is down.

    The fleet allows a few probe calls in all. Each node that called the store recently requests a share in
    advance, so that the node has its share when the store goes down.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.probing = False
        self._called_at: int | None = None

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return the usage to publish if it changed: a demand of 1 if this node called the store recently."""
        in_flight = calls.in_flight(False) + calls.in_flight(True)
        if waiting or in_flight:
            self._called_at = self.now_us
        called_recently = (
            self._called_at is not None and self.now_us - self._called_at < PROBE_DEMAND_PERIOD_US
        )
        return self._if_changed(Usage(in_flight if self.probing else 0, int(called_recently), 0))


class RateLimiter(Limiter):
    """Limits a rate by a token bucket, which holds at most this node's share of the burst.

    Each of the `processes` nodes has one token of the burst; the rest of the burst is divided in proportion
    to the rates. A share that grows adds no tokens at once. Therefore all nodes together never acquire more
    than the burst plus the rate times the elapsed time, over any period.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.tokens = 0.0
        self.demand_per_second = 0.0  # moving average of the requests per second
        self._filled_at: int | None = None
        self._requests = 0  # number of requests in the current demand period
        self._period_began_at: int | None = None

    def set_allowance(self, floor: int | None, amount: int, until: int) -> None:
        """Set the allowance from now on; a floor of None means that the limit is removed."""
        if not self.removed:
            self.fill()  # adds the tokens of the old rate up to now
        super().set_allowance(floor, amount, until)

    def per_second(self) -> int:
        """Return the rate that is allowed now, in requests per second."""
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def fill(self) -> None:
        """Add the tokens since the last call, taking into account that the allowance may have expired."""
        if self._filled_at is None:
            self._filled_at = self.now_us
        allowed = max(0, min(self.now_us, self.until) - self._filled_at) * self.amount
        gained = ((self.now_us - self._filled_at) * self.floor + allowed) / SECOND
        self.tokens = min(self.capacity(), self.tokens + max(0.0, gained))
        self._filled_at = self.now_us

    def capacity(self) -> float:
        """Return how many tokens the bucket can hold."""
        return 1 + max(0, self.limit.burst - self.processes) * self.per_second() / self.limit.amount

    def availability(self) -> Availability:
        """Return how many tokens may be acquired now; the limit must not be removed."""
        self.fill()
        return Availability(int(self.tokens), int(self.capacity()))

    def record_demand(self) -> None:
        """Count one RPC or call, whether it is admitted or not."""
        self._requests += 1

    def try_acquire(self, rpc: NodeRpc | None = None) -> bool:
        """Acquire one token; return False if there is none."""
        if self.removed:
            return True
        self.fill()
        if self.tokens < 1:
            self.refusals += 1
            return False
        self.tokens -= 1
        return True

    def retry_after_us(self) -> int:
        """Return after how many microseconds there is one token at the present rate."""
        rate = self.per_second()
        return int((1 - min(1.0, self.tokens)) / rate * SECOND) if rate else SECOND

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return the usage to publish if it changed.

        The demand includes the backlog of waiting calls, so that the rate suffices to make them in a second.
        """
        backlog = 0
        if self.limit.counts == "calls":
            backlog = max(0, waiting - calls.in_flight(False) - calls.in_flight(True))
        if self._period_began_at is None:
            self._period_began_at = self.now_us
        elapsed_us = self.now_us - self._period_began_at
        if elapsed_us >= DEMAND_PERIOD_US:
            self.demand_per_second = (self.demand_per_second + self._requests * SECOND / elapsed_us) / 2
            self._requests = 0
            self._period_began_at = self.now_us
        demand = 0
        if self.demand_per_second + backlog > 0.5:
            demand = ceil(DEMAND_HEADROOM * self.demand_per_second) + backlog
        floor = self.floor if self.limit.is_strict else 0
        return self._if_changed(Usage(0, max(0, demand - floor), 0))


class RpcConcurrencyLimiter(Limiter):
    """Limits the number of RPCs in flight, from their admission to their completion.

    Only a loose limit can be of this kind, because RPCs can't be ended when an allowance expires.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.count = 0
        self._requests = 0  # number of requests in the current demand period
        self._previous_requests = 0  # number of requests in the previous demand period
        self._period_began_at = 0

    def capacity(self) -> int:
        """Return how many RPCs may be in flight now."""
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def availability(self) -> Availability:
        """Return how many RPCs may be admitted now; the limit must not be removed."""
        return Availability(self.capacity() - self.count, self.capacity())

    def record_demand(self) -> None:
        """Count one RPC or call, whether it is admitted or not."""
        self._requests += 1

    def try_acquire(self, rpc: NodeRpc) -> bool:
        """Count an admitted RPC until it is completed; return True.

        The capacity is not checked, because the decision module knew it when it admitted the RPC.
        """
        self.count += 1
        rpc.counted_by = (*(rpc.counted_by or ()), self)
        return True

    def retry_after_us(self) -> int:
        """Return 0, which means no advice, because the time of the next completion is unknown."""
        return 0

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return the usage to publish if it changed.

        The demand includes the RPCs that were rejected in the previous or the current period.
        """
        if self.now_us - self._period_began_at >= DEMAND_PERIOD_US:
            self._previous_requests = self._requests
            self._requests = 0
            self._period_began_at = self.now_us
        demand = max(self.count, self._previous_requests, self._requests)
        return self._if_changed(Usage(self.count, demand, 0))
