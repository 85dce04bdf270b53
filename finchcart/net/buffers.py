"""A pool of buffers of one size.

Owns the memory that connections read into. A buffer is in use only while it has bytes; it must never be used
after its release, nor handed to the core: codecs copy what they keep.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from finchcart.limits import Limits


class Buffers:
    """The pool. It keeps `limits.spare_buffers` for reuse; how many are in use is bounded by the connections.

    Safe to use from many threads: a deque's append and pop are atomic.
    """

    def __init__(self, limits: Limits) -> None:
        self.size = limits.buffer_bytes
        self.max_spare = limits.spare_buffers
        self.spare: deque[bytearray] = deque(maxlen=self.max_spare)
        self.in_use: set[int] = set()  # by id

    def acquire(self) -> bytearray:
        """Return a buffer of `size` bytes, whose content is undefined."""
        try:
            buffer = self.spare.pop()
        except IndexError:
            buffer = bytearray(self.size)
        self.in_use.add(id(buffer))
        return buffer

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool. Raise ValueError where it is not in use."""
        if id(buffer) not in self.in_use:
            raise ValueError("expected a buffer in use, got one that is released already")
        self.in_use.discard(id(buffer))
        self.spare.append(buffer)

    @contextmanager
    def borrow(self) -> Iterator[bytearray]:
        """Acquire a buffer for the length of a block."""
        buffer = self.acquire()
        try:
            yield buffer
        finally:
            self.release(buffer)

    def may_keep_empty(self) -> bool:
        """Return whether a connection may keep its empty buffer while it waits: `max_spare` may."""
        return len(self.in_use) <= self.max_spare
