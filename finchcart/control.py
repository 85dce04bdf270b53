"""All decisions of a node: what it takes, runs and turns away.

How it is called (types and port: finchcart/interface.py; why: docs/design.md). A host makes one
`Control(port, settings, seed)` for each node and calls `start(now)`. `admit(now, ...)` takes an RPC that was
read and returns its handle; what happens to it later is a call on the handle: `run_ended`, `caller_gone`,
`awaiting_call`, `call_ended`. On the control: `on_timer` (with gauges) and `drain`. The module answers
through the port, inside these calls. Times are whole microseconds; the only clock is the `now` that is handed
in.

Reading order: Histogram, Method, Rpc (one RPC's life), Control (intake, hold, calls, sweep, drain).
"""

from bisect import insort
from heapq import heappop, heappush
from math import log2
from random import Random

from finchcart.interface import Outcome, Port

MS, SECOND = 1_000, 1_000_000
SWEEP = 40 * MS  # between looks at what is due, at the gauges and at the loop
HELD, RUNNING, STANDING, CALLING, SHARING, PAUSED, OVER = range(7)  # STANDING: at a call not made yet
CUT_ABOVE = 0.9  # the loop cuts while more of the cores than this are busy
IDLE = 10 * MS, 8 * SECOND  # least and longest that an idle connection is kept


class Histogram:
    """Sixteen coarse bins, two to the octave from `low` up; halved when full, so that old samples fade."""

    WEIGHTS = [2 ** (k / 2) for k in range(16)]

    def __init__(self, low, prior, full=120):
        self.low, self.full, self.bins = low, full, [0.0] * 16
        self.count = self.weighed = 0.0
        self.add(prior)

    def add(self, value):
        k = 0 if value <= self.low else min(15, int(2 * log2(value / self.low)))
        self.bins[k] += 1
        self.count += 1
        self.weighed += self.WEIGHTS[k]
        if self.count >= self.full:
            self.bins = [count / 2 for count in self.bins]
            self.count = sum(self.bins)
            self.weighed = sum(count * weight for count, weight in zip(self.bins, self.WEIGHTS))
        self.mean = 1.19 * self.low * self.weighed / self.count

    def quantile(self, part):
        left = part * self.count
        for k, count in enumerate(self.bins):
            left -= count
            if left <= 0:
                break
        return self.low * 2 ** ((k + 1) / 2)


class Method:
    """What is told and learned of one method. Run times leave calls out."""

    def __init__(self, settings, n, cold):
        get = lambda name, default: settings.get(f"methods.{n}.{name}", default)
        poorer = settings.get("degraded_value", 0)
        kind, self.criticality = get("kind", "non_idempotent"), get("criticality", 1)
        self.deadline = get("deadline", 5 * SECOND)
        self.target, self.window = get("latency_target", self.deadline), get("window", 0)
        self.poorer = poorer[n] if isinstance(poorer, tuple) else poorer
        calls = settings.get("method_calls", False)
        self.needs_call = not self.poorer and bool(calls[n] if isinstance(calls, tuple) else calls)
        self.tokened, self.repeatable = kind == "keyed", kind == "idempotent"
        self.stoppable = self.repeatable and settings.get("can_stop", False)
        self.lost_when_late = self.stoppable and not get("late_value", 0)
        # Before anything is measured: a run takes a sixth of the latency target, and hints are half believed.
        low = self.target / 96
        self.run_time = Histogram(low, self.target / 6 * cold)
        self.hinted = [
            [Histogram(low, self.target / 24), Histogram(low, self.target / 12 * cold)],  # small
            [Histogram(low, self.target / 3), Histogram(low, self.target / 4 * cold)],
        ]  # large
        self.whole = Histogram(self.target / 32, self.target / 4 * cold)  # start to end, calls included
        self.share, self.band, self.over = 1.0, 0, 0.0

    def expect(self, hint):
        """Time on a core that a run is expected to need here. Hints may be rough: what runs with small and
        with large ones took lately tells how far they can be believed: a power through these two."""
        if not hint:
            return self.run_time.mean
        (hint_1, time_1), (hint_2, time_2) = ((hints.mean, times.mean) for hints, times in self.hinted)
        power = max(0.0, min(1.0, log2(time_2 / time_1) / max(0.5, log2(hint_2 / hint_1))))
        return time_1 * (hint / hint_1) ** power

    def learn(self, hint, time):
        self.run_time.add(time)
        if hint:
            (hints_1, _), (hints_2, _) = self.hinted
            for learned, value in zip(self.hinted[hint * hint > hints_1.mean * hints_2.mean], (hint, time)):
                learned.add(value)


