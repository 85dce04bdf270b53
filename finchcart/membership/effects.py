"""The effects of a member, besides those of finchcart/fleet/effects.py.

Owns their types alone.
"""

from typing import NamedTuple


class MemberChanged(NamedTuple):
    """A member's state or incarnation changed in this process's view."""

    name: str
    state: str  # a `MemberState`
    incarnation: int


class IsolationChanged(NamedTuple):
    """This process lost or regained contact with the fleet."""

    is_isolated: bool
    reason: str
