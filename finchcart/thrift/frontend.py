"""The Thrift frontend: passes dispatchers' RPCs to the core, and sends the core's final answers as replies.

This module handles each message and builds the fields of each reply. Connections are managed in
dispatcher_connections.py, connection_closer.py and connection_limiter.py. Once the core has accepted an RPC,
the frontend must never answer it on its own. The contract with the core is in node/frontend.py.
"""

from collections.abc import Callable, Mapping
from typing import cast

from finchcart.errors import InvalidRpcError, ProtocolError
from finchcart.limits import Limits
from finchcart.node.effects import Read
from finchcart.node.frontend import FrontendHost
from finchcart.node.rpc import FinalOutcome, NodeRpc
from finchcart.protocol.messages import (
    DispatcherMessage,
    HeartbeatCall,
    RevokeNotice,
    SubmitCall,
    UnservedCall,
)
from finchcart.thrift import codec
from finchcart.thrift.connection_closer import ConnectionCloser
from finchcart.thrift.connection_limiter import ConnectionLimiter
from finchcart.thrift.dispatcher_connections import (
    DispatcherConnection,
    DispatcherConnectionState,
    DispatcherConnectionTable,
)
from finchcart.thrift.fields import read_rpc

PARTY = "dispatchers"  # the name of the peers in log lines
US_PER_MS = 1000


