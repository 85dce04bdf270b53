"""All state of a real node, and every change of it.

Owns connections, open RPCs, the table of tokens with the results that repeats may share, the pool's cursor,
calls, timers and the roster duty; implements `Port` and calls `Control`. `reduce(now, what)` takes one input
and returns the effects that it asks for. It must never do I/O, take a lock, read a clock or decide about an
RPC: decisions come from finchcart/control.py through the port.

Inputs and effects are small plain tuples. Inputs: `("start",)`, `("opened", link)`, `("got", link, message)`,
`("behind", link)` (the far side does not read), `("caught_up", link)` (all is written),
`("refused", link, why)` (never connected), `("ended", link, why)` (nothing more will
be read; `why` is empty where the far side closed), `("closed", link)`, `("shared", index)`, `("drain",)`,
`("moved", places)` (the others' addresses, read again), `("fault", thread)`, `("time",)`. Effects:
`("read", link)` (deliver one more message), `("send", link, bytes)`, `("close", link)` (once all is written),
`("drop", link)` (at once), `("connect", link, kind, address)`, `("report", address, bytes)`,
`("later", input)`, `("log", text)`, `("unlisten",)` (no new connections), `("end",)`.

Links of dispatchers have numbers from 1 up, those that the node makes from -1 down.
"""

from hashlib import blake2b
from heapq import heappop, heappush
from itertools import filterfalse

from finchcart.control import Control
from finchcart.interface import Outcome
from finchcart.net import lines, thrift

HEX = set("0123456789abcdef")
PENDING, FAILED = "pending", "failed"  # a kept result that is not there yet, or came to nothing


class Connection:
    """One link of a dispatcher."""

    __slots__ = ("link", "open", "calls", "heard", "behind", "waiting", "idle_from", "look", "checks",
                 "told", "bad", "ended")

    def __init__(self, link):
        self.link, self.open, self.calls, self.heard = link, {}, 0, 0  # calls: whole ones that it carried
        self.behind = self.waiting = False  # waiting: the next read is asked once it is not behind any more
        self.idle_from, self.look, self.checks = None, None, False  # look: when it is next looked at
        self.told, self.bad, self.ended = False, False, False  # told: `closing` was sent


class Rpc:
    """What the node itself needs of one RPC."""

    __slots__ = ("index", "conn", "seq", "name", "method", "body", "entry", "handle", "owed", "started",
                 "over", "stands_at", "call_link", "calls", "call_from", "share_from")

    def __init__(self, index, conn, seq, name, method, body):
        self.index, self.conn, self.seq, self.name = index, conn, seq, name
        self.method, self.body = method, body
        self.entry = self.handle = None
        self.owed, self.started, self.over = True, False, False
        self.stands_at = None  # (cursor, body) of the call that the run stands at
        self.call_link, self.calls, self.call_from, self.share_from = None, 0, 0, None


class Entry:
    """A token's place in the table: the try that holds it, and what that came to."""

    __slots__ = ("key", "index", "digest", "until", "result", "waiting", "ran")

    def __init__(self, key, index, digest):
        self.key, self.index, self.digest = key, index, digest  # digest: of the body, the same for all tries
        self.until, self.result, self.waiting, self.ran = 0, PENDING, [], False


class Store:
    """One link to the store, which carries one call at a time: a spoilt reply costs no other call."""

    __slots__ = ("link", "name", "index", "used", "retired", "idle_from")

    def __init__(self, link):
        self.link, self.name, self.index = link, None, None  # name and index of the RPC whose call it carries
        self.used, self.retired, self.idle_from = set(), False, None  # used: all names it carried calls for


