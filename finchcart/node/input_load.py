"""Measures how long inputs wait and how busy their processing is, for the decision module's gauges.

`InputLoad` must never delay or reorder inputs.
"""

from finchcart.decisions.gauges import Gauges


class InputLoad:
    """The load of the thread that processes the inputs."""

    __slots__ = ("_busy_fraction", "longest_wait_us")

    def __init__(self) -> None:
        self._busy_fraction = 0.0  # fraction of the last interval that was spent on inputs
        # The longest wait of any input since the last `add_gauges`; connection_dispatch.py sets it.
        self.longest_wait_us = 0

    def on_load_measured(self, busy_us: int, span_us: int) -> None:
        """Handle a measurement: inputs were processed for `busy_us` of the last `span_us`."""
        self._busy_fraction = busy_us / max(1, span_us)

    def add_gauges(self, gauges: Gauges) -> Gauges:
        """Return the gauges with the load of input processing, and reset the longest wait."""
        longest_wait_us = self.longest_wait_us
        self.longest_wait_us = 0
        return gauges._replace(input_age=longest_wait_us, input_busy=self._busy_fraction)
