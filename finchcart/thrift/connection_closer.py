"""The closing handshake by which the node closes dispatchers' connections without losing an RPC.

A `ConnectionCloser` owns the handshake, and the timers of idle connections, unused connections and
connections with health checks. An RPC that crosses a close must never stay unanswered.

The node first announces the close. The dispatcher then closes the connection once everything on it is
answered (PROTOCOL.md). A close by the dispatcher is safe because it follows all data that the dispatcher
sent. A close by the node may cross a request, if the dispatcher reads the notice late. So the node closes a
connection itself only if the dispatcher did not close it in time, or if the node is about to end:

| state | input | next |
| --- | --- | --- |
| OPEN | a timeout (idle, silent, unused), or the node drains | the notice is sent: ANNOUNCED |
| ANNOUNCED, CLOSING | a request | it is served; the state stays |
| ANNOUNCED | the close delay has passed, or the node is about to end | CLOSING |
| CLOSING | an RPC is open, or data is in transit | the state stays; another attempt follows |
| CLOSING | no RPC is open, and no data is in transit | the node's direction is closed: ENDED |
| OPEN, ANNOUNCED, CLOSING | the dispatcher closes | its RPCs are abandoned: ENDED |
| OPEN, ANNOUNCED, CLOSING | invalid bytes | UNREADABLE; ENDED once its answers are written |
"""

from finchcart.limits import Limits
from finchcart.node.effects import CloseIfIdle, Defer
from finchcart.node.frontend import FrontendHost
from finchcart.node.inputs import CloseDue
from finchcart.thrift import codec
from finchcart.thrift.dispatcher_connections import (
    DispatcherConnection,
    DispatcherConnectionState,
    DispatcherConnectionTable,
)


