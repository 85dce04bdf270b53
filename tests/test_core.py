"""The core and its front without sockets: seeded random runs, rules checked at every step; plain cases."""

import random

import pytest

from finchcart.interface import Outcome
from finchcart.net.limits import Limits
from finchcart.node.inputs import (
    AddressesChanged,
    AllocationGranted,
    ConnectionEnded,
    Drain,
    WriteBlocked,
    WriteResumed,
)
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.limiters import RateLimiter, RpcConcurrencyLimiter
from finchcart.quota.limits import Limit
from finchcart.thrift import codec as thrift
from finchcart.thrift.messages import HeartbeatCall, SubmitCall, UnservedCall
from tests.harness import MS, Far, draw_settings, read_answer
from tests.test_control import PLAIN

GAUGES = {"gauges": ("core_use", "on_cores")}


def one_step(far, rng, load):
    fronts = [link for link, kind in far.links.items() if kind == "open" and link > 0]
    if rng.random() < 0.1 or not fronts:
        fronts.append(far.open())
    tokened = [name for name, r in far.tries.items() if r["kind"] == "keyed"]
    for _ in range(rng.choice((0, 0, 1, load))):
        again = rng.choice(tokened[-20:]) if tokened and rng.random() < 0.3 else None
        far.submit(
            rng.choice(fronts[-6:]),
            rng.randrange(far.settings["methods.count"]),
            again,
            waited=rng.choice((0, 0, 30, 300)) * MS,
        )
    if far.waiting and rng.random() < 0.1:
        far.revoke(rng.choice(list(far.waiting)))
    if rng.random() < 0.01:
        far.cut(rng.choice(fronts), rng.choice(("", "cut off")))
    for name, run in list(far.active.items()):
        r, chance = far.tries[name], rng.random()
        if run["state"] == "running" and chance < 0.12:
            far.finish(name, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif run["state"] == "running" and chance < 0.2:
            far.block(name)
        elif run["state"] == "blocked" and (r["answers"] or not r["owed"]):
            far.finish(name, Outcome.STOPPED)
    for link, calls in list(far.calls.items()):
        for name in [name for name in calls if name in far.active]:
            if far.links[link] == "open" and far.runs[name]["state"] == "blocked" and rng.random() < 0.2:
                far.store_reply(
                    link,
                    name,
                    rng.choice((Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT)),
                )
        if far.links[link] == "open" and link != far.pool and rng.random() < 0.01:
            far.cut_store(link)
    if rng.random() < 0.01:
        far.store_up = not far.store_up
    if rng.random() < 0.01:
        far.cut_pool()
    if rng.random() < 0.02:
        far.pool_up = not far.pool_up


def play(far, rng, anew_at=None):
    """A random day with a drain; returns how each try ended."""
    load, drain_at = rng.choice((1, 3, 12)), rng.randint(350, 600)
    for step in range(1200):
        far.step(rng.randint(1, 12) * MS)
        if far.ended:
            break
        one_step(far, rng, load)
        if step == anew_at:
            far.anew()
        if step == drain_at:
            far.drained = far.now
            far.feed(Drain())
    assert far.ended and len(far.tries) > 50
    return [r.get("how") for r in far.tries.values()]


@pytest.mark.parametrize("seed", [*range(20), 2008])  # 2008: an idempotent run starts again as it ends
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    far = Far({**draw_settings(rng), **GAUGES}, seed, cached_results=rng.choice((60, 10_000)))
    assert "ok" in play(far, rng, rng.choice((None, 320)))


def limits_by_chance(rng):
    """One limit of the fleet of each kind, and what this node is given of each, now and then."""
    limits = (
        Limit("calls", 40, 1),
        Limit("calls a second", 200, 1, per="rate", burst=20),
        Limit("in hand", 20, counts="rpcs", mode="loose"),
        Limit("a second", 100, 2, counts="rpcs", per="rate", burst=30, method="m0"),
        Limit("of one", 60, counts="rpcs", per="rate", burst=30, mode="loose", dispatcher="3"),
    )
    meters = LimiterSet(rng.sample(limits, rng.randint(1, 5)), 20 * MS, 10)
    return meters


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_with_limits_of_the_fleet(seed, meddle=lambda meters, far: None):
    rng = random.Random(seed)
    meters = limits_by_chance(rng)
    far = Far({**draw_settings(rng), **GAUGES}, seed, limiters=meters)
    meddle(meters, far)
    taken = {
        meter: [0.0, far.now] for meter in meters.all if isinstance(meter, RateLimiter)
    }  # its bucket's level
    for meter, bucket in taken.items():
        take = meter.try_acquire

        def took(rpc=None, take=take, meter=meter, bucket=bucket):
            got = take(rpc)
            if got:
                limit = meter.limit
                bucket[0] = max(0.0, bucket[0] - (far.now - bucket[1]) * limit.amount / 1e6) + 1
                bucket[1] = far.now
                assert bucket[0] <= limit.burst + 1e-6, "more than the burst and what the rate gives"
            return got

        meter.try_acquire = took
    step = far.step

    def stepped(dt):
        step(dt)
        if rng.random() < 0.1 and not far.ended:
            meter = rng.choice(meters.all)
            limit = meter.limit
            far.feed(
                AllocationGranted(
                    limit.name,
                    limit.floor,
                    rng.randint(0, limit.amount - 10),
                    far.now + rng.randint(0, 3000) * MS,
                )
            )
        for meter in meters.rpcs:
            if isinstance(meter, RpcConcurrencyLimiter):
                counted = sum(meter in (rpc.counted_by or ()) for rpc in far.core.lifecycle.rpcs.values())
                assert meter.count == counted, "counted and not in hand"
                assert all(
                    not rpc.completed and (rpc.answer_owed or rpc.started)
                    for rpc in far.core.lifecycle.rpcs.values()
                    if rpc.counted_by
                )

    far.step = stepped
    play(far, rng)
    for meter in meters.rpcs:
        assert not isinstance(meter, RpcConcurrencyLimiter) or meter.count == 0


def not_counted_out(meters, far):
    far.core.lifecycle.release_limits = lambda rpc: None


def test_a_planted_defect_is_found_rpcs_that_are_not_counted_out():
    with pytest.raises(AssertionError):
        for seed in range(6):
            test_rules_hold_with_limits_of_the_fleet(seed, not_counted_out)


def test_an_rpc_over_a_limit_of_the_fleet_is_pushed_back_at_once_and_told_when_to_come_back():
    meters = LimiterSet(
        (Limit("a second", 50, 0, counts="rpcs", per="rate", burst=10, dispatcher="3"),), 0, 10
    )
    far = far_plain(limiters=meters, retry_after_max=1000 * MS)
    link = far.open()
    far.feed(AllocationGranted("a second", 0, 10, far.now + 10**9))
    far.step(MS)
    far.step(100 * MS)
    first = far.submit(link)
    far.step(MS)
    second = far.submit(link)
    far.step(MS)
    other = far.submit(link, f="4")
    far.step(MS)
    how = [far.tries[name].get("how") for name in (first, second, other)]
    assert how[1] == "pushed back" and "pushed back" not in (how[0], how[2]), "of that dispatcher alone"
    for _ in range(20):
        far.step(40 * MS)
    assert any(name == "a second" and wants > 0 for name, _, wants, _ in far.used), "its demand is told"


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
    far = far_plain(limiters=meters, **settings)
    links = [far.open() for _ in range(3)]
    far.feed(AllocationGranted("in hand", 0, 40, far.now + 10**9))
    names = [far.submit(links[n % 2]) for n in range(45)]
    far.step(MS)
    names += [far.submit(links[2], 1) for _ in range(5)]
    far.step(MS)
    lesser, more = (
        [far.tries[name].get("how") for name in part].count("pushed back")
        for part in (names[:45], names[45:])
    )
    assert (lesser, more) == (7, 3), "two of forty are kept free of the lesser ones"


def far_plain(limiters=None, observer=None, key_leases=None, **settings):
    far = Far({**PLAIN, **GAUGES, **settings}, limiters=limiters, observer=observer, key_leases=key_leases)
    far.step(MS)
    far.step(MS)
    assert far.core.control is not None
    return far


def running(far, n=0):
    """A try that runs."""
    name = far.submit(far.open(), n)
    far.step(MS)
    far.step(MS)
    assert far.runs[name]["state"] == "running"
    return name


def ends_well(far, name):
    far.finish(name, Outcome.OK)
    far.step(MS)
    assert how(far, name) == "ok"


def calling(far, n=0):
    """A try at a call, and the link that the call is on."""
    name = running(far, n)
    far.block(name)
    for _ in range(3):
        far.step(MS)
    ((link, _),) = [(link, calls) for link, calls in far.calls.items() if calls]
    return name, link


def repeated(far, outcome):
    """A try that ends so, and a repeat of it that came while it ran."""
    first = far.submit(far.open(), 1)
    far.step(MS)
    second = far.submit(far.open(), 1, first)
    far.step(MS)
    far.finish(first, outcome)
    far.step(MS)
    return first, second


def how(far, name):
    return far.tries[name].get("how")


def test_a_repeat_shares_the_result_unchanged_and_never_runs():
    far = far_plain()
    first, second = repeated(far, Outcome.OK)
    third = far.submit(far.open(), 1, first)
    far.step(MS)
    assert [how(far, name) for name in (first, second, third)] == ["ok"] * 3
    assert list(far.runs) == [first]


def test_a_repeat_of_what_failed_fails():
    far = far_plain()
    first, second = repeated(far, Outcome.ERROR)
    assert (how(far, first), how(far, second), list(far.runs)) == ("aborted", "aborted", [first])


def test_a_try_that_came_in_the_window_is_known_when_it_is_read_after_it():
    far = far_plain()
    first = running(far, 1)
    far.finish(first, Outcome.OK)
    far.step(MS)
    far.step(5_100 * MS)
    reached = far.now
    far.step(300 * MS)
    late = far.submit(far.open(), 1, first, waited=far.now - reached)
    far.step(MS)
    assert how(far, late) == "ok" and list(far.runs) == [first]
    far.step(6_000 * MS)
    anew = far.submit(far.open(), 1, first)
    far.step(MS)
    far.step(MS)
    assert anew in far.runs


def test_commands_lost_with_the_pools_link_are_written_again_after_the_replay():
    far = far_plain()
    link = far.open()
    done = far.submit(link)
    far.step(MS)
    far.step(MS)
    far.cut_pool()
    far.finish(done, Outcome.OK)  # while no link exists
    lost = far.submit(link)
    for _ in range(60):
        far.step(10 * MS)
    assert how(far, done) == "ok" and far.runs[lost]["state"] == "running"
    far.finish(lost, Outcome.OK)
    far.step(MS)
    assert how(far, lost) == "ok" and len([n for n in far.notices if n[2] == done]) == 1


def test_an_effect_whose_start_may_have_been_lost_is_answered_and_never_started_twice():
    far = far_plain()
    name = far.submit(far.open(), 1)
    far.step(MS)
    far.cut_pool()
    for _ in range(60):
        far.step(10 * MS)
    assert how(far, name) == "aborted" and name not in far.runs
    again = far.submit(far.open(), 1, name)
    far.step(MS)
    assert how(far, again) == "aborted" and not far.runs


def test_an_effect_whose_start_was_never_written_is_started_once_the_link_is_back():
    far = far_plain()
    far.pool_up = False
    far.cut_pool()
    name = far.submit(far.open(), 1)
    for _ in range(20):
        far.step(10 * MS)
    far.pool_up = True
    for _ in range(20):
        far.step(10 * MS)
    ends_well(far, name)


def test_a_reply_that_may_have_been_lost_leaves_the_call_out_where_that_is_allowed():
    far = far_plain(degraded_value=(0.5, 0.0))
    name, link = calling(far)
    far.store_reply(link, name, Outcome.OK)
    far.step(0)
    assert far.runs[name]["state"] == "blocked"  # the reply is on its way
    far.cut_pool()
    for _ in range(20):
        far.step(10 * MS)
    assert far.runs[name]["state"] == "running"
    ends_well(far, name)


def move(far):
    far.places = {kind: (place, port + 1) for kind, (place, port) in far.places.items()}
    far.feed(AddressesChanged(far.places))


def test_links_follow_a_new_configuration_and_nothing_is_lost_on_the_way():
    far = far_plain()
    held, (called, link) = running(far, 1), calling(far)
    name, old = far.submit(far.open(), 1), far.pool
    far.step(0)
    assert name not in far.runs  # its start is on the old link
    move(far)
    during = far.submit(far.open(), 1)
    for _ in range(8):
        far.step(MS)
    assert far.links[old] == "closed" and far.links[far.pool] == "open"
    assert far.reports[-1][0] == far.now - 8 * MS
    far.store_reply(link, called, Outcome.OK)  # at the old place
    far.step(MS)
    far.step(MS)
    assert far.runs[called]["state"] == "running"
    for each in (held, called, name, during):
        ends_well(far, each)


def test_a_key_with_another_body_shares_nothing_and_what_the_pool_does_not_know_keeps_no_key():
    far = far_plain()
    first = far.submit(far.open(), 1)
    other = far.open()
    far.step(MS)
    far.tries["x"] = {**far.tries[first], "body": b"other"}
    for link in (other, far.count):
        far.submit(link, 1, "x", r="1")
    far.step(MS)
    far.finish(first, Outcome.OK)
    far.step(MS)
    assert [r.get("how") for r in far.tries.values() if r["body"] == b"other"][1:] == ["aborted"] * 2
    odd, done = far.submit(far.open(), 1), far.core.control.work_completed
    far.step(0)
    far.commands.clear()
    far.give(far.pool, ("undone", True, odd))
    far.step(0)
    assert how(far, odd) == "aborted" and far.core.control.work_completed == done
    true = far.submit(far.open(), 1, odd)
    far.step(MS)
    far.step(MS)
    ends_well(far, true)


def test_a_pool_that_started_anew_has_lost_its_runs_and_none_is_run_again():
    far = far_plain()
    names = [far.submit(far.open(), n) for n in (0, 1)]
    far.step(MS)
    far.step(2_000 * MS)
    far.anew()
    for _ in range(30):
        far.step(10 * MS)
    assert [how(far, name) for name in names] == ["aborted"] * 2
    after = running(far)
    ends_well(far, after)


def test_a_bind_to_the_same_pool_is_no_new_start_though_its_age_is_told_in_rough():
    far = far_plain()
    name = running(far)
    far.cut_pool()
    far.pool_start += 900  # told in whole milliseconds
    for _ in range(30):
        far.step(10 * MS)
    assert how(far, name) is None and far.runs[name]["state"] == "running"


def test_a_call_made_after_one_given_up_goes_where_no_late_reply_can_pass_for_its_own():
    far = far_plain(**{"methods.0.kind": "idempotent", "degraded_value": (0.0, 0.0)})
    name = running(far)
    far.block(name)
    far.step(MS)
    far.step(MS)
    ((first, calls),) = [(link, calls) for link, calls in far.calls.items() if calls]
    body = calls[name]
    far.core.turn.schedule(
        far.now, far.core.store.time_out, far.core.lifecycle.rpcs[0], 1
    )  # its time limit comes early
    for _ in range(3):
        far.step(MS)
    ((second, calls),) = [(link, calls) for link, calls in far.calls.items() if calls]
    assert second != first
    assert far.links[first] == "closed"
    far.give(first, ("reply", name, Outcome.OK, body))
    far.step(MS)
    assert far.runs[name]["state"] == "blocked"
    far.store_reply(second, name, Outcome.OK)
    far.step(MS)
    far.step(MS)
    assert far.runs[name]["state"] == "running"


def test_a_spoilt_reply_costs_its_own_call_and_a_link_that_said_too_much_takes_no_further():
    far = far_plain(cores=8, calls_limit=20, degraded_value=(0.5, 0.0))
    names = [running(far) for _ in range(3)]
    for name in names:
        far.block(name)
    for _ in range(3):
        far.step(MS)
    links = {name: link for link, calls in far.calls.items() for name in calls}
    assert len(set(links.values())) == 3
    spoilt, odd, good = names
    far.lose(links[spoilt], "noise")
    for name, more in ((odd, True), (good, False)):
        body = far.calls[links[name]].pop(name)
        far.supplied[name] = body
        if more:
            far.give(links[name], ("reply", "f" * 16, Outcome.OK, b"another's"))
        far.give(links[name], ("reply", name, Outcome.OK, body))
    for _ in range(3):
        far.step(MS)
    assert [far.runs[name]["state"] for name in names] == ["blocked", "running", "running"]
    assert far.links[links[odd]] == "closed" and far.links[links[good]] == "open"
    far.block(good)  # a second call of the same RPC: not where a copy of its first reply may come
    far.block(odd)
    for _ in range(3):
        far.step(MS)
    (link,) = [link for link, calls in far.calls.items() if good in calls]
    assert link != links[good]


def test_an_idle_link_to_the_store_is_closed_before_the_store_does_it():
    far = far_plain()
    name, link = calling(far)
    far.store_reply(link, name, Outcome.OK)
    for _ in range(90):
        far.step(10 * MS)
    assert far.links[link] == "open"
    for _ in range(20):
        far.step(10 * MS)
    assert far.links[link] == "closed" and not far.core.store.connections


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT])
def test_a_call_of_an_effect_is_not_repeated_without_proof(outcome):
    far = far_plain()
    name, link = calling(far, 1)
    far.store_reply(link, name, outcome)
    for _ in range(5):
        far.step(MS)
    assert how(far, name) == "aborted" and not any(far.calls.values())


