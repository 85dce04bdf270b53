"""The pending writes of one connection, and the thread that writes them while the peer is behind.

Owns that thread. It must never shut a connection down before all that is pending is written, unless the
connection broke.
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
    """The bytes that the system has not accepted yet. Its fields are read and set with `lock` held.

    `on_drained(sock)` is called, with the lock held, once all is written. The lock is the connection's own.
    Where no thread can be started, `thread_starter` does it later; None: the connection breaks.
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
        """See to a thread that writes what is pending. Called with the lock held."""
        if self.thread:
            return
        name = f"write {self._number}"
        try:
            self.thread = start_thread(lambda: self._run(sock), name)
        except OSError:
            if self._thread_starter:
                # Guards against answers that are lost where threads run out for a moment.
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
        self._inputs.put(WriteResumed(self._number))  # or its close would wait for a write without end

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
                shut_down(sock, socket.SHUT_RDWR)  # broken, or no progress

    def _send_all(self, sock: socket.socket, data: bytes) -> None:
        """Write all of it. Raise OSError where the connection is broken or makes no progress."""
        rest = memoryview(data)
        failures = 0
        while rest:
            try:
                rest = rest[sock.send(rest) :]
                failures = 0
            except BlockingIOError:
                raise  # the time for a write is over
            except OSError as error:
                failures += 1
                if not is_transient(error) or failures > MAX_SHORTAGES:
                    raise
                sleep(SHORTAGE_PAUSE_S)
