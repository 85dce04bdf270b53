"""One TCP connection of a node, with its threads.

Owns its socket. Each connection has a reader thread with a small stack on a blocking socket, which delivers
one batch of frames for each time that it is asked. What the kernel takes at once is written without a further
thread; a connection whose peer does not read gets a writer thread until all is written. Threads must never
touch the node's state: what they see goes to the one queue as an input of the core.

Reading: reader.py. Writing to a peer that is behind: writer.py. Which events may cross here, and what comes
of it: docs/design/crossings.md.
"""

import errno
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import NamedTuple

from finchcart.limits import Limits
from finchcart.net.buffers import Buffers
from finchcart.net.clock import boot_clock
from finchcart.net.late_threads import LateThread, LateThreads
from finchcart.net.reader import FrameReader
from finchcart.net.sockets import MICROSECONDS_PER_SECOND, shut_down, start_thread, timeval
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


SHORTAGE_COST = 4 * 1024  # bytes of what is read past: a read that fails for want of memory counts so much


class ReadEnd(NamedTuple):
    """Why a connection is not read any more. Neither: the peer closed, or the connection broke."""

    fault: str = ""  # what could not be read
    close_ordered: bool = False

    @property
    def peer_may_send(self) -> bool:
        """Whether the peer may go on sending."""
        return bool(self.fault or self.close_ordered)


