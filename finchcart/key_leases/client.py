"""The client of key leases: acquires a lease before a run is commanded and reports how the run ended.

`KeyLeaseClient` owns the attempts and the acquired leases of this process. It must never answer that a lease
is granted unless a quorum voted for one and the same attempt, proposed less than `command_timeout` ago. It
must never begin another attempt for a key before it has released the earlier one.

Bounds: attempts and acquired leases together number at most `max_leases`; an attempt ends with its answer.
"""

from collections.abc import Iterable
from random import Random

from finchcart.fleet.codec import MAX_DATAGRAM_BYTES, HostPort, parse_address, take_fitting
from finchcart.fleet.inputs import CommonInput
from finchcart.fleet.message_endpoint import MessageEndpoint, MessageRejectedError
from finchcart.key_leases.attempts import AcquiredLease, Attempt
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.key_leases.effects import LeaseAnswer
from finchcart.key_leases.inputs import (
    AbandonKeyLease,
    AcquireKeyLeases,
    ClientInput,
    KeyLeaseRunCancelled,
    KeyLeaseRunEnded,
    KeyToLease,
)
from finchcart.key_leases.messages import (
    CODEC,
    RUN_ENDED,
    AcquireLeases,
    KeyLeaseMessage,
    LeaseProposal,
    LeaseReport,
    LeaseStatus,
    OutcomesAcknowledged,
    ReportOutcomes,
    Votes,
)
from finchcart.key_leases.outcome_deliveries import OutcomeDeliveries

OUTCOMES_OVERHEAD_BYTES = 160  # upper bound for the parts of a datagram other than its outcomes

ANSWER_COUNTERS = {
    LeaseStatus.GRANTED: "granted",
    LeaseStatus.HELD: "held elsewhere",
    LeaseStatus.COMPLETED: "completed elsewhere",
    LeaseStatus.FAILED: "failed elsewhere",
    LeaseStatus.UNAVAILABLE: "no quorum",
    LeaseStatus.PAYLOAD_MISMATCH: "payload mismatch",
}