def test_a_try_stamped_by_a_clock_that_is_ahead_is_taken_as_new():
    far = far_plain()
    name = far.submit(far.open(), waited=-80 * MS)
    far.step(MS)
    far.step(MS)
    ends_well(far, name)


def test_a_dispatcher_that_never_reads_is_read_no_further():
    far = far_plain()
    link = far.open()
    far.feed(WriteBlocked(link))
    for _ in range(3):
        far.give(link, HeartbeatCall(1))
        far.step(MS)
    assert len(far.inbox[link]) == 2
    far.feed(WriteResumed(link))
    far.step(MS)
    assert not far.inbox[link]


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
    far, told = far_plain(), []
    far.answered = lambda link, data: told.append(read_answer(data))
    far.submit(far.open(), 1, **spoil)
    far.step(MS)
    far.step(MS)
    ((kind, _, _, args),) = told
    assert kind == thrift.EXCEPTION and words in args[1, thrift.STRING].decode() and not far.runs
    assert not far.core.control.read_delay and not far.core.control.callers_seen


def test_a_body_over_the_limit_an_unknown_method_and_the_33rd_open_rpc_are_answered():
    far, told = far_plain(**{"cores": 40, "memory_kb": 200_000}), []
    link = far.open()
    for _ in range(33):
        far.submit(link)
    far.answered = lambda link, data: told.append(read_answer(data))
    far.give(link, SubmitCall(40, {"c": "m0"}, b"x" * 2049))
    far.give(link, UnservedCall(41, "shout"))
    for _ in range(3):
        far.step(0)
    assert [(kind, seq) for kind, _, seq, _ in told] == [(2, 33), (3, 40), (3, 41)]


