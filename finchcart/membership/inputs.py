"""The inputs of a member, besides those of finchcart/fleet/inputs.py.

Owns their types alone.
"""

from typing import Any, NamedTuple

from finchcart.membership.config import MembershipConfig


class MembershipConfigChanged(NamedTuple):
    """The settings were read again."""

    config: MembershipConfig


class PiggybackInput(NamedTuple):
    """An input for the state machines whose gossip entries are piggybacked on the member's heartbeats."""

    event: tuple[Any, ...]
