"""All decisions of a node: which RPCs it admits, runs, rejects and fails.

How it is called (the host's verbs: finchcart/decisions/port.py; why: docs/design.md). A host makes one
`NodeController(port, settings, seed)` for each node and calls `start(now)`. `admit(now, ...)` takes an RPC
that was read and returns its handle; what happens to it later is a call on the handle: `run_ended`,
`caller_gone`, `awaiting_call`, `call_ended`. On the controller: `on_timer` (with gauges), `drain`,
`worker_pool_restarted`. The module answers through the port, inside these calls. Times are
whole microseconds; the only clock is `now`.

States: an RPC is QUEUED, then RUNNING, then COMPLETED. A run that needs the dependency is AWAITING_CALL, then
CALLING, and RUNNING again; one that yields its core is PAUSED and queued again. A duplicate never runs, it is
SHARING. Fields and what they mean: rpc.py (an RPC), node_record.py (the node), node_settings.py.

Reading order: constants, Method, RpcHandle (one RPC's way), NodeController (intake, queue,
calls, control loop, drain).
"""

from math import log2
from random import Random

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.histogram import Histogram
from finchcart.decisions.method_record import MethodRecord, order_by_criticality
from finchcart.decisions.node_record import NodeRecord
from finchcart.decisions.node_settings import Feedback, MethodSettings, NodeSettings
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcRecord, RpcState

# Names of their own: a member that is looked up in its Enum costs a call on Python 3.11.
QUEUED, RUNNING, AWAITING_CALL, CALLING, SHARING, PAUSED, COMPLETED = RpcState

# Times are microseconds; numbers without a unit are parts of a whole, or factors.
MS = 1_000
SECOND = 1_000_000
MAINTENANCE_INTERVAL = 40 * MS  # between looks at what is due, at the gauges and at the control loop
MIN_IDLE_TIMEOUT = 10 * MS  # of connections
MAX_IDLE_TIMEOUT = 8 * SECOND
HISTOGRAM_SAMPLES = 120  # histograms are halved when they reach it, so that old samples fade

# When answers are due.
ANSWER_MARGIN = 20 * MS  # an RPC is answered so long before it is due, besides ticks and an interval
KILL_MARGIN = 50 * MS  # all are answered so long before the kill
MAX_LATENESS_MARGIN = SECOND  # answers are given earlier where timers are late, by this at most
USUAL_RUN = 0.9  # quantile of its method's times that a run usually keeps to
RUN_AFTER_GRACE = 2  # a run may last so many times that after the grace
KEY_EXTRA_TIME = 200 * MS  # keys are stored so much longer than their window

# Intake. Memory: parts of what there is; a run takes more than a queued RPC, duplicates are the last to go.
START_BELOW_MEMORY = 0.85
REJECT_ABOVE_MEMORY = 0.9
FAIL_DUPLICATES_ABOVE_MEMORY = 0.95
READ_DELAY_SAMPLES = 8  # arrivals that the average follows
RETURNING_SAMPLES = 16
RETRY_SAMPLES = 32
RETRY_TIME_LOST = 4  # the age of a retry is not told: its objective is shorter by this times the retry ratio
MAX_RETRY_TIME_LOST = 0.5
QUOTA_RESERVE = 20  # a twentieth of a fleet quota is reserved for each more critical rank
FREE_CORE_FIT = 0.8  # part of the time left that a run on a free core may be expected to take
IDLE_NODE_FIT = 1.2  # the same where less than half of the cores are in use
MISFIT_TRIES = 0.1  # part of the others that run all the same: else a slow node never learns it is well again
HOPELESS_FIT = 0.4  # an RPC that would be late at this part of its cost fits nowhere
FULL_FLEET_RETRIES = 0.1  # a retry ratio above this shows that the fleet is full, not this node alone
FULL_FLEET_SHARE = 0.6  # where retries carry no mark, an admitted share below this shows it
MIN_ADVISED_WAIT = 50 * MS  # shorter waits are not worth advice
RETURNING_FOR_ADVICE = 0.6  # advice reaches callers where more than this part soon comes again

# Queue and cores.
CONCURRENCY_PART = 0.8  # of the runs that the node survives
MAX_RUNS_PER_CORE = 4  # calls included
YIELD_BELOW = 0.5  # runs yield to what is more than twice as critical
MIN_COST_LEFT = 4  # a paused run has a quarter of its expected cost left at least
OPTIMISM = 0.6  # run times vary: what waits may still be in time at this part of its expected cost

# Calls to the dependency; parts of the node's share of it.
REFILL_PART = 0.8  # of call time: the mean over the window stays under the share
MAX_CREDIT_PART = 0.2  # of the share over its window
AMPLE_CREDIT_PART = 0.1  # above it, more calls may be in flight
AMPLE_CALL_PART = 0.8
CAUTIOUS_CALL_PART = 0.5
SHORT_CALLS = 32  # calls are short where so many fit in the shortest latency objective
CALL_MARGIN = 1.5  # times the mean call that must fit in the time left, else the call is left out
USUAL_CALL = 0.95  # quantile of the calls' times: no call is abandoned before it, whatever time is left

