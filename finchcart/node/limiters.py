"""One limiter for each limit of the fleet that this node is held to.

Owns what the node may have in flight or admit a second: its floor, and beyond it what it was allowed until a
time on the boot clock. Calls in flight are the store client's, queried each time. It must never give out more
than was allowed, nor decide which call is made or which RPC gives way: the decision module does, by the
capacity that it is given.

`now_us` is the boot clock in whole microseconds, set by the host before each turn: the turn's own clock may
be set back, and would lengthen an allowance.
"""

from math import ceil
from typing import NamedTuple, Protocol

from finchcart.node.rpc import NodeRpc
from finchcart.quota.limits import Limit

MS = 1_000
SECOND = 1_000_000
PROBE_DEMAND_PERIOD_US = 10 * SECOND  # who called the store within it takes part in probing it
DEMAND_PERIOD_US = 250 * MS  # over which demand is measured
WRITE_MARGIN_US = 2 * MS  # besides the slack, from the decision on a call to its write
DEMAND_HEADROOM = 1.1  # demand is published a little above what was requested, so that an allowance can grow


class CallsInFlight(Protocol):
    """What counts the calls in flight: the store client."""

    def in_flight(self, leased: bool) -> int:
        """Return how many are beyond the floor of the fleet's limit, or the others."""


class Usage(NamedTuple):
    """What this node uses and wants of one limit; beyond the floor where that is strict, else in all."""

    in_use: int
    demand: int
    priority_demand: int


class CallPermit(NamedTuple):
    """The permission for one more call."""

    leased: bool  # it is beyond the floor
    time_limit_us: int | None  # how long it may take there; None: as long as the decision module likes


class Availability(NamedTuple):
    """How many may be admitted now, of how many at most."""

    available: int
    capacity: int


class Limiter:
    """What all kinds have in common.

    `limit`: see finchcart/quota/limits.py; `slack_us`: a call is written so long after this turn began, or
    not at all; `processes`: how many nodes may run together.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        self.limit = limit
        self.name = limit.name
        self.slack_us = slack_us
        self.processes = processes
        self.now_us = 0
        self.removed = False  # the limit is in the settings no more
        self.floor = limit.floor if limit.is_strict else 0
        self.amount = 0  # allowed beyond the floor
        self.until = 0  # for so long, on the boot clock
        self.refusals = 0
        self._last_usage: Usage | None = None

    def set_allowance(self, floor: int | None, amount: int, until: int) -> None:
        """Set what the node may use from now on; a floor of None: the limit is removed."""
        if floor is None:
            self.removed = True
            return
        self.removed = False
        self.floor = floor
        self.amount = amount
        self.until = until

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return what to publish, where it changed.

        Arguments:
            calls: what counts the calls in flight.
            waiting: runs that await a call.
            waiting_with_priority: those of them whose method has priority.
        """
        raise NotImplementedError(f"{type(self).__name__}: a limiter publishes its usage")

    def _if_changed(self, usage: Usage) -> Usage | None:
        """Return the usage where it is another than the last one published."""
        if usage == self._last_usage:
            return None
        self._last_usage = usage
        return usage


class CallConcurrencyLimiter(Limiter):
    """Calls in flight.

    The store's time limit is what is left of a strict allowance less the slack, so that it ends the call
    itself however late this process is then.
    """

    def leased_time_left_us(self) -> int:
        """Return how long a call beyond the floor may take from here on, in microseconds."""
        return self.until - self.now_us - self.slack_us - WRITE_MARGIN_US

    def capacity(self, calls: CallsInFlight) -> int | None:
        """Return how many calls may be in flight now; None: as many as the decision module likes."""
        return None if self.removed else self._capacity()

    def _capacity(self) -> int:
        return self.floor + (self.amount if self.leased_time_left_us() > self.slack_us else 0)

    def try_acquire(self, calls: CallsInFlight) -> CallPermit | None:
        """Return the permission for one more call, or None where there is no capacity."""
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
        """Return what to publish, where it changed; see `Limiter.usage`."""
        if not self.limit.is_strict:
            in_use = calls.in_flight(False)
            return self._if_changed(Usage(in_use, max(in_use, waiting), waiting_with_priority))
        demand = max(0, waiting - self.floor)
        priority_demand = max(0, waiting_with_priority - self.floor)
        return self._if_changed(Usage(calls.in_flight(True), demand, priority_demand))


