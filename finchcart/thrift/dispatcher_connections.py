"""The state of the dispatchers' connections, and how a connection is ended.

A `DispatcherConnectionTable` owns the state of each connection. It must never close a connection that has a
response pending, unless the dispatcher has closed it, it broke, or the platform is about to kill the node.
"""

from enum import Enum

from finchcart.limits import Limits
from finchcart.node.effects import Close, Drop, Read, Send
from finchcart.node.frontend import FrontendHost
from finchcart.node.rpc import NodeRpc


class DispatcherConnectionState(Enum):
    """The state of a connection during its close; connection_closer.py has the table of transitions.

    The protocol is described in PROTOCOL.md, "Dispatchers to nodes": the notice `closing`, and requests that
    cross a close.
    """

    OPEN = "open"
    ANNOUNCED = "close announced"  # requests are served; the dispatcher is expected to close the connection
    CLOSING = "closing"  # requests are served; closed once no RPC is open and no data is in transit
    UNREADABLE = "unreadable"  # received invalid bytes; closed once the answers to earlier RPCs are written
    ENDED = "ended"  # nothing more is read or sent

    @property
    def is_usable(self) -> bool:
        """Return whether messages are still accepted on the connection."""
        return self in (
            DispatcherConnectionState.OPEN,
            DispatcherConnectionState.ANNOUNCED,
            DispatcherConnectionState.CLOSING,
        )


class DispatcherConnection:
    """The state of one connection of a dispatcher."""

    __slots__ = (
        "calls",
        "close_attempts",
        "health_checked",
        "idle_since",
        "idle_timer_at",
        "is_close_scheduled",
        "last_message_at",
        "number",
        "open_rpcs",
        "reads_after_resume",
        "reads_requested",
        "state",
        "write_blocked",
    )

    def __init__(self, number: int, now: int) -> None:
        self.number = number
        self.open_rpcs: dict[int, NodeRpc] = {}  # by sequence number
        self.calls = 0  # received messages that require an answer
        self.last_message_at = now
        self.write_blocked = False  # data is pending because the dispatcher does not read
        self.reads_requested = 1  # batches that were requested and not received yet
        self.reads_after_resume = 0  # batches to request once writes are no longer blocked
        self.idle_since: int | None = None
        self.idle_timer_at: int | None = None  # due time of the current idle timer; others are ignored
        self.health_checked = False  # the connection has carried a health check
        self.state = DispatcherConnectionState.OPEN
        self.is_close_scheduled = False  # a timer for the next attempt to close is pending
        self.close_attempts = 0  # number of attempts to close since the last message

    @property
    def ended(self) -> bool:
        """Return whether the connection has ended: nothing more is read or sent."""
        return self.state is DispatcherConnectionState.ENDED


class DispatcherConnectionTable:
    """The connections by number. Times are whole microseconds.

    connection_limiter.py keeps the table within `limits.max_connections`; the frontend keeps each connection
    within `limits.open_rpcs`.
    """

    def __init__(self, host: FrontendHost, limits: Limits) -> None:
        self.host = host
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.max_connections = limits.max_connections
        self.connections: dict[int, DispatcherConnection] = {}

    def add(self, number: int) -> DispatcherConnection:
        """Add a connection that a dispatcher opened, and return its state."""
        connection = self.connections[number] = DispatcherConnection(number, self.effect_buffer.now)
        return connection

    def find_usable(self, number: int) -> DispatcherConnection | None:
        """Return the connection with that number, or None if messages are no longer accepted on it."""
        connection = self.connections.get(number)
        return connection if connection and connection.state.is_usable else None

    @property
    def is_crowded(self) -> bool:
        """Return whether over a third of the table is in use."""
        return len(self.connections) > self.max_connections // 3

    @property
    def is_nearly_full(self) -> bool:
        """Return whether over three quarters of the table are in use."""
        return len(self.connections) > self.max_connections * 3 // 4

    def send(self, connection: DispatcherConnection, data: bytes) -> None:
        """Send data, unless the connection has ended."""
        if not connection.ended:
            self.effect_buffer.emit(Send(connection.number, data))

    # ---- Reads

    def request_more_reads(self, connection: DispatcherConnection) -> None:
        """Request the next batches, after a batch was received.

        For a connection that carries RPCs, several batches are requested ahead, so that the reader thread
        need not be woken for each batch. No batch is requested while writes are blocked, so the node
        reads nothing more from a dispatcher that sends data and never reads.
        """
        connection.reads_requested -= 1
        carries_few_rpcs = connection.health_checked or connection.calls < 2
        batches = 1 if carries_few_rpcs else self.limits.read_ahead
        connection.reads_after_resume = max(0, batches - connection.reads_requested)
        if not connection.write_blocked:
            self._request_reads(connection)

    def _request_reads(self, connection: DispatcherConnection) -> None:
        for _ in range(connection.reads_after_resume):
            self.effect_buffer.emit(Read(connection.number))
        connection.reads_requested += connection.reads_after_resume
        connection.reads_after_resume = 0

    def write_blocked(self, number: int) -> None:
        """Stop reading from a dispatcher that does not read the data sent to it."""
        if number in self.connections:
            self.connections[number].write_blocked = True

    def write_resumed(self, number: int) -> None:
        """Resume reading, as all pending data is written, or end a connection that waited for the writes."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.write_blocked = False
        if connection.state.is_usable:
            self._request_reads(connection)
        else:
            self.end_if_unreadable(connection)

    # ---- Ending a connection

    def end(self, connection: DispatcherConnection, effect: type[Close] | type[Drop] = Close) -> None:
        """End a connection: nothing more is read or sent.

        The connection is dropped if the peer has not closed it after the linger timeout.
        """
        connection.state = DispatcherConnectionState.ENDED
        self.effect_buffer.emit(effect(connection.number))
        linger_us = self.limits.crossing_window_us if self.is_nearly_full else self.limits.linger_timeout_us
        self.effect_buffer.schedule(self.effect_buffer.now + linger_us, self._drop_ended, connection)

    def _drop_ended(self, connection: DispatcherConnection) -> None:
        """Drop a connection that has ended, once no data is pending.

        A peer that reads slowly still receives all answers. A write that makes no progress breaks the
        connection by itself.
        """
        if connection.write_blocked and connection.number in self.connections:
            self.effect_buffer.schedule(
                self.effect_buffer.now + self.limits.linger_timeout_us, self._drop_ended, connection
            )
        else:
            self.effect_buffer.emit(Drop(connection.number))

    def end_if_unreadable(self, connection: DispatcherConnection) -> None:
        """End a connection that received invalid bytes, if all its answers are written."""
        is_answered = not connection.open_rpcs and not connection.write_blocked
        if connection.state is DispatcherConnectionState.UNREADABLE and is_answered:
            self.end(connection)

    def remove(self, number: int) -> DispatcherConnection | None:
        """Remove a closed connection; return its state, or None if there is no such connection."""
        return self.connections.pop(number, None)
