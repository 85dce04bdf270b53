"""The records of the leading planner: what it knows of each lease holder, and the leases that it granted.

Owns the types alone: allocator.py keeps the records. Times are microseconds on the boot clock.
"""

from typing import NamedTuple


class HolderKey(NamedTuple):
    """Names one process of a node: a restarted one is another."""

    node: str
    session: int


class GrantedLease:
    """A lease that its holder may use until `expires_at`."""

    __slots__ = ("number", "sequence", "amount", "expires_at")

    def __init__(self, number: int, sequence: int, amount: int, expires_at: int) -> None:
        self.number = number
        self.sequence = sequence  # of the request that it answered
        self.amount = amount
        self.expires_at = expires_at


class LimitRecord:
    """What is known of one limit at one holder."""

    def __init__(self) -> None:
        self.granted: list[GrantedLease] = []
        self.demand = 0
        self.reported_demand = 0  # by the last request; `demand` may be that of the one before
        self.priority_demand = 0
        self.weight = 1.0
        self.extra_floor = 0  # beyond the floor that the configuration sets aside

    def expire(self, now: int) -> None:
        """Drop the leases that are over."""
        self.granted = [lease for lease in self.granted if lease.expires_at > now]


class HolderRecord:
    """What is known of one process of a node."""

    def __init__(self) -> None:
        self.limits: dict[str, LimitRecord] = {}
        self.requested_at = 0
        self.sequence = 0
        self.is_leaving = False
