"""The client of the store that all nodes share, which makes the calls of the runs.

`StoreClient` owns the connections to the store, each of which carries one call at a time, and the timeout of
each call. It must never make a call on a connection where a late or duplicate reply to another call of the
same RPC could be mistaken for the reply to this call. It must never retry a call: the decision module decides
about retries.
"""

from collections.abc import Callable
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Drop, Read, Send, SendBefore
from finchcart.node.rpc import NodeRpc
from finchcart.protocol import store_codec
from finchcart.protocol.messages import StoreReply

PARTY = "store"  # prefix of log lines and of statistics counters

CallEnded = Callable[[NodeRpc, Outcome, bytes, int], None]


class StoreConnection:
    """One connection to the store.

    A connection carries one call at a time, so that a corrupt reply fails no other call.
    """

    __slots__ = ("idle_since", "is_leased", "names_used", "number", "retired", "rpc")

    def __init__(self, number: int) -> None:
        self.number = number
        self.rpc: NodeRpc | None = None  # the RPC whose call is in flight on this connection
        self.is_leased = False  # whether that call uses the leased part of the fleet limit, beyond the floor
        self.names_used: set[str] = set()  # names of all RPCs whose calls this connection has carried
        self.retired = False  # whether the connection is closed after its current call
        self.idle_since = 0  # valid only while no call is in flight


class AbandonedCall(NamedTuple):
    """An abandoned call that the store may still be working on."""

    counted_until: int
    is_leased: bool


