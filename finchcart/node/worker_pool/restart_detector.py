"""Detection of restarts of the worker pool by its stated uptime.

`RestartDetector` owns the latest known start time of the worker pool. It must never mistake a delayed message
for a restart, because the node counts all runs of a restarted worker pool as lost.
"""

from enum import Enum


class PoolContact(Enum):
    """Which process of the worker pool a new connection reached."""

    FIRST = "first"
    SAME = "same"  # the process that the previous connection reached
    RESTARTED = "restarted"  # a new process, which lost all runs


class RestartDetector:
    """Compares the stated uptime with the last known start time. Times are whole microseconds."""

    def __init__(self, tolerance_us: int) -> None:
        self._tolerance_us = tolerance_us
        self._started_by: int | None = None  # upper bound of the start time of the worker pool

    def observe(self, now: int, requested_at: int, uptime_us: int) -> PoolContact:
        """Return which process of the worker pool sent a `Subscribed` message.

        Arguments:
            now: time at which the message was read.
            requested_at: time at which the message was requested.
            uptime_us: uptime of the worker pool as stated in the message.
        """
        previous_start = self._started_by
        if previous_start is None:
            self._started_by = now - uptime_us
            return PoolContact.FIRST
        # The message may arrive late or be read late, so `now - uptime_us` may lie far after the real start
        # of the same process, and a restart inferred from it would report runs as lost that continue. The
        # message was written after its request, so `requested_at - uptime_us` is a lower bound of the start.
        if requested_at - uptime_us > previous_start + self._tolerance_us:
            self._started_by = now - uptime_us
            return PoolContact.RESTARTED
        if now - requested_at < self._tolerance_us:
            self._started_by = now - uptime_us  # follows the drift between the two clocks
        return PoolContact.SAME
