"""Planted defects of planners and lease holders, and an exhaustive search of the placements of a fault."""

import pytest

from finchcart.fault_injection.quota.fault_run import QuotaFaultRun
from finchcart.fault_injection.quota.process import QuotaFactories
from finchcart.fault_injection.quota.state_space import explore
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet.inputs import Tick
from finchcart.quota import messages
from finchcart.quota.allocator import Allocator
from finchcart.quota.held_lease import NO_LEASE, LeaseId, PendingRequest
from finchcart.quota.holder_records import HolderKey
from finchcart.quota.leader_election import LeaderElection
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import SECOND
from finchcart.quota.messages import Ballot
from finchcart.quota.planner import Planner
from tests.quota_messages import (
    CONFIG,
    THIRD_PLANNER,
    answer_with_lease,
    datagram_with,
    elected,
    request_lease,
    requesting_holder,
    sent,
    started,
)


def planted(of, methods):
    """Return a subclass with these methods; the exhaustive search needs one that can be pickled."""
    made = type(f"Planted{len(PLANTED)}", (of,), {**methods, "__module__": __name__})
    PLANTED[made.__name__] = globals()[made.__name__] = made
    return made


PLANTED = {}


def planner(**methods):
    return QuotaFactories(planner=planted(Planner, methods))


def election(**methods):
    return planner(election_type=planted(LeaderElection, methods))


def allocator(**methods):
    return planner(allocator_type=planted(Allocator, methods))


def holder(**methods):
    return QuotaFactories(lease_holder=planted(LeaseHolder, methods))


def votes_without_quiet_period(self, address, quota, random, now):
    LeaderElection.__init__(self, address, quota, random, now)
    self.acceptor.votes_from = self.next_candidacy_at = now


def grants_without_takeover_wait(self, term, now):
    Allocator.begin_term(self, term, now - self.quota.takeover_wait)


def leads_without_end(self, reason):
    pass


def counts_lease_from_its_last_vote(self, now, sender, accept):
    if self.candidacy is not None:
        self.candidacy.proposed_at = now
    LeaderElection.on_accept(self, now, sender, accept)


def promises_any_ballot(self, now, sender, prepare):
    self.acceptor.promised = Ballot(0, 0)
    LeaderElection.on_prepare(self, now, sender, prepare)


def conceals_its_vote(self, now, sender, prepare):
    """The acceptor votes for one planner and conceals that vote from the next."""
    self.acceptor.accepted = None
    LeaderElection.on_prepare(self, now, sender, prepare)


def identifies_holders_by_name_only(self, address, request):
    """The planner takes a restarted process for the one before it."""
    holders = self.allocator.holders
    for key in [key for key in holders if key.node == request.node and key.session != request.session]:
        record = holders.pop(key)
        record.sequence = 0
        holders[HolderKey(request.node, request.session)] = record
    Planner.on_request(self, address, request)


def counts_only_the_last_lease(self, holder, limit):
    """The allocator counts the lease granted last, not the greatest lease that may still be used."""
    record = holder.limits.get(limit)
    return record.granted[-1].amount if record and record.granted else 0


def counts_lease_from_its_answer(self, grant):
    self.pending = {
        sequence: PendingRequest(self.now, request.held) for sequence, request in self.pending.items()
    }
    LeaseHolder.on_grant(self, grant)


def accepts_any_term(self, grant):
    for held in self.held.values():
        if grant.term != held.id.term:
            held.id = NO_LEASE
            self.pending = {
                sequence: PendingRequest(request.sent_at, dict.fromkeys(request.held, NO_LEASE))
                for sequence, request in self.pending.items()
            }
    LeaseHolder.on_grant(self, grant)


def accepts_any_number(self, grant):
    for held in self.held.values():
        if grant.term == held.id.term:
            held.id = LeaseId(held.id.term, 0)
    LeaseHolder.on_grant(self, grant)


def accepts_renewals_of_replaced_leases(self, grant):
    for request in self.pending.values():
        request.held.update({name: held.id for name, held in self.held.items()})
    LeaseHolder.on_grant(self, grant)


def keeps_lease_without_end(self, held):
    held.expires_at = self.now + self.quota.lease_duration if held.amount else held.expires_at
    LeaseHolder.update_allowance(self, held)


