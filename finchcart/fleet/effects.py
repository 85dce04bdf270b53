"""The effects that all state machines of a fleet emit.

Each package adds effects of its own. A driver distinguishes effects by type.
"""

from typing import Any, NamedTuple

from finchcart.fleet.codec import HostPort

FleetEffect = tuple[Any, ...]  # an instance of the NamedTuple of any effect


class SendDatagram(NamedTuple):
    """Send a datagram to an address."""

    address: HostPort
    data: bytes


class LogLine(NamedTuple):
    """Write one log line for operators, with structured fields."""

    text: str
    fields: dict[str, Any]
