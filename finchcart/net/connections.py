"""A TCP connection of a node, with its reader thread and its writer thread.

A `Connection` owns its socket. Its reader thread has a small stack, blocks on the socket, and delivers one
batch of frames for each batch that is requested. The calling thread writes data that the kernel accepts
immediately; a writer thread exists only while the peer reads too slowly, until all pending data is written.
These threads must never touch the node's state: they report through the core's input queue.

Reading is in reader.py, writing to a slow peer in writer.py, and discarding what a peer still sends after the
node has closed its direction in discarding.py. The page docs/design/crossings.md lists which events may occur
concurrently here, and the result of each combination.
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
    """Why the reader stopped. With neither field set, the peer closed or the connection broke."""

    fault: ProtocolError | None = None  # the peer sent bytes that cannot be decoded
    close_requested: bool = False

    @property
    def peer_may_send(self) -> bool:
        """Whether the peer may still send data."""
        return self.fault is not None or self.close_requested


class Connection:
    """A connection: an accepted one if `sock` is given, otherwise one that is opened to `address`.

    `request_batch`, `send`, `close`, `close_if_idle` and `drop` never block. `on_closed()` is called once the
    connection's file descriptor is free again.

    Raises:
        OSError: the reader thread cannot be started. With `thread_starter`, an accepted connection does not
            raise it: its reader thread is started later.
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
        self._bytes_processed = 0  # bytes handed to the core; used only by the thread that runs the core
        self._inputs = inputs
        self._buffers = buffers
        self._limits = limits
        self._address = address
        self._on_closed = on_closed
        self._requests: SimpleQueue[bool] = SimpleQueue()  # True requests a batch, False a close
        self._lock = threading.Lock()  # never held during a blocking call
        self._write_deadline: int | None = None
        self._is_closing = False
        self._is_dropped = False
        max_frames = limits.outbound_batch if address else limits.frontend_batch
        self.reader = FrameReader(number, codec.find_frame_end, buffers, max_frames)
        self._writes = PendingWrites(number, inputs, self._lock, self._half_close_if_closing, thread_starter)
        if sock:
            # Set here and not in the reader thread, which may start late: data can be sent from now on.
            self._set_open(sock)
        self._start_reader(thread_starter)

    def _start_reader(self, thread_starter: DeferredThreadStarter | None) -> None:
        """Start the reader thread, or defer its start; raise OSError if the start cannot be deferred."""
        name = f"read {self.number}"
        try:
            start_thread(self._run, name)
        except OSError:
            if thread_starter is None or self._address:
                raise  # the caller reports the connection as refused, and the core connects again
            thread_starter.start(DeferredThread(self._run, name, self._abandon_reader))

    def _abandon_reader(self) -> None:
        """Report the end of a connection whose reader thread never started, and close its socket."""
        self._inputs.put(ConnectionEnded(self.number, None))
        self._finish(ReadEnd())

    # ---- Called by the one thread that executes effects

    def request_batch(self) -> None:
        """Request one more batch from the reader thread."""
        self._requests.put(True)

    def count_processed(self, frames: Sequence[bytes]) -> None:
        """Count frames that are about to be handed to the core."""
        self._bytes_processed += sum(map(len, frames))

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Write data, in the writer thread if the kernel does not accept all of it immediately.

        If `deadline` (on the boot clock) has passed, or passes before the connection is established, the data
        is not sent and the connection is broken.
        """
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
                    # A writer thread retries if the peer does not read or the system is short of memory.
                    if not is_transient(error):
                        shut_down(sock, socket.SHUT_RDWR)  # the reader thread reports the broken connection
                        return
                if not data:
                    return
                self._inputs.put(WriteBlocked(self.number))
            self._writes.parts.append(data)
            if sock is not None:
                self._writes.start(sock)

    def close(self) -> None:
        """Close the connection once all pending data is written."""
        with self._lock:
            self._is_closing = True
            if self.is_open and self.sock and not self._writes.thread:
                shut_down(self.sock, socket.SHUT_WR)
        self._requests.put(False)

    def close_if_idle(self) -> bool:
        """Close the connection if no data is in transit in either direction; return whether it was closed.

        Prevents the loss of a request that is in the kernel's buffer, in the reader thread, or in the queue
        to the core, and the loss of an answer that is not written yet.
        """
        with self._lock:
            sock = self.sock if self.is_open else None
            if sock is None or self._writes.parts or self._writes.thread:
                return False
            try:
                if self._has_unprocessed_bytes(sock):
                    return False
            except OSError as error:
                if is_transient(error):
                    return False  # the check failed, so there may be unprocessed bytes
            self._is_closing = True
            shut_down(sock, socket.SHUT_WR)
        self._requests.put(False)
        return True

    def _has_unprocessed_bytes(self, sock: socket.socket) -> bool:
        """Return whether the peer sent bytes that were not handed to the core yet.

        Compares the kernel's count of received bytes with the count of bytes handed to the core, so that a
        delay in a thread between the two cannot hide a request. On a system without that count, checks the
        kernel's receive buffer first and then the bytes that the reader thread has read.

        Raises:
            OSError: the check failed.
        """
        if received_bytes(sock) > self._bytes_processed:
            return True
        with suppress(BlockingIOError):  # the receive buffer is empty
            if sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self.reader.bytes_read != self._bytes_processed

    def drop(self) -> None:
        """Close the connection immediately; data in transit is lost."""
        with self._lock:
            self._is_dropped = True
            self._is_closing = True
            if self.sock:
                shut_down(self.sock, socket.SHUT_RDWR)
        self._requests.put(False)

    # ---- Called by the reader thread, which also closes the socket

    def _run(self) -> None:
        end = ReadEnd()
        try:
            sock = self._establish()
        except OSError as error:
            if self._address:
                self._inputs.put(ConnectionRefused(self.number, error.strerror or str(error)))
            else:
                self._inputs.put(ConnectionEnded(self.number, None))
            self._await_close_request()
        else:
            end = self._read_until_end(sock)
            if not end.close_requested:
                self._inputs.put(ConnectionEnded(self.number, end.fault))
                self._await_close_request()
            if end.peer_may_send and not self._is_dropped:
                with self._buffers.borrow() as buffer:
                    discard_to_end(sock, buffer, self._limits, self._is_writing)
        self._finish(end)

    def _is_writing(self) -> bool:
        return self._writes.thread is not None

    def _await_close_request(self) -> None:
        while self._requests.get():
            pass

    def _establish(self) -> socket.socket:
        """Connect, unless the connection was accepted; start to write the data that `send` kept until now."""
        sock = self.sock or self._connect()
        if self._write_deadline is not None and boot_clock() > self._write_deadline:
            # A call must not reach the store after the lease that permits it has expired.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "write deadline passed before the connection was established"
            )
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
            raise OSError(errno.EDESTADDRREQ, "expected a socket or an address, got neither")
        timeout_s = self._limits.connect_timeout_us / MICROSECONDS_PER_SECOND
        sock = self.sock = socket.create_connection(self._address, timeout_s)
        sock.settimeout(None)
        if self._is_dropped:
            raise ConnectionAbortedError(errno.ECONNABORTED, "connection dropped while connecting")
        if sock.getsockname() == sock.getpeername():
            # TCP simultaneous open: a socket connects to itself if nothing listens on the destination port
            # and the kernel assigns that port to the socket as its local port.
            raise ConnectionRefusedError(errno.ECONNREFUSED, "socket connected to itself")
        return sock

    def _set_open(self, sock: socket.socket) -> None:
        """Mark the connection as open; disable Nagle's algorithm and set the send timeout."""
        # If an option cannot be set, for example for lack of memory, the connection works without it.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(self._limits.send_timeout_us))
        self.is_open = True

    def _half_close_if_closing(self, sock: socket.socket) -> None:
        """Shut down the write direction if the connection is closing.

        Called with the lock held, when no data is pending.
        """
        if self._is_closing:
            shut_down(sock, socket.SHUT_WR)

    def _read_until_end(self, sock: socket.socket) -> ReadEnd:
        """Deliver batches until the peer closes, the peer sends invalid bytes, or a close is requested."""
        try:
            with self.reader as reader:
                while self._requests.get():
                    frames, fault, empty_at, was_waiting = reader.read_batch(sock)
                    if frames:
                        # Frames that precede a fault are delivered before the fault is reported.
                        received = FramesReceived(self.number, frames, boot_clock(), empty_at, was_waiting)
                        self._inputs.put(received)
                    if fault:
                        return ReadEnd(fault=fault)
                return ReadEnd(close_requested=True)
        except (EOFError, OSError):
            return ReadEnd()

    def _finish(self, end: ReadEnd) -> None:
        """Close the socket once the writer thread has ended, and report that it is closed."""
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
