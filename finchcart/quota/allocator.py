"""The leading planner's book: which leases of which limits it granted to whom, and how the rest is allocated.

Owns what is known of each lease holder and the leases granted in this term. It must never grant more than
what no other lease may still use, nor know how a leader is elected. `now` is the boot clock in whole
microseconds.

Why a strict limit is never over: the leader counts a lease from after it answered, widened, its holder from
before it asked (see finchcart/fleet/leases.py). Of several leases that may be out at one holder the greatest
counts, until the holder says which it holds or they expire. A new leader waits for the longest lease; until
then it only renews to a holder what that says it holds. So what holders may use together is never more than
what is counted here.

Bounds: `holders` records, `MAX_GRANTED` leases of a limit in each; a record ends with its last lease, once
the holder asks no more.
"""

from typing import NamedTuple

from finchcart.fleet.message_endpoint import MessageRejectedError
from finchcart.fleet.units import MS
from finchcart.quota.fair_share import prioritized_shares
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.messages import WEIGHT_SCALE, LeaseRequest, LimitDemand, LimitLease

TARGETS_LIFETIME_US = 50 * MS  # targets are not worked out again for so long
MAX_GRANTED = 8  # leases of a limit out at one holder: no more until it says which it holds


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


NO_DEMAND = LimitRecord()  # of a holder that has not asked for a limit


class HolderRecord:
    """What is known of one process of a node."""

    def __init__(self) -> None:
        self.limits: dict[str, LimitRecord] = {}
        self.requested_at = 0
        self.sequence = 0
        self.is_leaving = False


