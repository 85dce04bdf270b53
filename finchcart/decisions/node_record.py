"""The record of a node: its RPCs, what they use, and what was measured.

Carries out the changes of state that controller.py decides, and keeps the counts true, so that nothing
is added up over all RPCs at each arrival. Decides nothing itself.
"""

from bisect import insort
from heapq import heappop, heappush

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.node_settings import (
    DEFAULT_CALLS_LINGER_US,
    UNLIMITED_CALLS,
    Dependency,
    NodeSettings,
)
from finchcart.decisions.rpc import RpcRecord, RpcState

# Names of their own: a member that is looked up in its Enum costs a call on Python 3.11.
_, RUNNING, AWAITING_CALL, CALLING, _, PAUSED, COMPLETED = RpcState


class NodeRecord:
    """What the decision module remembers. Times are microseconds, memory is kilobytes."""

    def __init__(self, settings: NodeSettings) -> None:
        """A node that holds nothing."""
        self.settings = settings
        self.cores = settings.cores
        # A tier decides for itself: no share of it is kept to.
        is_shared = settings.dependency is Dependency.SHARED
        self.calls_limit = settings.calls_limit if is_shared else UNLIMITED_CALLS
        linger_us = settings.calls_linger_us
        self.calls_linger_us = DEFAULT_CALLS_LINGER_US if linger_us is None else linger_us
        self.gauges = Gauges()  # as last reported
        self.active: dict[int, RpcRecord] = {}  # by index: what is not completed
        self.completed: dict[int, RpcRecord] = {}  # by index: known for as long as their keys are stored
        self.queue: list[tuple] = []  # (priority, index, RPC), sorted
        self.key_expirations: list[tuple] = []  # heap of (time, index, RPC)
        self.callers_seen: dict[object, int] = {}  # when each caller last sent something
        self.memory_used_kb = 0.0
        self.runs_in_progress = 0  # on cores, awaiting a call or calling
        self.runs_on_cores = 0
        self.work_on_cores = 0.0  # expected cost of the runs on cores
        self.pausing: set[RpcRecord] = set()  # runs that were told to pause and did not confirm it
        self._init_calls()
        self._init_estimates()
        self._init_modes()

    def _init_calls(self) -> None:
        self.awaiting_calls: list[RpcRecord] = []
        self.calls_in_flight = 0
        self.abandoned_calls: list[int] = []  # when each call that was given up ends downstream
        self.call_credit = 0.0  # call time that may be used
        self.call_credit_at = 0  # when it was last refilled
        self.unreachable_at = -(10**15)  # when a call last did not reach the dependency

    def _init_estimates(self) -> None:
        self.slowness = 1.0  # core time of runs over what they were expected to need
        self.core_time_spent = 0.0  # by all runs, in the last second or two
        self.work_completed = 0.0  # expected cost of the runs that ended in that time
        self.read_delay = 0.0  # time that RPCs lately lost before they were read
        self.retry_ratio = 0.0  # part of the arrivals that are retries
        self.returning_ratio = 0.0  # part of the arrivals whose caller was seen shortly before
        self.timer_lateness = 0
        self.answer_margin = 0  # how long before it is due an RPC is answered
        self.last_maintenance = 0

    def _init_modes(self) -> None:
        self.is_cold = bool(self.settings.fresh_start)
        self.warm_up_began = 0
        self.run_limit = float(self.cores)  # runs on cores at once
        self.own_level = 0.0  # the shed level that this node alone would publish
        self.published_feedback = 0.0  # shed level or credit
        self.healthy = True
        self.keeps_idle_connections = False
        self.grace_end: int | None = None  # None: not draining
        self.kill_at: int | None = None
        self.draining_past_grace = False

    def enqueue(self, rpc: RpcRecord) -> None:
        """Put an RPC into the queue, by its priority."""
        insort(self.queue, (rpc.priority, rpc.index, rpc))

    def dequeue(self, rpc: RpcRecord) -> None:
        """Take an RPC out of the queue."""
        self.queue.remove((rpc.priority, rpc.index, rpc))

    def read_gauges(self, gauges: Gauges) -> None:
        """Keep measurements; what was not measured is taken from the counts."""
        if gauges.core_use is None:
            gauges = gauges._replace(core_use=min(1.0, self.runs_on_cores / self.cores))
        if gauges.on_cores is None:
            gauges = gauges._replace(on_cores=self.runs_on_cores)
        self.gauges = gauges

    def note_caller(self, now: int, caller: object, window: int, samples: int) -> None:
        """Count whether the caller of an arrival was seen within `window`, averaged over `samples`."""
        seen_at = self.callers_seen.get(caller)
        self.callers_seen[caller] = now
        if seen_at is not None or now - self.warm_up_began > window:
            returns = seen_at is not None and now - seen_at < window
            self.returning_ratio += (returns - self.returning_ratio) / samples

    def forget_callers(self, not_seen_since: int, limit: int) -> None:
        """Where more than `limit` callers are known, keep those seen after `not_seen_since`."""
        if len(self.callers_seen) > limit:
            seen = self.callers_seen.items()
            self.callers_seen = {caller: seen_at for caller, seen_at in seen if seen_at > not_seen_since}

    def survivable_runs(self, now: int) -> float:
        """Runs at once that the node survives; those at calls may come back at any time and count."""
        progress = self.settings.warm_up_progress(now - self.warm_up_began) if self.is_cold else 1.0
        return self.cores * (1 + (self.settings.overload_factor - 1) * progress)

    # ---- Runs, in the order of their states

    def begin_run(self, now: int, rpc: RpcRecord) -> None:
        """A queued run begins, or a paused one goes on."""
        if not rpc.has_run:
            self.memory_used_kb += rpc.extra_run_kb
            rpc.started_at = now
        rpc.state = RUNNING
        rpc.has_run = True
        self._count_on_cores(rpc, 1)
        self.runs_in_progress += 1

    def pause_run(self, rpc: RpcRecord, spent: int, cost_left: float) -> None:
        """A run gave its core up after `spent`; it keeps its memory and is queued."""
        self._count_on_cores(rpc, -1)
        self.runs_in_progress -= 1
        rpc.state = PAUSED
        rpc.spent_before_pause += spent
        rpc.expected_cost = cost_left
        self.enqueue(rpc)

    def suspend_run(self, now: int, rpc: RpcRecord) -> None:
        """A run began to await a call."""
        rpc.state = AWAITING_CALL
        rpc.awaiting_since = now
        self._count_on_cores(rpc, -1)

    def begin_call(self, now: int, rpc: RpcRecord) -> None:
        """A run makes its call."""
        rpc.state = CALLING
        rpc.called_at = now
        self.calls_in_flight += 1

    def resume_run(self, now: int, rpc: RpcRecord) -> None:
        """A run goes on after its call, or without it."""
        rpc.state = RUNNING
        rpc.time_at_calls += now - rpc.awaiting_since
        self._count_on_cores(rpc, 1)

    def forget_abandoned_calls(self, now: int) -> None:
        """Count out the abandoned calls that ended downstream."""
        while self.abandoned_calls and self.abandoned_calls[0] <= now:
            self.abandoned_calls.pop(0)

    def end_run(self, rpc: RpcRecord) -> None:
        """A run is over, whatever it waited for; its call was ended before."""
        self.memory_used_kb -= rpc.extra_run_kb
        self.runs_in_progress -= rpc.state is not PAUSED
        if rpc.state is RUNNING:
            self._count_on_cores(rpc, -1)
        elif rpc in self.awaiting_calls:
            self.awaiting_calls.remove(rpc)

    def count_out(self, rpc: RpcRecord) -> None:
        """Nothing is owed and nothing runs any more."""
        rpc.state = COMPLETED
        rpc.answered = True
        self.memory_used_kb -= rpc.memory_kb
        self.completed[rpc.index] = self.active.pop(rpc.index)

    def _count_on_cores(self, rpc: RpcRecord, change: int) -> None:
        self.runs_on_cores += change
        self.pausing.discard(rpc)
        self.work_on_cores = (self.work_on_cores + change * rpc.expected_cost) * (self.runs_on_cores > 0)

    # ---- Idempotency keys

    def count_key(self, rpc: RpcRecord, expires_at: int, forget_at: int) -> None:
        """Count a key that is stored until `expires_at`, and for certain no longer at `forget_at`."""
        rpc.key_expires_at = expires_at
        self.memory_used_kb += self.settings.key_entry_kb
        heappush(self.key_expirations, (forget_at, rpc.index, rpc))

    def uncount_key(self, rpc: RpcRecord) -> None:
        """Count a stored key out."""
        rpc.key_expires_at = 0
        self.memory_used_kb -= self.settings.key_entry_kb

    def expire_keys(self, now: int) -> list[RpcRecord]:
        """Count out the keys that are no longer stored, and return their RPCs."""
        expired = []
        while self.key_expirations and self.key_expirations[0][0] <= now:
            rpc = heappop(self.key_expirations)[2]
            if rpc.key_expires_at:
                self.uncount_key(rpc)
                expired.append(rpc)
        return expired
