"""Token bucket whose rate and size may change with each refill."""


class TokenBucket:
    """Token bucket. `tokens` may fall below 0, as tokens are taken after their use."""

    def __init__(self, size: float) -> None:
        """Begin with a full bucket of the initial `size`."""
        self._size = size
        self._refilled_at = 0
        self.tokens = size

    def start(self, now: int) -> None:
        """Set the time from which the first refill counts."""
        self._refilled_at = now

    def refill(self, now: int, rate: float, size: float) -> None:
        """Add `rate` tokens per microsecond since the last refill, up to the current `size`."""
        self.tokens = min(self.tokens + rate * (now - self._refilled_at), size)
        self._refilled_at = now

    def take(self, tokens: float) -> None:
        """Subtract tokens that were used."""
        self.tokens -= tokens

    def fill(self) -> None:
        """Fill the bucket up to its initial size."""
        self.tokens = self._size
