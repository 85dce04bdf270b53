"""The acceptor of a planner: its vote in the election of the leader.

The module owns the ballot that the acceptor promised and the lease that it voted for. A planner keeps nothing
on disk, so an acceptor must not vote until every lease that an earlier process at its address may have voted
for has expired. See leader_election.py for the protocol.
"""

from finchcart.quota.limits import QuotaConfig
from finchcart.quota.messages import Accept, AcceptedLease, Ballot, Promise, Propose, Reject

NO_BALLOT = Ballot(0, 0)


class Acceptor:
    """One vote of the election.

    Arguments:
        quota: the configuration.
        now: time of the start, in microseconds on the boot clock.
    """

    def __init__(self, quota: QuotaConfig, now: int) -> None:
        self.quota = quota
        self.votes_from = now + quota.startup_quiet_period
        self.promised = NO_BALLOT
        self.accepted: AcceptedLease | None = None
        self.accepted_until = 0

    def may_vote(self, now: int) -> bool:
        """Return whether every lease that an earlier process at this address voted for has expired."""
        return now >= self.votes_from

    def current_lease(self, now: int) -> AcceptedLease | None:
        """Return the lease that this acceptor voted for, or None if that lease has expired."""
        if self.accepted is not None and now >= self.accepted_until:
            self.accepted = None
        return self.accepted

    def on_prepare(self, now: int, ballot: Ballot) -> Promise | Reject:
        """Promise a ballot, or reject it if a greater ballot was promised."""
        if ballot < self.promised:
            return Reject(ballot, self.promised)
        self.promised = ballot
        return Promise(ballot, self.current_lease(now))

    def on_propose(self, now: int, proposal: Propose) -> Accept | Reject:
        """Vote for a lease, or reject it if a greater ballot was promised."""
        if proposal.ballot < self.promised:
            return Reject(proposal.ballot, self.promised)
        self.promised = proposal.ballot
        # The acceptor counts the duration from its vote and widens it for clock drift, so that the lease ends
        # here after it has ended at its owner.
        self.accepted = AcceptedLease(proposal.ballot, proposal.owner)
        self.accepted_until = now + self.quota.widened(self.quota.leader_lease_duration)
        return Accept(proposal.ballot)
