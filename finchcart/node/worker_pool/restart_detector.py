"""Whether a worker pool that answers is the process that answered before, or a restarted one.

Owns the latest known start of the worker pool. It must never take a message that is late for a restart: the
runs of a restarted worker pool are lost.
"""

from enum import Enum


class PoolContact(Enum):
    """What a new connection to the worker pool means."""

    FIRST = "first"
    SAME = "same"  # the same process as before
    RESTARTED = "restarted"  # another process: all runs are lost


class RestartDetector:
    """Compare the worker pool's age with its last known start. Times are whole microseconds."""

    def __init__(self, tolerance_us: int) -> None:
        self._tolerance_us = tolerance_us
        self._started_by: int | None = None  # the worker pool had started by then

    def observe(self, now: int, requested_at: int, uptime_us: int) -> PoolContact:
        """Return what a `Subscribed` message means.

        Arguments:
            now: when it was read.
            requested_at: when it was requested.
            uptime_us: the time since the worker pool's start, as the message states it.
        """
        previous_start = self._started_by
        if previous_start is None:
            self._started_by = now - uptime_us
            return PoolContact.FIRST
        # Guards against runs answered as lost while they continue: the message may come late or be read
        # late. It was written after its request, so a restart began after the previous start even so.
        if requested_at - uptime_us > previous_start + self._tolerance_us:
            self._started_by = now - uptime_us
            return PoolContact.RESTARTED
        if now - requested_at < self._tolerance_us:
            self._started_by = now - uptime_us  # precise: follows where the two clocks drift apart
        return PoolContact.SAME