class Allocator:
    """Grants leases while its planner leads.

    Arguments:
        quota: the configuration.
    """

    def __init__(self, quota: QuotaConfig) -> None:
        self.quota = quota
        self.term = 0
        self.leads_since = 0
        self.holders: dict[HolderKey, HolderRecord] = {}
        self.last_number = 0
        self.targets: dict[str, dict[HolderKey, int]] = {}  # by limit
        self.targets_at = 0

    def set_config(self, quota: QuotaConfig) -> None:
        """Take a new configuration."""
        self.quota = quota
        self.targets_at = 0

    def begin_term(self, term: int, now: int) -> None:
        """Lead from now on, with an empty book."""
        self.term = term
        self.leads_since = now
        self.holders = {}
        self.last_number = 0

    def end_term(self) -> None:
        """Lead no more."""
        self.holders = {}

    # ---- holders

    def register(self, now: int, request: LeaseRequest) -> HolderRecord:
        """The record of a request's holder.

        Raises:
            MessageRejectedError: there is no room for another holder, or the request was overtaken or is a
                copy, and its answer went out.
        """
        key = HolderKey(request.node, request.session)
        holder = self.holders.get(key)
        if holder is None:
            if len(self.holders) >= self.quota.holders:
                raise MessageRejectedError("no room for a holder")
            holder = self.holders[key] = HolderRecord()
        if request.sequence <= holder.sequence:
            raise MessageRejectedError("asked before")
        holder.sequence = request.sequence
        holder.requested_at = now
        holder.is_leaving = request.is_leaving
        return holder

    def expire(self, now: int) -> None:
        """Drop leases that are over, and holders that have none and ask no more."""
        for key, holder in list(self.holders.items()):
            for record in holder.limits.values():
                record.expire(now)
            has_lease = any(record.granted for record in holder.limits.values())
            if not has_lease and now - holder.requested_at > self.quota.life:
                del self.holders[key]

    def committed(self, holder: HolderRecord, limit: str) -> int:
        """The most that a holder may use of a limit beyond its floor."""
        record = holder.limits.get(limit)
        if record is None:
            return 0
        return max((lease.amount for lease in record.granted), default=0)

    def granted_total(self, limit: str) -> int:
        """What all holders may use of a limit beyond their floors."""
        return sum(self.committed(holder, limit) for holder in self.holders.values())

    def lease_count(self, limit: str) -> int:
        """Holders that have a lease of a limit."""
        records = [holder.limits.get(limit) for holder in self.holders.values()]
        return sum(record is not None and bool(record.granted) for record in records)

    # ---- requests

    def renew(
        self, now: int, limit: Limit, holder: HolderRecord, request: LeaseRequest, line: LimitDemand
    ) -> LimitLease | None:
        """Take what a holder reports of a limit and grant it a lease.

        Arguments:
            now: microseconds on the boot clock.
            limit: the limit as this planner has it.
            holder: the record that `register` returned.
            request: the whole request.
            line: what the request says of the limit.

        Returns:
            The new lease; None where too many are out at the holder.
        """
        record = holder.limits.setdefault(limit.name, LimitRecord())
        self._end_unused(now, holder, record, request, line)
        self._take_demand(limit, holder, record, line)
        if len(record.granted) >= MAX_GRANTED:
            return None
        self.last_number += 1
        amount = self._amount(now, limit, HolderKey(request.node, request.session), line)
        expires_at = now + self.quota.takeover_wait
        record.granted.append(GrantedLease(self.last_number, request.sequence, amount, expires_at))
        return LimitLease(limit.name, self.last_number, amount, self.quota.life, limit.amount)

    def _end_unused(
        self, now: int, holder: HolderRecord, record: LimitRecord, request: LeaseRequest, line: LimitDemand
    ) -> None:
        """End the leases that the holder can't use any more, by what it says that it holds."""
        committed = self.committed(holder, line.limit)
        record.expire(now)
        held_number = line.number if line.term == self.term else None
        record.granted = [
            lease
            for lease in record.granted
            if lease.number == held_number
            or (
                lease.sequence >= request.oldest_sequence
                and (held_number is None or lease.number > held_number)
            )
        ]
        for lease in record.granted:
            if lease.number == held_number:
                # The amount that it holds, or what is still in use of a greater one.
                lease.amount = min(line.in_use, committed)

    def _take_demand(
        self, limit: Limit, holder: HolderRecord, record: LimitRecord, line: LimitDemand
    ) -> None:
        # The greater of the last two reports counts, but for a holder that leaves: else allocations would go
        # to and fro between two whose demand alternates.
        previous = record.reported_demand
        record.reported_demand = line.demand
        record.demand = line.demand if holder.is_leaving else max(line.demand, previous)
        record.priority_demand = line.priority_demand
        record.weight = line.weight / WEIGHT_SCALE
        record.extra_floor = max(0, line.floor - limit.floor)

    # ---- amounts

    def _amount(self, now: int, limit: Limit, key: HolderKey, line: LimitDemand) -> int:
        """What of a limit a holder may use beyond its floor."""
        shareable = limit.shareable(self.quota.most)
        committed = self.committed(self.holders[key], limit.name)
        if now < self.leads_since + self.quota.takeover_wait:
            # Others may hold all the rest from an earlier term: what this one holds is renewed, and no more.
            held = line.in_use if line.term < self.term else committed
            return min(held, shareable)
        step = max(1, int(shareable * self.quota.step))
        free = shareable - self._committed_total(limit)
        return min(self._target(now, limit, key), committed + max(0, min(free, step)))

    def _committed_total(self, limit: Limit) -> int:
        """What all holders may use, with what their floors are higher than those set aside."""
        extra_floors = sum(
            holder.limits[limit.name].extra_floor
            for holder in self.holders.values()
            if limit.name in holder.limits
        )
        return self.granted_total(limit.name) + extra_floors

    def _target(self, now: int, limit: Limit, key: HolderKey) -> int:
        """What a holder is to have in the end; worked out now and then, as each request moves it little."""
        is_stale = now - self.targets_at >= TARGETS_LIFETIME_US
        if is_stale or key not in self.targets.get(limit.name, ()):
            self.targets = {each.name: self._targets_of(each) for each in self.quota.strict}
            self.targets_at = now
        return self.targets[limit.name].get(key, 0)

    def _targets_of(self, limit: Limit) -> dict[HolderKey, int]:
        """The fair shares of all holders; a part is kept free for holders that come."""
        shareable = limit.shareable(self.quota.most)
        records = {key: self._demand_record(holder, limit) for key, holder in self.holders.items()}
        demands = {
            key: record.demand
            for key, record in records.items()
            if record.demand or not self.holders[key].is_leaving
        }
        demanded = sum(demands.values())
        reserve = int(shareable * self.quota.room) if demanded >= shareable else 0
        priority_demands = {key: records[key].priority_demand for key in demands}
        weights = {key: records[key].weight for key in demands}
        shares = prioritized_shares(shareable - reserve, demands, priority_demands, weights)
        if demanded >= shareable:
            return shares
        # Nobody goes short: half of the rest is spread, so that a jump of demand finds something at once.
        spare = (shareable - demanded) // (2 * max(1, len(demands)))
        return {key: share + spare for key, share in shares.items()}

    def _demand_record(self, holder: HolderRecord, limit: Limit) -> LimitRecord:
        return holder.limits.get(limit.name, NO_DEMAND)
