"""Seeded random runs with the rules checked after every step, beside a few plain cases."""

import random

import pytest

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rpc import RpcState
from tests.harness import MS, Node, draw_settings

PLAIN = {
    "cores": 2,
    "tick": 2 * MS,
    "drain_grace": 1000 * MS,
    "slack": 60 * MS,
    "memory_kb": 20_000,
    "run_factor": 4,
    "key_entry_kb": 1,
    "overload_factor": 6,
    "overload_window": 2000 * MS,
    "fresh_start": False,
    "can_stop": False,
    "feedback": "level",
    "retry_after_max": 1000 * MS,
    "tells_deadline": False,
    "calls_limit": 4.0,
    "calls_window": 5000 * MS,
    "method_calls": (True, True),
    "degraded_value": (0.5, 0.0),
    "methods.count": 2,
    "methods.0.name": "m0",
    "methods.0.kind": "idempotent",
    "methods.0.criticality": 1,
    "methods.0.latency_target": 1000 * MS,
    "methods.0.deadline": 3000 * MS,
    "methods.0.window": 0,
    "methods.1.name": "m1",
    "methods.1.kind": "keyed",
    "methods.1.criticality": 3,
    "methods.1.latency_target": 1000 * MS,
    "methods.1.deadline": 3000 * MS,
    "methods.1.window": 5000 * MS,
}


CALL_OUTCOMES = (
    Outcome.OK,
    Outcome.OK,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.UNREACHABLE,
    Outcome.CONNECTION_LOST,
)
KEPT = 8000 * MS  # idle timeout where idle connections are kept
NOT_KEPT = 10 * MS


def one_step(node, rng, load):
    """Whatever may happen at one moment, by chance."""
    arrivals(node, rng, load)
    run_ends(node, rng)
    call_ends(node, rng)
    for index in node.in_state(RpcState.AWAITING_CALL, RpcState.CALLING):
        if not node.rpcs[index].is_owed:
            node.end(index, Outcome.STOPPED)
    for index in node.in_state(RpcState.SHARING):
        first = node.rpcs[node.rpcs[index].first]
        if first.state is RpcState.COMPLETED and rng.random() < 0.5:
            node.end(index, Outcome.OK if first.has_run else Outcome.ERROR)
    callers_go(node, rng)


def arrivals(node, rng, load):
    keyed = [index for index, rpc in node.rpcs.items() if rpc.kind == "keyed" and index == rpc.first]
    for _ in range(rng.choice((0, 0, 1, 2, load))):
        method = rng.randrange(node.settings["methods.count"])
        first = rng.choice(keyed[-20:]) if keyed and rng.random() < 0.3 else None
        if first is not None:
            method = node.rpcs[first].method
        node.arrive(
            method,
            first,
            waited=rng.choice((0, 0, 50, 400)) * MS,
            time_left=rng.randint(1, 3000) * MS,
            memory_kb=rng.uniform(1, 60),
            shed_rank=rng.choice((None, rng.random())),
            service_time_hint=rng.choice((0, 100 * MS)),
        )


