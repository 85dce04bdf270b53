"""Fair shares: the max-min fair division of a limit by demand, the more important demand first.

Pure functions. It must never know leases or time: allocation_targets.py and local_limits.py give the demands.
"""

from collections.abc import Hashable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bound=Hashable)


def max_min_shares(
    amount: int, demands: Mapping[Name, int], weights: Mapping[Name, float] | None = None
) -> dict[Name, int]:
    """Divide `amount` max-min fairly.

    Nobody gets more than its demand, and nobody less than another with more, in proportion to its weight; the
    method is progressive filling (Bertsekas and Gallager, Data Networks, section 6.5). What is left over by
    rounding goes to the greatest fractions, in the order of names where these are alike.

    Arguments:
        amount: to divide; a negative one counts as 0.
        demands: name -> its demand.
        weights: name -> its weight, 1 where there is none.

    Returns:
        name -> a whole part, for each name of `demands`.
    """
    weights = weights or {}
    shares = dict.fromkeys(demands, 0)
    unmet = {name: demand for name, demand in demands.items() if demand > 0}
    remaining = max(0, amount)
    while unmet and remaining > 0:
        total_weight = sum(weights.get(name, 1.0) for name in unmet)
        quotas = {name: remaining * weights.get(name, 1.0) / total_weight for name in unmet}
        met = [name for name, demand in unmet.items() if demand <= quotas[name]]
        if not met:
            shares.update(_rounded(remaining, quotas))
            break
        # Those whose demand is met in full leave the rest of their quota to the others.
        for name in met:
            shares[name] = unmet.pop(name)
            remaining -= shares[name]
    return shares


def _rounded(amount: int, quotas: Mapping[Name, float]) -> dict[Name, int]:
    """Whole parts of `amount` by the largest remainder."""
    shares = {name: int(quota) for name, quota in quotas.items()}
    remainder = amount - sum(shares.values())
    by_fraction = sorted(quotas, key=lambda name: (shares[name] - quotas[name], name))
    for name in by_fraction[:remainder]:
        shares[name] += 1
    return shares


def prioritized_shares(
    amount: int,
    demands: Mapping[Name, int],
    priority_demands: Mapping[Name, int],
    weights: Mapping[Name, float] | None = None,
) -> dict[Name, int]:
    """Divide `amount` as `max_min_shares` does, what matters more before any of the rest.

    Arguments:
        amount: to divide.
        demands: name -> its whole demand.
        priority_demands: name -> the part of that which matters more.
        weights: name -> its weight, 1 where there is none.

    Returns:
        name -> a whole part, for each name of `demands`.
    """
    first = {name: min(priority_demands.get(name, 0), demand) for name, demand in demands.items()}
    shares = max_min_shares(amount, first, weights)
    left = amount - sum(shares.values())
    rest = max_min_shares(left, {name: demands[name] - shares[name] for name in demands}, weights)
    return {name: shares[name] + rest[name] for name in demands}
