"""The allocator of the leading planner: which leases it granted to whom, and what it grants next.

Owns the records of the lease holders and the leases granted in this term. It must never grant what another
lease may still use, nor know how a leader is elected. `now` is the boot clock in whole microseconds.

Why a strict limit is never exceeded: the leader counts a lease from after its answer, widened, the holder
from before its request (see finchcart/fleet/leases.py). Where a holder may have one of several leases, the
greatest counts until the holder reports which it has, or they expire. A new leader waits for the longest
lease; until then it only renews what a holder reports to have. So holders together never use more than what
is counted here.

Bounds: `max_holders` records, `MAX_GRANTED` leases of a limit in each; a record ends with its last lease,
once its holder requests nothing any more.
"""

from finchcart.fleet.message_endpoint import MessageRejectedError
from finchcart.quota.allocation_targets import AllocationTargets
from finchcart.quota.holder_records import GrantedLease, HolderKey, HolderRecord, LimitRecord
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.messages import WEIGHT_SCALE, LeaseRequest, LimitDemand, LimitLease

MAX_GRANTED = 8  # leases of a limit at one holder: no more until it reports which it has


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
        self.targets = AllocationTargets(quota)

    def set_config(self, quota: QuotaConfig) -> None:
        """Take a new configuration."""
        self.quota = quota
        self.targets.set_config(quota)

    def begin_term(self, term: int, now: int) -> None:
        """Lead from now on, without records."""
        self.term = term
        self.leads_since = now
        self.holders = {}
        self.last_number = 0

    def end_term(self) -> None:
        """Drop all records: this planner does not lead any more."""
        self.holders = {}

    # ---- holders

    def register(self, now: int, request: LeaseRequest) -> HolderRecord:
        """Return the record of a request's holder.

        Raises:
            MessageRejectedError: the table of holders is full, or the request is a copy or was overtaken by a
                later one.
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
        """Drop expired leases, and holders that have none and request nothing any more."""
        for key, holder in list(self.holders.items()):
            for record in holder.limits.values():
                record.expire(now)
            has_lease = any(record.granted for record in holder.limits.values())
            if not has_lease and now - holder.requested_at > self.quota.lease_duration:
                del self.holders[key]

    def committed(self, holder: HolderRecord, limit: str) -> int:
        """Return the most that a holder may use of a limit beyond its floor."""
        record = holder.limits.get(limit)
        if record is None:
            return 0
        return max((lease.amount for lease in record.granted), default=0)

    def granted_total(self, limit: str) -> int:
        """Return what all holders may use of a limit beyond their floors."""
        return sum(self.committed(holder, limit) for holder in self.holders.values())

    def lease_count(self, limit: str) -> int:
        """Return the number of holders that have a lease of a limit."""
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
            line: what the request reports of the limit.

        Returns:
            The new lease; None where the holder may have too many already.
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
        return LimitLease(limit.name, self.last_number, amount, self.quota.lease_duration, limit.amount)

    def _end_unused(
        self, now: int, holder: HolderRecord, record: LimitRecord, request: LeaseRequest, line: LimitDemand
    ) -> None:
        """End the leases that the holder cannot use any more, by what it reports to have."""
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
                # The amount of that lease, or what is still in use of a greater one.
                lease.amount = min(line.in_use, committed)

    def _take_demand(
        self, limit: Limit, holder: HolderRecord, record: LimitRecord, line: LimitDemand
    ) -> None:
        # The greater of the last two reports counts, but for a holder that leaves: else allocations would
        # oscillate between two holders whose demand alternates.
        previous = record.reported_demand
        record.reported_demand = line.demand
        record.demand = line.demand if holder.is_leaving else max(line.demand, previous)
        record.priority_demand = line.priority_demand
        record.weight = line.weight / WEIGHT_SCALE
        record.extra_floor = max(0, line.floor - limit.floor)

    # ---- amounts

    def _amount(self, now: int, limit: Limit, key: HolderKey, line: LimitDemand) -> int:
        """Return what of a limit a holder may use beyond its floor."""
        shareable = limit.shareable(self.quota.max_processes)
        committed = self.committed(self.holders[key], limit.name)
        if now < self.leads_since + self.quota.takeover_wait:
            # Others may have all the rest from an earlier term: what this one has is renewed, and no more.
            held = line.in_use if line.term < self.term else committed
            return min(held, shareable)
        step = max(1, int(shareable * self.quota.max_step))
        free = shareable - self._committed_total(limit)
        target = self.targets.target(now, limit, key, self.holders)
        return min(target, committed + max(0, min(free, step)))

    def _committed_total(self, limit: Limit) -> int:
        """Return what all holders may use, with the part of their floors that was not set aside."""
        extra_floors = sum(
            holder.limits[limit.name].extra_floor
            for holder in self.holders.values()
            if limit.name in holder.limits
        )
        return self.granted_total(limit.name) + extra_floors
