"""Outcomes of runs, of calls to the dependency, and of duplicates' waits for a result."""

from enum import Enum


class Outcome(Enum):
    """How a run, a call or a duplicate's wait for a result ended."""

    OK = "ok"
    ERROR = "error"  # the run or call failed, and may have had its effect
    REJECTED = "rejected"  # the run or call was rejected before any work was done, and so never ran
    TIMEOUT = "timeout"  # the run or call was abandoned, and may have had its effect
    UNREACHABLE = "unreachable"  # no connection was established, so the run or call never began
    CONNECTION_LOST = "connection lost"  # the run or call may have had its effect
    STOPPED = "stopped"  # the run was stopped or paused, or ended while awaiting a call
    NOT_STARTED = "not started"  # the run or call was cancelled before its start, and so never ran

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the run or call never ran."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED))
