"""The inputs and effects that lease holders and local limits share, besides those of membership/effects.py.

Owns the words by which a driver tells them apart. Inputs are tuples that begin with a `QuotaInput`; effects
are named tuples that begin with their kind, so that a driver can match either the type or the first field.
"""

from enum import StrEnum
from typing import Literal, NamedTuple


class QuotaInput(StrEnum):
    """The first field of an input."""

    USAGE = "use"  # name of the limit, in use, demand, part of the demand that matters more
    CONFIG = "quota"  # the new `QuotaConfig`


class LimitAllowance(NamedTuple):
    """What this process may use of a limit from now on: its floor, and `amount` beyond it.

    `until` is microseconds on the boot clock. A floor of None: the limit does not exist any more.
    """

    kind: Literal["allow"]
    limit: str
    floor: int | None
    amount: int
    until: int

    @classmethod
    def of(cls, limit: str, floor: int, amount: int, until: int) -> "LimitAllowance":
        """The effect with these fields."""
        return cls("allow", limit, floor, amount, until)

    @classmethod
    def removed(cls, limit: str) -> "LimitAllowance":
        """The effect for a limit that is not in the configuration any more."""
        return cls("allow", limit, None, 0, 0)
