"""Outcomes of runs, of calls to the dependency, and of duplicates' waits for a result."""

from enum import Enum


class Outcome(Enum):
    """How a run, a call or a duplicate's wait for a result ended."""

    OK = "ok"
    ERROR = "error"  # failed, and may have had its effect
    REJECTED = "rejected"  # rejected before any work was done: proves that it never ran
    TIMEOUT = "timeout"  # abandoned, and may have had its effect
    UNREACHABLE = "unreachable"  # no connection was established: proves that it never ran
    CONNECTION_LOST = "connection lost"  # may have had its effect
    STOPPED = "stopped"  # the run was stopped or paused, or ended while awaiting a call
    NOT_STARTED = "not started"  # cancelled before its start: proves that it never ran

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that nothing ran."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED))
