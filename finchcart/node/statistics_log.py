"""The log line of the node's statistics, once an interval and at the end.

Owns the timer of that line. It must never be read by a decision.
"""

from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Log
from finchcart.node.rpc_lifecycle import RpcLifecycle


class StatisticsLog:
    """Writes what was counted since the last line. Bounds: one timer."""

    def __init__(self, effect_buffer: EffectBuffer, lifecycle: RpcLifecycle, interval_us: int) -> None:
        self._effect_buffer = effect_buffer
        self._lifecycle = lifecycle
        self._interval_us = interval_us

    def start(self) -> None:
        """Write a line after each interval from now on."""
        self._effect_buffer.schedule_after(self._interval_us, self._write_again)

    def write(self) -> None:
        """Write a line where anything was counted."""
        line = self._effect_buffer.statistics.line()
        if line:
            runs = len(self._lifecycle.running_rpcs())
            self._effect_buffer.emit(Log(f"{line}; {runs} runs in progress"))

    def _write_again(self) -> None:
        self.write()
        self.start()