class Reducer:
    """The node's state; see the top of this file."""

    def __init__(self, settings, limits, seed, name, places):
        self.places = places
        # This pool's protocol has no word for stopping work, whatever the settings allow.
        self.settings, self.limits, self.seed, self.name = {**settings, "can_stop": False}, limits, seed, name
        gauges = settings.get("gauges", ())
        self.gauges = gauges if isinstance(gauges, tuple) else (gauges,)
        count = range(settings.get("methods.count", 0))
        method = lambda n, item: settings.get(f"methods.{n}.{item}")
        poorer = settings.get("method_poorer", 0)
        self.poorer = {method(n, "name"): poorer[n] if isinstance(poorer, tuple) else poorer for n in count}
        self.kinds = {method(n, "name"): method(n, "kind") for n in count}
        # A try that reached the machine while an entry lived may be read as late as its deadline.
        self.late = {method(n, "name"): (method(n, "deadline") or 0) + limits.late_read for n in count}
        self.stays = max(self.late.values(), default=0)
        self.now, self.effects = 0, []
        self.control = None  # from the worker pool's start on
        self.timers, self.made = [], 0  # heap of (when, number, what)
        self.most = limits.connections
        # What the pool may not have read, by index: (ticket, line, what does no harm if it did, was written).
        self.unconfirmed = {}
        self.conns, self.rpcs, self.by_name, self.next_index = {}, {}, {}, 0
        self.table, self.results, self.result_bytes = {}, {}, 0  # results: entries, the oldest first
        self.next_link = 0
        self.pool, self.pool_ready, self.cursor, self.ticket = None, False, 0, 0
        self.pool_behind, self.settle, self.leaving, self.wakes = 0, None, None, {}
        self.pool_start, self.faults = 0, {}
        self.stores, self.idle_stores = {}, []  # idle ones: the one used last is taken first
        self.good, self.said_level, self.keep = True, None, None
        self.drained, self.grace_end, self.quiet_from, self.reports = False, None, None, 0
        self.unlistened = False

    # ---- in and out

    def reduce(self, now, what):
        """One input, after all timers that are due."""
        self.now = now = max(now, self.now)
        self.effects = effects = []
        while self.timers and self.timers[0][0] <= now:
            _, _, (act, *args) = heappop(self.timers)
            act(*args)
        getattr(self, "on_" + what[0])(*what[1:])
        return effects

    def due(self):
        """When the next timer is due, or None."""
        return self.timers[0][0] if self.timers else None

    def ask(self, *effect):
        self.effects.append(effect)

    def at(self, when, act, *args):
        self.made += 1
        heappush(self.timers, (when, self.made, (act, *args)))

    def connect(self, kind):
        self.next_link -= 1
        self.ask("connect", self.next_link, kind, self.places[kind])
        return self.next_link

    def on_start(self):
        self.reach_pool()
        self.report()

    def on_moved(self, places):
        """The others have new places. What is under way at the old ones ends there where it can."""
        old, self.places = self.places, places
        moved = [place for place in places if places[place] != old[place]]
        self.ask("log", f"configuration: {', '.join(moved) or 'nothing'} moved")
        if "pool" in moved and self.pool is not None:
            self.move_pool()
        if "store" in moved:
            for store in list(self.stores.values()):
                self.retire(store)
        if "roster" in moved:
            self.report()

    def on_fault(self, thread):
        raise RuntimeError(f"thread {thread} died")

    def on_time(self):
        """Nothing but the timers."""

    def fault(self, whose, text):
        """One line for many faults of the same party: the next line has the count of those not told."""
        told, missed = self.faults.get(whose, (None, 0))
        if told is not None and self.now - told < self.limits.log_again:
            self.faults[whose] = told, missed + 1
        else:
            self.faults[whose] = self.now, 0
            self.ask("log", f"{whose}: {text}" + (f"; {missed} more since the last line" if missed else ""))

    # ---- dispatchers

    def on_opened(self, link):
        conn = self.conns[link] = Connection(link)
        conn.heard = self.now
        if len(self.conns) > self.most:
            # Guards against running out of descriptors and memory: the longest silent that made one health
            # check goes, as no RPC comes on it; else the oldest that carried no call, which may be the new
            # one itself: nothing of it ran.
            self.fault("dispatchers", f"{len(self.conns)} connections, {self.most} at most")
            spare = (each for each in self.conns.values() if each.calls <= each.checks and not each.ended)
            self.end(min(spare, key=lambda each: (not each.checks, each.heard)), "drop")
        elif self.crowded():
            self.make_room()
        if conn.ended:
            return
        self.ask("read", link)
        self.at(self.now + self.limits.unused, self.close_unused, conn)

    def crowded(self):
        return len(self.conns) > self.most // 3

    def make_room(self):
        """Guards against a crowd of connections whose threads cost more than their RPCs: one that carried no
        call, or one call and stayed, is told to close, the longest silent first."""
        since = self.now - self.limits.silent
        busy = lambda conn: conn.calls > 1 or conn.heard > since or conn.open or conn.told or conn.ended
        conn = min(filterfalse(busy, self.conns.values()), key=lambda conn: conn.heard, default=None)
        if conn:
            self.tell_close(conn, self.limits.unused_closing)

    def on_got(self, link, message):
        if link == self.pool:
            getattr(self, "pool_" + message[0])(*message[1:])
            if link == self.pool:
                self.ask("read", link)
        elif link in self.stores:
            self.reply(self.stores[link], *message[1:])
            self.ask("read", link)
        elif link in self.conns and not self.conns[link].ended:
            conn = self.conns[link]
            conn.calls += message[0] != "left"
            conn.heard = self.now
            getattr(self, "front_" + message[0])(conn, *message[1:])
            if conn.idle_from is None and not (conn.open or conn.checks):
                conn.idle_from = self.now
                self.look_at_idle(conn)
            if not conn.bad:
                if conn.behind:
                    conn.waiting = True  # guards against one that sends and never reads
                else:
                    self.ask("read", link)

    def on_behind(self, link):
        conn = self.conns.get(link)
        if conn:
            conn.behind = True
        elif link == self.pool:
            self.pool_behind = True

    def on_caught_up(self, link):
        conn = self.conns.get(link)
        if conn:
            conn.behind = False
            if conn.waiting and not conn.bad:
                conn.waiting = False
                self.ask("read", link)
        elif link == self.pool:
            self.pool_behind = False

    def on_ended(self, link, why):
        conn = self.conns.get(link)
        if link == self.pool:
            self.pool_lost(why)
        elif link in self.stores:
            self.store_lost(self.stores[link], Outcome.BROKEN_OFF, why)
        elif conn and not conn.ended:
            if why:
                # Not readable: what was read before is answered, then this connection alone is closed.
                left = len(conn.open)
                self.fault("dispatchers", f"connection {link}: {why}; closed once {left} answers are out")
                conn.bad = True
                self.finish_bad(conn)
                return
            self.leave_all(conn)
            self.end(conn)

    def on_refused(self, link, why):
        if link == self.pool:
            self.pool_lost(why)
        elif link in self.stores:
            self.store_lost(self.stores[link], Outcome.UNREACHED, why)

    def on_closed(self, link):
        self.ask("drop", link)
        conn = self.conns.pop(link, None)
        if conn:
            self.leave_all(conn)

    def leave_all(self, conn):
        conn.ended = True
        while conn.open:
            self.leave(self.rpcs[next(iter(conn.open.values()))])

    def send(self, conn, data):
        if not conn.ended:
            self.ask("send", conn.link, data)

    def end(self, conn, act="close"):
        """Nothing more is read or sent; a far side that does not close in its turn is not waited for long."""
        conn.ended = True
        self.ask(act, conn.link)
        self.at(self.now + self.limits.linger, self.ask, "drop", conn.link)

    def finish_bad(self, conn):
        if conn.bad and not conn.ended and not conn.open:
            self.end(conn)

    def front_unheard(self, conn, seq, name):
        if seq is not None:
            text = f"method {name!r}: not served here"
            self.send(conn, thrift.not_served(seq, name, thrift.UNKNOWN_METHOD, text))

    def front_check(self, conn, seq):
        if not conn.checks:
            conn.checks = True
            self.look_at_checks(conn)
        self.send(conn, thrift.health(seq, self.good, self.riding()))

    def front_left(self, conn, which):
        index = conn.open.get(which)
        if index is not None:
            self.leave(self.rpcs[index])

    def front_rpc(self, conn, seq, fields, body):
        if seq in conn.open:
            self.fault("dispatchers", f"connection {conn.link}: sequence number {seq} is in use; closed")
            conn.bad = True
            return
        try:
            told = self.read_fields(fields, body)
        except ValueError as error:
            self.send(conn, thrift.not_served(seq, "submit", thrift.PROTOCOL_ERROR, str(error)))
            return
        if len(conn.open) >= self.limits.open_rpcs or self.control is None:
            # Past what the protocol allows, or before the worker pool is there: it never ran.
            self.send(conn, thrift.pushed_back(seq, self.riding()))
        else:
            self.take(conn, seq, body, *told)

    def read_fields(self, fields, body):
        """The fields of an RPC as arguments of `take`; a ValueError says what is wrong. Guards what the
        module learns against what no dispatcher would say."""
        def number(name, low, high, default=None):
            text = fields.get(name)
            if text is None and default is not None:
                return default
            try:
                value = float(text)
            except (TypeError, ValueError):
                raise ValueError(f"field {name}={str(text)[:40]!r}: expected a number") from None
            if not low <= value < high:
                raise ValueError(f"field {name}={text[:40]!r}: expected {low:.0f} to under {high:.0f}")
            return value

        if fields is None or body is None:
            raise ValueError("the call carries no fields or no body")
        if len(body) > self.limits.body:
            raise ValueError(f"body: {len(body)} bytes, {self.limits.body} at most")
        method, token = fields.get("c"), fields.get("k")
        name, caller = fields.get("i", ""), fields.get("f", "")
        if method not in self.kinds:
            raise ValueError(f"field c={str(method)[:40]!r}: no such method")
        if len(name) != 16 or not HEX.issuperset(name) or name in self.by_name:
            raise ValueError(f"field i={name[:40]!r}: expected 16 hex digits, new with every try")
        digest = None
        if self.kinds[method] != "tokened":
            token = None
        elif not token or len(token) > 64:
            raise ValueError("field k is missing, or too long")
        else:
            digest = blake2b(body, digest_size=16).digest()
            entry = self.table.get((method, token))
            if entry and entry.digest != digest:
                # Guards against a result that is shared with what is no try of the same RPC.
                raise ValueError("body: not that of the other tries with this key")
        if not fields.get("s", "").isdigit():
            raise ValueError(f"field s={fields.get('s', '')[:40]!r}: expected Unix milliseconds")
        reached = int(number("s", 0, 1e14)) * 1000
        if not self.now - self.late[method] <= reached <= self.now + self.limits.ahead:
            raise ValueError(f"field s={reached // 1000}: too far from {self.now // 1000}")
        if not (caller.isdigit() and len(caller) < 12):
            raise ValueError(f"field f={caller[:40]!r}: expected the number of a dispatcher")
        place = number("p", 0, 1, -1)
        return (method, name, token, digest, min(reached, self.now), caller, "r" in fields,
                int(number("h", 0, self.limits.hint / 1000, 0) * 1000), number("m", 1e-9, 2000),
                None if place < 0 else place)

    def take(self, conn, seq, body, method, name, token, digest, reached, caller, again, hint, kb, place):
        index, self.next_index = self.next_index, self.next_index + 1
        rpc = self.rpcs[index] = Rpc(index, conn, seq, name, method, body)
        conn.open[seq] = index
        conn.idle_from = None
        self.by_name[name] = index
        repeats = None
        if token is not None:
            # By the time that it reached the machine, not by when it is read.
            entry = self.table.get((method, token))
            if entry and entry.until > reached and (entry.ran or entry.until > self.now):
                rpc.entry = entry
                repeats = entry.index if entry.index in self.rpcs else -1
            else:
                rpc.entry = Entry((method, token), index, digest)
        rpc.handle = self.control.arrive(
            self.now, index, method, kb, waited=self.now - reached, place=place, hint=hint, again=again,
            repeats=repeats, caller=caller)

    def leave(self, rpc):
        """The caller has gone: nothing is owed, nor sent."""
        rpc.owed = False
        self.drop_call(rpc)
        self.off_connection(rpc)
        if rpc.handle:
            rpc.handle.gone(self.now)

    def off_connection(self, rpc):
        conn = rpc.conn
        if conn.open.get(rpc.seq) == rpc.index:
            del conn.open[rpc.seq]
            if not conn.open:
                conn.idle_from = self.now
                self.look_at_idle(conn)
            self.finish_bad(conn)

    def answer(self, rpc, data):
        if rpc.owed:
            rpc.owed = False
            self.send(rpc.conn, data)
            self.off_connection(rpc)

    def riding(self):
        """The fields that ride on all answers."""
        return {} if self.said_level is None else {"v": f"{self.said_level:.4f}"}

    # ---- idle connections

    def look_at_idle(self, conn):
        """Closes a connection that idles for longer than the module allows, or asks for a later look."""
        if conn.idle_from is None or conn.told or conn.ended or self.keep is None:
            return
        due = conn.idle_from + self.keep
        if self.now >= due:
            self.tell_close(conn)
        elif conn.look is None or conn.look > due:
            # Guards against timers that pile up on a busy connection: only its next look counts.
            conn.look = due
            self.at(due, self.idle_due, conn, due)

    def idle_due(self, conn, due):
        if conn.look == due:
            conn.look = None
            self.look_at_idle(conn)

    def tell_close(self, conn, wait=None):
        """No RPC may cross the close: the dispatcher is told, and closes once all is answered."""
        if not conn.told and not conn.ended:
            conn.told = True
            self.send(conn, thrift.closing())
            self.at(self.now + (wait or self.limits.closing), self.close_told, conn)

    def close_told(self, conn):
        if conn.ended:
            return
        if conn.open:
            self.at(self.now + self.limits.closing, self.close_told, conn)
        else:
            self.end(conn)

    def look_at_checks(self, conn):
        """Guards against those that ask once and stay for ever, above all where many do."""
        if not conn.ended and not conn.told:
            once = conn.calls < 2 and self.crowded()
            due = conn.heard + (self.limits.silent if once else self.limits.check_idle)
            if self.now < due:
                self.at(min(due, self.now + self.limits.silent), self.look_at_checks, conn)
            elif not conn.open:
                self.tell_close(conn, self.limits.unused_closing)

    def close_unused(self, conn):
        """Guards against those that stay silent, or never end what they send."""
        if not conn.calls:
            self.tell_close(conn, self.limits.unused_closing)

    # ---- the worker pool

    def say_pool(self, data):
        """Written where there is a link; what is lost with one is settled after the next is bound."""
        if self.pool is not None:
            self.ask("send", self.pool, data)

    def command(self, rpc, data, again):
        """`again`: what may be written where `data` may have been read; None where nothing may."""
        self.unconfirmed[rpc.index] = self.ticket, data, again, self.pool_ready
        if self.pool_ready:
            self.say_pool(data)

    def pool_lost(self, why):
        again = 0 if self.pool_ready else self.limits.pool_again
        self.fault("worker pool", f"link lost ({why or 'closed'}), cursor {self.cursor}")
        self.leave_pool()
        self.at(self.now + again, self.reach_pool)

    def leave_pool(self):
        link, self.pool = self.pool, None
        self.pool_ready, self.settle, self.leaving, self.pool_behind = False, None, None, False
        self.ask("drop", link)

    def move_pool(self):
        """Guards against commands lost with the old link: it is left once the pool has read them all."""
        if self.pool_ready:
            self.pool_ready = False
            self.ticket += 1
            self.leaving = str(self.ticket)
            self.say_pool(lines.ask_gauges(self.leaving))
            self.at(self.now + self.limits.pool_moves, self.pool_moved, self.pool)
        else:
            self.pool_moved(self.pool)

    def pool_moved(self, link):
        if self.pool == link and not self.pool_ready:
            self.leave_pool()
            self.reach_pool()

    def reach_pool(self):
        if self.pool is not None:
            return
        self.pool = self.connect("pool")
        self.ask("read", self.pool)
        self.say_pool(lines.join(self.cursor))

    def pool_up(self, cold, age):
        self.ask("log", f"worker pool: up, {'cold' if cold else 'warm'}, for {age // 1000} ms")
        self.pool_ready = True
        if self.control is None:
            # The ramp of a cold start counts from the worker pool's: a later start is the slower reckoning.
            self.control = Control(self, {**self.settings, "fresh_start": cold}, self.seed)
            self.control.start(self.now)
        else:
            # Guards against commands lost with the old link: they are seen to once all notices since then
            # are read, so that nothing that ended is started again.
            self.ticket += 1
            self.settle = str(self.ticket)
            self.say_pool(lines.ask_gauges(self.settle))
            if self.now - age > self.pool_start + self.limits.same_start:
                self.pool_anew(cold)
        self.pool_start = self.now - age

    def pool_anew(self, cold):
        """A worker pool that started anew has lost its runs: each is answered, none is run again."""
        self.cursor, self.control.cold, self.control.began = 0, cold, self.now
        lost = [rpc for rpc in self.rpcs.values() if rpc.started and not rpc.over]
        self.ask("log", f"worker pool: started anew, {len(lost)} runs lost")
        for rpc in lost:
            self.end_run(rpc, Outcome.STOPPED, 0, b"")

    def new_notice(self, cursor):
        """Each notice is taken once."""
        new, self.cursor = cursor > self.cursor, max(cursor, self.cursor)
        return new

    def running(self, name):
        """The RPC of that name whose run is not over, or None."""
        rpc = self.rpcs.get(self.by_name.get(name))
        return rpc if rpc and rpc.started and not rpc.over else None

    def pool_run_ended(self, cursor, name, outcome, spent, result):
        rpc = self.running(name)
        if self.new_notice(cursor) and rpc:
            self.end_run(rpc, outcome, spent, result)

    def end_run(self, rpc, outcome, spent, result):
        """A run or a share is over: what there is to answer is answered, then the module hears of it."""
        rpc.over, rpc.stands_at, rpc.body = True, None, b""
        self.unconfirmed.pop(rpc.index, None)
        self.by_name.pop(rpc.name, None)
        self.drop_call(rpc)
        if outcome is Outcome.OK:
            self.answer(rpc, thrift.ok(rpc.seq, result, self.riding()))
        elif outcome is Outcome.ERROR:
            self.answer(rpc, thrift.aborted(rpc.seq, self.riding()))
        if rpc.entry and rpc.entry.index == rpc.index:
            self.settle_entry(rpc.entry, result if outcome is Outcome.OK else FAILED)
        rpc.handle.ended(self.now, outcome, spent)

    def pool_at_call(self, cursor, name, body):
        rpc = self.running(name)
        if self.new_notice(cursor) and rpc:
            rpc.stands_at = cursor, body
            self.unconfirmed.pop(rpc.index, None)
            rpc.handle.at_call(self.now)

    def pool_gauges(self, ticket, figures):
        if ticket == self.settle:
            self.settle = None
            for index in list(self.unconfirmed):
                asked, data, again, written = self.unconfirmed.get(index, (self.ticket, b"", None, False))
                if asked < int(ticket):  # neither ended nor sent another since, by the end of one before it
                    rpc = self.rpcs[index]
                    # Guards against a second effect, and a reply that meets a later call: what the pool did
                    # read may have gone on since, so only what does no harm twice is written again.
                    line = again if written else data
                    if line is not None:
                        self.command(rpc, line, again)
                    else:
                        self.end_run(rpc, Outcome.STOPPED, 0, b"")
        elif ticket == self.leaving or ticket in self.wakes:
            # The pool read the poll, so what was written before it too.
            self.unconfirmed = {
                index: line for index, line in self.unconfirmed.items() if line[0] >= int(ticket)}
            if ticket == self.leaving:
                self.pool_moved(self.pool)
            else:
                self.wake(ticket, dict(zip(self.gauges, figures)))

    def pool_undone(self, was_run, name):
        rpc = self.running(name)
        if rpc:
            self.fault("worker pool", f"{'run' if was_run else 'command'} not carried out")
            self.end_run(rpc, Outcome.MOOT if was_run else Outcome.STOPPED, 0, b"")

    def pool_remark(self, cursor):
        self.new_notice(cursor)

    def pool_other(self):
        """An event of a later protocol."""

    # ---- timers of the module, with gauges

    def ring(self, name):
        """A timer is due: the gauges are asked for, and waited for a little."""
        self.ticket += 1
        ticket = str(self.ticket)
        self.wakes[ticket] = name
        if self.pool_ready and not self.pool_behind:
            self.say_pool(lines.ask_gauges(ticket))
            self.at(self.now + self.limits.figures, self.wake, ticket, {})
        else:
            self.wake(ticket, {})

    def wake(self, ticket, gauges):
        name = self.wakes.pop(ticket, None)
        if name is not None:
            self.control.wake(self.now, name, gauges)
            self.look_at_end()

    # ---- the store

    def reply(self, store, name, outcome, body):
        if name != store.name:
            # Guards against a copy, or another's reply, that passes for a call's: none is made here again.
            self.retire(store)
            return
        rpc = self.rpcs[store.index]
        rpc.call_link = store.name = None
        if store.retired or len(store.used) >= self.limits.store_calls:
            self.leave_store(store)
        else:
            store.idle_from = self.now
            self.idle_stores.append(store)
        if outcome is Outcome.OK and rpc.stands_at:
            (cursor, _), rpc.stands_at = rpc.stands_at, None
            # A reply that may have been lost can't be written again, but the call can be left out.
            again = lines.skip(rpc.name, cursor) if self.poorer[rpc.method] > 0 else None
            self.command(rpc, lines.reply(rpc.name, body), again)
        rpc.handle.call_ended(self.now, outcome, self.now - rpc.call_from)

    def store_lost(self, store, outcome, why):
        self.leave_store(store)
        if why:
            self.fault("store", f"{outcome.value}, {len(self.stores)} links left ({why})")
        if store.name:
            rpc = self.rpcs[store.index]
            rpc.call_link = None
            rpc.handle.call_ended(self.now, outcome, self.now - rpc.call_from)

    def retire(self, store):
        """It takes no further call, and is left once it has none."""
        store.retired = True
        if store.name is None:
            self.leave_store(store)

    def leave_store(self, store):
        del self.stores[store.link]
        if store in self.idle_stores:
            self.idle_stores.remove(store)
        self.ask("drop", store.link)

    def look_at_store(self, store):
        """A link that idles is closed long before the store does it, so that no call crosses its close."""
        if store.link in self.stores:
            due = (self.now if store.name else store.idle_from) + self.limits.store_idle
            if self.now >= due:
                self.leave_store(store)
            else:
                self.at(due, self.look_at_store, store)

    def drop_call(self, rpc):
        """Gives up a call in the store's hands, and the link with it: a late reply may still come there."""
        store = self.stores.get(rpc.call_link)
        rpc.call_link = None
        if store:
            self.leave_store(store)

    def call_due(self, rpc, number):
        if rpc.call_link is not None and rpc.calls == number:
            self.drop_call(rpc)
            rpc.handle.call_ended(self.now, Outcome.TIMEOUT, self.now - rpc.call_from)

    # ---- results that repeats share

    def settle_entry(self, entry, result):
        """The try that holds the entry is over."""
        entry.result = result
        if result is not FAILED:
            self.results[entry] = None
            self.result_bytes += len(result)
            while self.result_bytes > self.limits.kept_results:
                self.drop_result(next(iter(self.results)))
        self.ready(entry)

    def drop_result(self, entry):
        if entry in self.results:
            del self.results[entry]
            self.result_bytes -= len(entry.result)
            entry.result = FAILED

    def ready(self, entry):
        waiting, entry.waiting = entry.waiting, []
        for index in waiting:
            self.ask("later", ("shared", index))

    def on_shared(self, index):
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.over or rpc.share_from is None:
            return
        result = rpc.entry.result
        outcome = Outcome.OK if isinstance(result, bytes) else Outcome.ERROR
        self.end_run(rpc, outcome, self.now - rpc.share_from, result)

    def expire(self, entry):
        """Out of the table once nothing that reached the machine in its time can still be read."""
        if self.table.get(entry.key) is entry:
            if self.now < entry.until + self.stays:
                self.at(entry.until + self.stays, self.expire, entry)
                return
            del self.table[entry.key]
        self.drop_result(entry)

    # ---- the port

    def run(self, index):
        rpc = self.rpcs[index]
        rpc.started = True
        if rpc.entry:
            rpc.entry.ran = True
        line = lines.run(rpc.name, rpc.method, rpc.body)
        self.command(rpc, line, line if self.kinds[rpc.method] == "idempotent" else None)

    def stop(self, index):
        raise NotImplementedError("this worker pool stops nothing")

    def push_back(self, index, wait, last):
        rpc, fields = self.rpcs[index], self.riding()
        if wait:
            fields["w"] = str(max(1, wait // 1000))
        if last:
            fields["l"] = "1"
        self.answer(rpc, thrift.pushed_back(rpc.seq, fields))

    def abort(self, index):
        rpc = self.rpcs[index]
        self.drop_call(rpc)
        self.answer(rpc, thrift.aborted(rpc.seq, self.riding()))

    def call(self, index, limit):
        rpc = self.rpcs[index]
        # Guards against a copy of a reply that passes for this call's: not on a link where one may come.
        store = next((each for each in reversed(self.idle_stores) if rpc.name not in each.used), None)
        if store:
            self.idle_stores.remove(store)
        else:
            link = self.connect("store")
            store = self.stores[link] = Store(link)
            self.ask("read", link)
            self.at(self.now + self.limits.store_idle, self.look_at_store, store)
        store.name, store.index = rpc.name, index
        store.used.add(rpc.name)
        rpc.call_link, rpc.call_from, rpc.calls = store.link, self.now, rpc.calls + 1
        self.ask("send", store.link, lines.call(rpc.name, limit, rpc.stands_at[1]))
        self.at(self.now + limit, self.call_due, rpc, rpc.calls)

    def skip(self, index):
        rpc = self.rpcs[index]
        (cursor, _), rpc.stands_at = rpc.stands_at, None
        line = lines.skip(rpc.name, cursor)
        self.command(rpc, line, line)

    def share(self, index):
        rpc = self.rpcs[index]
        rpc.share_from = self.now
        if rpc.entry.result is PENDING:
            rpc.entry.waiting.append(index)
        else:
            self.ask("later", ("shared", index))

    def remember(self, index, keep):
        rpc = self.rpcs[index]
        if rpc.entry.index != index:
            rpc.entry = Entry(rpc.entry.key, index, rpc.entry.digest)
        entry, before = rpc.entry, self.table.get(rpc.entry.key)
        if before is not None and before is not entry:
            self.drop_result(before)
        entry.until = self.now + keep
        self.table[entry.key] = entry
        self.at(entry.until + self.stays, self.expire, entry)

    def forget(self, index):
        entry = self.rpcs[index].entry
        if self.table.get(entry.key) is entry:
            del self.table[entry.key]
        entry.result = FAILED
        self.ready(entry)

    def health(self, good, stored):
        if good != self.good:
            self.good = good
            self.report()

    def level(self, value):
        self.said_level = value

    def idle_limit(self, keep):
        self.keep = keep
        for conn in list(self.conns.values()):
            self.look_at_idle(conn)

    def wake_in(self, delay, name):
        self.at(self.now + delay, self.ring, name)

    def log(self, text):
        self.ask("log", text)

    def release(self, index):
        rpc = self.rpcs.pop(index)
        if self.by_name.get(rpc.name) == index:
            del self.by_name[rpc.name]

    # ---- roster, drain and end

    def report(self):
        self.ask("report", self.places["roster"], lines.report(self.name, self.good))
        self.reports += 1
        self.at(self.now + self.limits.report, self.report_again, self.reports)

    def report_again(self, number):
        if number == self.reports:
            self.report()

    def on_drain(self):
        if not self.drained:
            self.drained = True
            self.grace_end = self.now + self.settings.get("grace", 0)
            self.at(self.now + self.limits.stop, self.ask, "end")
            if self.control:
                self.control.drain(self.now, self.now + self.limits.stop)
            else:
                self.ask("end",)

    def look_at_end(self):
        """The node may end once its grace is over and nothing is open, nor has been for a while."""
        if not self.drained or self.now < self.grace_end:
            return
        if self.conns or any(rpc.owed for rpc in self.rpcs.values()):
            self.quiet_from = None
        elif self.quiet_from is None:
            self.quiet_from = self.now
        elif self.now - self.quiet_from >= self.limits.quiet:
            # Guards against an RPC on a connection that is being accepted: first no new ones, then the end.
            self.ask("end" if self.unlistened else "unlisten")
            self.unlistened, self.quiet_from = True, self.now - self.limits.quiet + self.limits.last_look