class ProbeLimiter(CallConcurrencyLimiter):
    """This node's part of the fleet's few probe calls, while its consensus is that the store is down.

    Requested by who called it lately, so that the parts are there when they are needed.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.probing = False
        self._called_at: int | None = None

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return what to publish, where it changed: who called lately requests one."""
        in_flight = calls.in_flight(False) + calls.in_flight(True)
        if waiting or in_flight:
            self._called_at = self.now_us
        called_lately = self._called_at is not None and self.now_us - self._called_at < PROBE_DEMAND_PERIOD_US
        return self._if_changed(Usage(in_flight if self.probing else 0, int(called_lately), 0))


class RateLimiter(Limiter):
    """A token bucket: a rate a second, and no more together than this node's part of the burst.

    Each of `processes` has one of the burst; what is left is divided as the rate is. A part that grows
    begins empty. So all nodes together never take more than the burst and what the rate gives, in any time.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.tokens = 0.0
        self.demand_per_second = 0.0  # lately
        self._filled_at: int | None = None
        self._requests = 0  # in this period
        self._period_began_at: int | None = None

    def set_allowance(self, floor: int | None, amount: int, until: int) -> None:
        """Set what the node may use from now on; a floor of None: the limit is removed."""
        if not self.removed:
            self.fill()  # at the old rate until now
        super().set_allowance(floor, amount, until)

    def per_second(self) -> int:
        """Return the rate that is allowed now, in requests a second."""
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def fill(self) -> None:
        """Add the tokens since the last time: the allowance may have ended meanwhile."""
        if self._filled_at is None:
            self._filled_at = self.now_us
        allowed = max(0, min(self.now_us, self.until) - self._filled_at) * self.amount
        gained = ((self.now_us - self._filled_at) * self.floor + allowed) / SECOND
        self.tokens = min(self.capacity(), self.tokens + max(0.0, gained))
        self._filled_at = self.now_us

    def capacity(self) -> float:
        """Return how many tokens the bucket holds at most."""
        return 1 + max(0, self.limit.burst - self.processes) * self.per_second() / self.limit.amount

    def availability(self) -> Availability:
        """Return what may be acquired now of a limit that is not removed."""
        self.fill()
        return Availability(int(self.tokens), int(self.capacity()))

    def record_demand(self) -> None:
        """Count one that is requested, whether it is admitted or not."""
        self._requests += 1

    def try_acquire(self, rpc: NodeRpc | None = None) -> bool:
        """Return whether one more was acquired."""
        if self.removed:
            return True
        self.fill()
        if self.tokens < 1:
            self.refusals += 1
            return False
        self.tokens -= 1
        return True

    def retry_after_us(self) -> int:
        """Return after how long there is one more at the present rate."""
        rate = self.per_second()
        return int((1 - min(1.0, self.tokens)) / rate * SECOND) if rate else SECOND

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return what to publish, where it changed: calls that wait are to be made within a second."""
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
    """RPCs in flight, from their admission until they are completed.

    A loose limit alone: an RPC can't be ended with an allowance.
    """

    def __init__(self, limit: Limit, slack_us: int, processes: int = 1) -> None:
        super().__init__(limit, slack_us, processes)
        self.count = 0
        self._requests = 0  # in this period
        self._requests_before = 0  # in the period before
        self._period_began_at = 0

    def capacity(self) -> int:
        """Return how many RPCs may be in flight now."""
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def availability(self) -> Availability:
        """Return what may be admitted now under a limit that is not removed."""
        return Availability(self.capacity() - self.count, self.capacity())

    def record_demand(self) -> None:
        """Count one that is requested, whether it is admitted or not."""
        self._requests += 1

    def try_acquire(self, rpc: NodeRpc) -> bool:
        """Count an admitted RPC until it is completed: the decision module knew the capacity before."""
        self.count += 1
        rpc.counted_by = (*(rpc.counted_by or ()), self)
        return True

    def retry_after_us(self) -> int:
        """Return 0, no advice: nobody knows when one is completed."""
        return 0

    def usage(self, calls: CallsInFlight, waiting: int, waiting_with_priority: int = 0) -> Usage | None:
        """Return what to publish, where it changed: who was rejected in the last period counts too."""
        if self.now_us - self._period_began_at >= DEMAND_PERIOD_US:
            self._requests_before = self._requests
            self._requests = 0
            self._period_began_at = self.now_us
        demand = max(self.count, self._requests_before, self._requests)
        return self._if_changed(Usage(self.count, demand, 0))
