"""The core and its front without sockets: seeded random runs, rules checked at every step; plain cases."""

import random
from dataclasses import replace

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.limits import Limits
from finchcart.node.inputs import AddressesChanged, AllocationGranted, Drain
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.limiters import RateLimiter, RpcConcurrencyLimiter
from finchcart.protocol.connection_events import ConnectionEnded, WriteBlocked, WriteResumed
from finchcart.protocol.messages import (
    CommandRejected,
    HeartbeatCall,
    StoreReply,
    SubmitCall,
    UnservedCall,
)
from finchcart.quota.limits import Limit
from finchcart.thrift.binary_protocol import EXCEPTION, STRING
from tests.core_harness import MS, CoreHarness, read_answer
from tests.decision_runs import PLAIN
from tests.harness import draw_settings

GAUGES = {"gauges": ("core_use", "on_cores")}


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
        elif run.state == "blocked" and (attempt.answers or not attempt.answer_owed):
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
    assert harness.ended and len(harness.attempts) > 50
    return [attempt.outcome for attempt in harness.attempts.values()]


@pytest.mark.parametrize("seed", [*range(20), 2008])  # 2008: an idempotent run starts again as it ends
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    harness = CoreHarness({**draw_settings(rng), **GAUGES}, seed, cached_results=rng.choice((60, 10_000)))
    assert "ok" in play(harness, rng, rng.choice((None, 320)))


def limits_by_chance(rng):
    """One limit of the fleet of each kind, and what this node is given of each, now and then."""
    limits = (
        Limit("calls", 40, 1),
        Limit("calls a second", 200, 1, per="rate", burst=20),
        Limit("in hand", 20, counts="rpcs", mode="loose"),
        Limit("a second", 100, 2, counts="rpcs", per="rate", burst=30, method="m0"),
        Limit("of one", 60, counts="rpcs", per="rate", burst=30, mode="loose", dispatcher="3"),
    )
    return LimiterSet(rng.sample(limits, rng.randint(1, 5)), 20 * MS, 10)


def may_be_running_at_the_end(harness):
    """What the node counts as running as it ends: it runs, may run, or its start is still to be read."""
    running = harness.core.lifecycle.running_rpcs()
    pool = harness.core.pool
    for rpc in running:
        is_open = rpc.index in pool.unknown_runs or rpc.index in pool.unconfirmed
        assert is_open or rpc.name in harness.active_runs, "counted and over"
    return running


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_limits_of_the_fleet(seed, meddle=lambda meters, harness: None):
    rng = random.Random(seed)
    meters = limits_by_chance(rng)
    harness = CoreHarness({**draw_settings(rng), **GAUGES}, seed, limiters=meters)
    meddle(meters, harness)
    taken = {
        meter: [0.0, harness.now] for meter in meters.all if isinstance(meter, RateLimiter)
    }  # its bucket's level
    for meter, bucket in taken.items():
        take = meter.try_acquire

        def took(rpc=None, take=take, meter=meter, bucket=bucket):
            got = take(rpc)
            if got:
                limit = meter.limit
                bucket[0] = max(0.0, bucket[0] - (harness.now - bucket[1]) * limit.amount / 1e6) + 1
                bucket[1] = harness.now
                assert bucket[0] <= limit.burst + 1e-6, "more than the burst and what the rate gives"
            return got

        meter.try_acquire = took
    step = harness.step

    def stepped(dt):
        step(dt)
        if rng.random() < 0.1 and not harness.ended:
            meter = rng.choice(meters.all)
            limit = meter.limit
            harness.feed(
                AllocationGranted(
                    limit.name,
                    limit.floor,
                    rng.randint(0, limit.amount - 10),
                    harness.now + rng.randint(0, 3000) * MS,
                )
            )
        for meter in meters.rpcs:
            if isinstance(meter, RpcConcurrencyLimiter):
                counted = sum(meter in (rpc.counted_by or ()) for rpc in harness.core.lifecycle.rpcs.values())
                assert meter.count == counted, "counted and not in hand"
                assert all(
                    not rpc.completed and (rpc.answer_owed or rpc.started)
                    for rpc in harness.core.lifecycle.rpcs.values()
                    if rpc.counted_by
                )

    harness.step = stepped
    play(harness, rng)
    running = may_be_running_at_the_end(harness)
    for meter in meters.rpcs:  # what may be running at the end is counted, and nothing else
        counted = sum(meter in (rpc.counted_by or ()) for rpc in running)
        assert not isinstance(meter, RpcConcurrencyLimiter) or meter.count == counted


