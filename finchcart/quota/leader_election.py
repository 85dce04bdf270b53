"""The election of the leading planner: leader leases by majority vote, without storage on disk.

The module owns this planner's candidacy; the planner's vote belongs to acceptor.py. The module must
not send messages itself, but collects them in `outbox`. `now` is the boot clock in whole microseconds.

The protocol is PaxosLease (M. Trencseni, A. Gazso and H. Reinhardt, "PaxosLease: Diskless Paxos for Leases",
2012). A proposer prepares a ballot at the acceptors. If a majority of them promises the ballot and knows of
no unexpired lease of another owner, the proposer proposes its lease to them, and it owns the lease once a
majority has accepted.

Why no two planners lead at the same time: an acceptor counts the duration of the lease from its vote and
widens it for clock drift, while the owner counts the duration from before it proposed (see
finchcart/fleet/leases.py). Any two majorities have an acceptor in common. An acceptor that starts doesn't
answer until any lease that an earlier process at its address may have voted for has expired.

Bounds: one vote for each planner.
"""

from random import Random
from typing import NamedTuple

from finchcart.fleet import leases
from finchcart.fleet.codec import HostPort, name_hash, parse_address
from finchcart.fleet.message_endpoint import MessageRejectedError
from finchcart.quota.acceptor import Acceptor
from finchcart.quota.limits import QuotaConfig
from finchcart.quota.messages import (
    Accept,
    Ballot,
    ElectionMessage,
    Prepare,
    Promise,
    Propose,
    Reject,
)


class Outgoing(NamedTuple):
    """A message to another planner."""

    address: HostPort
    message: ElectionMessage


class Candidacy:
    """A proposer's attempt to be elected, which counts promises first and votes after them."""

    def __init__(self, ballot: Ballot) -> None:
        self.ballot = ballot
        self.proposed_at: int | None = None  # None while promises are counted
        self.voters: set[HostPort] = set()

    def propose(self, now: int) -> None:
        """Begin to count votes; the duration of the lease counts from now, before it is proposed."""
        self.proposed_at = now
        self.voters = set()


