"""Reconciliation of a table of limits with a new configuration.

A process keeps such a table for its strict limits (lease_holder.py) and for its loose limits
(local_limits.py). The entry of a limit that stays must be kept as it is, apart from the limit itself.
"""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from finchcart.quota.effects import LimitAllowance
from finchcart.quota.limits import Limit


class HasLimit(Protocol):
    """The entry of one limit in a table."""

    limit: Limit


T = TypeVar("T", bound=HasLimit)


def reconcile(
    table: dict[str, T], limits: Iterable[Limit], create: Callable[[Limit], T]
) -> list[LimitAllowance]:
    """Change a table to the limits of a new configuration.

    Arguments:
        table: name of a limit -> its entry; changed in place.
        limits: all limits that the table is to contain.
        create: returns the entry of a new limit.

    Returns:
        An effect for each limit that was removed.
    """
    by_name = {limit.name: limit for limit in limits}
    removed = [name for name in table if name not in by_name]
    for name in removed:
        del table[name]
    for name, limit in by_name.items():
        if name in table:
            table[name].limit = limit
        else:
            table[name] = create(limit)
    return [LimitAllowance.removed(name) for name in removed]
