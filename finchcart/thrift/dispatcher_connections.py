"""The dispatchers' connections: what is open on each, and how one is ended.

Owns the state of each connection. It must never close a connection that has a response pending, unless
the dispatcher has gone or the kill is due.
"""

from enum import Enum

from finchcart.limits import Limits
from finchcart.node.effects import Close, Drop, Read, Send
from finchcart.node.frontend import FrontendHost
from finchcart.node.rpc import NodeRpc


class DispatcherConnectionState(Enum):
    """Where a connection stands on its way to its end; connection_closer.py has the table of transitions.

    Source: PROTOCOL.md, "Dispatchers to nodes": `closing`, and what crosses a close.
    """

    OPEN = "open"
    ANNOUNCED = "close announced"  # requests are served; the dispatcher is expected to close
    CLOSING = "closing"  # requests are served; closed as soon as nothing is open or on its way
    UNREADABLE = "unreadable"  # it sent what cannot be read: closed once its answers are written
    ENDED = "ended"  # nothing more is read or sent

    @property
    def is_usable(self) -> bool:
        """Return whether messages are still accepted."""
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
        self.calls = 0  # messages that require an answer
        self.last_message_at = now
        self.write_blocked = False  # the dispatcher does not read what is sent
        self.reads_requested = 1  # and not completed
        self.reads_after_resume = 0  # reads that are requested once its writes are not blocked any more
        self.idle_since: int | None = None
        self.idle_timer_at: int | None = None  # the one timer that counts
        self.health_checked = False
        self.state = DispatcherConnectionState.OPEN
        self.is_close_scheduled = False  # another attempt to close it
        self.close_attempts = 0  # since something came last

    @property
    def ended(self) -> bool:
        """Return whether nothing more is read or sent."""
        return self.state is DispatcherConnectionState.ENDED


class DispatcherConnectionTable:
    """The connections by number. Times are whole microseconds.

    Bounds: `limits.max_connections`, kept by connection_limiter.py; `limits.open_rpcs` on each, kept by the
    frontend.
    """

    def __init__(self, host: FrontendHost, limits: Limits) -> None:
        self.host = host
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.max_connections = limits.max_connections
        self.connections: dict[int, DispatcherConnection] = {}

    def add(self, number: int) -> DispatcherConnection:
        """Add a connection that a dispatcher made, and return its state."""
        connection = self.connections[number] = DispatcherConnection(number, self.effect_buffer.now)
        return connection

    def usable(self, number: int) -> DispatcherConnection | None:
        """Return the connection of that number, or None where messages are no longer accepted from it."""
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
        """Write, unless the connection has ended."""
        if not connection.ended:
            self.effect_buffer.emit(Send(connection.number, data))

    # ---- Reads

    def request_more_reads(self, connection: DispatcherConnection) -> None:
        """Request the next reads, after a batch.

        A connection that carried RPCs is read ahead: its reader need not be woken for each. One whose peer
        does not read what it is sent is not: guards against one that sends and never reads.
        """
        connection.reads_requested -= 1
        only_checks = connection.health_checked or connection.calls < 2
        wanted = 1 if only_checks else self.limits.read_ahead
        connection.reads_after_resume = max(0, wanted - connection.reads_requested)
        if not connection.write_blocked:
            self._request_reads(connection)

    def _request_reads(self, connection: DispatcherConnection) -> None:
        for _ in range(connection.reads_after_resume):
            self.effect_buffer.emit(Read(connection.number))
        connection.reads_requested += connection.reads_after_resume
        connection.reads_after_resume = 0

    def write_blocked(self, number: int) -> None:
        """Stop reading from a dispatcher that does not read what it is sent."""
        if number in self.connections:
            self.connections[number].write_blocked = True

    def write_resumed(self, number: int) -> None:
        """Read again, as all pending data is written; or end what waited for that."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.write_blocked = False
        if connection.state.is_usable:
            self._request_reads(connection)
        else:
            self.end_unreadable(connection)

    # ---- The end of a connection

    def end(self, connection: DispatcherConnection, effect: type[Close] | type[Drop] = Close) -> None:
        """End a connection: nothing more is read or sent, and a peer that does not close is dropped."""
        connection.state = DispatcherConnectionState.ENDED
        self.effect_buffer.emit(effect(connection.number))
        linger = self.limits.crossing_window_us if self.is_nearly_full else self.limits.linger_timeout_us
        self.effect_buffer.schedule(self.effect_buffer.now + linger, self._drop_ended, connection)

    def _drop_ended(self, connection: DispatcherConnection) -> None:
        """Drop a connection that has ended, once nothing is pending.

        Guards against answers that are cut off as the peer reads slowly. A write that makes no progress
        breaks the connection by itself.
        """
        if connection.write_blocked and connection.number in self.connections:
            self.effect_buffer.schedule(
                self.effect_buffer.now + self.limits.linger_timeout_us, self._drop_ended, connection
            )
        else:
            self.effect_buffer.emit(Drop(connection.number))

    def end_unreadable(self, connection: DispatcherConnection) -> None:
        """End a connection that sent what cannot be read, once its answers are written."""
        is_done = not connection.open_rpcs and not connection.write_blocked
        if connection.state is DispatcherConnectionState.UNREADABLE and is_done:
            self.end(connection)

    def remove(self, number: int) -> DispatcherConnection | None:
        """Remove a closed connection, and return its state, or None."""
        return self.connections.pop(number, None)