# Control loop. Pairs of bounds: to begin, to go on.
BUSY_THRESHOLD = 0.9  # part of the cores in use above which admission is cut
OBJECTIVE_PART = 0.6  # of the latency objective, that the loop aims at
MIN_SHARE = 0.05  # what is admitted at the deepest cut
MAX_CUT = 0.95  # a share falls to no less than this of itself in an interval
SHARE_GROWTH = 0.015  # in an interval at the bound; the faster the further the latency is below it
MIN_GROWTH_BASE = 0.2
NEXT_RANK_SHARE = 0.1  # a method is cut once those less critical admit less than this
CLOSED_SHARE = 0.06  # the published level reaches the next rank once one admits no more than this
RUN_LIMIT_PER_CORE = 2
RUN_LIMIT_PART = 0.4  # of the runs that the node survives
RUN_LIMIT_CUT = 0.9
WORK_FADE = 0.975  # of sums, in an interval: they hold the last second or two
READ_DELAY_FADE = 0.98
SLOWNESS_RANGE = 0.3, 16.0
LEVEL_STEP = 0.02  # smaller changes of the level are not published
CREDIT_FACTOR = 4  # a credit knows no criticality: the queue needs some RPCs to choose from
CREDIT_STEP = 0.8, 1.25  # smaller changes of the credit are not published
UNHEALTHY_LOSS = 0.5, 0.1  # part of the objective lost before reading, above which a node is unhealthy
KEEP_IDLE_LOSS = 0.2, 0.04  # the same, above which idle connections are kept
KEEP_IDLE_RETURNING = 0.75, 0.6  # part of the arrivals whose caller was seen shortly before; above
KEEP_IDLE_SHARE = 0.6, 0.9  # admitted share where no level is published; below
MAX_CALLERS_SEEN = 999  # then those are removed that were not seen for the longest idle timeout


class Method(MethodRecord):
    """One method: its settings, and what is learned of it. Run times leave out the time at calls."""

    def __init__(self, settings: MethodSettings, can_stop: bool, cold_factor: float) -> None:
        super().__init__(settings, can_stop)
        self.admitted_share = 1.0
        self.overshoot = 0.0  # expected latency over the part of the objective that the loop aims at
        # Before anything is measured: a run takes a sixth of the objective, and hints are half believed.
        objective = self.latency_objective
        lowest = objective / 96
        self.run_time = Histogram(lowest, objective / 6 * cold_factor, HISTOGRAM_SAMPLES)
        self.small_hint = Histogram(lowest, objective / 24, HISTOGRAM_SAMPLES)
        self.small_run = Histogram(lowest, objective / 12 * cold_factor, HISTOGRAM_SAMPLES)
        self.large_hint = Histogram(lowest, objective / 3, HISTOGRAM_SAMPLES)
        self.large_run = Histogram(lowest, objective / 4 * cold_factor, HISTOGRAM_SAMPLES)
        self.total_time = Histogram(objective / 32, objective / 4 * cold_factor, HISTOGRAM_SAMPLES)

    def expected_cost(self, hint: int) -> float:
        """Core time that a run is expected to need. What runs with small and with large hints took lately
        tells how far hints can be believed: a power through these two."""
        if not hint:
            return self.run_time.mean
        hint_ratio = self.large_hint.mean / self.small_hint.mean
        power = log2(self.large_run.mean / self.small_run.mean) / max(0.5, log2(hint_ratio))
        return self.small_run.mean * (hint / self.small_hint.mean) ** max(0.0, min(1.0, power))

    def learn(self, hint: int, run_time: int, total_time: int) -> None:
        """A run ended well."""
        self.run_time.add(run_time)
        self.total_time.add(total_time)
        if hint:
            is_large = hint * hint > self.small_hint.mean * self.large_hint.mean
            (self.large_hint if is_large else self.small_hint).add(hint)
            (self.large_run if is_large else self.small_run).add(run_time)


