"""The memory that RPCs, runs and stored idempotency keys are counted with.

Owns the sum and its limits. It must never know which RPC a kilobyte belongs to. Later uses have higher
limits: a run takes more than a queued RPC, and duplicates are the last to fail.
"""

# Parts of the memory of the node.
START_BELOW = 0.85
REJECT_ABOVE = 0.9
FAIL_DUPLICATES_ABOVE = 0.95


class MemoryAccount:
    """Memory in use, in units of 1024 bytes.

    Invariant: `used_kb` is the sum of `memory_kb` of all active RPCs, `extra_run_kb` of those that began to
    run, and `key_entry_kb` for each stored key.
    """

    def __init__(self, limit_kb: float) -> None:
        """Begin with nothing in use; `limit_kb`: memory of the node."""
        self.limit_kb = limit_kb
        self.used_kb = 0.0

    def reserve(self, memory_kb: float) -> None:
        """Count memory that was taken."""
        self.used_kb += memory_kb

    def free(self, memory_kb: float) -> None:
        """Count memory that was given back."""
        self.used_kb -= memory_kb

    def can_admit(self, further_kb: float) -> bool:
        """Return whether an RPC that takes `further_kb` besides its counted memory may be queued."""
        return self.used_kb + further_kb <= REJECT_ABOVE * self.limit_kb

    def can_start(self, further_kb: float) -> bool:
        """Return whether a run that takes `further_kb` may start."""
        return self.used_kb + further_kb <= START_BELOW * self.limit_kb

    def can_share(self) -> bool:
        """Return whether a duplicate may wait for the result of the first RPC of its key."""
        return self.used_kb <= FAIL_DUPLICATES_ABOVE * self.limit_kb
