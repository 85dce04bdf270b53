"""Target allocations: the amount of each limit that each lease holder is to reach, computed from its demand.

The module owns the targets. It computes all of them together and keeps them for `TARGETS_LIFETIME_US`, since
a single request changes them little. It must not grant leases: allocator.py approaches the targets step by
step. Times are microseconds on the boot clock.
"""

from collections.abc import Mapping

from finchcart.fleet.units import MS
from finchcart.quota.fair_share import prioritized_shares
from finchcart.quota.holder_records import HolderKey, HolderRecord, LimitRecord
from finchcart.quota.limits import Limit, QuotaConfig

TARGETS_LIFETIME_US = 50 * MS  # the targets are recomputed after this time
NO_DEMAND = LimitRecord()  # stands for a limit of which a holder has not reported any demand

Holders = Mapping[HolderKey, HolderRecord]


class AllocationTargets:
    """The targets of all holders; there is one target for each holder and limit.

    Arguments:
        quota: the configuration.
    """

    def __init__(self, quota: QuotaConfig) -> None:
        self.quota = quota
        self._by_limit: dict[str, dict[HolderKey, int]] = {}
        self._computed_at = 0

    def set_config(self, quota: QuotaConfig) -> None:
        """Replace the configuration; the next call of `target` recomputes the targets."""
        self.quota = quota
        self._computed_at = 0

    def target(self, now: int, limit: Limit, key: HolderKey, holders: Holders) -> int:
        """Return the amount of a limit, beyond the floor, that a holder is to reach."""
        is_stale = now - self._computed_at >= TARGETS_LIFETIME_US
        if is_stale or key not in self._by_limit.get(limit.name, ()):
            self._by_limit = {each.name: self._shares(each, holders) for each in self.quota.strict_limits}
            self._computed_at = now
        return self._by_limit[limit.name].get(key, 0)

    def _shares(self, limit: Limit, holders: Holders) -> dict[HolderKey, int]:
        """Return the fair share of each holder; a reserve is kept free for new holders."""
        shareable = limit.shareable(self.quota.max_processes)
        records = {key: holder.limits.get(limit.name, NO_DEMAND) for key, holder in holders.items()}
        demands = {
            key: record.demand
            for key, record in records.items()
            if record.demand or not holders[key].is_leaving
        }
        demanded = sum(demands.values())
        reserve = int(shareable * self.quota.reserve) if demanded >= shareable else 0
        priority_demands = {key: records[key].priority_demand for key in demands}
        weights = {key: records[key].weight for key in demands}
        shares = prioritized_shares(shareable - reserve, demands, priority_demands, weights)
        if demanded >= shareable:
            return shares
        # All demand is met. Half of what remains is divided evenly, so that a holder whose demand suddenly
        # rises can use a part of it before its next request.
        spare = (shareable - demanded) // (2 * max(1, len(demands)))
        return {key: share + spare for key, share in shares.items()}
