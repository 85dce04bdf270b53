"""Components of the decision module in isolation, and their invariants in seeded random runs."""

import random

import pytest

from finchcart.decisions.hysteresis import Hysteresis
from finchcart.decisions.memory import MemoryAccount
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import CALLING, COMPLETED, QUEUED, RUNNING
from finchcart.decisions.service_time import ServiceTimeEstimates
from finchcart.decisions.token_bucket import TokenBucket
from tests import decision_invariants
from tests.decision_invariants import CHECKS, check_invariants
from tests.decision_runs import PLAIN, apply_random_events, draw_pausing_settings, record_rejections
from tests.harness import MS, SimulatedNode, draw_settings


def run_node(seed, steps, pauses=False):
    """Yield a node with random settings after each of `steps` random steps; the last quarter is a drain."""
    rng = random.Random(seed)
    node = SimulatedNode(draw_pausing_settings(rng) if pauses else draw_settings(rng), seed)
    for step in range(steps):
        node.step(node.settings["tick"] * rng.randint(1, 4), stalled=rng.random() < 0.01)
        apply_random_events(node, rng, 6)
        if step == steps * 3 // 4:
            node.kill_at = node.now + 3000 * MS
            node.drained_at = node.now
            node.control.drain(node.now, node.kill_at)
        yield node


@pytest.mark.parametrize("seed", [*range(12), 41, 44, 47])  # from 41 on, runs are paused and resumed
def test_the_invariant_of_each_component_holds_in_random_runs(seed):
    seen = 0
    for node in run_node(seed, 300, pauses=seed >= 40):
        check_invariants(node)
        seen += bool(node.control.state.table.active)
    assert seen > 100, "too few steps had active RPCs to check"


def increment(part, field):
    def plant(state):
        setattr(getattr(state, part), field, getattr(getattr(state, part), field) + 2)

    return plant


def queue_a_running_rpc(state):
    state.queue.push(next(rpc for rpc in state.table.active.values() if rpc.state is not QUEUED))


def keep_a_completed_rpc(state):
    next(iter(state.table.active.values())).state = COMPLETED


def forget_a_key(state):
    state.keys._expirations.clear()


def cut_admission_to_zero(state):
    state.methods.all[0].admission_probability = 0.0


def end_grace_period_early(state):
    state.shutdown.is_past_grace = True
    state.shutdown.grace_end = state.shutdown.termination_deadline = 10**18


def turn_unhealthy(state):
    state.shutdown.termination_deadline = 10**18


PLANTED_DEFECTS = {
    "check_table": keep_a_completed_rpc,
    "check_queue": queue_a_running_rpc,
    "check_runs": increment("runs", "in_progress"),
    "check_memory": increment("memory", "used_kb"),
    "check_keys": forget_a_key,
    "check_calls": increment("calls", "in_flight"),
    "check_ratios": increment("callers", "ratio"),
    "check_concurrency": increment("concurrency", "limit"),
    "check_methods": cut_admission_to_zero,
    "check_shutdown": end_grace_period_early,
    "check_deadlines": increment("deadlines", "response_margin"),
    "check_published": turn_unhealthy,
}


@pytest.mark.parametrize("name", PLANTED_DEFECTS)
def test_each_invariant_check_detects_a_planted_defect(name):
    node = SimulatedNode({**PLAIN, "cores": 1})
    for _ in range(6):
        node.arrive(1)
    node.control.state.concurrency.limit = 2.0
    node.control.state.deadlines.response_margin += 1_000 * MS
    check = getattr(decision_invariants, name)
    check(node)
    PLANTED_DEFECTS[name](node.control.state)
    with pytest.raises(AssertionError):
        check(node)


def test_a_defect_is_planted_for_each_check():
    assert set(PLANTED_DEFECTS) == {check.__name__ for check in CHECKS}


