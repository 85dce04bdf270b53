"""Logs the node's statistics, once per interval and at the end of the node.

No decision may depend on the statistics.
"""

from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Log
from finchcart.node.rpc_lifecycle import RpcLifecycle


class StatisticsLog:
    """Writes the log line of the statistics periodically, with one timer."""

    def __init__(self, effect_buffer: EffectBuffer, lifecycle: RpcLifecycle, interval_us: int) -> None:
        self._effect_buffer = effect_buffer
        self._lifecycle = lifecycle
        self._interval_us = interval_us

    def start(self) -> None:
        """Write a line after each interval from now on."""
        self._effect_buffer.schedule_after(self._interval_us, self._write_again)

    def write(self) -> None:
        """Write a line if any counter changed since the last line."""
        line = self._effect_buffer.statistics.take_log_line()
        if line:
            runs = len(self._lifecycle.running_rpcs())
            self._effect_buffer.emit(Log(f"{line}; {runs} runs in progress"))

    def _write_again(self) -> None:
        self.write()
        self.start()