def not_counted_out(meters, harness):
    harness.core.lifecycle.release_limits = lambda rpc: None


def test_a_planted_defect_is_found_rpcs_that_are_not_counted_out():
    with pytest.raises(AssertionError):
        for seed in range(6):
            test_rules_hold_with_limits_of_the_fleet(seed, not_counted_out)


def test_an_rpc_over_a_limit_of_the_fleet_is_rejected_at_once_with_when_to_retry():
    meters = LimiterSet(
        (Limit("a second", 50, 0, counts="rpcs", per="rate", burst=10, dispatcher="3"),), 0, 10
    )
    harness = plain_harness(limiters=meters, retry_after_max=1000 * MS)
    link = harness.open()
    harness.feed(AllocationGranted("a second", 0, 10, harness.now + 10**9))
    harness.step(MS)
    harness.step(100 * MS)
    first = harness.submit(link)
    harness.step(MS)
    second = harness.submit(link)
    harness.step(MS)
    other = harness.submit(link, f="4")
    harness.step(MS)
    how = [harness.attempts[name].outcome for name in (first, second, other)]
    assert how[1] == "rejected" and "rejected" not in (how[0], how[2]), "of that dispatcher alone"
    for _ in range(20):
        harness.step(40 * MS)
    assert any(name == "a second" and wants > 0 for name, _, wants, _ in harness.usage), "its demand is told"


def test_a_part_of_a_limit_is_kept_for_what_matters_more():
    meters = LimiterSet((Limit("in hand", 50, counts="rpcs", mode="loose"),), 0, 10)
    settings = {
        "methods.count": 2,
        "methods.1.name": "m1",
        "methods.1.kind": "idempotent",
        "methods.1.criticality": 9,
        "methods.1.latency_target": 1000 * MS,
        "methods.1.deadline": 3000 * MS,
        "method_calls": (False, False),
        "degraded_value": (0.0, 0.0),
        "cores": 64,
    }
    harness = plain_harness(limiters=meters, **settings)
    links = [harness.open() for _ in range(3)]
    harness.feed(AllocationGranted("in hand", 0, 40, harness.now + 10**9))
    names = [harness.submit(links[n % 2]) for n in range(45)]
    harness.step(MS)
    names += [harness.submit(links[2], 1) for _ in range(5)]
    harness.step(MS)
    lesser, more = (
        [harness.attempts[name].outcome for name in part].count("rejected")
        for part in (names[:45], names[45:])
    )
    assert (lesser, more) == (7, 3), "two of forty are kept free of the lesser ones"


def plain_harness(limiters=None, observer=None, key_leases=None, **settings):
    harness = CoreHarness(
        {**PLAIN, **GAUGES, **settings}, limiters=limiters, observer=observer, key_leases=key_leases
    )
    harness.step(MS)
    harness.step(MS)
    assert harness.core.control is not None
    return harness


def running(harness, n=0):
    """A try that runs."""
    name = harness.submit(harness.open(), n)
    harness.step(MS)
    harness.step(MS)
    assert harness.runs[name].state == "running"
    return name


def ends_well(harness, name):
    harness.end_run(name, Outcome.OK)
    harness.step(MS)
    assert how(harness, name) == "ok"


def calling(harness, n=0):
    """A try at a call, and the link that the call is on."""
    name = running(harness, n)
    harness.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    ((link, _),) = [(link, calls) for link, calls in harness.calls.items() if calls]
    return name, link


