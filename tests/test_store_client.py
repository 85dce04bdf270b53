"""The store's client in a core: calls, their replies and their connections."""

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    StoreReply,
)
from tests.core_cases import outcome_of, plain_harness, start_call, start_run
from tests.core_harness import MS


def test_a_call_made_after_an_abandoned_one_goes_where_no_late_reply_can_pass_for_its_own():
    harness = plain_harness(**{"methods.0.kind": "idempotent", "degraded_value": (0.0, 0.0)})
    name = start_run(harness)
    harness.pool.block_at_call(name)
    harness.step(MS)
    harness.step(MS)
    ((first, calls),) = [(link, calls) for link, calls in harness.store.calls.items() if calls]
    body = calls[name]
    harness.core.effect_buffer.schedule(
        harness.now, harness.core.store.time_out, harness.core.lifecycle.rpcs[0], 1
    )  # its time limit comes early
    for _ in range(3):
        harness.step(MS)
    ((second, calls),) = [(link, calls) for link, calls in harness.store.calls.items() if calls]
    assert second != first
    assert harness.connections[first] == "closed"
    harness.deliver(first, StoreReply(name, Outcome.OK, body))
    harness.step(MS)
    assert harness.pool.runs[name].state == "blocked"
    harness.store.reply(second, name, Outcome.OK)
    harness.step(MS)
    harness.step(MS)
    assert harness.pool.runs[name].state == "running"


def test_a_corrupt_reply_costs_its_own_call_and_its_connection_takes_no_further():
    harness = plain_harness(cores=8, calls_limit=20, degraded_value=(0.5, 0.0))
    names = [start_run(harness) for _ in range(3)]
    for name in names:
        harness.pool.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    links = {name: link for link, calls in harness.store.calls.items() for name in calls}
    assert len(set(links.values())) == 3
    spoilt, odd, good = names
    harness.lose_connection(links[spoilt], "noise")
    for name, more in ((odd, True), (good, False)):
        body = harness.store.calls[links[name]].pop(name)
        harness.store.replies[name] = body
        if more:
            harness.deliver(links[name], StoreReply("f" * 16, Outcome.OK, b"another's"))
        harness.deliver(links[name], StoreReply(name, Outcome.OK, body))
    for _ in range(3):
        harness.step(MS)
    assert [harness.pool.runs[name].state for name in names] == ["blocked", "running", "running"]
    assert harness.connections[links[odd]] == "closed"
    assert harness.connections[links[good]] == "open"
    harness.pool.block_at_call(
        good
    )  # a second call of the same RPC: not where a copy of its first reply may come
    harness.pool.block_at_call(odd)
    for _ in range(3):
        harness.step(MS)
    (link,) = [link for link, calls in harness.store.calls.items() if good in calls]
    assert link != links[good]


def test_an_idle_store_connection_is_closed_before_the_store_does_it():
    harness = plain_harness()
    name, link = start_call(harness)
    harness.store.reply(link, name, Outcome.OK)
    for _ in range(90):
        harness.step(10 * MS)
    assert harness.connections[link] == "open"
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.connections[link] == "closed"
    assert not harness.core.store.connections


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT])
def test_a_call_of_an_effect_is_not_repeated_without_proof(outcome):
    harness = plain_harness()
    name, link = start_call(harness, 1)
    harness.store.reply(link, name, outcome)
    for _ in range(5):
        harness.step(MS)
    assert outcome_of(harness, name) == "failed"
    assert not any(harness.store.calls.values())
