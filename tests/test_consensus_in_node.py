"""A node that applies the consensus of the fleet: the core and the decision module."""

import random

import pytest

from finchcart.consensus import subjects
from finchcart.consensus.config import SECOND
from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.subjects import (
    SubjectKind,
)
from finchcart.decisions.rpc import RpcState
from finchcart.node.fleet_inputs import fleet_input
from finchcart.node.inputs import MessagesReceived
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.observer import NodeObserver
from finchcart.protocol.messages import HeartbeatCall
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.limits import Limit
from tests.consensus_examples import BAD_SOURCE, BLOCKED, CONFIG, DOWN, GOOD_SOURCE, SLOW, THROTTLED, WORKING
from tests.core_cases import GAUGES, plain_harness
from tests.core_harness import CoreHarness
from tests.decision_runs import PLAIN, apply_random_events
from tests.harness import MS, SimulatedNode, draw_settings
from tests.random_core_runs import run_randomly


def harness_with_consensus(**settings):
    """Return a harness with an observer, whose node may make one probe call at a time without an expiry."""
    limiters = LimiterSet((Limit("trial", 4, counts="trial", mode="loose"),), 20 * MS, 10)
    limiters.recovery_step_us, limiters.probe_timeout_us = CONFIG.recovery_step, CONFIG.probe_timeout
    harness = plain_harness(limiters, NodeObserver(CONFIG), **settings)
    harness.feed(fleet_input(LimitAllowance("trial", 0, 1, harness.now + 10**12)))
    return harness


def apply_consensus(harness, **changed):
    good = DecisionsChanged(WORKING, sources={}, is_ejected=False, minimum_level=0.0)
    harness.feed(fleet_input(good._replace(**changed)))


def test_a_store_that_is_down_gets_only_probe_calls_and_the_capacity_doubles_once_it_is_up():
    harness = harness_with_consensus(cores=64, overload_factor=64, calls_limit=100.0)

    def capacity():
        return harness.limiters.call_capacity(harness.core.store)

    assert capacity() is None
    apply_consensus(harness, store=DOWN)
    assert capacity() == 1
    assert harness.limiters.acquire_call(harness.core.store)[1] == CONFIG.probe_timeout
    harness.feed(fleet_input(LimitAllowance("trial", 0, 0, harness.now + 10**12)))
    assert capacity() == 0
    assert harness.limiters.acquire_call(harness.core.store) is None
    apply_consensus(harness)
    capacities = []
    for _ in range(4):
        harness.limiters.set_clock(harness.now)
        capacities.append(capacity())
        harness.now += CONFIG.recovery_step
    assert capacities == [1, 2, 4, 8], "the capacity must grow step by step"
    harness.now += 20 * CONFIG.recovery_step
    harness.limiters.set_clock(harness.now)
    assert capacity() is None


def test_unreadable_and_silent_connections_count_against_the_address_and_not_the_dispatcher():
    harness = harness_with_consensus()
    harness.dispatchers.submit(harness.dispatchers.open("10.0.0.7"), 1, c="unheard")
    silent, health_check, told_to_close = (
        harness.dispatchers.open("10.0.0.7"),
        harness.dispatchers.open("10.0.0.8"),
        harness.dispatchers.open("10.0.0.9"),
    )
    harness.deliver(health_check, HeartbeatCall(1))
    harness.feed(MessagesReceived(told_to_close, [], harness.now))
    harness.frontend.closer.announce(harness.frontend.table.connections[told_to_close])
    for _ in range(60):
        harness.step(40 * MS)
    invalid = {}
    for evidence in harness.evidence:
        for subject, (count, _, _) in evidence.sources.items():
            invalid[subject] = invalid.get(subject, 0) + count
    assert silent, "the silent connection was not opened"
    assert invalid == {BAD_SOURCE: 2}, "a health check or a connection that was told to close is counted"