def repeated(harness, outcome):
    """A try that ends so, and a repeat of it that came while it ran."""
    first = harness.submit(harness.open(), 1)
    harness.step(MS)
    second = harness.submit(harness.open(), 1, first)
    harness.step(MS)
    harness.end_run(first, outcome)
    harness.step(MS)
    return first, second


def how(harness, name):
    return harness.attempts[name].outcome


def test_a_duplicate_shares_the_result_unchanged_and_never_runs():
    harness = plain_harness()
    first, second = repeated(harness, Outcome.OK)
    third = harness.submit(harness.open(), 1, first)
    harness.step(MS)
    assert [how(harness, name) for name in (first, second, third)] == ["ok"] * 3
    assert list(harness.runs) == [first]


def test_a_duplicate_of_what_failed_fails():
    harness = plain_harness()
    first, second = repeated(harness, Outcome.ERROR)
    assert (how(harness, first), how(harness, second), list(harness.runs)) == ("failed", "failed", [first])


def test_a_retry_that_arrived_in_the_window_is_known_when_it_is_read_after_it():
    harness = plain_harness()
    first = running(harness, 1)
    harness.end_run(first, Outcome.OK)
    harness.step(MS)
    harness.step(5_100 * MS)
    reached = harness.now
    harness.step(300 * MS)
    late = harness.submit(harness.open(), 1, first, waited=harness.now - reached)
    harness.step(MS)
    assert how(harness, late) == "ok" and list(harness.runs) == [first]
    harness.step(6_000 * MS)
    anew = harness.submit(harness.open(), 1, first)
    harness.step(MS)
    harness.step(MS)
    assert anew in harness.runs


def test_commands_lost_with_the_pool_connection_are_written_again_after_the_replay():
    harness = plain_harness()
    link = harness.open()
    done = harness.submit(link)
    harness.step(MS)
    harness.step(MS)
    harness.lose_pool_connection()
    harness.end_run(done, Outcome.OK)  # while no link exists
    lost = harness.submit(link)
    for _ in range(60):
        harness.step(10 * MS)
    assert how(harness, done) == "ok" and harness.runs[lost].state == "running"
    harness.end_run(lost, Outcome.OK)
    harness.step(MS)
    assert how(harness, lost) == "ok"
    assert len([notice for notice in harness.notices if notice.rpc_name == done]) == 1


def test_an_effect_whose_start_may_have_been_lost_is_answered_and_never_started_twice():
    harness = plain_harness()
    name = harness.submit(harness.open(), 1)
    harness.step(MS)
    harness.lose_pool_connection()
    while harness.now < harness.attempts[name].due:
        assert harness.core.control.state.runs.in_progress == 1  # it may be running
        harness.step(10 * MS)
    assert how(harness, name) == "failed" and name not in harness.runs
    harness.step(100 * MS)
    assert harness.core.control.state.runs.in_progress == 0  # for as long as the settings let it
    again = harness.submit(harness.open(), 1, name)
    harness.step(MS)
    assert how(harness, again) == "failed" and not harness.runs


def test_an_effect_whose_start_was_never_written_is_started_once_the_link_is_back():
    harness = plain_harness()
    harness.pool_accepts = False
    harness.lose_pool_connection()
    name = harness.submit(harness.open(), 1)
    for _ in range(20):
        harness.step(10 * MS)
    harness.pool_accepts = True
    for _ in range(20):
        harness.step(10 * MS)
    ends_well(harness, name)


def test_a_reply_that_may_have_been_lost_leaves_the_call_out_where_that_is_allowed():
    harness = plain_harness(degraded_value=(0.5, 0.0))
    name, link = calling(harness)
    harness.store_reply(link, name, Outcome.OK)
    harness.step(0)
    assert harness.runs[name].state == "blocked"  # the reply is on its way
    harness.lose_pool_connection()
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.runs[name].state == "running"
    ends_well(harness, name)


def move(harness):
    harness.addresses = {kind: (place, port + 1) for kind, (place, port) in harness.addresses.items()}
    harness.feed(AddressesChanged(harness.addresses))


