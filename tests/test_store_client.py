"""The store client in a core: calls, their replies and their connections."""

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    StoreReply,
)
from tests.core_cases import outcome_of, plain_harness, start_call, start_run
from tests.core_harness import MS


def test_a_late_reply_to_an_abandoned_call_is_not_taken_for_the_reply_to_the_next_call():
    harness = plain_harness(**{"methods.0.kind": "idempotent", "degraded_value": (0.0, 0.0)})
    name = start_run(harness)
    harness.pool.block_at_call(name)
    harness.step(MS)
    harness.step(MS)
    ((first, calls),) = [(connection, calls) for connection, calls in harness.store.calls.items() if calls]
    body = calls[name]
    harness.core.effect_buffer.schedule(
        harness.now, harness.core.store.time_out, harness.core.lifecycle.rpcs[0], 1
    )  # its timeout, earlier than due
    for _ in range(3):
        harness.step(MS)
    ((second, calls),) = [(connection, calls) for connection, calls in harness.store.calls.items() if calls]
    assert second != first
    assert harness.connections[first] == "closed"
    harness.deliver(first, StoreReply(name, Outcome.OK, body))
    harness.step(MS)
    assert harness.pool.runs[name].state == "blocked"
    harness.store.reply(second, name, Outcome.OK)
    harness.step(MS)
    harness.step(MS)
    assert harness.pool.runs[name].state == "running"


def test_a_corrupt_reply_fails_only_its_own_call_and_its_connection_carries_no_further_call():
    harness = plain_harness(cores=8, calls_limit=20, degraded_value=(0.5, 0.0))
    names = [start_run(harness) for _ in range(3)]
    for name in names:
        harness.pool.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    connections = {name: connection for connection, calls in harness.store.calls.items() for name in calls}
    assert len(set(connections.values())) == 3
    unreadable, with_extra_reply, good = names
    harness.lose_connection(connections[unreadable], "noise")
    for name, has_extra_reply in ((with_extra_reply, True), (good, False)):
        body = harness.store.calls[connections[name]].pop(name)
        harness.store.replies[name] = body
        if has_extra_reply:
            harness.deliver(connections[name], StoreReply("f" * 16, Outcome.OK, b"another's"))
        harness.deliver(connections[name], StoreReply(name, Outcome.OK, body))
    for _ in range(3):
        harness.step(MS)
    assert [harness.pool.runs[name].state for name in names] == ["blocked", "running", "running"]
    assert harness.connections[connections[with_extra_reply]] == "closed"
    assert harness.connections[connections[good]] == "open"
    # A duplicate of the first reply may still arrive, so the second call of the RPC uses another connection.
    harness.pool.block_at_call(good)
    harness.pool.block_at_call(with_extra_reply)
    for _ in range(3):
        harness.step(MS)
    (connection,) = [connection for connection, calls in harness.store.calls.items() if good in calls]
    assert connection != connections[good]


def test_an_idle_connection_is_closed_before_the_store_closes_it():
    harness = plain_harness()
    name, connection = start_call(harness)
    harness.store.reply(connection, name, Outcome.OK)
    for _ in range(90):
        harness.step(10 * MS)
    assert harness.connections[connection] == "open"
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.connections[connection] == "closed"
    assert not harness.core.store.connections


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT])
def test_a_call_that_is_not_idempotent_is_not_repeated_if_it_may_have_been_executed(outcome):
    harness = plain_harness()
    name, connection = start_call(harness, 1)
    harness.store.reply(connection, name, outcome)
    for _ in range(5):
        harness.step(MS)
    assert outcome_of(harness, name) == "failed"
    assert not any(harness.store.calls.values())
