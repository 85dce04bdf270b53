"""Averages over the latest arrivals: how long they waited to be read, and how many are retries.

Owns the averages alone; what follows from them is decided by their users. Times are microseconds.
"""

INGRESS_DELAY_SAMPLES = 8  # arrivals that the average follows
RETRY_SAMPLES = 32
INGRESS_DELAY_FADE = 0.98  # in a maintenance interval, so that it ends where nothing arrives


class ArrivalStatistics:
    """Averages over arrivals. Invariant: `retry_ratio` is from 0 to 1."""

    def __init__(self) -> None:
        """Nothing has arrived."""
        self.ingress_queueing_delay = 0.0  # from when an RPC reached the machine until it was read
        self.retry_ratio = 0.0  # part of the arrivals that are retries

    def record(self, ingress_delay: int, is_retry: bool) -> None:
        """Count an arrival."""
        self.ingress_queueing_delay += (ingress_delay - self.ingress_queueing_delay) / INGRESS_DELAY_SAMPLES
        self.retry_ratio += (is_retry - self.retry_ratio) / RETRY_SAMPLES

    def fade(self) -> None:
        """Let the delay fade by a maintenance interval."""
        self.ingress_queueing_delay *= INGRESS_DELAY_FADE
