"""The closing of dispatchers' connections by the node: announced before, with nothing in flight.

Owns the timers of idle, unused and health-checked connections and the closing handshake. It must never let an
RPC cross a close unanswered.

The dispatcher closes a connection whose close was announced, once everything on it is answered (PROTOCOL.md).
Its end follows all that it sent, while a close by the node may cross a request of one that reads the notice
late. So the node closes only where the dispatcher did not, when its patience or the node's time is over:

| state | input | next |
| --- | --- | --- |
| OPEN | idle, silent or unused for its time; the node leaves | the notice is sent: ANNOUNCED |
| ANNOUNCED, CLOSING | a request | is served; the state stays |
| ANNOUNCED | its patience is over, or the node ends | CLOSING |
| CLOSING | an RPC is open, or something is on its way | the state stays; another look follows |
| CLOSING | nothing is | the node's direction is closed: ENDED |
| OPEN, ANNOUNCED, CLOSING | the dispatcher closes | its RPCs are abandoned: ENDED |
| OPEN, ANNOUNCED, CLOSING | what cannot be read | UNREADABLE; ENDED once its answers are written |
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
    """The closing handshake of each connection. Times are whole microseconds.

    Bounds: a few timers a connection: one that counts for idling, one each for unused, checked, announced and
    closing.
    """

    def __init__(self, host: FrontendHost, limits: Limits, table: DispatcherConnectionTable) -> None:
        self.host = host
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.table = table
        self.idle_timeout_us: int | None = None  # None: not known yet
        self.announces_new = False  # the close of connections that are made from now on
        self.is_ending = False  # each connection is closed as soon as nothing is open on it

    # ---- Idle connections

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Close connections that have been idle for this time, from now on."""
        self.idle_timeout_us = timeout_us
        for connection in list(self.table.connections.values()):
            self.check_idle(connection)

    def check_idle(self, connection: DispatcherConnection) -> None:
        """Close a connection that has been idle for the timeout, or schedule a later check."""
        if connection.idle_since is None or self.idle_timeout_us is None:
            return
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        due = connection.idle_since + self.idle_timeout_us
        if self.effect_buffer.now >= due:
            self.announce(connection)
        elif connection.idle_timer_at is None or connection.idle_timer_at > due:
            # Guards against timers that pile up on a busy connection: only its next check counts.
            connection.idle_timer_at = due
            self.effect_buffer.schedule(due, self._idle_due, connection, due)

    def _idle_due(self, connection: DispatcherConnection, due: int) -> None:
        if connection.idle_timer_at == due:
            connection.idle_timer_at = None
            self.check_idle(connection)

    # ---- Connections of health checks, and unused ones

    def check_health_checker(self, connection: DispatcherConnection) -> None:
        """Close a connection that carries health checks alone, once it is silent.

        Guards against those that check once and stay open, above all where there are many.
        """
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        now = self.effect_buffer.now
        checked_once = connection.calls < 2 and self.table.is_crowded
        timeout_us = (
            self.limits.silent_timeout_us if checked_once else self.limits.health_check_idle_timeout_us
        )
        due = connection.last_message_at + timeout_us
        if now < due:
            when = min(due, now + self.limits.silent_timeout_us)
            self.effect_buffer.schedule(when, self.check_health_checker, connection)
        elif not connection.open_rpcs:
            self.announce(connection, self.limits.unused_close_delay_us)

    def watch_unused(self, connection: DispatcherConnection) -> None:
        """Close a new connection that carries no message in time."""
        self.effect_buffer.schedule(
            self.effect_buffer.now + self.limits.unused_timeout_us, self._close_unused, connection
        )

    def _close_unused(self, connection: DispatcherConnection) -> None:
        # Guards against those that stay silent, or never complete what they send.
        if not connection.calls and connection.state is DispatcherConnectionState.OPEN:
            self.host.record_invalid_traffic(connection.number)
            self.announce(connection, self.limits.unused_close_delay_us)

    # ---- The end of the node

    def announce_all(self) -> None:
        """Announce to every connection that it will be closed.

        Guards against busy connections, which are never idle: a kill would cut them with RPCs in flight.
        Those that are made later are closed when they are idle, or at the end: else their callers would
        reconnect for each RPC.
        """
        for connection in list(self.table.connections.values()):
            self.announce(connection)

    def close_all(self) -> None:
        """Close each connection as soon as nothing is open on it or unread."""
        self.is_ending = True
        for connection in list(self.table.connections.values()):
            self.announce(connection)
            self._begin_closing(connection)

    # ---- The closing handshake

    def announce(self, connection: DispatcherConnection, patience_us: int | None = None) -> None:
        """Begin to close a connection, so that no RPC crosses the close.

        The dispatcher is notified, and given `patience_us` (None: the usual time) to close it.
        """
        if connection.state is not DispatcherConnectionState.OPEN:
            return
        connection.state = DispatcherConnectionState.ANNOUNCED
        self.table.send(connection, codec.closing_notice())
        due = self.effect_buffer.now + (patience_us or self.limits.close_delay_us)
        self.effect_buffer.schedule(due, self._begin_closing, connection)

    def all_answered(self, connection: DispatcherConnection) -> None:
        """Go on with the close, or count the idle time, now that no RPC is open on the connection."""
        if connection.state is DispatcherConnectionState.CLOSING:
            self._schedule_close(connection)
        else:
            self.check_idle(connection)

    def _begin_closing(self, connection: DispatcherConnection) -> None:
        if connection.state is DispatcherConnectionState.ANNOUNCED:
            connection.state = DispatcherConnectionState.CLOSING
            self._defer_close(connection)

    def _schedule_close(self, connection: DispatcherConnection) -> None:
        """Schedule another attempt; one is scheduled at most."""
        if connection.is_close_scheduled:
            return
        connection.is_close_scheduled = True
        self.effect_buffer.schedule_after(self._retry_interval_us, self._defer_close, connection)

    @property
    def _retry_interval_us(self) -> int:
        limits = self.limits
        return limits.finish_retry_interval_us if self.is_ending else limits.close_retry_interval_us

    def _defer_close(self, connection: DispatcherConnection) -> None:
        """Attempt the close after all that was received before it.

        Within another input's turn an RPC of this connection could be handed over between the check and the
        close.
        """
        connection.is_close_scheduled = False
        if connection.state is DispatcherConnectionState.CLOSING:
            self.effect_buffer.emit(Defer(CloseDue(connection.number)))

    def close_due(self, number: int) -> None:
        """Attempt to close, unless an RPC is open: all that was received before is handed over."""
        connection = self.table.find_usable(number)
        if connection and not connection.open_rpcs:
            self.effect_buffer.emit(CloseIfIdle(number))

    def close_attempted(self, number: int, closed: bool) -> None:
        """End a connection that is closed, or schedule another attempt."""
        connection = self.table.find_usable(number)
        if connection is None:
            return
        connection.close_attempts += 1
        tried_for_us = connection.close_attempts * self._retry_interval_us
        is_withholding = (
            tried_for_us > self.limits.partial_message_timeout_us and not connection.write_blocked
        )
        if closed or is_withholding:
            self.table.end(connection)  # guards against one that never completes a message
        else:
            self._schedule_close(connection)
