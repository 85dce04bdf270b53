"""All connections of a node by number, for the one thread that carries out effects.

Owns which connections there are, and what a turn has sent and not yet written. It must never decide when one
is closed: the core does.
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
# By the kind of a connection that the node opens. Frontends bring their own.
CODECS = {"pool": WORKER_POOL_CODEC, STORE: STORE_CODEC}


class ConnectionTable:
    """Carries out the core's effects on connections, until they are dropped.

    Called by one thread, and by the listener's for new connections. `frontend` names the kind of the
    connections that the listener accepts; they are read with `frontend_codec`.
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
        self._outgoing: dict[int, list[bytes]] = {}  # what this turn sends, by connection
        self._unbatched: set[int] = set()  # connections whose messages do not wait for the turn's end
        self._reporter = RegistryReporter()
        self._thread_starter = DeferredThreadStarter()

    def listen(self) -> None:
        """Accept connections, in a thread of the listener's."""
        self._listener.on_accepted = self._accepted
        retry_at_start(lambda: start_thread(self._listener.accept, "accept"), "accepting")

    def stop_listening(self) -> None:
        """Accept no further connections."""
        self._listener.stop()

    def _accepted(
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
            # Guards against an end of the node where threads run out: nothing was sent, so it is tried again.
            self._inputs.put(ConnectionRefused(number, error.strerror or str(error)))
            self._inputs.put(ConnectionClosed(number))

    def decode(self, number: int, frames: Sequence[bytes]) -> tuple[list[Message], ProtocolError | None]:
        """Return the frames' messages up to one that cannot be read, and the error in that one, or None."""
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
                # Guards the node against a defect of a codec: only this connection is closed.
                logger.exception("reading connection {}", number)
                return messages, ProtocolError(f"{type(error).__name__}: {error}")
        return messages, None

    def request_batch(self, number: int) -> None:
        """Have one batch more delivered from a connection."""
        if number in self._connections:
            self._connections[number].request_batch()

    def send(self, number: int, data: bytes) -> None:
        """Write at the turn's end: what goes out on one connection then is one write.

        A call to the store is written immediately: its connection carries no other.
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
        """Write until `deadline` on the boot clock, or break the connection."""
        if number in self._connections:
            self._connections[number].send(data, deadline)

    def flush(self) -> None:
        """Write what the turn sent; called at its end."""
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
        """Close a connection once all is written."""
        self._flush_one(number)
        if number in self._connections:
            self._connections[number].close()

    def close_if_idle(self, number: int) -> bool:
        """Close if nothing is on its way, see `Connection.close_if_idle`; return whether it is closed."""
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
        """Send one datagram to the registry."""
        self._reporter.post(address, data)
