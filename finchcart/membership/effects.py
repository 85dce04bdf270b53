"""The effects that only a member emits; finchcart/fleet/effects.py has the common ones."""

from typing import NamedTuple


class MemberChanged(NamedTuple):
    """A member's state or incarnation changed in this process's view."""

    name: str
    state: str  # value of a `MemberState`
    incarnation: int


class IsolationChanged(NamedTuple):
    """This process became isolated from the fleet, or is no longer isolated."""

    is_isolated: bool
    reason: str
