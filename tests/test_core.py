"""The core without sockets: seeded random runs, rules checked at every step; drain; nothing is kept."""

import random

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.node.inputs import Drain
from tests.core_cases import GAUGES, outcome_of, plain_harness, start_run
from tests.core_harness import MS, CoreHarness
from tests.harness import draw_settings
from tests.random_core_runs import act_randomly, run_randomly


@pytest.mark.parametrize("seed", [*range(20), 2008])  # 2008: an idempotent run starts again as it ends
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES}, seed, cached_results_bytes=rng.choice((60, 10_000))
    )
    assert "ok" in run_randomly(harness, rng, rng.choice((None, 320)))


def test_draining_tells_the_registry_at_once_and_ends_when_nothing_is_left():
    harness = plain_harness()
    name = start_run(harness, 1)
    harness.drain_notice_at = harness.now
    harness.feed(Drain())
    assert harness.reports[-1] == (harness.now, b"HERE n1 off")
    harness.pool.end_run(name, Outcome.OK)
    for _ in range(400):
        if not harness.ended:
            harness.step(10 * MS)
    assert outcome_of(harness, name) == "ok"
    assert harness.ended
    assert harness.now < harness.drain_notice_at + harness.limits.stop_timeout_us + 100 * MS


def test_nothing_is_kept_once_all_windows_are_over():
    harness, rng = plain_harness(), random.Random(4)
    for _ in range(400):
        harness.step(10 * MS)
        act_randomly(harness, rng, 2)
    harness.pool.accepts = harness.store.accepts = True
    for _ in range(3000):
        harness.step(10 * MS)
        for name in list(harness.pool.active_runs):
            harness.pool.end_run(name, Outcome.OK)
    core = harness.core
    assert len(harness.dispatchers.attempts) > 100
    for piece, kept in (
        (core.lifecycle, ("rpcs", "index_by_name")),
        (core.idempotency, ("entries", "with_result")),
        (core.store, ("connections",)),
        (core.pool.polls, ("pending_timers",)),
        (core.pool.commands, ("unconfirmed",)),
    ):
        for name in kept:
            assert not getattr(piece, name), name
    assert all(harness.connections[link] != "closed" for link in core.effect_buffer.connection_owners)
    assert not core.controller.state.table.active
    assert len(core.effect_buffer.timers) < 12 + 2 * len(harness.frontend.table.connections)
