"""Event counters of a node since its start, for its operators.

No decision may depend on these counters.
"""

from collections import Counter


class Statistics:
    """Counters by name. The names are constants in the code, so that their number is bounded."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._logged: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Increase the counter `name`."""
        self.counts[name] += by

    def take_log_line(self) -> str | None:
        """Return a log line with the counts since the last line and in total; None if nothing changed."""
        changed = self.counts - self._logged
        self._logged = self.counts.copy()
        if not changed:
            return None
        parts = (f"{name} {count} ({self.counts[name]})" for name, count in sorted(changed.items()))
        return f"statistics, in parentheses since the start: {', '.join(parts)}"
