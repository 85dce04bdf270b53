"""The worker pool client in a core: lost connections, unconfirmed commands, restarts, address changes."""

from finchcart.decisions.outcome import Outcome
from finchcart.node.addresses import NodeAddresses
from finchcart.node.inputs import AddressesChanged
from tests.core_cases import end_run_with_success, outcome_of, plain_harness, start_call, start_run
from tests.core_harness import MS


def test_commands_lost_with_the_connection_are_written_again_after_the_missed_notices():
    harness = plain_harness()
    connection = harness.dispatchers.open()
    done = harness.dispatchers.submit(connection)
    harness.step(MS)
    harness.step(MS)
    harness.pool.lose_connection()
    harness.pool.end_run(done, Outcome.OK)  # while there is no connection
    lost = harness.dispatchers.submit(connection)
    for _ in range(60):
        harness.step(10 * MS)
    assert outcome_of(harness, done) == "ok"
    assert harness.pool.runs[lost].state == "running"
    harness.pool.end_run(lost, Outcome.OK)
    harness.step(MS)
    assert outcome_of(harness, lost) == "ok"
    assert len([notice for notice in harness.pool.notices if notice.rpc_name == done]) == 1


def test_a_non_idempotent_run_whose_start_may_be_lost_is_answered_and_never_started_again():
    harness = plain_harness()
    name = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    harness.pool.lose_connection()
    while harness.now < harness.dispatchers.attempts[name].due:
        assert harness.core.controller.state.runs.in_progress == 1  # the run may be in progress
        harness.step(10 * MS)
    assert outcome_of(harness, name) == "failed"
    assert name not in harness.pool.runs
    harness.step(100 * MS)
    assert harness.core.controller.state.runs.in_progress == 0  # the longest allowed run time has passed
    duplicate = harness.dispatchers.submit(harness.dispatchers.open(), 1, name)
    harness.step(MS)
    assert outcome_of(harness, duplicate) == "failed"
    assert not harness.pool.runs


def test_a_non_idempotent_run_whose_start_was_never_written_is_started_after_the_reconnection():
    harness = plain_harness()
    harness.pool.accepts = False
    harness.pool.lose_connection()
    name = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    for _ in range(20):
        harness.step(10 * MS)
    harness.pool.accepts = True
    for _ in range(20):
        harness.step(10 * MS)
    end_run_with_success(harness, name)


def test_a_run_whose_reply_may_be_lost_is_told_to_degrade_if_that_is_allowed():
    harness = plain_harness(degraded_value=(0.5, 0.0))
    name, connection = start_call(harness)
    harness.store.reply(connection, name, Outcome.OK)
    harness.step(0)
    assert harness.pool.runs[name].state == "blocked"  # the reply is in transit
    harness.pool.lose_connection()
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.pool.runs[name].state == "running"
    end_run_with_success(harness, name)


def change_addresses(harness):
    harness.addresses = NodeAddresses(*((host, port + 1) for host, port in harness.addresses))
    harness.feed(AddressesChanged(harness.addresses))


def test_a_change_of_the_addresses_loses_no_command_and_no_call():
    harness = plain_harness()
    running_name, (calling_name, connection) = start_run(harness, 1), start_call(harness)
    starting_name, old = harness.dispatchers.submit(harness.dispatchers.open(), 1), harness.pool.connection
    harness.step(0)
    assert starting_name not in harness.pool.runs  # its start is in transit on the old connection
    change_addresses(harness)
    queued_name = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    for _ in range(8):
        harness.step(MS)
    assert harness.connections[old] == "closed"
    assert harness.connections[harness.pool.connection] == "open"
    assert harness.reports[-1][0] == harness.now - 8 * MS
    harness.store.reply(connection, calling_name, Outcome.OK)  # on the connection to the old address
    harness.step(MS)
    harness.step(MS)
    assert harness.pool.runs[calling_name].state == "running"
    for name in (running_name, calling_name, starting_name, queued_name):
        end_run_with_success(harness, name)


def test_the_runs_of_a_restarted_worker_pool_fail_and_are_not_started_again():
    harness = plain_harness()
    names = [harness.dispatchers.submit(harness.dispatchers.open(), n) for n in (0, 1)]
    harness.step(MS)
    harness.step(2_000 * MS)
    harness.pool.restart()
    for _ in range(30):
        harness.step(10 * MS)
    assert [outcome_of(harness, name) for name in names] == ["failed"] * 2
    new = start_run(harness)
    end_run_with_success(harness, new)


def test_a_rounded_uptime_of_the_same_worker_pool_is_not_mistaken_for_a_restart():
    harness = plain_harness()
    name = start_run(harness)
    harness.pool.lose_connection()
    harness.pool.started_at += 900  # us; the uptime is sent in whole milliseconds
    for _ in range(30):
        harness.step(10 * MS)
    assert outcome_of(harness, name) is None
    assert harness.pool.runs[name].state == "running"
