"""The frames of one connection, read into a buffer of the pool.

Owns the buffer, while it holds bytes, and where the next frame begins. It must never decode a message, take a
lock or know what its frames are for.
"""

import socket
from collections.abc import Callable
from typing import NamedTuple, Self

from loguru import logger

from finchcart.errors import ProtocolError
from finchcart.net.buffers import Buffers


class FrameBatch(NamedTuple):
    """Frames of one connection, and what is wrong with the bytes that follow them (None: nothing)."""

    frames: list[bytes]
    fault: Exception | None


class FrameReader:
    """Reads frames from a blocking socket; as a context manager it gives its buffer back at the end.

    All methods are called by the reader thread. `has_undelivered_bytes` is read by other threads as well: it
    is set after bytes were taken from the system's buffer, and before they are searched for frames.
    """

    def __init__(
        self,
        number: int,
        find_frame_end: Callable[[bytes, int, int], int | None],
        buffers: Buffers,
        max_frames: int,
    ) -> None:
        self.has_undelivered_bytes = False
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

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._release_buffer()

    def read_batch(self, sock: socket.socket) -> FrameBatch:
        """Wait for at least one frame, or for bytes that are none.

        Raises EOFError where the peer closed, OSError where the connection broke.
        """
        while True:
            frames, fault = self._split()
            if frames or fault:
                return FrameBatch(frames, fault)
            self._make_room(sock)
            if self._filled == self._max_size:
                return FrameBatch([], ProtocolError(f"a message of over {self._filled} bytes"))
            self._receive(sock)

    def _split(self) -> tuple[list[bytes], Exception | None]:
        """Cut frames off what is read; return them, and what is wrong with the bytes that follow."""
        frames = []
        fault = None
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
            # Guards the node against a fault of a codec: it costs this connection alone.
            logger.exception("reading connection {}", self._number)
            fault = error
        self._start = start
        self.has_undelivered_bytes = start < len(data)
        return frames, fault

    def _make_room(self, sock: socket.socket) -> None:
        """See to a buffer with the bytes of an incomplete frame at its beginning."""
        if self._start == len(self._data):
            self._data = b""
            self._start = 0
            self._filled = 0
            if self._buffer is None or not self._buffers.may_keep_empty():
                self._wait_without_buffer(sock)
        elif self._start or self._filled == 0:
            self._data = self._data[self._start :]
            self._start = 0
            self._filled = len(self._data)
            self._buffer[: self._filled] = self._data

    def _wait_without_buffer(self, sock: socket.socket) -> None:
        """Wait for the first byte, which is only looked at: one of many idle connections holds no buffer."""
        self._release_buffer()
        if not sock.recv_into(self._first_byte, 1, socket.MSG_PEEK):
            raise EOFError
        self._buffer = self._buffers.acquire()

    def _receive(self, sock: socket.socket) -> None:
        with memoryview(self._buffer) as view:
            count = sock.recv_into(view[self._filled :])
            if not count:
                raise EOFError
            self.has_undelivered_bytes = True
            self._filled += count
            self._data = bytes(view[: self._filled])

    def _release_buffer(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
