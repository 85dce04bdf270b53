"""Key leases: seeded runs of replicas and holders, a bounded search, plain cases and planted defects."""

import random
import re
from pathlib import Path

import json5
import pytest

from finchcart.fault_injection.key_leases.fault_run import SeededRun
from finchcart.fault_injection.key_leases.simulation import TICK_US, KeyLeaseSimulation
from finchcart.fault_injection.key_leases.state_space import KEY, explore, perform
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet_settings.configs import key_lease_config
from finchcart.fleet_settings.file import check_settings
from finchcart.key_leases import messages
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig, config_errors
from finchcart.key_leases.effects import LeaseAnswer
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyLeaseRunCancelled, KeyLeaseRunEnded, KeyToLease
from finchcart.key_leases.messages import LeaseStatus
from finchcart.key_leases.replica import KeyLeaseReplica
from finchcart.node.fleet_inputs import fleet_input, key_lease_client_input
from finchcart.node.key_leases import KeyLeaseGate
from tests.core_harness import CoreHarness, read_answer
from tests.harness import draw_settings
from tests.test_core import GAUGES, may_be_running_at_the_end, plain_harness, play


def settle(simulation, rounds=40):
    """All messages arrive, in order, and time passes."""
    for _ in range(rounds):
        while simulation.in_flight:
            simulation.deliver(0)
        simulation.pass_time(TICK_US)


def acquire(simulation, name, payload_digest=7, key=KEY):
    """A holder begins to acquire the lease of a key."""
    simulation.feed(name, AcquireKeyLeases([KeyToLease(key, payload_digest, 12 * SECOND)]))


def test_one_of_two_gets_the_key_and_the_other_its_result():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    assert simulation.answers == {("h0", KEY): [LeaseStatus.GRANTED]}
    simulation.command("h0", KEY)
    acquire(simulation, "h1")
    settle(simulation, 4)
    assert ("h1", KEY) not in simulation.answers, "it waits for the run elsewhere"
    simulation.end("h0", KEY)
    settle(simulation, 8)
    assert simulation.answers["h1", KEY] == [LeaseStatus.COMPLETED]
    acquire(simulation, "h1", 8, KEY)
    settle(simulation, 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.COMPLETED, LeaseStatus.PAYLOAD_MISMATCH], (
        "the same key with another payload"
    )


def test_a_run_that_did_not_end_in_time_is_answered_as_held_and_what_never_ran_is_free_again():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    acquire(simulation, "h1")
    settle(simulation, simulation.config.wait // TICK_US + 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD]
    simulation.feed("h0", KeyLeaseRunCancelled(KEY))
    del simulation.granted["h0", KEY]
    acquire(simulation, "h1")
    settle(simulation, 6)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD, LeaseStatus.GRANTED]


def test_a_lease_outlives_its_holder_and_a_restart_of_its_name():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    simulation.command("h0", KEY)
    simulation.start("h0")
    acquire(simulation, "h0")
    acquire(simulation, "h1")
    settle(simulation, simulation.config.wait // TICK_US + 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD] and simulation.answers["h0", KEY] == [
        LeaseStatus.GRANTED,
        LeaseStatus.HELD,
    ]


def test_without_a_quorum_nothing_runs_and_a_replica_that_started_is_quiet():
    simulation = KeyLeaseSimulation()
    simulation.start("k0")
    simulation.start("k1")
    acquire(simulation, "h0")
    settle(simulation, 8)
    assert simulation.answers["h0", KEY] == [LeaseStatus.UNAVAILABLE]
    simulation.pass_time(simulation.config.startup_quiet_period)
    acquire(simulation, "h0")
    settle(simulation, 8)
    assert simulation.answers["h0", KEY] == [LeaseStatus.UNAVAILABLE, LeaseStatus.GRANTED]


