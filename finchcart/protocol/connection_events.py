"""The events that the threads of a connection report.

This module defines types only. Accepted connections are numbered upwards from 1, connections that the node
opens downwards from -1. Times are whole microseconds on the boot clock.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from finchcart.errors import ProtocolError


class ConnectionOpened(NamedTuple):
    """A peer connected to the listener of a frontend."""

    connection: int
    frontend: str
    host: str | None = None  # the address of the peer


class FramesReceived(NamedTuple):
    """A batch of undecoded frames, which is converted to `MessagesReceived` for the core."""

    connection: int
    frames: Sequence[bytes]
    received_at: int
    empty_at: int  # the receive buffer was empty at this time, so the frames arrived later
    was_waiting: bool  # the reader was waiting for the first byte, so it was read when it arrived


class WriteBlocked(NamedTuple):
    """Data is pending because the peer does not read the data sent to it."""

    connection: int


class WriteResumed(NamedTuple):
    """All pending data is written, or was discarded with a broken connection."""

    connection: int


class ConnectionRefused(NamedTuple):
    """A connection that the node opened could not be established."""

    connection: int
    reason: str


class ConnectionEnded(NamedTuple):
    """Nothing more will be read from the connection."""

    connection: int
    fault: ProtocolError | None  # the error in invalid bytes; None if the peer closed or the connection broke


class ConnectionClosed(NamedTuple):
    """The socket is closed; the number of the connection is not used again."""

    connection: int


ConnectionEvent = (
    ConnectionOpened
    | FramesReceived
    | WriteBlocked
    | WriteResumed
    | ConnectionRefused
    | ConnectionEnded
    | ConnectionClosed
)


class EventSink(Protocol):
    """An object that accepts events from any thread, such as a queue."""

    def put(self, event: ConnectionEvent, /) -> None:
        """Add an event without blocking for long."""