def test_a_sequence_number_in_use_closes_the_connection_once_its_answers_are_out():
    far = far_plain()
    link = far.open()
    name = far.submit(link)
    far.step(MS)
    far.give(link, SubmitCall(1, {}, b""))
    far.step(MS)
    assert link in far.front.table.connections and far.links[link] == "open"
    far.finish(name, Outcome.OK)
    for _ in range(3):
        far.step(MS)
    assert how(far, name) == "ok" and far.links[link] == "closed"


def test_one_that_sent_what_can_not_be_read_and_ends_is_answered_still():
    far = far_plain()
    name = running(far)
    link = far.tries[name]["link"]
    far.cut(link, "rubbish")
    far.feed(ConnectionEnded(link, ""))  # the reader sees the end of what it goes on to read
    ends_well(far, name)
    assert far.links[link] == "closed"


def test_an_idle_connection_is_told_before_it_is_closed_and_what_crosses_is_answered():
    far = far_plain()
    link, told = far.open(), []
    name = far.submit(link)
    far.step(MS)
    far.step(MS)
    answered = far.answered
    far.answered = lambda link, data: (told.append(read_answer(data)[1]), answered(link, data))
    far.finish(name, Outcome.OK)
    far.step(MS)
    far.step(12 * MS)
    assert told == [b"submit", b"closing"]
    crossed = far.submit(link)
    far.step(MS)
    far.step(MS)
    far.finish(crossed, Outcome.OK)
    far.step(MS)
    assert how(far, crossed) == "ok" and far.links[link] == "open"
    for _ in range(300):
        far.step(10 * MS)
    assert far.links[link] == "closed"


