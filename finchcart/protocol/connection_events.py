"""What can happen to a connection: the events that its threads report.

Owns types alone. Connections that others open have numbers from 1 up, those that the node opens from -1 down.
Times are whole microseconds on the boot clock.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class ConnectionOpened(NamedTuple):
    """A peer connected to the listener of a frontend."""

    connection: int
    frontend: str
    host: str | None = None  # where it comes from


class FramesReceived(NamedTuple):
    """A batch of frames, not decoded yet: becomes `MessagesReceived` before the core sees it."""

    connection: int
    frames: Sequence[bytes]
    received_at: int
    empty_at: int  # the connection was read empty then: what came is not older
    was_waiting: bool  # for the first of the bytes, so that they were read as they came


class WriteBlocked(NamedTuple):
    """The peer does not read what is sent."""

    connection: int


class WriteResumed(NamedTuple):
    """All that was pending is written."""

    connection: int


class ConnectionRefused(NamedTuple):
    """A connection of the node's own was never established."""

    connection: int
    reason: str


class ConnectionEnded(NamedTuple):
    """Nothing more will be read; `reason` is empty where the peer closed."""

    connection: int
    reason: str


class ConnectionClosed(NamedTuple):
    """The socket is closed and its number is not used any more."""

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
