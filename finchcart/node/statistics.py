"""Counts of what a node did since its start, for its operators.

Owns the counts and the text of their log line. It must never be read by a decision.
"""

from collections import Counter


class Statistics:
    """Counts by name. Bounds: the names are constants of the code that counts."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._logged: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Count something that happened."""
        self.counts[name] += by

    def line(self) -> str | None:
        """Return the counts since the last line, with the sums since the start; None where there are none."""
        changed = self.counts - self._logged
        self._logged = self.counts.copy()
        if not changed:
            return None
        parts = (f"{name} {count} ({self.counts[name]})" for name, count in sorted(changed.items()))
        return f"statistics, in parentheses since the start: {', '.join(parts)}"
