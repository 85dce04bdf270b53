"""The limits of the fleet, as the core of a node enforces them."""

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


def random_limiters(rng):
    """Return limiters for a random selection of limits, with at most one limit of each kind."""
    limits = (
        Limit("calls", 40, 1),
        Limit("calls a second", 200, 1, per="rate", burst=20),
        Limit("in hand", 20, counts="rpcs", mode="loose"),
        Limit("a second", 100, 2, counts="rpcs", per="rate", burst=30, method="m0"),
        Limit("of one", 60, counts="rpcs", per="rate", burst=30, mode="loose", dispatcher="3"),
    )
    return LimiterSet(rng.sample(limits, rng.randint(1, 5)), 20 * MS, 10)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_limits_of_the_fleet(seed, plant_defect=lambda limiters, harness: None):
    rng = random.Random(seed)
    limiters = random_limiters(rng)
    harness = CoreHarness({**draw_settings(rng), **GAUGES}, seed, limiters=limiters)
    plant_defect(limiters, harness)
    # Per rate limiter the level of a bucket that acquisitions fill, and the time of its last update.
    buckets = {limiter: [0.0, harness.now] for limiter in limiters.all if isinstance(limiter, RateLimiter)}
    for limiter, bucket in buckets.items():
        try_acquire = limiter.try_acquire

        def checked_try_acquire(rpc=None, try_acquire=try_acquire, limiter=limiter, bucket=bucket):
            acquired = try_acquire(rpc)
            if acquired:
                limit = limiter.limit
                bucket[0] = max(0.0, bucket[0] - (harness.now - bucket[1]) * limit.amount / 1e6) + 1
                bucket[1] = harness.now
                assert bucket[0] <= limit.burst + 1e-6, "more than the burst and the rate allow"
            return acquired

        limiter.try_acquire = checked_try_acquire
    step = harness.step

    def step_and_check(elapsed_us):
        step(elapsed_us)
        if rng.random() < 0.1 and not harness.ended:
            limiter = rng.choice(limiters.all)
            limit = limiter.limit
            harness.feed(
                AllocationGranted(
                    limit.name,
                    limit.floor,
                    rng.randint(0, limit.amount - 10),
                    harness.now + rng.randint(0, 3000) * MS,
                )
            )
        for limiter in limiters.rpcs:
            if isinstance(limiter, RpcConcurrencyLimiter):
                counted = sum(
                    limiter in (rpc.counted_by or ()) for rpc in harness.core.lifecycle.rpcs.values()
                )
                assert limiter.count == counted, "the limiter's count differs from the RPCs that it counts"
                assert all(
                    not rpc.completed and (rpc.response_pending or rpc.started)
                    for rpc in harness.core.lifecycle.rpcs.values()
                    if rpc.counted_by
                )

    harness.step = step_and_check
    run_randomly(harness, rng)
    running = runs_in_progress_at_end(harness)
    # After the last step, a concurrency limiter counts exactly those of its RPCs that may still be running.
    for limiter in limiters.rpcs:
        counted = sum(limiter in (rpc.counted_by or ()) for rpc in running)
        assert not isinstance(limiter, RpcConcurrencyLimiter) or limiter.count == counted


def never_release_limits(limiters, harness):
    harness.core.lifecycle.release_limits = lambda rpc: None


def test_a_planted_defect_is_found_if_completed_rpcs_stay_counted():
    with pytest.raises(AssertionError):
        for seed in range(6):
            test_rules_hold_with_limits_of_the_fleet(seed, never_release_limits)


def test_an_rpc_over_a_limit_of_its_dispatcher_is_rejected_at_once_and_its_demand_published():
    limiters = LimiterSet(
        (Limit("a second", 50, 0, counts="rpcs", per="rate", burst=10, dispatcher="3"),), 0, 10
    )
    harness = plain_harness(limiters=limiters, retry_after_max=1000 * MS)
    connection = harness.dispatchers.open()
    harness.feed(AllocationGranted("a second", 0, 10, harness.now + 10**9))
    harness.step(MS)
    harness.step(100 * MS)
    first = harness.dispatchers.submit(connection)
    harness.step(MS)
    second = harness.dispatchers.submit(connection)
    harness.step(MS)
    other = harness.dispatchers.submit(connection, f="4")
    harness.step(MS)
    outcomes = [harness.dispatchers.attempts[name].outcome for name in (first, second, other)]
    assert outcomes[1] == "rejected", "the limit holds for that dispatcher"
    assert "rejected" not in (outcomes[0], outcomes[2]), "the limit holds for that dispatcher only"
    for _ in range(20):
        harness.step(40 * MS)
    assert any(name == "a second" and demand > 0 for name, _, demand, _ in harness.usage), (
        "its demand is not published"
    )


def test_a_part_of_a_limit_is_reserved_for_more_critical_methods():
    limiters = LimiterSet((Limit("in hand", 50, counts="rpcs", mode="loose"),), 0, 10)
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
    harness = plain_harness(limiters=limiters, **settings)
    connections = [harness.dispatchers.open() for _ in range(3)]
    harness.feed(AllocationGranted("in hand", 0, 40, harness.now + 10**9))
    names = [harness.dispatchers.submit(connections[n % 2]) for n in range(45)]
    harness.step(MS)
    names += [harness.dispatchers.submit(connections[2], 1) for _ in range(5)]
    harness.step(MS)
    less_critical, more_critical = (
        [harness.dispatchers.attempts[name].outcome for name in part].count("rejected")
        for part in (names[:45], names[45:])
    )
    assert (less_critical, more_critical) == (7, 3), "two of forty are reserved for the more critical method"