def at_its_close(far):
    """A connection told to close, an instant before it is."""
    link = far.open()
    name = far.submit(link)
    far.step(MS)
    far.step(MS)
    far.finish(name, Outcome.OK)
    far.step(MS)
    while not far.front.table.connections[link].closing_announced:
        far.step(MS)
    far.step(far.limits.close_delay - MS)
    assert far.links[link] == "open"
    return link


def test_a_request_that_lies_unread_as_its_connection_is_due_to_close_is_answered():
    far = far_plain()
    far.slow, link = 0, at_its_close(far)
    far.asked[link] = 0  # its reader has not been asked: the request lies in the system's buffer
    name = far.submit(link)
    far.step(2 * MS)
    assert far.links[link] == "open" and how(far, name) is None
    far.asked[link] = 1
    far.step(MS)
    far.step(MS)
    ends_well(far, name)
    for _ in range(300):
        far.step(10 * MS)
    assert far.links[link] == "closed"


def test_a_planted_defect_is_found_a_close_that_looks_at_nothing():
    far = far_plain()
    far.slow, link = 0, at_its_close(far)
    far.asked[link] = 0
    far.finished = lambda link: True
    name = far.submit(link)
    far.step(2 * MS)
    assert far.links[link] == "closed" and how(far, name) is None
    with pytest.raises(AssertionError, match="lost"):
        for _ in range(1000):
            far.step(10 * MS)