class Rpc:
    """The handle of one RPC."""

    __slots__ = (
        "control",
        "index",
        "method",
        "kb",
        "run_kb",
        "hint",
        "place",
        "reached",
        "due",
        "want",
        "expect",
        "key",
        "state",
        "started",
        "answered",
        "ran",
        "is_gone",
        "call_time",
        "call_from",
        "calls",
        "called",
        "kept_until",
        "failed",
        "before",
    )

    def run_ended(self, now, outcome, spent):
        """A run or a share is over; where it was ok or an error, its answer has gone out."""
        control = self.control
        if self.state == OVER:
            return
        owed = not (self.answered or self.is_gone)
        if outcome is Outcome.STOPPED and control.pauses and owed and self.state == RUNNING:
            control.paused(now, self, spent)
            return
        if self.state != SHARING:
            self.ran = outcome is not Outcome.NOT_STARTED  # nothing started: nothing is learned or kept of it
            control.done += self.expect * self.ran
            spent += self.before
            if outcome is Outcome.OK:
                self.method.learn(self.hint, max(1, spent - self.call_time))
                self.method.whole.add(max(1, spent))
            self.failed = outcome is not Outcome.OK
        if outcome in (Outcome.STOPPED, Outcome.NOT_STARTED) and not self.answered and not self.is_gone:
            control.port.fail(self.index)  # it may have run: an answer is owed, and never a pushback
        self.answered = True
        control.finish(now, self)
        control.fill(now)

    def caller_gone(self, now):
        """The caller gave up: nothing is owed. Held ones are dropped, running ones stopped if allowed."""
        if self.state == OVER or self.is_gone:
            return
        self.is_gone = True
        control = self.control
        if self.state in (HELD, SHARING, PAUSED):
            if self.state != SHARING:
                control.unhold(self)
            control.finish(now, self)
        elif self.state == RUNNING and self.method.stoppable and not self.answered:
            control.port.stop(self.index)

    def awaiting_call(self, now):
        """The run stands at a call."""
        if self.state != RUNNING:
            return
        self.state, self.call_from = STANDING, now
        self.control.on(self, -1)
        if not (self.answered or self.is_gone):
            self.control.standing.append(self)
            self.control.make_calls(now)
        self.control.fill(now)

    def call_ended(self, now, outcome, spent):
        """The call came back: after ok the run goes on by itself, else it stands where it stood."""
        if self.state != CALLING:
            return
        control = self.control
        control.end_call(now, self, outcome)
        control.below_began = now if outcome is Outcome.UNREACHABLE else control.below_began
        if outcome is Outcome.OK:
            control.call_times.add(max(1, spent))
            control.resume(now, self)
        elif not (self.answered or self.is_gone):
            # Guards against a second effect: a call is repeated only where the method may run again, or where
            # the outcome proves that it never ran. One repeat; a dependency that fails is not pressed harder.
            self.calls += 1
            timed_out = outcome is Outcome.TIMEOUT and self.method.poorer > 0
            if self.calls < 2 and (self.method.repeatable or outcome.never_ran) and not timed_out:
                control.standing.append(self)
            elif self.method.poorer > 0:
                control.skip(now, self)
            else:
                control.give_up(now, self)
        control.make_calls(now)
        control.fill(now)


