"""Computes when the RPCs of a batch arrived at the machine, from the Unix timestamps that they carry.

`ArrivalClock` owns the times of the current batch and the history of the wall clock. It must never order
events or measure durations by the wall clock, but only by the node's clock.
"""

from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.wall_clock import Arrival, WallClockHistory

MICROSECONDS_PER_SECOND = 1_000_000


class ArrivalClock:
    """Converts the timestamps of RPCs in the current batch to arrival times. Times are whole microseconds."""

    __slots__ = ("_effect_buffer", "_max_clock_lead_us", "_wall_clock", "not_before", "received_at")

    def __init__(self, effect_buffer: EffectBuffer, max_clock_lead_us: int) -> None:
        self._effect_buffer = effect_buffer
        self._max_clock_lead_us = max_clock_lead_us
        self._wall_clock = WallClockHistory()
        # connection_dispatch.py sets these two attributes before each batch is processed.
        self.received_at = 0
        self.not_before = 0  # the earliest time at which the batch can have reached the machine

    def read_arrival(self, timestamp: int, late_read_us: int) -> Arrival | None:
        """Return the time of arrival for an RPC's timestamp, or None if it is invalid; see `FrontendHost`."""
        now = self._effect_buffer.now
        received_at = min(self.received_at, now)
        oldest = now - late_read_us
        clock, lead_us = self._wall_clock, self._max_clock_lead_us
        arrival = clock.arrival(timestamp, self.not_before, received_at, oldest, lead_us)
        if arrival is not None:
            return arrival
        arrival = clock.add_other_clock(timestamp, self.not_before, received_at, oldest, lead_us)
        cause = "stamps of another clock" if arrival else "stamp of no clock"
        ahead_s = (timestamp - self.unix_now()) / MICROSECONDS_PER_SECOND
        text = f"{cause}: {timestamp}, this machine's clock reads {self.unix_now()} ({ahead_s:+.3f} s)"
        self._effect_buffer.log_fault("wall clock", cause, text)
        return arrival

    def unix_now(self) -> int:
        """Return the current Unix time in microseconds."""
        return self._wall_clock.to_unix(self._effect_buffer.now)

    def on_wall_clock_read(self, unix_us: int) -> None:
        """Record a reading of the wall clock; log a fault if the clock was stepped."""
        step_us = self._wall_clock.record(self._effect_buffer.now, unix_us)
        if step_us:
            self._effect_buffer.log_fault("wall clock", "step", f"stepped by {step_us} us")
