"""Planted defects in replicas and clients of key leases, found by seeded runs or by scripted ones."""

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


class ReplicaWithoutQuietPeriod(KeyLeaseReplica):
    def __init__(self, *args):
        super().__init__(*args)
        self.quiet_until = 0


class ReplicaThatVotesForTheNewest(KeyLeaseReplica):
    def vote(self, session, proposal):
        lease = self.leases.get(proposal.key)
        if lease is not None and lease.session != session:
            del self.leases[proposal.key]
        return super().vote(session, proposal)


class ReplicaThatAcceptsAnyRelease(KeyLeaseReplica):
    def record(self, session, outcome):
        super().record(session, outcome)
        if outcome.status == LeaseStatus.RELEASED:
            self.leases.pop(outcome.key, None)


class ReplicaWithShortLeases(KeyLeaseReplica):
    def vote(self, session, proposal):
        vote = super().vote(session, proposal)
        lease = self.leases.get(proposal.key)
        if lease is not None:
            lease.expires_at = min(lease.expires_at, self.now + SECOND // 2)
        return vote


class ReplicaThatLetsLaterAttemptsTakeOver(KeyLeaseReplica):
    """Treats a later attempt of a process as the release of the earlier one."""

    def vote(self, session, proposal):
        lease = self.leases.get(proposal.key)
        if lease is not None and lease.session == session and lease.status == LeaseStatus.HELD:
            lease.attempt = max(lease.attempt, proposal.attempt)
        return super().vote(session, proposal)


class ClientWithAQuorumOfOne(KeyLeaseClient):
    def on_vote(self, replica, vote):
        if vote.status == LeaseStatus.GRANTED:
            for other in range(len(self.replicas)):
                super().on_vote(other, vote)
        else:
            super().on_vote(replica, vote)


class ClientThatKeepsVotesOfEarlierAttempts(KeyLeaseClient):
    def on_no_quorum(self, attempt):
        granted = {
            replica: status for replica, status in attempt.votes.items() if status == LeaseStatus.GRANTED
        }
        super().on_no_quorum(attempt)
        if attempt.key in self.attempts:
            self.attempts[attempt.key].votes.update(granted)


class ClientWithoutCommandTimeout(KeyLeaseClient):
    def answer(self, key, status, result=b"", run_before=None):
        super().answer(key, status, result, run_before and run_before + 10**12)


class ClientThatReleasesEndedRuns(KeyLeaseClient):
    def on_run_ended(self, key, status, result=b""):
        self.on_run_cancelled(key)


class ClientThatReportsEveryRunAsCompleted(KeyLeaseClient):
    def on_run_ended(self, key, status, result=b""):
        super().on_run_ended(key, LeaseStatus.COMPLETED, result)


class ClientThatForgetsItsRuns(KeyLeaseClient):
    def on_acquire(self, keys):
        for requested in keys:
            self.on_run_cancelled(requested.key)
        super().on_acquire(keys)


DEFECTS = {
    "a replica has no quiet period after its start": KeyLeaseFactories(replica=ReplicaWithoutQuietPeriod),
    "a replica votes for the newest process": KeyLeaseFactories(replica=ReplicaThatVotesForTheNewest),
    "a release by any process frees a lease": KeyLeaseFactories(replica=ReplicaThatAcceptsAnyRelease),
    "a lease expires too early": KeyLeaseFactories(replica=ReplicaWithShortLeases),
    "one vote is a quorum": KeyLeaseFactories(client=ClientWithAQuorumOfOne),
    "votes for an earlier attempt count": KeyLeaseFactories(client=ClientThatKeepsVotesOfEarlierAttempts),
    "the lease of an ended run is released": KeyLeaseFactories(client=ClientThatReleasesEndedRuns),
    "a failed run is reported as completed": KeyLeaseFactories(client=ClientThatReportsEveryRunAsCompleted),
    "a key is requested again while it runs here": KeyLeaseFactories(client=ClientThatForgetsItsRuns),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    for seed in range(30):
        try:
            KeyLeaseFaultRun(seed, factories=DEFECTS[name]).play(20)
        except InvariantError:
            return
    raise AssertionError("none of 30 seeds found the defect")


def test_a_replica_that_lets_a_later_attempt_take_over_is_found_by_a_scripted_run():
    """A process requests a key again after its run, while all reports of the run's outcome are lost.

    The key then runs twice if the replicas grant its lease to the later attempt.
    """

    def play(factories):
        simulation = KeyLeaseSimulation(factories=factories)
        acquire(simulation, "h0")
        settle(simulation, 1)
        simulation.command("h0", KEY)
        simulation.end("h0", KEY)
        simulation.in_flight.clear()  # the report of the outcome is lost on the way to all three replicas
        acquire(simulation, "h0")
        while simulation.in_flight:
            simulation.deliver(0)
        if ("h0", KEY) in simulation.granted:
            simulation.command("h0", KEY)

    with pytest.raises(InvariantError):
        play(KeyLeaseFactories(replica=ReplicaThatLetsLaterAttemptsTakeOver))
    play(KeyLeaseFactories())


def test_a_client_without_a_command_timeout_is_found_by_a_scripted_run():
    """A holder is suspended between its lease and the command, and the duplicate runs on another node."""

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
        play(KeyLeaseFactories(client=ClientWithoutCommandTimeout))
    play(KeyLeaseFactories())
