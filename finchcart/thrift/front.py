"""The dispatchers' connections: what is open on each, when it is closed, and the words of each answer.

Owns one `Connection` for each link of a dispatcher; bounded by `limits.max_connections`. It must never answer
an RPC by itself once the core took it, nor close a connection that owes an answer. Contract: node/front.py.
"""

from itertools import filterfalse

from finchcart.errors import InvalidRpcError
from finchcart.node.effects import Close, CloseIfIdle, Defer, Drop, Read, Send
from finchcart.node.front import OK, PUSHED_BACK, Rpc
from finchcart.node.inputs import CloseDue
from finchcart.thrift import codec, fields


class Connection:
    """One link of a dispatcher."""

    __slots__ = (
        "link",
        "open",
        "calls",
        "heard",
        "behind",
        "waiting",
        "idle_from",
        "look",
        "checks",
        "told",
        "bad",
        "ended",
        "reads",
        "tries",
    )

    def __init__(self, link):
        self.link, self.open, self.calls, self.heard = link, {}, 0, 0  # open: by sequence number
        self.behind, self.waiting = False, 0  # waiting: reads that are asked once it is not behind any more
        self.idle_from, self.look, self.checks = None, None, False  # look: when it is next looked at
        self.told, self.bad, self.ended = False, False, False  # told: `closing` was sent
        self.reads = 1  # asked for and not come back
        self.tries = 0  # to close it, since something last came


