"""What a key lease client keeps of a key: its attempt to acquire the lease, then the lease.

Owns the types alone: client.py keeps them. Times are microseconds on the boot clock.
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
        self.started_at = now  # of the first attempt in a row for this key
        self.proposed_at = now
        self.transmit_at = now
        self.votes: dict[int, LeaseStatus] = {}  # by index of the replica

    def proposal(self) -> LeaseProposal:
        """Return what is proposed to the replicas."""
        return LeaseProposal(self.key, self.payload_digest, self.number, self.duration_us)

    def granted_votes(self) -> int:
        """Return the number of replicas that voted for it."""
        return list(self.votes.values()).count(LeaseStatus.GRANTED)


class AcquiredLease(NamedTuple):
    """A lease that this process holds, until its run has ended or the lease has expired everywhere."""

    attempt: int
    payload_digest: int
    expires_at: int