def test_a_blocked_source_is_rejected_at_once_and_a_throttled_one_beyond_its_rate():
    harness = harness_with_consensus(retry_after_max=1000 * MS, cores=64, overload_factor=64)
    apply_consensus(
        harness,
        sources={
            BAD_SOURCE: BLOCKED,
            subjects.make_subject(SubjectKind.DISPATCHER, 5): BLOCKED,
            GOOD_SOURCE: THROTTLED,
        },
    )
    names = [
        harness.dispatchers.submit(harness.dispatchers.open("10.0.0.7")),
        harness.dispatchers.submit(harness.dispatchers.open("10.0.0.9"), f="5"),
        harness.dispatchers.submit(harness.dispatchers.open("10.0.0.9")),
    ]
    connection = harness.dispatchers.open("10.0.0.8")
    names += [harness.dispatchers.submit(connection) for _ in range(8)]
    harness.step(MS)
    outcomes = [harness.dispatchers.attempts[name].outcome for name in names]
    assert outcomes[:3] == ["rejected", "rejected", None]
    assert outcomes[3:].count("rejected") == 8 - CONFIG.throttled_rate
    assert not harness.pool.runs.keys() & {names[0], names[1]}, "a rejected RPC ran"


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_in_the_core_while_the_consensus_changes(seed):
    rng = random.Random(seed)
    limiters = LimiterSet(
        (Limit("trial", 4, counts="trial", mode="loose"), Limit("calls", 40, 1)), 20 * MS, 10
    )
    limiters.recovery_step_us, limiters.probe_timeout_us = CONFIG.recovery_step, CONFIG.probe_timeout
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES}, seed, limiters=limiters, observer=NodeObserver(CONFIG)
    )
    step = harness.step

    def step_and_change_consensus(elapsed_us):
        step(elapsed_us)
        if rng.random() < 0.05 and not harness.ended:
            source = subjects.source_subject("127.0.0.1")
            apply_consensus(
                harness,
                store=rng.choice((WORKING, SLOW, DOWN)),
                minimum_level=rng.choice((0.0, 0.0, 0.3, 0.9)),
                is_ejected=rng.random() < 0.2,
                sources=rng.choice(({}, {}, {source: THROTTLED}, {source: BLOCKED})),
            )
        if rng.random() < 0.05 and not harness.ended:
            name = rng.choice(("trial", "calls"))
            harness.feed(fleet_input(LimitAllowance(name, 0, rng.randrange(3), harness.now + SECOND)))

    harness.step = step_and_change_consensus
    run_randomly(harness, rng)
    assert harness.evidence


@pytest.mark.parametrize("seed", range(8))
def test_rules_hold_in_the_decision_module_with_random_consensus(seed):
    rng = random.Random(seed)
    settings = {**draw_settings(rng), "memory_kb": 200_000}
    node = SimulatedNode(settings, seed)
    for _ in range(500):
        if rng.random() < 0.05:
            node.fleet_gauges = rng.choice(
                (
                    {},
                    {"dependency_down": True, "call_capacity": rng.randrange(3)},
                    {"min_shed_level": rng.random()},
                    {"ejected": True},
                )
            )
        node.step(node.settings["tick"] * rng.randint(1, 4))
        node.check()
        apply_random_events(node, rng, rng.choice((2, 6)))
    assert node.count > 100


def test_the_decision_module_rejects_rpcs_that_need_a_store_that_is_down_and_applies_the_fleets_shed_level():
    node = SimulatedNode({**PLAIN, "cores": 8, "method_calls": (True, True), "degraded_value": (0.0, 0.5)})
    node.fleet_gauges = {"dependency_down": True, "call_capacity": 1}
    node.step(40 * MS)
    probing, rejected, degraded = node.arrive(0), node.arrive(0), node.arrive(1)
    states = [node.rpcs[index].state for index in (probing, rejected, degraded)]
    expected = [RpcState.RUNNING, RpcState.COMPLETED, RpcState.RUNNING]
    assert states == expected, (
        "one probe call is allowed; a method with a degraded value runs without its call"
    )
    node.fleet_gauges = {"min_shed_level": 1.0, "ejected": True}
    node.step(40 * MS)
    assert not node.healthy
    assert node.control.control_loop.feedback.published == 1.0
    assert node.rpcs[node.arrive(0)].state is RpcState.COMPLETED, (
        "the RPC must be rejected although cores are free"
    )
    node.fleet_gauges = {}
    node.step(40 * MS)
    assert node.healthy
    assert node.control.control_loop.feedback.published == 0.0
