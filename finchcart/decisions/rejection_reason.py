"""Reasons for the rejection of an RPC, under the names that logs and documentation use as well.

The reasons are given by admission_checks.py and admission.py, and by the modules named in the comments.
"""

from enum import Enum


class RejectionReason(Enum):
    """Reason for a rejection. Each reason proves that the RPC never ran on this node."""

    QUOTA_EXHAUSTED = "quota exhausted"  # the quota, less the reserve for more critical methods, is used up
    SHUTTING_DOWN = "shutting down"  # the RPC arrived after the grace period
    MEMORY_EXHAUSTED = "memory exhausted"
    DEADLINE_TOO_NEAR = "deadline too near"  # no response can be sent in time; also expiry.py
    DEPENDENCY_DOWN = "dependency down"  # the dependency is down, and no probe call is left for the RPC
    FLEET_SHED_LEVEL = "fleet shed level"  # the whole fleet sheds RPCs of this rank
    LOAD_SHED = "load shed"  # not admitted by the method's admission probability
    MISSES_OBJECTIVE = "misses objective"  # the expected latency is too long; also run_starter.py, expiry.py