def test_a_replica_is_bounded_and_when_full_refuses_new_leases_and_answers_duplicates():
    simulation = KeyLeaseSimulation(config=KeyLeaseConfig(entries=5))
    keys = [messages.key_digest("m", str(n)) for n in range(8)]
    for key in keys[:4]:
        acquire(simulation, "h0", key=key)
    settle(simulation, 1)
    for key in keys[:4]:
        simulation.command("h0", key)
        simulation.end("h0", key)
    for key in keys[4:]:
        acquire(simulation, "h0", key=key)
    settle(simulation, 1)
    acquire(simulation, "h1", key=keys[0])
    settle(simulation, 8)
    statuses = [simulation.answers["h0", key][-1] for key in keys]
    assert (
        statuses[:4] == [LeaseStatus.GRANTED] * 4
        and statuses.count(LeaseStatus.UNAVAILABLE) == 3
        and simulation.answers["h1", keys[0]] == [LeaseStatus.COMPLETED]
    )
    assert all(len(simulation.machines[f"k{n}"].leases) <= 5 for n in range(3))
    simulation.pass_time(2 * simulation.config.life)
    assert not any(simulation.machines[f"k{n}"].leases for n in range(3))


def test_many_requests_go_in_one_message_and_a_result_too_long_is_reported_as_lost():
    simulation = KeyLeaseSimulation()
    keys = [messages.key_digest("m", str(n)) for n in range(20)]
    simulation.feed("h0", AcquireKeyLeases([KeyToLease(key, 7, 12 * SECOND) for key in keys]))
    assert len(simulation.in_flight) == 6, "sixteen to a message, three replicas"
    settle(simulation, 1)
    for key in keys:
        simulation.command("h0", key)
    simulation.feed("h0", KeyLeaseRunEnded(keys[0], LeaseStatus.COMPLETED, b"x" * 300))
    simulation.runs[keys[0]][0].outcome = LeaseStatus.COMPLETED
    settle(simulation, 2)
    acquire(simulation, "h1", key=keys[0])
    settle(simulation, 4)
    assert simulation.answers["h1", keys[0]] == [LeaseStatus.FAILED]


def test_settings_that_cannot_hold_are_reported():
    addresses = ("10.0.0.1:1", "10.0.0.2:1")
    errors = config_errors(KeyLeaseConfig(keepers=addresses, command=15 * SECOND))
    assert [error.field for error in errors] == ["keepers", "command_ms"]
    assert not list(config_errors(KeyLeaseConfig(keepers=(*addresses, "10.0.0.3:1"))))
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // claims: {\n")
    example = json5.loads(head + "  claims: {\n" + re.sub(r"(?m)^  // ", "  ", tail))
    config = key_lease_config(check_settings(example, "example"))
    assert config == KeyLeaseConfig(keepers=config.keepers) and len(config.keepers) == 3, (
        "the example shows the defaults"
    )


@pytest.mark.parametrize("seed", range(12))
def test_no_key_runs_twice_in_seeded_runs(seed):
    run = SeededRun(seed)
    run.play(20)
    assert run.key_count > 50 and sum(map(len, run.runs.values())) > 10


def test_a_seed_replays_identically():
    assert SeededRun(5).play(10) == SeededRun(5).play(10)


def test_the_bounded_search_of_all_orders_finds_nothing():
    states, breach = explore(5, 1, most=3000)
    assert breach is None and states > 500


# ---- the core


class SimulatedReplicas:
    """Answers the attempts of a simulated core by chance; `statuses`: those that are drawn from.

    Knows which keys are asked for and which are the core's.
    """

    def __init__(self, harness, rng, statuses):
        self.harness = harness
        self.rng = rng
        self.statuses = statuses
        self.asked, self.held, self.outcomes = {}, set(), []
        harness.on_key_lease_command = lambda command: self.take(key_lease_client_input(command))
        step = harness.step

        def step_and_answer(dt):
            step(dt)
            for key in [key for key in self.asked if rng.random() < 0.2]:
                self.answer(key)

        harness.step = step_and_answer

    def answer(self, key):
        del self.asked[key]
        status = self.rng.choice(self.statuses)
        if status == LeaseStatus.GRANTED:
            self.held.add(key)
        if not self.harness.ended:
            run_before = self.harness.now + self.rng.choice((5, 1000)) * MS
            self.harness.feed(fleet_input(LeaseAnswer(key, status, b"", run_before)))

    def take(self, command):
        if isinstance(command, AcquireKeyLeases):
            for key, _, _ in command.keys:
                assert key not in self.asked and key not in self.held, "asked for twice"
                self.asked[key] = True
        elif isinstance(command, KeyLeaseRunEnded):
            self.held.remove(command.key)
            self.outcomes.append(command.status)
        else:
            self.held.discard(command.key)
            self.asked.pop(command.key, None)


