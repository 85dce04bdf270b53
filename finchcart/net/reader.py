"""Reading the frames of one connection into a buffer of the pool.

Owns the buffer while it has bytes, and where the next frame begins. It must never decode a message or take a
lock.
"""

import errno
import socket
from collections.abc import Callable
from time import sleep
from typing import NamedTuple, Self

from loguru import logger

from finchcart.errors import ProtocolError
from finchcart.net.buffers import Buffers
from finchcart.net.clock import boot_clock
from finchcart.net.transient_errors import MAX_SHORTAGES, SHORTAGE_PAUSE_S, is_transient

MIN_WAIT_US = 2_000  # of a read that found nothing there at first


class FrameBatch(NamedTuple):
    """Frames of one connection, and the error in the bytes that follow them, or None."""

    frames: list[bytes]
    fault: ProtocolError | None
    empty_at: int  # the connection was read empty then, on the boot clock in microseconds
    was_waiting: bool  # for the first byte: it came while the reader waited


class FrameReader:
    """Reads frames from a blocking socket; as a context manager it gives its buffer back at the end.

    All methods are called by the reader thread; `bytes_read` is read by others as well.
    """

    def __init__(
        self,
        number: int,
        find_frame_end: Callable[[bytes, int, int], int | None],
        buffers: Buffers,
        max_frames: int,
    ) -> None:
        self.bytes_read = 0  # of the connection, so far
        self._number = number
        self._find_frame_end = find_frame_end
        self._buffers = buffers
        self._max_frames = max_frames
        self._max_size = buffers.size
        self._buffer: bytearray | None = None
        self._filled = 0  # bytes of the buffer that are read
        self._data = b""  # a copy of them
        self._start = 0  # where in `_data` the first byte is that belongs to no frame yet
        self._first_byte = bytearray(1)
        self._emptied_at = boot_clock()  # before the last read that took all there was
        self._empty_at = self._emptied_at  # the same, of the read before the one that brought what is split
        self._was_waiting = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._release_buffer()

    def read_batch(self, sock: socket.socket) -> FrameBatch:
        """Wait for at least one frame, or for bytes that are none.

        Raises:
            EOFError: the peer closed.
            OSError: the connection broke.
        """
        while True:
            frames, fault = self._split()
            if frames or fault:
                return FrameBatch(frames, fault, self._empty_at, self._was_waiting)
            asked_at = boot_clock()
            buffer = self._make_room(sock)
            if self._filled == self._max_size:
                error = ProtocolError(f"a message of over {self._filled} bytes")
                return FrameBatch([], error, self._empty_at, self._was_waiting)
            self._receive(sock, buffer, asked_at)

    def _split(self) -> tuple[list[bytes], ProtocolError | None]:
        """Split frames off the bytes that are read; return them, and the error in what follows, or None."""
        frames: list[bytes] = []
        fault: ProtocolError | None = None
        data = self._data
        start = self._start
        try:
            while len(frames) < self._max_frames:
                end = self._find_frame_end(data, start, self._max_size)
                if end is None:
                    break
                frames.append(data[start:end])
                start = end
        except ProtocolError as error:
            fault = error
        except Exception as error:
            # Guards the node against a defect of a codec: only this connection is closed.
            logger.exception("reading connection {}", self._number)
            fault = ProtocolError(str(error))
        self._start = start
        return frames, fault

    def _make_room(self, sock: socket.socket) -> bytearray:
        """Return a buffer with the bytes of an incomplete frame at its beginning."""
        is_empty = self._start == len(self._data)
        if is_empty:
            self._data = b""
            self._start = 0
            self._filled = 0
        buffer = self._buffer
        if buffer is None or (is_empty and not self._buffers.may_keep_empty()):
            return self._wait_without_buffer(sock)
        if self._start:
            self._data = self._data[self._start :]
            self._start = 0
            self._filled = len(self._data)
            buffer[: self._filled] = self._data
        return buffer

    def _wait_without_buffer(self, sock: socket.socket) -> bytearray:
        """Wait for the first byte, which is only peeked at: one of many idle connections has no buffer."""
        self._release_buffer()
        if not self._read(sock, self._first_byte, socket.MSG_PEEK):
            raise EOFError
        buffer = self._buffer = self._buffers.acquire()
        return buffer

    def _receive(self, sock: socket.socket, buffer: bytearray, asked_at: int) -> None:
        with memoryview(buffer) as view:
            count = self._read(sock, view[self._filled :], 0)
            if not count:
                raise EOFError
            self.bytes_read += count
            self._note_arrival(asked_at, took_all=count < self._max_size - self._filled)
            self._filled += count
            self._data = bytes(view[: self._filled])

    def _read(self, sock: socket.socket, target: memoryview | bytearray, flags: int) -> int:
        """Read, and retry where the system has no memory for a moment: nothing of the connection is lost."""
        for _ in range(MAX_SHORTAGES):
            try:
                return sock.recv_into(target, 0, flags)
            except OSError as error:
                if not is_transient(error):
                    raise
            sleep(SHORTAGE_PAUSE_S)
        raise ConnectionAbortedError(errno.ECONNABORTED, "no memory to read it")

    def _note_arrival(self, asked_at: int, took_all: bool) -> None:
        """Record the bounds on the age of the bytes that were read: see `FrameBatch`."""
        is_continued = self._start < len(self._data)  # a frame began with bytes that came before
        if not is_continued:
            self._empty_at = self._emptied_at
            self._was_waiting = boot_clock() - asked_at > MIN_WAIT_US
        if took_all:
            self._emptied_at = asked_at

    def _release_buffer(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