def test_a_hysteresis_ends_only_beyond_its_exit_threshold():
    rising, falling = Hysteresis(enter=0.5, exit=0.1), Hysteresis(enter=0.6, exit=0.9)
    assert [rising.is_above(0.3, is_active) for is_active in (False, True)] == [False, True]
    assert [rising.is_above(0.05, is_active) for is_active in (False, True)] == [False, False]
    assert [falling.is_below(0.7, is_active) for is_active in (False, True)] == [False, True]
    assert [falling.is_below(0.95, is_active) for is_active in (False, True)] == [False, False]


def test_a_token_bucket_refills_up_to_its_size_and_may_be_overdrawn():
    bucket = TokenBucket(100)
    bucket.start(1_000)
    bucket.take(150)
    assert bucket.tokens == -50
    bucket.refill(1_060, rate=0.5, size=100)
    assert bucket.tokens == -20
    bucket.refill(2_000, rate=0.5, size=40)
    assert bucket.tokens == 40
    bucket.fill()
    assert bucket.tokens == 100


def test_memory_limits_rise_from_starts_to_admissions_to_duplicates():
    memory = MemoryAccount(1_000)
    memory.reserve(870)
    assert not memory.can_start(0)
    assert memory.can_admit(30)
    assert not memory.can_admit(31)
    memory.reserve(60)
    assert not memory.can_admit(0)
    assert memory.can_share()
    memory.reserve(21)
    assert not memory.can_share()
    memory.free(951)
    assert memory.used_kb == 0


def test_unreliable_hints_hardly_change_the_expected_service_time():
    estimates = ServiceTimeEstimates(960 * MS, 1.0)
    for _ in range(400):
        estimates.learn(10 * MS, 20 * MS, 30 * MS)
        estimates.learn(1_000 * MS, 21 * MS, 31 * MS)
    unhinted = estimates.expected(0)
    assert 15 * MS < unhinted < 30 * MS
    assert 15 * MS < estimates.expected(1_000 * MS) < 40 * MS  # a hint 100 times larger has little effect
    assert estimates.service_time.count == pytest.approx(estimates.run_duration.count)


@pytest.mark.parametrize(
    "reason, gauges, rpc",
    [
        (RejectionReason.DEADLINE_TOO_NEAR, {}, {"waited": 3_000 * MS}),
        (RejectionReason.MISSES_OBJECTIVE, {}, {"waited": 990 * MS}),
        (RejectionReason.MEMORY_EXHAUSTED, {}, {"memory_kb": 19_000}),
        (RejectionReason.FLEET_SHED_LEVEL, {"min_shed_level": 1.0}, {"shed_rank": 0.0}),
        (RejectionReason.DEPENDENCY_DOWN, {"dependency_down": True, "call_capacity": 0}, {}),
    ],
)
def test_each_rejection_states_its_reason(reason, gauges, rpc):
    node = SimulatedNode({**PLAIN, "degraded_value": (0.0, 0.0)})
    rejections = record_rejections(node)
    node.arrive(0)
    node.arrive(0)
    node.fleet_gauges = gauges
    node.step(50 * MS)
    index = node.arrive(0, **rpc)
    assert len(rejections) == 1
    assert node.rpcs[index].rejection_reason is reason


def test_rpcs_after_the_grace_period_are_rejected_as_shutting_down():
    node = SimulatedNode({**PLAIN, "drain_grace": 0})
    node.drained_at = node.now
    node.control.drain(node.now, node.now + 2_000 * MS)
    node.step(50 * MS)
    index = node.arrive(0)
    assert node.rpcs[index].rejection_reason is RejectionReason.SHUTTING_DOWN


def test_rpcs_beyond_the_admission_probability_are_rejected_as_load_shed():
    node = SimulatedNode(PLAIN)
    first, second = node.arrive(0), node.arrive(0)
    for method in node.control.state.methods.all:
        method.admission_probability = 0.0
    third = node.arrive(0)
    reasons = [node.rpcs[index].rejection_reason for index in (first, second, third)]
    assert reasons == [None, None, RejectionReason.LOAD_SHED]
    assert node.rpcs[first].handle.state is RUNNING
    assert not node.in_state(CALLING)
