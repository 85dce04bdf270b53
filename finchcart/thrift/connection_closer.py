"""When the node closes a dispatcher's connection, and how: announced before, with nothing under way.

Owns the timers of idle, unused and health-checked connections and the closing handshake. It must never let an
RPC cross a close unanswered.
"""

from finchcart.limits import Limits
from finchcart.node.effects import CloseIfIdle, Defer
from finchcart.node.frontend import FrontendHost
from finchcart.node.inputs import CloseDue
from finchcart.thrift import codec
from finchcart.thrift.connection_table import Connection, ConnectionTable

KILL_TIME_PART = 3  # a close is waited for at most a third of the time until the kill


class ConnectionCloser:
    """The closing handshake of each connection. Times are whole microseconds.

    Bounds: a few timers a connection: one that counts for idling, one each for unused, checked and announced.
    """

    def __init__(self, host: FrontendHost, limits: Limits, table: ConnectionTable) -> None:
        self.host = host
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.table = table
        self.idle_timeout_us: int | None = None  # None: not known yet
        self.kill_at: int | None = None  # from the notice to leave on
        self.is_finishing = False  # every connection is closed as soon as nothing is open on it

    # ---- Idle connections

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Connections that are idle for so long are closed."""
        self.idle_timeout_us = timeout_us
        for connection in list(self.table.connections.values()):
            self.check_idle(connection)

    def check_idle(self, connection: Connection) -> None:
        """Closes a connection that idles for longer than is allowed, or schedules a later check."""
        if connection.idle_since is None or self.idle_timeout_us is None:
            return
        if connection.closing_announced or connection.ended:
            return
        due = connection.idle_since + self.idle_timeout_us
        if self.effect_buffer.now >= due:
            self.announce(connection)
        elif connection.idle_timer_at is None or connection.idle_timer_at > due:
            # Guards against timers that pile up on a busy connection: only its next check counts.
            connection.idle_timer_at = due
            self.effect_buffer.schedule(due, self._idle_due, connection, due)

    def _idle_due(self, connection: Connection, due: int) -> None:
        if connection.idle_timer_at == due:
            connection.idle_timer_at = None
            self.check_idle(connection)

    # ---- Connections of health checks, and unused ones

    def check_health_checker(self, connection: Connection) -> None:
        """Guards against those that check health once and stay for ever, above all where many do."""
        if connection.ended or connection.closing_announced:
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

    def watch_unused(self, connection: Connection) -> None:
        """Closes a new connection that carries no message in time."""
        self.effect_buffer.schedule(
            self.effect_buffer.now + self.limits.unused_timeout_us, self._close_unused, connection
        )

    def _close_unused(self, connection: Connection) -> None:
        """Guards against those that stay silent, or never end what they send."""
        if not connection.calls and not connection.closing_announced:
            self.host.record_invalid_traffic(connection.number)
            self.announce(connection, self.limits.unused_close_delay_us)

    # ---- The end of the node

    def announce_all(self) -> None:
        """Guards against busy connections, which never idle: a kill would cut them with RPCs on their way.

        Not those that are made later, whose callers would come again for each RPC: they are closed as they
        idle, or at the end.
        """
        for connection in list(self.table.connections.values()):
            self.announce(connection)

    def close_all(self) -> None:
        """Closes each connection as soon as nothing is open on it or unread."""
        self.is_finishing = True
        for connection in list(self.table.connections.values()):
            if connection.closing_announced:
                self._defer_close(connection)
            else:
                self.announce(connection)

    # ---- The closing handshake

    def announce(self, connection: Connection, patience_us: int | None = None) -> None:
        """Begins to close: no RPC may cross the close.

        The dispatcher is notified, and given `patience_us` (None: the usual time) before the node closes.
        """
        if connection.closing_announced or connection.ended:
            return
        connection.closing_announced = True
        self.table.send(connection, codec.closing_notice())
        patience_us = self._patience(patience_us or self.limits.close_delay_us)
        self.effect_buffer.schedule(self.effect_buffer.now + patience_us, self._defer_close, connection)

    def _defer_close(self, connection: Connection) -> None:
        """What came before the close is answered first.

        Not within another input's turn, which may hand over an RPC of this very connection after the look and
        before the close.
        """
        if connection.is_usable:
            self.effect_buffer.emit(Defer(CloseDue(connection.number)))

    def close_due(self, number: int) -> None:
        """All that was received before is handed over: tries to close, or waits for what is open."""
        connection = self.table.usable(number)
        if connection is None:
            return
        if connection.open_rpcs:
            patience_us = self._patience(self.limits.close_delay_us)
            self.effect_buffer.schedule(self.effect_buffer.now + patience_us, self._defer_close, connection)
        else:
            self.effect_buffer.emit(CloseIfIdle(number))

    def close_attempted(self, number: int, closed: bool) -> None:
        """Ends a connection that is closed, or tries again."""
        connection = self.table.usable(number)
        if connection is None:
            return
        connection.close_attempts += 1
        limits = self.limits
        interval_us = limits.finish_retry_interval_us if self.is_finishing else limits.close_retry_interval_us
        tried_for_us = connection.close_attempts * interval_us
        holds_back = tried_for_us > limits.partial_message_timeout_us and not connection.write_blocked
        if closed or holds_back:
            self.table.end(connection)  # guards against one that never sends the rest of what it began
        else:
            self.effect_buffer.schedule(self.effect_buffer.now + interval_us, self._defer_close, connection)

    def _patience(self, patience_us: int) -> int:
        """Guards against connections of slow dispatchers, cut by the kill instead of closed before it."""
        if self.kill_at is None:
            return patience_us
        if self.is_finishing:
            return self.limits.finish_retry_interval_us
        until_kill_us = self.kill_at - self.effect_buffer.now
        return min(patience_us, max(self.limits.unused_close_delay_us, until_kill_us // KILL_TIME_PART))