class ConnectionCloser:
    """Runs the closing handshake of each connection. Times are whole microseconds.

    A connection has a bounded number of timers: the current idle timer, and one timer each for an unused
    connection, for health checks, for the close delay and for the next attempt to close.
    """

    def __init__(self, host: FrontendHost, limits: Limits, table: DispatcherConnectionTable) -> None:
        self.host = host
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.table = table
        self.idle_timeout_us: int | None = None  # None until the decision module has set it
        self.announces_new = False  # whether the close of each new connection is announced immediately
        self.is_ending = False  # the node is about to end: each connection is closed once no RPC is open

    # ---- Idle connections

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set the time after which idle connections are closed, from now on."""
        self.idle_timeout_us = timeout_us
        for connection in list(self.table.connections.values()):
            self.check_idle(connection)

    def check_idle(self, connection: DispatcherConnection) -> None:
        """Announce the close of a connection that has been idle for the timeout, or schedule a check."""
        if connection.idle_since is None or self.idle_timeout_us is None:
            return
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        due = connection.idle_since + self.idle_timeout_us
        if self.effect_buffer.now >= due:
            self.announce(connection)
        elif connection.idle_timer_at is None or connection.idle_timer_at > due:
            # Only one idle timer is current, so that timers do not accumulate for a busy connection.
            connection.idle_timer_at = due
            self.effect_buffer.schedule(due, self._idle_due, connection, due)

    def _idle_due(self, connection: DispatcherConnection, due: int) -> None:
        if connection.idle_timer_at == due:
            connection.idle_timer_at = None
            self.check_idle(connection)

    # ---- Connections with health checks, and unused connections

    def check_health_check_connection(self, connection: DispatcherConnection) -> None:
        """Announce the close of a connection with health checks that has been silent, or schedule a check.

        Clients that make one health check and stay connected would otherwise fill the table. If the table is
        crowded, connections with a single call are closed after a shorter time.
        """
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        now = self.effect_buffer.now
        has_short_timeout = connection.calls < 2 and self.table.is_crowded
        timeout_us = (
            self.limits.silent_timeout_us if has_short_timeout else self.limits.health_check_idle_timeout_us
        )
        due = connection.last_message_at + timeout_us
        if now < due:
            when = min(due, now + self.limits.silent_timeout_us)
            self.effect_buffer.schedule(when, self.check_health_check_connection, connection)
        elif not connection.open_rpcs:
            self.announce(connection, self.limits.unused_close_delay_us)

    def schedule_unused_check(self, connection: DispatcherConnection) -> None:
        """Schedule the check that closes a new connection without any message."""
        self.effect_buffer.schedule(
            self.effect_buffer.now + self.limits.unused_timeout_us, self._close_unused, connection
        )

    def _close_unused(self, connection: DispatcherConnection) -> None:
        # The client stayed silent, or never completed its first message.
        if not connection.calls and connection.state is DispatcherConnectionState.OPEN:
            self.host.record_invalid_traffic(connection.number)
            self.announce(connection, self.limits.unused_close_delay_us)

    # ---- The end of the node

    def announce_all(self) -> None:
        """Announce the close of every open connection.

        A busy connection is never idle. Without the notice, it would stay open until the platform kills the
        node, and its RPCs in flight would be lost. Connections that are opened later are closed when they
        are idle or when the node ends: with an immediate notice, their callers would reconnect for each RPC.
        """
        for connection in list(self.table.connections.values()):
            self.announce(connection)

    def close_all(self) -> None:
        """Close each connection as soon as no RPC is open on it and no data is unread."""
        self.is_ending = True
        for connection in list(self.table.connections.values()):
            self.announce(connection)
            self._begin_closing(connection)

    # ---- The closing handshake

    def announce(self, connection: DispatcherConnection, delay_us: int | None = None) -> None:
        """Send the notice of the close to the dispatcher, which then has `delay_us` to close the connection.

        Without `delay_us`, it has `limits.close_delay_us`. The notice keeps RPCs from crossing the close.
        """
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        connection.state = DispatcherConnectionState.ANNOUNCED
        self.table.send(connection, codec.closing_notice())
        due = self.effect_buffer.now + (delay_us or self.limits.close_delay_us)
        self.effect_buffer.schedule(due, self._begin_closing, connection)

    def last_rpc_closed(self, connection: DispatcherConnection) -> None:
        """Continue the close or check the idle time, as no RPC is open on the connection any more."""
        if connection.state is DispatcherConnectionState.CLOSING:
            self._schedule_close(connection)
        else:
            self.check_idle(connection)

    def _begin_closing(self, connection: DispatcherConnection) -> None:
        if connection.state is DispatcherConnectionState.ANNOUNCED:
            connection.state = DispatcherConnectionState.CLOSING
            self._defer_close(connection)

    def _schedule_close(self, connection: DispatcherConnection) -> None:
        """Schedule another attempt to close, unless one is already scheduled."""
        if connection.is_close_scheduled:
            return
        connection.is_close_scheduled = True
        self.effect_buffer.schedule_after(self._retry_interval_us, self._defer_close, connection)

    @property
    def _retry_interval_us(self) -> int:
        limits = self.limits
        return limits.finish_retry_interval_us if self.is_ending else limits.close_retry_interval_us

    def _defer_close(self, connection: DispatcherConnection) -> None:
        """Attempt the close after all inputs that were received before.

        If the attempt were made immediately, an RPC of this connection might be waiting among the inputs of
        the current turn, and would be processed between the check and the close.
        """
        connection.is_close_scheduled = False
        if connection.state is DispatcherConnectionState.CLOSING:
            self.effect_buffer.emit(Defer(CloseDue(connection.number)))

    def close_due(self, number: int) -> None:
        """Attempt to close unless an RPC is open; all inputs that were received before are processed."""
        connection = self.table.find_usable(number)
        if connection and not connection.open_rpcs:
            self.effect_buffer.emit(CloseIfIdle(number))

    def close_attempted(self, number: int, closed: bool) -> None:
        """End a connection that was closed, or schedule another attempt.

        A dispatcher that has sent part of a message and does not complete it cannot delay the close for
        longer than `limits.partial_message_timeout_us`.
        """
        connection = self.table.find_usable(number)
        if connection is None:
            return
        connection.close_attempts += 1
        elapsed_us = connection.close_attempts * self._retry_interval_us
        is_incomplete = elapsed_us > self.limits.partial_message_timeout_us and not connection.write_blocked
        if closed or is_incomplete:
            self.table.end(connection)
        else:
            self._schedule_close(connection)
