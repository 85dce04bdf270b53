"""Plain cases of a core with simulated peers round it: what many tests begin with."""

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
    """Return the name of an attempt that runs."""
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
    """Return the name of an attempt whose run awaits a call, and the connection that carries it."""
    name = start_run(harness, n)
    harness.pool.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    ((connection, _),) = [(connection, calls) for connection, calls in harness.store.calls.items() if calls]
    return name, connection


def run_with_duplicate(harness, outcome):
    """Return the names of an attempt that ends so, and of a duplicate that came while it ran."""
    first = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    second = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    harness.pool.end_run(first, outcome)
    harness.step(MS)
    return first, second


def outcome_of(harness, name):
    return harness.dispatchers.attempts[name].outcome
