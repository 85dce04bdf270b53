"""Tests of dispatchers' connections: invalid messages, idle connections, and when connections are closed."""

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.limits import Limits
from finchcart.node.inputs import Drain
from finchcart.protocol.connection_events import ConnectionEnded, WriteBlocked, WriteResumed
from finchcart.protocol.messages import (
    HeartbeatCall,
    SubmitCall,
    UnservedCall,
)
from finchcart.thrift.binary_protocol import EXCEPTION, STRING
from finchcart.thrift.dispatcher_connections import DispatcherConnectionState
from tests.core_cases import end_run_with_success, outcome_of, plain_harness, start_run
from tests.core_harness import MS
from tests.dispatchers_double import read_answer


def test_no_further_messages_are_read_from_a_dispatcher_that_does_not_read():
    harness = plain_harness()
    connection = harness.dispatchers.open()
    harness.feed(WriteBlocked(connection))
    for _ in range(3):
        harness.deliver(connection, HeartbeatCall(1))
        harness.step(MS)
    assert len(harness.inboxes[connection]) == 2
    harness.feed(WriteResumed(connection))
    harness.step(MS)
    assert not harness.inboxes[connection]


@pytest.mark.parametrize(
    "invalid_field, message",
    [
        ({"c": "unheard"}, "no such method"),
        ({"i": "9"}, "16 hex digits"),
        ({"m": "much"}, "expected a number"),
        ({"m": "nan"}, "expected 0"),
        ({"s": "-5"}, "Unix milliseconds"),
        ({"p": "1e9"}, "expected 0 to under 1"),
        ({"m": "0"}, "expected 0"),
        ({"f": "-3"}, "number of a dispatcher"),
        ({"s": "0"}, "too far"),
        ({"s": "9000000000000"}, "too far"),
        ({"h": "1e9"}, "expected 0"),
        ({"k": ""}, "k is missing"),
        ({"h": "inf"}, "expected 0"),
    ],
)
def test_a_call_with_an_invalid_field_is_answered_with_an_exception_and_never_runs(invalid_field, message):
    harness, answers = plain_harness(), []
    harness.dispatchers.on_reply = lambda connection, data: answers.append(read_answer(data))
    harness.dispatchers.submit(harness.dispatchers.open(), 1, **invalid_field)
    harness.step(MS)
    harness.step(MS)
    ((kind, _, _, args),) = answers
    assert kind == EXCEPTION
    assert message in args[1, STRING].decode()
    assert not harness.pool.runs
    assert not harness.core.controller.state.arrivals.ingress_queueing_delay
    assert not harness.core.controller.state.callers.last_seen


def test_an_oversized_body_an_unknown_method_and_the_33rd_open_rpc_are_answered():
    harness, answers = plain_harness(**{"cores": 40, "memory_kb": 200_000}), []
    connection = harness.dispatchers.open()
    for _ in range(33):
        harness.dispatchers.submit(connection)
    harness.dispatchers.on_reply = lambda connection, data: answers.append(read_answer(data))
    harness.deliver(connection, SubmitCall(40, {"c": "m0"}, b"x" * 2049))
    harness.deliver(connection, UnservedCall(41, "shout"))
    for _ in range(3):
        harness.step(0)
    assert [(kind, seq) for kind, _, seq, _ in answers] == [(2, 33), (3, 40), (3, 41)]


def test_a_sequence_number_in_use_closes_the_connection_once_its_answers_are_sent():
    harness = plain_harness()
    connection = harness.dispatchers.open()
    name = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.deliver(connection, SubmitCall(1, {}, b""))
    harness.step(MS)
    assert connection in harness.frontend.table.connections
    assert harness.connections[connection] == "open"
    harness.pool.end_run(name, Outcome.OK)
    for _ in range(3):
        harness.step(MS)
    assert outcome_of(harness, name) == "ok"
    assert harness.connections[connection] == "closed"


def test_a_connection_that_ends_after_invalid_bytes_still_gets_its_answers():
    harness = plain_harness()
    name = start_run(harness)
    connection = harness.dispatchers.attempts[name].connection
    harness.dispatchers.end_connection(connection, "rubbish")
    harness.feed(ConnectionEnded(connection, None))  # the reader continued to read up to the peer's close
    end_run_with_success(harness, name)
    assert harness.connections[connection] == "closed"


def test_the_close_of_an_idle_connection_is_announced_and_a_crossing_request_is_answered():
    harness = plain_harness()
    connection, answers = harness.dispatchers.open(), []
    name = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.step(MS)
    record_reply = harness.dispatchers.on_reply
    harness.dispatchers.on_reply = lambda connection, data: (
        answers.append(read_answer(data)[1]),
        record_reply(connection, data),
    )
    harness.pool.end_run(name, Outcome.OK)
    harness.step(MS)
    harness.step(12 * MS)
    assert answers == [b"submit", b"closing"]
    crossed = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.step(MS)
    harness.pool.end_run(crossed, Outcome.OK)
    harness.step(MS)
    assert outcome_of(harness, crossed) == "ok"
    assert harness.connections[connection] == "open"
    for _ in range(300):
        harness.step(10 * MS)
    assert harness.connections[connection] == "closed"


def open_connection_due_to_close(harness):
    """Return a connection whose close is announced, a moment before the node closes it."""
    connection = harness.dispatchers.open()
    name = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.step(MS)
    harness.pool.end_run(name, Outcome.OK)
    harness.step(MS)
    while harness.frontend.table.connections[connection].state is DispatcherConnectionState.OPEN:
        harness.step(MS)
    harness.step(harness.limits.close_delay_us - MS)
    assert harness.connections[connection] == "open"
    return connection


