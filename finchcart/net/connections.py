"""One TCP connection of a node, with its threads.

Owns its socket. Each connection has a reader thread with a small stack on a blocking socket, which delivers
one batch of frames for each request. What the kernel accepts immediately is written without a further thread;
a connection whose peer does not read gets a writer thread until all is written. Threads must never touch the
node's state: what they read goes to the one queue as an input of the core.

Reading: reader.py. Writing to a peer that is behind: writer.py. The end of one that the node closes:
discarding.py. Which events may cross here, and the result of each: docs/design/crossings.md.
"""

import errno
import socket
import threading
from collections.abc import Callable, Sequence
from contextlib import suppress
from queue import SimpleQueue
from typing import NamedTuple

from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.net.buffers import Buffers
from finchcart.net.clock import boot_clock
from finchcart.net.deferred_threads import DeferredThread, DeferredThreadStarter
from finchcart.net.discarding import discard_to_end
from finchcart.net.reader import FrameReader
from finchcart.net.sockets import (
    MICROSECONDS_PER_SECOND,
    received_bytes,
    shut_down,
    start_thread,
    timeval,
)
from finchcart.net.transient_errors import is_transient
from finchcart.net.writer import PendingWrites
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionEnded,
    ConnectionRefused,
    EventSink,
    FramesReceived,
    WriteBlocked,
)
from finchcart.protocol.framing import Codec

Address = tuple[str, int]


class ReadEnd(NamedTuple):
    """Why a connection is not read any more. Neither: the peer closed, or the connection broke."""

    fault: ProtocolError | None = None  # what could not be read
    close_ordered: bool = False

    @property
    def peer_may_send(self) -> bool:
        """Whether the peer may go on sending."""
        return self.fault is not None or self.close_ordered


