"""Simulated host of the decision module, which checks the four rules of a node while it runs.

The rules: a node does not lose an RPC, does not let an operation take effect twice, is not overloaded (called
"fall-over" in messages), and completes its work before it is terminated ("drain").
"""

from dataclasses import dataclass

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcHandle, RpcState
from tests.typed_settings import typed

KINDS = ("idempotent", "keyed", "non_idempotent")
MS = 1000
IN_PROGRESS = (RpcState.RUNNING, RpcState.AWAITING_CALL, RpcState.CALLING)


def draw_settings(rng):
    """Return the settings of a random deployment."""
    memory_kb = rng.choice((4_000, 20_000, 200_000))
    makes_calls = rng.random() < 0.6
    settings = {
        "cores": rng.randint(1, 8),
        "tick": rng.choice((1, 2, 5)) * MS,
        "drain_grace": rng.randint(0, 2500) * MS,
        "slack": 60 * MS,
        "memory_kb": memory_kb,
        "run_factor": rng.choice((1, 4, 16)),
        "key_entry_kb": rng.choice((1, 90)),
        "overload_factor": rng.choice((3, 6, 8)),
        "overload_window": 2000 * MS,
        "fresh_start": rng.random() < 0.4,
        "cold_start_speed": 0.2,
        "warm_up": 9000 * MS,
        "can_stop": rng.random() < 0.5,
        "feedback": rng.choice(("level", "credit", "weight", "silent")),
        "marks_retries": rng.random() < 0.5,
        "retry_after_max": 1000 * MS,
        "methods.count": rng.randint(1, 4),
        "tells_deadline": rng.random() < 0.5,
    }
    settings["can_pause"] = settings["can_stop"] and rng.random() < 0.5
    settings |= draw_dependency(rng) if makes_calls else {}
    methods = range(settings["methods.count"])
    for method in methods:
        settings |= draw_method(rng, method)
    settings["method_calls"] = tuple(makes_calls and rng.random() < 0.7 for _ in methods)
    settings["degraded_value"] = tuple(rng.choice((0.0, 0.4)) for _ in methods)
    return settings


def draw_dependency(rng):
    if rng.random() < 0.3:
        return {"dependency": "tier", "calls_limit": 0.0}  # 0 is configured where no share is known
    return {
        "calls_limit": rng.choice((0.3, 2.0, 7.0)),
        "calls_window": 5000 * MS,
        "calls_linger": 200 * MS,
    }


def draw_method(rng, method):
    objective = rng.randint(300, 2000) * MS
    return {
        f"methods.{method}.name": f"m{method}",
        f"methods.{method}.kind": rng.choice(KINDS),
        f"methods.{method}.criticality": rng.randint(1, 3),
        f"methods.{method}.latency_target": objective,
        f"methods.{method}.deadline": objective * rng.randint(1, 4),
        f"methods.{method}.window": 5000 * MS,
    }


@dataclass(eq=False)
class HostedRpc:
    """One RPC as the simulated node sees it, apart from the decision module. Times are microseconds."""

    method: int
    kind: str
    window: int  # window of its idempotency key
    first: int  # index of the first RPC with its key
    is_duplicate: bool
    reached_at: int
    due_at: int
    memory_kb: float
    state: RpcState = RpcState.QUEUED
    has_run: bool = False
    answered: bool = False
    caller_is_gone: bool = False
    stop_requested: bool = False
    since: int = 0  # when its run or call began
    calls: int = 0
    call_timeout: int = 0
    call_never_ran: bool = False  # the outcome of its last call proves that the call never ran
    stalled_until: int = 0  # end of the last stall of the process; until then a late response is no violation
    handle: RpcHandle | None = None
    rejection_reason: RejectionReason | None = None

    @property
    def response_pending(self) -> bool:
        """Whether its caller still waits for a response."""
        return not (self.answered or self.caller_is_gone)


