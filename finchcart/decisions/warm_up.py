"""Warm-up of the worker pool after a start or a restart.

This module records when the warm-up began, and whether it began cold. The speed is not measured: it is
assumed to follow the slowest ramp that the settings allow.
"""

from finchcart.decisions.node_settings import NodeSettings


class WarmUp:
    """Current warm-up. Times are microseconds."""

    def __init__(self, settings: NodeSettings) -> None:
        """Begin cold or warm, according to the settings."""
        self._settings = settings
        self.is_cold = bool(settings.fresh_start)
        self.began_at = 0

    def begin(self, now: int) -> None:
        """Begin the warm-up at `now`, without changing whether it is cold."""
        self.began_at = now

    def restart(self, now: int, cold: bool) -> None:
        """Begin a new warm-up at `now`; `cold` tells whether the node is as slow as after a fresh start."""
        self.is_cold = cold
        self.began_at = now

    def progress(self, now: int) -> float:
        """Return the fraction of the full speed that is reached at `now`."""
        return self._settings.warm_up_progress(now - self.began_at) if self.is_cold else 1.0
