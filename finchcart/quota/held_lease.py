"""The lease of one limit as its holder keeps it, with the holder's usage and demand of that limit.

The module decides whether a granted lease replaces the one that is held. It must not send messages. Times are
microseconds on the boot clock.
"""

from typing import NamedTuple

from finchcart.quota.limits import Limit
from finchcart.quota.messages import WEIGHT_SCALE, LimitDemand, LimitLease


class LeaseId(NamedTuple):
    """Identifies a lease of one limit; of two leases, the one with the greater id is the newer."""

    term: int
    number: int


NO_LEASE = LeaseId(0, 0)


class Allowance(NamedTuple):
    """What the node may use of a limit until a time, as the lease holder last emitted it."""

    floor: int
    amount: int
    until: int


class PendingRequest(NamedTuple):
    """A request whose answer the holder still accepts."""

    sent_at: int
    held: dict[str, LeaseId]  # limit -> the lease that was held when the request was sent


class HeldLease:
    """The lease of one limit at this node, with the node's usage and demand."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.id = NO_LEASE
        self.amount = 0
        self.expires_at = 0
        self.requested_at = 0
        self.in_use = 0  # amount in use beyond the floor
        self.demand = 0  # amount demanded beyond the floor
        self.priority_demand = 0
        self.fleet_amount = limit.amount  # the whole limit, as stated in the newest lease
        self.last_emitted: Allowance | None = None
        self.is_at_floor = True

    def is_active(self, now: int) -> bool:
        """Return whether the lease has not expired."""
        return now < self.expires_at

    def active_amount(self, now: int) -> int:
        """Return the amount that may be used beyond the floor."""
        return self.amount if self.is_active(now) else 0

    def rejection_reason(
        self, now: int, lease_id: LeaseId, lease: LimitLease, request: PendingRequest
    ) -> str | None:
        """Return why a granted lease must not replace the held one, or None if it may.

        Arguments:
            now: microseconds on the boot clock.
            lease_id: the id of the granted lease.
            lease: the granted lease.
            request: the request that the grant answers.
        """
        if lease_id.term < self.id.term:
            return "of an earlier term"
        if lease_id <= self.id:
            return "of an earlier number"
        if now >= request.sent_at + lease.duration_us:
            return "expired when it came"
        has_grown = lease.amount > self.active_amount(now)
        if lease_id.term > self.id.term and has_grown and request.held.get(lease.limit) != self.id:
            # The new leader renewed the lease that a delayed request reported. The holder has replaced that
            # lease since, and the earlier leader may have granted the difference to another holder.
            return "of what was held before"
        return None

    def replace(self, lease_id: LeaseId, lease: LimitLease, requested_at: int) -> None:
        """Replace the held lease with a newer one."""
        self.id = lease_id
        self.amount = lease.amount
        self.expires_at = requested_at + lease.duration_us
        self.requested_at = requested_at
        self.fleet_amount = lease.fleet_amount

    def release(self) -> None:
        """Drop the lease, the usage and the demand."""
        self.amount = 0
        self.expires_at = 0
        self.in_use = 0
        self.demand = 0

    def report(self, now: int) -> LimitDemand:
        """Return what the holder reports to the planner."""
        is_active = self.is_active(now)
        return LimitDemand(
            limit=self.limit.name,
            term=self.id.term,
            number=self.id.number if is_active else 0,
            in_use=max(self.amount, self.in_use) if is_active else 0,
            demand=self.demand,
            floor=self.limit.floor,
            priority_demand=min(self.priority_demand, self.demand),
            weight=max(1, round(WEIGHT_SCALE * self.limit.weight)),
        )
