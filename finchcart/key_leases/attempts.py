"""The state that a key lease client keeps for a key: its attempt to acquire the lease, then the lease.

Defines the types only; client.py owns the instances. Times are microseconds on the boot clock.
"""

from typing import NamedTuple

from finchcart.key_leases.messages import LeaseProposal, LeaseStatus


class Attempt:
    """One attempt to acquire the lease of a key."""

    def __init__(self, number: int, key: bytes, payload_digest: int, duration_us: int, now: int) -> None:
        self.number = number
        self.key = key
        self.payload_digest = payload_digest
        self.duration_us = duration_us
        self.started_at = now  # when the first of consecutive attempts for this key began
        self.proposed_at = now
        self.transmit_at = now
        self.votes: dict[int, LeaseStatus] = {}  # by index of the replica

    def proposal(self) -> LeaseProposal:
        """Return the proposal that is sent to the replicas."""
        return LeaseProposal(self.key, self.payload_digest, self.number, self.duration_us)

    def granted_votes(self) -> int:
        """Return the number of replicas that granted the lease to this attempt."""
        return list(self.votes.values()).count(LeaseStatus.GRANTED)


class AcquiredLease(NamedTuple):
    """A lease that this process holds until its run has ended or the lease has expired on all replicas."""

    attempt: int
    payload_digest: int
    expires_at: int
