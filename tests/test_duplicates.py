"""Duplicates of an RPC: attempts with an idempotency key that is known."""

from dataclasses import replace

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    CommandRejected,
)
from tests.core_cases import end_run_with_success, outcome_of, plain_harness, run_with_duplicate, start_run
from tests.core_harness import MS


def test_a_duplicate_shares_the_result_unchanged_and_never_runs():
    harness = plain_harness()
    first, second = run_with_duplicate(harness, Outcome.OK)
    third = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    assert [outcome_of(harness, name) for name in (first, second, third)] == ["ok"] * 3
    assert list(harness.pool.runs) == [first]


def test_a_duplicate_of_what_failed_fails():
    harness = plain_harness()
    first, second = run_with_duplicate(harness, Outcome.ERROR)
    assert (outcome_of(harness, first), outcome_of(harness, second), list(harness.pool.runs)) == (
        "failed",
        "failed",
        [first],
    )


def test_a_retry_that_arrived_in_the_window_is_known_when_it_is_read_after_it():
    harness = plain_harness()
    first = start_run(harness, 1)
    harness.pool.end_run(first, Outcome.OK)
    harness.step(MS)
    harness.step(5_100 * MS)
    reached = harness.now
    harness.step(300 * MS)
    late = harness.dispatchers.submit(harness.dispatchers.open(), 1, first, waited=harness.now - reached)
    harness.step(MS)
    assert outcome_of(harness, late) == "ok"
    assert list(harness.pool.runs) == [first]
    harness.step(6_000 * MS)
    anew = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    harness.step(MS)
    assert anew in harness.pool.runs


def test_a_key_with_another_body_shares_nothing_and_what_the_pool_does_not_know_keeps_no_key():
    harness = plain_harness()
    first = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    other = harness.dispatchers.open()
    harness.step(MS)
    harness.dispatchers.attempts["x"] = replace(harness.dispatchers.attempts[first], body=b"other")
    for link in (other, harness.dispatchers.connection_count):
        harness.dispatchers.submit(link, 1, "x", r="1")
    harness.step(MS)
    harness.pool.end_run(first, Outcome.OK)
    harness.step(MS)
    assert [each.outcome for each in harness.dispatchers.attempts.values() if each.body == b"other"][1:] == [
        "failed"
    ] * 2
    odd, done = (
        harness.dispatchers.submit(harness.dispatchers.open(), 1),
        harness.core.controller.state.slowdown.work_completed,
    )
    harness.step(0)
    harness.commands.clear()
    harness.deliver(harness.pool.connection, CommandRejected(True, odd))
    harness.step(0)
    assert outcome_of(harness, odd) == "failed"
    assert harness.core.controller.state.slowdown.work_completed == done
    true = harness.dispatchers.submit(harness.dispatchers.open(), 1, odd)
    harness.step(MS)
    harness.step(MS)
    end_run_with_success(harness, true)


def test_an_attempt_stamped_ahead_of_the_clock_is_admitted_as_new():
    harness = plain_harness()
    name = harness.dispatchers.submit(harness.dispatchers.open(), waited=-80 * MS)
    harness.step(MS)
    harness.step(MS)
    end_run_with_success(harness, name)