def accept_arrives_late(factories):
    leader, proposed = elected(factories, CONFIG.leader_lease_duration // 2)
    leads_until = leader.election.leads_until
    return [leads_until] if leads_until > proposed + CONFIG.leader_lease_duration else []


def holder_restarts(factories):
    """The process before the restart may still use its lease, so no other holder gets a part of it."""
    leader, now = elected(factories)
    now += CONFIG.takeover_wait + 1
    leader.election.leads_until = now + 9 * SECOND
    first = request_lease(leader, now, "n1", 1, 1).amount
    request_lease(leader, now + 100_000, "n1", 2, 1, demand=0)
    second = request_lease(leader, now + 200_000, "n1", 2, 2, demand=0, oldest_sequence=2)
    other = request_lease(leader, now + 300_000, "n2", 3, 1).amount
    return [(first, second, other)] if first + other > 40 else []


def grant_of_earlier_term(factories):
    lease_holder = requesting_holder(factories)
    answer_with_lease(lease_holder, 1000, 5, 1, 1, 10)
    return ["accepted"] if answer_with_lease(lease_holder, 2000, 4, 1, 7, 30) != 10 else []


def grant_of_earlier_number(factories):
    """The holder accepted and reported a smaller lease; an earlier grant that arrives late is rejected."""
    lease_holder = requesting_holder(factories)
    lease_holder.reduce(500_000, Tick())
    answer_with_lease(lease_holder, 501_000, 5, 2, 8, 10)
    return ["accepted"] if answer_with_lease(lease_holder, 502_000, 5, 1, 7, 30) != 10 else []


def delayed_request_is_renewed(factories):
    """A new leader renews the 30 that a delayed request reported; the holder has given back 20 since."""
    lease_holder = requesting_holder(factories)
    answer_with_lease(lease_holder, 1000, 5, 1, 1, 30)
    lease_holder.reduce(500_000, Tick())  # reports 30
    lease_holder.reduce(1_000_000, Tick())
    answer_with_lease(lease_holder, 1_001_000, 5, 3, 2, 10)
    return ["accepted"] if answer_with_lease(lease_holder, 1_002_000, 6, 2, 1, 30) != 10 else []


def answer_arrives_late(factories):
    """An answer that took 2 s to arrive leaves 1 s of a lease of 3 s."""
    lease_holder = requesting_holder(factories)
    answer_with_lease(lease_holder, 2 * SECOND, 5, 1, 1, 10)
    return ["longer"] if lease_holder.held["store"].expires_at > CONFIG.lease_duration else []


def seeded_runs(count):
    """Return a function that plays so many seeded runs, up to the first breach of the limit."""

    def play(factories):
        for seed in range(count):
            try:
                QuotaFaultRun(seed, factories).play(40)
            except InvariantError as breach:
                return [breach]
        return []

    return play


def promises(answers):
    """Return the answers if one of them is a promise, or else an empty list."""
    return answers if any(isinstance(answer, messages.Promise) for answer in answers) else []


def acceptor_restarts(factories):
    """A restarted acceptor must not answer while a lease that it voted for before may last."""
    acceptor = started(factories)
    prepare = messages.Prepare(Ballot(1, 7), acceptor.election.timing_digest)
    return promises(sent(acceptor.reduce(CONFIG.leader_lease_duration - 1, datagram_with(prepare))))


def smaller_ballot_is_prepared(factories):
    acceptor = started(factories)
    now = CONFIG.startup_quiet_period + 1
    timing_digest = acceptor.election.timing_digest
    acceptor.reduce(now, datagram_with(messages.Prepare(Ballot(9, 7), timing_digest)))
    return promises(
        sent(
            acceptor.reduce(now, datagram_with(messages.Prepare(Ballot(8, 8), timing_digest), THIRD_PLANNER))
        )
    )


DEFECTS = {
    "an acceptor votes right after its start": (
        acceptor_restarts,
        election(__init__=votes_without_quiet_period),
    ),
    "a new leader does not wait for the leases of earlier terms": (
        seeded_runs(20),
        allocator(begin_term=grants_without_takeover_wait),
    ),
    "a leader whose lease has expired keeps leading": (seeded_runs(20), planner(step_down=leads_without_end)),
    "a leader lease counted from its last vote": (
        accept_arrives_late,
        election(on_accept=counts_lease_from_its_last_vote),
    ),
    "any ballot is promised": (smaller_ballot_is_prepared, election(on_prepare=promises_any_ballot)),
    "an acceptor conceals its vote": (seeded_runs(4), election(on_prepare=conceals_its_vote)),
    "a holder identified by its name only": (
        holder_restarts,
        planner(on_request=identifies_holders_by_name_only),
    ),
    "the last lease counts, not the greatest": (
        seeded_runs(4),
        allocator(committed=counts_only_the_last_lease),
    ),
    "a lease counted from its answer": (answer_arrives_late, holder(on_grant=counts_lease_from_its_answer)),
    "any term is accepted": (grant_of_earlier_term, holder(on_grant=accepts_any_term)),
    "any number is accepted": (grant_of_earlier_number, holder(on_grant=accepts_any_number)),
    "a renewal of a replaced lease is accepted": (
        delayed_request_is_renewed,
        holder(on_grant=accepts_renewals_of_replaced_leases),
    ),
    "a lease does not expire": (seeded_runs(12), holder(update_allowance=keeps_lease_without_end)),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    play, factories = DEFECTS[name]
    assert not play(QuotaFactories())
    assert play(factories)


def test_the_limit_holds_for_every_placement_of_one_fault_and_the_search_finds_a_defect():
    states, breach = explore(7, 1)
    assert breach is None
    assert states > 700
    assert explore(7, 1, DEFECTS["a new leader does not wait for the leases of earlier terms"][1])[1]
