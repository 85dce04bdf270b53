"""The core: open RPCs of all fronts, and every change of them.

Owns the open RPCs, joins the pieces (worker pool, store, tokens, duty, fronts) and implements `Port` for
`Control`. `reduce(now, what)` takes one input and returns the effects that it asks for. It must never do I/O,
take a lock, read a clock, know a front's protocol or decide about an RPC: decisions come from
finchcart/control.py through the port.

Inputs and effects: inputs.py and effects.py.
"""

from functools import partial

from finchcart.control import Control
from finchcart.errors import InvalidRpcError
from finchcart.interface import FleetQuota, Gauges, Outcome
from finchcart.node import inputs
from finchcart.node.duty import Duty
from finchcart.node.effects import Defer, Drop, Log, PublishEvidence, PublishUsage
from finchcart.node.front import ABORTED, OK, PUSHED_BACK
from finchcart.node.inputs import CallNotMade, RunNotStarted
from finchcart.node.pool import Pool
from finchcart.node.store import Store
from finchcart.node.tokens import FAILED, Tokens, digest_of
from finchcart.node.turn import Turn

# Of claims, see claims/wire.py, which is not imported where there are none.
CLAIM_MINE, CLAIM_ENDED, CLAIM_FULL = 1, 3, 6
CLAIM_MARGIN = 200_000  # before an RPC is due its claim is waited for no longer
CLAIM_AGAIN = 200_000  # when to come back where no majority answers

# Inputs that concern one connection, and the method of its owner that handles each.
OWNER_METHODS = {
    inputs.WriteBlocked: "behind",
    inputs.WriteResumed: "caught_up",
    inputs.ConnectionRefused: "refused",
    inputs.ConnectionEnded: "ended",
    inputs.CloseDue: "close_due",
    inputs.CloseAttempted: "finished",
}


