"""Key leases in virtual time: replicas and clients, seeded runs and the bounded search of the state space."""

import random
import re
from pathlib import Path

import json5
import pytest

from finchcart.fault_injection.key_leases.fault_run import KeyLeaseFaultRun
from finchcart.fault_injection.key_leases.simulation import TICK_US, KeyLeaseSimulation
from finchcart.fault_injection.key_leases.state_space import KEY, explore, request_key
from finchcart.fleet_settings.configs import key_lease_config
from finchcart.fleet_settings.file import check_settings
from finchcart.key_leases import messages
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig, config_errors
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyLeaseRunCancelled, KeyLeaseRunEnded, KeyToLease
from finchcart.key_leases.messages import LeaseStatus
from tests.key_lease_steps import acquire, settle


def test_one_of_two_holders_gets_the_lease_and_the_other_the_result():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    assert simulation.answers == {("h0", KEY): [LeaseStatus.GRANTED]}
    simulation.command("h0", KEY)
    acquire(simulation, "h1")
    settle(simulation, 4)
    assert ("h1", KEY) not in simulation.answers, "h1 must wait for the outcome of the run on h0"
    simulation.end("h0", KEY)
    settle(simulation, 8)
    assert simulation.answers["h1", KEY] == [LeaseStatus.COMPLETED]
    acquire(simulation, "h1", 8, KEY)
    settle(simulation, 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.COMPLETED, LeaseStatus.PAYLOAD_MISMATCH], (
        "a request for the same key with another payload must be refused"
    )


def test_a_duplicate_of_a_slow_run_is_answered_as_held_and_a_cancelled_run_frees_its_lease():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    acquire(simulation, "h1")
    settle(simulation, simulation.config.outcome_timeout // TICK_US + 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD]
    simulation.feed("h0", KeyLeaseRunCancelled(KEY))
    del simulation.granted["h0", KEY]
    acquire(simulation, "h1")
    settle(simulation, 6)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD, LeaseStatus.GRANTED]


def test_a_lease_outlives_a_restart_of_its_holder():
    simulation = KeyLeaseSimulation()
    acquire(simulation, "h0")
    settle(simulation, 1)
    simulation.command("h0", KEY)
    simulation.start("h0")
    acquire(simulation, "h0")
    acquire(simulation, "h1")
    settle(simulation, simulation.config.outcome_timeout // TICK_US + 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD]
    assert simulation.answers["h0", KEY] == [
        LeaseStatus.GRANTED,
        LeaseStatus.HELD,
    ]


def test_no_lease_is_granted_while_restarted_replicas_are_quiet_and_leave_no_quorum():
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


def test_a_full_replica_refuses_new_leases_and_still_answers_duplicates():
    simulation = KeyLeaseSimulation(config=KeyLeaseConfig(max_leases=5))
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
    assert statuses[:4] == [LeaseStatus.GRANTED] * 4
    assert statuses.count(LeaseStatus.UNAVAILABLE) == 3
    assert simulation.answers["h1", keys[0]] == [LeaseStatus.COMPLETED]
    assert all(len(simulation.machines[f"k{n}"].leases) <= 5 for n in range(3))
    simulation.pass_time(2 * simulation.config.lease_duration)
    assert not any(simulation.machines[f"k{n}"].leases for n in range(3))


def test_proposals_are_batched_and_a_run_with_too_long_a_result_is_reported_as_failed():
    simulation = KeyLeaseSimulation()
    keys = [messages.key_digest("m", str(n)) for n in range(20)]
    simulation.feed("h0", AcquireKeyLeases([KeyToLease(key, 7, 12 * SECOND) for key in keys]))
    assert len(simulation.in_flight) == 6, "20 proposals need two messages to each of three replicas"
    settle(simulation, 1)
    for key in keys:
        simulation.command("h0", key)
    simulation.feed("h0", KeyLeaseRunEnded(keys[0], LeaseStatus.COMPLETED, b"x" * 300))
    simulation.runs[keys[0]][0].outcome = LeaseStatus.COMPLETED
    settle(simulation, 2)
    acquire(simulation, "h1", key=keys[0])
    settle(simulation, 4)
    assert simulation.answers["h1", keys[0]] == [LeaseStatus.FAILED]


def test_unusable_settings_are_reported_and_the_example_shows_the_defaults():
    addresses = ("10.0.0.1:1", "10.0.0.2:1")
    errors = config_errors(KeyLeaseConfig(replicas=addresses, command_timeout=15 * SECOND))
    assert [error.field for error in errors] == ["keepers", "command_ms"]
    assert not list(config_errors(KeyLeaseConfig(replicas=(*addresses, "10.0.0.3:1"))))
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // claims: {\n")
    example = json5.loads(head + "  claims: {\n" + re.sub(r"(?m)^  // ", "  ", tail))
    config = key_lease_config(check_settings(example, "example"))
    assert config == KeyLeaseConfig(replicas=config.replicas), "the example must show the defaults"
    assert len(config.replicas) == 3, "the example must list three replicas"


@pytest.mark.parametrize("seed", range(12))
def test_no_key_runs_twice_within_its_window_in_seeded_runs(seed):
    run = KeyLeaseFaultRun(seed)
    run.play(20)
    assert run.key_count > 50
    assert sum(map(len, run.runs.values())) > 10


def test_a_seed_replays_identically():
    assert KeyLeaseFaultRun(5).play(10) == KeyLeaseFaultRun(5).play(10)


def test_the_bounded_search_of_message_orders_finds_no_violation():
    states, violation = explore(5, 1, most=3000)
    assert violation is None
    assert states > 500


def test_a_lease_is_granted_when_messages_arrive_in_random_order():
    simulation, rng = KeyLeaseSimulation(), random.Random(3)
    request_key(simulation, "h0")
    for _ in range(30):
        if simulation.in_flight:
            simulation.deliver(rng.randrange(len(simulation.in_flight)))
        simulation.pass_time(10 * MS)
    assert simulation.answers["h0", KEY] == [LeaseStatus.GRANTED]
