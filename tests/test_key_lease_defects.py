"""Planted defects of replicas and clients, found by seeded runs or by hand."""

import pytest

from finchcart.fault_injection.key_leases.fault_run import KeyLeaseFaultRun
from finchcart.fault_injection.key_leases.simulation import KeyLeaseFactories, KeyLeaseSimulation
from finchcart.fault_injection.key_leases.state_space import KEY
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.key_leases.config import SECOND
from finchcart.key_leases.messages import LeaseStatus
from finchcart.key_leases.replica import KeyLeaseReplica
from tests.key_lease_steps import acquire, settle


class AnswersAtOnceAfterItsStart(KeyLeaseReplica):
    def __init__(self, *args):
        super().__init__(*args)
        self.quiet_until = 0


class VotesForTheNewest(KeyLeaseReplica):
    def vote(self, session, proposal):
        lease = self.leases.get(proposal.key)
        if lease is not None and lease.session != session:
            del self.leases[proposal.key]
        return super().vote(session, proposal)


class AnyoneReleases(KeyLeaseReplica):
    def record(self, session, outcome):
        super().record(session, outcome)
        if outcome.status == LeaseStatus.RELEASED:
            self.leases.pop(outcome.key, None)


class LeaseIsTooShort(KeyLeaseReplica):
    def vote(self, session, proposal):
        vote = super().vote(session, proposal)
        lease = self.leases.get(proposal.key)
        if lease is not None:
            lease.expires_at = min(lease.expires_at, self.now + SECOND // 2)
        return vote


class LaterAttemptTakesOver(KeyLeaseReplica):
    """A later attempt of the same process counts as its release of the earlier."""

    def vote(self, session, proposal):
        lease = self.leases.get(proposal.key)
        if lease is not None and lease.session == session and lease.status == LeaseStatus.HELD:
            lease.attempt = max(lease.attempt, proposal.attempt)
        return super().vote(session, proposal)


class OneVoteIsAQuorum(KeyLeaseClient):
    def on_vote(self, replica, vote):
        if vote.status == LeaseStatus.GRANTED:
            for other in range(len(self.replicas)):
                super().on_vote(other, vote)
        else:
            super().on_vote(replica, vote)


class EarlierVotesCount(KeyLeaseClient):
    def on_no_quorum(self, attempt):
        granted = {
            replica: status for replica, status in attempt.votes.items() if status == LeaseStatus.GRANTED
        }
        super().on_no_quorum(attempt)
        if attempt.key in self.attempts:
            self.attempts[attempt.key].votes.update(granted)


class CommandsHoweverLate(KeyLeaseClient):
    def answer(self, key, status, result=b"", run_before=None):
        super().answer(key, status, result, run_before and run_before + 10**12)


class ReleasesWhatRan(KeyLeaseClient):
    def on_run_ended(self, key, status, result=b""):
        self.on_run_cancelled(key)


class ReportsEveryRunAsCompleted(KeyLeaseClient):
    def on_run_ended(self, key, status, result=b""):
        super().on_run_ended(key, LeaseStatus.COMPLETED, result)


class ForgetsThatItRuns(KeyLeaseClient):
    def on_acquire(self, keys):
        for wanted in keys:
            self.on_run_cancelled(wanted.key)
        super().on_acquire(keys)


DEFECTS = {
    "a replica answers at once after its start": KeyLeaseFactories(replica=AnswersAtOnceAfterItsStart),
    "a replica votes for the newest": KeyLeaseFactories(replica=VotesForTheNewest),
    "a release by anyone frees a lease": KeyLeaseFactories(replica=AnyoneReleases),
    "a lease is too short": KeyLeaseFactories(replica=LeaseIsTooShort),
    "one vote is a quorum": KeyLeaseFactories(client=OneVoteIsAQuorum),
    "votes for an earlier attempt count": KeyLeaseFactories(client=EarlierVotesCount),
    "what ran is released": KeyLeaseFactories(client=ReleasesWhatRan),
    "a failed run is reported as completed": KeyLeaseFactories(client=ReportsEveryRunAsCompleted),
    "a key that runs here is asked for once more": KeyLeaseFactories(client=ForgetsThatItRuns),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    for seed in range(30):
        try:
            KeyLeaseFaultRun(seed, factories=DEFECTS[name]).play(20)
        except InvariantError:
            return
    raise AssertionError("not found in 30 seeds")


def test_a_planted_defect_is_found_by_hand_a_later_attempt_takes_over_what_ran():
    """The report of its end is still on its way, and its own table has forgotten the key."""

    def play(factories):
        simulation = KeyLeaseSimulation(factories=factories)
        acquire(simulation, "h0")
        settle(simulation, 1)
        simulation.command("h0", KEY)
        simulation.end("h0", KEY)
        simulation.in_flight.clear()  # lost, all three
        acquire(simulation, "h0")
        while simulation.in_flight:
            simulation.deliver(0)
        if ("h0", KEY) in simulation.granted:
            simulation.command("h0", KEY)

    with pytest.raises(InvariantError):
        play(KeyLeaseFactories(replica=LaterAttemptTakesOver))
    play(KeyLeaseFactories())


def test_a_planted_defect_is_found_by_hand_a_run_is_commanded_however_late():
    """The holder is suspended between its lease and the command, the duplicate runs elsewhere."""

    def play(factories):
        simulation = KeyLeaseSimulation(factories=factories)
        acquire(simulation, "h0")
        settle(simulation, 1)
        simulation.pass_time(2 * simulation.config.lease_duration)
        acquire(simulation, "h1")
        settle(simulation, 2)
        simulation.command("h1", KEY)
        simulation.command("h0", KEY)

    with pytest.raises(InvariantError):
        play(KeyLeaseFactories(client=CommandsHoweverLate))
    play(KeyLeaseFactories())
