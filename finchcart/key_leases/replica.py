"""A replica of key leases: votes for one holder of each key and records how the holder's run ended.

Owns the leases that the replica voted for, until they expire. A replica, an acceptor in the terms of
PaxosLease, must never vote for two holders of a key while a lease of that key lasts. After its start it must
not answer any message until all leases that an earlier process at its address may have voted for are over,
as it keeps nothing on disk (see finchcart/fleet/leases.py).

Bounds: `max_leases` leases and as many released attempts; both expire within the longest lease.
"""

from collections import OrderedDict
from typing import NamedTuple, Never, Protocol, TypeVar

from finchcart.fleet.codec import MAX_DATAGRAM_BYTES, HostPort, take_fitting
from finchcart.fleet.message_endpoint import MessageEndpoint, MessageRejectedError
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.key_leases.messages import (
    CODEC,
    RUN_ENDED,
    AcquireLeases,
    KeyLeaseMessage,
    LeaseProposal,
    LeaseReport,
    LeaseStatus,
    OutcomeId,
    OutcomesAcknowledged,
    ReportOutcomes,
    Votes,
)

MAX_EXPIRED_PER_TICK = 64  # expired entries dropped from each table, which bounds the work of one tick
VOTES_OVERHEAD_BYTES = 120  # upper bound for the parts of a datagram other than its votes


class KeyLease:
    """The lease of one key: the attempt that holds it, and the outcome of its run once it has ended."""

    __slots__ = ("session", "attempt", "payload_digest", "status", "result", "expires_at")

    def __init__(self, session: int, attempt: int, payload_digest: int, expires_at: int) -> None:
        self.session = session
        self.attempt = attempt
        self.payload_digest = payload_digest
        self.expires_at = expires_at
        self.status = LeaseStatus.HELD
        self.result = b""

    def is_of(self, session: int, attempt: int) -> bool:
        """Whether the lease belongs to this attempt of the process `session`."""
        return self.session == session and self.attempt == attempt


class ReleasedAttempt(NamedTuple):
    """The newest attempt for a key that a process released, kept for the duration of the longest lease."""

    attempt: int
    expires_at: int


class Expiring(Protocol):
    """An entry of a table that is kept until a given time."""

    @property
    def expires_at(self) -> int:
        """The time at which the entry expires, in microseconds on the boot clock."""


KeyT = TypeVar("KeyT")
EntryT = TypeVar("EntryT", bound=Expiring)