class LeaderElection:
    """A planner's part in the election: proposer and acceptor.

    Arguments:
        address: the address of this planner, as the configuration names it.
        quota: the configuration.
        random: the random generator, seeded differently in each process.
        now: time of the start, in microseconds on the boot clock.

    Attributes:
        is_leader: whether this planner owns the leader lease; the planner checks it after each step.
        term: the number of the ballot with which this planner was elected.
        outbox: messages to send; `drain` removes them.
    """

    def __init__(self, address: str, quota: QuotaConfig, random: Random, now: int) -> None:
        self.address = address
        self.own_address = parse_address(address)
        self.others = [parse_address(other) for other in quota.planners if other != address]
        self.quota = quota
        self.random = random
        self.session = random.getrandbits(64)
        self.acceptor = Acceptor(quota, now)
        self.candidacy: Candidacy | None = None
        self.next_candidacy_at = now + quota.startup_quiet_period + random.randrange(quota.election_retry)
        self.highest_term = 0  # highest number of any ballot or term that this planner has seen
        self.is_leader = False
        self.term = 0
        self.leads_until = 0
        self.other_leader = ""
        self.other_leader_until = 0
        self.timing_digest = name_hash(quota.timing_text())
        self.outbox: list[Outgoing] = []

    def set_config(self, quota: QuotaConfig) -> None:
        """Replace the configuration; the addresses of the planners stay as given at the start."""
        self.quota = quota
        self.acceptor.quota = quota
        self.timing_digest = name_hash(quota.timing_text())

    def drain(self) -> list[Outgoing]:
        """Return and remove the messages collected since the last call."""
        outgoing = self.outbox
        self.outbox = []
        return outgoing

    def leader(self, now: int) -> str:
        """Return the address of the leading planner, or an empty string if no leader is known."""
        if self.is_leader:
            return self.address
        return self.other_leader if now < self.other_leader_until else ""

    def observe_term(self, term: int) -> None:
        """Note a term in use, so that a later candidacy exceeds it even if all planners were restarted."""
        self.highest_term = max(self.highest_term, term)

    # ---- time

    def has_expired(self, now: int) -> bool:
        """Return whether this planner still leads although its lease has expired."""
        return self.is_leader and now >= self.leads_until

    def on_tick(self, now: int) -> None:
        """Renew this planner's lease if it leads, or start a candidacy if its vote is free."""
        if now < self.next_candidacy_at:
            return
        if self.is_leader:
            if now >= self.leads_until - self.quota.leader_lease_duration // 2:
                self.next_candidacy_at = now + self.quota.election_retry
                self.campaign(now)
        elif self.acceptor.may_vote(now):
            self._delay_candidacy(now)
            if self.acceptor.current_lease(now) is None:
                self.campaign(now)

    def step_down(self, now: int) -> None:
        """Give up leadership and any candidacy."""
        self.is_leader = False
        self.candidacy = None
        self._delay_candidacy(now)

    def _delay_candidacy(self, now: int) -> None:
        retry = self.quota.election_retry
        self.next_candidacy_at = now + self.random.randrange(retry, 2 * retry)

    # ---- proposer

    @property
    def quorum(self) -> int:
        """The number of promises or votes that a candidacy needs, including this planner's own."""
        return leases.quorum(len(self.others) + 1)

    def campaign(self, now: int) -> None:
        """Start a candidacy with a ballot greater than any that was observed."""
        self.highest_term += 1
        ballot = Ballot(self.highest_term, self.session)
        self.candidacy = Candidacy(ballot)
        prepare = Prepare(ballot, self.timing_digest)
        self._broadcast(prepare)
        self.on_prepare(now, self.own_address, prepare)

    def on_promise(self, now: int, sender: HostPort, promise: Promise) -> None:
        """Count a promise, and propose the lease once a majority has promised."""
        candidacy = self.candidacy
        if candidacy is None or promise.ballot != candidacy.ballot or candidacy.proposed_at is not None:
            return
        if promise.accepted is not None and promise.accepted.owner != self.session:
            return  # that acceptor has voted for another planner's lease, which has not expired
        candidacy.voters.add(sender)
        if len(candidacy.voters) >= self.quorum:
            candidacy.propose(now)
            propose = Propose(candidacy.ballot, self.session)
            self._broadcast(propose)
            self.on_propose(now, self.own_address, propose)

    def on_accept(self, now: int, sender: HostPort, accept: Accept) -> None:
        """Count a vote, and own the lease once a majority has voted for it."""
        candidacy = self.candidacy
        if candidacy is None or accept.ballot != candidacy.ballot or candidacy.proposed_at is None:
            return
        candidacy.voters.add(sender)
        if len(candidacy.voters) >= self.quorum:
            self.candidacy = None
            until = candidacy.proposed_at + self.quota.leader_lease_duration
            if now < until:
                self.lead(candidacy.ballot, until)

    def on_reject(self, now: int, sender: HostPort, reject: Reject) -> None:
        """Abandon the candidacy, as an acceptor has promised a greater ballot."""
        self.observe_term(reject.promised.number)
        if self.candidacy is not None and reject.ballot == self.candidacy.ballot:
            self.candidacy = None

    def lead(self, ballot: Ballot, until: int) -> None:
        """Own the lease until a time; the renewal of a lease keeps the term."""
        self.leads_until = until
        if not self.is_leader:
            self.is_leader = True
            self.term = ballot.number

    # ---- acceptor

    def on_prepare(self, now: int, sender: HostPort, prepare: Prepare) -> None:
        """Answer a proposer; raise `MessageRejectedError` if its timing configuration differs."""
        if prepare.timing_digest != self.timing_digest:
            raise MessageRejectedError("other times in its settings")
        if not self.acceptor.may_vote(now):
            return
        self.observe_term(prepare.ballot.number)
        self._reply(now, sender, self.acceptor.on_prepare(now, prepare.ballot))

    def on_propose(self, now: int, sender: HostPort, proposal: Propose) -> None:
        """Answer a proposer, and record it as the leader if it gets the vote."""
        if not self.acceptor.may_vote(now):
            return
        reply = self.acceptor.on_propose(now, proposal)
        if isinstance(reply, Accept) and proposal.owner != self.session:
            self.other_leader = f"{sender[0]}:{sender[1]}"
            self.other_leader_until = self.acceptor.accepted_until
        self._reply(now, sender, reply)

    def on_message(self, now: int, sender: HostPort, message: ElectionMessage) -> None:
        """Handle a message of another planner, or of this one to itself; may raise `MessageRejectedError`."""
        match message:
            case Prepare():
                self.on_prepare(now, sender, message)
            case Promise():
                self.on_promise(now, sender, message)
            case Propose():
                self.on_propose(now, sender, message)
            case Accept():
                self.on_accept(now, sender, message)
            case Reject():
                self.on_reject(now, sender, message)

    def _reply(self, now: int, address: HostPort, message: ElectionMessage) -> None:
        if address == self.own_address:
            self.on_message(now, address, message)  # this planner is an acceptor too
        else:
            self.outbox.append(Outgoing(address, message))

    def _broadcast(self, message: ElectionMessage) -> None:
        self.outbox += [Outgoing(address, message) for address in self.others]
