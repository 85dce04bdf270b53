"""Relays the TCP connections of one link on loopback and injects network faults into them.

The relay forwards the bytes without interpreting them; the only bytes of its own that it sends are garbage,
where the faults demand this. It must not connect to addresses outside loopback.
"""

import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 1.0
GARBAGE = b"\x00\xff\x13noise noise\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0: discards unsent bytes and sends a reset

Address = tuple[str, int]


@dataclass(frozen=True)
class LinkFaults:
    """The faults of a link. Times are in seconds; 0 or None disables a fault."""

    cut_interval_s: float | None = None  # mean of the random time between cuts; a cut ends all connections
    reset_probability: float = 0.5  # a cut resets connections and so loses bytes; other cuts close them
    garbage_probability: float = 0.0  # a cut first sends garbage to the client
    delay_s: float = 0.0  # delay of each chunk that is sent to the client
    small_chunks: bool = False  # forward a few bytes at a time, in both directions


class RelayedConnection:
    """The two sockets of a connection that passes through the relay."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.write_lock = threading.Lock()

    def cut(self, reset: bool, garbage: bool) -> None:
        """End the connection in both directions."""
        with suppress(OSError):
            if garbage:
                with self.write_lock:
                    self.client.sendall(GARBAGE)
        for sock in (self.client, self.server):
            with suppress(OSError):
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)


class StreamRelay:
    """Forwards connections from `address` to `target()` under `faults`, which may be replaced at any time.

    Random choices depend on `seed`. `counts` holds the number of faults of each kind.
    """

    def __init__(self, address: Address, target: Callable[[], Address], seed: int) -> None:
        self.faults = LinkFaults()
        self.refuses = False  # new connections are accepted and closed immediately
        self.is_silent = False  # connections are accepted, but no bytes are forwarded
        self.counts: Counter[str] = Counter()
        self.address = address
        self._target = target
        self._random = Random(seed)
        self._connections: set[RelayedConnection] = set()
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._listener = socket.create_server(address)
        for body in (self._accept_connections, self._cut_repeatedly):
            threading.Thread(target=body, daemon=True).start()

    def end(self) -> None:
        """Stop accepting connections and reset all open ones."""
        self._ended.set()
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.cut_all(reset=True)

    def cut_all(self, reset: bool, garbage: bool = False) -> None:
        """Cut all open connections."""
        with self._lock:
            connections = list(self._connections)
            self._connections.clear()
        for connection in connections:
            self.counts["rubbish" if garbage else "reset" if reset else "close"] += 1
            connection.cut(reset, garbage)

    def _cut_repeatedly(self) -> None:
        while not self._ended.is_set():
            mean_s = self.faults.cut_interval_s
            self._ended.wait(self._random.uniform(0.5, 1.5) * mean_s if mean_s else 0.05)
            faults = self.faults
            if faults.cut_interval_s:
                reset = self._random.random() < faults.reset_probability
                self.cut_all(reset, self._random.random() < faults.garbage_probability)

    def _accept_connections(self) -> None:
        while not self._ended.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay_connection, args=(client,), daemon=True).start()

    def _relay_connection(self, client: socket.socket) -> None:
        if self.refuses:
            self.counts["refused"] += 1
            client.close()
            return
        try:
            server = socket.create_connection(self._target(), CONNECT_TIMEOUT_S)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = RelayedConnection(client, server)
        with self._lock:
            self._connections.add(connection)
        backwards = threading.Thread(target=self._copy, args=(connection, server, client), daemon=True)
        backwards.start()
        self._copy(connection, client, server)
        backwards.join()
        with self._lock:
            self._connections.discard(connection)
        client.close()
        server.close()

    def _copy(self, connection: RelayedConnection, source: socket.socket, target: socket.socket) -> None:
        """Forward bytes until the source ends, and then shut down the sending direction of the target."""
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._forward(connection, target, data)
        with suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    def _forward(self, connection: RelayedConnection, target: socket.socket, data: bytes) -> None:
        faults = self.faults
        while self.is_silent and not self._ended.is_set():
            time.sleep(0.01)
        if faults.delay_s and target is connection.client:
            time.sleep(faults.delay_s)
        size = 7 if faults.small_chunks else len(data)
        for start in range(0, len(data), size):
            with connection.write_lock:
                target.sendall(data[start : start + size])
