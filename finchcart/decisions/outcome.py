"""How a run, a call or the wait of a duplicate ended.

Owns the type alone; what follows from an outcome is decided by its user.
"""

from enum import Enum


class Outcome(Enum):
    """How a run, a call or the wait of a duplicate ended."""

    OK = "ok"
    ERROR = "error"  # it failed, and may have had its effect
    REJECTED = "rejected"  # rejected unseen: proves that it never ran
    TIMEOUT = "timeout"  # abandoned; may have had its effect
    UNREACHABLE = "unreachable"  # never connected: proves that it never ran
    CONNECTION_LOST = "connection lost"  # may have had its effect
    STOPPED = "stopped"  # the run was stopped or paused, or ended while awaiting a call
    NOT_STARTED = "not started"  # cancelled before start: proves that it never ran

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that nothing ran."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED))
