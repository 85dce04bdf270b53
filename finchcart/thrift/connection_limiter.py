"""The limit on dispatchers' connections: which are closed for new ones where there are many.

Owns the timer by which a nearly full table is checked. It must never drop a connection that has an RPC open,
nor one on which an RPC may be about to arrive.
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
    """Keeps the table within `limits.max_connections`. Times are whole microseconds. Bounds: one timer."""

    def __init__(
        self, host: FrontendHost, limits: Limits, table: DispatcherConnectionTable, closer: ConnectionCloser
    ) -> None:
        self.effect_buffer = host.effect_buffer
        self.limits = limits
        self.table = table
        self.closer = closer
        self._is_checking = False  # the table is nearly full, and checked from time to time

    def connection_added(self) -> None:
        """Close others where the connection that was added makes the table too full."""
        table = self.table
        if table.is_crowded:
            self._close_least_used()
        if table.is_nearly_full and not self._is_checking:
            self._check_nearly_full()
        count = len(table.connections)
        if count > table.max_connections:
            self.effect_buffer.log_fault(
                "dispatchers", "table full", f"{count} connections, {table.max_connections} at most"
            )
            self._drop_unused()

    def _drop_unused(self) -> None:
        """Drop one unused connection, so that descriptors and memory do not run out.

        It is the longest silent that made one health check, as no RPC comes on it; else the oldest that
        carried no call, of which nothing ran. One that may be about to send is kept; where none else is left,
        new ones wait in the backlog.
        """
        since = self.effect_buffer.now - self.limits.crossing_window_us
        unused = (
            connection
            for connection in self.table.connections.values()
            if not connection.ended
            and connection.calls <= connection.health_checked
            and (connection.health_checked or connection.last_message_at <= since)
        )
        least = min(unused, key=_by_health_check_and_silence, default=None)
        if least:
            self.table.send(least, codec.closing_notice())
            self.table.end(least, Drop)

    def _close_least_used(self) -> bool:
        """Announce the close of the least used connection; return whether there was one.

        Guards against many connections whose threads cost more than their RPCs. It is one that carried one
        call at most, the longest silent first; where the table is nearly full, any that is idle, those of
        health checks last, and at the limit after a shorter silence: a new caller with an RPC is admitted.
        """
        at_limit = len(self.table.connections) >= self.table.max_connections
        since = self.effect_buffer.now - (
            self.limits.crossing_window_us if at_limit else self.limits.silent_timeout_us
        )
        most_calls = None if self.table.is_nearly_full else 1
        least = min(
            (
                connection
                for connection in self.table.connections.values()
                if _is_closable(connection, since, most_calls)
            ),
            key=_by_repeated_checks_and_silence,
            default=None,
        )
        if least is None:
            return False
        self.closer.announce(least, self.limits.unused_close_delay_us)
        return True

    def _check_nearly_full(self) -> None:
        """Free a quarter of the table while it is nearly full, also while nobody can be accepted."""
        table = self.table
        self._is_checking = table.is_nearly_full
        if not self._is_checking:
            return
        connections = table.connections.values()
        surplus = sum(not connection.ended for connection in connections) - table.max_connections
        for _ in range(surplus):
            self._drop_unused()
        staying = sum(connection.state is DispatcherConnectionState.OPEN for connection in connections)
        while staying > table.max_connections * 3 // 4 and self._close_least_used():
            staying -= 1
        self.effect_buffer.schedule(
            self.effect_buffer.now + self.limits.crossing_window_us, self._check_nearly_full
        )


def _by_health_check_and_silence(connection: DispatcherConnection) -> tuple[bool, int]:
    return not connection.health_checked, connection.last_message_at


def _by_repeated_checks_and_silence(connection: DispatcherConnection) -> tuple[bool, int]:
    return connection.health_checked and connection.calls > 1, connection.last_message_at


def _is_closable(connection: DispatcherConnection, since: int, most_calls: int | None) -> bool:
    """Return whether it has been silent since then, has nothing in flight and at most so many calls."""
    if most_calls is not None and connection.calls > most_calls:
        return False
    if connection.last_message_at > since or connection.open_rpcs:
        return False
    return connection.state is DispatcherConnectionState.OPEN and not connection.write_blocked
