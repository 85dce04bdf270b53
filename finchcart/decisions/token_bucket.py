"""A token bucket whose rate and size may change with each refill.

Owns the tokens alone; what a token stands for is up to its user.
"""


class TokenBucket:
    """Tokens that come back with time. `tokens` may fall below 0: what was used is taken afterwards."""

    def __init__(self, size: float) -> None:
        """Begin full; `size`: the first size."""
        self._size = size
        self._refilled_at = 0
        self.tokens = size

    def start(self, now: int) -> None:
        """Count refills from `now`."""
        self._refilled_at = now

    def refill(self, now: int, rate: float, size: float) -> None:
        """Add the tokens since the last refill at `rate` a microsecond, up to the present `size`."""
        self.tokens = min(self.tokens + rate * (now - self._refilled_at), size)
        self._refilled_at = now

    def take(self, tokens: float) -> None:
        """Take tokens that were used."""
        self.tokens -= tokens

    def fill(self) -> None:
        """Fill the bucket up to its first size."""
        self.tokens = self._size