def check_runs_hold_leases(harness, replicas):
    run = harness.core.pool.run

    def checked_run(rpc, repeatable):
        if rpc.key_entry:
            key, by = harness.core.key_leases.held[rpc.index]
            assert key in replicas.held and harness.now < by, "commanded without a lease"
        run(rpc, repeatable)

    harness.core.pool.run = checked_run


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_key_leases_and_none_is_left_behind(seed):
    rng = random.Random(seed)
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES}, seed, key_leases=lambda turn: KeyLeaseGate(turn, 20 * SECOND)
    )
    statuses = [LeaseStatus.GRANTED] * 4 + [
        LeaseStatus.HELD,
        LeaseStatus.UNAVAILABLE,
        LeaseStatus.FAILED,
        LeaseStatus.PAYLOAD_MISMATCH,
    ]
    replicas = SimulatedReplicas(harness, rng, statuses)
    check_runs_hold_leases(harness, replicas)
    play(harness, rng)
    gate = harness.core.key_leases
    running = {rpc.index for rpc in may_be_running_at_the_end(harness)}
    assert not gate.waiting and running.issuperset(gate.held)  # none is held for what is over
    assert set(replicas.held) == {key for key, _ in gate.held.values()}


def one_keyed(status, again=False, by=1000, result=b"there"):
    """How a keyed RPC is answered whose lease comes to `status`, whether it ran, and how late it was."""
    harness = plain_harness(key_leases=lambda turn: KeyLeaseGate(turn, 20 * SECOND))
    name = harness.submit(harness.open(), 1, **({"r": "1"} if again else {}))
    harness.step(MS)
    (acquire_input,) = harness.key_lease_inputs
    asked = acquire_input.keys[0]
    assert not harness.runs, "not before its lease"
    if status is not None:
        harness.feed(fleet_input(LeaseAnswer(asked.key, status, result, harness.now + by * MS)))
    harness.step(MS)
    ran = name in harness.runs
    for _ in range(200):
        if harness.attempts[name].outcome or ran:
            break
        harness.step(20 * MS)
    return harness.attempts[name].outcome, ran, harness.now - harness.attempts[name].due


def test_the_answer_to_an_attempt_decides_what_the_caller_receives():
    assert one_keyed(LeaseStatus.GRANTED)[:2] == (None, True)
    assert (
        one_keyed(LeaseStatus.HELD)[:2] == ("failed", False) and one_keyed(LeaseStatus.FAILED)[0] == "failed"
    )
    assert one_keyed(LeaseStatus.UNAVAILABLE)[0] == "rejected", "a first try never ran"
    assert one_keyed(LeaseStatus.UNAVAILABLE, again=True)[0] == "failed", "an earlier one may have, elsewhere"
    assert one_keyed(LeaseStatus.GRANTED, by=0)[:2] == ("rejected", False), "the lease is over when it comes"
    how, ran, late = one_keyed(None)
    assert how == "rejected" and not ran and late <= 0, "no replica answers: by its due time"


def test_a_run_elsewhere_gives_its_result():
    harness = plain_harness(key_leases=lambda turn: KeyLeaseGate(turn, 20 * SECOND))
    told = []
    harness.on_reply = lambda link, data: told.append(read_answer(data))
    harness.submit(harness.open(), 1)
    harness.step(MS)
    key = harness.key_lease_inputs[0].keys[0].key
    harness.feed(fleet_input(LeaseAnswer(key, LeaseStatus.COMPLETED, b"there", 0)))
    assert b"there" in str(told).encode() and not harness.runs


