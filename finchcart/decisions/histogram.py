"""A coarse histogram of positive values on a logarithmic scale, in which old samples fade.

Owns bins and their sums only; which values are kept, and what follows from them, is decided by its user.
"""

from math import log2

BIN_COUNT = 16
BINS_PER_OCTAVE = 2
BIN_MIDDLE = 1.19  # a quarter of an octave: the middle of a bin over its lower end


class Histogram:
    """Sixteen bins, two to the octave from `low` up. All bins are halved each time `max_count` is reached."""

    __slots__ = ("bins", "count", "low", "max_count", "mean", "weighted_sum")

    WEIGHTS = tuple(2 ** (position / BINS_PER_OCTAVE) for position in range(BIN_COUNT))

    def __init__(self, low: float, prior: float, max_count: float) -> None:
        """Begin with one sample, `prior`."""
        self.low = low
        self.max_count = max_count
        self.bins = [0.0] * BIN_COUNT
        self.count = 0.0
        self.weighted_sum = 0.0  # of the bins' counts, in multiples of `low`
        self.add(prior)

    def add(self, value: float) -> None:
        """Count a sample; values below the first bin or above the last count there."""
        position = 0
        if value > self.low:
            position = min(BIN_COUNT - 1, int(BINS_PER_OCTAVE * log2(value / self.low)))
        self.bins[position] += 1
        self.count += 1
        self.weighted_sum += self.WEIGHTS[position]
        if self.count >= self.max_count:
            self._fade()
        self.mean = BIN_MIDDLE * self.low * self.weighted_sum / self.count

    def quantile(self, part: float) -> float:
        """Return the upper end of the bin in which `part` (0 to 1) of the samples is reached."""
        left = part * self.count
        position = 0
        for count in self.bins:
            left -= count
            position += 1
            if left <= 0:
                break
        return self.low * 2 ** (position / BINS_PER_OCTAVE)

    def _fade(self) -> None:
        self.bins = [count / 2 for count in self.bins]
        self.count = sum(self.bins)
        self.weighted_sum = sum(count * weight for count, weight in zip(self.bins, self.WEIGHTS, strict=True))
