"""Accounting of the memory that RPCs, runs and stored idempotency keys use.

This module keeps the sum and checks it against limits, without reference to single RPCs. The limit for the
start of a run is the lowest, as a run adds more memory than a queued RPC; the limit for duplicates is the
highest, as they are the last to be failed.
"""

# Limits, as fractions of the memory of the node.
START_BELOW = 0.85
REJECT_ABOVE = 0.9
FAIL_DUPLICATES_ABOVE = 0.95


class MemoryAccount:
    """Memory in use, in units of 1024 bytes.

    Invariant: `used_kb` is the sum of `memory_kb` of all active RPCs, `extra_run_kb` of those that began to
    run, and `key_entry_kb` for each stored key.
    """

    def __init__(self, limit_kb: float) -> None:
        """Begin with no memory in use; `limit_kb` is the memory of the node."""
        self.limit_kb = limit_kb
        self.used_kb = 0.0

    def reserve(self, memory_kb: float) -> None:
        """Add memory to the memory in use."""
        self.used_kb += memory_kb

    def free(self, memory_kb: float) -> None:
        """Subtract memory from the memory in use."""
        self.used_kb -= memory_kb

    def can_admit(self, further_kb: float) -> bool:
        """Return whether an RPC may be queued that needs `further_kb` in addition to its reserved memory."""
        return self.used_kb + further_kb <= REJECT_ABOVE * self.limit_kb

    def can_start(self, further_kb: float) -> bool:
        """Return whether a run that needs `further_kb` may start."""
        return self.used_kb + further_kb <= START_BELOW * self.limit_kb

    def can_share(self) -> bool:
        """Return whether a duplicate may wait for the result of the first RPC of its key."""
        return self.used_kb <= FAIL_DUPLICATES_ABOVE * self.limit_kb
