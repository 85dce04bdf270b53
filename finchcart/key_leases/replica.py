"""One replica (an acceptor): votes for one holder of each key, and records how the holder's run ended.

Owns the leases that it voted for, until they expire. It must never vote for two holders of one key while a
lease of it lasts, nor answer before all leases that an earlier process at its address may have voted for are
over: it has no disk (see finchcart/fleet/leases.py).

Bounds: `max_leases` leases and as many released attempts; both expire with the longest lease.
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

EXPIRED_PER_TICK = 64  # of each table: bounds the work of one tick
VOTES_OVERHEAD_BYTES = 120  # of a datagram, for all but the votes in it


class KeyLease:
    """The lease of one key: whose it is, and how its run ended, if it has."""

    __slots__ = ("session", "attempt", "payload_digest", "status", "result", "expires_at")

    def __init__(self, session: int, attempt: int, payload_digest: int, expires_at: int) -> None:
        self.session = session
        self.attempt = attempt
        self.payload_digest = payload_digest
        self.expires_at = expires_at
        self.status = LeaseStatus.HELD
        self.result = b""

    def is_of(self, session: int, attempt: int) -> bool:
        """Whether it is held by this attempt of this process."""
        return self.session == session and self.attempt == attempt


class ReleasedAttempt(NamedTuple):
    """The newest attempt that a process released of a key, kept for the longest lease."""

    attempt: int
    expires_at: int


class Expiring(Protocol):
    """What is kept until a time."""

    @property
    def expires_at(self) -> int:
        """Until when, in microseconds on the boot clock."""


K = TypeVar("K")
E = TypeVar("E", bound=Expiring)


class KeyLeaseReplica(MessageEndpoint[KeyLeaseMessage, Never]):
    """A replica's state machine; see `MessageEndpoint` for its inputs and effects.

    Arguments:
        fleet: the name of the fleet.
        config: the same at all replicas and holders.
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
        """Drop some of the oldest that expired: they were made in about the order in which they expire."""
        _drop_expired(self.leases, self.now)
        _drop_expired(self.released, self.now)

    def on_message(self, address: HostPort, message: KeyLeaseMessage) -> None:
        """Answer a holder."""
        if self.now < self.quiet_until:
            raise MessageRejectedError("quiet after the start")
        match message:
            case AcquireLeases():
                votes = [self.vote(message.session, proposal) for proposal in message.proposals]
                # What does not fit into one datagram is requested again by its holder.
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
            The vote: `GRANTED`, or why not, with the result where a run of the key has completed.
        """
        if self._is_released(session, proposal):
            # A late copy of an attempt that was released must not acquire the lease again.
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
        # A later attempt of the same process is refused too, until the process has released the earlier one:
        # its run may have ended, with the outcome still in transit.
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
        """Record how the run of a lease ended, as its holder alone may report it."""
        lease = self._active_lease(outcome.key)
        is_holder = lease is not None and lease.is_of(session, outcome.attempt)
        if outcome.status == LeaseStatus.RELEASED:
            self._remember_released(session, outcome)
            if lease is not None and is_holder and lease.status == LeaseStatus.HELD:
                del self.leases[outcome.key]
        elif outcome.status in RUN_ENDED:
            if lease is None:
                # This replica did not vote: the request was lost, or it started since.
                self.count("outcome without a lease")
                lease = self._lease_of_outcome(session, outcome)
                is_holder = True
            if is_holder:
                lease.status = outcome.status
                lease.result = outcome.result

    def _lease_of_outcome(self, session: int, outcome: LeaseReport) -> KeyLease:
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


def _drop_expired(table: OrderedDict[K, E], now: int) -> None:
    """Drop the oldest entries that expired, `EXPIRED_PER_TICK` at most."""
    for _ in range(min(EXPIRED_PER_TICK, len(table))):
        key, oldest = next(iter(table.items()))
        if oldest.expires_at > now:
            break
        del table[key]