class ThriftFrontend:
    """A `Frontend` for dispatchers; `DispatcherConnectionTable` bounds its connections and open RPCs."""

    def __init__(self, core: FrontendHost, limits: Limits) -> None:
        self.core = core
        self.effect_buffer = core.effect_buffer
        self.limits = limits
        self.healthy = True
        self.table = DispatcherConnectionTable(core, limits)
        self.closer = ConnectionCloser(core, limits, self.table)
        self.limiter = ConnectionLimiter(core, limits, self.table, self.closer)
        self._handlers: dict[type[DispatcherMessage], Callable[..., None]] = {
            SubmitCall: self._on_submit,
            RevokeNotice: self._on_revoke,
            HeartbeatCall: self._on_heartbeat,
            UnservedCall: self._on_unserved,
        }

    # ---- Connections: methods of ConnectionOwner and Frontend

    def connection_opened(self, number: int) -> None:
        """Add a connection that a dispatcher opened; other connections may be closed to make room."""
        connection = self.table.add(number)
        self.limiter.connection_added()
        if connection.ended:
            return
        self.effect_buffer.emit(Read(number))
        if self.closer.announces_new:
            self.closer.announce(connection)
        else:
            self.closer.schedule_unused_check(connection)

    def message_received(self, number: int, message: DispatcherMessage) -> None:
        """Handle one message by its type; ignore messages after an invalid one."""
        connection = self.table.find_usable(number)
        if connection is None:
            return
        kind = type(message)
        if kind is not RevokeNotice:
            connection.calls += 1
        connection.last_message_at = self.effect_buffer.now
        connection.close_attempts = 0
        self._handlers[kind](connection, *message)
        if connection.idle_since is None and not (connection.open_rpcs or connection.health_checked):
            connection.idle_since = self.effect_buffer.now
            self.closer.check_idle(connection)

    def batch_completed(self, number: int) -> None:
        """Request the next batches of messages from the connection's reader thread."""
        connection = self.table.find_usable(number)
        if connection:
            self.table.request_more_reads(connection)

    def write_blocked(self, number: int) -> None:
        """Stop reading from a dispatcher that does not read the data sent to it."""
        self.table.write_blocked(number)

    def write_resumed(self, number: int) -> None:
        """Resume reading from a dispatcher to which all pending data is written."""
        self.table.write_resumed(number)

    def connection_ended(self, number: int, fault: ProtocolError | None) -> None:
        """End the connection; `fault` is None if the dispatcher closed it or it broke."""
        connection = self.table.find_usable(number)
        if connection is None:
            return  # an UNREADABLE connection may end later, while responses to earlier RPCs are pending
        if fault is not None:
            # The connection is closed once the RPCs that were read before the invalid bytes are answered.
            pending = len(connection.open_rpcs)
            text = f"connection {number}: {fault}; closing it once {pending} pending answers are sent"
            self.effect_buffer.log_fault(PARTY, "unreadable", text)
            connection.state = DispatcherConnectionState.UNREADABLE
            self.core.record_invalid_traffic(number)
            self.table.end_if_unreadable(connection)
        else:
            if not connection.calls and connection.state is DispatcherConnectionState.OPEN:
                self.core.record_invalid_traffic(number)
            self._abandon_all(connection)
            self.table.end(connection)

    def connection_refused(self, number: int, reason: str) -> None:
        """Do nothing: this frontend opens no connections."""

    def close_due(self, number: int) -> None:
        """Attempt to close the connection; see `ConnectionCloser.close_due`."""
        self.closer.close_due(number)

    def close_attempted(self, number: int, closed: bool) -> None:
        """Handle the result of an attempt to close; see `ConnectionCloser.close_attempted`."""
        self.closer.close_attempted(number, closed)

    def connection_closed(self, number: int) -> None:
        """Remove the connection, and abandon its open RPCs."""
        connection = self.table.remove(number)
        if connection:
            self._abandon_all(connection)

    def _abandon_all(self, connection: DispatcherConnection) -> None:
        connection.state = DispatcherConnectionState.ENDED
        while connection.open_rpcs:
            self._abandon(connection, next(iter(connection.open_rpcs)))

    def _abandon(self, connection: DispatcherConnection, sequence: int) -> None:
        rpc = connection.open_rpcs.pop(sequence)
        self._rpc_closed(connection)
        self.core.abandon(rpc)

    def _rpc_closed(self, connection: DispatcherConnection) -> None:
        """Update the connection after one of its RPCs was closed."""
        if not connection.open_rpcs:
            connection.idle_since = self.effect_buffer.now
            self.closer.last_rpc_closed(connection)
        self.table.end_if_unreadable(connection)

    # ---- Messages

    def _on_unserved(self, connection: DispatcherConnection, sequence: int | None, name: str) -> None:
        if sequence is not None:
            text = f"method {name!r}: not served here"
            self.table.send(
                connection, codec.application_exception(sequence, name, codec.UNKNOWN_METHOD, text)
            )

    def _on_heartbeat(self, connection: DispatcherConnection, sequence: int) -> None:
        if not connection.health_checked:
            connection.health_checked = True
            self.closer.check_health_check_connection(connection)
        self.table.send(connection, codec.health_reply(sequence, self.healthy, self._feedback_fields()))

    def _on_revoke(self, connection: DispatcherConnection, sequence: int) -> None:
        if sequence in connection.open_rpcs:
            self._abandon(connection, sequence)

    def _on_submit(
        self,
        connection: DispatcherConnection,
        sequence: int,
        fields: Mapping[str, str] | None,
        body: bytes | None,
    ) -> None:
        if sequence in connection.open_rpcs:
            text = f"connection {connection.number}: sequence number {sequence} is already in use; closing it"
            self.effect_buffer.log_fault(PARTY, "sequence number in use", text)
            connection.state = DispatcherConnectionState.UNREADABLE
            return
        try:
            self._accept(connection, sequence, fields, body)
        except InvalidRpcError as error:
            connection.open_rpcs.pop(sequence, None)
            self.core.record_invalid_traffic(connection.number)
            self.table.send(
                connection,
                codec.application_exception(sequence, "submit", codec.PROTOCOL_ERROR, str(error)),
            )

    def _accept(
        self,
        connection: DispatcherConnection,
        sequence: int,
        fields: Mapping[str, str] | None,
        body: bytes | None,
    ) -> None:
        core = self.core
        read = read_rpc(fields, body, core, self.limits, core.methods, connection.number)
        if len(connection.open_rpcs) >= self.limits.open_rpcs or not core.ready:
            # Too many open RPCs on the connection, or the worker pool is not ready yet. Nothing has run.
            self.table.send(connection, codec.rejected_reply(sequence, self._feedback_fields()))
            return
        rpc = NodeRpc(self, (connection, sequence), read.name, read.method, read.body)
        connection.open_rpcs[sequence] = rpc
        connection.idle_since = None
        core.accept(rpc, read.attributes)

    # ---- Answers

    def send_final_answer(
        self, rpc: NodeRpc, outcome: FinalOutcome, result: bytes, retry_after_us: int, do_not_retry: bool
    ) -> None:
        """Send the final answer of an RPC; see `Frontend`."""
        connection, sequence = cast("tuple[DispatcherConnection, int]", rpc.reference)  # set in `_accept`
        fields = self._feedback_fields()
        if outcome is FinalOutcome.OK:
            data = codec.ok_reply(sequence, result, fields)
        elif outcome is FinalOutcome.REJECTED:
            if retry_after_us:
                fields["w"] = str(max(1, retry_after_us // US_PER_MS))
            if do_not_retry:
                fields["l"] = "1"
            data = codec.rejected_reply(sequence, fields)
        else:
            data = codec.failed_reply(sequence, fields)
        del connection.open_rpcs[sequence]
        self.table.send(connection, data)
        self._rpc_closed(connection)

    def _feedback_fields(self) -> dict[str, str]:
        """Return the feedback fields that every answer carries."""
        level = self.core.shed_level
        return {} if level is None else {"v": f"{level:.4f}"}

    # ---- Notifications from the core: methods of Frontend

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set the time after which idle connections are closed, from now on."""
        self.closer.set_idle_timeout(timeout_us)

    def set_health(self, healthy: bool) -> None:
        """Set how health checks are answered from now on."""
        self.healthy = healthy

    def drain(self, kill_at: int) -> None:
        """Do nothing: the decision module sets the idle timeout to its minimum when the drain begins."""

    def announce_close(self) -> None:
        """Announce the close of every open connection; see `ConnectionCloser.announce_all`."""
        self.closer.announce_all()

    def announce_close_of_new(self) -> None:
        """Announce the close of every open connection, and of each connection that is opened later."""
        self.closer.announces_new = True
        self.closer.announce_all()

    def close_now(self) -> None:
        """Close each connection as soon as no RPC is open on it; see `ConnectionCloser.close_all`."""
        self.closer.close_all()

    def is_idle(self) -> bool:
        """Return whether no dispatcher is connected."""
        return not self.table.connections