class RpcHandle(RpcRecord):
    """The handle of one RPC: the host reports here what happens to it."""

    __slots__ = ()

    def run_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """A run, or the wait of a duplicate, ended; with OK and ERROR its answer has gone out."""
        if self.state is COMPLETED:
            return
        control = self.control
        unanswered = self.is_owed and outcome in (Outcome.STOPPED, Outcome.NOT_STARTED)
        if unanswered and outcome is Outcome.STOPPED and self.state is RUNNING and control.settings.can_pause:
            control.requeue_paused(now, self, spent)
            return
        if self.state is not SHARING:
            self._account_run(outcome, spent)
        if unanswered:
            control.port.fail(self.index)  # it may have run: an answer is owed, and never a rejection
        control.finish(now, self)
        control.start_queued(now)

    def caller_gone(self, now: int) -> None:
        """Nothing is owed any more: it leaves the queue, or is stopped where that is allowed."""
        if self.state is COMPLETED or self.caller_is_gone:
            return
        self.caller_is_gone = True
        if self.state in (QUEUED, PAUSED):
            self.control.dequeue(self)
        if self.state in (QUEUED, PAUSED, SHARING):
            self.control.finish(now, self)
        elif self.state is RUNNING and self.method.stoppable and not self.answered:
            self.control.port.stop(self.index)

    def awaiting_call(self, now: int) -> None:
        """The run needs its call to the dependency to go on."""
        if self.state is not RUNNING:
            return
        self.control.suspend_run(now, self)
        if self.is_owed:
            self.control.awaiting_calls.append(self)
            self.control.make_calls(now)
        self.control.start_queued(now)

    def call_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """The call returned: with OK the run goes on by itself, else it awaits a call again."""
        if self.state is not CALLING:
            return
        control = self.control
        control.end_call(now, self, outcome)
        if outcome is Outcome.OK:
            control.call_time.add(max(1, spent))
            control.resume_run(now, self)
        elif self.is_owed:
            self._call_failed(now, outcome)
        control.make_calls(now)
        control.start_queued(now)

    def _account_run(self, outcome: Outcome, spent: int) -> None:
        self.failed = outcome is not Outcome.OK
        self.has_run = outcome is not Outcome.NOT_STARTED  # else nothing is learned of it, nor its key kept
        if self.has_run:
            self.control.work_completed += self.expected_cost
        if not self.failed:
            total_time = spent + self.spent_before_pause
            self.method.learn(
                self.service_time_hint, max(1, total_time - self.time_at_calls), max(1, total_time)
            )

    def _call_failed(self, now: int, outcome: Outcome) -> None:
        """Repeats the call, leaves it out or fails the RPC. A call must not take effect twice, nor a failing
        dependency be pressed: it is repeated once, where the method may run again or the call never ran."""
        self.failed_calls += 1
        can_degrade = self.method.degraded_value > 0
        may_repeat = self.method.idempotent or outcome.never_ran
        if self.failed_calls < 2 and may_repeat and not (outcome is Outcome.TIMEOUT and can_degrade):
            self.control.awaiting_calls.append(self)
        elif can_degrade:
            self.control.degrade(now, self)
        else:
            self.control.fail(now, self)


