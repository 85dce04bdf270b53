"""A pool of read buffers of one size.

The pool owns the memory that connections read into. A connection holds a buffer only while the buffer has
unprocessed bytes. A buffer must never be used after its release or handed to the core: codecs copy the data
that they keep.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from finchcart.limits import Limits


class Buffers:
    """The pool of buffers; up to `limits.spare_buffers` released buffers are kept for reuse.

    The number of buffers in use is bounded by the number of connections. The pool is thread-safe: append and
    pop of a deque are atomic.
    """

    def __init__(self, limits: Limits) -> None:
        self.size = limits.buffer_bytes
        self.max_spare = limits.spare_buffers
        self.spare: deque[bytearray] = deque(maxlen=self.max_spare)
        self.in_use: set[int] = set()  # `id()` of each buffer in use

    def acquire(self) -> bytearray:
        """Return a buffer of `size` bytes with undefined content."""
        try:
            buffer = self.spare.pop()
        except IndexError:
            buffer = bytearray(self.size)
        self.in_use.add(id(buffer))
        return buffer

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool; raise ValueError if the buffer is not in use."""
        if id(buffer) not in self.in_use:
            raise ValueError("expected a buffer in use, got one that was already released")
        self.in_use.discard(id(buffer))
        self.spare.append(buffer)

    @contextmanager
    def borrow(self) -> Iterator[bytearray]:
        """Acquire a buffer for the duration of a `with` block."""
        buffer = self.acquire()
        try:
            yield buffer
        finally:
            self.release(buffer)

    def may_keep_empty(self) -> bool:
        """Return whether a connection may keep its empty buffer while it waits for data.

        That is allowed while at most `max_spare` buffers are in use.
        """
        return len(self.in_use) <= self.max_spare
