"""Buffers of one size, taken from a pool and given back.

Owns the memory that links read into. A buffer is held only while it holds bytes; it must never be used after
it was given back, nor handed to the reducer: codecs copy out what they keep.
"""

from collections import deque


class Buffers:
    """Safe to use from many threads: a deque's append and pop are atomic."""

    def __init__(self, limits):
        self.size = limits.buffer_size
        self.spare = deque(maxlen=limits.spare_buffers)
        self.out = set()  # the ids of those in use

    def take(self):
        try:
            buffer = self.spare.pop()
        except IndexError:
            buffer = bytearray(self.size)
        self.out.add(id(buffer))
        return buffer

    def may_stay(self):
        """Whether a link may hold its empty buffer while it waits: as many as would be kept for reuse."""
        return len(self.out) <= self.spare.maxlen

    def give_back(self, buffer):
        if id(buffer) not in self.out:
            raise ValueError("a buffer was given back twice")
        self.out.discard(id(buffer))
        self.spare.append(buffer)
