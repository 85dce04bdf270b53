"""All connections of a node by number, for the one thread that executes effects.

A `ConnectionTable` owns the connections, and the data that was sent during the current turn of the event loop
and is not written yet. It must never decide when a connection is closed: the core decides that.
"""

import socket
from collections.abc import Callable, Sequence

from loguru import logger

from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.net.buffers import Buffers
from finchcart.net.connections import Address, Connection
from finchcart.net.deferred_threads import DeferredThreadStarter
from finchcart.net.listener import Listener
from finchcart.net.registry_reports import RegistryReporter
from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import retry_at_start
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionOpened,
    ConnectionRefused,
    EventSink,
)
from finchcart.protocol.framing import Codec
from finchcart.protocol.messages import Message
from finchcart.protocol.store_codec import STORE_CODEC
from finchcart.protocol.worker_pool_codec import WORKER_POOL_CODEC

STORE = "store"
# The codec of each kind of connection that the node opens. The codec of accepted connections is an argument
# of `ConnectionTable`.
CODECS = {"pool": WORKER_POOL_CODEC, STORE: STORE_CODEC}


class ConnectionTable:
    """Executes the core's effects on connections, and keeps each connection until it is dropped.

    Called by one thread; only accepted connections are added by the listener's thread. `frontend` names the
    kind of the accepted connections, which are decoded with `frontend_codec`.
    """

    def __init__(
        self,
        inputs: EventSink,
        buffers: Buffers,
        limits: Limits,
        listener: Listener,
        frontend: str,
        frontend_codec: Codec,
    ) -> None:
        self._inputs = inputs
        self._buffers = buffers
        self._limits = limits
        self._listener = listener
        self._frontend = frontend
        self._codecs = {**CODECS, frontend: frontend_codec}
        self._connections: dict[int, Connection] = {}
        self._outgoing: dict[int, list[bytes]] = {}  # data sent during this turn, by connection
        self._unbatched: set[int] = set()  # connections on which data is written before the turn ends
        self._reporter = RegistryReporter()
        self._thread_starter = DeferredThreadStarter()

    def listen(self) -> None:
        """Start the listener's thread, which accepts connections."""
        self._listener.on_accepted = self._add_accepted
        retry_at_start(lambda: start_thread(self._listener.accept, "accept"), "accepting connections")

    def stop_listening(self) -> None:
        """Accept the connections in the backlog and stop listening."""
        self._listener.stop()

    def _add_accepted(
        self, number: int, sock: socket.socket, host: str | None, on_closed: Callable[[], None]
    ) -> None:
        self._connections[number] = Connection(
            number,
            self._codecs[self._frontend],
            self._inputs,
            self._buffers,
            self._limits,
            sock=sock,
            on_closed=on_closed,
            thread_starter=self._thread_starter,
        )
        self._inputs.put(ConnectionOpened(number, self._frontend, host))

    def connect(self, number: int, kind: str, address: Address) -> None:
        """Open a connection; `kind` names its codec."""
        if kind == STORE:
            self._unbatched.add(number)
        try:
            self._connections[number] = Connection(
                number,
                self._codecs[kind],
                self._inputs,
                self._buffers,
                self._limits,
                address=address,
                thread_starter=self._thread_starter,
            )
        except OSError as error:
            # A shortage of threads must not end the node. Nothing was sent, so the core connects again.
            self._inputs.put(ConnectionRefused(number, error.strerror or str(error)))
            self._inputs.put(ConnectionClosed(number))

    def decode(self, number: int, frames: Sequence[bytes]) -> tuple[list[Message], ProtocolError | None]:
        """Decode frames up to the first invalid one.

        Returns:
            The messages of the frames before it, and the error in the invalid frame, or None.
        """
        connection = self._connections.get(number)
        messages: list[Message] = []
        if connection:
            connection.count_processed(frames)
            try:
                for frame in frames:
                    messages.append(connection.codec.decode(frame))
            except ProtocolError as error:
                return messages, error
            except Exception as error:
                # A defect in a codec closes only this connection and does not end the node.
                logger.exception("connection {}: codec failed to decode a frame", number)
                return messages, ProtocolError(f"{type(error).__name__}: {error}")
        return messages, None

    def request_batch(self, number: int) -> None:
        """Request one more batch of frames from a connection."""
        if number in self._connections:
            self._connections[number].request_batch()

    def send(self, number: int, data: bytes) -> None:
        """Queue data until the event loop's turn ends; all data for a connection is then one write.

        A call to the store is written immediately, as its connection carries one call at a time.
        """
        parts = self._outgoing.get(number)
        if number in self._unbatched:
            if number in self._connections:
                self._connections[number].send(data)
        elif parts is None:
            self._outgoing[number] = [data]
        else:
            parts.append(data)

    def send_before(self, number: int, data: bytes, deadline: int) -> None:
        """Write data immediately, or break the connection if `deadline` (on the boot clock) has passed."""
        if number in self._connections:
            self._connections[number].send(data, deadline)

    def flush(self) -> None:
        """Write the data that was sent during the event loop's turn; called when the turn ends."""
        outgoing = self._outgoing
        self._outgoing = {}
        for number, parts in outgoing.items():
            if number in self._connections:
                self._connections[number].send(parts[0] if len(parts) == 1 else b"".join(parts))

    def _flush_one(self, number: int) -> None:
        parts = self._outgoing.pop(number, None)
        if parts and number in self._connections:
            self._connections[number].send(b"".join(parts))

    def close(self, number: int) -> None:
        """Close a connection once all its pending data is written."""
        self._flush_one(number)
        if number in self._connections:
            self._connections[number].close()

    def close_if_idle(self, number: int) -> bool:
        """Close a connection if no data is in transit; return whether the connection is closed.

        See `Connection.close_if_idle`.
        """
        self._flush_one(number)
        connection = self._connections.get(number)
        return connection is None or connection.close_if_idle()

    def drop(self, number: int) -> None:
        """Close a connection immediately, and remove it."""
        self._flush_one(number)
        self._unbatched.discard(number)
        connection = self._connections.pop(number, None)
        if connection:
            connection.drop()

    def report(self, address: Address, data: bytes) -> None:
        """Send a datagram to the registry."""
        self._reporter.post(address, data)
