"""Moving averages over the latest arrivals: the delay before they were read, and the ratio of retries.

Times are microseconds.
"""

# Numbers of arrivals over which the moving averages are taken.
INGRESS_DELAY_SAMPLES = 8
RETRY_SAMPLES = 32
INGRESS_DELAY_DECAY = 0.98  # factor per maintenance interval: the delay decays even if no RPC arrives


class ArrivalStatistics:
    """Moving averages over arrivals. Invariant: `retry_ratio` is between 0 and 1."""

    def __init__(self) -> None:
        """Begin without arrivals."""
        self.ingress_queueing_delay = 0.0  # from when an RPC reached the machine until it was read
        self.retry_ratio = 0.0  # fraction of the arrivals that are retries

    def record(self, ingress_delay: int, is_retry: bool) -> None:
        """Add an arrival to the averages."""
        self.ingress_queueing_delay += (ingress_delay - self.ingress_queueing_delay) / INGRESS_DELAY_SAMPLES
        self.retry_ratio += (is_retry - self.retry_ratio) / RETRY_SAMPLES

    def decay(self) -> None:
        """Decay the delay by one maintenance interval."""
        self.ingress_queueing_delay *= INGRESS_DELAY_DECAY
