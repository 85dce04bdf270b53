"""Checks of a simulated node for the invariants that the modules of finchcart/decisions state."""

from math import isclose

from finchcart.decisions.admission_control import MIN_PROBABILITY
from finchcart.decisions.concurrency import LIMIT_PER_CORE
from finchcart.decisions.deadlines import MAINTENANCE_INTERVAL, MAX_LATENESS_MARGIN, RESPONSE_MARGIN
from finchcart.decisions.idle_timeout import MAX_IDLE_TIMEOUT, MIN_IDLE_TIMEOUT
from finchcart.decisions.rpc import AWAITING_CALL, CALLING, COMPLETED, PAUSED, QUEUED, RUNNING, SHARING
from finchcart.decisions.slowdown import MAX_SLOWDOWN, MIN_SLOWDOWN

ROUNDING_KB = 0.01
ROUNDING_US = 1


def active_in(state, *rpc_states):
    return [rpc for rpc in state.table.active.values() if rpc.state in rpc_states]


def check_table(node):
    table = node.control.state.table
    assert not any(rpc.state is COMPLETED for rpc in table.active.values())
    assert all(rpc.state is COMPLETED for rpc in table.completed.values())
    assert all(rpc.key_expires_at for rpc in table.completed.values()), "a completed RPC has no stored key"
    assert all(index == rpc.index for index, rpc in (table.active | table.completed).items())
    assert not table.active.keys() & table.completed.keys()


def check_queue(node):
    state = node.control.state
    entries = state.queue.entries
    assert entries == sorted(entries, key=lambda entry: entry[:2])
    assert {rpc for _, _, rpc in entries} == set(active_in(state, QUEUED, PAUSED))
    assert len(entries) == len(active_in(state, QUEUED, PAUSED)), "an RPC is queued twice"


def check_runs(node):
    state = node.control.state
    runs = state.runs
    on_cores = active_in(state, RUNNING)
    assert runs.in_progress == len(active_in(state, RUNNING, AWAITING_CALL, CALLING))
    assert runs.on_cores == len(on_cores)
    expected_work = sum(rpc.expected_service_time for rpc in on_cores)
    assert isclose(runs.expected_work, expected_work, abs_tol=ROUNDING_US)
    assert runs.pausing <= set(on_cores)


def check_memory(node):
    state = node.control.state
    rpcs = state.table.active | state.table.completed
    began = [rpc for rpc in state.table.active.values() if rpc.state not in (QUEUED, SHARING)]
    expected_kb = sum(rpc.memory_kb for rpc in state.table.active.values())
    expected_kb += sum(rpc.extra_run_kb for rpc in began)
    expected_kb += node.settings["key_entry_kb"] * sum(bool(rpc.key_expires_at) for rpc in rpcs.values())
    assert isclose(state.memory.used_kb, expected_kb, abs_tol=ROUNDING_KB)


def check_keys(node):
    state = node.control.state
    rpcs = state.table.active | state.table.completed
    stored = sorted(rpc.index for rpc in rpcs.values() if rpc.key_expires_at)
    expiring = sorted(rpc.index for _, _, rpc in state.keys._expirations if rpc.key_expires_at)
    assert expiring == stored


def check_calls(node):
    state = node.control.state
    calls = state.calls
    assert calls.in_flight == len(active_in(state, CALLING))
    assert all(rpc.state is AWAITING_CALL for rpc in calls.awaiting)
    assert len(calls.awaiting) == len(set(calls.awaiting)), "an RPC awaits two calls"
    assert calls.abandoned == sorted(calls.abandoned)


def check_ratios(node):
    state = node.control.state
    assert 0 <= state.callers.ratio <= 1
    assert 0 <= state.arrivals.retry_ratio <= 1
    assert MIN_SLOWDOWN <= state.slowdown.factor <= MAX_SLOWDOWN


def check_concurrency(node):
    state = node.control.state
    limit = state.concurrency.limit
    assert 0 < limit <= LIMIT_PER_CORE * state.runs.cores


def check_methods(node):
    methods = node.control.state.methods
    assert all(MIN_PROBABILITY <= method.admission_probability <= 1 for method in methods.all)
    assert {method.criticality_rank for method in methods.all} == set(range(methods.rank_count))


def check_shutdown(node):
    shutdown = node.control.state.shutdown
    assert (shutdown.grace_end is None) == (shutdown.termination_deadline is None)
    assert (shutdown.grace_end is None) == (node.drained_at is None)
    if shutdown.is_past_grace:
        assert shutdown.grace_end <= node.now


def check_deadlines(node):
    deadlines = node.control.state.deadlines
    least = 2 * node.settings["tick"] + MAINTENANCE_INTERVAL + RESPONSE_MARGIN
    assert least <= deadlines.response_margin <= least + MAX_LATENESS_MARGIN


def check_published(node):
    loop = node.control.control_loop
    is_draining = node.control.state.shutdown.termination_deadline is not None
    assert node.healthy == (loop.health.is_healthy and not is_draining)
    if not node.control.state.shutdown.is_past_grace:
        timeout = MAX_IDLE_TIMEOUT if loop.idle_timeout.keeps_connections else MIN_IDLE_TIMEOUT
        assert node.idle_timeout == timeout
    if node.settings["feedback"] == "credit":
        assert getattr(node, "published_credit", 0) == loop.feedback.published


CHECKS = (
    check_table,
    check_queue,
    check_runs,
    check_memory,
    check_keys,
    check_calls,
    check_ratios,
    check_concurrency,
    check_methods,
    check_shutdown,
    check_deadlines,
    check_published,
)


def check_invariants(node):
    """Check all invariants now."""
    for check in CHECKS:
        check(node)
