"""Admission of RPCs, admission probabilities, and the advice in rejections."""

from pathlib import Path

import pytest

from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcState
from tests.core_harness import CoreHarness
from tests.decision_runs import PLAIN, admission_probabilities, fire_timers, record_rejections
from tests.harness import MS, SimulatedNode


def test_a_duplicate_shares_the_result_and_never_runs():
    node = SimulatedNode(PLAIN)
    first = node.arrive(1)
    duplicate = node.arrive(1, first)  # arrives before any other event
    assert (node.rpcs[first].state, node.rpcs[duplicate].state) == (RpcState.RUNNING, RpcState.SHARING)
    node.step(50 * MS)
    node.end(first, Outcome.ERROR)
    third = node.arrive(1, first)
    assert node.rpcs[third].answered
    assert not node.rpcs[third].has_run


def test_one_long_run_does_not_raise_the_slowdown_factor():
    """Service times vary, so that a single long run does not show that the machine is slow."""
    node = SimulatedNode(PLAIN)
    node.arrive(0)
    for step in range(60):
        node.step(10 * MS)
        if step % 8 == 0:
            node.arrive(0)
        node.end_runs_older_than(150 * MS, skip=1)
    assert node.control.state.slowdown.factor < 2


@pytest.mark.parametrize("pauses", [False, True])
def test_ingress_delay_cuts_the_less_critical_method_first(pauses):
    """With pausing, the more critical method is not cut, as the runs of the other yield their cores to it."""
    node = SimulatedNode({**PLAIN, "can_stop": pauses, "can_pause": pauses})
    for _ in range(300):
        node.step(10 * MS)
        for method in (0, 1):
            node.arrive(method, waited=800 * MS)
        node.end_runs_older_than(150 * MS)
    less_critical, more_critical = (method.admission_probability for method in node.control.state.methods.all)
    assert less_critical < 0.2
    assert less_critical < more_critical
    assert (more_critical == 1) is pauses


def test_a_busy_host_process_cuts_admission_until_it_recovers():
    node = SimulatedNode(dict(PLAIN))
    fire_timers(node, 0.95, 5 * MS)
    assert admission_probabilities(node) == [1.0, 1.0]  # busy, but its inputs do not wait
    fire_timers(node, 0.4, 400 * MS)
    assert admission_probabilities(node) == [1.0, 1.0]  # a stall of a process that is not busy
    fire_timers(node, 0.97, 400 * MS)
    assert min(admission_probabilities(node)) < 0.7
    assert max(admission_probabilities(node)) <= 1.0
    fire_timers(node, 0.3, 0, times=200)
    assert admission_probabilities(node) == [1.0, 1.0]


def test_no_load_is_shed_while_a_core_is_free_and_the_queue_is_empty():
    """Otherwise a node with two cores would reject RPCs while one core is idle."""
    node = SimulatedNode(PLAIN)
    for method in node.control.state.methods.all:
        method.admission_probability = 0.0
    states = [node.rpcs[node.arrive(0)].state for _ in range(3)]
    assert states == [RpcState.RUNNING, RpcState.RUNNING, RpcState.COMPLETED]


def test_a_retry_has_a_shorter_objective():
    """Part of its latency objective has passed while other nodes rejected the RPC."""
    node = SimulatedNode(PLAIN)
    node.control.state.arrivals.retry_ratio = 0.5
    first, retry = node.arrive(0), node.arrive(0, is_retry=True)
    late = node.arrive(0, is_retry=True, waited=450 * MS, service_time_hint=400 * MS)
    times_left = [node.rpcs[index].handle.objective_at - node.now for index in (first, retry)]
    assert times_left == [1000 * MS, 500 * MS]
    assert node.rpcs[late].state is RpcState.COMPLETED


@pytest.mark.parametrize(
    "marks_retries, is_retry, do_not_retry",
    [(True, False, False), (True, True, True), (False, False, True)],
)
def test_rejections_ask_not_to_retry_if_the_fleet_is_full(marks_retries, is_retry, do_not_retry):
    """Otherwise, in a full fleet, one node after another would read the same RPCs.

    Many retries show that the fleet is full; without marked retries, a low admission probability does.
    """
    node = SimulatedNode({**PLAIN, "marks_retries": marks_retries})
    rejections = record_rejections(node)
    for _ in range(200):
        node.step(10 * MS)
        node.arrive(0, is_retry=is_retry, waited=500 * MS)
        node.end_runs_older_than(300 * MS)
    assert rejections
    assert rejections[-1][1] is do_not_retry


def test_retry_advice_is_given_only_to_callers_that_return_soon():
    """Advice to other callers would only delay the client's next attempt."""
    for callers, advised in ((3, True), (5000, False)):
        node = SimulatedNode(PLAIN)
        rejections = record_rejections(node)
        for step in range(2000):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_runs_older_than(300 * MS)
        assert any(retry_after for retry_after, _ in rejections[-50:]) is advised


def test_a_run_that_missed_its_pause_in_a_stall_counts_as_running_again():
    node = SimulatedNode({**PLAIN, "can_stop": True, "can_pause": True})
    for method in (0, 0, 0, 1):
        node.arrive(method)
    assert len(node.control.state.runs.pausing) == 1
    node.step(50 * MS)
    assert not node.control.state.runs.pausing
    assert node.control.state.runs.on_cores == 3


def test_a_node_counts_its_rejections_by_reason():
    """The names of the reasons are the same in the code, in the statistics line and in docs/oncall.md."""
    harness = CoreHarness({**PLAIN, "gauges": ("core_use", "on_cores")})
    harness.write_block_probability = 0
    connection = harness.dispatchers.open()
    for _ in range(100):
        harness.step(10 * MS)
        if harness.core.ready:
            harness.dispatchers.submit(connection, 0)
    counts = harness.core.effect_buffer.statistics.counts
    names = [name for name in counts if name.startswith("rejections: ")]
    assert "rejections: load shed" in names or "rejections: misses objective" in names
    assert sum(counts[name] for name in names) == counts["RPCs rejected"]
    known = {f"rejections: {reason.value}" for reason in RejectionReason}
    assert known.issuperset(names)


def test_the_page_for_on_call_names_each_reason():
    page = Path("docs/oncall.md").read_text(encoding="utf-8")
    assert [reason for reason in RejectionReason if f"| `{reason.value}` |" not in page] == []
