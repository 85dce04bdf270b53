"""Coarse histogram of positive values on a logarithmic scale, with decay of old samples."""

from math import log2

BIN_COUNT = 16
BINS_PER_OCTAVE = 2
BIN_MIDDLE = 1.19  # 2**(1/4): ratio of a bin's geometric middle to its lower end


class Histogram:
    """Histogram of sixteen bins, two per octave, starting at `low`.

    The counts of all bins are halved each time the total reaches `max_count`.
    """

    __slots__ = ("bins", "count", "low", "max_count", "mean", "weighted_sum")

    WEIGHTS = tuple(2 ** (position / BINS_PER_OCTAVE) for position in range(BIN_COUNT))

    def __init__(self, low: float, prior: float, max_count: float) -> None:
        """Begin with the single sample `prior`."""
        self.low = low
        self.max_count = max_count
        self.bins = [0.0] * BIN_COUNT
        self.count = 0.0
        self.weighted_sum = 0.0  # sum of the samples' lower bin ends, in multiples of `low`
        self.add(prior)

    def add(self, value: float) -> None:
        """Count a sample; the first and the last bin also count the values outside of the range."""
        position = 0
        if value > self.low:
            position = min(BIN_COUNT - 1, int(BINS_PER_OCTAVE * log2(value / self.low)))
        self.bins[position] += 1
        self.count += 1
        self.weighted_sum += self.WEIGHTS[position]
        if self.count >= self.max_count:
            self._halve_counts()
        self.mean = BIN_MIDDLE * self.low * self.weighted_sum / self.count

    def quantile(self, fraction: float) -> float:
        """Return the upper end of the bin that contains the quantile `fraction` (0 to 1) of the samples."""
        remaining = fraction * self.count
        position = 0
        for count in self.bins:
            remaining -= count
            position += 1
            if remaining <= 0:
                break
        return self.low * 2 ** (position / BINS_PER_OCTAVE)

    def _halve_counts(self) -> None:
        self.bins = [count / 2 for count in self.bins]
        self.count = sum(self.bins)
        self.weighted_sum = sum(count * weight for count, weight in zip(self.bins, self.WEIGHTS, strict=True))
