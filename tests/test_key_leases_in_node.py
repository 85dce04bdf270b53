"""A node whose runs need key leases."""

import random

import pytest

from finchcart.key_leases.config import MS, SECOND
from finchcart.key_leases.effects import LeaseAnswer
from finchcart.key_leases.inputs import AcquireKeyLeases, KeyLeaseRunEnded
from finchcart.key_leases.messages import LeaseStatus
from finchcart.node.fleet_inputs import fleet_input, key_lease_client_input
from finchcart.node.key_leases import KeyLeaseGate
from tests.core_cases import GAUGES, plain_harness
from tests.core_harness import CoreHarness
from tests.dispatchers_double import read_answer
from tests.harness import draw_settings
from tests.random_core_runs import run_randomly, runs_in_progress_at_end


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
                assert key not in self.asked, "asked for twice"
                assert key not in self.held, "asked for twice"
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
            assert key in replicas.held, "commanded without a lease"
            assert harness.now < by, "commanded without a lease"
        run(rpc, repeatable)

    harness.core.pool.run = checked_run


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_key_leases_and_none_is_left_behind(seed):
    rng = random.Random(seed)
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES},
        seed,
        key_leases=lambda effect_buffer: KeyLeaseGate(effect_buffer, 20 * SECOND),
    )
    statuses = [LeaseStatus.GRANTED] * 4 + [
        LeaseStatus.HELD,
        LeaseStatus.UNAVAILABLE,
        LeaseStatus.FAILED,
        LeaseStatus.PAYLOAD_MISMATCH,
    ]
    replicas = SimulatedReplicas(harness, rng, statuses)
    check_runs_hold_leases(harness, replicas)
    run_randomly(harness, rng)
    gate = harness.core.key_leases
    running = {rpc.index for rpc in runs_in_progress_at_end(harness)}
    assert not gate.waiting
    assert running.issuperset(gate.held)  # none is held for what is over
    assert set(replicas.held) == {key for key, _ in gate.held.values()}


def one_keyed(status, again=False, by=1000, result=b"there"):
    """How a keyed RPC is answered whose lease comes to `status`, whether it ran, and how late it was."""
    harness = plain_harness(key_leases=lambda effect_buffer: KeyLeaseGate(effect_buffer, 20 * SECOND))
    name = harness.dispatchers.submit(harness.dispatchers.open(), 1, **({"r": "1"} if again else {}))
    harness.step(MS)
    (acquire_input,) = harness.key_lease_inputs
    asked = acquire_input.keys[0]
    assert not harness.pool.runs, "not before its lease"
    if status is not None:
        harness.feed(fleet_input(LeaseAnswer(asked.key, status, result, harness.now + by * MS)))
    harness.step(MS)
    ran = name in harness.pool.runs
    for _ in range(200):
        if harness.dispatchers.attempts[name].outcome or ran:
            break
        harness.step(20 * MS)
    return (
        harness.dispatchers.attempts[name].outcome,
        ran,
        harness.now - harness.dispatchers.attempts[name].due,
    )


def test_the_answer_to_an_attempt_decides_what_the_caller_receives():
    assert one_keyed(LeaseStatus.GRANTED)[:2] == (None, True)
    assert one_keyed(LeaseStatus.HELD)[:2] == ("failed", False)
    assert one_keyed(LeaseStatus.FAILED)[0] == "failed"
    assert one_keyed(LeaseStatus.UNAVAILABLE)[0] == "rejected", "a first try never ran"
    assert one_keyed(LeaseStatus.UNAVAILABLE, again=True)[0] == "failed", "an earlier one may have, elsewhere"
    assert one_keyed(LeaseStatus.GRANTED, by=0)[:2] == ("rejected", False), "the lease is over when it comes"
    how, ran, late = one_keyed(None)
    assert how == "rejected", "no replica answers: by its due time"
    assert not ran, "no replica answers: by its due time"
    assert late <= 0, "no replica answers: by its due time"


def test_a_run_elsewhere_gives_its_result():
    harness = plain_harness(key_leases=lambda effect_buffer: KeyLeaseGate(effect_buffer, 20 * SECOND))
    replies = []
    harness.dispatchers.on_reply = lambda link, data: replies.append(read_answer(data))
    harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    key = harness.key_lease_inputs[0].keys[0].key
    harness.feed(fleet_input(LeaseAnswer(key, LeaseStatus.COMPLETED, b"there", 0)))
    assert b"there" in str(replies).encode()
    assert not harness.pool.runs