class KeyLeaseClient(MessageEndpoint[KeyLeaseMessage, ClientInput]):
    """The state machine of the client; see `MessageEndpoint` and `ClientInput` for its inputs.

    Arguments:
        name: the name of this node.
        fleet: the name of the fleet.
        config: the configuration, which must be the same on all replicas and clients.
        random: a source of random numbers that no other process shares.
        now: microseconds on the boot clock.
    """

    codec = CODEC

    def __init__(self, name: str, fleet: str, config: KeyLeaseConfig, random: Random, now: int) -> None:
        super().__init__(fleet, now)
        self.name = name
        self.config = config
        self.random = random
        self.session = random.getrandbits(64)
        self.replicas = [parse_address(address) for address in config.replicas]
        self.attempts: dict[bytes, Attempt] = {}
        self.acquired: dict[bytes, AcquiredLease] = {}
        self.last_attempt = 0
        self.deliveries = OutcomeDeliveries(config, len(self.replicas))

    def on_input(self, event: CommonInput | ClientInput) -> None:
        """Process an input from the core."""
        match event:
            case AcquireKeyLeases(keys):
                self.on_acquire(keys)
            case KeyLeaseRunEnded(key, status, result):
                self.on_run_ended(key, status, result)
            case KeyLeaseRunCancelled(key):
                self.on_run_cancelled(key)
            case AbandonKeyLease(key):
                attempt = self.attempts.pop(key, None)
                if attempt is not None:
                    self.release(key, attempt.number)

    def after_input(self) -> None:
        """Send the proposals and outcomes that are due, in batches."""
        self._drop_expired()
        proposals = self._due_proposals()
        outcomes = self.deliveries.take_due(self.now)
        if not proposals and not outcomes:
            return
        for replica, address in enumerate(self.replicas):
            self._send_proposals(address, proposals.get(replica, []))
            self._send_outcomes(address, outcomes.get(replica, []))

    # ---- attempts

    def on_acquire(self, keys: Iterable[KeyToLease]) -> None:
        """Begin an attempt for each requested lease; answer at once if too many leases are in use."""
        for key, payload_digest, duration_us in keys:
            if key in self.attempts or key in self.acquired:
                self.count("requested already")
            elif len(self.attempts) + len(self.acquired) >= self.config.max_leases:
                self.answer(key, LeaseStatus.UNAVAILABLE)
            else:
                self._begin_attempt(key, payload_digest, duration_us)

    def on_vote(self, replica: int, vote: LeaseReport) -> None:
        """Count the vote of a replica, given by its index."""
        attempt = self.attempts.get(vote.key)
        if attempt is None or vote.attempt != attempt.number:
            return
        attempt.votes[replica] = vote.status
        if vote.status in RUN_ENDED:
            # Only a holder with a quorum runs the key and reports an outcome: one replica's vote is enough.
            self._conclude(attempt, vote.status, vote.result)
        elif vote.status == LeaseStatus.PAYLOAD_MISMATCH:
            self._conclude(attempt, LeaseStatus.PAYLOAD_MISMATCH)
        elif attempt.granted_votes() >= self.config.quorum:
            self._on_quorum(attempt)
        elif not self._quorum_is_possible(attempt):
            self.on_no_quorum(attempt)

    def answer(
        self, key: bytes, status: LeaseStatus, result: bytes = b"", run_before: int | None = None
    ) -> None:
        """Emit the answer to the core's request for a lease; see `LeaseAnswer`."""
        self.count(ANSWER_COUNTERS[status])
        self.effects.append(LeaseAnswer(key, status, result, run_before))

    def release(self, key: bytes, attempt: int) -> None:
        """Release an attempt whose run has not begun and never will."""
        self._report(LeaseReport(key, attempt, LeaseStatus.RELEASED))

    def on_no_quorum(self, attempt: Attempt) -> None:
        """Release an attempt that got no quorum and begin another, or conclude it if its time is over.

        An attempt gets no quorum if another holder has the lease, if the votes are split between several
        holders, or if votes are missing.
        """
        is_held = LeaseStatus.HELD in attempt.votes.values()
        timeout = self.config.outcome_timeout if is_held else self.config.quorum_timeout
        if self.now - attempt.started_at >= timeout:
            self._conclude(attempt, LeaseStatus.HELD if is_held else LeaseStatus.UNAVAILABLE)
            return
        self.release(attempt.key, attempt.number)
        retry = self._begin_attempt(attempt.key, attempt.payload_digest, attempt.duration_us)
        retry.started_at = attempt.started_at
        delay = self.config.poll_interval if is_held else self.config.retransmit_interval
        retry.proposed_at = self.now + delay // 2 + self.random.randrange(delay)
        retry.transmit_at = retry.proposed_at

    def _begin_attempt(self, key: bytes, payload_digest: int, duration_us: int) -> Attempt:
        self.last_attempt += 1
        attempt = Attempt(self.last_attempt, key, payload_digest, duration_us, self.now)
        self.attempts[key] = attempt
        return attempt

    def _on_quorum(self, attempt: Attempt) -> None:
        run_before = attempt.proposed_at + self.config.command_timeout
        if self.now >= run_before:
            self._conclude(attempt, LeaseStatus.UNAVAILABLE)
            return
        del self.attempts[attempt.key]
        expires_at = self.now + self.config.widened(attempt.duration_us)
        self.acquired[attempt.key] = AcquiredLease(attempt.number, attempt.payload_digest, expires_at)
        self.answer(attempt.key, LeaseStatus.GRANTED, run_before=run_before)

    def _quorum_is_possible(self, attempt: Attempt) -> bool:
        refusals = len(attempt.votes) - attempt.granted_votes()
        return len(self.replicas) - refusals >= self.config.quorum

    def _conclude(self, attempt: Attempt, status: LeaseStatus, result: bytes = b"") -> None:
        del self.attempts[attempt.key]
        self.release(attempt.key, attempt.number)
        self.answer(attempt.key, status, result)

    # ---- runs of acquired leases

    def on_run_ended(self, key: bytes, status: LeaseStatus, result: bytes = b"") -> None:
        """Report how the run of an acquired lease ended.

        A run whose result is too long is reported as `FAILED`, without the result.
        """
        lease = self.acquired.pop(key, None)
        if lease is None:
            self.count("lease not held")
            return
        if status == LeaseStatus.COMPLETED and len(result) > self.config.max_result_bytes:
            status = LeaseStatus.FAILED
        if status != LeaseStatus.COMPLETED:
            result = b""
        self._report(LeaseReport(key, lease.attempt, status, result, lease.payload_digest))

    def on_run_cancelled(self, key: bytes) -> None:
        """Release the lease of a key whose run was not commanded."""
        lease = self.acquired.pop(key, None)
        if lease is not None:
            self.release(key, lease.attempt)

    def _report(self, outcome: LeaseReport) -> None:
        self.deliveries.add(self.now, outcome)

    # ---- messages

    def on_message(self, address: HostPort, message: KeyLeaseMessage) -> None:
        """Process a message from a replica to this process."""
        if address not in self.replicas or message.session != self.session:
            raise MessageRejectedError("not for this process")
        replica = self.replicas.index(address)
        match message:
            case Votes():
                for vote in message.votes:
                    self.on_vote(replica, vote)
            case OutcomesAcknowledged():
                for outcome_id in message.outcomes:
                    self.deliveries.acknowledge(replica, outcome_id)
            case _:
                raise MessageRejectedError("not for a holder")

    def _drop_expired(self) -> None:
        for key in [key for key, lease in self.acquired.items() if lease.expires_at <= self.now]:
            del self.acquired[key]
            self.count("expired without an outcome")

    def _due_proposals(self) -> dict[int, list[LeaseProposal]]:
        """Return the proposals to transmit now, by index of the replica."""
        proposals: dict[int, list[LeaseProposal]] = {}
        for attempt in list(self.attempts.values()):
            if self.now < attempt.transmit_at:
                continue
            if self.now - attempt.proposed_at >= self.config.quorum_timeout:
                self.on_no_quorum(attempt)
                continue
            attempt.transmit_at = self.now + self.config.retransmit_interval
            for replica in range(len(self.replicas)):
                if replica not in attempt.votes:
                    proposals.setdefault(replica, []).append(attempt.proposal())
        return proposals

    def _send_proposals(self, address: HostPort, proposals: list[LeaseProposal]) -> None:
        batch = self.config.max_batch
        for first in range(0, len(proposals), batch):
            self.send(address, AcquireLeases(self.name, self.session, proposals[first : first + batch]))

    def _send_outcomes(self, address: HostPort, outcomes: list[LeaseReport]) -> None:
        while outcomes:
            batch = outcomes[: self.config.max_batch]
            fitting = take_fitting(batch, MAX_DATAGRAM_BYTES - OUTCOMES_OVERHEAD_BYTES)
            outcomes = outcomes[len(fitting) :]
            self.send(address, ReportOutcomes(self.name, self.session, fitting))
