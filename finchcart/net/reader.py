"""Reads the frames of one connection into a buffer from the pool.

A `FrameReader` owns its buffer while the buffer holds bytes, and the position at which the next frame begins.
It must never decode a message or take a lock.
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

MIN_WAIT_US = 2_000  # if a read takes longer than this, it has waited for its first byte to arrive


class FrameBatch(NamedTuple):
    """Frames of one connection, and the error in the bytes that follow them, or None."""

    frames: list[bytes]
    fault: ProtocolError | None
    empty_at: int  # time (boot clock, microseconds) at which the receive buffer was empty before these bytes
    was_waiting: bool  # the reader was blocked when the first byte arrived


class FrameReader:
    """Reads frames from a blocking socket; as a context manager, it releases its buffer on exit.

    Only the reader thread calls the methods; other threads may read `bytes_read`.
    """

    def __init__(
        self,
        number: int,
        find_frame_end: Callable[[bytes, int, int], int | None],
        buffers: Buffers,
        max_frames: int,
    ) -> None:
        self.bytes_read = 0  # number of bytes received since the connection was opened
        self._number = number
        self._find_frame_end = find_frame_end
        self._buffers = buffers
        self._max_frames = max_frames
        self._max_size = buffers.size
        self._buffer: bytearray | None = None
        self._filled = 0  # how many bytes of the buffer hold received data
        self._data = b""  # a copy of the received data in the buffer
        self._start = 0  # offset in `_data` of the first byte that was not split into a frame yet
        self._first_byte = bytearray(1)
        self._emptied_at = boot_clock()  # start of the last read that emptied the receive buffer
        self._empty_at = self._emptied_at  # `_emptied_at` before the read that brought the current bytes
        self._was_waiting = False  # the read that brought the current bytes waited for them

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._release_buffer()

    def read_batch(self, sock: socket.socket) -> FrameBatch:
        """Wait for at least one complete frame, or for bytes that cannot be part of a frame.

        Raises:
            EOFError: the peer closed the connection.
            OSError: the connection broke.
        """
        while True:
            frames, fault = self._split_frames()
            if frames or fault:
                return FrameBatch(frames, fault, self._empty_at, self._was_waiting)
            read_started_at = boot_clock()
            buffer = self._make_room(sock)
            if self._filled == self._max_size:
                error = ProtocolError(f"expected messages of at most {self._filled} bytes, got a longer one")
                return FrameBatch([], error, self._empty_at, self._was_waiting)
            self._receive(sock, buffer, read_started_at)

    def _split_frames(self) -> tuple[list[bytes], ProtocolError | None]:
        """Split the received data into complete frames.

        Returns:
            The frames, and the protocol error in the bytes after the frames, or None instead of an error.
        """
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
            # A defect in a codec closes only this connection and does not end the node.
            logger.exception("connection {}: codec failed to find the end of a frame", self._number)
            fault = ProtocolError(str(error))
        self._start = start
        return frames, fault

    def _make_room(self, sock: socket.socket) -> bytearray:
        """Return the buffer, with the bytes of an incomplete frame moved to its beginning."""
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
        """Release the buffer, wait for data, and acquire a buffer again.

        The wait only peeks at the first byte, so that idle connections use no buffer memory.
        """
        self._release_buffer()
        if not self._read(sock, self._first_byte, socket.MSG_PEEK):
            raise EOFError
        buffer = self._buffer = self._buffers.acquire()
        return buffer

    def _receive(self, sock: socket.socket, buffer: bytearray, read_started_at: int) -> None:
        with memoryview(buffer) as view:
            count = self._read(sock, view[self._filled :], 0)
            if not count:
                raise EOFError
            self.bytes_read += count
            self._record_arrival(read_started_at, emptied=count < self._max_size - self._filled)
            self._filled += count
            self._data = bytes(view[: self._filled])

    def _read(self, sock: socket.socket, target: memoryview | bytearray, flags: int) -> int:
        """Receive into `target`; retry while the system is short of memory, which loses no received data."""
        for _ in range(MAX_SHORTAGES):
            try:
                return sock.recv_into(target, 0, flags)
            except OSError as error:
                if not is_transient(error):
                    raise
            sleep(SHORTAGE_PAUSE_S)
        raise ConnectionAbortedError(errno.ECONNABORTED, "system is short of memory for reading")

    def _record_arrival(self, read_started_at: int, emptied: bool) -> None:
        """Record when the received bytes can have arrived, for `FrameBatch`.

        Arguments:
            read_started_at: when the read started.
            emptied: whether the read took everything from the socket's receive buffer.
        """
        # The received bytes may continue a frame that began in an earlier read.
        is_continued = self._start < len(self._data)
        if not is_continued:
            self._empty_at = self._emptied_at
            self._was_waiting = boot_clock() - read_started_at > MIN_WAIT_US
        if emptied:
            self._emptied_at = read_started_at

    def _release_buffer(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
