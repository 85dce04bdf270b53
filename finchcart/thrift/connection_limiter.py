"""The limit on dispatchers' connections: selects the connections that are closed to make room for new ones.

A `ConnectionLimiter` owns the timer by which a nearly full table is checked. It must never drop a connection
with an open RPC, or one on which an RPC may be about to arrive.
"""

from finchcart.limits import Limits
from finchcart.node.effects import Drop
from finchcart.node.frontend import FrontendHost
from finchcart.thrift import codec
from finchcart.thrift.connection_closer import ConnectionCloser
from finchcart.thrift.dispatcher_connections import (
    DispatcherConnection,
    DispatcherConnectionState,
    DispatcherConnectionTable,
)


class ConnectionLimiter:
    """Keeps the table within `limits.max_connections`, with at most one timer.

    Times are whole microseconds.
    """

    def __init__(
        self, host: FrontendHost, limits: Limits, table: DispatcherConnectionTable, closer: ConnectionCloser
    ) -> None:
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.table = table
        self.closer = closer
        self._is_checking = False  # the table is nearly full and is checked periodically

    def connection_added(self) -> None:
        """Close other connections if the connection that was added makes the table too full."""
        table = self.table
        if table.is_crowded:
            self._close_least_used()
        if table.is_nearly_full and not self._is_checking:
            self._check_nearly_full()
        count = len(table.connections)
        if count > table.max_connections:
            self.effect_buffer.log_fault(
                "dispatchers",
                "table full",
                f"connection table is full: {count} connections, limit {table.max_connections}",
            )
            self._drop_unused()

    def _drop_unused(self) -> None:
        """Drop one unused connection, so that descriptors and memory do not run out.

        Prefers the connection that has been silent for the longest time after a single health check, as no
        RPC is expected on it. Otherwise drops the connection that has been silent for the longest time
        without any call, as no RPC of it can have run. A connection on which a request may be in transit is
        kept; if there are only such connections, new connections wait in the backlog.
        """
        silent_since = self.effect_buffer.now - self.limits.crossing_window_us
        unused = (
            connection
            for connection in self.table.connections.values()
            if not connection.ended
            and connection.calls <= connection.health_checked
            and (connection.health_checked or connection.last_message_at <= silent_since)
        )
        selected = min(unused, key=_by_health_check_and_silence, default=None)
        if selected:
            self.table.send(selected, codec.closing_notice())
            self.table.end(selected, Drop)

    def _close_least_used(self) -> bool:
        """Announce the close of the least used connection; return whether there was one.

        The threads of many connections can cost more than the connections' RPCs. Selects the connection that
        has been silent for the longest time among those with at most one call. If the table is nearly full,
        any idle connection can be selected, and connections with repeated health checks come last. At the
        limit a shorter silence is enough, so that a new caller with an RPC is admitted.
        """
        at_limit = len(self.table.connections) >= self.table.max_connections
        silent_since = self.effect_buffer.now - (
            self.limits.crossing_window_us if at_limit else self.limits.silent_timeout_us
        )
        max_calls = None if self.table.is_nearly_full else 1
        selected = min(
            (
                connection
                for connection in self.table.connections.values()
                if _is_closable(connection, silent_since, max_calls)
            ),
            key=_by_repeated_checks_and_silence,
            default=None,
        )
        if selected is None:
            return False
        self.closer.announce(selected, self.limits.unused_close_delay_us)
        return True

    def _check_nearly_full(self) -> None:
        """Free a quarter of the table while it is nearly full, even if no connection can be accepted."""
        table = self.table
        self._is_checking = table.is_nearly_full
        if not self._is_checking:
            return
        connections = table.connections.values()
        surplus = sum(not connection.ended for connection in connections) - table.max_connections
        for _ in range(surplus):
            self._drop_unused()
        open_count = sum(connection.state is DispatcherConnectionState.OPEN for connection in connections)
        while open_count > table.max_connections * 3 // 4 and self._close_least_used():
            open_count -= 1
        self.effect_buffer.schedule(
            self.effect_buffer.now + self.limits.crossing_window_us, self._check_nearly_full
        )


def _by_health_check_and_silence(connection: DispatcherConnection) -> tuple[bool, int]:
    return not connection.health_checked, connection.last_message_at


def _by_repeated_checks_and_silence(connection: DispatcherConnection) -> tuple[bool, int]:
    return connection.health_checked and connection.calls > 1, connection.last_message_at


def _is_closable(connection: DispatcherConnection, silent_since: int, max_calls: int | None) -> bool:
    """Return whether a connection can be closed to make room.

    It must be open, silent since `silent_since`, and have nothing in flight. With `max_calls`, it must also
    have carried at most that many calls.
    """
    if max_calls is not None and connection.calls > max_calls:
        return False
    if connection.last_message_at > silent_since or connection.open_rpcs:
        return False
    return connection.state is DispatcherConnectionState.OPEN and not connection.write_blocked
