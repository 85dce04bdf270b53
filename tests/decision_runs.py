"""Base settings for tests of the decision module, and random events of a simulated node.

All events depend only on the random number generator that is passed in, so that a run can be reproduced from
its seed.
"""

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rpc import RpcState
from tests.harness import MS, draw_settings

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


def apply_random_events(node, rng, load):
    """Apply random events that may occur at the same time."""
    add_arrivals(node, rng, load)
    end_runs(node, rng)
    end_calls(node, rng)
    for index in node.in_state(RpcState.AWAITING_CALL, RpcState.CALLING):
        if not node.rpcs[index].response_pending:
            node.end(index, Outcome.STOPPED)
    for index in node.in_state(RpcState.SHARING):
        first = node.rpcs[node.rpcs[index].first]
        if first.state is RpcState.COMPLETED and rng.random() < 0.5:
            node.end(index, Outcome.OK if first.has_run else Outcome.ERROR)
    drop_callers(node, rng)


def add_arrivals(node, rng, load):
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


def end_runs(node, rng):
    for index in node.in_state(RpcState.RUNNING):
        rpc = node.rpcs[index]
        chance = rng.random()
        if rpc.state is not RpcState.RUNNING:
            continue  # completed or paused by an event earlier in this loop
        if rpc.stop_requested and chance < 0.9:
            node.apply_stop(index)
        elif chance < 0.03 and not rpc.response_pending:
            node.end(index, Outcome.OK)
        elif chance < 0.05:
            node.end(index, rng.choice((Outcome.OK, Outcome.OK, Outcome.ERROR)))
        elif chance < 0.12 and node.settings["method_calls"][rpc.method]:
            node.await_call(index)


def end_calls(node, rng):
    for index in node.in_state(RpcState.CALLING):
        rpc = node.rpcs[index]
        spent = node.now - rpc.since
        timed_out = spent >= rpc.call_timeout
        if timed_out or rng.random() < 0.2:
            node.return_call(index, Outcome.TIMEOUT if timed_out else rng.choice(CALL_OUTCOMES), spent)


def drop_callers(node, rng):
    for index in node.in_state(RpcState.QUEUED, RpcState.RUNNING, RpcState.SHARING, RpcState.PAUSED):
        rpc = node.rpcs[index]
        if rng.random() < 0.005 and not rpc.caller_is_gone:
            rpc.caller_is_gone = True
            if rpc.state is not RpcState.RUNNING:
                rpc.state = RpcState.COMPLETED
            rpc.handle.caller_gone(node.now)


def draw_pausing_settings(rng):
    """Return the settings of a random deployment in which the least critical runs yield to others."""
    settings = draw_settings(rng)
    while not has_yielding_runs(settings):
        settings = {**draw_settings(rng), "memory_kb": 200_000, "cores": 2, "overload_factor": 8}
    return settings


def has_yielding_runs(settings):
    numbers = range(settings["methods.count"])
    criticalities = [settings[f"methods.{number}.criticality"] for number in numbers]
    return settings["can_pause"] and max(criticalities) > 2 * min(criticalities)


def admission_probabilities(node):
    return [method.admission_probability for method in node.control.state.methods.all]


def record_rejections(node):
    """Return a list that grows by (retry_after, do_not_retry) with each rejection from now on."""
    rejections = []

    def reject(index, reason, retry_after, do_not_retry):
        node.rpcs[index].rejection_reason = reason
        rejections.append((retry_after, do_not_retry))
        node.rpcs[index].state = RpcState.COMPLETED
        node.rpcs[index].answered = True

    node.reject = reject
    return rejections


def fire_timers(node, input_busy, input_age, times=20):
    """Fire timers that report these values as the gauges `input_busy` and `input_age` of the host."""
    gauges = Gauges(core_use=0.2, on_cores=0, input_busy=input_busy, input_age=input_age)
    for _ in range(times):
        node.now += 40 * MS
        node.timers = []
        node.control.on_timer(node.now, gauges)
