"""The effect of lease holders and local limits, besides those of finchcart/fleet/effects.py.

Owns its type alone.
"""

from typing import NamedTuple


class LimitAllowance(NamedTuple):
    """What this process may use of a limit from now on: its floor, and `amount` beyond it."""

    limit: str
    floor: int | None  # None: the limit does not exist any more
    amount: int
    until: int  # microseconds on the boot clock

    @classmethod
    def removed(cls, limit: str) -> "LimitAllowance":
        """Return the effect for a limit that is not in the configuration any more."""
        return cls(limit, floor=None, amount=0, until=0)