# ---- planted defects


class AnswersAtOnceAfterItsStart(KeyLeaseReplica):
    def __init__(self, *args):
        super().__init__(*args)
        self.quiet_until = 0


class VotesForTheNewest(KeyLeaseReplica):
    def vote(self, session, request):
        lease = self.leases.get(request.key)
        if lease is not None and lease.session != session:
            del self.leases[request.key]
        return super().vote(session, request)


class AnyoneReleases(KeyLeaseReplica):
    def record(self, session, outcome):
        super().record(session, outcome)
        if outcome.status == LeaseStatus.RELEASED:
            self.leases.pop(outcome.key, None)


class LeaseIsTooShort(KeyLeaseReplica):
    def vote(self, session, request):
        vote = super().vote(session, request)
        lease = self.leases.get(request.key)
        if lease is not None:
            lease.expires_at = min(lease.expires_at, self.now + SECOND // 2)
        return vote


class LaterAttemptTakesOver(KeyLeaseReplica):
    """A later attempt of the same process counts as its release of the earlier."""

    def vote(self, session, request):
        lease = self.leases.get(request.key)
        if lease is not None and lease.session == session and lease.status == LeaseStatus.HELD:
            lease.attempt = max(lease.attempt, request.attempt)
        return super().vote(session, request)


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
    def on_ended(self, key, status, result=b""):
        self.on_never_ran(key)


class ReportsEveryRunAsCompleted(KeyLeaseClient):
    def on_ended(self, key, status, result=b""):
        super().on_ended(key, LeaseStatus.COMPLETED, result)


class ForgetsThatItRuns(KeyLeaseClient):
    def on_acquire(self, keys):
        for wanted in keys:
            self.on_never_ran(wanted.key)
        super().on_acquire(keys)


DEFECTS = {
    "a replica answers at once after its start": {"keeper": AnswersAtOnceAfterItsStart},
    "a replica votes for the newest": {"keeper": VotesForTheNewest},
    "a release by anyone frees a lease": {"keeper": AnyoneReleases},
    "a lease is too short": {"keeper": LeaseIsTooShort},
    "one vote is a quorum": {"holder": OneVoteIsAQuorum},
    "votes for an earlier attempt count": {"holder": EarlierVotesCount},
    "what ran is released": {"holder": ReleasesWhatRan},
    "a failed run is reported as completed": {"holder": ReportsEveryRunAsCompleted},
    "a key that runs here is asked for once more": {"holder": ForgetsThatItRuns},
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    for seed in range(30):
        try:
            SeededRun(seed, make=DEFECTS[name]).play(20)
        except InvariantError:
            return
    raise AssertionError("not found in 30 seeds")


def test_a_planted_defect_is_found_by_hand_a_later_attempt_takes_over_what_ran():
    """The report of its end is still on its way, and its own table has forgotten the key."""

    def play(make):
        simulation = KeyLeaseSimulation(make=make)
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
        play({"keeper": LaterAttemptTakesOver})
    play({})


def test_a_planted_defect_is_found_by_hand_a_run_is_commanded_however_late():
    """The holder is suspended between its lease and the command, the duplicate runs elsewhere."""

    def play(make):
        simulation = KeyLeaseSimulation(make=make)
        acquire(simulation, "h0")
        settle(simulation, 1)
        simulation.pass_time(2 * simulation.config.life)
        acquire(simulation, "h1")
        settle(simulation, 2)
        simulation.command("h1", KEY)
        simulation.command("h0", KEY)

    with pytest.raises(InvariantError):
        play({"holder": CommandsHoweverLate})
    play({})


def test_choices_of_the_search_are_executed():
    simulation, rng = KeyLeaseSimulation(), random.Random(3)
    perform(simulation, ("claim", "h0"))
    for _ in range(30):
        if simulation.in_flight:
            perform(simulation, ("deliver", rng.randrange(len(simulation.in_flight))))
        perform(simulation, ("time", 10 * MS))
    assert simulation.answers["h0", KEY] == [LeaseStatus.GRANTED]
