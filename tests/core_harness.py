"""Simulated peers round one core, without sockets: they check the rules as they go."""

import json
import random
from base64 import b64decode
from collections import Counter, deque
from dataclasses import dataclass

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.node import effects
from finchcart.node.addresses import NodeAddresses
from finchcart.node.core import Core
from finchcart.node.fleet_inputs import key_lease_client_input
from finchcart.node.inputs import CloseAttempted, MessagesReceived, Start, TimersDue
from finchcart.node.rpc import FinalOutcome
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionEnded,
    ConnectionOpened,
    ConnectionRefused,
    WriteBlocked,
    WriteResumed,
)
from finchcart.protocol.messages import (
    GaugesRead,
    RevokeNotice,
    RunAwaitingCall,
    RunEndedNotice,
    StoreReply,
    SubmitCall,
    Subscribed,
)
from finchcart.thrift import codec as thrift
from finchcart.thrift.binary_protocol import I32, STRING, STRUCT, Reader
from finchcart.thrift.frontend import ThriftFrontend
from tests.typed_settings import typed

MS = 1000
NOW = 1_700_000_000_000_000
LATE_US = 60 * MS  # an answer may be late by this
RUN_TIME_US = 50 * MS


@dataclass
class Attempt:
    """One attempt of an RPC, as its dispatcher knows it."""

    method: int
    key: str
    kind: str
    arrived_at: int
    connection: int
    sequence: int
    body: bytes
    due: int
    answers: int = 0
    has_run: bool = False
    response_pending: bool = True  # its dispatcher waits for it
    outcome: str | None = None  # the value of a FinalOutcome


@dataclass
class Run:
    """A run in the worker pool."""

    state: str  # "running", "blocked" or "over"
    key: str
    calls: int = 0
    call_never_ran: bool = True  # it is proved of its last call
    cursor: int | None = None  # of the notice that it is blocked