def test_a_request_that_is_unread_when_its_connection_is_due_to_close_is_answered():
    harness = plain_harness()
    harness.write_block_probability, connection = 0, open_connection_due_to_close(harness)
    harness.reads_requested[connection] = 0  # no batch is requested: the request stays in the kernel's buffer
    name = harness.dispatchers.submit(connection)
    harness.step(2 * MS)
    assert harness.connections[connection] == "open"
    assert outcome_of(harness, name) is None
    harness.reads_requested[connection] = 1
    harness.step(MS)
    harness.step(MS)
    end_run_with_success(harness, name)
    for _ in range(300):
        harness.step(10 * MS)
    assert harness.connections[connection] == "closed"


def test_a_planted_defect_is_found_a_close_without_a_check_for_unread_requests():
    harness = plain_harness()
    harness.write_block_probability, connection = 0, open_connection_due_to_close(harness)
    harness.reads_requested[connection] = 0
    harness.try_close = lambda connection: True
    name = harness.dispatchers.submit(connection)
    harness.step(2 * MS)
    assert harness.connections[connection] == "closed"
    assert outcome_of(harness, name) is None
    with pytest.raises(AssertionError, match="lost"):
        for _ in range(1000):
            harness.step(10 * MS)


def test_timers_do_not_accumulate_on_a_busy_connection():
    harness = plain_harness()
    harness.write_block_probability, connection, max_timers = 0, harness.dispatchers.open(), 0
    harness.core.port.set_idle_timeout(8_000 * MS)
    for _ in range(300):
        name = harness.dispatchers.submit(connection)
        harness.step(20 * MS)
        harness.step(MS)
        harness.pool.end_run(name, Outcome.OK)
        harness.step(MS)
        max_timers = max(max_timers, len(harness.core.effect_buffer.timers))
    assert outcome_of(harness, name) == "ok"
    assert max_timers < 12


def test_connections_beyond_the_limit_displace_those_with_a_single_health_check_first():
    harness = plain_harness(cores=9)
    connections = [harness.dispatchers.open() for _ in range(harness.limits.max_connections)]
    names = [harness.dispatchers.submit(connections[0])]
    for connection in connections[2:]:
        harness.deliver(connection, HeartbeatCall(1))
    harness.step(MS)
    names.append(harness.dispatchers.submit(harness.dispatchers.open()))
    harness.step(MS)
    # A connection with a single health check is closed, the one with the longest silence first: no RPC is
    # expected there.
    assert [connection for connection in connections if harness.connections[connection] == "closed"] == [
        connections[2]
    ]
    harness.deliver(connections[3], HeartbeatCall(2))
    harness.step(MS)
    names.append(harness.dispatchers.submit(harness.dispatchers.open()))
    harness.step(MS)
    assert harness.connections[connections[4]] == "closed"
    assert harness.connections[connections[3]] == harness.connections[connections[5]] == "open"
    assert len(harness.frontend.table.connections) == harness.limits.max_connections == 136
    for each in names:
        harness.step(MS)
        end_run_with_success(harness, each)
    # Connections that stay open after a single health check are closed soon, those with more checks are not.
    for _ in range(130):
        harness.step(10 * MS)
    assert harness.connections[connections[3]] == "open"
    assert not any(harness.connections[connection] == "open" for connection in connections[4:])
    assert Limits.from_config({"memory_mb": 32, "sockets": 384}, 3200, 3_000_000).max_connections == 192
    assert Limits.from_config({"memory_mb": 192, "sockets": 1024}, 3200, 3_000_000).max_connections == 960
    assert Limits.from_config({"memory_mb": 192, "sockets": 100}, 3200, 3_000_000).max_connections == 50


def test_a_connection_is_closed_after_a_single_health_check_but_not_during_repeated_ones():
    harness = plain_harness()
    single, repeated = harness.dispatchers.open(), harness.dispatchers.open()
    harness.deliver(single, HeartbeatCall(1))
    for n in range(140):
        harness.deliver(repeated, HeartbeatCall(n + 1)) if n % 10 == 0 else None
        harness.step(100 * MS)
    assert harness.connections[single] == "closed"
    assert harness.connections[repeated] == "open"


def test_a_new_connection_is_not_idle_before_its_first_rpc():
    harness = plain_harness()
    connection = harness.dispatchers.open()
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.frontend.table.connections[connection].state is DispatcherConnectionState.OPEN
    for _ in range(16):
        harness.step(100 * MS)
    assert harness.connections[connection] == "closed"  # before the deadline for closing a silent client


@pytest.mark.parametrize("late_ms", [5, 60, 250])
def test_a_dispatcher_that_reads_the_closing_notice_late_as_the_node_ends_is_answered(late_ms):
    # Requests were lost as the node ended, because it closed connections only 4 ms after its notice.
    harness = plain_harness()
    harness.write_block_probability = 0
    harness.drain_notice_at = harness.now
    harness.feed(Drain())
    kill_at = harness.core.shutdown.times.kill_at
    harness.step(kill_at - 280 * MS - harness.now)
    # The connection is accepted from the backlog as listening ends, or opened before; it gets its notice now.
    connection = harness.dispatchers.open()
    harness.step(late_ms * MS)
    name = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.step(MS)
    assert outcome_of(harness, name) == "rejected"
    harness.dispatchers.end_connection(connection)
    for _ in range(200):
        harness.step(2 * MS)
    assert harness.connections[connection] == "closed"
    assert harness.ended
