"""The effect that lease holders and loose limits emit, besides the effects of finchcart/fleet/effects.py.

The module contains its type alone.
"""

from typing import NamedTuple


class LimitAllowance(NamedTuple):
    """What this process may use of a limit: its floor, and until the time `until` also `amount` beyond it."""

    limit: str
    floor: int | None  # None: the limit was removed from the configuration
    amount: int
    until: int  # microseconds on the boot clock

    @classmethod
    def removed(cls, limit: str) -> "LimitAllowance":
        """Return the effect for a limit that was removed from the configuration."""
        return cls(limit, floor=None, amount=0, until=0)