class Control:
    def __init__(self, port: Port, settings, seed):
        get = settings.get
        self.port, self.settings = port, settings
        self.random = Random(seed).random
        self.cores = get("cores", 1)
        self.cold = bool(get("fresh_start", False))
        cold_start_speed = get("cold_start_speed", 1) if self.cold else 1
        self.methods, self.names = [], {}
        for n in range(get("methods.count", 0)):
            self.methods.append(Method(settings, n, 1 / max(cold_start_speed, 0.1)))
            self.names[get(f"methods.{n}.name", str(n))] = self.methods[n]
        worths = sorted({m.criticality for m in self.methods})
        for m in self.methods:
            m.band = worths.index(m.criticality)
        self.bands = len(worths)
        self.marked = get("marks_retries", True)
        self.memory, self.factor = get("memory_kb", 1e12), get("run_factor", 1)
        self.pauses, self.levels = get("can_pause", False), get("feedback", "level") == "level"
        self.beside = get("overload_factor", 4) - 1  # running RPCs that a core survives beside one
        self.entry, self.tick = get("key_entry_kb", 0), get("tick", MS)
        # Only a dependency that all nodes share has a limit to be cut into shares; a tier decides for itself,
        # and no share of it is told (the wire writes 0).
        shared = get("dependency", "shared") == "shared"
        self.calls_limit = get("calls_limit", 1e9) if shared else 1e9
        self.calls_window = get("calls_window", 5 * SECOND)
        self.call_times = Histogram(2 * MS, 30 * MS)
        self.live, self.kept, self.held, self.standing, self.table = {}, {}, [], [], []  # kept: what is over
        self.kb, self.on_core, self.work, self.running, self.in_call = 0.0, 0, 0.0, 0, 0  # work: on cores
        # Runs that were told to pause and have not said that they did; when a call was last unreached.
        self.pausing, self.below_began = set(), -SECOND * 10**9
        self.room = None  # calls that may be in hand here, where the fleet shares its limit out
        # What the fleet holds: of this node, the least level, of the dependency.
        self.ejected, self.min_shed_level, self.dependency_down, self.own_level = False, 0.0, False, 0.0
        self.lingering, self.credit, self.credit_at = [], 0.2 * self.calls_limit * self.calls_window, 0
        self.limit, self.slow, self.late = float(self.cores), 1.0, 0
        self.unread, self.further = 0.0, 0.0  # time lately lost before reading; part of further tries
        self.seen, self.returns, self.keeping = {}, 0.0, False  # when callers came; part that soon come again
        self.spent, self.done = 0.0, 0.0  # core time and expected work of the last second or two
        self.core_use, self.wanting, self.now_level = 0.0, 0, 0.0
        self.own_use, self.own_wait = 0.0, 0  # of the node itself: busy part, age of the oldest unread input
        self.spare = 2 * self.tick + SWEEP + 20 * MS
        self.kill_at, self.grace_end, self.sealed, self.swept, self.good = None, None, False, 0, True

    def start(self, now):
        self.began = self.swept = self.credit_at = now
        self.port.set_health(True, True)
        self.port.set_idle_timeout(IDLE[0])
        self.port.set_timer(SWEEP, "sweep")
        self.next_wake = now + SWEEP

    def worker_pool_restarted(self, now, cold):
        """What runs the RPCs started anew, cold or warm; the ends of its runs are told one by one."""
        self.cold, self.began = cold, now

    # ---- room: memory, the crowd on the cores

    def margin(self):
        """How long before it is due an RPC is answered: a few ticks, and twice what stalls lately cost."""
        return self.spare + min(2 * self.late, SECOND)

    def too_late(self, now, rpc):
        """Whether its answer is owed before the next sweep: what it is due, or the kill."""
        end = rpc.due if self.kill_at is None else min(rpc.due, self.kill_at - 50 * MS)
        return now >= end - self.margin()

    def warmth(self, now, began):
        """Fraction of the full speed of what began then, on the slowest ramp that is allowed."""
        start, whole = self.settings.get("cold_start_speed", 1), max(1, self.settings.get("warm_up", 1))
        return min(1.0, start + (1 - start) * (now - began) / whole)

    def crowd(self, now):
        """The running RPCs that the node survives; those at calls may come back at any time and count."""
        return self.cores * (1 + self.beside * (self.warmth(now, self.began) if self.cold else 1.0))

    def on(self, rpc, sign):
        """One more run on the cores, or one less. Guards against sums over all RPCs at each arrival."""
        self.on_core += sign
        self.pausing.discard(rpc)
        self.work = (self.work + sign * rpc.expect) * (self.on_core > 0)

    # ---- intake

    def admit(
        self,
        now,
        index,
        method,
        kb,
        *,
        expires_at=0,
        waited=0,
        shed_rank=None,
        cost_hint=0,
        is_retry=False,
        duplicate_of=None,
        caller=None,
        quota=None,
    ):
        """An RPC has been read. `waited`: since it reached the machine; `duplicate_of`: the index of
        the first RPC of its key, or -1 where that one is no longer known here; `quota`: a `FleetQuota`."""
        before, self.seen[caller] = self.seen.get(caller), now
        if before is not None or now - self.began > IDLE[1]:
            self.returns += ((before is not None and now - before < IDLE[1]) - self.returns) / 16
        rpc = Rpc()
        m = self.names[method]
        rpc.control, rpc.index, rpc.method, rpc.kb, rpc.run_kb = self, index, m, kb, kb * (self.factor - 1)
        rpc.hint, rpc.place, rpc.reached = cost_hint, shed_rank, now - waited
        rpc.due = expires_at or rpc.reached + m.deadline
        # Guards against runs that end too late for anyone: the more further tries, the older each (not told).
        lost = min(0.5, 4 * self.further) if is_retry else 0
        rpc.want = min(rpc.due, rpc.reached + int(m.target * (1 - lost)))
        rpc.expect = m.expect(cost_hint)
        rpc.state, rpc.answered, rpc.ran, rpc.is_gone, rpc.failed = HELD, False, False, False, False
        rpc.started = rpc.call_time = rpc.call_from = rpc.calls = rpc.kept_until = rpc.before = 0
        # The order of the hold. Not by worth for the work it takes: of two methods alike, the one whose runs
        # take a little longer would be starved.
        rpc.key = (-m.criticality, rpc.want - rpc.expect)
        self.live[index] = rpc
        self.kb += kb
        self.unread += (waited - self.unread) / 8
        self.further += (is_retry - self.further) / 32
        first = self.live.get(duplicate_of) or self.kept.get(duplicate_of)
        if duplicate_of is not None and not (first and not first.ran and first.state == OVER):
            # Guards against a second effect: a repeat never runs; it shares what its first try came to.
            full = self.kb > 0.95 * self.memory
            if full or (first and first.state == OVER and first.failed) or self.too_late(now, rpc):
                self.give_up(now, rpc)
            else:
                rpc.state = SHARING
                self.port.answer_duplicate(index)
            return rpc
        wait = self.ahead(rpc.key) / self.limit
        # Over a limit of the fleet. A twentieth of a large part is kept for each criticality above its own.
        if quota and quota.available <= int(quota.capacity / 20 * (self.bands - 1 - m.band)):
            self.push_back(now, rpc, max(wait, quota.retry_after))
            return rpc
        if self.refuses(now, rpc, wait):
            self.push_back(now, rpc, wait)
            return rpc
        if m.tokened:
            self.remember(now, rpc)
        insort(self.held, (rpc.key, index, rpc))
        self.fill(now)
        return rpc

    def refuses(self, now, rpc, wait):
        """Whether an arrival is pushed back."""
        m = rpc.method
        after_grace = self.grace_end is not None and rpc.reached > self.grace_end
        full = self.kb + self.entry * m.tokened > 0.9 * self.memory
        if self.sealed or after_grace or full or self.too_late(now, rpc):
            return True
        if (
            self.dependency_down
            and m.needs_call
            and self.room is not None
            and self.room <= sum(other.method.needs_call for other in self.live.values()) - 1
        ):
            return True  # it would run half and fail: only so many are taken as may try the dependency
        place = None
        if self.min_shed_level:
            place = self.random() if rpc.place is None else rpc.place * self.bands - m.band
            if place < self.min_shed_level * self.bands - m.band:
                return True  # what the whole fleet turns away
        fits = rpc.expect < (1.2 if self.on_core * 2 < self.cores else 0.8) * (rpc.want - now)
        if self.on_core < self.cores and not self.held and (fits or not rpc.hint or self.random() < 0.1):
            return False  # a free core, nothing waits: else a node once slow would never learn that it is not
        # Where it stands among its like: by user where told, the same on every node; else by chance.
        if place is None:
            place = self.random() if rpc.place is None else rpc.place * self.bands - m.band
        if place < 1 - m.share:
            return True
        # Where runs yield, what is expected, learnt in a crowd, is too long: as for what is held.
        return (
            self.out_of_time(now + wait, rpc)
            if self.pauses
            else now + wait + rpc.expect * self.slow > rpc.want
        )

    def ahead(self, key):
        """Work on cores that comes before an RPC with this key."""
        work = (
            self.work
            if not self.pauses
            else sum(
                rpc.expect
                for rpc in self.live.values()
                if rpc.state == RUNNING and not self.yields(rpc.method.criticality, -key[0])
            )
        )
        work *= self.slow / 2
        if self.on_core < self.limit:
            work *= self.on_core / self.limit / 2
        for other, _, rpc in self.held:
            if other > key:
                break
            work += rpc.expect * self.slow
        return work

    def push_back(self, now, rpc, wait=0):
        """It never ran: say so at once, and when to come back."""
        # What is too large or too much for this node may fit on another: only what fits nowhere is told not
        # to try elsewhere. Guards against a full fleet that reads the same RPCs over and over: further tries,
        # while this node cuts too, mean that others do.
        # Where no mark tells further tries, a deep cut of its own stands in.
        full = self.kill_at is None and (
            rpc.method.share < 1 and self.further > 0.1 if self.marked else rpc.method.share < 0.6
        )
        last = full or rpc.expect * 0.4 > rpc.want - now
        # Advice keeps a caller away from this node; where none comes again soon it only delays the client.
        heard = wait > 50 * MS and self.returns > 0.6
        advice = int(min(self.settings.get("retry_after_max", 0), wait)) if heard else 0
        self.port.reject(rpc.index, advice, last)
        self.over(now, rpc)

    def give_up(self, now, rpc):
        """Aborts: the answer goes out; a run goes on to its end, or is stopped where that is allowed."""
        if not rpc.answered and not rpc.is_gone:
            self.port.fail(rpc.index)
        rpc.answered = True
        if rpc.state in (HELD, SHARING, PAUSED):
            self.finish(now, rpc)
        elif rpc.state == RUNNING and rpc.method.stoppable:
            self.port.stop(rpc.index)

    # ---- the table

    def remember(self, now, rpc):
        """Counted from when it reached the machine, and a little longer than its window."""
        rpc.kept_until = rpc.reached + rpc.method.window + 200 * MS
        self.port.store_key(rpc.index, rpc.kept_until - now)
        self.kb += self.entry
        heappush(self.table, (rpc.kept_until + 2 * self.tick, rpc.index, rpc))

    def forget(self, rpc):
        if rpc.kept_until:
            self.port.evict_key(rpc.index)
            self.kb -= self.entry
            rpc.kept_until = 0

    # ---- the hold and the cores

    def fill(self, now):
        """Runs what is held, in order, while there is room."""
        held = self.held
        if not held:
            return
        room = min(0.8 * self.crowd(now), 4 * self.cores)
        while held and self.running < room:
            key, _, rpc = held[0]
            if self.out_of_time(now, rpc) and self.on_core * 2 >= self.cores:
                self.turn_away(now, rpc)
                continue
            if self.kb + rpc.run_kb * (not rpc.ran) > 0.85 * self.memory:
                break
            if self.on_core - len(self.pausing) >= self.limit and not self.make_room(-key[0]):
                break
            del held[0]
            if not rpc.ran:
                self.kb, rpc.started = self.kb + rpc.run_kb, now
            rpc.state, rpc.ran = RUNNING, True
            self.on(rpc, 1)
            self.running += 1
            self.port.run(rpc.index)

    def yields(self, lesser, criticality):
        """Whether a run of the `lesser` criticality may be paused for an RPC of the other."""
        return self.pauses and lesser < 0.5 * criticality

    def make_room(self, criticality):
        """Pauses the run that is worth least, the one that began last among its like. Guards against effects
        left half done: where no answer is owed any more, a stop would end the run for good."""
        least = min(
            (
                r
                for r in self.live.values()
                if r.state == RUNNING
                and r not in self.pausing
                and not (r.answered or r.is_gone)
                and self.yields(r.method.criticality, criticality)
            ),
            key=lambda r: (r.method.criticality, -r.started),
            default=None,
        )
        if least is not None:
            self.pausing.add(least)
            self.port.stop(least.index)
        return least is not None

    def paused(self, now, rpc, spent):
        """It keeps its memory and what was done, and waits among the held ones until it goes on."""
        self.on(rpc, -1)
        rpc.state, rpc.before, self.running = PAUSED, rpc.before + spent, self.running - 1
        left = max(rpc.expect / 4, rpc.expect - spent / self.slow)
        self.done += rpc.expect - left
        rpc.expect = left
        insort(self.held, (rpc.key, rpc.index, rpc))
        self.fill(now)

    def out_of_time(self, now, rpc):
        """Whether a held RPC can't be in time any more."""
        return now + rpc.expect * self.slow * 0.6 > rpc.want

    def unhold(self, rpc):
        self.held.remove((rpc.key, rpc.index, rpc))

    def turn_away(self, now, rpc):
        """Out of the hold for good. Guards against pushbacks of what has run and is paused."""
        self.unhold(rpc)
        if rpc.ran:
            self.give_up(now, rpc)
        else:
            self.push_back(now, rpc)

    def finish(self, now, rpc):
        if rpc.state in (RUNNING, STANDING, CALLING, PAUSED):
            self.kb, self.running = self.kb - rpc.run_kb, self.running - (rpc.state != PAUSED)
            if rpc.state == RUNNING:
                self.on(rpc, -1)
            elif rpc.state == CALLING:
                self.end_call(now, rpc, Outcome.TIMEOUT)
            elif rpc in self.standing:
                self.standing.remove(rpc)
        self.over(now, rpc)

    def over(self, now, rpc):
        rpc.state, rpc.answered = OVER, True
        self.kb -= rpc.kb
        if not rpc.ran:
            self.forget(rpc)
        self.kept[rpc.index] = self.live.pop(rpc.index)
        if not rpc.kept_until:
            self.let_go(rpc)

    def let_go(self, rpc):
        del self.kept[rpc.index]
        self.port.release(rpc.index)

    # ---- calls to the shared dependency

    def make_calls(self, now):
        """Makes the calls that runs stand at, as far as the node's share of the dependency allows; one that
        can't be made in time is skipped where a poorer answer is worth something."""
        # Guards against a dependency that comes back cold, pressed by all nodes: each keeps to the part of
        # its share that the slowest ramp allows, from when it was last not to be reached.
        allowed = self.calls_limit * self.warmth(now, self.below_began)
        self.credit = min(
            self.credit + 0.8 * allowed * (now - self.credit_at), 0.2 * allowed * self.calls_window
        )
        self.credit_at = now
        while self.lingering and self.lingering[0] <= now:
            self.lingering.pop(0)
        if not self.standing:
            return
        # Guards against pressing a dependency that is slow: more than half of the share in hand only while
        # calls are short beside what they are for, none was given up lately, and the credit is there.
        ample = (
            self.credit > 0.1 * self.calls_limit * self.calls_window
            and not self.lingering
            and 32 * self.call_times.mean < min(m.target for m in self.methods)
        )
        cap = max(1, int((0.8 if ample else 0.5) * allowed))
        waiting, self.standing = [r for r in self.standing if not (r.answered or r.is_gone)], []
        if self.room is not None:
            # The whole of what was given may be used, by what matters most.
            cap = min(self.room, max(1, int(self.room * self.warmth(now, self.below_began))))
            self.credit = 0.2 * self.calls_limit * self.calls_window
            waiting.sort(key=lambda r: r.key)
        for rpc in waiting:
            left = rpc.want - now
            gone = self.dependency_down and self.in_call + len(self.lingering) >= cap
            if rpc.method.poorer > 0 and (
                gone or left < 1.5 * self.call_times.mean + 0.6 * rpc.expect * self.slow
            ):
                self.skip(now, rpc)
            elif self.credit > 0 and self.in_call + len(self.lingering) < cap:
                worst = self.calls_limit * self.calls_window / cap
                limit = rpc.due - now - self.margin()
                if rpc.method.poorer > 0:
                    limit = min(limit, max(left - rpc.expect * self.slow, self.call_times.quantile(0.95)))
                rpc.state, rpc.called, self.in_call = CALLING, now, self.in_call + 1
                self.port.call(rpc.index, max(self.tick, int(min(limit, worst))))
            else:
                self.standing.append(rpc)

    def end_call(self, now, rpc, outcome):
        self.in_call, rpc.state = self.in_call - 1, STANDING
        self.credit -= now - rpc.called
        if outcome in (Outcome.TIMEOUT, Outcome.CONNECTION_LOST):
            linger = self.settings.get("calls_linger", 200 * MS)
            self.lingering.append(now + linger)
            self.credit -= linger

    def skip(self, now, rpc):
        self.port.degrade(rpc.index)
        self.resume(now, rpc)

    def resume(self, now, rpc):
        rpc.state, rpc.call_time = RUNNING, rpc.call_time + now - rpc.call_from
        self.on(rpc, 1)

    # ---- the sweep

    def on_timer(self, now, name, gauges):
        """Looks at what is due, at the gauges, and turns the loop once."""
        # Guards against stalls: answers are given earlier by twice the lateness that timers lately had.
        self.late = max(now - self.next_wake - 2 * self.tick, self.late * 63 // 64, 0)
        on_core_part = min(1.0, self.on_core / self.cores)
        self.core_use = on_core_part if gauges.core_use is None else gauges.core_use
        self.wanting = self.on_core if gauges.on_cores is None else gauges.on_cores
        self.own_use, self.own_wait = gauges.input_busy, gauges.input_age
        self.room, self.ejected = gauges.call_capacity, gauges.ejected
        self.min_shed_level, self.dependency_down = gauges.min_shed_level, gauges.dependency_down
        if len(self.seen) > 999:  # guards against callers that are new ones for ever
            self.seen = {caller: at for caller, at in self.seen.items() if now - at < IDLE[1]}
        while self.table and self.table[0][0] <= now:
            rpc = heappop(self.table)[2]
            if rpc.kept_until:
                rpc.kept_until = 0
                self.kb -= self.entry
                if rpc.state == OVER:
                    self.let_go(rpc)
        self.sweep(now)
        self.loop(now)
        self.make_calls(now)
        self.fill(now)
        self.port.set_timer(SWEEP, name)
        self.next_wake = now + SWEEP

    def sweep(self, now):
        self.pausing.clear()  # guards against stalls, in which nothing is paused: these count as runs again
        for rpc in list(self.live.values()):
            if rpc.answered:
                continue
            begun = max(self.grace_end or 0, rpc.started)
            ends = self.too_late(now, rpc) or (
                self.sealed and now > begun + 2 * rpc.method.whole.quantile(0.9)
            )
            if rpc.state in (HELD, PAUSED):
                if ends or self.out_of_time(now, rpc):
                    self.turn_away(now, rpc)
            elif ends:
                self.give_up(now, rpc)
            elif rpc.state in (RUNNING, STANDING) and now > rpc.want and rpc.method.lost_when_late:
                self.give_up(now, rpc)  # worth nothing any more: its core is free for others
        # Guards against slowed machines, whatever slows them: core time spent over the expected work that
        # ended lately. Sums: one long run is no sign. Idle nodes stay near 1.
        self.spent = self.spent * 0.975 + self.on_core * (now - self.swept)
        self.done, self.unread, self.swept = self.done * 0.975, self.unread * 0.98, now
        usual = self.cores * sum(m.run_time.mean for m in self.methods) / max(1, len(self.methods))
        self.slow = max(0.3, min(16.0, (self.spent + usual) / (self.done + usual)))

    def loop(self, now):
        """The response-time loop, the running limit, the level and the idle limit."""
        busy = max(self.core_use, min(1.0, self.on_core / self.cores), self.own_use)
        # Guards against a node that is slower than its worker pool: the end of a run, and what comes of its
        # call, wait as long again as the oldest input that is not taken yet.
        unread = max(self.unread, self.own_wait) + self.own_wait
        for m in self.methods:
            # Guards against a line before the hold: where reading is dear, RPCs lose their time unread, out
            # of its order; only the level and advice keep them away, so the loop must see that wait.
            latency = unread + self.ahead((-m.criticality, now + m.target)) / self.limit
            m.over = (latency + m.run_time.mean * self.slow) / (0.6 * m.target)
        for m in self.methods:
            # The less critical are cut first, also for the others' sake; the more critical after those.
            above = max((o.over for o in self.methods if o.criticality > m.criticality), default=0)
            below = max((o.share for o in self.methods if o.criticality < m.criticality), default=0)
            over = max(m.over, above)
            # Guards against pushbacks of what matters most while others, which yield to it, hold the cores.
            first = any(self.yields(o.criticality, m.criticality) for o in self.methods)
            if busy > CUT_ABOVE and over > 1 and below < 0.1 and not first:
                m.share = max(0.05, m.share * max(0.95, 1 / over))
            else:
                m.share = min(1.0, m.share + 0.015 / max(0.2, over))
        # Guards against a crowd that the averaged gauge brings on: it follows what wants a core now.
        if self.held and self.wanting < self.cores and self.on_core >= self.limit - 1:
            self.limit = min(self.limit + self.cores / 4, 2 * self.cores, 0.4 * self.crowd(now))
        elif self.wanting > self.cores:
            self.limit = max(self.cores, self.limit * 0.9)
        if self.levels:
            self.set_level()
        elif self.settings.get("feedback") == "credit":
            self.set_credit(now)
        if self.grace_end is not None and not self.sealed and now >= self.grace_end:
            self.sealed = True
            self.port.set_idle_timeout(IDLE[0])
            self.port.log(f"drain: grace over, {self.running} running {len(self.held)} held")
        # Guards against full tables: callers that seldom come again cost more by idle connections than by new
        # ones. But where RPCs lose their time unread, a full table turns away at the least cost.
        lost = unread / min((m.target for m in self.methods), default=SECOND)
        # Guards against a slow node that is chosen on and on, whose reads take its cores: left out until
        # reads are fewer. Not where further tries tell of a full fleet: all would be left out at once.
        crowded = self.wanting - self.on_core > self.cores / 2 or self.own_use > CUT_ABOVE
        alone = self.further < 0.1 and crowded
        bad = self.ejected or alone and lost > (0.5 if self.good else 0.1)
        if self.kill_at is None and self.good == bad:
            self.good = not self.good
            self.port.set_health(self.good, True)
            why = "held to be bad by the fleet" if self.ejected else f"{lost:.2f} of the target unread"
            self.port.log(f"health {'good' if self.good else 'bad'}: {why}")
        deep = 1 if self.levels else min((m.share for m in self.methods), default=1)
        keep = (
            self.returns > 0.75
            or lost > 0.2
            or deep < 0.6
            or self.keeping
            and (self.returns > 0.6 or lost > 0.04 or deep < 0.9)
        )
        if not self.sealed and keep != self.keeping:
            self.keeping = keep
            self.port.set_idle_timeout(min(self.settings.get("idle_timeout_max", IDLE[1]), IDLE[keep]))
            self.port.log(f"idle limit {IDLE[keep] // MS} ms: {self.returns:.2f} return, {lost:.2f} unread")

    def set_level(self):
        """Tells callers what is cut here: of the lowest band, and of the next one up when that is shut."""
        level = 0.0
        for band in range(self.bands):
            share = max(m.share for m in self.methods if m.band == band)
            level = (band + 1 - share) / self.bands
            if share > 0.06:
                break
        self.own_level = level
        level = max(level, self.min_shed_level)
        if abs(level - self.now_level) > 0.02 or (level == 0) != (self.now_level == 0):
            self.port.set_shed_level(level)
            self.now_level = level

    def set_credit(self, now):
        """Tells callers how many RPCs each may have out here: four times what ends within the loop's part of
        the latency target (a credit knows no criticality: the hold needs some to choose from), shared by the
        callers that heard it lately and mind it still."""
        heeded = self.settings.get("feedback_lifetime", SECOND)
        callers = sum(now - at < heeded for at in self.seen.values())
        run = max((m.run_time.mean for m in self.methods), default=SECOND) * self.slow
        room = self.limit * max(1.0, 0.6 * min((m.target for m in self.methods), default=SECOND) / run)
        credit = 4 * room / max(1, callers)
        if not 0.8 < credit / max(0.001, self.now_level) < 1.25:
            self.port.set_credit(credit)
            self.now_level = credit

    # ---- drain

    def drain(self, now, kill_at):
        """The notice to leave. Health is bad from here on; service goes on until the grace ends."""
        if self.kill_at is None:
            self.grace_end = now + self.settings.get("drain_grace", 0)
            self.port.set_health(False, True)
        self.kill_at = min(kill_at, self.kill_at or kill_at)
        self.port.log(f"drain: {self.running} running {len(self.held)} held, kill in {self.kill_at - now} us")
