"""Draws the plan of a soak test from its seed: settings, load, faults and signals.

The whole plan is drawn before the run starts and must not depend on anything that happens in the run.
"""

import errno
import signal
from dataclasses import dataclass, replace
from random import Random

from finchcart.fault_injection.processes.process_shim import SystemCall
from finchcart.fault_injection.soak.recording_client import ClientLoad, MethodProfile
from finchcart.fault_injection.soak.stream_relay import LinkFaults

HOUR_S = 3600
CLOCK_OFFSETS_S = (HOUR_S, -HOUR_S, 2, -2, 0.3, 0)
FAULTS_BEGIN_S = 0.3
NOTICE_AT_S = 2.4  # time of the drain notice, from the start of the load
MANY_CLIENTS = 30  # clients of one node in a plan with many clients
# The rule for the earliest kill, as in finchcart/limits.py.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
SIGNAL_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM),
)


@dataclass(frozen=True)
class RandomCallFault:
    """Makes one system call fail with a probability, or transfer at most `max_bytes` where `error` is 0."""

    call: SystemCall
    probability: float
    error: int = 0
    max_bytes: int = 0


RANDOM_CALL_FAULTS = (
    RandomCallFault(SystemCall.RECV, 0.05, errno.EINTR),
    RandomCallFault(SystemCall.RECV, 0.2, max_bytes=3),
    RandomCallFault(SystemCall.RECV, 0.01, errno.ENOMEM),
    RandomCallFault(SystemCall.SEND, 0.2, max_bytes=5),
    RandomCallFault(SystemCall.SEND, 0.02, errno.ENOBUFS),
    RandomCallFault(SystemCall.SENDTO, 0.3, errno.ENETUNREACH),
    RandomCallFault(SystemCall.SETSOCKOPT, 0.1, errno.ENOBUFS),
    RandomCallFault(SystemCall.ACCEPT, 0.2, errno.ECONNABORTED),
    RandomCallFault(SystemCall.ACCEPT, 0.1, errno.ENFILE),
    RandomCallFault(SystemCall.SOCKET, 0.1, errno.ENFILE),
    RandomCallFault(SystemCall.CONNECT, 0.1, errno.ENETUNREACH),
    RandomCallFault(SystemCall.CONNECT, 0.1, errno.EADDRNOTAVAIL),
    RandomCallFault(SystemCall.THREAD, 0.05, errno.EAGAIN),
    RandomCallFault(SystemCall.WRITE, 1.0, errno.ENOSPC),
)


@dataclass(frozen=True)
class NodeEvent:
    """A fault of a node; `at` is in seconds from the start of the load.

    `value` is in seconds: the offset of a "clock" event, else the duration, where the event has one.
    """

    at: float
    kind: str  # "clock" or one of NODE_EVENTS
    value: float = 0.0


# Faults that affect one node. A "clock" event is not listed, as it affects all nodes of the machine.
NODE_EVENTS = (
    "pause",
    "pool restart",
    "node killed",
    "store silent",
    "store refuses",
    "pool silent",
)


@dataclass(frozen=True)
class SoakPlan:
    """The plan of one soak run. Times are in seconds."""

    seed: int
    nodes: int
    methods: tuple[MethodProfile, ...]
    cores: int
    work_s: float
    store_work_s: float
    overload_factor: float
    overload_window_s: float
    memory_kb: float
    run_factor: float
    calls_out: float
    grace_s: float
    stop_s: float
    memory_mb: int
    sockets: int
    clients: int  # per node
    load: ClientLoad
    pool_link: LinkFaults
    store_link: LinkFaults
    random_call_faults: tuple[RandomCallFault, ...]
    events: tuple[NodeEvent, ...]
    dispatcher_clocks_follow: bool  # the clocks of dispatchers step together with the clocks of nodes
    signals: tuple[signal.Signals, ...]

    @property
    def earliest_kill_s(self) -> float:
        """The shortest time from the drain notice to the kill."""
        longest_s = max(method.deadline_s for method in self.methods)
        return min(self.stop_s, min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S)


def draw_plan(seed: int) -> SoakPlan:
    """Return the plan of a seed; the same seed always gives the same plan."""
    random = Random(seed)
    deadline_s = random.choice((0.6, 0.8, 1.2, 2.0))
    has_many_clients = random.random() < 0.3
    plan = SoakPlan(
        seed=seed,
        nodes=random.choice((1, 2)),
        methods=_methods(deadline_s, random.choice((1.0, 13.0))),
        cores=random.choice((2, 4)),
        work_s=random.choice((0.02, 0.05, 0.3 * deadline_s, 0.3 * deadline_s)),
        store_work_s=random.choice((0.0, 0.01, 0.04)),
        overload_factor=random.choice((1.5, 2.0, 8.0)),
        overload_window_s=1.0,
        memory_kb=random.choice((1_600.0, 6_000.0, 46_000.0)),
        run_factor=random.choice((4.0, 8.0)),
        calls_out=random.choice((2.0, 6.0)),
        grace_s=random.choice((0.2, 0.5, 2.0)),
        stop_s=3.2,
        memory_mb=random.choice((64, 96)),
        sockets=random.choice((128, 256)),
        clients=MANY_CLIENTS if has_many_clients else random.randint(4, 10),
        load=ClientLoad(0.02, 8) if has_many_clients else ClientLoad(random.choice((0.01, 0.04)), 6, 0.02),
        pool_link=_link_faults(random),
        store_link=_link_faults(random),
        random_call_faults=tuple(random.sample(RANDOM_CALL_FAULTS, random.randint(0, 4))),
        events=(),
        dispatcher_clocks_follow=random.random() < 0.7,
        signals=random.choice(SIGNAL_SERIES),
    )
    return replace(plan, events=_events(random))


def _methods(deadline_s: float, window_s: float) -> tuple[MethodProfile, ...]:
    return (
        MethodProfile("look-up", "read_like", deadline_s, 0),
        MethodProfile("book", "idempotency_key", deadline_s, window_s),
        MethodProfile("order", "non_idempotent", deadline_s * 0.75, window_s),
    )


def _link_faults(random: Random) -> LinkFaults:
    return LinkFaults(
        cut_interval_s=random.choice((None, 0.1, 0.3, 0.5)),
        reset_probability=random.choice((0.0, 0.5, 1.0)),
        garbage_probability=random.choice((0.0, 0.5)),
        delay_s=random.choice((0.0, 0.0, 0.03)),
        small_chunks=random.random() < 0.2,
    )


def _events(random: Random) -> tuple[NodeEvent, ...]:
    events = []
    if random.random() < 0.5:
        begin = random.choice((FAULTS_BEGIN_S, 1.0, NOTICE_AT_S + 0.1))  # the last is in the grace period
        offsets = random.sample(CLOCK_OFFSETS_S, random.randint(1, 3))
        events += [NodeEvent(begin + 0.3 * step, "clock", offset) for step, offset in enumerate(offsets)]
    for kind in random.sample(NODE_EVENTS, random.randint(0, 3)):
        at = random.uniform(FAULTS_BEGIN_S, NOTICE_AT_S - 0.3)
        events.append(NodeEvent(at, kind, random.uniform(0.2, 0.6)))
    return tuple(sorted(events, key=lambda event: event.at))