class Core:
    """The state of one node. `make_fronts(core)`: kind -> front."""

    def __init__(
        self,
        settings,
        limits,
        seed,
        name,
        places,
        make_fronts,
        watch=None,
        meters=None,
        witness=None,
        claims=None,
    ):
        # Told as absent, whatever the settings allow: this pool's protocol has no word for stopping or
        # pausing work, and dispatchers' answers carry a level alone.
        told = settings.get("feedback", "level")
        absent = {"can_stop": False, "can_pause": False, "feedback": told if told == "level" else "none"}
        self.settings, self.limits, self.seed = {**settings, **absent}, limits, seed
        self.watch = watch  # None, or the `settings` to watch and the `period` between lines
        gauges = settings.get("gauges", ())
        count = range(settings.get("methods.count", 0))
        method = lambda n, item: settings.get(f"methods.{n}.{item}")
        poorer = settings.get("degraded_value", 0)
        self.poorer = {method(n, "name"): poorer[n] if isinstance(poorer, tuple) else poorer for n in count}
        self.kinds = {method(n, "name"): method(n, "kind") for n in count}
        # A try that reached the machine while an entry lived may be read as late as its deadline.
        self.late = {method(n, "name"): (method(n, "deadline") or 0) + limits.late_read_grace for n in count}
        self.deadlines = {method(n, "name"): method(n, "deadline") or 5_000_000 for n in count}
        self.turn = Turn(limits.log_interval)
        self.pool = Pool(
            self.turn, limits, places["pool"], gauges if isinstance(gauges, tuple) else (gauges,), self
        )
        self.meters = meters  # of the fleet's limits, or None; see meter.py
        self.witness = witness  # for the fleet's verdicts, or None; see witness.py
        self.claimer = claims and claims(self.turn)  # of runs in the whole fleet, or None; see claimer.py
        self.origins = {}  # link -> host that it comes from, where there is a witness
        worths = {method(n, "name"): method(n, "criticality") or 0 for n in count}
        self.first = {name for name, worth in worths.items() if worth > min(worths.values())}
        self.store = Store(
            self.turn,
            limits,
            places["store"],
            self.call_ended,
            settings.get("calls_linger", 0) if meters else 0,
        )
        self.tokens = Tokens(self.turn, max(self.late.values(), default=0), limits.cached_results)
        self.duty = Duty(
            self.turn, limits, name, places["registry"], settings.get("drain_grace", 0), self.busy
        )
        self.control = None  # from the worker pool's start on
        self.rpcs, self.by_name, self.next_index = {}, {}, 0
        self.said_level = None
        self.members, self.isolated = {}, False  # name -> (state, incarnation), where nodes may talk
        self.oldest, self.use = 0, 0.0  # of the inputs: the longest wait since the last look; busy part
        self.fronts = make_fronts(self)
        self.handlers = {
            inputs.Start: self.on_start,
            inputs.ConnectionOpened: self.on_opened,
            inputs.MessagesReceived: self.on_got,
            inputs.DuplicateReady: self.on_shared,
            inputs.Drain: self.on_drain,
            inputs.AddressesChanged: self.on_moved,
            inputs.ThreadDied: self.on_fault,
            inputs.TimersDue: self.on_time,
            inputs.LoadMeasured: self.on_load,
            inputs.KeyLeasesRequested: self.on_claims,
            inputs.RunNotStarted: self.on_moot,
            inputs.FleetChange: self.on_fleet,
            inputs.CallNotMade: self.on_full,
            inputs.ConnectionClosed: self.on_closed,
            **{kind: partial(self.on_link, word) for kind, word in OWNER_METHODS.items()},
        }

    # ---- in and out

    def reduce(self, now, what):
        """One input, after all timers that are due."""
        effects = self.turn.begin(now)
        self.handlers[type(what)](*what)
        return effects

    def due(self):
        """When the next timer is due, or None."""
        return self.turn.due()

    @property
    def ready(self):
        """Whether RPCs can be taken: the worker pool was there."""
        return self.control is not None

    def on_start(self):
        self.pool.reach()
        self.duty.report()

    def on_moved(self, places):
        """The others have new places. What is under way at the old ones ends there where it can."""
        pieces = {"pool": self.pool, "store": self.store, "registry": self.duty}
        moved = [kind for kind, piece in pieces.items() if places[kind] != piece.place]
        self.turn.emit(Log(f"configuration: {', '.join(moved) or 'nothing'} moved"))
        for kind in moved:
            pieces[kind].move(places[kind])

    def on_fault(self, thread):
        raise RuntimeError(f"thread {thread} died")

    def on_time(self):
        """Nothing but the timers."""

    def on_load(self, busy, span):
        self.use = busy / max(1, span)

    def on_fleet(self, change):
        """One change of the view of the fleet. What is left or failed is kept by the members alone."""
        what, *rest = change
        if what == "allow":
            if self.meters:
                self.meters.allow(*rest)
        elif what == "verdicts":
            self.witness.hold(*rest)
            self.meters.hold(self.witness.store_down)
        elif what == "claimed":
            self.claimer.answered(*rest)
        elif what == "isolated":
            self.isolated = rest[0]
        elif rest[1] in ("failed", "left"):
            self.members.pop(rest[0], None)
        else:
            self.members[rest[0]] = rest[1], rest[2]

    def on_opened(self, link, kind, host=None):
        self.turn.owners[link] = self.fronts[kind]
        if self.witness:
            self.origins[link] = host
        self.fronts[kind].opened(link)

    def on_got(self, link, messages, read_at):
        self.oldest = max(self.oldest, self.turn.now - read_at)
        owner = self.turn.owners.get(link)
        if owner:
            for message in messages:
                owner.got(link, message)
            owner.batch_over(link)

    def on_link(self, word, link, *more):
        owner = self.turn.owners.get(link)
        if owner:
            getattr(owner, word)(link, *more)

    def on_closed(self, link):
        self.turn.emit(Drop(link))
        self.origins.pop(link, None)
        owner = self.turn.owners.pop(link, None)
        if owner:
            owner.closed(link)

    # ---- what fronts hand over: see front.py

    def bad_from(self, link):
        """A message that can't be read came on that link, or none at all."""
        if self.witness:
            self.witness.bad(self.origins.get(link))

    def take(
        self,
        rpc,
        token=None,
        *,
        reached,
        caller,
        again=False,
        hint=0,
        kb=1.0,
        place=None,
        expires=0,
        link=None,
    ):
        """An RPC was read whole. `InvalidRpcError` says what is wrong with it; nothing of it is kept then."""
        digest = None
        if rpc.name in self.by_name:
            raise InvalidRpcError(f"name {rpc.name!r}: in use by an open RPC")
        if token is not None:
            digest = digest_of(rpc.body)
            if self.tokens.other_body((rpc.method, token), digest):
                # Guards against a result that is shared with what is no try of the same RPC.
                raise InvalidRpcError("body: not that of the other tries with this key")
        index, self.next_index = self.next_index, self.next_index + 1
        rpc.index = index
        self.rpcs[index] = rpc
        self.by_name[rpc.name] = index
        repeats = None
        if token is not None:
            rpc.entry, again_known = self.tokens.entry((rpc.method, token), index, digest, reached)
            if again_known:
                repeats = rpc.entry.index if rpc.entry.index in self.rpcs else -1
        how = dict(expires_at=expires, shed_rank=place, cost_hint=hint, is_retry=again, caller=caller)
        if self.claimer and token is not None and repeats is None:
            due = max(self.turn.now, reached + self.deadlines[rpc.method] - CLAIM_MARGIN)
            self.claimer.ask(
                rpc,
                token,
                due,
                again,
                lambda rpc, kind, result: self.claimed(rpc, kind, result, reached, kb, link, how),
            )
        else:
            self.arrive(rpc, reached, kb, link, repeats, how)

    def claimed(self, rpc, kind, result, reached, kb, link, how):
        """A claim is answered: the RPC goes to the module, or ended elsewhere."""
        if kind == CLAIM_MINE:
            self.arrive(rpc, reached, kb, link, None, how)
        elif kind == CLAIM_FULL and rpc.owed:
            self.arrive(
                rpc, reached, kb, link, None, how, FleetQuota(0, 0, CLAIM_AGAIN)
            )  # it never ran: pushed back
        else:
            good = kind == CLAIM_ENDED
            rpc.over, rpc.body = True, b""
            self.final(rpc, OK if good else ABORTED, result if good else b"")
            self.release(rpc.index)

    def arrive(self, rpc, reached, kb, link, repeats, how, room=None):
        """To the module."""
        now, index, caller = self.turn.now, rpc.index, how["caller"]
        told, meters = {}, []
        if self.meters and repeats is None:
            meters = self.meters.of(rpc.method, caller)
            if meters:
                told["quota"] = FleetQuota(*self.meters.rpc_room(meters))
                if self.witness and told["quota"][0] <= 0 and any(m.limit.dispatcher for m in meters):
                    self.witness.over(caller)
        if self.witness and repeats is None:
            held = self.witness.room(now, self.origins.get(link), caller)
            if held and (not told or held < told["quota"]):
                told["quota"] = FleetQuota(*held)
        if room:
            told["quota"] = room
        rpc.handle = self.control.admit(
            now, index, rpc.method, kb, waited=now - reached, duplicate_of=repeats, **how, **told
        )
        if rpc.owed:
            for meter in meters:
                meter.take(rpc)

    def leave(self, rpc):
        """The caller has gone: nothing is owed, nor told to the front."""
        rpc.owed = False
        self.store.drop(rpc)
        self.uncount(rpc)
        if rpc.handle:
            rpc.handle.caller_gone(self.turn.now)
        elif self.claimer and self.claimer.left(rpc):
            self.release(rpc.index)

    def final(self, rpc, outcome, result=b"", wait=0, last=False):
        if rpc.owed:
            rpc.owed = False
            self.uncount(rpc)
            rpc.front.final(rpc, outcome, result, wait, last)

    def uncount(self, rpc):
        """Nothing of it is in hand any more, where nothing of it runs."""
        if rpc.counted and not (rpc.started and not rpc.over):
            for meter in rpc.counted:
                meter.count -= 1
            rpc.counted = None

    # ---- the worker pool's word

    def pool_up(self, cold):
        # The ramp of a cold start counts from the worker pool's: a later start is the slower reckoning.
        settings = {**self.settings, "fresh_start": cold}
        if self.watch:
            from finchcart.node.watch import Watch  # not on the way to ready where nothing is watched

            watched = {**self.settings, **self.watch["settings"], "fresh_start": cold}
            self.control = Watch(self, settings, watched, self.seed, self.watch["period"], self.log)
        else:
            self.control = Control(self, settings, self.seed)
        self.control.start(self.turn.now)
        if self.duty.drained is not None:
            self.drain_control()  # the notice came before the worker pool

    def pool_anew(self, cold):
        """A worker pool that started anew has lost its runs: each is answered, none is run again."""
        self.control.worker_pool_restarted(self.turn.now, cold)
        lost = [rpc for rpc in self.rpcs.values() if rpc.started and not rpc.over]
        self.turn.emit(Log(f"worker pool: started anew, {len(lost)} runs lost"))
        for rpc in lost:
            self.run_ended(rpc, Outcome.STOPPED, 0, b"")

    def running(self, name):
        """The RPC of that name whose run is not over, or None."""
        rpc = self.rpcs.get(self.by_name.get(name))
        return rpc if rpc and rpc.started and not rpc.over else None

    def run_ended(self, rpc, outcome, spent, result):
        """A run or a share is over: what there is to answer is answered, then the module hears of it."""
        rpc.over, rpc.stands_at, rpc.body = True, None, b""
        self.uncount(rpc)
        self.pool.confirmed(rpc)
        self.by_name.pop(rpc.name, None)
        if rpc.call_link is not None:
            self.store.drop(rpc)
        if outcome is Outcome.OK:
            self.final(rpc, OK, result)
        elif outcome is Outcome.ERROR:
            self.final(rpc, ABORTED)
        if self.witness:
            self.witness.run_ended(outcome, spent)
        if self.claimer and outcome is Outcome.NOT_STARTED:
            self.claimer.never(rpc.index)
        elif self.claimer:
            self.claimer.ended(rpc.index, outcome is Outcome.OK, result)
        if rpc.entry and rpc.entry.index == rpc.index:
            self.tokens.settle(rpc.entry, result if outcome is Outcome.OK else FAILED)
        rpc.handle.run_ended(self.turn.now, outcome, spent)

    def run_at_call(self, rpc, cursor, body):
        rpc.stands_at = cursor, body
        if self.meters and self.meters.calls_rate:
            self.meters.calls_rate.ask()
        rpc.handle.awaiting_call(self.turn.now)

    def woken(self, name, gauges):
        """`gauges`: the worker pool's readings by name."""
        gauges = Gauges.from_readings(gauges)._replace(input_age=self.oldest, input_busy=self.use)
        self.oldest = 0
        if self.meters:
            gauges = gauges._replace(call_capacity=self.meters.call_capacity(self.store))
            standing = [rpc.method in self.first for rpc in self.rpcs.values() if rpc.stands_at is not None]
            for said in self.meters.use(self.store, len(standing), sum(standing)):
                self.turn.emit(PublishUsage(*said))
        if self.witness:
            gauges = gauges._replace(
                ejected=self.witness.out,
                min_shed_level=self.witness.level,
                dependency_down=self.witness.store_down,
            )
            control = getattr(self.control, "first", self.control)
            seen = self.witness.look(self.turn.now, control.own_level)
            if seen:
                self.turn.emit(PublishEvidence(seen))
        self.control.on_timer(self.turn.now, name, gauges)
        self.duty.look()

    # ---- calls and shares that are over

    def call_ended(self, rpc, outcome, body, spent):
        if outcome is Outcome.OK and rpc.stands_at:
            (cursor, _), rpc.stands_at = rpc.stands_at, None
            self.pool.reply(rpc, cursor, body, self.poorer[rpc.method] > 0)
        if self.witness:
            self.witness.call_ended(outcome, spent, rpc.cut)
        rpc.handle.call_ended(self.turn.now, outcome, spent)

    def on_shared(self, index):
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.over or rpc.share_from is None:
            return
        result = rpc.entry.result
        outcome = Outcome.OK if isinstance(result, bytes) else Outcome.ERROR
        self.run_ended(rpc, outcome, self.turn.now - rpc.share_from, result)

    # ---- the port

    def on_claims(self):
        self.claimer.send()

    def on_moot(self, index):
        """A run that was not commanded, as its claim was over: it never ran."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.started and not rpc.over:
            self.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")

    def run(self, index):
        rpc = self.rpcs[index]
        rpc.started = True
        if self.claimer and not self.claimer.may_run(index):
            self.turn.emit(Defer(RunNotStarted(index)))
            return
        if rpc.entry:
            rpc.entry.ran = True
        self.pool.run(rpc, self.kinds[rpc.method] == "idempotent")

    def stop(self, index):
        raise NotImplementedError("this worker pool stops nothing")

    def reject(self, index, retry_after, do_not_retry):
        self.final(self.rpcs[index], PUSHED_BACK, b"", retry_after, do_not_retry)

    def fail(self, index):
        rpc = self.rpcs[index]
        self.store.drop(rpc)
        self.final(rpc, ABORTED)

    def call(self, index, timeout):
        rpc = self.rpcs[index]
        if self.store.place is None:
            self.turn.emit(Defer(CallNotMade(index)))  # nothing is named that could be called: it never ran
            return
        if not self.meters:
            self.store.call(rpc, timeout, rpc.stands_at[1])
            return
        given = self.meters.take_call(self.store)
        if given is None:
            self.turn.emit(Defer(CallNotMade(index)))  # the module is in the midst of its calls
            return
        leased, longest, by = given
        rpc.cut = longest is not None and longest < timeout and not self.meters.trying
        timeout = timeout if longest is None else min(timeout, longest)
        self.store.call(rpc, timeout, rpc.stands_at[1], leased, by)

    def on_full(self, index):
        """A call that was not made: it never ran."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.stands_at and rpc.call_link is None:
            rpc.handle.call_ended(self.turn.now, Outcome.REJECTED, 0)

    def degrade(self, index):
        rpc = self.rpcs[index]
        (cursor, _), rpc.stands_at = rpc.stands_at, None
        self.pool.skip(rpc, cursor)

    def answer_duplicate(self, index):
        rpc = self.rpcs[index]
        rpc.share_from = self.turn.now
        self.tokens.share(rpc)

    def store_key(self, index, ttl):
        self.tokens.remember(self.rpcs[index], ttl)

    def evict_key(self, index):
        self.tokens.forget(self.rpcs[index].entry)

    def set_health(self, healthy, cached):
        self.duty.health(healthy)
        for front in self.fronts.values():
            front.health(healthy)

    def set_shed_level(self, level):
        self.said_level = level

    def set_credit(self, credit):
        raise NotImplementedError("dispatchers' answers carry no credit")

    def set_idle_timeout(self, timeout):
        for front in self.fronts.values():
            front.idle_limit(timeout)

    def set_timer(self, delay, name):
        self.turn.at(self.turn.now + delay, self.pool.ring, name)

    def log(self, text):
        self.turn.emit(Log(text))

    def release(self, index):
        rpc = self.rpcs.pop(index)
        if self.claimer:
            self.claimer.never(index)  # where it ran, that was told
        if self.by_name.get(rpc.name) == index:
            del self.by_name[rpc.name]

    # ---- drain and end

    def on_drain(self, at=None):
        """Grace and kill count from when the notice came, not from when its turn has come."""
        if not self.duty.drain(min(at or self.turn.now, self.turn.now)):
            return
        for front in self.fronts.values():
            front.drain(self.duty.kill_at)
        if self.claimer:
            self.claimer.end_by(self.duty.kill_at - CLAIM_MARGIN)
        if self.control:
            self.drain_control()
        else:
            self.set_health(False, True)
            self.end_unready()

    def drain_control(self):
        self.control.drain(self.duty.drained, self.duty.kill_at)

    def end_unready(self):
        """Without a worker pool nothing is run: what comes is pushed back, connections close as they idle,
        and the end comes as ever."""
        if not self.control:
            for front in self.fronts.values():
                front.idle_limit(0)
            self.duty.look()
            self.turn.at(self.turn.now + self.limits.unready_check_interval, self.end_unready)

    def busy(self):
        """Whether anything is open or owed."""
        return not all(front.quiet() for front in self.fronts.values()) or any(
            rpc.owed for rpc in self.rpcs.values()
        )
