"""Seeded random runs of a simulated node, with its four rules checked after every step.

tests/harness.py describes the rules.
"""

import random

import pytest

from finchcart.decisions.rpc import RpcState
from tests.decision_runs import PLAIN, apply_random_events, draw_pausing_settings
from tests.harness import MS, SimulatedNode, draw_settings


@pytest.mark.parametrize("seed", [*range(40), 41, 44, 47, 50, 51])  # from 41 on, runs are paused and resumed
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    pauses = seed >= 40
    settings = draw_pausing_settings(rng) if pauses else draw_settings(rng)
    node = SimulatedNode(settings, seed)
    load = 2 if pauses else rng.choice((2, 6, 40))
    drain_at = rng.randint(150, 650)
    for step in range(700):
        node.step(node.settings["tick"] * rng.randint(1, 4), stalled=rng.random() < 0.01)
        node.check()
        if node.kill_at and node.now >= node.kill_at:
            break
        apply_random_events(node, rng, load)
        if step in (drain_at, drain_at + 20):
            node.kill_at = node.kill_at or node.now + rng.randint(300, 5000) * MS
            node.drained_at = node.drained_at or node.now
            node.control.drain(node.now, node.kill_at)
    assert node.count > 100
    assert not pauses or node.resumed


@pytest.mark.parametrize(
    "extreme",
    [
        {"cores": 1},
        {"calls_limit": 0.3},
        {"calls_window": 0},
        {"overload_window": 0},
        {"overload_factor": 1},
        {"drain_grace": 0},
        {"fresh_start": True, "warm_up": 0},
        {"retry_after_max": 0},
        {"key_entry_kb": 0},
        {"methods.0.criticality": 0},
    ],
)
def test_rules_hold_with_extreme_settings(extreme):
    node = SimulatedNode({**PLAIN, **extreme})
    rng = random.Random(5)
    for _ in range(400):
        node.step(10 * MS)
        node.check()
        apply_random_events(node, rng, 3)
    assert any(rpc.has_run for rpc in node.rpcs.values())


def test_late_runs_are_failed_before_they_are_due():
    node = SimulatedNode(PLAIN)
    index = node.arrive(0)
    for _ in range(1500):
        node.step(2 * MS)
        node.check()
    assert node.rpcs[index].answered
    assert node.rpcs[index].state is RpcState.RUNNING
