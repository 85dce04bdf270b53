"""Why an RPC is rejected: one name for each reason, in code and documentation.

Owns the names alone. Reasons without another module in the comment are given by admission_checks.py.
"""

from enum import Enum


class RejectionReason(Enum):
    """Why an RPC was rejected. Each proves that it never ran here."""

    QUOTA_EXHAUSTED = "quota exhausted"  # the fleet's, less a reserve for more critical methods
    SHUTTING_DOWN = "shutting down"  # it came after the grace period
    MEMORY_EXHAUSTED = "memory exhausted"
    DEADLINE_TOO_NEAR = "deadline too near"  # no response can be sent in time; also expiry.py
    DEPENDENCY_DOWN = "dependency down"  # and all probe calls are taken
    FLEET_SHED_LEVEL = "fleet shed level"  # the whole fleet sheds its rank
    LOAD_SHED = "load shed"  # by its method's admission probability
    MISSES_OBJECTIVE = "misses objective"  # by its expected latency; also run_starter.py, expiry.py