def test_connections_follow_a_new_configuration_and_nothing_is_lost_on_the_way():
    harness = plain_harness()
    held, (called, link) = running(harness, 1), calling(harness)
    name, old = harness.submit(harness.open(), 1), harness.pool_connection
    harness.step(0)
    assert name not in harness.runs  # its start is on the old link
    move(harness)
    during = harness.submit(harness.open(), 1)
    for _ in range(8):
        harness.step(MS)
    assert harness.connections[old] == "closed" and harness.connections[harness.pool_connection] == "open"
    assert harness.reports[-1][0] == harness.now - 8 * MS
    harness.store_reply(link, called, Outcome.OK)  # at the old place
    harness.step(MS)
    harness.step(MS)
    assert harness.runs[called].state == "running"
    for each in (held, called, name, during):
        ends_well(harness, each)


def test_a_key_with_another_body_shares_nothing_and_what_the_pool_does_not_know_keeps_no_key():
    harness = plain_harness()
    first = harness.submit(harness.open(), 1)
    other = harness.open()
    harness.step(MS)
    harness.attempts["x"] = replace(harness.attempts[first], body=b"other")
    for link in (other, harness.connection_count):
        harness.submit(link, 1, "x", r="1")
    harness.step(MS)
    harness.end_run(first, Outcome.OK)
    harness.step(MS)
    assert [each.outcome for each in harness.attempts.values() if each.body == b"other"][1:] == ["failed"] * 2
    odd, done = harness.submit(harness.open(), 1), harness.core.control.state.slowdown.work_completed
    harness.step(0)
    harness.commands.clear()
    harness.deliver(harness.pool_connection, CommandRejected(True, odd))
    harness.step(0)
    assert how(harness, odd) == "failed" and harness.core.control.state.slowdown.work_completed == done
    true = harness.submit(harness.open(), 1, odd)
    harness.step(MS)
    harness.step(MS)
    ends_well(harness, true)


def test_a_restarted_pool_has_lost_its_runs_and_none_is_run_again():
    harness = plain_harness()
    names = [harness.submit(harness.open(), n) for n in (0, 1)]
    harness.step(MS)
    harness.step(2_000 * MS)
    harness.restart_pool()
    for _ in range(30):
        harness.step(10 * MS)
    assert [how(harness, name) for name in names] == ["failed"] * 2
    after = running(harness)
    ends_well(harness, after)


def test_a_bind_to_the_same_pool_is_no_restart_though_its_age_is_rounded():
    harness = plain_harness()
    name = running(harness)
    harness.lose_pool_connection()
    harness.pool_started_at += 900  # told in whole milliseconds
    for _ in range(30):
        harness.step(10 * MS)
    assert how(harness, name) is None and harness.runs[name].state == "running"


def test_a_call_made_after_an_abandoned_one_goes_where_no_late_reply_can_pass_for_its_own():
    harness = plain_harness(**{"methods.0.kind": "idempotent", "degraded_value": (0.0, 0.0)})
    name = running(harness)
    harness.block_at_call(name)
    harness.step(MS)
    harness.step(MS)
    ((first, calls),) = [(link, calls) for link, calls in harness.calls.items() if calls]
    body = calls[name]
    harness.core.turn.schedule(
        harness.now, harness.core.store.time_out, harness.core.lifecycle.rpcs[0], 1
    )  # its time limit comes early
    for _ in range(3):
        harness.step(MS)
    ((second, calls),) = [(link, calls) for link, calls in harness.calls.items() if calls]
    assert second != first
    assert harness.connections[first] == "closed"
    harness.deliver(first, StoreReply(name, Outcome.OK, body))
    harness.step(MS)
    assert harness.runs[name].state == "blocked"
    harness.store_reply(second, name, Outcome.OK)
    harness.step(MS)
    harness.step(MS)
    assert harness.runs[name].state == "running"


