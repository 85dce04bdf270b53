"""The lease of one limit, as its holder keeps it.

Owns what is held, in use and demanded of the limit. It must never decide whether a lease is taken: that is
lease_holder.py's. Times are microseconds on the boot clock.
"""

from typing import NamedTuple

from finchcart.quota.limits import Limit
from finchcart.quota.messages import WEIGHT_SCALE, LimitDemand, LimitLease


class LeaseId(NamedTuple):
    """Orders the leases of one limit: the higher is the newer."""

    term: int
    number: int


NO_LEASE = LeaseId(0, 0)


class Allowance(NamedTuple):
    """What of a limit was handed out last."""

    floor: int
    amount: int
    until: int


class HeldLease:
    """The lease of one limit; times are microseconds on the boot clock."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.id = NO_LEASE
        self.amount = 0
        self.expires_at = 0
        self.requested_at = 0
        self.in_use = 0  # beyond the floor
        self.demand = 0  # beyond the floor
        self.priority_demand = 0
        self.fleet_amount = limit.amount  # as the planner has it
        self.handed_out: Allowance | None = None
        self.is_at_floor = True

    def is_active(self, now: int) -> bool:
        """Whether it may be used."""
        return now < self.expires_at

    def active_amount(self, now: int) -> int:
        """What may be used of it beyond the floor."""
        return self.amount if self.is_active(now) else 0

    def take(self, lease_id: LeaseId, lease: LimitLease, requested_at: int) -> None:
        """Hold a newer lease."""
        self.id = lease_id
        self.amount = lease.amount
        self.expires_at = requested_at + lease.duration_us
        self.requested_at = requested_at
        self.fleet_amount = lease.fleet_amount

    def give_back(self) -> None:
        """Hold nothing and demand nothing any more."""
        self.amount = 0
        self.expires_at = 0
        self.in_use = 0
        self.demand = 0

    def report(self, now: int) -> LimitDemand:
        """What is reported to the planner."""
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