class Connection:
    """One connection; accepted where `sock` is given, else opened to `address`.

    `request_batch`, `send`, `close`, `close_if_idle` and `drop` never block. `on_closed()` is called once its
    descriptor is free again. Raises OSError where its reader thread cannot be started; with
    `thread_starter` that holds only for a connection that is to be opened.
    """

    def __init__(
        self,
        number: int,
        codec: Codec,
        inputs: EventSink,
        buffers: Buffers,
        limits: Limits,
        sock: socket.socket | None = None,
        address: Address | None = None,
        on_closed: Callable[[], None] | None = None,
        thread_starter: DeferredThreadStarter | None = None,
    ) -> None:
        self.number = number
        self.codec = codec
        self.sock = sock
        self.is_open = False
        self._bytes_taken = 0  # by the one thread that feeds the core
        self._inputs = inputs
        self._buffers = buffers
        self._limits = limits
        self._address = address
        self._on_closed = on_closed
        self._requests: SimpleQueue[bool] = SimpleQueue()  # True: one batch; False: the close is ordered
        self._lock = threading.Lock()  # never held over a wait
        self._write_deadline: int | None = None
        self._is_closing = False
        self._is_dropped = False
        max_frames = limits.outbound_batch if address else limits.frontend_batch
        self.reader = FrameReader(number, codec.find_frame_end, buffers, max_frames)
        self._writes = PendingWrites(number, inputs, self._lock, self._half_close_if_closing, thread_starter)
        if sock:
            # Before the reader runs, which may be late: what is sent until then goes out.
            self._set_open(sock)
        self._start_reader(thread_starter)

    def _start_reader(self, thread_starter: DeferredThreadStarter | None) -> None:
        """Start the reader, or have it started later; raise OSError where nobody does that."""
        name = f"read {self.number}"
        try:
            start_thread(self._run, name)
        except OSError:
            if thread_starter is None or self._address:
                raise  # one that is to be opened counts as refused, and is tried again
            thread_starter.start(DeferredThread(self._run, name, self._abandon_reader))

    def _abandon_reader(self) -> None:
        """End a connection that was never read: report its end, and close the socket."""
        self._inputs.put(ConnectionEnded(self.number, None))
        self._finish(ReadEnd())

    # ---- Called by the one thread that carries out effects

    def request_batch(self) -> None:
        """Have the reader deliver one batch more."""
        self._requests.put(True)

    def count_taken(self, frames: Sequence[bytes]) -> None:
        """Record that the core is about to see these frames."""
        self._bytes_taken += sum(map(len, frames))

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Write, by a thread if need be. Data that misses `deadline` (boot clock) breaks the connection."""
        with self._lock:
            self._write_deadline = deadline
            if deadline is not None and boot_clock() > deadline:
                self._is_dropped = True
                if self.sock:
                    shut_down(self.sock, socket.SHUT_RDWR)
                return
            sock = self.sock if self.is_open else None
            if sock is not None and not self._writes.parts and not self._writes.thread:
                try:
                    data = data[sock.send(data, socket.MSG_DONTWAIT) :]
                except OSError as error:
                    # The peer does not read, or the system has no memory for it now: a writer continues.
                    if not is_transient(error):
                        shut_down(sock, socket.SHUT_RDWR)  # broken: the reader notices and reports it
                        return
                if not data:
                    return
                self._inputs.put(WriteBlocked(self.number))
            self._writes.parts.append(data)
            if sock is not None:
                self._writes.start(sock)

    def close(self) -> None:
        """Close once all that was sent is written."""
        with self._lock:
            self._is_closing = True
            if self.is_open and self.sock and not self._writes.thread:
                shut_down(self.sock, socket.SHUT_WR)
        self._requests.put(False)

    def close_if_idle(self) -> bool:
        """Close if nothing is on its way in either direction; return whether it did.

        Guards against a close that overtakes what was sent before it: a request that is in the system's
        buffer, in the reader's hands, or read and not yet seen by the core; an answer that is not written.
        """
        with self._lock:
            sock = self.sock if self.is_open else None
            if sock is None or self._writes.parts or self._writes.thread:
                return False
            try:
                if self._has_unseen_bytes(sock):
                    return False
            except OSError as error:
                if is_transient(error):
                    return False  # a look that failed says nothing of what waits
            self._is_closing = True
            shut_down(sock, socket.SHUT_WR)
        self._requests.put(False)
        return True

    def _has_unseen_bytes(self, sock: socket.socket) -> bool:
        """Return whether the peer sent what the core has not seen.

        What the system received is one count and what the core has seen another, so that no thread which is
        late between the two can hide a request. For a system that does not count, its buffer is looked into,
        and then what the reader has taken out of it.

        Raises:
            OSError: the look failed.
        """
        if received_bytes(sock) > self._bytes_taken:
            return True
        with suppress(BlockingIOError):  # nothing waits
            if sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self.reader.bytes_read != self._bytes_taken

    def drop(self) -> None:
        """Close immediately, and lose what is on its way."""
        with self._lock:
            self._is_dropped = True
            self._is_closing = True
            if self.sock:
                shut_down(self.sock, socket.SHUT_RDWR)
        self._requests.put(False)

    # ---- The reader thread, which also owns the end of the socket

    def _run(self) -> None:
        end = ReadEnd()
        try:
            sock = self._establish()
        except OSError as error:
            if self._address:
                self._inputs.put(ConnectionRefused(self.number, error.strerror or str(error)))
            else:
                self._inputs.put(ConnectionEnded(self.number, None))
            self._await_close_order()
        else:
            end = self._read_to_end(sock)
            if not end.close_ordered:
                self._inputs.put(ConnectionEnded(self.number, end.fault))
                self._await_close_order()
            if end.peer_may_send and not self._is_dropped:
                with self._buffers.borrow() as buffer:
                    discard_to_end(sock, buffer, self._limits, self._is_writing)
        self._finish(end)

    def _is_writing(self) -> bool:
        return self._writes.thread is not None

    def _await_close_order(self) -> None:
        while self._requests.get():
            pass

    def _establish(self) -> socket.socket:
        """Connect unless the connection was accepted, and write what waited for it."""
        sock = self.sock or self._connect()
        if self._write_deadline is not None and boot_clock() > self._write_deadline:
            # Guards against a call that outlives the lease that it was made under.
            raise ConnectionAbortedError(errno.ECONNABORTED, "too late for its grant")
        with self._lock:
            if not self.is_open:
                self._set_open(sock)
            if self._writes.parts:
                self._writes.start(sock)
            else:
                self._half_close_if_closing(sock)
        return sock

    def _connect(self) -> socket.socket:
        if self._address is None:
            raise OSError(errno.EDESTADDRREQ, "neither a socket nor an address was given")
        timeout_s = self._limits.connect_timeout_us / MICROSECONDS_PER_SECOND
        sock = self.sock = socket.create_connection(self._address, timeout_s)
        sock.settimeout(None)
        if self._is_dropped:
            raise ConnectionAbortedError(errno.ECONNABORTED, "given up")
        if sock.getsockname() == sock.getpeername():
            # Guards against a connection to itself, where nobody listens on a port given by chance.
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")
        return sock

    def _set_open(self, sock: socket.socket) -> None:
        """Send small writes without delay, and end a write that makes no progress."""
        # An option that can't be set for a moment costs speed, and the connection is served without it.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(self._limits.send_timeout_us))
        self.is_open = True

    def _half_close_if_closing(self, sock: socket.socket) -> None:
        """End the writing direction; the lock is held, and nothing is pending."""
        if self._is_closing:
            shut_down(sock, socket.SHUT_WR)

    def _read_to_end(self, sock: socket.socket) -> ReadEnd:
        """Deliver batches until the peer closes, sends what cannot be read, or the close is ordered."""
        try:
            with self.reader as reader:
                while self._requests.get():
                    frames, fault, empty_at, was_waiting = reader.read_batch(sock)
                    if frames:
                        # What was complete before a fault is delivered first.
                        received = FramesReceived(self.number, frames, boot_clock(), empty_at, was_waiting)
                        self._inputs.put(received)
                    if fault:
                        return ReadEnd(fault=fault)
                return ReadEnd(close_ordered=True)
        except (EOFError, OSError):
            return ReadEnd()

    def _finish(self, end: ReadEnd) -> None:
        """Close the socket once the writer has ended, and report it."""
        with self._lock:
            self.is_open = False
            writer = self._writes.thread
            if self.sock and (self._is_dropped or not end.peer_may_send):
                shut_down(self.sock, socket.SHUT_RDWR)
        if writer:
            writer.join()
        if self.sock:
            self.sock.close()
        if self._on_closed:
            self._on_closed()
        self._inputs.put(ConnectionClosed(self.number))