def test_a_corrupt_reply_costs_its_own_call_and_its_connection_takes_no_further():
    harness = plain_harness(cores=8, calls_limit=20, degraded_value=(0.5, 0.0))
    names = [running(harness) for _ in range(3)]
    for name in names:
        harness.block_at_call(name)
    for _ in range(3):
        harness.step(MS)
    links = {name: link for link, calls in harness.calls.items() for name in calls}
    assert len(set(links.values())) == 3
    spoilt, odd, good = names
    harness.lose_connection(links[spoilt], "noise")
    for name, more in ((odd, True), (good, False)):
        body = harness.calls[links[name]].pop(name)
        harness.replies[name] = body
        if more:
            harness.deliver(links[name], StoreReply("f" * 16, Outcome.OK, b"another's"))
        harness.deliver(links[name], StoreReply(name, Outcome.OK, body))
    for _ in range(3):
        harness.step(MS)
    assert [harness.runs[name].state for name in names] == ["blocked", "running", "running"]
    assert harness.connections[links[odd]] == "closed" and harness.connections[links[good]] == "open"
    harness.block_at_call(good)  # a second call of the same RPC: not where a copy of its first reply may come
    harness.block_at_call(odd)
    for _ in range(3):
        harness.step(MS)
    (link,) = [link for link, calls in harness.calls.items() if good in calls]
    assert link != links[good]


def test_an_idle_store_connection_is_closed_before_the_store_does_it():
    harness = plain_harness()
    name, link = calling(harness)
    harness.store_reply(link, name, Outcome.OK)
    for _ in range(90):
        harness.step(10 * MS)
    assert harness.connections[link] == "open"
    for _ in range(20):
        harness.step(10 * MS)
    assert harness.connections[link] == "closed" and not harness.core.store.connections


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT])
def test_a_call_of_an_effect_is_not_repeated_without_proof(outcome):
    harness = plain_harness()
    name, link = calling(harness, 1)
    harness.store_reply(link, name, outcome)
    for _ in range(5):
        harness.step(MS)
    assert how(harness, name) == "failed" and not any(harness.calls.values())


def test_an_attempt_stamped_ahead_of_the_clock_is_admitted_as_new():
    harness = plain_harness()
    name = harness.submit(harness.open(), waited=-80 * MS)
    harness.step(MS)
    harness.step(MS)
    ends_well(harness, name)


def test_a_dispatcher_that_never_reads_is_read_no_further():
    harness = plain_harness()
    link = harness.open()
    harness.feed(WriteBlocked(link))
    for _ in range(3):
        harness.deliver(link, HeartbeatCall(1))
        harness.step(MS)
    assert len(harness.inboxes[link]) == 2
    harness.feed(WriteResumed(link))
    harness.step(MS)
    assert not harness.inboxes[link]