def test_timers_do_not_pile_up_on_a_busy_connection():
    far = far_plain()
    far.slow, link, most = 0, far.open(), 0
    far.core.port.set_idle_timeout(8_000 * MS)
    for _ in range(300):
        name = far.submit(link)
        far.step(20 * MS)
        far.step(MS)
        far.finish(name, Outcome.OK)
        far.step(MS)
        most = max(most, len(far.core.turn.timers))
    assert how(far, name) == "ok" and most < 12


def test_connections_past_the_limit_cost_first_what_asked_once_and_stayed():
    far = far_plain(cores=9)
    links = [far.open() for _ in range(far.limits.max_connections)]
    names = [far.submit(links[0])]
    for link in links[2:]:
        far.give(link, HeartbeatCall(1))
    far.step(MS)
    names.append(far.submit(far.open()))
    far.step(MS)
    # what checked once, the longest silent first: no RPC is on its way there
    assert [link for link in links if far.links[link] == "closed"] == [links[2]]
    far.give(links[3], HeartbeatCall(2))
    far.step(MS)
    names.append(far.submit(far.open()))
    far.step(MS)
    assert far.links[links[4]] == "closed" and far.links[links[3]] == far.links[links[5]] == "open"
    assert len(far.front.table.connections) == far.limits.max_connections == 136
    for each in names:
        far.step(MS)
        ends_well(far, each)
    # a crowd that checked once and stays is closed soon, and not those that go on
    for _ in range(130):
        far.step(10 * MS)
    assert far.links[links[3]] == "open" and not any(far.links[link] == "open" for link in links[4:])
    assert Limits.from_config({"memory_mb": 32, "sockets": 384}, 3200).max_connections == 192
    assert Limits.from_config({"memory_mb": 192, "sockets": 1024}, 3200).max_connections == 960
    assert Limits.from_config({"memory_mb": 192, "sockets": 100}, 3200).max_connections == 50


