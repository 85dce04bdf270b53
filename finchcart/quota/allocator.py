"""The allocator of the leading planner: records the leases that it granted and decides what to grant next.

The module owns the records of the lease holders and the leases granted in the present term. It must not
grant an amount that the holder of another lease may still use, and it doesn't know how a leader is elected.
`now` is the boot clock in whole microseconds.

Why a strict limit is never exceeded: the leader counts the duration of a lease from its answer and widens it
for clock drift, while the holder counts the duration from before its request (see finchcart/fleet/leases.py).
A holder may have any of the leases that the leader granted it. Until the holder reports which one it has, or
the leases expire, the greatest of them counts. A new leader knows nothing of the leases of earlier terms: for
the longest duration of a lease, it only renews what a holder reports to have. So all holders together never
use more than the amount that the allocator counts.

Bounds: `max_holders` records, each with at most `MAX_LEASES_PER_LIMIT` leases of a limit. A record is removed
when its last lease has expired and its holder has stopped sending requests.
"""

from finchcart.fleet.message_endpoint import MessageRejectedError
from finchcart.quota.allocation_targets import AllocationTargets
from finchcart.quota.holder_records import GrantedLease, HolderKey, HolderRecord, LimitRecord
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.messages import WEIGHT_SCALE, LeaseRequest, LimitDemand, LimitLease

# A holder that may have this many leases of a limit gets no more until it reports which one it has, or
# until leases expire.
MAX_LEASES_PER_LIMIT = 8


class Allocator:
    """The leases that a planner grants while it leads.

    Arguments:
        quota: the configuration.
    """

    def __init__(self, quota: QuotaConfig) -> None:
        self.quota = quota
        self.term = 0
        self.leads_since = 0
        self.holders: dict[HolderKey, HolderRecord] = {}
        self.last_number = 0
        self.targets = AllocationTargets(quota)

    def set_config(self, quota: QuotaConfig) -> None:
        """Replace the configuration."""
        self.quota = quota
        self.targets.set_config(quota)

    def begin_term(self, term: int, now: int) -> None:
        """Begin to grant leases in a new term, without records of earlier terms."""
        self.term = term
        self.leads_since = now
        self.holders = {}
        self.last_number = 0

    def end_term(self) -> None:
        """Drop all records, as this planner no longer leads."""
        self.holders = {}

    # ---- holders

    def register(self, now: int, request: LeaseRequest) -> HolderRecord:
        """Return the record of the holder that sent a request; create the record for a new holder.

        Raises:
            MessageRejectedError: the table of holders is full, or the request is a duplicate or arrived after
                a later one.
        """
        key = HolderKey(request.node, request.session)
        holder = self.holders.get(key)
        if holder is None:
            if len(self.holders) >= self.quota.max_holders:
                raise MessageRejectedError("no capacity for a holder")
            holder = self.holders[key] = HolderRecord()
        if request.sequence <= holder.sequence:
            raise MessageRejectedError("requested before")
        holder.sequence = request.sequence
        holder.requested_at = now
        holder.is_leaving = request.is_leaving
        return holder

    def expire(self, now: int) -> None:
        """Drop expired leases, and holders that have no lease and have stopped sending requests."""
        for key, holder in list(self.holders.items()):
            for record in holder.limits.values():
                record.expire(now)
            has_lease = any(record.granted for record in holder.limits.values())
            if not has_lease and now - holder.requested_at > self.quota.lease_duration:
                del self.holders[key]

    def committed(self, holder: HolderRecord, limit: str) -> int:
        """Return the greatest amount of a limit that a holder may use beyond its floor."""
        record = holder.limits.get(limit)
        if record is None:
            return 0
        return max((lease.amount for lease in record.granted), default=0)

    def granted_total(self, limit: str) -> int:
        """Return the amount of a limit that all holders together may use beyond their floors."""
        return sum(self.committed(holder, limit) for holder in self.holders.values())

    def lease_count(self, limit: str) -> int:
        """Return the number of holders that have a lease of a limit."""
        records = [holder.limits.get(limit) for holder in self.holders.values()]
        return sum(record is not None and bool(record.granted) for record in records)

    # ---- requests

    def renew(
        self, now: int, limit: Limit, holder: HolderRecord, request: LeaseRequest, report: LimitDemand
    ) -> LimitLease | None:
        """Record what a holder reports of a limit, and grant the holder a lease.

        Arguments:
            now: microseconds on the boot clock.
            limit: the limit in this planner's configuration.
            holder: the record that `register` returned.
            request: the whole request.
            report: what the request reports of the limit.

        Returns:
            The new lease, or None if the holder may have `MAX_LEASES_PER_LIMIT` leases already.
        """
        record = holder.limits.setdefault(limit.name, LimitRecord())
        self._drop_unusable_leases(now, holder, record, request, report)
        self._record_demand(limit, holder, record, report)
        if len(record.granted) >= MAX_LEASES_PER_LIMIT:
            return None
        self.last_number += 1
        amount = self._amount_to_grant(now, limit, HolderKey(request.node, request.session), report)
        expires_at = now + self.quota.takeover_wait
        record.granted.append(GrantedLease(self.last_number, request.sequence, amount, expires_at))
        return LimitLease(limit.name, self.last_number, amount, self.quota.lease_duration, limit.amount)

    def _drop_unusable_leases(
        self, now: int, holder: HolderRecord, record: LimitRecord, request: LeaseRequest, report: LimitDemand
    ) -> None:
        """Drop the leases that the holder can no longer use, according to its report."""
        committed = self.committed(holder, report.limit)
        record.expire(now)
        held_number = report.number if report.term == self.term else None
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
                # The holder reports the amount of this lease, or more while older calls exceed it.
                lease.amount = min(report.in_use, committed)

    def _record_demand(
        self, limit: Limit, holder: HolderRecord, record: LimitRecord, report: LimitDemand
    ) -> None:
        # The greater of the last two reported demands counts. Otherwise allocations would oscillate between
        # two holders whose demand alternates. Of a holder that is leaving, the last report alone counts.
        previous = record.reported_demand
        record.reported_demand = report.demand
        record.demand = report.demand if holder.is_leaving else max(report.demand, previous)
        record.priority_demand = report.priority_demand
        record.weight = report.weight / WEIGHT_SCALE
        record.extra_floor = max(0, report.floor - limit.floor)

    # ---- amounts

    def _amount_to_grant(self, now: int, limit: Limit, key: HolderKey, report: LimitDemand) -> int:
        """Return the amount of a limit to grant a holder beyond its floor."""
        shareable = limit.shareable(self.quota.max_processes)
        committed = self.committed(self.holders[key], limit.name)
        if now < self.leads_since + self.quota.takeover_wait:
            # Other holders may still have leases of the whole rest from an earlier term. The lease of this
            # holder is renewed for the amount that it has, but not increased.
            held = report.in_use if report.term < self.term else committed
            return min(held, shareable)
        step = max(1, int(shareable * self.quota.max_step))
        free = shareable - self._committed_total(limit)
        target = self.targets.target(now, limit, key, self.holders)
        return min(target, committed + max(0, min(free, step)))

    def _committed_total(self, limit: Limit) -> int:
        """Return what all holders may use, and the part of their floors that exceeds the configured floor."""
        extra_floors = sum(
            holder.limits[limit.name].extra_floor
            for holder in self.holders.values()
            if limit.name in holder.limits
        )
        return self.granted_total(limit.name) + extra_floors
