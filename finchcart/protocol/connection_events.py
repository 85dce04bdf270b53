"""What can happen to a connection: the events that its threads report.

Owns types alone. Connections that others open have numbers from 1 up, those that the node opens from -1 down.
Times are whole microseconds on the boot clock.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from finchcart.errors import ProtocolError


class ConnectionOpened(NamedTuple):
    """A peer connected to the listener of a frontend."""

    connection: int
    frontend: str
    host: str | None = None  # where it comes from


class FramesReceived(NamedTuple):
    """A batch of frames, not decoded yet: converted to `MessagesReceived` before the core receives it."""

    connection: int
    frames: Sequence[bytes]
    received_at: int
    empty_at: int  # the connection had been read empty at this moment: the bytes are not older
    was_waiting: bool  # the reader waited for the first byte: the bytes were read when they arrived


class WriteBlocked(NamedTuple):
    """The peer does not read what it is sent: data is pending."""

    connection: int


class WriteResumed(NamedTuple):
    """All pending data is written."""

    connection: int


class ConnectionRefused(NamedTuple):
    """A connection that the node opened was never established."""

    connection: int
    reason: str


class ConnectionEnded(NamedTuple):
    """Nothing more will be read."""

    connection: int
    fault: ProtocolError | None  # what could not be read; None: the peer closed, or the connection broke


class ConnectionClosed(NamedTuple):
    """The socket is closed, and its number is not used again."""

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
    """Takes events from any thread, such as a queue."""

    def put(self, event: ConnectionEvent, /) -> None:
        """Add one event; never blocks for long."""
