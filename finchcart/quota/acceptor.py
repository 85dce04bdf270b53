"""The acceptor of a planner: its vote in the election of the leader.

Owns the ballot promised and the lease voted for. It must never vote before any lease that an earlier process
at its address may have voted for is over: it has no disk. See leader_election.py for the protocol.
"""

from finchcart.quota.limits import QuotaConfig
from finchcart.quota.messages import Accept, AcceptedLease, Ballot, Promise, Propose, Reject

NO_BALLOT = Ballot(0, 0)


class Acceptor:
    """One vote of the election.

    Arguments:
        quota: the configuration.
        now: microseconds on the boot clock.
    """

    def __init__(self, quota: QuotaConfig, now: int) -> None:
        self.quota = quota
        self.votes_from = now + quota.startup_quiet_period
        self.promised = NO_BALLOT
        self.accepted: AcceptedLease | None = None
        self.accepted_until = 0

    def may_vote(self, now: int) -> bool:
        """Whether any lease that an earlier process at this address voted for is over."""
        return now >= self.votes_from

    def current_lease(self, now: int) -> AcceptedLease | None:
        """Return the lease that it voted for, unless it is over."""
        if self.accepted is not None and now >= self.accepted_until:
            self.accepted = None
        return self.accepted

    def on_prepare(self, now: int, ballot: Ballot) -> Promise | Reject:
        """Promise a ballot, unless a greater one was promised."""
        if ballot < self.promised:
            return Reject(ballot, self.promised)
        self.promised = ballot
        return Promise(ballot, self.current_lease(now))

    def on_propose(self, now: int, proposal: Propose) -> Accept | Reject:
        """Vote for a lease, unless a greater ballot was promised."""
        if proposal.ballot < self.promised:
            return Reject(proposal.ballot, self.promised)
        self.promised = proposal.ballot
        # Counted from after the vote, and widened: for longer than the owner counts it.
        self.accepted = AcceptedLease(proposal.ballot, proposal.owner)
        self.accepted_until = now + self.quota.widened(self.quota.leader_lease_duration)
        return Accept(proposal.ballot)
