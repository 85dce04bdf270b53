"""The pending writes of one connection, and the thread that writes them while the peer reads slowly.

`PendingWrites` owns the writer thread. It must never shut a connection down before all pending data is
written, unless the connection broke.
"""

import socket
import threading
from collections.abc import Callable
from time import sleep

from finchcart.net.deferred_threads import DeferredThread, DeferredThreadStarter
from finchcart.net.sockets import shut_down, start_thread
from finchcart.net.transient_errors import MAX_SHORTAGES, SHORTAGE_PAUSE_S, is_transient
from finchcart.protocol.connection_events import EventSink, WriteResumed


class PendingWrites:
    """The bytes that the kernel has not accepted yet. Its fields are accessed only with `lock` held.

    Arguments:
        number: the number of the connection.
        inputs: where the end of a blocked write is reported.
        lock: the lock of the connection.
        on_drained: called with the socket, and with `lock` held, once all pending data is written.
        thread_starter: starts the writer thread later if the system has no thread left. If None, the
            connection is broken in that case.
    """

    def __init__(
        self,
        number: int,
        inputs: EventSink,
        lock: threading.Lock,
        on_drained: Callable[[socket.socket], None],
        thread_starter: DeferredThreadStarter | None = None,
    ) -> None:
        self.parts: list[bytes] = []
        self.thread: threading.Thread | DeferredThread | None = None
        self._thread_starter = thread_starter
        self._number = number
        self._inputs = inputs
        self._lock = lock
        self._on_drained = on_drained

    def start(self, sock: socket.socket) -> None:
        """Start the writer thread unless there is one. Called with the lock held."""
        if self.thread:
            return
        name = f"write {self._number}"
        try:
            self.thread = start_thread(lambda: self._run(sock), name)
        except OSError:
            if self._thread_starter:
                # A temporary shortage of threads must not lose answers.
                self.thread = DeferredThread(
                    lambda: self._run(sock), name, lambda: self._abandon_deferred(sock)
                )
                self._thread_starter.start(self.thread)
            else:
                self._abandon(sock)

    def _abandon_deferred(self, sock: socket.socket) -> None:
        with self._lock:
            self.thread = None
            self._abandon(sock)

    def _abandon(self, sock: socket.socket) -> None:
        shut_down(sock, socket.SHUT_RDWR)
        self.parts = []
        self._inputs.put(WriteResumed(self._number))  # otherwise the close would wait for the write forever

    def _run(self, sock: socket.socket) -> None:
        while True:
            with self._lock:
                data = b"".join(self.parts)
                self.parts = []
                if not data:
                    self.thread = None
                    self._on_drained(sock)
                    self._inputs.put(WriteResumed(self._number))
                    return
            try:
                self._send_all(sock, data)
            except OSError:
                shut_down(sock, socket.SHUT_RDWR)  # the connection broke, or the write made no progress

    def _send_all(self, sock: socket.socket, data: bytes) -> None:
        """Write all data.

        Raises:
            OSError: the connection is broken, or the write made no progress before the send timeout.
        """
        rest = memoryview(data)
        failures = 0
        while rest:
            try:
                rest = rest[sock.send(rest) :]
                failures = 0
            except BlockingIOError:
                raise  # the send timeout (SO_SNDTIMEO) expired
            except OSError as error:
                failures += 1
                if not is_transient(error) or failures > MAX_SHORTAGES:
                    raise
                sleep(SHORTAGE_PAUSE_S)