class Connection:
    """One connection; accepted where `sock` is given, else opened to `address`.

    `request_batch`, `send`, `close`, `close_if_idle` and `drop` never block. `on_closed()` is called once its
    descriptor is free again. Raises OSError where its reader thread cannot be started; with
    `late_threads` that holds only for a connection that is to be opened.
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
        late_threads: LateThreads | None = None,
    ) -> None:
        self.number = number
        self.codec = codec
        self.sock = sock
        self.is_open = False
        self.batches_taken = 0  # by the one thread that feeds the core
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
        self._batches_delivered = 0  # by the reader thread
        max_frames = limits.outbound_batch if address else limits.frontend_batch
        self.reader = FrameReader(number, codec.find_frame_end, buffers, max_frames)
        self._writes = PendingWrites(number, inputs, self._lock, self._half_close_if_closing, late_threads)
        if sock:
            # Before the reader runs, which may be late: what is sent until then goes out.
            self._set_open()
        self._start_reader(late_threads)

    def _start_reader(self, late_threads: LateThreads | None) -> None:
        """Start the reader, or have it started later; raise OSError where nobody does that."""
        name = f"read {self.number}"
        try:
            start_thread(self._run, name)
        except OSError:
            if late_threads is None or self._address:
                raise  # one that is to be opened counts as refused, and is tried again
            late_threads.start(LateThread(self._run, name, self._give_up_reader))

    def _give_up_reader(self) -> None:
        """It was never read: the end is told, and the socket closed."""
        self._inputs.put(ConnectionEnded(self.number, ""))
        self._finish(ReadEnd())

    # ---- Called by the one thread that carries out effects

    def request_batch(self) -> None:
        """Have the reader deliver one batch more."""
        self._requests.put(True)

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Write, at once or by a thread. What misses `deadline`, on the boot clock, breaks the connection."""
        with self._lock:
            self._write_deadline = deadline
            if deadline is not None and boot_clock() > deadline:
                self._is_dropped = True
                if self.sock:
                    shut_down(self.sock, socket.SHUT_RDWR)
                return
            if self.is_open and not self._writes.parts and not self._writes.thread:
                try:
                    data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
                except OSError as error:
                    # The peer does not read, or the system has no memory for it now: a writer goes on.
                    if not is_transient(error):
                        shut_down(self.sock, socket.SHUT_RDWR)  # broken: the reader learns of it and tells
                        return
                if not data:
                    return
                self._inputs.put(WriteBlocked(self.number))
            self._writes.parts.append(data)
            if self.is_open:
                self._writes.start(self.sock)

    def close(self) -> None:
        """Close once all that was sent is written."""
        with self._lock:
            self._is_closing = True
            if self.is_open and not self._writes.thread:
                shut_down(self.sock, socket.SHUT_WR)
        self._requests.put(False)

    def close_if_idle(self) -> bool:
        """Close if nothing is on its way in either direction; return whether it did.

        Guards against a close that overtakes what was sent before it: a request that is in the system's
        buffer, in the reader's hands, or read and not yet seen by the core; an answer that is not written.
        """
        with self._lock:
            if self._writes.parts or self._writes.thread or not self.is_open:
                return False
            # The system's buffer before the reader's marks: the reader takes bytes out of the one and sets
            # the others after, so that what was there is seen in one of the two places.
            try:
                if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return False
            except BlockingIOError:
                pass  # nothing waits
            except OSError as error:
                if is_transient(error):
                    return False  # a look that failed says nothing of what waits
            if self.reader.has_undelivered_bytes or self._batches_delivered != self.batches_taken:
                return False
            self._is_closing = True
            shut_down(self.sock, socket.SHUT_WR)
        self._requests.put(False)
        return True

    def drop(self) -> None:
        """Close at once, whatever is on its way."""
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
            self._establish()
        except OSError as error:
            if self._address:
                self._inputs.put(ConnectionRefused(self.number, error.strerror or str(error)))
            else:
                self._inputs.put(ConnectionEnded(self.number, ""))
        else:
            end = self._read_to_end()
            if not end.close_ordered:
                self._inputs.put(ConnectionEnded(self.number, end.fault))
        while not end.close_ordered and self._requests.get():
            pass  # until the close is ordered
        if end.peer_may_send and not self._is_dropped:
            self._discard()
        self._finish(end)

    def _establish(self) -> None:
        """Connect where that is still to be done, and write what waited for it."""
        if self.sock is None:
            self._connect()
        if self._write_deadline is not None and boot_clock() > self._write_deadline:
            # Guards against a call that outlives the lease that it was made under.
            raise ConnectionAbortedError(errno.ECONNABORTED, "too late for its grant")
        with self._lock:
            if not self.is_open:
                self._set_open()
            if self._writes.parts:
                self._writes.start(self.sock)
            else:
                self._half_close_if_closing()

    def _connect(self) -> None:
        timeout_s = self._limits.connect_timeout / MICROSECONDS_PER_SECOND
        self.sock = socket.create_connection(self._address, timeout_s)
        self.sock.settimeout(None)
        if self._is_dropped:
            raise ConnectionAbortedError(errno.ECONNABORTED, "given up")
        if self.sock.getsockname() == self.sock.getpeername():
            # Guards against a connection to itself, where nobody listens on a port given by chance.
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")

    def _set_open(self) -> None:
        """Small writes are not held back, and one that makes no progress ends."""
        # An option that can't be set for a moment costs speed, and the connection is served without it.
        with suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(self._limits.send_timeout))
        self.is_open = True

    def _half_close_if_closing(self) -> None:
        """Called with the lock held, and nothing pending."""
        if self._is_closing:
            shut_down(self.sock, socket.SHUT_WR)

    def _read_to_end(self) -> ReadEnd:
        """Deliver batches until the peer closes, sends what cannot be read, or the close is ordered."""
        sock = self.sock
        try:
            with self.reader as reader:
                while self._requests.get():
                    frames, fault, empty_at, was_waiting = reader.read_batch(sock)
                    if frames:
                        # What was complete before a fault is delivered first.
                        self._batches_delivered += 1
                        received = FramesReceived(self.number, frames, boot_clock(), empty_at, was_waiting)
                        self._inputs.put(received)
                    if fault:
                        return ReadEnd(fault=str(fault))
                return ReadEnd(close_ordered=True)
        except (EOFError, OSError):
            return ReadEnd()

    def _discard(self) -> None:
        """Read on without a look until the peer closes, for a bounded time and number of bytes.

        Closing over unread bytes would reset the connection, and with it answers on their way. While answers
        are still being written, which ends by itself, silence is no reason to stop.
        """
        remaining = self._limits.discard_size
        with self._buffers.borrow() as buffer:
            try:
                linger = timeval(self._limits.linger_timeout)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, linger)
                while remaining > 0:
                    is_writing = self._writes.thread
                    try:
                        count = self.sock.recv_into(buffer)
                    except BlockingIOError:
                        if not is_writing:
                            break
                        continue
                    except OSError as error:
                        if not is_transient(error):
                            break
                        remaining -= SHORTAGE_COST
                        continue
                    if not count:
                        break
                    remaining -= count
            except OSError:
                pass

    def _finish(self, end: ReadEnd) -> None:
        """Close the socket once the writer is done, and tell."""
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
