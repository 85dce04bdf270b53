"""Calls of runs to the dependency: limits, retries and degraded answers."""

from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rpc import RpcState
from tests.decision_runs import PLAIN
from tests.harness import MS, SimulatedNode


def test_a_failed_call_is_retried_only_if_it_provably_never_ran():
    node = SimulatedNode(PLAIN)
    for outcome, state in (
        (Outcome.UNREACHABLE, RpcState.CALLING),
        (Outcome.CONNECTION_LOST, RpcState.AWAITING_CALL),
    ):
        index = node.arrive(1)
        node.await_call(index)
        node.return_call(index, outcome, spent=1)
        assert node.rpcs[index].state is state


def test_calls_to_a_tier_are_not_limited_by_a_share():
    """For a tier, `calls_limit` is configured as 0, which would prevent every call if it were applied."""
    node = SimulatedNode({**PLAIN, "dependency": "tier", "calls_limit": 0.0})
    index = node.arrive(1)
    node.await_call(index)
    assert node.rpcs[index].state is RpcState.CALLING


def test_a_slow_dependency_leaves_time_for_a_degraded_answer():
    """A call must not use up all the time until the objective: after its timeout, the run is degraded."""
    node = SimulatedNode(PLAIN)
    index = node.arrive(0)
    rpc = node.rpcs[index]
    node.await_call(index)
    assert rpc.state is RpcState.CALLING
    assert rpc.call_timeout < 900 * MS
    node.step(rpc.call_timeout)
    node.return_call(index, Outcome.TIMEOUT, spent=rpc.call_timeout)
    assert rpc.state is RpcState.RUNNING
    assert not rpc.answered
