"""Tests of duplicates: attempts whose idempotency key the node already knows."""

from dataclasses import replace

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    CommandRejected,
)
from tests.core_cases import end_run_with_success, outcome_of, plain_harness, run_with_duplicate, start_run
from tests.core_harness import MS


def test_a_duplicate_gets_the_same_result_and_never_runs():
    harness = plain_harness()
    first, second = run_with_duplicate(harness, Outcome.OK)
    third = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    assert [outcome_of(harness, name) for name in (first, second, third)] == ["ok"] * 3
    assert list(harness.pool.runs) == [first]


def test_a_duplicate_of_a_failed_attempt_fails():
    harness = plain_harness()
    first, second = run_with_duplicate(harness, Outcome.ERROR)
    assert (outcome_of(harness, first), outcome_of(harness, second), list(harness.pool.runs)) == (
        "failed",
        "failed",
        [first],
    )


def test_a_retry_that_arrived_within_the_window_is_a_duplicate_even_if_read_later():
    harness = plain_harness()
    first = start_run(harness, 1)
    harness.pool.end_run(first, Outcome.OK)
    harness.step(MS)
    harness.step(5_100 * MS)
    arrived_at = harness.now
    harness.step(300 * MS)
    late = harness.dispatchers.submit(harness.dispatchers.open(), 1, first, waited=harness.now - arrived_at)
    harness.step(MS)
    assert outcome_of(harness, late) == "ok"
    assert list(harness.pool.runs) == [first]
    harness.step(6_000 * MS)
    after_window = harness.dispatchers.submit(harness.dispatchers.open(), 1, first)
    harness.step(MS)
    harness.step(MS)
    assert after_window in harness.pool.runs


def test_another_body_with_the_same_key_fails_and_a_command_that_the_pool_rejects_releases_its_key():
    harness = plain_harness()
    first = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    other_connection = harness.dispatchers.open()
    harness.step(MS)
    harness.dispatchers.attempts["x"] = replace(harness.dispatchers.attempts[first], body=b"other")
    for connection in (other_connection, harness.dispatchers.connection_count):
        harness.dispatchers.submit(connection, 1, "x", r="1")
    harness.step(MS)
    harness.pool.end_run(first, Outcome.OK)
    harness.step(MS)
    assert [each.outcome for each in harness.dispatchers.attempts.values() if each.body == b"other"][1:] == [
        "failed"
    ] * 2
    rejected, work_completed = (
        harness.dispatchers.submit(harness.dispatchers.open(), 1),
        harness.core.controller.state.slowdown.work_completed,
    )
    harness.step(0)
    harness.commands.clear()
    harness.deliver(harness.pool.connection, CommandRejected(True, rejected))
    harness.step(0)
    assert outcome_of(harness, rejected) == "failed"
    assert harness.core.controller.state.slowdown.work_completed == work_completed
    retry = harness.dispatchers.submit(harness.dispatchers.open(), 1, rejected)
    harness.step(MS)
    harness.step(MS)
    end_run_with_success(harness, retry)


def test_an_attempt_with_a_timestamp_ahead_of_the_clock_is_admitted():
    harness = plain_harness()
    name = harness.dispatchers.submit(harness.dispatchers.open(), waited=-80 * MS)
    harness.step(MS)
    harness.step(MS)
    end_run_with_success(harness, name)
