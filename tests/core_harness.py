"""Connects one core to simulated peers, without sockets, and checks invariants at each step."""

import json
import random
from collections import Counter, deque

from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.node import effects
from finchcart.node.addresses import NodeAddresses
from finchcart.node.core import Core
from finchcart.node.fleet_inputs import key_lease_client_input
from finchcart.node.inputs import CloseAttempted, MessagesReceived, Start, TimersDue
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionEnded,
    ConnectionRefused,
    WriteBlocked,
    WriteResumed,
)
from finchcart.thrift.frontend import ThriftFrontend
from tests.dispatchers_double import DispatchersDouble
from tests.pool_double import PoolDouble
from tests.store_double import StoreDouble
from tests.typed_settings import typed

MS = 1000
NOW = 1_700_000_000_000_000


class CoreHarness:
    """One core, the simulated dispatchers, worker pool, store and registry, and their connections."""

    dispatchers_type = DispatchersDouble

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
        self.limits = Limits(memory_bytes=192 * 2**20, descriptors=200, stop_timeout_us=3_000 * MS, **limits)
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
        # Output of the core
        self.key_lease_inputs = []
        self.evidence = []
        self.usage = []
        self.reports = []  # to the registry: (time, data)
        self.log_lines = []
        # State by connection number: "connecting", "open", "refused", "shut" (closed by the core if idle),
        # "cut" (ended by the peer), "unread" (ended by a protocol error) or "closed"
        self.connections = {}
        self.reads_requested = Counter()
        self.inboxes = {}  # unread messages
        self.write_blocked = set()
        self.closing = set()
        self.write_block_probability = 0.01  # probability that a send blocks because the peer does not read
        self.commands = []  # sent by the core to worker pool and store, and still unread: (connection, data)
        self.dispatchers = self.dispatchers_type(self)
        self.pool = PoolDouble(self)
        self.store = StoreDouble(self)
        self.drain_notice_at = None
        self.ended = False
        self.feed(Start())

    def feed(self, first_input):
        """Passes an input to the core, and carries out the effects; deferred inputs follow."""
        inputs = deque([first_input])
        while inputs:
            received = inputs.popleft()
            if self.limiters:
                self.limiters.set_clock(self.now)
            if self.core.key_leases:
                self.core.key_leases.now_us = self.now
            for effect in self.core.reduce(self.now, received):
                if isinstance(effect, effects.Defer):
                    inputs.append(effect.input)
                elif isinstance(effect, effects.CloseIfIdle):
                    closed = self.try_close(effect.connection)
                    inputs.appendleft(CloseAttempted(effect.connection, closed))
                else:
                    getattr(self, EFFECT_METHODS[type(effect)])(*effect)

    def deliver(self, connection, message):
        """Adds a message to the connection's inbox."""
        self.inboxes.setdefault(connection, deque()).append(message)

    def step(self, elapsed_us):
        """Advances the time, runs due timers, has the peers read commands, and delivers requested reads."""
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
                accepts = self.pool.accepts if to_pool else self.store.accepts
                self.connections[connection] = "open" if accepts else "refused"
                if not accepts:
                    self.feed(ConnectionRefused(connection, "Connection refused"))

    def read_commands(self):
        commands = self.commands
        self.commands = []
        for connection, data in commands:
            if self.connections.get(connection) == "open" and connection == self.pool.connection:
                self.pool.read_command(connection, json.loads(data))
            elif self.connections.get(connection) == "open":
                self.store.read_call(connection, data)

    def resume_writes(self):
        for connection in list(self.write_blocked):
            if self.connections[connection] == "open" and self.rng.random() < 0.2:
                self.write_blocked.discard(connection)
                self.feed(WriteResumed(connection))

    def deliver_reads(self):
        while any(self.inboxes.get(connection) for connection in self.reads_requested):
            connection = next(number for number in self.reads_requested if self.inboxes.get(number))
            self.reads_requested[connection] -= 1
            self.reads_requested += Counter()  # removes connections without a requested read
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
            assert self.reads_requested[connection] <= self.limits.read_ahead, "too many reads requested"

    def on_connect(self, connection, kind, address):
        assert address == getattr(self.addresses, kind), "connects to a wrong address"
        self.connections[connection] = "connecting"
        self.store.calls[connection] = {}
        if kind == "pool":
            previous = self.pool.connection
            is_free = previous is None or previous in self.closing or self.connections[previous] != "open"
            assert is_free, "two connections to the worker pool"
            self.pool.connection = connection

    def on_send(self, connection, data):
        if connection < 0:
            self.commands.append((connection, data))
        elif self.connections.get(connection) in ("open", "unread"):
            self.dispatchers.on_reply(connection, data)
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
        """Closes a connection immediately; data that was written and not read yet is lost."""
        self.commands = [command for command in self.commands if command[0] != connection]
        self.store.calls[connection] = {}
        self.on_close(connection)

    def try_close(self, connection):
        """Closes a connection if it is idle; returns whether it was."""
        if self.inboxes.get(connection) or connection in self.write_blocked:
            return False
        if self.connections.get(connection) == "open":
            self.connections[connection] = "shut"  # messages that arrive from now on cross the close
        return True

    def on_send_report(self, address, data):
        assert address == self.addresses.registry
        self.reports.append((self.now, data))

    def on_log(self, text):
        self.log_lines.append(text)

    def on_stop_listening(self):
        times = self.core.shutdown.times
        is_finish_period = times is not None and self.now >= times.kill_at - self.limits.finish_period_us
        assert is_finish_period or not self.dispatchers.responses_pending()

    def on_end(self):
        assert self.drain_notice_at is not None
        read = [name for name in self.dispatchers.responses_pending() if not self.dispatchers.is_unread(name)]
        assert read == [], "ended while RPCs that were read were not answered"
        self.ended = True

    # ---- Lost connections

    def lose_connection(self, connection, reason=""):
        """Ends a connection; data in transit in both directions is lost. `reason` is a protocol error's."""
        self.connections[connection] = "unread" if reason else "cut"
        self.inboxes.pop(connection, None)
        del self.reads_requested[connection]
        self.commands = [command for command in self.commands if command[0] != connection]
        self.feed(ConnectionEnded(connection, ProtocolError(reason) if reason else None))

    # ---- Invariants that are checked after each step, not at single effects

    def check(self):
        self.dispatchers.check()
        cache = self.core.idempotency
        assert cache.result_bytes == sum(len(entry.result) for entry in cache.with_result)
        assert cache.result_bytes <= self.limits.cached_results_bytes
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
