"""The limits of the fleet, as a node's core applies them."""

import random

import pytest

from finchcart.node.inputs import AllocationGranted
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.limiters import RateLimiter, RpcConcurrencyLimiter
from finchcart.quota.limits import Limit
from tests.core_cases import GAUGES, plain_harness
from tests.core_harness import MS, CoreHarness
from tests.harness import draw_settings
from tests.random_core_runs import run_randomly, runs_in_progress_at_end


def limits_by_chance(rng):
    """One limit of the fleet of each kind, and what this node is given of each, now and then."""
    limits = (
        Limit("calls", 40, 1),
        Limit("calls a second", 200, 1, per="rate", burst=20),
        Limit("in hand", 20, counts="rpcs", mode="loose"),
        Limit("a second", 100, 2, counts="rpcs", per="rate", burst=30, method="m0"),
        Limit("of one", 60, counts="rpcs", per="rate", burst=30, mode="loose", dispatcher="3"),
    )
    return LimiterSet(rng.sample(limits, rng.randint(1, 5)), 20 * MS, 10)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_limits_of_the_fleet(seed, meddle=lambda meters, harness: None):
    rng = random.Random(seed)
    meters = limits_by_chance(rng)
    harness = CoreHarness({**draw_settings(rng), **GAUGES}, seed, limiters=meters)
    meddle(meters, harness)
    taken = {
        meter: [0.0, harness.now] for meter in meters.all if isinstance(meter, RateLimiter)
    }  # its bucket's level
    for meter, bucket in taken.items():
        take = meter.try_acquire

        def took(rpc=None, take=take, meter=meter, bucket=bucket):
            got = take(rpc)
            if got:
                limit = meter.limit
                bucket[0] = max(0.0, bucket[0] - (harness.now - bucket[1]) * limit.amount / 1e6) + 1
                bucket[1] = harness.now
                assert bucket[0] <= limit.burst + 1e-6, "more than the burst and what the rate gives"
            return got

        meter.try_acquire = took
    step = harness.step

    def stepped(dt):
        step(dt)
        if rng.random() < 0.1 and not harness.ended:
            meter = rng.choice(meters.all)
            limit = meter.limit
            harness.feed(
                AllocationGranted(
                    limit.name,
                    limit.floor,
                    rng.randint(0, limit.amount - 10),
                    harness.now + rng.randint(0, 3000) * MS,
                )
            )
        for meter in meters.rpcs:
            if isinstance(meter, RpcConcurrencyLimiter):
                counted = sum(meter in (rpc.counted_by or ()) for rpc in harness.core.lifecycle.rpcs.values())
                assert meter.count == counted, "counted and not in hand"
                assert all(
                    not rpc.completed and (rpc.response_pending or rpc.started)
                    for rpc in harness.core.lifecycle.rpcs.values()
                    if rpc.counted_by
                )

    harness.step = stepped
    run_randomly(harness, rng)
    running = runs_in_progress_at_end(harness)
    for meter in meters.rpcs:  # what may be running at the end is counted, and nothing else
        counted = sum(meter in (rpc.counted_by or ()) for rpc in running)
        assert not isinstance(meter, RpcConcurrencyLimiter) or meter.count == counted


def not_counted_out(meters, harness):
    harness.core.lifecycle.release_limits = lambda rpc: None


def test_a_planted_defect_is_found_rpcs_that_are_not_counted_out():
    with pytest.raises(AssertionError):
        for seed in range(6):
            test_rules_hold_with_limits_of_the_fleet(seed, not_counted_out)


def test_an_rpc_over_a_limit_of_the_fleet_is_rejected_at_once_with_when_to_retry():
    meters = LimiterSet(
        (Limit("a second", 50, 0, counts="rpcs", per="rate", burst=10, dispatcher="3"),), 0, 10
    )
    harness = plain_harness(limiters=meters, retry_after_max=1000 * MS)
    link = harness.dispatchers.open()
    harness.feed(AllocationGranted("a second", 0, 10, harness.now + 10**9))
    harness.step(MS)
    harness.step(100 * MS)
    first = harness.dispatchers.submit(link)
    harness.step(MS)
    second = harness.dispatchers.submit(link)
    harness.step(MS)
    other = harness.dispatchers.submit(link, f="4")
    harness.step(MS)
    how = [harness.dispatchers.attempts[name].outcome for name in (first, second, other)]
    assert how[1] == "rejected", "of that dispatcher alone"
    assert "rejected" not in (how[0], how[2]), "of that dispatcher alone"
    for _ in range(20):
        harness.step(40 * MS)
    assert any(name == "a second" and wants > 0 for name, _, wants, _ in harness.usage), "its demand is told"


def test_a_part_of_a_limit_is_kept_for_what_matters_more():
    meters = LimiterSet((Limit("in hand", 50, counts="rpcs", mode="loose"),), 0, 10)
    settings = {
        "methods.count": 2,
        "methods.1.name": "m1",
        "methods.1.kind": "idempotent",
        "methods.1.criticality": 9,
        "methods.1.latency_target": 1000 * MS,
        "methods.1.deadline": 3000 * MS,
        "method_calls": (False, False),
        "degraded_value": (0.0, 0.0),
        "cores": 64,
    }
    harness = plain_harness(limiters=meters, **settings)
    links = [harness.dispatchers.open() for _ in range(3)]
    harness.feed(AllocationGranted("in hand", 0, 40, harness.now + 10**9))
    names = [harness.dispatchers.submit(links[n % 2]) for n in range(45)]
    harness.step(MS)
    names += [harness.dispatchers.submit(links[2], 1) for _ in range(5)]
    harness.step(MS)
    lesser, more = (
        [harness.dispatchers.attempts[name].outcome for name in part].count("rejected")
        for part in (names[:45], names[45:])
    )
    assert (lesser, more) == (7, 3), "two of forty are kept free of the lesser ones"
