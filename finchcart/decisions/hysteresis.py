"""Hysteresis: two thresholds for one state, so that a value near a threshold does not make it oscillate.

The user of the class holds the state.
"""


class Hysteresis:
    """Thresholds of a state that begins at the `enter` threshold and ends at the `exit` threshold."""

    __slots__ = ("enter", "exit")

    def __init__(self, *, enter: float, exit: float) -> None:
        """Set both thresholds."""
        self.enter = enter
        self.exit = exit

    def is_above(self, value: float, is_active: bool) -> bool:
        """Return whether `value` is above `exit` if the state is active, or above `enter` if it is not."""
        return value > (self.exit if is_active else self.enter)

    def is_below(self, value: float, is_active: bool) -> bool:
        """Return whether `value` is below `exit` if the state is active, or below `enter` if it is not."""
        return value < (self.exit if is_active else self.enter)
