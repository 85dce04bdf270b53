"""Two thresholds for one state, so that a value near a threshold does not switch it back and forth.

Owns the comparison alone; the state belongs to its user.
"""


class Hysteresis:
    """A state begins at the `enter` threshold, and ends only at the `exit` threshold."""

    __slots__ = ("enter", "exit")

    def __init__(self, *, enter: float, exit: float) -> None:
        """Set both thresholds."""
        self.enter = enter
        self.exit = exit

    def is_exceeded(self, value: float, is_active: bool) -> bool:
        """Return whether `value` is above the threshold of a state that `is_active` or not."""
        return value > (self.exit if is_active else self.enter)

    def is_undercut(self, value: float, is_active: bool) -> bool:
        """Return whether `value` is below the threshold of a state that `is_active` or not."""
        return value < (self.exit if is_active else self.enter)