def test_one_that_checked_once_and_stays_is_closed_and_one_that_goes_on_is_not():
    far = far_plain()
    once, on = far.open(), far.open()
    far.give(once, HeartbeatCall(1))
    for n in range(140):
        far.give(on, HeartbeatCall(n + 1)) if n % 10 == 0 else None
        far.step(100 * MS)
    assert far.links[once] == "closed" and far.links[on] == "open"


def test_a_fresh_connection_is_not_idle_before_its_first_rpc():
    far = far_plain()
    link = far.open()
    for _ in range(20):
        far.step(10 * MS)
    assert not far.front.table.connections[link].closing_announced
    for _ in range(16):
        far.step(100 * MS)
    assert far.links[link] == "closed"  # well before a client that stays silent is owed a close


def test_draining_tells_the_registry_at_once_and_ends_when_nothing_is_left():
    far = far_plain()
    name = running(far, 1)
    far.drained = far.now
    far.feed(Drain())
    assert far.reports[-1] == (far.now, b"HERE n1 off")
    far.finish(name, Outcome.OK)
    for _ in range(400):
        if not far.ended:
            far.step(10 * MS)
    assert how(far, name) == "ok" and far.ended and far.now < far.drained + far.limits.stop_timeout + 100 * MS


def test_nothing_is_kept_once_all_windows_are_over():
    far, rng = far_plain(), random.Random(4)
    for _ in range(400):
        far.step(10 * MS)
        one_step(far, rng, 2)
    far.pool_up = far.store_up = True
    for _ in range(3000):
        far.step(10 * MS)
        for name in list(far.active):
            far.finish(name, Outcome.OK)
    core = far.core
    assert len(far.tries) > 100
    for piece, kept in (
        (core.lifecycle, ("rpcs", "index_by_name")),
        (core.idempotency, ("entries", "with_result")),
        (core.store, ("connections",)),
        (core.pool, ("pending_timers", "unconfirmed")),
    ):
        for name in kept:
            assert not getattr(piece, name), name
    assert all(far.links[link] != "closed" for link in core.turn.connection_owners)
    assert not core.control.active and len(core.turn.timers) < 12 + 2 * len(far.front.table.connections)
