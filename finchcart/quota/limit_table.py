"""Reconciliation of the table that a process keeps of limits with a new configuration.

Owns nothing: the tables are their users'. It must never change what is kept of a limit that stays.
"""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from finchcart.quota.effects import LimitAllowance
from finchcart.quota.limits import Limit


class HasLimit(Protocol):
    """What is kept of one limit."""

    limit: Limit


T = TypeVar("T", bound=HasLimit)


def reconcile(
    table: dict[str, T], limits: Iterable[Limit], create: Callable[[Limit], T]
) -> list[LimitAllowance]:
    """Take the limits of a new configuration.

    Arguments:
        table: name of a limit -> what is kept of it; changed in place.
        limits: all that the table is to have.
        create: what is kept of a limit that is new.

    Returns:
        An effect for each limit that is removed.
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
