"""Seeded random runs of a core: dispatchers, worker pool and store act by chance."""

from finchcart.decisions.outcome import Outcome
from finchcart.node.inputs import Drain
from tests.core_harness import MS


def submit_by_chance(harness, rng, load):
    """Dispatchers connect, submit, retry, revoke and go."""
    connections = [each for each, state in harness.connections.items() if state == "open" and each > 0]
    if rng.random() < 0.1 or not connections:
        connections.append(harness.open())
    keyed = [name for name, attempt in harness.attempts.items() if attempt.kind == "keyed"]
    for _ in range(rng.choice((0, 0, 1, load))):
        retry_of = rng.choice(keyed[-20:]) if keyed and rng.random() < 0.3 else None
        harness.submit(
            rng.choice(connections[-6:]),
            rng.randrange(harness.settings["methods.count"]),
            retry_of,
            waited=rng.choice((0, 0, 30, 300)) * MS,
        )
    if harness.unanswered and rng.random() < 0.1:
        harness.revoke(rng.choice(list(harness.unanswered)))
    if rng.random() < 0.01:
        harness.end_connection(rng.choice(connections), rng.choice(("", "cut off")))


def run_by_chance(harness, rng):
    """Runs end, and await calls."""
    for name, run in list(harness.active_runs.items()):
        attempt = harness.attempts[name]
        chance = rng.random()
        if run.state == "running" and chance < 0.12:
            harness.end_run(name, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif run.state == "running" and chance < 0.2:
            harness.block_at_call(name)
        elif run.state == "blocked" and (attempt.answers or not attempt.response_pending):
            harness.end_run(name, Outcome.STOPPED)


def reply_by_chance(harness, rng):
    """The store replies, or breaks a connection."""
    outcomes = (Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT)
    for connection, calls in list(harness.calls.items()):
        for name in [name for name in calls if name in harness.active_runs]:
            is_open = harness.connections[connection] == "open"
            if is_open and harness.runs[name].state == "blocked" and rng.random() < 0.2:
                harness.store_reply(connection, name, rng.choice(outcomes))
        is_store = harness.connections[connection] == "open" and connection != harness.pool_connection
        if is_store and rng.random() < 0.01:
            harness.lose_store_connection(connection)


def one_step(harness, rng, load):
    submit_by_chance(harness, rng, load)
    run_by_chance(harness, rng)
    reply_by_chance(harness, rng)
    if rng.random() < 0.01:
        harness.store_accepts = not harness.store_accepts
    if rng.random() < 0.01:
        harness.lose_pool_connection()
    if rng.random() < 0.02:
        harness.pool_accepts = not harness.pool_accepts


def play(harness, rng, restart_at=None):
    """A random day with a drain; returns how each attempt ended."""
    load = rng.choice((1, 3, 12))
    drain_at = rng.randint(350, 600)
    for step in range(1200):
        harness.step(rng.randint(1, 12) * MS)
        if harness.ended:
            break
        one_step(harness, rng, load)
        if step == restart_at:
            harness.restart_pool()
        if step == drain_at:
            harness.drain_notice_at = harness.now
            harness.feed(Drain())
    assert harness.ended
    assert len(harness.attempts) > 50
    return [attempt.outcome for attempt in harness.attempts.values()]


def may_be_running_at_the_end(harness):
    """What the node counts as running as it ends: it runs, may run, or its start is still to be read."""
    running = harness.core.lifecycle.running_rpcs()
    commands = harness.core.pool.commands
    for rpc in running:
        is_open = rpc.index in commands.unconfirmed_runs or rpc.index in commands.unconfirmed
        assert is_open or rpc.name in harness.active_runs, "counted and over"
    return running
