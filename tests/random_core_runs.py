"""Seeded random runs of a core: dispatchers, worker pool and store act at random."""

from finchcart.decisions.outcome import Outcome
from finchcart.node.inputs import Drain
from tests.core_harness import MS


def submit_randomly(harness, rng, load):
    """Have dispatchers connect, submit, retry, revoke and disconnect."""
    connections = [number for number, state in harness.connections.items() if state == "open" and number > 0]
    if rng.random() < 0.1 or not connections:
        connections.append(harness.dispatchers.open())
    keyed = [name for name, attempt in harness.dispatchers.attempts.items() if attempt.kind == "keyed"]
    for _ in range(rng.choice((0, 0, 1, load))):
        retry_of = rng.choice(keyed[-20:]) if keyed and rng.random() < 0.3 else None
        harness.dispatchers.submit(
            rng.choice(connections[-6:]),
            rng.randrange(harness.settings["methods.count"]),
            retry_of,
            waited=rng.choice((0, 0, 30, 300)) * MS,
        )
    if harness.dispatchers.unanswered and rng.random() < 0.1:
        harness.dispatchers.revoke(rng.choice(list(harness.dispatchers.unanswered)))
    if rng.random() < 0.01:
        harness.dispatchers.end_connection(rng.choice(connections), rng.choice(("", "cut off")))


def change_runs_randomly(harness, rng):
    """Have runs end or await calls."""
    for name, run in list(harness.pool.active_runs.items()):
        attempt = harness.dispatchers.attempts[name]
        chance = rng.random()
        if run.state == "running" and chance < 0.12:
            harness.pool.end_run(name, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif run.state == "running" and chance < 0.2:
            harness.pool.block_at_call(name)
        elif run.state == "blocked" and (attempt.answers or not attempt.response_pending):
            harness.pool.end_run(name, Outcome.STOPPED)


def reply_randomly(harness, rng):
    """Have the store reply, or break a connection."""
    outcomes = (Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT)
    for connection, calls in list(harness.store.calls.items()):
        for name in [name for name in calls if name in harness.pool.active_runs]:
            is_open = harness.connections[connection] == "open"
            if is_open and harness.pool.runs[name].state == "blocked" and rng.random() < 0.2:
                harness.store.reply(connection, name, rng.choice(outcomes))
        is_store = harness.connections[connection] == "open" and connection != harness.pool.connection
        if is_store and rng.random() < 0.01:
            harness.store.lose_connection(connection)


def act_randomly(harness, rng, load):
    submit_randomly(harness, rng, load)
    change_runs_randomly(harness, rng)
    reply_randomly(harness, rng)
    if rng.random() < 0.01:
        harness.store.accepts = not harness.store.accepts
    if rng.random() < 0.01:
        harness.pool.lose_connection()
    if rng.random() < 0.02:
        harness.pool.accepts = not harness.pool.accepts


def run_randomly(harness, rng, restart_at=None):
    """Act at random, with a drain at the end; return the outcome of each attempt."""
    load = rng.choice((1, 3, 12))
    drain_at = rng.randint(350, 600)
    for step in range(1200):
        harness.step(rng.randint(1, 12) * MS)
        if harness.ended:
            break
        act_randomly(harness, rng, load)
        if step == restart_at:
            harness.pool.restart()
        if step == drain_at:
            harness.drain_notice_at = harness.now
            harness.feed(Drain())
    assert harness.ended
    assert len(harness.dispatchers.attempts) > 50
    return [attempt.outcome for attempt in harness.dispatchers.attempts.values()]


def runs_in_progress_at_end(harness):
    """Return the RPCs that the node counts as running when it ends.

    Each of them runs or may run at the worker pool, or its start command is not confirmed yet.
    """
    running = harness.core.lifecycle.running_rpcs()
    commands = harness.core.pool.commands
    for rpc in running:
        is_unconfirmed = rpc.index in commands.unconfirmed_runs or rpc.index in commands.unconfirmed
        assert is_unconfirmed or rpc.name in harness.pool.active_runs, "an ended run is counted as running"
    return running
