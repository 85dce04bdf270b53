"""The inputs that only a member takes; finchcart/fleet/inputs.py has the common ones."""

from typing import Any, NamedTuple

from finchcart.membership.config import MembershipConfig


class MembershipConfigChanged(NamedTuple):
    """The settings file was reloaded and gives this configuration."""

    config: MembershipConfig


class PiggybackInput(NamedTuple):
    """An input that the member passes on to its `PiggybackClient` state machines."""

    event: tuple[Any, ...]
