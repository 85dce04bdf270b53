"""The effects that all state machines of a fleet emit.

Owns their types alone. Each package adds effects of its own; a driver tells effects apart by type.
"""

from typing import Any, NamedTuple

from finchcart.fleet.codec import HostPort

FleetEffect = tuple[Any, ...]  # of any package: a NamedTuple type each


class SendDatagram(NamedTuple):
    """Send a datagram to an address."""

    address: HostPort
    data: bytes


class LogLine(NamedTuple):
    """Write one line for the operators, with structured fields."""

    text: str
    fields: dict[str, Any]
