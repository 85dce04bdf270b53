"""What each holder is to have of each limit in the end, by its demand.

Owns the targets, computed anew now and then as one request changes them little. It must never grant anything:
allocator.py approaches the targets step by step. Times are microseconds on the boot clock.
"""

from collections.abc import Mapping

from finchcart.fleet.units import MS
from finchcart.quota.fair_share import prioritized_shares
from finchcart.quota.holder_records import HolderKey, HolderRecord, LimitRecord
from finchcart.quota.limits import Limit, QuotaConfig

TARGETS_LIFETIME_US = 50 * MS  # until targets are computed anew
NO_DEMAND = LimitRecord()  # of a holder that has not reported any for a limit

Holders = Mapping[HolderKey, HolderRecord]


class AllocationTargets:
    """Bounded by the holders and limits that there are.

    Arguments:
        quota: the configuration.
    """

    def __init__(self, quota: QuotaConfig) -> None:
        self.quota = quota
        self._by_limit: dict[str, dict[HolderKey, int]] = {}
        self._computed_at = 0

    def set_config(self, quota: QuotaConfig) -> None:
        """Take a new configuration."""
        self.quota = quota
        self._computed_at = 0

    def target(self, now: int, limit: Limit, key: HolderKey, holders: Holders) -> int:
        """Return what a holder is to have of a limit in the end."""
        is_stale = now - self._computed_at >= TARGETS_LIFETIME_US
        if is_stale or key not in self._by_limit.get(limit.name, ()):
            self._by_limit = {each.name: self._shares(each, holders) for each in self.quota.strict_limits}
            self._computed_at = now
        return self._by_limit[limit.name].get(key, 0)

    def _shares(self, limit: Limit, holders: Holders) -> dict[HolderKey, int]:
        """Return the fair shares of all holders; a part is kept free for new ones."""
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
        # All demand is met: half of the rest is spread, so that a jump of demand finds something at once.
        spare = (shareable - demanded) // (2 * max(1, len(demands)))
        return {key: share + spare for key, share in shares.items()}