class CoreHarness:
    """Dispatchers, worker pool, store and registry round one core."""

    def __init__(
        self,
        settings,
        seed=1,
        frontend=ThriftFrontend,
        shadow=None,
        limiters=None,
        observer=None,
        key_leases=None,
        **limits,
    ):
        self.settings = settings
        self.now = NOW
        self.rng = random.Random(seed)
        self.limits = Limits(memory=192 * 2**20, descriptors=200, stop_timeout=3_000 * MS, **limits)
        self.addresses = NodeAddresses(("pool", 1), ("store", 1), ("registry", 1))
        self.core = Core(
            typed(settings),
            self.limits,
            seed,
            "n1",
            self.addresses,
            lambda core: {"front": frontend(core, self.limits)},
            shadow,
            limiters,
            observer,
            key_leases,
        )
        self.limiters = limiters
        self.frontend = self.core.frontends["front"]
        # What the core published.
        self.key_lease_inputs = []
        self.evidence = []
        self.usage = []
        self.reports = []  # to the registry: (when, data)
        self.log_lines = []
        # Connections by number; the state is "open", "connecting" or how it ended.
        self.connections = {}
        self.connection_count = 0
        self.reads_requested = Counter()
        self.inboxes = {}  # messages that were not read yet
        self.write_blocked = set()
        self.closing = set()
        self.write_block_probability = 0.01  # how often a peer does not read what is sent
        # Dispatchers.
        self.attempts = {}  # by name
        self.attempts_by_sequence = {}  # by connection and sequence number
        self.unanswered = {}  # by name
        self.last_sequences = {}  # by connection
        # The worker pool.
        self.pool_connection = None
        self.pool_accepts = True
        self.pool_is_cold = False
        self.pool_started_at = self.now
        self.commands = []  # not read yet: (connection, data)
        self.notices = []
        self.notices_numbered = 0
        self.runs = {}  # by name
        self.active_runs = {}
        self.results = set()  # (key, result) of all runs that ended well, also of those started once more
        # The store.
        self.store_accepts = True
        self.calls = {}  # by connection: name -> body of the reply
        self.replies = {}  # by name of the attempt
        self.drain_notice_at = None
        self.ended = False
        self.feed(Start())

    def feed(self, what):
        """Hands an input to the core, and carries out what comes of it."""
        inputs = deque([what])
        while inputs:
            what = inputs.popleft()
            if self.limiters:
                self.limiters.set_clock(self.now)
            if self.core.key_leases:
                self.core.key_leases.now_us = self.now
            for effect in self.core.reduce(self.now, what):
                if isinstance(effect, effects.Defer):
                    inputs.append(effect.input)
                elif isinstance(effect, effects.CloseIfIdle):
                    closed = self.try_close(effect.connection)
                    inputs.appendleft(CloseAttempted(effect.connection, closed))
                else:
                    getattr(self, EFFECT_METHODS[type(effect)])(*effect)

    def deliver(self, connection, message):
        """Puts a message into the connection's inbox."""
        self.inboxes.setdefault(connection, deque()).append(message)

    def step(self, elapsed_us):
        """Time passes, timers are due, commands are read, and the reads that were requested are delivered."""
        self.now += elapsed_us
        while not self.ended and self.core.next_timer() is not None and self.core.next_timer() <= self.now:
            self.feed(TimersDue())
        self.establish_connections()
        self.read_commands()
        self.resume_writes()
        self.deliver_reads()
        self.close_connections()
        self.check()

    def establish_connections(self):
        for connection, state in list(self.connections.items()):
            if state == "connecting":
                to_pool = connection == self.core.pool.connection.number
                accepts = self.pool_accepts if to_pool else self.store_accepts
                self.connections[connection] = "open" if accepts else "refused"
                if not accepts:
                    self.feed(ConnectionRefused(connection, "Connection refused"))

    def read_commands(self):
        commands = self.commands
        self.commands = []
        for connection, data in commands:
            if self.connections.get(connection) == "open" and connection == self.pool_connection:
                self.on_pool_command(connection, json.loads(data))
            elif self.connections.get(connection) == "open":
                self.on_store_call(connection, data)

    def resume_writes(self):
        for connection in list(self.write_blocked):
            if self.connections[connection] == "open" and self.rng.random() < 0.2:
                self.write_blocked.discard(connection)
                self.feed(WriteResumed(connection))

    def deliver_reads(self):
        while any(self.inboxes.get(connection) for connection in self.reads_requested):
            connection = next(each for each in self.reads_requested if self.inboxes.get(each))
            self.reads_requested[connection] -= 1
            self.reads_requested += Counter()  # drops what is requested no more
            count = self.rng.choice((1, 1, 2, self.limits.frontend_batch))
            inbox = self.inboxes[connection]
            batch = [inbox.popleft() for _ in range(min(count, len(inbox)))]
            self.feed(MessagesReceived(connection, batch, self.now))

    def close_connections(self):
        for connection in list(self.closing):
            self.closing.discard(connection)
            self.connections[connection] = "closed"
            self.inboxes.pop(connection, None)
            self.feed(ConnectionClosed(connection))

    # ---- Effects of the core

    def on_publish_usage(self, *usage):
        self.usage.append(usage)

    def on_publish_evidence(self, evidence):
        self.evidence.append(evidence)

    def on_key_lease_command(self, command):
        self.key_lease_inputs.append(key_lease_client_input(command))

    def on_read(self, connection):
        if self.connections.get(connection) in ("open", "connecting"):
            self.reads_requested[connection] += 1
            assert self.reads_requested[connection] <= self.limits.read_ahead, "asked too often"

    def on_connect(self, connection, kind, address):
        assert address == getattr(self.addresses, kind), "not its address"
        self.connections[connection] = "connecting"
        self.calls[connection] = {}
        if kind == "pool":
            before = self.pool_connection
            left = before is None or before in self.closing or self.connections[before] != "open"
            assert left, "two connections to the pool"
            self.pool_connection = connection

    def on_send(self, connection, data):
        if connection < 0:
            self.commands.append((connection, data))
        elif self.connections.get(connection) in ("open", "unread"):
            self.on_reply(connection, data)
        is_open = connection not in self.write_blocked and self.connections.get(connection) == "open"
        if is_open and self.rng.random() < self.write_block_probability:
            self.write_blocked.add(connection)
            self.feed(WriteBlocked(connection))

    def on_send_before(self, connection, data, deadline):
        assert deadline >= self.now
        self.on_send(connection, data)

    def on_close(self, connection):
        if self.connections.get(connection, "closed") != "closed":
            self.closing.add(connection)
        del self.reads_requested[connection]

    def on_drop(self, connection):
        """At once: what was written and not read yet is lost."""
        self.commands = [command for command in self.commands if command[0] != connection]
        self.calls[connection] = {}
        self.on_close(connection)

    def try_close(self, connection):
        """Closes a connection where nothing is under way, and tells whether it did."""
        if self.inboxes.get(connection) or connection in self.write_blocked:
            return False
        if self.connections.get(connection) == "open":
            self.connections[connection] = "shut"  # what comes on it from now on crosses the close
        return True

    def on_send_report(self, address, data):
        assert address == self.addresses.registry
        self.reports.append((self.now, data))

    def on_log(self, text):
        self.log_lines.append(text)

    def on_stop_listening(self):
        times = self.core.shutdown.times
        is_last_moment = times is not None and self.now >= times.kill_at - self.limits.finish_period
        assert is_last_moment or not self.responses_pending()

    def responses_pending(self):
        return [each for each in self.unanswered.values() if each.response_pending and not each.answers]

    def is_unread(self, attempt):
        inbox = self.inboxes.get(attempt.connection, ())
        return any(isinstance(each, SubmitCall) and each.sequence == attempt.sequence for each in inbox)

    def on_end(self):
        assert self.drain_notice_at is not None
        read = [each for each in self.responses_pending() if not self.is_unread(each)]
        assert read == [], "ended over RPCs that were read"
        self.ended = True

    # ---- Dispatchers

    def open(self, host="127.0.0.1"):
        """A new connection of a dispatcher."""
        self.connection_count += 1
        self.connections[self.connection_count] = "open"
        self.feed(ConnectionOpened(self.connection_count, "front", host))
        return self.connection_count

    def submit(self, connection, method=0, retry_of=None, waited=0, **fields):
        """An attempt; `retry_of`: the name of an earlier one of the same RPC. Returns its name."""
        name = f"{self.rng.getrandbits(64):016x}"
        sequence = self.last_sequences.get(connection, 0) + 1
        self.last_sequences[connection] = sequence
        first = self.attempts.get(retry_of)
        key = first.key if first else name * 2
        method = first.method if first else method
        kind = self.settings[f"methods.{method}.kind"]
        arrived_at = (self.now - waited) // 1000 * 1000
        said = {
            "c": f"m{method}",
            "i": name,
            "s": str(arrived_at // 1000),
            "f": "3",
            "h": "100.00",
            "m": "20.0",
            "p": "0.5",
        }
        said.update({"r": "1"} if first else {})
        said.update({"k": key} if kind == "keyed" else {}, **fields)
        attempt = Attempt(
            method=method,
            key=key,
            kind=kind,
            arrived_at=arrived_at,
            connection=connection,
            sequence=sequence,
            body=first.body if first else self.rng.randbytes(8),
            due=max(self.now, arrived_at + self.settings[f"methods.{method}.deadline"]),
        )
        self.attempts[name] = attempt
        self.unanswered[name] = attempt
        self.attempts_by_sequence[connection, sequence] = attempt
        self.deliver(connection, SubmitCall(sequence, said, attempt.body))
        return name

    def revoke(self, name):
        """The caller of an attempt goes."""
        attempt = self.attempts[name]
        attempt.response_pending = False
        self.deliver(attempt.connection, RevokeNotice(attempt.sequence))

    def end_connection(self, connection, reason=""):
        """The dispatcher closes, or sends what can't be read; nothing in its inbox is read any more."""
        unread = {m.sequence for m in self.inboxes.get(connection, ()) if isinstance(m, SubmitCall)}
        for attempt in self.unanswered.values():
            if attempt.connection == connection and (not reason or attempt.sequence in unread):
                attempt.response_pending = False
        self.lose_connection(connection, reason)

    def lose_connection(self, connection, reason=""):
        """The connection ends: what was under way in both directions is lost."""
        self.connections[connection] = "unread" if reason else "cut"
        self.inboxes.pop(connection, None)
        del self.reads_requested[connection]
        self.commands = [command for command in self.commands if command[0] != connection]
        self.feed(ConnectionEnded(connection, ProtocolError(reason) if reason else None))

    def on_reply(self, connection, data):
        _, name, sequence, arguments = read_answer(data)
        if name == b"submit":
            if (0, STRUCT) in arguments:
                self.record_answer(connection, sequence, FinalOutcome.OK, arguments[0, STRUCT][1, STRING])
            elif (thrift.REJECTED_FIELD, STRUCT) in arguments:
                self.record_answer(connection, sequence, FinalOutcome.REJECTED, b"")
            else:
                self.record_answer(connection, sequence, FinalOutcome.FAILED, b"")

    def record_answer(self, connection, sequence, outcome, body):
        """A final answer has gone out."""
        attempt = self.attempts_by_sequence.get((connection, sequence))
        if attempt is None:
            return
        attempt.answers += 1
        assert attempt.answers == 1, "two answers"
        assert self.now <= attempt.due + LATE_US or not attempt.response_pending, "late"
        if outcome is FinalOutcome.OK:
            assert (attempt.key, body) in self.results, "served what no run made"
        elif outcome is FinalOutcome.REJECTED:
            assert not attempt.has_run, "rejected after it ran"
        attempt.outcome = outcome.value

    # ---- The worker pool

    def on_pool_command(self, connection, said):
        event = said["event"]
        name = said.get("handle")
        run = self.runs.get(name)
        if event == "bind":
            assert said["cursor"] <= self.notices_numbered
            self.deliver(connection, Subscribed(self.pool_is_cold, self.now - self.pool_started_at))
            for notice in self.notices[said["cursor"] :]:
                self.deliver(connection, notice)
        elif event == "poll":
            self.deliver(connection, GaugesRead(said["ticket"], (0.5, 1.0)))
        elif event == "spawn":
            self.start_run(name, said)
        elif event in ("supply", "pass") and run and run.state == "blocked":
            if event == "supply":
                assert b64decode(said["arg"]) == self.replies[name], "not the reply to this call"
            elif said["cursor"] != run.cursor:
                return  # of an earlier call
            run.state = "running"

    def start_run(self, name, said):
        run = self.runs.get(name)
        attempt = self.attempts[name]
        assert (said["entry"], b64decode(said["arg"])) == (f"m{attempt.method}", attempt.body)
        if run and run.state != "over":
            return
        assert run is None or attempt.kind == "idempotent", "run again"
        if attempt.answers or not attempt.response_pending:
            self.send_notice(RunEndedNotice, name, Outcome.NOT_STARTED, 0, b"")
            self.runs[name] = Run(state="over", key=attempt.key)
            return
        others = [each for each in self.attempts.values() if each.key == attempt.key and each.has_run]
        window = self.settings[f"methods.{attempt.method}.window"]
        if attempt.kind == "keyed":
            assert all(each.arrived_at + window < attempt.arrived_at for each in others), "effect twice"
        if self.drain_notice_at is not None:
            grace_ends_at = self.drain_notice_at + self.settings["drain_grace"]
            assert attempt.arrived_at <= grace_ends_at, "ran what came past the grace"
        attempt.has_run = True
        self.runs[name] = self.active_runs[name] = Run(state="running", key=attempt.key)

    def send_notice(self, notice_type, *fields):
        self.notices.append(notice_type(len(self.notices) + 1, *fields))
        self.notices_numbered = max(self.notices_numbered, len(self.notices))
        if self.pool_connection and self.connections.get(self.pool_connection) == "open":
            self.deliver(self.pool_connection, self.notices[-1])

    def end_run(self, name, outcome):
        run = self.runs[name]
        run.state = "over"
        self.active_runs.pop(name, None)
        result = self.rng.randbytes(6) if outcome is Outcome.OK else b""
        if result:
            self.results.add((run.key, result))
        self.send_notice(RunEndedNotice, name, outcome, RUN_TIME_US, result)

    def block_at_call(self, name):
        """The run awaits a call."""
        run = self.runs[name]
        run.state = "blocked"
        run.cursor = len(self.notices) + 1
        run.call_never_ran = True
        run.calls += 1
        self.send_notice(RunAwaitingCall, name, b"call %d" % run.calls)

    def lose_pool_connection(self):
        if self.connections.get(self.pool_connection) == "open":
            self.lose_connection(self.pool_connection)

    def restart_pool(self):
        """The worker pool dies, and its runs with it."""
        self.lose_pool_connection()
        self.pool_started_at = self.now
        self.pool_is_cold = True
        self.notices = []
        for run in self.active_runs.values():
            run.state = "over"
        self.active_runs = {}

    # ---- The store

    def on_store_call(self, connection, data):
        name = data.split()[1].decode()
        run = self.runs[name]
        assert run.state != "running", "a call where none is waited for"
        assert run.call_never_ran or self.attempts[name].kind == "idempotent", "call repeated without proof"
        assert not self.calls[connection], "two calls on a connection"
        run.call_never_ran = False
        self.calls[connection][name] = self.rng.randbytes(5)
        self.replies[name] = None

    def store_reply(self, connection, name, outcome):
        body = self.calls[connection].pop(name)
        self.runs[name].call_never_ran = outcome.never_ran
        self.replies[name] = body
        reply = StoreReply(name, outcome, body if outcome is Outcome.OK else b"")
        odd = self.rng.random()
        if odd < 0.1:
            self.deliver(connection, StoreReply("0" * 16, Outcome.OK, b"another's"))
        self.deliver(connection, reply)
        if odd > 0.9:
            self.deliver(connection, StoreReply(name, Outcome.OK, b"a copy"))

    def lose_store_connection(self, connection):
        self.calls[connection] = {}
        self.lose_connection(connection)

    # ---- The rules that are not checked as the core acts

    def check(self):
        self.unanswered = {
            name: attempt
            for name, attempt in self.unanswered.items()
            if attempt.response_pending and not attempt.answers
        }
        for name, attempt in self.unanswered.items():
            assert self.now <= attempt.due + 2 * LATE_US, f"lost: {name} {attempt}"
        cache = self.core.idempotency
        assert cache.result_bytes == sum(len(entry.result) for entry in cache.with_result)
        assert cache.result_bytes <= self.limits.cached_results
        assert not self.reports or self.now - self.reports[-1][0] < 2_000 * MS or self.ended


EFFECT_METHODS = {
    effects.PublishUsage: "on_publish_usage",
    effects.PublishEvidence: "on_publish_evidence",
    effects.KeyLeaseCommand: "on_key_lease_command",
    effects.Read: "on_read",
    effects.Connect: "on_connect",
    effects.Send: "on_send",
    effects.SendBefore: "on_send_before",
    effects.Close: "on_close",
    effects.Drop: "on_drop",
    effects.SendReport: "on_send_report",
    effects.Log: "on_log",
    effects.StopListening: "on_stop_listening",
    effects.End: "on_end",
}


def read_answer(data):
    """Kind, name, sequence number and arguments of an answer to a dispatcher."""
    reader = Reader(data[4:])
    head = reader.integer(I32) & 0xFF
    return head, reader.value(STRING), reader.integer(I32), reader.value(STRUCT)
