"""Moving averages over the latest arrivals: the delay before they were read, and the ratio of retries.

Times are microseconds.
"""

# Numbers of arrivals over which the moving averages are taken.
INGRESS_DELAY_SAMPLES = 8
RETRY_SAMPLES = 32
INGRESS_DELAY_DECAY = 0.98  # factor that is applied to the delay once per maintenance interval


class ArrivalStatistics:
    """Moving averages over arrivals. Invariant: `retry_ratio` is between 0 and 1."""

    def __init__(self) -> None:
        """Begin without arrivals."""
        self.ingress_queueing_delay = 0.0  # time from an RPC's arrival at the machine until it was read
        self.retry_ratio = 0.0  # fraction of the arrivals that are retries

    def record(self, ingress_delay: int, is_retry: bool) -> None:
        """Add an arrival to the averages."""
        self.ingress_queueing_delay += (ingress_delay - self.ingress_queueing_delay) / INGRESS_DELAY_SAMPLES
        self.retry_ratio += (is_retry - self.retry_ratio) / RETRY_SAMPLES

    def decay(self) -> None:
        """Reduce the delay once per maintenance interval, so that it falls even if no RPC arrives."""
        self.ingress_queueing_delay *= INGRESS_DELAY_DECAY