class KeyLeaseReplica(MessageEndpoint[KeyLeaseMessage, Never]):
    """A replica's state machine; see `MessageEndpoint` for its inputs and effects.

    Arguments:
        fleet: the name of the fleet.
        config: the configuration, which must be the same on all replicas and holders.
        now: microseconds on the boot clock.
    """

    codec = CODEC

    def __init__(self, fleet: str, config: KeyLeaseConfig, now: int) -> None:
        super().__init__(fleet, now)
        self.config = config
        self.quiet_until = now + config.startup_quiet_period
        self.leases: OrderedDict[bytes, KeyLease] = OrderedDict()
        self.released: OrderedDict[tuple[bytes, int], ReleasedAttempt] = OrderedDict()

    def on_tick(self) -> None:
        """Drop some of the expired entries, oldest first.

        Entries expire in about the order in which they were added.
        """
        _drop_expired(self.leases, self.now)
        _drop_expired(self.released, self.now)

    def on_message(self, address: HostPort, message: KeyLeaseMessage) -> None:
        """Process a message from a holder and answer it."""
        if self.now < self.quiet_until:
            raise MessageRejectedError("quiet after the start")
        match message:
            case AcquireLeases():
                votes = [self.vote(message.session, proposal) for proposal in message.proposals]
                # The holder retransmits the proposals whose votes don't fit into one datagram.
                votes = take_fitting(votes, MAX_DATAGRAM_BYTES - VOTES_OVERHEAD_BYTES)
                self.send(address, Votes(message.session, votes))
            case ReportOutcomes():
                for outcome in message.outcomes:
                    self.record(message.session, outcome)
                ids = [OutcomeId(each.key, each.attempt, each.status) for each in message.outcomes]
                self.send(address, OutcomesAcknowledged(message.session, ids))
            case _:
                raise MessageRejectedError("not for a replica")

    # ---- votes

    def vote(self, session: int, proposal: LeaseProposal) -> LeaseReport:
        """Vote on an attempt of the process `session`.

        Returns:
            The vote: `GRANTED` or the reason for a refusal, with the result if a run of the key completed.
        """
        if self._is_released(session, proposal):
            # A delayed or duplicated proposal of a released attempt must not acquire the lease again.
            return self._report(proposal, LeaseStatus.RELEASED)
        if proposal.duration_us > self.config.lease_duration:
            self.count("duration longer than configured")
            return self._report(proposal, LeaseStatus.UNAVAILABLE)
        lease = self._active_lease(proposal.key)
        if lease is None:
            return self._grant(session, proposal)
        if lease.payload_digest != proposal.payload_digest:
            self.count("payload mismatch")
            return self._report(proposal, LeaseStatus.PAYLOAD_MISMATCH)
        if lease.is_of(session, proposal.attempt) and lease.status == LeaseStatus.HELD:
            return self._report(proposal, LeaseStatus.GRANTED)
        # A later attempt of the same process is also refused until the process has released the earlier one:
        # the run of the earlier one may have ended, with the report of its outcome still in transit.
        return self._report(proposal, lease.status, lease.result)

    def _grant(self, session: int, proposal: LeaseProposal) -> LeaseReport:
        if len(self.leases) >= self.config.max_leases:
            self.count("no capacity for a lease")
            return self._report(proposal, LeaseStatus.UNAVAILABLE)
        expires_at = self.now + self.config.widened(proposal.duration_us)
        self.leases[proposal.key] = KeyLease(session, proposal.attempt, proposal.payload_digest, expires_at)
        return self._report(proposal, LeaseStatus.GRANTED)

    def _report(self, proposal: LeaseProposal, status: LeaseStatus, result: bytes = b"") -> LeaseReport:
        return LeaseReport(proposal.key, proposal.attempt, status, result)

    def _active_lease(self, key: bytes) -> KeyLease | None:
        lease = self.leases.get(key)
        if lease is not None and lease.expires_at <= self.now:
            del self.leases[key]
            return None
        return lease

    def _is_released(self, session: int, proposal: LeaseProposal) -> bool:
        released = self.released.get((proposal.key, session))
        if released is None:
            return False
        return proposal.attempt <= released.attempt and self.now < released.expires_at

    # ---- outcomes

    def record(self, session: int, outcome: LeaseReport) -> None:
        """Record how the run of a lease ended; only a report of the lease's holder changes the lease."""
        lease = self._active_lease(outcome.key)
        is_holder = lease is not None and lease.is_of(session, outcome.attempt)
        if outcome.status == LeaseStatus.RELEASED:
            self._remember_released(session, outcome)
            if lease is not None and is_holder and lease.status == LeaseStatus.HELD:
                del self.leases[outcome.key]
        elif outcome.status in RUN_ENDED:
            if lease is None:
                # This replica has no lease of the key, for example because the proposal was lost or
                # the replica was restarted.
                self.count("outcome without a lease")
                lease = self._add_lease_for_outcome(session, outcome)
                is_holder = True
            if is_holder:
                lease.status = outcome.status
                lease.result = outcome.result

    def _add_lease_for_outcome(self, session: int, outcome: LeaseReport) -> KeyLease:
        expires_at = self.now + self.config.widened(self.config.lease_duration)
        lease = KeyLease(session, outcome.attempt, outcome.payload_digest, expires_at)
        self.leases[outcome.key] = lease
        return lease

    def _remember_released(self, session: int, outcome: LeaseReport) -> None:
        attempt_id = (outcome.key, session)
        earlier = self.released.get(attempt_id)
        newest = outcome.attempt if earlier is None else max(earlier.attempt, outcome.attempt)
        expires_at = self.now + self.config.widened(self.config.lease_duration)
        self.released[attempt_id] = ReleasedAttempt(newest, expires_at)
        self.released.move_to_end(attempt_id)
        while len(self.released) > self.config.max_leases:
            self.released.popitem(last=False)


def _drop_expired(table: OrderedDict[KeyT, EntryT], now: int) -> None:
    """Drop the oldest entries that have expired, at most `MAX_EXPIRED_PER_TICK`."""
    for _ in range(min(MAX_EXPIRED_PER_TICK, len(table))):
        key, oldest = next(iter(table.items()))
        if oldest.expires_at > now:
            break
        del table[key]
