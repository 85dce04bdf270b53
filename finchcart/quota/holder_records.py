"""The records of the leading planner: what it knows of each lease holder, and the leases that it granted.

The module contains the types alone; allocator.py keeps the records. Times are microseconds on the boot clock.
"""

from typing import NamedTuple


class HolderKey(NamedTuple):
    """Identifies one process of a node; after a restart the node is a new holder."""

    node: str
    session: int


class GrantedLease:
    """A lease that its holder may use until `expires_at`."""

    __slots__ = ("number", "sequence", "amount", "expires_at")

    def __init__(self, number: int, sequence: int, amount: int, expires_at: int) -> None:
        self.number = number
        self.sequence = sequence  # sequence of the request that the planner answered with this lease
        self.amount = amount
        self.expires_at = expires_at


class LimitRecord:
    """The demand that one holder reported of one limit, and the leases of it that the holder may have."""

    def __init__(self) -> None:
        self.granted: list[GrantedLease] = []
        self.demand = 0
        self.reported_demand = 0  # in the last request; `demand` may be from the request before it
        self.priority_demand = 0
        self.weight = 1.0
        self.extra_floor = 0  # part of the holder's floor beyond the floor in the planner's configuration

    def expire(self, now: int) -> None:
        """Drop the leases that have expired."""
        self.granted = [lease for lease in self.granted if lease.expires_at > now]


class HolderRecord:
    """What the leading planner knows of one lease holder."""

    def __init__(self) -> None:
        self.limits: dict[str, LimitRecord] = {}
        self.requested_at = 0
        self.sequence = 0
        self.is_leaving = False
