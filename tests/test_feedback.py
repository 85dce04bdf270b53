"""Values that a node publishes: credit, health, and the idle timeout of its connections."""

from finchcart.decisions.rpc import RpcState
from tests.decision_runs import PLAIN, admission_probabilities, fire_timers
from tests.harness import MS, SimulatedNode

# Idle timeouts while idle connections are kept, and while they are not.
KEPT = 8000 * MS
NOT_KEPT = 10 * MS


def test_the_credit_is_divided_among_the_active_callers():
    credits = []
    for callers in (2, 20):
        node = SimulatedNode({**PLAIN, "feedback": "credit", "feedback_lifetime": 1000 * MS})
        for step in range(400):
            node.step(10 * MS)
            node.arrive(0, caller=step % callers)
            node.end_runs_older_than(200 * MS)
        credits.append(node.published_credit)
    few_callers, many_callers = credits
    assert few_callers > 5 * many_callers > 0


def test_a_node_is_unhealthy_only_while_rpcs_wait_too_long_to_be_read():
    node = SimulatedNode(PLAIN)
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


def test_a_node_is_unhealthy_only_while_its_host_process_is_too_busy_to_read():
    node = SimulatedNode(dict(PLAIN))
    objective = min(method.latency_objective for method in node.control.state.methods.all)
    fire_timers(node, 0.97, objective // 3)
    assert not node.healthy
    fire_timers(node, 0.97, objective // 8, times=40)
    assert not node.healthy  # until the delay falls below a tenth of the objective
    fire_timers(node, 0.3, 0, times=40)
    assert node.healthy


def test_idle_connections_are_kept_if_admission_is_cut_and_no_level_is_published():
    for feedback, idle_timeout in (("level", NOT_KEPT), ("silent", KEPT)):
        node = SimulatedNode({**PLAIN, "feedback": feedback})
        for step in range(600):
            node.step(10 * MS)
            for arrival in range(3):
                node.arrive(0, caller=step * 3 + arrival)
            node.end_runs_older_than(300 * MS)
        assert min(admission_probabilities(node)) < 0.6
        assert node.idle_timeout == idle_timeout


def test_idle_connections_are_kept_only_if_callers_return_soon():
    """Otherwise hundreds of callers that each return once a minute would fill the connection table."""
    for callers, idle_timeout in ((5, KEPT), (400, NOT_KEPT), (5, KEPT)):
        node = SimulatedNode(PLAIN)
        for step in range(3000):
            node.step(10 * MS)
            if step % 10 == 0:
                node.arrive(0, caller=step // 10 % callers)
            node.end_runs_older_than(100 * MS)
        assert node.idle_timeout == idle_timeout
        assert len(node.log_lines) <= 1


def test_idle_connections_are_kept_if_rpcs_wait_long_to_be_read():
    """A full connection table rejects callers at the lowest cost; reading their RPCs would take the cores."""
    node = SimulatedNode(PLAIN)
    for waited, idle_timeout in ((500, KEPT), (10, NOT_KEPT)):
        for step in range(600):
            node.step(10 * MS)
            node.arrive(0, caller=step + waited * 1000, waited=waited * MS)
            node.end_runs_older_than(100 * MS)
        assert node.idle_timeout == idle_timeout


def test_callers_that_do_not_return_are_forgotten():
    node = SimulatedNode({**PLAIN, "cores": 40, "memory_kb": 1e9})
    for caller in range(5000):
        node.arrive(caller=str(caller))
        node.step(20 * MS)
        for index in node.in_state(RpcState.RUNNING):
            node.end(index)
    assert len(node.control.state.callers.last_seen) < 1100
    assert not node.control.state.table.active
