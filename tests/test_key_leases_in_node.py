"""A node whose runs need key leases: the core starts a run only with a lease from simulated replicas."""

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
    """Answers the key lease requests of a core at random times with statuses drawn from `statuses`.

    Tracks which keys are requested and which the core holds.
    """

    def __init__(self, harness, rng, statuses):
        self.harness = harness
        self.rng = rng
        self.statuses = statuses
        self.requested, self.held, self.outcomes = {}, set(), []
        harness.on_key_lease_command = lambda command: self.handle(key_lease_client_input(command))
        step = harness.step

        def step_and_answer(elapsed_us):
            step(elapsed_us)
            for key in [key for key in self.requested if rng.random() < 0.2]:
                self.answer(key)

        harness.step = step_and_answer

    def answer(self, key):
        del self.requested[key]
        status = self.rng.choice(self.statuses)
        if status == LeaseStatus.GRANTED:
            self.held.add(key)
        if not self.harness.ended:
            run_before = self.harness.now + self.rng.choice((5, 1000)) * MS
            self.harness.feed(fleet_input(LeaseAnswer(key, status, b"", run_before)))

    def handle(self, command):
        if isinstance(command, AcquireKeyLeases):
            for key, _, _ in command.keys:
                assert key not in self.requested, "requested twice"
                assert key not in self.held, "requested while it is held"
                self.requested[key] = True
        elif isinstance(command, KeyLeaseRunEnded):
            self.held.remove(command.key)
            self.outcomes.append(command.status)
        else:
            self.held.discard(command.key)
            self.requested.pop(command.key, None)


def check_runs_hold_leases(harness, replicas):
    run = harness.core.pool.run

    def checked_run(rpc, idempotent):
        if rpc.key_entry:
            key, run_by = harness.core.key_leases.held[rpc.index]
            assert key in replicas.held, "commanded without a key lease"
            assert harness.now < run_by, "commanded after the key lease expired"
        run(rpc, idempotent)

    harness.core.pool.run = checked_run


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_key_leases_and_no_lease_outlives_its_rpc(seed):
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
    assert running.issuperset(gate.held)  # no key lease is held for a completed RPC
    assert set(replicas.held) == {key for key, _ in gate.held.values()}


def answer_one_keyed(status, is_retry=False, run_within_ms=1000, result=b"there"):
    """Answer the key lease request of one RPC with `status`; None: don't answer it.

    Return the outcome of the RPC, whether it ran, and by how many microseconds it was answered late.
    """
    harness = plain_harness(key_leases=lambda effect_buffer: KeyLeaseGate(effect_buffer, 20 * SECOND))
    name = harness.dispatchers.submit(harness.dispatchers.open(), 1, **({"r": "1"} if is_retry else {}))
    harness.step(MS)
    (acquire_input,) = harness.key_lease_inputs
    request = acquire_input.keys[0]
    assert not harness.pool.runs, "it ran before its key lease was granted"
    if status is not None:
        harness.feed(fleet_input(LeaseAnswer(request.key, status, result, harness.now + run_within_ms * MS)))
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


def test_the_answer_to_a_key_lease_request_determines_what_the_caller_receives():
    assert answer_one_keyed(LeaseStatus.GRANTED)[:2] == (None, True)
    assert answer_one_keyed(LeaseStatus.HELD)[:2] == ("failed", False)
    assert answer_one_keyed(LeaseStatus.FAILED)[0] == "failed"
    assert answer_one_keyed(LeaseStatus.UNAVAILABLE)[0] == "rejected", "a first attempt never ran"
    assert answer_one_keyed(LeaseStatus.UNAVAILABLE, is_retry=True)[0] == "failed", (
        "an earlier attempt may have run elsewhere"
    )
    assert answer_one_keyed(LeaseStatus.GRANTED, run_within_ms=0)[:2] == ("rejected", False), (
        "the key lease arrives expired"
    )
    outcome, ran, late_us = answer_one_keyed(None)
    assert outcome == "rejected", "no replica answers"
    assert not ran, "no replica answers"
    assert late_us <= 0, "answered after its due time"


def test_the_result_of_a_run_on_another_node_is_returned():
    harness = plain_harness(key_leases=lambda effect_buffer: KeyLeaseGate(effect_buffer, 20 * SECOND))
    replies = []
    harness.dispatchers.on_reply = lambda connection, data: replies.append(read_answer(data))
    harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    key = harness.key_lease_inputs[0].keys[0].key
    harness.feed(fleet_input(LeaseAnswer(key, LeaseStatus.COMPLETED, b"there", 0)))
    assert b"there" in str(replies).encode()
    assert not harness.pool.runs
