"""Key leases on the virtual clock: replicas and clients, seeded runs and the bounded search."""

import random
import re
from pathlib import Path

import json5
import pytest

from finchcart.fault_injection.key_leases.fault_run import KeyLeaseFaultRun
from finchcart.fault_injection.key_leases.simulation import TICK_US, KeyLeaseSimulation
from finchcart.fault_injection.key_leases.state_space import KEY, claim, explore
from finchcart.fleet_settings.configs import key_lease_config
from finchcart.fleet_settings.file import check_settings
from finchcart.key_leases import messages
from finchcart.key_leases.config import MS, SECOND, KeyLeaseConfig, config_errors
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyLeaseRunCancelled, KeyLeaseRunEnded, KeyToLease
from finchcart.key_leases.messages import LeaseStatus
from tests.key_lease_steps import acquire, settle


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
    settle(simulation, simulation.config.outcome_timeout // TICK_US + 4)
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
    settle(simulation, simulation.config.outcome_timeout // TICK_US + 4)
    assert simulation.answers["h1", KEY] == [LeaseStatus.HELD]
    assert simulation.answers["h0", KEY] == [
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
    errors = config_errors(KeyLeaseConfig(replicas=addresses, command_timeout=15 * SECOND))
    assert [error.field for error in errors] == ["keepers", "command_ms"]
    assert not list(config_errors(KeyLeaseConfig(replicas=(*addresses, "10.0.0.3:1"))))
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // claims: {\n")
    example = json5.loads(head + "  claims: {\n" + re.sub(r"(?m)^  // ", "  ", tail))
    config = key_lease_config(check_settings(example, "example"))
    assert config == KeyLeaseConfig(replicas=config.replicas), "the example shows the defaults"
    assert len(config.replicas) == 3, "the example shows the defaults"


@pytest.mark.parametrize("seed", range(12))
def test_no_key_runs_twice_in_seeded_runs(seed):
    run = KeyLeaseFaultRun(seed)
    run.play(20)
    assert run.key_count > 50
    assert sum(map(len, run.runs.values())) > 10


def test_a_seed_replays_identically():
    assert KeyLeaseFaultRun(5).play(10) == KeyLeaseFaultRun(5).play(10)


def test_the_bounded_search_of_all_orders_finds_nothing():
    states, breach = explore(5, 1, most=3000)
    assert breach is None
    assert states > 500


def test_choices_of_the_search_are_executed():
    simulation, rng = KeyLeaseSimulation(), random.Random(3)
    claim(simulation, "h0")
    for _ in range(30):
        if simulation.in_flight:
            simulation.deliver(rng.randrange(len(simulation.in_flight)))
        simulation.pass_time(10 * MS)
    assert simulation.answers["h0", KEY] == [LeaseStatus.GRANTED]
