"""The inputs that all state machines of a fleet take.

Owns their types alone. Each package adds inputs of its own; a state machine ignores those that it does not
know. Inputs are told apart by type: two without fields are equal as tuples.
"""

from typing import NamedTuple

from finchcart.fleet.codec import HostPort


class Tick(NamedTuple):
    """The regular input of time."""


class DatagramReceived(NamedTuple):
    """A datagram on the state machine's channel."""

    address: HostPort  # of the sender
    data: bytes


class Leave(NamedTuple):
    """This process was told to drain: it leaves the fleet soon."""


class Shutdown(NamedTuple):
    """This process ends now."""


CommonInput = Tick | DatagramReceived | Leave | Shutdown
