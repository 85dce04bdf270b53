"""Common first steps of tests of a core with simulated peers: start, run, call and duplicate."""

from finchcart.decisions.outcome import Outcome
from tests.core_harness import MS, CoreHarness
from tests.decision_runs import PLAIN

GAUGES = {"gauges": ("core_use", "on_cores")}


def plain_harness(limiters=None, observer=None, key_leases=None, **settings):
    harness = CoreHarness(
        {**PLAIN, **GAUGES, **settings}, limiters=limiters, observer=observer, key_leases=key_leases
    )
    harness.step(MS)
    harness.step(MS)
    assert harness.core.controller is not None
    return harness


def start_run(harness, n=0):
    """Submit an attempt and return its name once it runs."""
    name = harness.dispatchers.submit(harness.dispatchers.open(), n)
    harness.step(MS)
    harness.step(MS)
    assert harness.pool.runs[name].state == "running"
    return name


def end_run_with_success(harness, name):
    harness.pool.end_run(name, Outcome.OK)
    harness.step(MS)
    assert outcome_of(harness, name) == "ok"


def start_call(harness, n=0):
    """Submit an attempt; return its name once its run awaits a call, and the connection of that call."""
    name = start_run(harness, n)
    harness.pool.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    ((connection, _),) = [(connection, calls) for connection, calls in harness.store.calls.items() if calls]
    return name, connection


def run_with_duplicate(harness, outcome):
    """Run an attempt to `outcome`, with a duplicate that arrives meanwhile; return the names of both."""
    first = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    second = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    harness.pool.end_run(first, outcome)
    harness.step(MS)
    return first, second


def outcome_of(harness, name):
    return harness.dispatchers.attempts[name].outcome
