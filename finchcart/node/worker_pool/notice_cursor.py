"""The number of the last notice that was handled, by which each notice is handled once.

Owns that number. It must never go back but at a restart of the worker pool, whose
notices begin at 1 again.
"""


class NoticeCursor:
    """The position in the worker pool's numbered notices."""

    __slots__ = ("_unreadable_after", "position")

    def __init__(self) -> None:
        self.position = 0
        self._unreadable_after: int | None = None  # the last notice before one that could not be read

    def advance(self, number: int) -> bool:
        """Return whether the notice of this number is new, and move on to it."""
        is_new = number > self.position
        if is_new:
            self.position = number
        return is_new

    def reset(self) -> None:
        """Start again at the first notice: the worker pool has restarted."""
        self.position = 0

    def is_unreadable_again(self) -> bool:
        """Return whether the next notice could not be read before either, and note that it could not now."""
        is_again = self._unreadable_after == self.position
        self._unreadable_after = self.position
        return is_again

    def skip(self) -> None:
        """Pass over the next notice, which cannot be read."""
        self.position += 1
        self._unreadable_after = self.position
