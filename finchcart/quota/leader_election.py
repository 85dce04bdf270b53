"""The election of the leading planner: leases by majority, without a disk.

Owns this planner's candidacy; its votes are those of acceptor.py. It must never send anything
itself: messages are collected in `outbox`. `now` is the boot clock in whole microseconds.

The protocol is PaxosLease (M. Trencseni, A. Gazso and H. Reinhardt, "PaxosLease: Diskless Paxos for Leases",
2012): a proposer prepares a ballot at the acceptors, and where a majority promises it and knows of no other
owner's lease, proposes the lease to them; it owns the lease once a majority accepted. Why no two planners
lead at the same time: an acceptor counts the lease from after its vote, widened, the owner from before it
proposed (see finchcart/fleet/leases.py); two majorities share an acceptor; and an acceptor that starts is
quiet until any lease that it may have voted for is over.

Bounds: a vote for each planner.
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
    """A proposer's attempt to be elected: first promises are counted, then votes."""

    def __init__(self, ballot: Ballot) -> None:
        self.ballot = ballot
        self.proposed_at: int | None = None  # None: promises are counted
        self.voters: set[HostPort] = set()

    def propose(self, now: int) -> None:
        """Count votes from here on; the lease counts from before it is proposed."""
        self.proposed_at = now
        self.voters = set()


class LeaderElection:
    """A planner's part in the election: proposer and acceptor.

    Arguments:
        address: this planner's, as the configuration names it.
        quota: the configuration.
        random: of this process alone.
        now: microseconds on the boot clock.

    Attributes:
        is_leader: whether this planner has the lease; looked at after each step.
        term: the number of the ballot by which it was elected.
        outbox: messages to be sent, taken by `drain`.
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
        self.highest_term = 0  # that was observed
        self.is_leader = False
        self.term = 0
        self.leads_until = 0
        self.other_leader = ""
        self.other_leader_until = 0
        self.timing_digest = name_hash(quota.timing_text())
        self.outbox: list[Outgoing] = []

    def set_config(self, quota: QuotaConfig) -> None:
        """Take a new configuration; the planners are those of the start."""
        self.quota = quota
        self.acceptor.quota = quota
        self.timing_digest = name_hash(quota.timing_text())

    def drain(self) -> list[Outgoing]:
        """Return the messages collected since the last call."""
        outgoing = self.outbox
        self.outbox = []
        return outgoing

    def leader(self, now: int) -> str:
        """Return the address of the planner that leads, as far as known, or an empty text."""
        if self.is_leader:
            return self.address
        return self.other_leader if now < self.other_leader_until else ""

    def observe_term(self, term: int) -> None:
        """Continue from a term that a message names: all planners may have been restarted since."""
        self.highest_term = max(self.highest_term, term)

    # ---- time

    def has_expired(self, now: int) -> bool:
        """Whether this planner leads by a lease that is over."""
        return self.is_leader and now >= self.leads_until

    def on_tick(self, now: int) -> None:
        """Stand for election, or renew the own lease."""
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
        """Give up leadership."""
        self.is_leader = False
        self.candidacy = None
        self._delay_candidacy(now)

    def _delay_candidacy(self, now: int) -> None:
        retry = self.quota.election_retry
        self.next_candidacy_at = now + self.random.randrange(retry, 2 * retry)

    # ---- proposer

    @property
    def quorum(self) -> int:
        """The number of promises or votes that a candidacy needs, the own included."""
        return leases.quorum(len(self.others) + 1)

    def campaign(self, now: int) -> None:
        """Prepare a ballot greater than any observed."""
        self.highest_term += 1
        ballot = Ballot(self.highest_term, self.session)
        self.candidacy = Candidacy(ballot)
        prepare = Prepare(ballot, self.timing_digest)
        self._broadcast(prepare)
        self.on_prepare(now, self.own_address, prepare)

    def on_promise(self, now: int, sender: HostPort, promise: Promise) -> None:
        """Count a promise; with a majority of them the lease is proposed."""
        candidacy = self.candidacy
        if candidacy is None or promise.ballot != candidacy.ballot or candidacy.proposed_at is not None:
            return
        if promise.accepted is not None and promise.accepted.owner != self.session:
            return  # the lease of another is not over at that acceptor: its vote is not free
        candidacy.voters.add(sender)
        if len(candidacy.voters) >= self.quorum:
            candidacy.propose(now)
            propose = Propose(candidacy.ballot, self.session)
            self._broadcast(propose)
            self.on_propose(now, self.own_address, propose)

    def on_accept(self, now: int, sender: HostPort, accept: Accept) -> None:
        """Count a vote; with a majority of them the lease is owned."""
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
        """Abandon the candidacy: a greater ballot is known."""
        self.observe_term(reject.promised.number)
        if self.candidacy is not None and reject.ballot == self.candidacy.ballot:
            self.candidacy = None

    def lead(self, ballot: Ballot, until: int) -> None:
        """Own the lease; a renewal keeps the term."""
        self.leads_until = until
        if not self.is_leader:
            self.is_leader = True
            self.term = ballot.number

    # ---- acceptor

    def on_prepare(self, now: int, sender: HostPort, prepare: Prepare) -> None:
        """Answer a proposer; raises `MessageRejectedError` where its durations differ."""
        if prepare.timing_digest != self.timing_digest:
            raise MessageRejectedError("other times in its settings")
        if not self.acceptor.may_vote(now):
            return
        self.observe_term(prepare.ballot.number)
        self._reply(now, sender, self.acceptor.on_prepare(now, prepare.ballot))

    def on_propose(self, now: int, sender: HostPort, proposal: Propose) -> None:
        """Answer a proposer, and note who leads where it got the vote."""
        if not self.acceptor.may_vote(now):
            return
        reply = self.acceptor.on_propose(now, proposal)
        if isinstance(reply, Accept) and proposal.owner != self.session:
            self.other_leader = f"{sender[0]}:{sender[1]}"
            self.other_leader_until = self.acceptor.accepted_until
        self._reply(now, sender, reply)

    def on_message(self, now: int, sender: HostPort, message: ElectionMessage) -> None:
        """Take a message of another planner, or of this one to itself; may raise `MessageRejectedError`."""
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
            self.on_message(now, address, message)  # one of the acceptors is here
        else:
            self.outbox.append(Outgoing(address, message))

    def _broadcast(self, message: ElectionMessage) -> None:
        self.outbox += [Outgoing(address, message) for address in self.others]
