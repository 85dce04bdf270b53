"""Tests of the core without sockets: invariants in seeded random runs, drain, and release of all state."""

import random

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.node.inputs import Drain
from tests.core_cases import GAUGES, outcome_of, plain_harness, start_run
from tests.core_harness import MS, CoreHarness
from tests.harness import draw_settings
from tests.random_core_runs import act_randomly, run_randomly


@pytest.mark.parametrize("seed", [*range(20), 2008])  # 2008: an idempotent run is restarted when it ends
def test_invariants_hold_in_random_runs(seed):
    rng = random.Random(seed)
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES}, seed, cached_results_bytes=rng.choice((60, 10_000))
    )
    assert "ok" in run_randomly(harness, rng, rng.choice((None, 320)))


def test_drain_reports_to_the_registry_immediately_and_ends_the_node_once_it_is_idle():
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


def test_all_state_is_released_once_all_key_windows_are_over():
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
    for component, attributes in (
        (core.lifecycle, ("rpcs", "index_by_name")),
        (core.idempotency, ("entries", "with_result")),
        (core.store, ("connections",)),
        (core.pool.polls, ("pending_timers",)),
        (core.pool.commands, ("unconfirmed",)),
    ):
        for name in attributes:
            assert not getattr(component, name), name
    assert all(harness.connections[number] != "closed" for number in core.effect_buffer.connection_owners)
    assert not core.controller.state.table.active
    assert len(core.effect_buffer.timers) < 12 + 2 * len(harness.frontend.table.connections)
