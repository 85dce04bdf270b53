"""How many of the arrivals come from callers that were seen shortly before.

Owns when each caller was last seen. What follows for connections is decided by idle_timeout.py, for advice by
rejection.py, for credit by feedback.py.
"""

from finchcart.decisions.units import SECOND
from finchcart.decisions.warm_up import WarmUp

REUSE_WINDOW = 8 * SECOND  # a caller seen within it can reuse its connection: the longest idle timeout
SAMPLES = 16  # arrivals that the ratio is averaged over
MAX_CALLERS_REMEMBERED = 999  # then those are forgotten that were not seen within the window

Caller = str | int | None


class CallerReuse:
    """Callers and the caller reuse ratio. Invariant: `ratio` is from 0 to 1."""

    def __init__(self, warm_up: WarmUp) -> None:
        """No caller was seen; the first window after a start or restart counts no caller as new."""
        self._warm_up = warm_up
        self.last_seen: dict[Caller, int] = {}  # time by caller
        self.ratio = 0.0  # part of the arrivals whose caller was seen within the window

    def record(self, now: int, caller: Caller) -> None:
        """Count an arrival from this caller."""
        seen_at = self.last_seen.get(caller)
        self.last_seen[caller] = now
        if seen_at is not None or now - self._warm_up.began_at > REUSE_WINDOW:
            is_reuse = seen_at is not None and now - seen_at < REUSE_WINDOW
            self.ratio += (is_reuse - self.ratio) / SAMPLES

    def forget_unseen(self, now: int) -> None:
        """Forget callers that were not seen within the window, where too many are remembered."""
        if len(self.last_seen) > MAX_CALLERS_REMEMBERED:
            oldest = now - REUSE_WINDOW
            self.last_seen = {caller: at for caller, at in self.last_seen.items() if at > oldest}

    def count_seen_within(self, now: int, window: int) -> int:
        """Return how many callers were seen within the last `window` microseconds."""
        return sum(now - seen_at < window for seen_at in self.last_seen.values())
