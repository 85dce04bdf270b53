"""The number of the last handled notice, by which the node drops duplicate notices.

`NoticeCursor` owns this number. The number must never decrease, except at a restart of the worker pool, which
numbers its notices from 1 again.
"""


class NoticeCursor:
    """The position in the numbered notices of the worker pool."""

    __slots__ = ("_unreadable_after", "position")

    def __init__(self) -> None:
        self.position = 0
        self._unreadable_after: int | None = None  # `position` when a notice last failed to decode

    def advance(self, number: int) -> bool:
        """Return whether the notice of this number is new, and set the position to a new one."""
        is_new = number > self.position
        if is_new:
            self.position = number
        return is_new

    def reset(self) -> None:
        """Set the position before the first notice, after a restart of the worker pool."""
        self.position = 0

    def is_unreadable_again(self) -> bool:
        """Record that the notice after the position failed to decode; return whether it had failed before."""
        is_again = self._unreadable_after == self.position
        self._unreadable_after = self.position
        return is_again

    def skip(self) -> None:
        """Skip the next notice, which cannot be decoded."""
        self.position += 1
        self._unreadable_after = self.position
