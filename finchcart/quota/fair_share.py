"""Max-min fair division of a limit by demand, optionally with the more important demand first.

The functions are pure. They must not depend on leases or time: allocation_targets.py and local_limits.py
provide the demands.
"""

from collections.abc import Hashable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bound=Hashable)


def max_min_shares(
    amount: int, demands: Mapping[Name, int], weights: Mapping[Name, float] | None = None
) -> dict[Name, int]:
    """Divide `amount` max-min fairly.

    No share exceeds its demand. The shares of the demands that are not met are in proportion to their
    weights, and no other share is greater in that proportion. The method is progressive filling (Bertsekas
    and Gallager, Data Networks, section 6.5). Shares are whole numbers. The remainder of rounding goes to the
    shares with the greatest fractions, and in the order of their names where fractions are equal.

    Arguments:
        amount: the amount to divide; a negative amount counts as 0.
        demands: name -> demand.
        weights: name -> weight; a name without a weight has the weight 1.

    Returns:
        name -> share, for each name of `demands`.
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
        # A demand that is below its quota is met in full; the rest of that quota is divided among the others.
        for name in met:
            shares[name] = unmet.pop(name)
            remaining -= shares[name]
    return shares


def _rounded(amount: int, quotas: Mapping[Name, float]) -> dict[Name, int]:
    """Round quotas to whole shares that add up to `amount`, by the largest remainder method."""
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
    """Divide `amount` as `max_min_shares` does, first by the priority demands and then by the rest.

    Arguments:
        amount: the amount to divide.
        demands: name -> whole demand.
        priority_demands: name -> the part of the whole demand that is more important.
        weights: name -> weight; a name without a weight has the weight 1.

    Returns:
        name -> share, for each name of `demands`.
    """
    first = {name: min(priority_demands.get(name, 0), demand) for name, demand in demands.items()}
    shares = max_min_shares(amount, first, weights)
    left = amount - sum(shares.values())
    rest = max_min_shares(left, {name: demands[name] - shares[name] for name in demands}, weights)
    return {name: shares[name] + rest[name] for name in demands}