class NodeController(NodeRecord):
    """The decisions of one node. `settings`: see node_settings.py; `seed`: of all left to chance."""

    def __init__(self, port: Port, settings: NodeSettings, seed: int) -> None:
        super().__init__(settings)
        self.port = port
        self.random = Random(seed).random
        cold_factor = 1 / max(self.settings.cold_start_speed if self.is_cold else 1, 0.1)
        self.methods = [Method(method, settings.can_stop, cold_factor) for method in settings.methods]
        self.methods_by_name = {method.name: method for method in self.methods}
        self.rank_count = order_by_criticality(self.methods)
        self.shortest_objective = min((method.latency_objective for method in self.methods), default=SECOND)
        self.call_time = Histogram(2 * MS, 30 * MS, HISTOGRAM_SAMPLES)
        self.max_call_credit = MAX_CREDIT_PART * self.calls_limit * self.settings.calls_window_us
        self.call_credit = self.max_call_credit
        self._set_timer_lateness(0)

    def start(self, now: int) -> None:
        """The node begins to serve."""
        self.warm_up_began = now
        self.last_maintenance = now
        self.call_credit_at = now
        self.port.set_health(True, True)
        self.port.set_idle_timeout(MIN_IDLE_TIMEOUT)
        self.port.set_timer(MAINTENANCE_INTERVAL)

    def worker_pool_restarted(self, now: int, cold: bool) -> None:
        """What runs the RPCs restarted, cold or warm; the ends of its runs are reported one by one."""
        self.is_cold = cold
        self.warm_up_began = now

    # ---- Intake

    def admit(self, now: int, index: int, arrival: RpcArrival) -> RpcHandle:
        """An RPC has been read: queues it, rejects it, or shares a result."""
        self.note_caller(now, arrival.caller, MAX_IDLE_TIMEOUT, RETURNING_SAMPLES)
        rpc = RpcHandle(self, now, index, self.methods_by_name[arrival.method], arrival)
        self._forecast(now, rpc)
        self.active[index] = rpc
        self.memory_used_kb += rpc.memory_kb
        if rpc.duplicate_of is not None:
            first = self.active.get(rpc.duplicate_of) or self.completed.get(rpc.duplicate_of)
            if not (first and not first.has_run and first.state is COMPLETED):
                self._share_result(now, rpc, first)
                return rpc
        expected_wait = self._work_ahead(rpc.priority) / self.run_limit
        ranks_above = self.rank_count - 1 - rpc.method.criticality_rank
        if rpc.quota and rpc.quota.available <= int(rpc.quota.capacity / QUOTA_RESERVE * ranks_above):
            self.reject(now, rpc, max(expected_wait, rpc.quota.retry_after))
        elif self._must_reject(now, rpc, expected_wait):
            self.reject(now, rpc, expected_wait)
        else:
            self._store_key(now, rpc)
            self.enqueue(rpc)
            self.start_queued(now)
        return rpc

    def _forecast(self, now: int, rpc: RpcHandle) -> None:
        method = rpc.method
        lost = min(MAX_RETRY_TIME_LOST, RETRY_TIME_LOST * self.retry_ratio) if rpc.is_retry else 0
        rpc.objective_at = min(rpc.due_at, rpc.reached_at + int(method.latency_objective * (1 - lost)))
        rpc.expected_cost = method.expected_cost(rpc.service_time_hint)
        # Not by criticality for the cost: of two equal methods, the one with longer runs would be starved.
        rpc.priority = (-method.criticality, rpc.objective_at - rpc.expected_cost)
        self.read_delay += (now - rpc.reached_at - self.read_delay) / READ_DELAY_SAMPLES
        self.retry_ratio += (rpc.is_retry - self.retry_ratio) / RETRY_SAMPLES

    def _share_result(self, now: int, rpc: RpcHandle, first: RpcHandle | None) -> None:
        """A duplicate never runs, lest it take effect twice: it shares the result of the first of its key."""
        no_memory = self.memory_used_kb > FAIL_DUPLICATES_ABOVE_MEMORY * self.settings.memory_kb
        if no_memory or (first and first.state is COMPLETED and first.failed) or self._is_due(now, rpc):
            self.fail(now, rpc)
        else:
            rpc.state = SHARING
            self.port.answer_duplicate(rpc.index)

    def _must_reject(self, now: int, rpc: RpcHandle, expected_wait: float) -> bool:
        method = rpc.method
        if self._cannot_serve(now, rpc) or self._lacks_dependency(method):
            return True
        shed_rank = None
        if self.gauges.min_shed_level:
            shed_rank = self._relative_rank(rpc)
            if shed_rank < self.gauges.min_shed_level * self.rank_count - method.criticality_rank:
                return True  # the whole fleet sheds it
        if self._has_free_core(now, rpc):
            return False
        if shed_rank is None:
            shed_rank = self._relative_rank(rpc)
        if shed_rank < 1 - method.admitted_share:
            return True
        if self.settings.can_pause:  # the cost learned in a crowd of runs that yield is too long
            return self._is_too_late(now + expected_wait, rpc)
        return now + expected_wait + rpc.expected_cost * self.slowness > rpc.objective_at

    def _cannot_serve(self, now: int, rpc: RpcHandle) -> bool:
        after_grace = self.grace_end is not None and rpc.reached_at > self.grace_end
        needed_kb = self.memory_used_kb + self.settings.key_entry_kb * rpc.method.keyed
        no_memory = needed_kb > REJECT_ABOVE_MEMORY * self.settings.memory_kb
        return self.draining_past_grace or after_grace or no_memory or self._is_due(now, rpc)

    def _lacks_dependency(self, method: Method) -> bool:
        """Whether it would run half and fail: only as many are admitted as may probe a failed dependency."""
        capacity = self.gauges.call_capacity
        if not (self.gauges.dependency_down and method.needs_call and capacity is not None):
            return False
        return capacity <= sum(other.method.needs_call for other in self.active.values()) - 1

    def _relative_rank(self, rpc: RpcHandle) -> float:
        """Rank among its like (0 to 1): by user where told, the same on all nodes; else by chance."""
        if rpc.shed_rank is None:
            return self.random()
        return rpc.shed_rank * self.rank_count - rpc.method.criticality_rank

    def _has_free_core(self, now: int, rpc: RpcHandle) -> bool:
        if self.runs_on_cores >= self.cores or self.queue:
            return False
        part = IDLE_NODE_FIT if self.runs_on_cores * 2 < self.cores else FREE_CORE_FIT
        fits = rpc.expected_cost < part * (rpc.objective_at - now)
        return fits or not rpc.service_time_hint or self.random() < MISFIT_TRIES

    def _work_ahead(self, priority: tuple[float, float]) -> float:
        """Core time of the runs and queued RPCs that come before this priority."""
        work = self._work_not_yielding(-priority[0]) if self.settings.can_pause else self.work_on_cores
        work *= self.slowness / 2  # on average, half of a run is over
        if self.runs_on_cores < self.run_limit:
            work *= self.runs_on_cores / self.run_limit / 2
        for queued_priority, _, rpc in self.queue:
            if queued_priority > priority:
                break
            work += rpc.expected_cost * self.slowness
        return work

    def _work_not_yielding(self, criticality: float) -> float:
        running = [rpc for rpc in self.active.values() if rpc.state is RUNNING]
        return sum(rpc.expected_cost for rpc in running if not self._yields(rpc.method, criticality))

    def reject(self, now: int, rpc: RpcHandle, expected_wait: float = 0) -> None:
        """It never ran: says so at once, and when to come back."""
        # Only what fits nowhere is told not to try elsewhere, lest a full fleet read the same RPCs for ever.
        if self.settings.marks_retries:
            fleet_is_full = rpc.method.admitted_share < 1 and self.retry_ratio > FULL_FLEET_RETRIES
        else:
            fleet_is_full = rpc.method.admitted_share < FULL_FLEET_SHARE
        fits_nowhere = rpc.expected_cost * HOPELESS_FIT > rpc.objective_at - now
        do_not_retry = fits_nowhere or (self.kill_at is None and fleet_is_full)
        # Advice keeps a caller away from this node; where none comes again soon it only delays the client.
        is_heeded = expected_wait > MIN_ADVISED_WAIT and self.returning_ratio > RETURNING_FOR_ADVICE
        retry_after = int(min(self.settings.retry_after_max_us, expected_wait)) if is_heeded else 0
        self.port.reject(rpc.index, retry_after, do_not_retry)
        self.finish(now, rpc)

    def fail(self, now: int, rpc: RpcHandle) -> None:
        """Answers; a run goes on to its end, or is stopped where that is allowed."""
        if rpc.is_owed:
            self.port.fail(rpc.index)
        rpc.answered = True
        if rpc.state in (QUEUED, SHARING, PAUSED):
            self.finish(now, rpc)
        elif rpc.state is RUNNING and rpc.method.stoppable:
            self.port.stop(rpc.index)

    # ---- Queue and cores

    def start_queued(self, now: int) -> None:
        """Starts queued RPCs, in order, as far as the limits allow."""
        queue = self.queue
        if not queue:
            return
        limit = min(CONCURRENCY_PART * self.survivable_runs(now), MAX_RUNS_PER_CORE * self.cores)
        while queue and self.runs_in_progress < limit:
            rpc = queue[0][2]
            if self._is_too_late(now, rpc) and self.runs_on_cores * 2 >= self.cores:
                self._drop_queued(now, rpc)
            elif self._may_start(rpc):
                del queue[0]
                self.begin_run(now, rpc)
                self.port.run(rpc.index)
            else:
                break

    def _may_start(self, rpc: RpcHandle) -> bool:
        needed_kb = self.memory_used_kb + rpc.extra_run_kb * (not rpc.has_run)
        if needed_kb > START_BELOW_MEMORY * self.settings.memory_kb:
            return False
        has_core = self.runs_on_cores - len(self.pausing) < self.run_limit
        return has_core or self._pause_least_critical(rpc.method.criticality)

    def _yields(self, method: Method, criticality: float) -> bool:
        """Whether a run of the method may be paused for an RPC of this criticality."""
        return self.settings.can_pause and method.criticality < YIELD_BELOW * criticality

    def _pause_least_critical(self, criticality: float) -> bool:
        """Pauses the least critical run that yields, the last started of its like; false where none does."""
        # Not one that owes no answer: a stop would end it for good, with effects half done.
        active = self.active.values()
        yielding = [rpc for rpc in active if rpc.state is RUNNING and self._yields(rpc.method, criticality)]
        free = [rpc for rpc in yielding if rpc.is_owed and rpc not in self.pausing]
        least = min(free, key=lambda rpc: (rpc.method.criticality, -rpc.started_at), default=None)
        if least is None:
            return False
        self.pausing.add(least)
        self.port.stop(least.index)
        return True

    def requeue_paused(self, now: int, rpc: RpcHandle, spent: int) -> None:
        """A paused run keeps its memory and what was done, and is queued until it goes on."""
        cost_left = max(rpc.expected_cost / MIN_COST_LEFT, rpc.expected_cost - spent / self.slowness)
        self.work_completed += rpc.expected_cost - cost_left
        self.pause_run(rpc, spent, cost_left)
        self.start_queued(now)

    def _is_too_late(self, now: float, rpc: RpcHandle) -> bool:
        """Whether a queued RPC can't meet its objective any more."""
        return now + rpc.expected_cost * self.slowness * OPTIMISM > rpc.objective_at

    def _drop_queued(self, now: int, rpc: RpcHandle) -> None:
        """Out of the queue for good. What is paused has run, and is never rejected."""
        self.dequeue(rpc)
        answer = self.fail if rpc.has_run else self.reject
        answer(now, rpc)

    def finish(self, now: int, rpc: RpcHandle) -> None:
        """Completes an RPC and frees what it held; the key of what never ran is of no use."""
        if rpc.state is CALLING:
            self.end_call(now, rpc, Outcome.TIMEOUT)
        if rpc.state not in (QUEUED, SHARING):
            self.end_run(rpc)
        self.count_out(rpc)
        if rpc.key_expires_at and not rpc.has_run:
            self.port.evict_key(rpc.index)
            self.uncount_key(rpc)
        if not rpc.key_expires_at:
            self._release(rpc)

    def _release(self, rpc: RpcHandle) -> None:
        del self.completed[rpc.index]
        self.port.release(rpc.index)

    def _store_key(self, now: int, rpc: RpcHandle) -> None:
        if rpc.method.keyed:
            expires_at = rpc.reached_at + rpc.method.key_window + KEY_EXTRA_TIME
            self.port.store_key(rpc.index, expires_at - now)
            self.count_key(rpc, expires_at, expires_at + 2 * self.settings.tick_us)

    # ---- Calls to the dependency

    def make_calls(self, now: int) -> None:
        """Makes or leaves out the calls that runs await, as far as the share of the dependency allows."""
        # A dependency may come back cold: each node's share grows from when it was last unreachable.
        progress = self.settings.warm_up_progress(now - self.unreachable_at)
        share = self.calls_limit * progress
        self._refill_call_credit(now, share)
        self.forget_abandoned_calls(now)
        if not self.awaiting_calls:
            return
        awaiting = [rpc for rpc in self.awaiting_calls if rpc.is_owed]
        self.awaiting_calls = []
        limit = self._call_limit(share)
        if self.gauges.call_capacity is not None:
            capacity = self.gauges.call_capacity  # given by the fleet: all of it may be used
            limit = min(capacity, max(1, int(capacity * progress)))
            self.call_credit = self.max_call_credit
            awaiting.sort(key=lambda rpc: rpc.priority)
        for rpc in awaiting:
            self._make_call(now, rpc, limit)

    def _refill_call_credit(self, now: int, share: float) -> None:
        refilled = self.call_credit + REFILL_PART * share * (now - self.call_credit_at)
        self.call_credit = min(refilled, MAX_CREDIT_PART * share * self.settings.calls_window_us)
        self.call_credit_at = now

    def _call_limit(self, share: float) -> int:
        """Calls in flight at once: a slow dependency, or one that used up its credit, is not pressed."""
        ample_credit = AMPLE_CREDIT_PART * self.calls_limit * self.settings.calls_window_us
        is_quick = SHORT_CALLS * self.call_time.mean < self.shortest_objective and not self.abandoned_calls
        part = AMPLE_CALL_PART if is_quick and self.call_credit > ample_credit else CAUTIOUS_CALL_PART
        return max(1, int(part * share))

    def _make_call(self, now: int, rpc: RpcHandle, limit: int) -> None:
        time_left = rpc.objective_at - now
        run_time = rpc.expected_cost * self.slowness
        is_full = self.calls_in_flight + len(self.abandoned_calls) >= limit
        can_degrade = rpc.method.degraded_value > 0
        no_time = time_left < CALL_MARGIN * self.call_time.mean + OPTIMISM * rpc.expected_cost * self.slowness
        if can_degrade and (no_time or (self.gauges.dependency_down and is_full)):
            self.degrade(now, rpc)
            return
        if self.call_credit <= 0 or is_full:
            self.awaiting_calls.append(rpc)
            return
        timeout = rpc.due_at - now - self.answer_margin
        if can_degrade:
            timeout = min(timeout, max(time_left - run_time, self.call_time.quantile(USUAL_CALL)))
        longest = self.calls_limit * self.settings.calls_window_us / limit
        self.begin_call(now, rpc)
        self.port.call(rpc.index, max(self.settings.tick_us, int(min(timeout, longest))))

    def end_call(self, now: int, rpc: RpcHandle, outcome: Outcome) -> None:
        """A call ended; one that was abandoned goes on downstream for a while."""
        rpc.state = AWAITING_CALL
        self.calls_in_flight -= 1
        self.call_credit -= now - rpc.called_at
        if outcome in (Outcome.TIMEOUT, Outcome.CONNECTION_LOST):
            self.abandoned_calls.append(now + self.calls_linger_us)
            self.call_credit -= self.calls_linger_us
        elif outcome is Outcome.UNREACHABLE:
            self.unreachable_at = now

    def degrade(self, now: int, rpc: RpcHandle) -> None:
        """Leaves out the call that a run awaits."""
        self.port.degrade(rpc.index)
        self.resume_run(now, rpc)

    # ---- Maintenance: gauges, what is due, slowness

    def on_timer(self, now: int, gauges: Gauges) -> None:
        """Looks at the gauges and at what is due, and turns the control loop once."""
        lateness = now - self.last_maintenance - MAINTENANCE_INTERVAL - 2 * self.settings.tick_us
        self._set_timer_lateness(max(lateness, self.timer_lateness * 63 // 64, 0))  # fades in seconds
        self.read_gauges(gauges)
        self.forget_callers(now - MAX_IDLE_TIMEOUT, MAX_CALLERS_SEEN)
        for rpc in self.expire_keys(now):
            if rpc.state is COMPLETED:
                self._release(rpc)
        self._settle_due(now)
        self._update_slowness(now)
        self._run_control_loop(now)
        self.make_calls(now)
        self.start_queued(now)
        self.port.set_timer(MAINTENANCE_INTERVAL)

    def _set_timer_lateness(self, lateness: int) -> None:
        """RPCs are answered a few ticks before they are due, and twice what stalls lately cost."""
        self.timer_lateness = lateness
        margin = 2 * self.settings.tick_us + MAINTENANCE_INTERVAL + ANSWER_MARGIN
        self.answer_margin = margin + min(2 * lateness, MAX_LATENESS_MARGIN)

    def _is_due(self, now: int, rpc: RpcHandle) -> bool:
        """Whether its answer is owed before the next timer: by its deadline, or by the kill."""
        due_at = rpc.due_at if self.kill_at is None else min(rpc.due_at, self.kill_at - KILL_MARGIN)
        return now >= due_at - self.answer_margin

    def _settle_due(self, now: int) -> None:
        self.pausing.clear()  # nothing pauses in a stall: what did not by now counts as a run again
        for rpc in list(self.active.values()):
            if rpc.answered:
                continue
            must_end = self._is_due(now, rpc) or self.draining_past_grace and self._outlasts_grace(now, rpc)
            if rpc.state is QUEUED or rpc.state is PAUSED:
                if must_end or self._is_too_late(now, rpc):
                    self._drop_queued(now, rpc)
            elif must_end or now > rpc.objective_at and self._is_worthless(rpc):
                self.fail(now, rpc)

    def _outlasts_grace(self, now: int, rpc: RpcHandle) -> bool:
        began = max(self.grace_end, rpc.started_at)
        return now > began + RUN_AFTER_GRACE * rpc.method.total_time.quantile(USUAL_RUN)

    def _is_worthless(self, rpc: RpcHandle) -> bool:
        return (rpc.state is RUNNING or rpc.state is AWAITING_CALL) and rpc.method.worthless_when_late

    def _update_slowness(self, now: int) -> None:
        """Core time spent over the expected cost of what ended shows a slowed machine, whatever slows it."""
        spent = self.runs_on_cores * (now - self.last_maintenance)
        self.last_maintenance = now
        self.core_time_spent = self.core_time_spent * WORK_FADE + spent
        self.work_completed *= WORK_FADE
        self.read_delay *= READ_DELAY_FADE
        run_times = sum(method.run_time.mean for method in self.methods)
        usual = self.cores * run_times / max(1, len(self.methods))  # keeps an idle node near 1
        slowness = (self.core_time_spent + usual) / (self.work_completed + usual)
        self.slowness = max(SLOWNESS_RANGE[0], min(SLOWNESS_RANGE[1], slowness))

    # ---- Control loop

    def _run_control_loop(self, now: int) -> None:
        # The end of a run, and what comes of its call, wait as long again as the oldest input not taken yet.
        unread_wait = max(self.read_delay, self.gauges.input_age) + self.gauges.input_age
        self._measure_overshoot(now, unread_wait)
        self._adjust_shares()
        self._adjust_run_limit(now)
        if self.settings.feedback is Feedback.LEVEL:
            self._publish_level()
        elif self.settings.feedback is Feedback.CREDIT:
            self._publish_credit(now)
        self._end_grace(now)
        lost = unread_wait / self.shortest_objective
        self._update_health(lost)
        self._update_idle_timeout(lost)

    def _measure_overshoot(self, now: int, unread_wait: float) -> None:
        """By the latency that an RPC arriving now would meet; the wait before reading is part of it."""
        for method in self.methods:
            priority = (-method.criticality, now + method.latency_objective)
            latency = unread_wait + self._work_ahead(priority) / self.run_limit
            latency += method.run_time.mean * self.slowness
            method.overshoot = latency / (OBJECTIVE_PART * method.latency_objective)

    def _adjust_shares(self) -> None:
        """Cuts the less critical methods first, also for others' sake, and none that others yield to."""
        busy = max(self.gauges.core_use, min(1.0, self.runs_on_cores / self.cores), self.gauges.input_busy)
        for method in self.methods:
            above = max((other.overshoot for other in method.more_critical), default=0)
            below = max((other.admitted_share for other in method.less_critical), default=0)
            preempts = any(self._yields(other, method.criticality) for other in method.less_critical)
            overshoot = max(method.overshoot, above)
            share = method.admitted_share
            if busy > BUSY_THRESHOLD and overshoot > 1 and below < NEXT_RANK_SHARE and not preempts:
                method.admitted_share = max(MIN_SHARE, share * max(MAX_CUT, 1 / overshoot))
            else:
                method.admitted_share = min(1.0, share + SHARE_GROWTH / max(MIN_GROWTH_BASE, overshoot))

    def _adjust_run_limit(self, now: int) -> None:
        """Follows what wants a core now: the averaged gauge would bring on a crowd."""
        if self.queue and self.gauges.on_cores < self.cores and self.runs_on_cores >= self.run_limit - 1:
            ceiling = min(RUN_LIMIT_PER_CORE * self.cores, RUN_LIMIT_PART * self.survivable_runs(now))
            self.run_limit = min(self.run_limit + self.cores / 4, ceiling)
        elif self.gauges.on_cores > self.cores:
            self.run_limit = max(self.cores, self.run_limit * RUN_LIMIT_CUT)

    def _publish_level(self) -> None:
        """Publishes what is cut here: of the lowest rank, and of the next one up when that is closed."""
        level = 0.0
        for rank in range(self.rank_count):
            share = max(method.admitted_share for method in self.methods if method.criticality_rank == rank)
            level = (rank + 1 - share) / self.rank_count
            if share > CLOSED_SHARE:
                break
        self.own_level = level
        level = max(level, self.gauges.min_shed_level)
        published = self.published_feedback
        if abs(level - published) > LEVEL_STEP or (level == 0) != (published == 0):
            self.port.set_shed_level(level)
            self.published_feedback = level

    def _publish_credit(self, now: int) -> None:
        """Publishes how many RPCs a caller may have open: its part of what ends within the objective."""
        callers = sum(now - at < self.settings.feedback_lifetime_us for at in self.callers_seen.values())
        run_time = max((method.run_time.mean for method in self.methods), default=SECOND) * self.slowness
        capacity = self.run_limit * max(1.0, OBJECTIVE_PART * self.shortest_objective / run_time)
        credit = CREDIT_FACTOR * capacity / max(1, callers)
        if not CREDIT_STEP[0] < credit / max(0.001, self.published_feedback) < CREDIT_STEP[1]:
            self.port.set_credit(credit)
            self.published_feedback = credit

    def _update_health(self, lost: float) -> None:
        """Unhealthy while the fleet ejects the node, or while reads take its cores and RPCs lose their time
        unread; not where retries show a full fleet, as all nodes would leave at once."""
        reads = self.gauges.on_cores - self.runs_on_cores
        crowded = reads > self.cores / 2 or self.gauges.input_busy > BUSY_THRESHOLD
        alone = crowded and self.retry_ratio < FULL_FLEET_RETRIES
        unhealthy = self.gauges.ejected or alone and lost > UNHEALTHY_LOSS[not self.healthy]
        if self.kill_at is not None or self.healthy != unhealthy:
            return
        self.healthy = not self.healthy
        self.port.set_health(self.healthy, True)
        why = "ejected by the fleet" if self.gauges.ejected else f"{lost:.2f} of the objective lost unread"
        self.port.log(f"{'healthy' if self.healthy else 'unhealthy'}: {why}")

    def _update_idle_timeout(self, lost: float) -> None:
        """Keeps idle connections where callers soon come again: else they cost more than new ones. Also where
        RPCs lose their time unread or no level keeps callers off: a full table rejects at the least cost."""
        was_kept = self.keeps_idle_connections
        keep = self.returning_ratio > KEEP_IDLE_RETURNING[was_kept] or lost > KEEP_IDLE_LOSS[was_kept]
        if self.settings.feedback is not Feedback.LEVEL:
            share = min((method.admitted_share for method in self.methods), default=1)
            keep = keep or share < KEEP_IDLE_SHARE[was_kept]
        if self.draining_past_grace or keep == was_kept:
            return
        self.keeps_idle_connections = keep
        timeout = MAX_IDLE_TIMEOUT if keep else MIN_IDLE_TIMEOUT
        self.port.set_idle_timeout(min(self.settings.idle_timeout_max_us, timeout))
        why = f"{self.returning_ratio:.2f} returning, {lost:.2f} lost unread"
        self.port.log(f"idle timeout {timeout // MS} ms: {why}")

    # ---- Drain

    def drain(self, now: int, kill_at: int) -> None:
        """The notice to leave. The node is unhealthy from here on, and serves until the grace ends."""
        if self.kill_at is None:
            self.grace_end = now + self.settings.drain_grace_us
            self.port.set_health(False, True)
        self.kill_at = min(kill_at, self.kill_at or kill_at)
        in_hand = f"{self.runs_in_progress} running {len(self.queue)} queued"
        self.port.log(f"drain: {in_hand}, kill in {self.kill_at - now} us")

    def _end_grace(self, now: int) -> None:
        if self.grace_end is None or self.draining_past_grace or now < self.grace_end:
            return
        self.draining_past_grace = True
        self.port.set_idle_timeout(MIN_IDLE_TIMEOUT)
        self.port.log(f"drain: grace over, {self.runs_in_progress} running {len(self.queue)} queued")
