"""The worker pool's client in a core: lost connections, unconfirmed commands, restarts, other addresses."""

from finchcart.decisions.outcome import Outcome
from finchcart.node.addresses import NodeAddresses
from finchcart.node.inputs import AddressesChanged
from tests.core_cases import end_run_with_success, outcome_of, plain_harness, start_call, start_run
from tests.core_harness import MS


def test_commands_lost_with_the_pool_connection_are_written_again_after_the_replay():
    harness = plain_harness()
    link = harness.dispatchers.open()
    done = harness.dispatchers.submit(link)
    harness.step(MS)
    harness.step(MS)
    harness.pool.lose_connection()
    harness.pool.end_run(done, Outcome.OK)  # while no link exists
    lost = harness.dispatchers.submit(link)
    for _ in range(60):
        harness.step(10 * MS)
    assert outcome_of(harness, done) == "ok"
    assert harness.pool.runs[lost].state == "running"
    harness.pool.end_run(lost, Outcome.OK)
    harness.step(MS)
    assert outcome_of(harness, lost) == "ok"
    assert len([notice for notice in harness.pool.notices if notice.rpc_name == done]) == 1


def test_an_effect_whose_start_may_have_been_lost_is_answered_and_never_started_twice():
    harness = plain_harness()
    name = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    harness.step(MS)
    harness.pool.lose_connection()
    while harness.now < harness.dispatchers.attempts[name].due:
        assert harness.core.controller.state.runs.in_progress == 1  # it may be running
        harness.step(10 * MS)
    assert outcome_of(harness, name) == "failed"
    assert name not in harness.pool.runs
    harness.step(100 * MS)
    assert harness.core.controller.state.runs.in_progress == 0  # for as long as the settings let it
    again = harness.dispatchers.submit(harness.dispatchers.open(), 1, name)
    harness.step(MS)
    assert outcome_of(harness, again) == "failed"
    assert not harness.pool.runs


def test_an_effect_whose_start_was_never_written_is_started_once_the_link_is_back():
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


def test_a_reply_that_may_have_been_lost_leaves_the_call_out_where_that_is_allowed():
    harness = plain_harness(degraded_value=(0.5, 0.0))
    name, link = start_call(harness)
    harness.store.reply(link, name, Outcome.OK)
    harness.step(0)
    assert harness.pool.runs[name].state == "blocked"  # the reply is on its way
    harness.pool.lose_connection()
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.pool.runs[name].state == "running"
    end_run_with_success(harness, name)


def move(harness):
    harness.addresses = NodeAddresses(*((host, port + 1) for host, port in harness.addresses))
    harness.feed(AddressesChanged(harness.addresses))


def test_connections_follow_a_new_configuration_and_nothing_is_lost_on_the_way():
    harness = plain_harness()
    held, (called, link) = start_run(harness, 1), start_call(harness)
    name, old = harness.dispatchers.submit(harness.dispatchers.open(), 1), harness.pool.connection
    harness.step(0)
    assert name not in harness.pool.runs  # its start is on the old link
    move(harness)
    during = harness.dispatchers.submit(harness.dispatchers.open(), 1)
    for _ in range(8):
        harness.step(MS)
    assert harness.connections[old] == "closed"
    assert harness.connections[harness.pool.connection] == "open"
    assert harness.reports[-1][0] == harness.now - 8 * MS
    harness.store.reply(link, called, Outcome.OK)  # at the old place
    harness.step(MS)
    harness.step(MS)
    assert harness.pool.runs[called].state == "running"
    for each in (held, called, name, during):
        end_run_with_success(harness, each)


def test_a_restarted_pool_has_lost_its_runs_and_none_is_run_again():
    harness = plain_harness()
    names = [harness.dispatchers.submit(harness.dispatchers.open(), n) for n in (0, 1)]
    harness.step(MS)
    harness.step(2_000 * MS)
    harness.pool.restart()
    for _ in range(30):
        harness.step(10 * MS)
    assert [outcome_of(harness, name) for name in names] == ["failed"] * 2
    after = start_run(harness)
    end_run_with_success(harness, after)


def test_a_bind_to_the_same_pool_is_no_restart_though_its_age_is_rounded():
    harness = plain_harness()
    name = start_run(harness)
    harness.pool.lose_connection()
    harness.pool.started_at += 900  # told in whole milliseconds
    for _ in range(30):
        harness.step(10 * MS)
    assert outcome_of(harness, name) is None
    assert harness.pool.runs[name].state == "running"