@pytest.mark.parametrize(
    "spoil, words",
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
def test_a_call_that_can_not_be_read_gets_one_answer_that_says_so_and_never_runs(spoil, words):
    harness, told = plain_harness(), []
    harness.on_reply = lambda link, data: told.append(read_answer(data))
    harness.submit(harness.open(), 1, **spoil)
    harness.step(MS)
    harness.step(MS)
    ((kind, _, _, args),) = told
    assert kind == EXCEPTION and words in args[1, STRING].decode() and not harness.runs
    assert (
        not harness.core.control.state.arrivals.ingress_queueing_delay
        and not harness.core.control.state.callers.last_seen
    )


def test_a_body_over_the_limit_an_unknown_method_and_the_33rd_open_rpc_are_answered():
    harness, told = plain_harness(**{"cores": 40, "memory_kb": 200_000}), []
    link = harness.open()
    for _ in range(33):
        harness.submit(link)
    harness.on_reply = lambda link, data: told.append(read_answer(data))
    harness.deliver(link, SubmitCall(40, {"c": "m0"}, b"x" * 2049))
    harness.deliver(link, UnservedCall(41, "shout"))
    for _ in range(3):
        harness.step(0)
    assert [(kind, seq) for kind, _, seq, _ in told] == [(2, 33), (3, 40), (3, 41)]


def test_a_sequence_number_in_use_closes_the_connection_once_its_answers_are_out():
    harness = plain_harness()
    link = harness.open()
    name = harness.submit(link)
    harness.step(MS)
    harness.deliver(link, SubmitCall(1, {}, b""))
    harness.step(MS)
    assert link in harness.frontend.table.connections and harness.connections[link] == "open"
    harness.end_run(name, Outcome.OK)
    for _ in range(3):
        harness.step(MS)
    assert how(harness, name) == "ok" and harness.connections[link] == "closed"


def test_one_that_sent_what_can_not_be_read_and_ends_is_answered_still():
    harness = plain_harness()
    name = running(harness)
    link = harness.attempts[name].connection
    harness.end_connection(link, "rubbish")
    harness.feed(ConnectionEnded(link, None))  # the reader sees the end of what it goes on to read
    ends_well(harness, name)
    assert harness.connections[link] == "closed"


def test_an_idle_connection_is_told_before_it_is_closed_and_what_crosses_is_answered():
    harness = plain_harness()
    link, told = harness.open(), []
    name = harness.submit(link)
    harness.step(MS)
    harness.step(MS)
    answered = harness.on_reply
    harness.on_reply = lambda link, data: (told.append(read_answer(data)[1]), answered(link, data))
    harness.end_run(name, Outcome.OK)
    harness.step(MS)
    harness.step(12 * MS)
    assert told == [b"submit", b"closing"]
    crossed = harness.submit(link)
    harness.step(MS)
    harness.step(MS)
    harness.end_run(crossed, Outcome.OK)
    harness.step(MS)
    assert how(harness, crossed) == "ok" and harness.connections[link] == "open"
    for _ in range(300):
        harness.step(10 * MS)
    assert harness.connections[link] == "closed"


def at_its_close(harness):
    """A connection told to close, an instant before it is."""
    link = harness.open()
    name = harness.submit(link)
    harness.step(MS)
    harness.step(MS)
    harness.end_run(name, Outcome.OK)
    harness.step(MS)
    while not harness.frontend.table.connections[link].closing_announced:
        harness.step(MS)
    harness.step(harness.limits.close_delay - MS)
    assert harness.connections[link] == "open"
    return link


def test_a_request_that_lies_unread_as_its_connection_is_due_to_close_is_answered():
    harness = plain_harness()
    harness.write_block_probability, link = 0, at_its_close(harness)
    harness.reads_requested[link] = (
        0  # its reader has not been asked: the request lies in the system's buffer
    )
    name = harness.submit(link)
    harness.step(2 * MS)
    assert harness.connections[link] == "open" and how(harness, name) is None
    harness.reads_requested[link] = 1
    harness.step(MS)
    harness.step(MS)
    ends_well(harness, name)
    for _ in range(300):
        harness.step(10 * MS)
    assert harness.connections[link] == "closed"


def test_a_planted_defect_is_found_a_close_that_looks_at_nothing():
    harness = plain_harness()
    harness.write_block_probability, link = 0, at_its_close(harness)
    harness.reads_requested[link] = 0
    harness.try_close = lambda link: True
    name = harness.submit(link)
    harness.step(2 * MS)
    assert harness.connections[link] == "closed" and how(harness, name) is None
    with pytest.raises(AssertionError, match="lost"):
        for _ in range(1000):
            harness.step(10 * MS)


def test_timers_do_not_pile_up_on_a_busy_connection():
    harness = plain_harness()
    harness.write_block_probability, link, most = 0, harness.open(), 0
    harness.core.port.set_idle_timeout(8_000 * MS)
    for _ in range(300):
        name = harness.submit(link)
        harness.step(20 * MS)
        harness.step(MS)
        harness.end_run(name, Outcome.OK)
        harness.step(MS)
        most = max(most, len(harness.core.turn.timers))
    assert how(harness, name) == "ok" and most < 12


def test_connections_past_the_limit_cost_first_what_asked_once_and_stayed():
    harness = plain_harness(cores=9)
    links = [harness.open() for _ in range(harness.limits.max_connections)]
    names = [harness.submit(links[0])]
    for link in links[2:]:
        harness.deliver(link, HeartbeatCall(1))
    harness.step(MS)
    names.append(harness.submit(harness.open()))
    harness.step(MS)
    # what checked once, the longest silent first: no RPC is on its way there
    assert [link for link in links if harness.connections[link] == "closed"] == [links[2]]
    harness.deliver(links[3], HeartbeatCall(2))
    harness.step(MS)
    names.append(harness.submit(harness.open()))
    harness.step(MS)
    assert (
        harness.connections[links[4]] == "closed"
        and harness.connections[links[3]] == harness.connections[links[5]] == "open"
    )
    assert len(harness.frontend.table.connections) == harness.limits.max_connections == 136
    for each in names:
        harness.step(MS)
        ends_well(harness, each)
    # a crowd that checked once and stays is closed soon, and not those that go on
    for _ in range(130):
        harness.step(10 * MS)
    assert harness.connections[links[3]] == "open" and not any(
        harness.connections[link] == "open" for link in links[4:]
    )
    assert Limits.from_config({"memory_mb": 32, "sockets": 384}, 3200, 3_000_000).max_connections == 192
    assert Limits.from_config({"memory_mb": 192, "sockets": 1024}, 3200, 3_000_000).max_connections == 960
    assert Limits.from_config({"memory_mb": 192, "sockets": 100}, 3200, 3_000_000).max_connections == 50


def test_one_that_checked_once_and_stays_is_closed_and_one_that_goes_on_is_not():
    harness = plain_harness()
    once, on = harness.open(), harness.open()
    harness.deliver(once, HeartbeatCall(1))
    for n in range(140):
        harness.deliver(on, HeartbeatCall(n + 1)) if n % 10 == 0 else None
        harness.step(100 * MS)
    assert harness.connections[once] == "closed" and harness.connections[on] == "open"


def test_a_fresh_connection_is_not_idle_before_its_first_rpc():
    harness = plain_harness()
    link = harness.open()
    for _ in range(20):
        harness.step(10 * MS)
    assert not harness.frontend.table.connections[link].closing_announced
    for _ in range(16):
        harness.step(100 * MS)
    assert harness.connections[link] == "closed"  # well before a client that stays silent is owed a close


def test_draining_tells_the_registry_at_once_and_ends_when_nothing_is_left():
    harness = plain_harness()
    name = running(harness, 1)
    harness.drain_notice_at = harness.now
    harness.feed(Drain())
    assert harness.reports[-1] == (harness.now, b"HERE n1 off")
    harness.end_run(name, Outcome.OK)
    for _ in range(400):
        if not harness.ended:
            harness.step(10 * MS)
    assert (
        how(harness, name) == "ok"
        and harness.ended
        and harness.now < harness.drain_notice_at + harness.limits.stop_timeout + 100 * MS
    )


def test_nothing_is_kept_once_all_windows_are_over():
    harness, rng = plain_harness(), random.Random(4)
    for _ in range(400):
        harness.step(10 * MS)
        one_step(harness, rng, 2)
    harness.pool_accepts = harness.store_accepts = True
    for _ in range(3000):
        harness.step(10 * MS)
        for name in list(harness.active_runs):
            harness.end_run(name, Outcome.OK)
    core = harness.core
    assert len(harness.attempts) > 100
    for piece, kept in (
        (core.lifecycle, ("rpcs", "index_by_name")),
        (core.idempotency, ("entries", "with_result")),
        (core.store, ("connections",)),
        (core.pool, ("pending_timers", "unconfirmed")),
    ):
        for name in kept:
            assert not getattr(piece, name), name
    assert all(harness.connections[link] != "closed" for link in core.turn.connection_owners)
    assert not core.control.state.table.active and len(core.turn.timers) < 12 + 2 * len(
        harness.frontend.table.connections
    )
