"""The inputs that all state machines of a fleet take.

Each package adds inputs of its own. A state machine ignores inputs that it does not know. Inputs must be
distinguished by type and not compared, because two NamedTuples without fields are equal.
"""

from typing import NamedTuple

from finchcart.fleet.codec import HostPort


class Tick(NamedTuple):
    """The periodic input that lets time-driven actions run."""


class DatagramReceived(NamedTuple):
    """A datagram was received on the state machine's channel."""

    address: HostPort  # the address of the sender
    data: bytes


class Leave(NamedTuple):
    """This process starts to drain and will leave the fleet soon."""


class Shutdown(NamedTuple):
    """This process terminates now."""


CommonInput = Tick | DatagramReceived | Leave | Shutdown
