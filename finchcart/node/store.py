"""Calls to the store that all nodes share.

Owns the connections to the store, each with one call at a time, and the time limit of each call. It must
never write a call where a late or copied reply to another call of the same RPC could pass for its own, nor
retry one: the decision module decides that.
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

PARTY = "store"  # in log lines

CallEnded = Callable[[NodeRpc, Outcome, bytes, int], None]


class StoreConnection:
    """One connection to the store, which carries one call at a time: a bad reply costs no other call."""

    __slots__ = ("idle_since", "is_leased", "names_used", "number", "retired", "rpc")

    def __init__(self, number: int) -> None:
        self.number = number
        self.rpc: NodeRpc | None = None  # the RPC whose call it carries
        self.is_leased = False  # that call is beyond the floor of the fleet's limit
        self.names_used: set[str] = set()  # of all RPCs that it carried calls for
        self.retired = False  # it takes no further call
        self.idle_since = 0  # of one that carries no call


class AbandonedCall(NamedTuple):
    """A call that the store may not know yet to be abandoned."""

    until: int
    is_leased: bool


class StoreClient:
    """The calls in flight. Times are whole microseconds.

    `call_ended(rpc, outcome, body, spent_us)` is notified of each call that was not dropped. Bounds:
    connections by the calls that the decision module allows at once, and each is closed once it idles or has
    carried `limits.calls_per_store_connection`; abandoned calls by what is abandoned within `linger_us`, for
    which each counts as in flight still.
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
        self.idle: list[StoreConnection] = []  # the one used last is taken first
        self._abandoned: list[AbandonedCall] = []

    def in_flight(self, leased: bool) -> int:
        """Return how many calls the store may be working on: beyond the floor of the limit, or the others."""
        now = self.effect_buffer.now
        self._abandoned = [call for call in self._abandoned if call.until > now]
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
            rpc: whose call it is.
            timeout_us: it is abandoned after this time.
            body: what the store is sent.
            leased: whether it is beyond the floor of the fleet's limit.
            write_by: on the boot clock; it is written until then or not at all. None: at any time.
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
        """Abandon a call, and its connection with it: a late reply may still come there."""
        if rpc.call_connection is None:
            return
        connection = self.connections.get(rpc.call_connection)
        rpc.call_connection = None
        if connection:
            self._close(connection)

    def time_out(self, rpc: NodeRpc, call_number: int) -> None:
        """End the RPC's call of this number, whose time limit is over."""
        if rpc.call_connection is not None and rpc.calls_made == call_number:
            self.drop(rpc)
            self.call_ended(rpc, Outcome.TIMEOUT, b"", self.effect_buffer.now - rpc.call_started_at)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Make new calls at another address; those in flight end at the old one."""
        self.address = address
        for connection in list(self.connections.values()):
            self._retire(connection)

    # ---- What comes on the connections: see ConnectionOwner

    def message_received(self, number: int, message: StoreReply) -> None:
        """Complete the call that the reply belongs to."""
        connection = self.connections.get(number)
        if connection is None:
            return
        name, outcome, body = message
        rpc = connection.rpc
        if rpc is None or name != rpc.name:
            # Guards against a copy, or another's reply, that passes for a call's: none is made here again.
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
        """End its call, which never ran."""
        self._lose(number, Outcome.UNREACHABLE, reason)

    def connection_ended(self, number: int, fault: ProtocolError | None) -> None:
        """End its call, which may have run."""
        self._lose(number, Outcome.CONNECTION_LOST, str(fault or ""))

    def write_blocked(self, number: int) -> None:
        """Do nothing: the call's own time limit bounds it."""

    def write_resumed(self, number: int) -> None:
        """Do nothing: the call's own time limit bounds it."""

    def connection_closed(self, number: int) -> None:
        """Do nothing: it was forgotten when it was dropped."""

    # ---- Connections

    def _connection_for(self, rpc: NodeRpc) -> StoreConnection:
        # Guards against a copy of a reply that passes for this call's: not where one may come.
        for connection in reversed(self.idle):
            if rpc.name not in connection.names_used:
                self.idle.remove(connection)
                return connection
        assert self.address is not None, "a call without an address: see CorePort.call"
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
                else "no call"
            )
            text = f"connection {number}: {outcome.value} ({reason or 'closed'}), {call}"
            self.effect_buffer.log_fault(
                PARTY, outcome.value, f"{text}, {len(self.connections)} connections left"
            )
        if rpc:
            rpc.call_connection = None
            self.call_ended(rpc, outcome, b"", self.effect_buffer.now - rpc.call_started_at)

    def _retire(self, connection: StoreConnection) -> None:
        """Give the connection no further call, and close it once it has none."""
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
        """Close what idles, long before the store does, so that no call crosses the store's close."""
        if connection.number not in self.connections:
            return
        since = self.effect_buffer.now if connection.rpc else connection.idle_since
        due = since + self.limits.store_idle_timeout_us
        if self.effect_buffer.now >= due:
            self._close(connection)
        else:
            self.effect_buffer.schedule(due, self._close_if_idle, connection)
