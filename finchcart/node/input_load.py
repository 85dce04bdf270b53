"""How late and how busy the processing of inputs is, for the decision module's gauges.

Owns the longest wait of an input since the last timer, and the last measured load. It must never slow down or
reorder inputs.
"""

from finchcart.decisions.gauges import Gauges


class InputLoad:
    """The load of the thread that processes the inputs."""

    __slots__ = ("_busy_part", "longest_wait_us")

    def __init__(self) -> None:
        self._busy_part = 0.0  # of the last measured span
        self.longest_wait_us = 0  # of the inputs since the last timer, set by connection_dispatch.py

    def on_load_measured(self, busy_us: int, span_us: int) -> None:
        """Handle a measurement: inputs were processed for `busy_us` of the last `span_us`."""
        self._busy_part = busy_us / max(1, span_us)

    def add_gauges(self, gauges: Gauges) -> Gauges:
        """Return the gauges with the load since the last call."""
        longest_wait_us = self.longest_wait_us
        self.longest_wait_us = 0
        return gauges._replace(input_age=longest_wait_us, input_busy=self._busy_part)
