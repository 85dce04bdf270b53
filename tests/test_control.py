"""Seeded random runs with the rules checked after every step, beside a few plain cases."""

import random

import pytest

from finchcart.interface import Gauges, Outcome
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


def one_step(node, rng, load):
    tokened = [i for i, r in node.rpcs.items() if r["kind"] == "keyed" and i == r["first"]]
    for _ in range(rng.choice((0, 0, 1, 2, load))):
        n = rng.randrange(node.settings["methods.count"])
        first = rng.choice(tokened[-20:]) if tokened and rng.random() < 0.3 else None
        if first is not None:
            n = node.rpcs[first]["n"]
        node.arrive(
            n,
            first,
            waited=rng.choice((0, 0, 50, 400)) * MS,
            left=rng.randint(1, 3000) * MS,
            kb=rng.uniform(1, 60),
            shed_rank=rng.choice((None, rng.random())),
            cost_hint=rng.choice((0, 100 * MS)),
        )
    for index in node.of("running"):
        r = node.rpcs[index]
        chance = rng.random()
        if r["state"] != "running":
            continue  # over or paused meanwhile, by what an earlier one set off
        if r["stopped"] and chance < 0.9:
            node.halt(index)
        elif chance < 0.03 and (r["answers"] or r["gone"]):
            node.end(index, Outcome.OK)
        elif chance < 0.05:
            node.end(index, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif chance < 0.12 and node.settings["method_calls"][r["n"]]:
            r.update(state="standing", calls=0, never_ran=False)
            r["handle"].awaiting_call(node.now)
    for index in node.of("calling"):
        r = node.rpcs[index]
        timed_out = node.now - r["since"] >= r["limit"]
        if timed_out or rng.random() < 0.2:
            how = (
                Outcome.TIMEOUT
                if timed_out
                else rng.choice(
                    (
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.ERROR,
                        Outcome.REJECTED,
                        Outcome.UNREACHABLE,
                        Outcome.CONNECTION_LOST,
                    )
                )
            )
            r.update(state="running" if how is Outcome.OK else "standing", never_ran=how.never_ran)
            r["handle"].call_ended(node.now, how, node.now - r["since"])
    for index in node.of("standing", "calling"):
        if node.rpcs[index]["answers"] or node.rpcs[index]["gone"]:
            node.end(index, Outcome.STOPPED)
    for index in node.of("sharing"):
        first = node.rpcs[node.rpcs[index]["first"]]
        if first["state"] == "over" and rng.random() < 0.5:
            node.end(index, Outcome.OK if first["ran"] else Outcome.ERROR)
    for index in node.of("held", "running", "sharing", "paused"):
        if rng.random() < 0.005 and not node.rpcs[index]["gone"]:
            r = node.rpcs[index]
            r.update(gone=True, state=r["state"] if r["state"] == "running" else "over")
            r["handle"].caller_gone(node.now)


@pytest.mark.parametrize("seed", [*range(40), 41, 44, 47, 50, 51])  # from 41 on runs are paused and go on
def test_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    settings = draw_settings(rng)
    worths = lambda: [settings[f"methods.{n}.criticality"] for n in range(settings["methods.count"])]
    while seed >= 40 and not (settings["can_pause"] and max(worths()) > 2 * min(worths())):
        settings = {**draw_settings(rng), "memory_kb": 200_000, "cores": 2, "overload_factor": 8}
    node = Node(settings, seed)
    load, drain_at = rng.choice((2, 6, 40)) if seed < 40 else 2, rng.randint(150, 650)
    for step in range(700):
        node.step(node.settings["tick"] * rng.randint(1, 4), stalled=rng.random() < 0.01)
        node.check()
        if node.kill and node.now >= node.kill:
            break
        one_step(node, rng, load)
        if step in (drain_at, drain_at + 20):
            node.kill = node.kill or node.now + rng.randint(300, 5000) * MS
            node.drained = node.drained or node.now
            node.control.drain(node.now, node.kill)
    assert node.count > 100 and (seed < 40 or node.resumed)


def test_a_repeat_shares_and_never_runs():
    node = Node(PLAIN)
    first = node.arrive(1)
    again = node.arrive(1, first)  # in the same batch
    assert (node.rpcs[first]["state"], node.rpcs[again]["state"]) == ("running", "sharing")
    node.step(50 * MS)
    node.end(first, Outcome.ERROR)
    third = node.arrive(1, first)
    assert node.rpcs[third]["answers"] and not node.rpcs[third]["ran"]


def test_late_running_work_is_aborted_before_it_is_due():
    node = Node(PLAIN)
    index = node.arrive(0)
    for _ in range(1500):
        node.step(2 * MS)
        node.check()
    assert node.rpcs[index]["answers"] and node.rpcs[index]["state"] == "running"


def test_a_failed_call_is_repeated_only_after_proof():
    node = Node(PLAIN)
    for outcome, state in ((Outcome.UNREACHABLE, "calling"), (Outcome.CONNECTION_LOST, "standing")):
        index = node.arrive(1)
        r = node.rpcs[index]
        r["state"] = "standing"
        r["handle"].awaiting_call(node.now)
        r.update(state="standing", never_ran=outcome.never_ran)
        r["handle"].call_ended(node.now, outcome, 1)
        assert r["state"] == state


def test_health_is_bad_while_rpcs_lose_their_time_unread_and_good_again_after():
    node = Node(PLAIN)
    target = PLAIN["methods.0.latency_target"]
    node.wanting = 9
    for _ in range(30):
        node.arrive(waited=target * 4 // 5)
        node.step(40 * MS)
    assert not node.good
    node.wanting = 0
    for _ in range(150):
        node.step(40 * MS)
    assert node.good


def test_calls_to_a_tier_are_not_held_to_a_share_that_is_not_told():
    """Guards against a share of nought, as is written where a tier lies below: no call was made."""
    node = Node({**PLAIN, "dependency": "tier", "calls_limit": 0.0})
    index = node.arrive(1)
    node.rpcs[index]["state"] = "standing"
    node.rpcs[index]["handle"].awaiting_call(node.now)
    assert node.rpcs[index]["state"] == "calling"


def test_a_pause_that_a_stall_swallowed_counts_as_a_run_again():
    node = Node({**PLAIN, "can_stop": True, "can_pause": True})
    for n in (0, 0, 0, 1):
        node.arrive(n)
    assert len(node.control.pausing) == 1
    node.step(50 * MS)
    assert not node.control.pausing and node.control.runs_on_cores == 3


def test_a_full_table_turns_away_where_no_level_keeps_callers_off():
    for told, keep in (("level", 10 * MS), ("silent", 8000 * MS)):
        node = Node({**PLAIN, "feedback": told})
        for step in range(600):
            node.step(10 * MS)
            for k in range(3):
                node.arrive(0, caller=step * 3 + k)
            node.end_older(300 * MS)
        assert min(m.admitted_share for m in node.control.methods) < 0.6 and node.idle == keep


def test_a_credit_is_what_ends_in_time_shared_by_the_callers_that_come():
    said = []
    for callers in (2, 20):
        node = Node({**PLAIN, "feedback": "credit", "feedback_lifetime": 1000 * MS})
        for step in range(400):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_older(200 * MS)
        said.append(node.said_credit)
    assert said[0] > 5 * said[1] > 0


def test_callers_that_are_new_ones_for_ever_are_forgotten():
    node = Node({**PLAIN, "cores": 40, "memory_kb": 1e9})
    for caller in range(5000):
        node.arrive(caller=str(caller))
        node.step(20 * MS)
        for index in node.of("running"):
            node.end(index)
    assert len(node.control.callers_seen) < 1100 and not node.control.active


def test_one_long_run_does_not_make_a_node_slow():
    """Run times vary, and a single long one is no sign."""
    node = Node(PLAIN)
    node.arrive(0, left=None)
    for step in range(60):
        node.step(10 * MS)
        if step % 8 == 0:
            node.arrive(0)
        node.end_older(150 * MS, skip=1)
    assert node.control.slowness < 2


@pytest.mark.parametrize("pauses", [False, True])
def test_what_waits_unread_cuts_the_less_critical_first(pauses):
    """Guards also against pushbacks of what others yield to beside cores that run the least critical."""
    node = Node({**PLAIN, "can_stop": pauses, "can_pause": pauses})
    for _ in range(300):
        node.step(10 * MS)
        for n in (0, 1):
            node.arrive(n, waited=800 * MS)
        node.end_older(150 * MS)
    low, high = node.control.methods
    assert (
        low.admitted_share < 0.2
        and low.admitted_share < high.admitted_share
        and (high.admitted_share == 1) is pauses
    )


@pytest.mark.parametrize(
    "marked, again, last", [(True, False, False), (True, True, True), (False, False, True)]
)
def test_a_full_fleet_is_told_by_further_tries_or_a_deep_cut_where_these_carry_no_mark(marked, again, last):
    """Guards against a full fleet that reads the same RPCs on one node after another."""
    node, lasts = Node({**PLAIN, "marks_retries": marked}), []
    node.reject = lambda index, wait, last: (
        lasts.append(last),
        node.rpcs[index].update(state="over", answers=1),
    )
    for _ in range(200):
        node.step(10 * MS)
        node.arrive(0, is_retry=again, waited=500 * MS)
        node.end_older(300 * MS)
    assert lasts and lasts[-1] is last


def test_a_slow_dependency_leaves_time_for_a_poorer_answer():
    """Guards against runs that spend all their time at calls: after a time-out it is skipped, in time."""
    node = Node(PLAIN)
    index = node.arrive(0)
    r = node.rpcs[index]
    r["state"] = "standing"
    r["handle"].awaiting_call(node.now)
    assert r["state"] == "calling" and r["limit"] < 900 * MS
    node.step(r["limit"])
    r.update(state="standing", calls=1)
    r["handle"].call_ended(node.now, Outcome.TIMEOUT, r["limit"])
    assert r["state"] == "running" and not r["answers"]


def test_idle_connections_are_kept_only_where_callers_soon_come_again():
    """Guards against full tables among hundreds of callers that each come once a minute."""
    for callers, keep in ((5, 8000 * MS), (400, 10 * MS), (5, 8000 * MS)):
        node = Node(PLAIN)
        for step in range(3000):
            node.step(10 * MS)
            if step % 10 == 0:
                node.arrive(0, caller=step // 10 % callers)
            node.end_older(100 * MS)
        assert node.idle == keep and len(node.lines) <= 1


def test_a_full_table_turns_away_what_would_wait_unread():
    """Guards against storms of new connections and reads that leave no cores for runs."""
    node = Node(PLAIN)
    for waited, keep in ((500, 8000 * MS), (10, 10 * MS)):
        for step in range(600):
            node.step(10 * MS)
            node.arrive(0, caller=step + waited * 1000, waited=waited * MS)
            node.end_older(100 * MS)
        assert node.idle == keep


def test_a_further_try_has_less_time_left():
    """Guards against runs for RPCs whose latency target passed while other nodes pushed them back."""
    node = Node(PLAIN)
    node.control.retry_ratio = 0.5
    first, further = node.arrive(0), node.arrive(0, is_retry=True)
    late = node.arrive(0, is_retry=True, waited=450 * MS, cost_hint=400 * MS)
    wants = [node.rpcs[index]["handle"].objective_at - node.now for index in (first, further)]
    assert wants == [1000 * MS, 500 * MS] and node.rpcs[late]["state"] == "over"


def test_nothing_is_cut_while_a_core_is_free_and_nothing_waits():
    """Guards against two-core nodes that turn RPCs away beside an idle core."""
    node = Node(PLAIN)
    for method in node.control.methods:
        method.admitted_share = 0.0
    states = [node.rpcs[node.arrive(0)]["state"] for _ in range(3)]
    assert states == ["running", "running", "over"]


def test_advice_goes_only_to_callers_that_soon_come_again():
    """Guards against advice that reaches no caller in time and only delays the client's next try."""
    for callers, advised in ((3, True), (5000, False)):
        node, waits = Node(PLAIN), []
        node.reject = lambda index, wait, last: (
            waits.append(wait),
            node.rpcs[index].update(state="over", answers=1),
        )
        for step in range(2000):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_older(300 * MS)
        assert any(waits[-50:]) is advised


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
    node, rng = Node({**PLAIN, **odd}), random.Random(5)
    for step in range(400):
        node.step(10 * MS)
        node.check()
        one_step(node, rng, 3)
    assert any(r["ran"] for r in node.rpcs.values())


def own(node, use, age, turns=20):
    """The node itself is busy for this part of the time, and its oldest unread input waits so long."""
    for _ in range(turns):
        node.now += 40 * MS
        node.timers = []
        node.control.on_timer(
            node.now, "sweep", Gauges(core_use=0.2, on_cores=0, input_busy=use, input_age=age)
        )


def test_a_node_slower_than_its_worker_pool_cuts_intake_by_the_same_loop_and_recovers():
    node = Node(dict(PLAIN))
    shares = lambda: [m.admitted_share for m in node.control.methods]
    own(node, 0.95, 5 * MS)
    assert shares() == [1.0, 1.0]  # busy, but nothing waits
    own(node, 0.4, 400 * MS)
    assert shares() == [1.0, 1.0]  # one stall of a node with time to spare
    own(node, 0.97, 400 * MS)
    assert min(shares()) < 0.7 and max(shares()) <= 1.0
    own(node, 0.3, 0, turns=200)
    assert shares() == [1.0, 1.0]


def test_health_tells_of_a_node_that_has_no_time_to_read_and_of_its_end():
    node = Node(dict(PLAIN))
    target = min(m.latency_objective for m in node.control.methods)
    own(node, 0.97, target // 3)
    assert not node.good
    own(node, 0.97, target // 8, turns=40)
    assert not node.good  # not before a tenth of the target
    own(node, 0.3, 0, turns=40)
    assert node.good