class StoreClient:
    """The client that makes calls to the store. Times are whole microseconds.

    `call_ended(rpc, outcome, body, spent_us)` is called at the end of each call that was not dropped. An
    abandoned call still counts as in flight for `linger_us`. Bounds: at most as many connections as the
    decision module allows calls at once; a connection is closed when it has been idle for too long or has
    carried `limits.calls_per_store_connection` calls. The list of abandoned calls holds those of the last
    `linger_us`.
    """

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        address: tuple[str, int] | None,
        call_ended: CallEnded,
        linger_us: int = 0,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.limits = limits
        self.address = address
        self.call_ended = call_ended
        self.linger_us = linger_us
        self.connections: dict[int, StoreConnection] = {}
        self.idle: list[StoreConnection] = []  # the most recently used connection is last and reused first
        self._abandoned: list[AbandonedCall] = []

    def in_flight(self, leased: bool) -> int:
        """Return the number of calls that the store may be working on.

        `leased` selects either the calls beyond the floor of the fleet limit, or those within the floor.
        """
        now = self.effect_buffer.now
        self._abandoned = [call for call in self._abandoned if call.counted_until > now]
        carried = sum(
            connection.rpc is not None and connection.is_leased is leased
            for connection in self.connections.values()
        )
        return carried + sum(call.is_leased is leased for call in self._abandoned)

    def call(
        self, rpc: NodeRpc, timeout_us: int, body: bytes, leased: bool = False, write_by: int | None = None
    ) -> None:
        """Make the call of an RPC.

        Arguments:
            rpc: the RPC whose run awaits the call.
            timeout_us: the time after which the call is abandoned.
            body: the body of the call.
            leased: whether the call uses the leased part of the fleet limit, beyond the floor.
            write_by: the latest time, on the boot clock, at which the call may be written; after it the call
                is not written at all. None: no such limit.
        """
        effect_buffer = self.effect_buffer
        connection = self._connection_for(rpc)
        connection.rpc = rpc
        connection.is_leased = leased
        connection.names_used.add(rpc.name)
        rpc.call_connection = connection.number
        rpc.call_started_at = effect_buffer.now
        rpc.calls_made += 1
        data = store_codec.encode_call(rpc.name, timeout_us, body)
        if write_by is None:
            effect_buffer.emit(Send(connection.number, data))
        else:
            effect_buffer.emit(SendBefore(connection.number, data, write_by))
        effect_buffer.schedule(effect_buffer.now + timeout_us, self.time_out, rpc, rpc.calls_made)

    def drop(self, rpc: NodeRpc) -> None:
        """Abandon the call of an RPC, and close its connection, on which a late reply may still arrive."""
        if rpc.call_connection is None:
            return
        connection = self.connections.get(rpc.call_connection)
        rpc.call_connection = None
        if connection:
            self._close(connection)

    def time_out(self, rpc: NodeRpc, call_number: int) -> None:
        """Abandon the call of an RPC on its timeout, unless the call of this number is already over."""
        if rpc.call_connection is not None and rpc.calls_made == call_number:
            self.drop(rpc)
            self.call_ended(rpc, Outcome.TIMEOUT, b"", self.effect_buffer.now - rpc.call_started_at)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Make new calls to another address; calls in flight end on their connections to the old address."""
        self.address = address
        for connection in list(self.connections.values()):
            self._retire(connection)

    # ---- Events of the connections: see ConnectionOwner

    def message_received(self, number: int, message: StoreReply) -> None:
        """Complete the call in flight on the connection, if the reply belongs to this call."""
        connection = self.connections.get(number)
        if connection is None:
            return
        name, outcome, body = message
        rpc = connection.rpc
        if rpc is None or name != rpc.name:
            # The reply is a duplicate, or belongs to another call. The connection carries no further call, on
            # which another such reply could be mistaken for its own.
            self._retire(connection)
            return
        rpc.call_connection = None
        connection.rpc = None
        if connection.retired or len(connection.names_used) >= self.limits.calls_per_store_connection:
            self._close(connection)
        else:
            connection.idle_since = self.effect_buffer.now
            self.idle.append(connection)
        self.call_ended(rpc, outcome, body, self.effect_buffer.now - rpc.call_started_at)

    def batch_completed(self, number: int) -> None:
        """Request the next read."""
        if number in self.connections:
            self.effect_buffer.emit(Read(number))

    def connection_refused(self, number: int, reason: str) -> None:
        """End the call of a connection that was never established; the store did not receive the call."""
        self._lose(number, Outcome.UNREACHABLE, reason)

    def connection_ended(self, number: int, fault: ProtocolError | None) -> None:
        """End the call of a lost connection; the store may have executed the call."""
        self._lose(number, Outcome.CONNECTION_LOST, str(fault or ""))

    def write_blocked(self, number: int) -> None:
        """Do nothing, because the timeout of the call limits how long the write can take."""

    def write_resumed(self, number: int) -> None:
        """Do nothing; see `write_blocked`."""

    def connection_closed(self, number: int) -> None:
        """Do nothing, because the connection was forgotten when it was dropped."""

    # ---- Connections

    def _connection_for(self, rpc: NodeRpc) -> StoreConnection:
        # A duplicate reply to an earlier call of the same RPC could be mistaken for the reply to this call,
        # so no connection is used for a second call of the same RPC.
        for connection in reversed(self.idle):
            if rpc.name not in connection.names_used:
                self.idle.remove(connection)
                return connection
        assert self.address is not None, "a call without an address of the store; see CorePort.call"
        effect_buffer = self.effect_buffer
        connection = StoreConnection(effect_buffer.connect("store", self.address, self))
        self.connections[connection.number] = connection
        effect_buffer.emit(Read(connection.number))
        effect_buffer.schedule(
            effect_buffer.now + self.limits.store_idle_timeout_us, self._close_if_idle, connection
        )
        return connection

    def _lose(self, number: int, outcome: Outcome, reason: str) -> None:
        connection = self.connections.get(number)
        if connection is None:
            return
        self._close(connection)
        rpc = connection.rpc
        if reason or rpc:
            call = (
                f"call of {rpc.name} after {self.effect_buffer.now - rpc.call_started_at} us"
                if rpc
                else "no call in flight"
            )
            text = f"connection {number}: {outcome.value} ({reason or 'closed'}), {call}"
            self.effect_buffer.log_fault(
                PARTY, outcome.value, f"{text}, {len(self.connections)} connections still open"
            )
        if rpc:
            rpc.call_connection = None
            self.call_ended(rpc, outcome, b"", self.effect_buffer.now - rpc.call_started_at)

    def _retire(self, connection: StoreConnection) -> None:
        """Close the connection now if it is idle, else once its current call has ended."""
        connection.retired = True
        if connection.rpc is None:
            self._close(connection)

    def _close(self, connection: StoreConnection) -> None:
        if connection.rpc is not None and self.linger_us:
            until = self.effect_buffer.now + self.linger_us
            self._abandoned.append(AbandonedCall(until, connection.is_leased))
        del self.connections[connection.number]
        if connection in self.idle:
            self.idle.remove(connection)
        self.effect_buffer.emit(Drop(connection.number))

    def _close_if_idle(self, connection: StoreConnection) -> None:
        """Close a connection that has been idle for too long, else check again when it may have been.

        The idle timeout is far below the store's own, so that no call is written to a connection that the
        store is closing.
        """
        if connection.number not in self.connections:
            return
        since = self.effect_buffer.now if connection.rpc else connection.idle_since
        due = since + self.limits.store_idle_timeout_us
        if self.effect_buffer.now >= due:
            self._close(connection)
        else:
            self.effect_buffer.schedule(due, self._close_if_idle, connection)
