"""The warm-up of what runs the RPCs, after a start or a restart.

Owns when it began and whether it began cold. It must never measure the speed: it follows the slowest ramp
that the settings allow.
"""

from finchcart.decisions.node_settings import NodeSettings


class WarmUp:
    """The present warm-up. Times are microseconds."""

    def __init__(self, settings: NodeSettings) -> None:
        """Begin as the settings say."""
        self._settings = settings
        self.is_cold = bool(settings.fresh_start)
        self.began_at = 0

    def begin(self, now: int) -> None:
        """Count from `now`, cold or warm as before."""
        self.began_at = now

    def restart(self, now: int, cold: bool) -> None:
        """Count from `now`; `cold`: as slow as a fresh start."""
        self.is_cold = cold
        self.began_at = now

    def progress(self, now: int) -> float:
        """Return the part of the full speed that is reached."""
        return self._settings.warm_up_progress(now - self.began_at) if self.is_cold else 1.0