def run_ends(node, rng):
    for index in node.in_state(RpcState.RUNNING):
        rpc = node.rpcs[index]
        chance = rng.random()
        if rpc.state is not RpcState.RUNNING:
            continue  # completed or paused meanwhile, by what an earlier one set off
        if rpc.stop_requested and chance < 0.9:
            node.take_stop(index)
        elif chance < 0.03 and not rpc.is_owed:
            node.end(index, Outcome.OK)
        elif chance < 0.05:
            node.end(index, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif chance < 0.12 and node.settings["method_calls"][rpc.method]:
            node.await_call(index)


def call_ends(node, rng):
    for index in node.in_state(RpcState.CALLING):
        rpc = node.rpcs[index]
        spent = node.now - rpc.since
        timed_out = spent >= rpc.call_timeout
        if timed_out or rng.random() < 0.2:
            node.return_call(index, Outcome.TIMEOUT if timed_out else rng.choice(CALL_OUTCOMES), spent)


def callers_go(node, rng):
    for index in node.in_state(RpcState.QUEUED, RpcState.RUNNING, RpcState.SHARING, RpcState.PAUSED):
        rpc = node.rpcs[index]
        if rng.random() < 0.005 and not rpc.caller_is_gone:
            rpc.caller_is_gone = True
            if rpc.state is not RpcState.RUNNING:
                rpc.state = RpcState.COMPLETED
            rpc.handle.caller_gone(node.now)


def draw_pausing_settings(rng):
    """Settings of a made-up deployment in which the least critical runs yield to others."""
    settings = draw_settings(rng)
    while not may_yield(settings):
        settings = {**draw_settings(rng), "memory_kb": 200_000, "cores": 2, "overload_factor": 8}
    return settings


def shares_of(node):
    return [method.admission_probability for method in node.control.state.methods.all]


def may_yield(settings):
    numbers = range(settings["methods.count"])
    criticalities = [settings[f"methods.{number}.criticality"] for number in numbers]
    return settings["can_pause"] and max(criticalities) > 2 * min(criticalities)


@pytest.mark.parametrize("seed", [*range(40), 41, 44, 47, 50, 51])  # from 41 on runs are paused and go on
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    pauses = seed >= 40
    settings = draw_pausing_settings(rng) if pauses else draw_settings(rng)
    node = Node(settings, seed)
    load = 2 if pauses else rng.choice((2, 6, 40))
    drain_at = rng.randint(150, 650)
    for step in range(700):
        node.step(node.settings["tick"] * rng.randint(1, 4), stalled=rng.random() < 0.01)
        node.check()
        if node.kill_at and node.now >= node.kill_at:
            break
        one_step(node, rng, load)
        if step in (drain_at, drain_at + 20):
            node.kill_at = node.kill_at or node.now + rng.randint(300, 5000) * MS
            node.drained_at = node.drained_at or node.now
            node.control.drain(node.now, node.kill_at)
    assert node.count > 100 and (not pauses or node.resumed)


def test_a_duplicate_shares_and_never_runs():
    node = Node(PLAIN)
    first = node.arrive(1)
    duplicate = node.arrive(1, first)  # in the same batch
    assert (node.rpcs[first].state, node.rpcs[duplicate].state) == (RpcState.RUNNING, RpcState.SHARING)
    node.step(50 * MS)
    node.end(first, Outcome.ERROR)
    third = node.arrive(1, first)
    assert node.rpcs[third].answered and not node.rpcs[third].has_run


def test_late_runs_are_failed_before_they_are_due():
    node = Node(PLAIN)
    index = node.arrive(0)
    for _ in range(1500):
        node.step(2 * MS)
        node.check()
    assert node.rpcs[index].answered and node.rpcs[index].state is RpcState.RUNNING


def test_a_failed_call_is_repeated_only_after_proof():
    node = Node(PLAIN)
    for outcome, state in (
        (Outcome.UNREACHABLE, RpcState.CALLING),
        (Outcome.CONNECTION_LOST, RpcState.AWAITING_CALL),
    ):
        index = node.arrive(1)
        node.await_call(index)
        node.return_call(index, outcome, spent=1)
        assert node.rpcs[index].state is state


def test_a_node_is_unhealthy_while_rpcs_lose_their_time_unread_and_healthy_again_after():
    node = Node(PLAIN)
    objective = PLAIN["methods.0.latency_target"]
    node.waiting_reads = 9
    for _ in range(30):
        node.arrive(waited=objective * 4 // 5)
        node.step(40 * MS)
    assert not node.healthy
    node.waiting_reads = 0
    for _ in range(150):
        node.step(40 * MS)
    assert node.healthy


def test_calls_to_a_tier_are_not_limited_by_a_share_that_is_not_told():
    """Where a tier is called, a share of nought is written: with it no call would be made."""
    node = Node({**PLAIN, "dependency": "tier", "calls_limit": 0.0})
    index = node.arrive(1)
    node.await_call(index)
    assert node.rpcs[index].state is RpcState.CALLING


def test_a_pause_that_a_stall_swallowed_counts_as_a_run_again():
    node = Node({**PLAIN, "can_stop": True, "can_pause": True})
    for method in (0, 0, 0, 1):
        node.arrive(method)
    assert len(node.control.state.runs.pausing) == 1
    node.step(50 * MS)
    assert not node.control.state.runs.pausing and node.control.state.runs.on_cores == 3


def test_idle_connections_are_kept_where_no_level_keeps_callers_off():
    for feedback, idle_timeout in (("level", NOT_KEPT), ("silent", KEPT)):
        node = Node({**PLAIN, "feedback": feedback})
        for step in range(600):
            node.step(10 * MS)
            for arrival in range(3):
                node.arrive(0, caller=step * 3 + arrival)
            node.end_older(300 * MS)
        assert min(shares_of(node)) < 0.6 and node.idle_timeout == idle_timeout


def test_a_credit_is_what_ends_in_time_shared_by_the_callers_that_come():
    credits = []
    for callers in (2, 20):
        node = Node({**PLAIN, "feedback": "credit", "feedback_lifetime": 1000 * MS})
        for step in range(400):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_older(200 * MS)
        credits.append(node.published_credit)
    few_callers, many_callers = credits
    assert few_callers > 5 * many_callers > 0


def test_callers_that_are_always_new_are_forgotten():
    node = Node({**PLAIN, "cores": 40, "memory_kb": 1e9})
    for caller in range(5000):
        node.arrive(caller=str(caller))
        node.step(20 * MS)
        for index in node.in_state(RpcState.RUNNING):
            node.end(index)
    assert len(node.control.state.callers.last_seen) < 1100 and not node.control.state.table.active


def test_one_long_run_does_not_make_a_node_slow():
    """Run times vary, and a single long one is no sign."""
    node = Node(PLAIN)
    node.arrive(0)
    for step in range(60):
        node.step(10 * MS)
        if step % 8 == 0:
            node.arrive(0)
        node.end_older(150 * MS, skip=1)
    assert node.control.state.slowdown.factor < 2


@pytest.mark.parametrize("pauses", [False, True])
def test_what_waits_unread_cuts_the_less_critical_first(pauses):
    """What others yield to is not rejected beside cores that run the least critical."""
    node = Node({**PLAIN, "can_stop": pauses, "can_pause": pauses})
    for _ in range(300):
        node.step(10 * MS)
        for method in (0, 1):
            node.arrive(method, waited=800 * MS)
        node.end_older(150 * MS)
    low, high = (method.admission_probability for method in node.control.state.methods.all)
    assert low < 0.2 and low < high and (high == 1) is pauses


def note_rejections(node):
    """The (retry_after, do_not_retry) of all that the node rejects from now on, as they come."""
    rejections = []

    def reject(index, retry_after, do_not_retry):
        rejections.append((retry_after, do_not_retry))
        node.rpcs[index].state = RpcState.COMPLETED
        node.rpcs[index].answered = True

    node.reject = reject
    return rejections


@pytest.mark.parametrize(
    "marks_retries, is_retry, do_not_retry",
    [(True, False, False), (True, True, True), (False, False, True)],
)
def test_a_full_fleet_shows_by_retries_or_a_deep_cut_where_these_carry_no_mark(
    marks_retries, is_retry, do_not_retry
):
    """Otherwise a full fleet would read the same RPCs on one node after another."""
    node = Node({**PLAIN, "marks_retries": marks_retries})
    rejections = note_rejections(node)
    for _ in range(200):
        node.step(10 * MS)
        node.arrive(0, is_retry=is_retry, waited=500 * MS)
        node.end_older(300 * MS)
    assert rejections and rejections[-1][1] is do_not_retry


def test_a_slow_dependency_leaves_time_for_a_degraded_answer():
    """Runs must not spend all their time at calls: after a time-out the call is left out, in time."""
    node = Node(PLAIN)
    index = node.arrive(0)
    rpc = node.rpcs[index]
    node.await_call(index)
    assert rpc.state is RpcState.CALLING and rpc.call_timeout < 900 * MS
    node.step(rpc.call_timeout)
    node.return_call(index, Outcome.TIMEOUT, spent=rpc.call_timeout)
    assert rpc.state is RpcState.RUNNING and not rpc.answered


def test_idle_connections_are_kept_only_where_callers_soon_come_again():
    """Hundreds of callers that each come once a minute would fill the table of connections."""
    for callers, idle_timeout in ((5, KEPT), (400, NOT_KEPT), (5, KEPT)):
        node = Node(PLAIN)
        for step in range(3000):
            node.step(10 * MS)
            if step % 10 == 0:
                node.arrive(0, caller=step // 10 % callers)
            node.end_older(100 * MS)
        assert node.idle_timeout == idle_timeout and len(node.lines) <= 1


def test_idle_connections_are_kept_where_rpcs_lose_their_time_unread():
    """A full table rejects at the least cost: storms of reads would leave no cores for runs."""
    node = Node(PLAIN)
    for waited, idle_timeout in ((500, KEPT), (10, NOT_KEPT)):
        for step in range(600):
            node.step(10 * MS)
            node.arrive(0, caller=step + waited * 1000, waited=waited * MS)
            node.end_older(100 * MS)
        assert node.idle_timeout == idle_timeout


def test_a_retry_has_less_time_left():
    """Its latency objective passes while other nodes reject it."""
    node = Node(PLAIN)
    node.control.state.arrivals.retry_ratio = 0.5
    first, retry = node.arrive(0), node.arrive(0, is_retry=True)
    late = node.arrive(0, is_retry=True, waited=450 * MS, service_time_hint=400 * MS)
    times_left = [node.rpcs[index].handle.objective_at - node.now for index in (first, retry)]
    assert times_left == [1000 * MS, 500 * MS] and node.rpcs[late].state is RpcState.COMPLETED


def test_nothing_is_cut_while_a_core_is_free_and_nothing_waits():
    """A node of two cores would otherwise reject RPCs beside an idle core."""
    node = Node(PLAIN)
    for method in node.control.state.methods.all:
        method.admission_probability = 0.0
    states = [node.rpcs[node.arrive(0)].state for _ in range(3)]
    assert states == [RpcState.RUNNING, RpcState.RUNNING, RpcState.COMPLETED]


def test_advice_goes_only_to_callers_that_soon_come_again():
    """Advice that reaches no caller in time would only delay the client's next try."""
    for callers, advised in ((3, True), (5000, False)):
        node = Node(PLAIN)
        rejections = note_rejections(node)
        for step in range(2000):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_older(300 * MS)
        assert any(retry_after for retry_after, _ in rejections[-50:]) is advised


@pytest.mark.parametrize(
    "odd",
    [
        {"cores": 1},
        {"calls_limit": 0.3},
        {"calls_window": 0},
        {"overload_window": 0},
        {"overload_factor": 1},
        {"drain_grace": 0},
        {"fresh_start": True, "warm_up": 0},
        {"retry_after_max": 0},
        {"key_entry_kb": 0},
        {"methods.0.criticality": 0},
    ],
)
def test_small_and_odd_settings_keep_the_rules(odd):
    node = Node({**PLAIN, **odd})
    rng = random.Random(5)
    for _ in range(400):
        node.step(10 * MS)
        node.check()
        one_step(node, rng, 3)
    assert any(rpc.has_run for rpc in node.rpcs.values())


def ring_timers(node, input_busy, input_age, times=20):
    """Timers of a node that is busy itself for this part of the time, its oldest unread input so old."""
    gauges = Gauges(core_use=0.2, on_cores=0, input_busy=input_busy, input_age=input_age)
    for _ in range(times):
        node.now += 40 * MS
        node.timers = []
        node.control.on_timer(node.now, gauges)


def test_a_node_slower_than_its_worker_pool_cuts_intake_by_the_same_loop_and_recovers():
    node = Node(dict(PLAIN))
    ring_timers(node, 0.95, 5 * MS)
    assert shares_of(node) == [1.0, 1.0]  # busy, but nothing waits
    ring_timers(node, 0.4, 400 * MS)
    assert shares_of(node) == [1.0, 1.0]  # one stall of a node with time to spare
    ring_timers(node, 0.97, 400 * MS)
    assert min(shares_of(node)) < 0.7 and max(shares_of(node)) <= 1.0
    ring_timers(node, 0.3, 0, times=200)
    assert shares_of(node) == [1.0, 1.0]


def test_health_tells_of_a_node_that_has_no_time_to_read_and_of_its_end():
    node = Node(dict(PLAIN))
    objective = min(method.latency_objective for method in node.control.state.methods.all)
    ring_timers(node, 0.97, objective // 3)
    assert not node.healthy
    ring_timers(node, 0.97, objective // 8, times=40)
    assert not node.healthy  # not before a tenth of the objective
    ring_timers(node, 0.3, 0, times=40)
    assert node.healthy