class ThriftFront:
    """A `Front`; see the top of this file."""

    def __init__(self, core, limits):
        self.core, self.turn, self.limits = core, core.turn, limits
        self.most = limits.max_connections
        self.conns, self.good, self.keep = {}, True, None
        self.kill_at = None  # from the notice to leave on
        self.looking = False  # the table is nearly full, and looked at now and then
        self.acts = {
            "rpc": self.on_rpc,
            "left": self.on_left,
            "check": self.on_check,
            "unheard": self.on_unheard,
        }

    # ---- links

    def opened(self, link):
        turn, conn = self.turn, Connection(link)
        self.conns[link], conn.heard = conn, turn.now
        if self.crowded():
            self.make_room()
        if self.full() and not self.looking:
            self.look_at_crowd()
        if len(self.conns) > self.most:
            turn.fault("dispatchers", f"{len(self.conns)} connections, {self.most} at most")
            self.drop_spare()
        if conn.ended:
            return
        turn.emit(Read(link))
        turn.at(turn.now + self.limits.unused_timeout, self.close_unused, conn)

    def drop_spare(self):
        """Guards against running out of descriptors and memory: the longest silent that made one health check
        goes, as no RPC comes on it; else the oldest that carried no call: nothing of it ran. One that may be
        about to speak is let be; where none else is left, those that come wait outside."""
        since = self.turn.now - self.limits.crossing_window
        spare = (
            conn
            for conn in self.conns.values()
            if not conn.ended and conn.calls <= conn.checks and (conn.checks or conn.heard <= since)
        )
        least = min(spare, key=lambda conn: (not conn.checks, conn.heard), default=None)
        if least:
            self.send(least, codec.closing())
            self.end(least, Drop)

    def crowded(self):
        return len(self.conns) > self.most // 3

    def full(self):
        return len(self.conns) > self.most * 3 // 4

    def make_room(self):
        """Guards against a crowd of connections whose threads cost more than their RPCs: one that carried no
        call, or one call and stayed, is told to close, the longest silent first. Where the table is nearly
        full, any that idles, those of health checks last, and at the limit after a shorter silence: a new
        caller with an RPC gets in."""
        full, over = self.full(), len(self.conns) >= self.most
        since = self.turn.now - (self.limits.crossing_window if over else self.limits.silent_timeout)
        busy = lambda conn: (
            conn.calls > 1
            and not full
            or conn.heard > since
            or conn.open
            or conn.told
            or conn.ended
            or conn.behind
        )
        conn = min(
            filterfalse(busy, self.conns.values()),
            default=None,
            key=lambda conn: (conn.checks and conn.calls > 1, conn.heard),
        )
        if conn:
            self.tell_close(conn, self.limits.unused_close_delay)
        return conn is not None

    def look_at_crowd(self):
        """While the table is nearly full: a quarter of it is made free, also while nobody can be accepted."""
        self.looking = self.full()
        if self.looking:
            for _ in range(sum(not conn.ended for conn in self.conns.values()) - self.most):
                self.drop_spare()
            staying = sum(not (conn.told or conn.ended) for conn in self.conns.values())
            while staying > self.most * 3 // 4 and self.make_room():
                staying -= 1
            self.turn.at(self.turn.now + self.limits.crossing_window, self.look_at_crowd)

    def got(self, link, message):
        conn = self.conns.get(link)
        if conn is None or conn.ended or conn.bad:
            return
        conn.calls += message[0] != "left"
        conn.heard, conn.tries = self.turn.now, 0
        self.acts[message[0]](conn, *message[1:])
        if conn.idle_from is None and not (conn.open or conn.checks):
            conn.idle_from = self.turn.now
            self.look_at_idle(conn)

    def batch_over(self, link):
        conn = self.conns.get(link)
        if conn is None or conn.ended or conn.bad:
            return
        conn.reads -= 1
        # A connection that carried RPCs is read ahead: its reader need not be woken for each. One whose far
        # side does not read what it is sent is not: guards against one that sends and never reads.
        wanted = 1 if conn.checks or conn.calls < 2 else self.limits.read_ahead
        conn.waiting = max(0, wanted - conn.reads)
        if not conn.behind:
            self.ask_reads(conn)

    def ask_reads(self, conn):
        for _ in range(conn.waiting):
            self.turn.emit(Read(conn.link))
        conn.reads, conn.waiting = conn.reads + conn.waiting, 0

    def behind(self, link):
        if link in self.conns:
            self.conns[link].behind = True

    def caught_up(self, link):
        conn = self.conns.get(link)
        if conn:
            conn.behind = False
            if conn.bad:
                self.finish_bad(conn)
            elif not conn.ended:
                self.ask_reads(conn)

    def ended(self, link, why):
        conn = self.conns.get(link)
        if conn is None or conn.ended or conn.bad:
            return  # one that sent what can't be read may end after that, and is owed its answers still
        if why:
            # Not readable: what was read before is answered, then this connection alone is closed.
            left = len(conn.open)
            self.turn.fault("dispatchers", f"connection {link}: {why}; closed once {left} answers are out")
            conn.bad = True
            self.core.bad_from(link)
            self.finish_bad(conn)
        else:
            if not (conn.calls or conn.told):
                self.core.bad_from(link)
            self.leave_all(conn)
            self.end(conn)

    def refused(self, link, why):
        """Dispatchers connect: no link of this front is its own."""

    def closed(self, link):
        conn = self.conns.pop(link, None)
        if conn:
            self.leave_all(conn)

    def leave_all(self, conn):
        conn.ended = True
        while conn.open:
            self.left(conn, next(iter(conn.open)))

    def left(self, conn, seq):
        rpc = conn.open.pop(seq)
        self.off(conn)
        self.core.leave(rpc)

    def send(self, conn, data):
        if not conn.ended:
            self.turn.emit(Send(conn.link, data))

    def end(self, conn, effect=Close):
        """Nothing more is read or sent; a far side that does not close in its turn is not waited for long."""
        conn.ended = True
        self.turn.emit(effect(conn.link))
        wait = self.limits.crossing_window if self.full() else self.limits.linger_timeout
        self.turn.at(self.turn.now + wait, self.drop_ended, conn)

    def drop_ended(self, conn):
        """Guards against answers that are cut off as the far side reads slowly: a write that makes no headway
        breaks the link by itself."""
        if conn.behind and conn.link in self.conns:
            self.turn.at(self.turn.now + self.limits.linger_timeout, self.drop_ended, conn)
        else:
            self.turn.emit(Drop(conn.link))

    def finish_bad(self, conn):
        if conn.bad and not conn.ended and not conn.open and not conn.behind:
            self.end(conn)

    # ---- messages

    def on_unheard(self, conn, seq, name):
        if seq is not None:
            text = f"method {name!r}: not served here"
            self.send(conn, codec.not_served(seq, name, codec.UNKNOWN_METHOD, text))

    def on_check(self, conn, seq):
        if not conn.checks:
            conn.checks = True
            self.look_at_checks(conn)
        self.send(conn, codec.health(seq, self.good, self.riding()))

    def on_left(self, conn, seq):
        if seq in conn.open:
            self.left(conn, seq)

    def on_rpc(self, conn, seq, told, body):
        if seq in conn.open:
            self.turn.fault("dispatchers", f"connection {conn.link}: sequence number {seq} is in use; closed")
            conn.bad = True
            return
        core, why = self.core, None
        try:
            name, method, token, told = fields.read(
                told, body, self.turn.now, self.limits, core.kinds, core.late
            )
        except ValueError as error:
            why = str(error)
        else:
            if len(conn.open) >= self.limits.open_rpcs or not core.ready:
                # Past what the protocol allows, or before the worker pool is there: it never ran.
                self.send(conn, codec.pushed_back(seq, self.riding()))
                return
            rpc = conn.open[seq] = Rpc(self, (conn, seq), name, method, body)
            conn.idle_from = None
            try:
                core.take(rpc, token, link=conn.link, **told)
            except InvalidRpcError as error:
                why = str(error)
                del conn.open[seq]
        if why:
            core.bad_from(conn.link)
            self.send(conn, codec.not_served(seq, "submit", codec.PROTOCOL_ERROR, why))

    def final(self, rpc, outcome, result, wait, last):
        conn, seq = rpc.ref
        told = self.riding()
        if outcome is OK:
            data = codec.ok(seq, result, told)
        elif outcome is PUSHED_BACK:
            if wait:
                told["w"] = str(max(1, wait // 1000))
            if last:
                told["l"] = "1"
            data = codec.pushed_back(seq, told)
        else:
            data = codec.aborted(seq, told)
        del conn.open[seq]
        self.send(conn, data)
        self.off(conn)

    def off(self, conn):
        """An RPC has left the connection."""
        if not conn.open:
            conn.idle_from = self.turn.now
            self.look_at_idle(conn)
        self.finish_bad(conn)

    def riding(self):
        """The fields that ride on all answers."""
        level = self.core.said_level
        return {} if level is None else {"v": f"{level:.4f}"}

    # ---- idle connections

    def idle_limit(self, keep):
        self.keep = keep
        for conn in list(self.conns.values()):
            self.look_at_idle(conn)

    def look_at_idle(self, conn):
        """Closes a connection that idles for longer than the module allows, or asks for a later look."""
        if conn.idle_from is None or conn.told or conn.ended or self.keep is None:
            return
        due = conn.idle_from + self.keep
        if self.turn.now >= due:
            self.tell_close(conn)
        elif conn.look is None or conn.look > due:
            # Guards against timers that pile up on a busy connection: only its next look counts.
            conn.look = due
            self.turn.at(due, self.idle_due, conn, due)

    def idle_due(self, conn, due):
        if conn.look == due:
            conn.look = None
            self.look_at_idle(conn)

    def tell_close(self, conn, wait=None):
        """No RPC may cross the close: the dispatcher is told, and closes once all is answered."""
        if not conn.told and not conn.ended:
            conn.told = True
            self.send(conn, codec.closing())
            wait = self.patience(wait or self.limits.close_delay)
            self.turn.at(self.turn.now + wait, self.close_told, conn)

    def close_told(self, conn):
        """What came before the close is answered first. Not within another input's turn, which may hand over
        an RPC of this very connection after the look and before the close."""
        if not (conn.ended or conn.bad):
            self.turn.emit(Defer(CloseDue(conn.link)))

    def close_due(self, link):
        conn = self.conns.get(link)
        if conn is None or conn.ended or conn.bad:
            return
        if conn.open:
            self.turn.at(self.turn.now + self.patience(self.limits.close_delay), self.close_told, conn)
        else:
            self.turn.emit(CloseIfIdle(conn.link))

    def patience(self, wait):
        """Guards against connections of those that rest, cut by the kill instead of closed by the node."""
        if self.kill_at is None:
            return wait
        return min(wait, max(self.limits.unused_close_delay, (self.kill_at - self.turn.now) // 3))

    def finished(self, link, shut):
        conn = self.conns.get(link)
        if conn is None or conn.ended or conn.bad:
            return
        conn.tries += 1
        if (
            shut
            or conn.tries * self.limits.close_retry_interval > self.limits.partial_message_timeout
            and not conn.behind
        ):
            self.end(conn)  # guards against one that never sends the rest of what it began
        else:
            self.turn.at(self.turn.now + self.limits.close_retry_interval, self.close_told, conn)

    def look_at_checks(self, conn):
        """Guards against those that ask once and stay for ever, above all where many do."""
        if not conn.ended and not conn.told:
            now = self.turn.now
            once = conn.calls < 2 and self.crowded()
            due = conn.heard + (self.limits.silent_timeout if once else self.limits.health_check_idle_timeout)
            if now < due:
                self.turn.at(min(due, now + self.limits.silent_timeout), self.look_at_checks, conn)
            elif not conn.open:
                self.tell_close(conn, self.limits.unused_close_delay)

    def close_unused(self, conn):
        """Guards against those that stay silent, or never end what they send."""
        if not conn.calls and not conn.told:
            self.core.bad_from(conn.link)
            self.tell_close(conn, self.limits.unused_close_delay)

    # ---- the module's word

    def health(self, good):
        self.good = good

    def drain(self, kill_at):
        """Connections close as they idle: the module sets that limit to its least."""
        self.kill_at = kill_at

    def quiet(self):
        return not self.conns