class SimulatedNode:
    """Simulated node: its cores, memory, keys and dependency, and the `Port` of its controller.

    Most rules are checked in the methods of the port; `check` checks the others.
    """

    def __init__(self, settings, seed=1, now=10_000_000):
        self.settings = settings
        self.started_at = self.now = now
        self.rpcs = {}  # by index
        self.open = {}  # the RPCs that are not completed, by index
        self.released = set()
        self.count = 0
        self.keys = {}  # index of the first RPC with a key -> (time until which the key is stored, index)
        self.timers = []
        self.log_lines = []
        self.fleet_gauges = {}  # gauges that the fleet's consensus decides
        self.waiting_reads = 0  # reads that need a core in addition to the runs
        self.pauses = 0  # runs that were told to pause
        self.resumed = 0
        self.mean_on_cores = 0.0  # mean over the setting `overload_window`
        self.mean_calls = 0.0  # mean over the setting `calls_window`
        self.drained_at = None
        self.kill_at = None
        self.control = NodeController(self, typed(settings), seed)
        self.control.start(now)

    def rpc(self, index):
        assert index not in self.released, "a released index was named"
        return self.rpcs[index]

    def criticality(self, rpc):
        return self.settings[f"methods.{rpc.method}.criticality"]

    def in_state(self, *states):
        """Return the indices of the open RPCs in these states, in the order of their arrival."""
        return [index for index, rpc in self.open.items() if rpc.state in states]

    # ---- Methods of the port

    def run(self, index):
        rpc = self.rpc(index)
        is_paused = rpc.state is RpcState.PAUSED
        assert is_paused or rpc.state is RpcState.QUEUED and not rpc.has_run, "an RPC was run twice"
        self.resumed += is_paused
        if self.drained_at is not None:
            grace_end = self.drained_at + self.settings["drain_grace"]
            assert rpc.reached_at <= grace_end, "drain: ran an RPC that arrived after the grace period"
        if rpc.kind == "keyed":
            self.check_runs_once(rpc)
        rpc.state = RpcState.RUNNING
        rpc.has_run = True
        rpc.since = self.now
        rpc.stop_requested = False

    def check_runs_once(self, rpc):
        for other in self.rpcs.values():
            same_key = other.first == rpc.first and other is not rpc
            within = other.reached_at + rpc.window > rpc.reached_at
            assert not (same_key and other.has_run and within), "an operation took effect twice"
        stored_until, _ = self.keys.get(rpc.first, (0, 0))
        assert stored_until >= rpc.reached_at + rpc.window, "a key is not stored until the end of its window"

    def stop(self, index):
        rpc = self.rpc(index)
        assert self.settings["can_stop"]
        assert rpc.state is RpcState.RUNNING
        if rpc.response_pending:
            queued = (other for other in self.open.values() if other.state is RpcState.QUEUED)
            most_critical = max(map(self.criticality, queued), default=0)
            yields = self.criticality(rpc) < most_critical / 2
            assert self.settings.get("can_pause"), "paused a run although runs cannot be paused"
            assert yields, "paused a run although no RPC that is more than twice as critical is queued"
            self.pauses += 1
        else:
            assert rpc.kind == "idempotent", "stopped a run that is not idempotent"
        rpc.stop_requested = True

    def answer(self, rpc):
        assert not rpc.answered, "an RPC got two responses"
        rpc.answered = True

    def reject(self, index, reason, retry_after, do_not_retry):
        rpc = self.rpc(index)
        assert isinstance(reason, RejectionReason)
        rpc.rejection_reason = reason
        assert not rpc.has_run, "rejected an RPC that has run"
        assert rpc.state is RpcState.QUEUED, "rejected an RPC that was not queued"
        assert 0 <= retry_after <= self.settings["retry_after_max"]
        self.answer(rpc)
        rpc.state = RpcState.COMPLETED

    def fail(self, index):
        rpc = self.rpc(index)
        self.answer(rpc)
        if rpc.state in (RpcState.QUEUED, RpcState.SHARING, RpcState.PAUSED):
            rpc.state = RpcState.COMPLETED

    def call(self, index, timeout):
        rpc = self.rpc(index)
        assert rpc.state is RpcState.AWAITING_CALL
        assert timeout > 0
        assert rpc.response_pending
        if rpc.calls:
            assert rpc.kind == "idempotent" or rpc.call_never_ran, (
                "retried a call that may have had an effect"
            )
        rpc.state = RpcState.CALLING
        rpc.calls += 1
        rpc.since = self.now
        rpc.call_timeout = timeout

    def degrade(self, index):
        rpc = self.rpc(index)
        assert rpc.state is RpcState.AWAITING_CALL
        assert self.settings["degraded_value"][rpc.method] > 0
        rpc.state = RpcState.RUNNING

    def answer_duplicate(self, index):
        rpc = self.rpc(index)
        assert rpc.state is RpcState.QUEUED
        assert rpc.is_duplicate
        rpc.state = RpcState.SHARING

    def store_key(self, index, ttl):
        rpc = self.rpc(index)
        assert rpc.kind == "keyed"
        assert ttl > 0
        self.keys[rpc.first] = (self.now + ttl, index)

    def evict_key(self, index):
        rpc = self.rpc(index)
        assert not rpc.has_run, "evicted the key of an RPC that has run"
        self.keys.pop(rpc.first, None)

    def set_health(self, healthy, cached):
        assert cached, "health checks are not answered from the cache"
        assert not (healthy and self.drained_at is not None), "reported healthy while draining"
        self.healthy = healthy

    def set_shed_level(self, level):
        assert self.settings["feedback"] == "level"
        assert 0 <= level <= 1

    def set_credit(self, credit):
        assert self.settings["feedback"] == "credit"
        assert credit > 0
        self.published_credit = credit

    def set_idle_timeout(self, timeout):
        assert timeout >= 10 * MS
        self.idle_timeout = timeout

    def set_timer(self, delay):
        self.timers.append(self.now + delay)

    def log(self, text):
        self.log_lines.append(text)

    def release(self, index):
        self.released.add(index)

    # ---- Events

    def arrive(self, method=0, first=None, waited=0, time_left=None, memory_kb=20.0, **more):
        """Have an RPC arrive, and return its index; `first` is the index of the first RPC with its key."""
        index = self.count
        self.count += 1
        deadline = self.settings[f"methods.{method}.deadline"]
        reached_at = self.now - waited
        expires_at = 0
        if self.settings["tells_deadline"]:
            expires_at = max(self.now, reached_at + (time_left or deadline))
        duplicate_of = None if first is None else self.find_first(first, reached_at)
        rpc = self.rpcs[index] = self.open[index] = HostedRpc(
            method=method,
            kind=self.settings[f"methods.{method}.kind"],
            window=self.settings[f"methods.{method}.window"],
            first=index if first is None else first,
            is_duplicate=duplicate_of is not None,
            reached_at=reached_at,
            due_at=max(self.now, expires_at or reached_at + deadline) + self.settings["slack"],
            memory_kb=memory_kb,
        )
        arrival = RpcArrival(
            f"m{method}",
            memory_kb,
            expires_at=expires_at,
            waited=waited,
            duplicate_of=duplicate_of,
            **more,
        )
        rpc.handle = self.control.admit(self.now, index, arrival)
        return index

    def find_first(self, first, reached_at):
        """Return the index of the first RPC by its stored key; -1 if it was released, None without a key."""
        stored_until, stored_index = self.keys.get(first, (0, None))
        if stored_until > reached_at:
            return -1 if stored_index in self.released else stored_index
        for rpc in self.open.values():
            if rpc.first == first and rpc.state not in (RpcState.COMPLETED, RpcState.SHARING):
                raise AssertionError("a queued or running keyed RPC has no stored key")
        return None

    def await_call(self, index):
        """Have a run need its call to the dependency."""
        rpc = self.rpcs[index]
        rpc.state = RpcState.AWAITING_CALL
        rpc.calls = 0
        rpc.call_never_ran = False
        rpc.handle.awaiting_call(self.now)

    def return_call(self, index, outcome, spent):
        """End the call of a run."""
        rpc = self.rpcs[index]
        rpc.state = RpcState.RUNNING if outcome is Outcome.OK else RpcState.AWAITING_CALL
        rpc.call_never_ran = outcome.never_ran
        rpc.handle.call_ended(self.now, outcome, spent)

    def end(self, index, outcome=Outcome.OK):
        """End a run, or a duplicate's wait for a result."""
        rpc = self.rpcs[index]
        state = rpc.state
        rpc.state = RpcState.COMPLETED
        if outcome in (Outcome.OK, Outcome.ERROR):
            rpc.answered = True
        rpc.handle.run_ended(self.now, outcome, self.now - rpc.since)
        assert state in (*IN_PROGRESS, RpcState.SHARING)
        assert not rpc.response_pending, "lost: an RPC ended without a response"

    def apply_stop(self, index):
        """Pause a stopped run if pausing is enabled and its response is pending, or else end the run."""
        rpc = self.rpcs[index]
        if not (self.settings.get("can_pause") and rpc.response_pending):
            self.end(index, Outcome.STOPPED)
            return
        rpc.state = RpcState.PAUSED
        rpc.stop_requested = False
        rpc.handle.run_ended(self.now, Outcome.STOPPED, self.now - rpc.since)
        assert (index in self.control.state.table.active) != rpc.answered, "active and answered, or neither"

    def end_runs_older_than(self, age, skip=0):
        """End the runs that began at least `age` ago, except for the first `skip` runs."""
        for index in self.in_state(RpcState.RUNNING)[skip:]:
            if self.now - self.rpcs[index].since >= age:
                self.end(index)

    def step(self, elapsed, stalled=False):
        """Advance the time and fire the timers that are due, unless the process is stalled."""
        on_cores = len(self.in_state(RpcState.RUNNING))
        calling = len(self.in_state(RpcState.CALLING))
        self.now += elapsed
        fade = min(1.0, elapsed / max(1, self.settings.get("overload_window", 1)))
        self.mean_on_cores += (on_cores - self.mean_on_cores) * fade
        fade = min(1.0, elapsed / max(1, self.settings.get("calls_window", 1)))
        self.mean_calls += (calling - self.mean_calls) * fade
        if stalled:
            for rpc in self.open.values():
                rpc.stalled_until = max(rpc.stalled_until, self.now)
            return
        due = [fires_at for fires_at in self.timers if fires_at <= self.now]
        self.timers = [fires_at for fires_at in self.timers if fires_at > self.now]
        core_use = min(1.0, on_cores / self.settings["cores"])
        gauges = Gauges(core_use=core_use, on_cores=on_cores + self.waiting_reads, **self.fleet_gauges)
        for _ in due:
            self.control.on_timer(self.now, gauges)
        self.keys = {first: stored for first, stored in self.keys.items() if stored[0] > self.now}

    # ---- Rules that are not checked in the methods of the port

    def check(self):
        """Check these rules now."""
        completed = RpcState.COMPLETED
        self.open = {index: rpc for index, rpc in self.open.items() if rpc.state is not completed}
        for index, rpc in self.open.items():
            if rpc.response_pending:
                assert self.now <= max(rpc.due_at, rpc.stalled_until + 60 * MS), f"lost: {index} {rpc}"
        self.check_memory()
        self.check_counts()
        self.check_overload()
        if self.kill_at is not None and self.now >= self.kill_at:
            pending = [rpc for rpc in self.open.values() if rpc.response_pending]
            assert not pending, "drain: a response is pending at the termination deadline"

    def check_memory(self):
        entry_kb = self.settings["key_entry_kb"]
        rpcs_kb = 0
        for rpc in self.open.values():
            has_started = rpc.state not in (RpcState.QUEUED, RpcState.SHARING)
            rpcs_kb += rpc.memory_kb * (self.settings["run_factor"] if has_started else 1)
        assert rpcs_kb + len(self.keys) * entry_kb <= self.settings["memory_kb"], "fall-over: memory"
        known = [*self.control.state.table.active.values(), *self.control.state.table.completed.values()]
        counted_keys = sum(bool(rpc.key_expires_at) for rpc in known)
        counted_kb = self.control.state.memory.used_kb - entry_kb * counted_keys
        assert abs(counted_kb - rpcs_kb) < 0.1, "the memory in use is counted incorrectly"

    def check_counts(self):
        state = self.control.state
        assert state.runs.in_progress == len(self.in_state(*IN_PROGRESS)), "runs are counted incorrectly"
        running = (rpc for rpc in self.open.values() if rpc.state is RpcState.RUNNING)
        work_on_cores = sum(rpc.handle.expected_service_time for rpc in running)
        assert abs(state.runs.expected_work - work_on_cores) <= 1, "the expected work is counted incorrectly"
        assert len(state.table.active) <= len(self.open), "a completed RPC is still in the active table"
        assert state.runs.pausing <= {rpc.handle for rpc in self.open.values()}, "a completed RPC is pausing"

    def check_overload(self):
        progress = 1.0
        if self.settings["fresh_start"]:
            elapsed = self.now - self.started_at
            progress = min(1.0, 0.2 + 0.8 * elapsed / max(1, self.settings["warm_up"]))
        survivable = 1 + (self.settings["overload_factor"] - 1) * progress
        assert self.mean_on_cores <= survivable * self.settings["cores"], "overload"
        is_shared = self.settings.get("dependency", "shared") == "shared"
        assert not is_shared or self.mean_calls <= self.settings.get("calls_limit", 1e9), "fall-over: calls"


def same_input(found, expected):
    """Return whether two inputs have the same type and are equal.

    Named tuples of different types are equal if their fields are, so that `==` alone is not enough.
    """
    return type(found) is type(expected) and found == expected
