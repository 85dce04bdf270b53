"""Caller reuse ratio: the fraction of the arrivals that come from recently seen callers.

This module records when each caller was last seen. The idle timeout of connections (idle_timeout.py) and the
retry advice (rejection.py) depend on the ratio, and the credit (feedback.py) on the number of callers.
"""

from finchcart.decisions.units import SECOND
from finchcart.decisions.warm_up import WarmUp

REUSE_WINDOW = 8 * SECOND  # the longest idle timeout, within which a caller can reuse its connection
REUSE_SAMPLES = 16  # arrivals over which the ratio is averaged
MAX_CALLERS_REMEMBERED = 999  # with more callers, those not seen within the window are forgotten

Caller = str | int | None


class CallerReuse:
    """Recently seen callers and the caller reuse ratio. Invariant: `ratio` is between 0 and 1."""

    def __init__(self, warm_up: WarmUp) -> None:
        """Begin without callers.

        Within one window after each start or restart, unknown callers do not count as new in the ratio.
        """
        self._warm_up = warm_up
        self.last_seen: dict[Caller, int] = {}  # when each caller was last seen
        self.ratio = 0.0  # fraction of the arrivals whose caller was seen within the window

    def record(self, now: int, caller: Caller) -> None:
        """Record an arrival from this caller."""
        seen_at = self.last_seen.get(caller)
        self.last_seen[caller] = now
        if seen_at is not None or now - self._warm_up.began_at > REUSE_WINDOW:
            is_reuse = seen_at is not None and now - seen_at < REUSE_WINDOW
            self.ratio += (is_reuse - self.ratio) / REUSE_SAMPLES

    def forget_unseen(self, now: int) -> None:
        """Forget callers that were not seen within the window if too many callers are recorded."""
        if len(self.last_seen) > MAX_CALLERS_REMEMBERED:
            oldest = now - REUSE_WINDOW
            self.last_seen = {caller: at for caller, at in self.last_seen.items() if at > oldest}

    def count_seen_within(self, now: int, window: int) -> int:
        """Return the number of callers seen within the last `window` microseconds."""
        return sum(now - seen_at < window for seen_at in self.last_seen.values())
