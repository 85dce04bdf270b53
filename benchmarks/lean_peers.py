"""Lean peers of one node under a steady load: those that it calls in one process, callers in another.

Owns the processes round the node that is measured. They are lean, so that two cores drive what one node
carries; they must never share a process with the node, nor check rules: tests do that.
"""

import heapq
import json
import os
import random
import socket
import struct
import threading
import time
from base64 import b64encode
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from contextlib import suppress
from multiprocessing.connection import Connection
from typing import NoReturn

from finchcart.simulated_peers.client import Client, ClientOutcome
from finchcart.thrift import codec

Address = tuple[str, int]

LENGTH = struct.Struct(">i")
FIELD_NUMBER = struct.Struct(">h")
CLOSING_KIND = 4  # of a message that closes the connection to new RPCs
REPLY_KIND = 2
OUTCOMES = {
    0: ClientOutcome.OK,
    1: ClientOutcome.REJECTED,
    2: ClientOutcome.FAILED,
}  # by the field of a reply
OTHER = "other"
CORES = 512
POOL_AGE_MS = 3_600_000
LONGEST_REPORT = 200  # bytes, of a node to the registry
BODY = b"x" * 200
WARM_UP_PART = 0.2  # of the time, in which connections and histograms settle
SETTLE_S = 3
LOWEST_PRIORITY = 19


def read_until_closed(client: Client) -> None:
    """Read answers and drop them until the node closes the connection."""
    with suppress(OSError, EOFError):
        while True:
            client.answer()
    client.sock.close()


def serve(address: Address, handle: Callable[[socket.socket], None]) -> None:
    """Accept connections; `handle(connection)` has a thread for each."""
    listener = socket.create_server(address, backlog=256)

    def accept() -> NoReturn:
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


# ---- worker pool, store and registry


class LeanWorkerPool:
    """Runs take `work` seconds and end well; those of methods in `calling` make one call at half time."""

    def __init__(self, address: Address, calling: Collection[str], work: float) -> None:
        self.calling = calling
        self.work = work
        self.condition = threading.Condition()
        self.due: list[tuple[float, str]] = []  # heap of (when, run)
        self.connection: socket.socket | None = None
        self.cursor = 0
        self.will_call: dict[str, bool] = {}  # run -> whether its call is still to come
        self.bodies: dict[str, str] = {}
        serve(address, self._read)
        threading.Thread(target=self._continue_runs, daemon=True).start()

    def _write(self, **message: object) -> None:
        """Write a message; the caller holds the condition."""
        self.connection.sendall(json.dumps(message).encode() + b"\n")

    def _notify(self, event: str, **message: object) -> None:
        """Write a numbered notice; the caller holds the condition."""
        self.cursor += 1
        self._write(event=event, cursor=self.cursor, **message)

    def _continue_later(self, run: str) -> None:
        heapq.heappush(self.due, (time.monotonic() + self.work / 2, run))
        self.condition.notify()

    def _read(self, connection: socket.socket) -> None:
        for line in connection.makefile("rb"):
            message = json.loads(line)
            with self.condition:
                self._handle(connection, message)

    def _handle(self, connection: socket.socket, message: dict) -> None:
        event = message["event"]
        run = message.get("handle")
        if event == "spawn":
            self.will_call[run] = message["entry"] in self.calling
            self.bodies[run] = message["arg"]
            self._continue_later(run)
        elif event in ("supply", "pass"):
            self._continue_later(run)
        elif event == "poll":
            busy = len(self.bodies)
            gauges = [min(1.0, busy / CORES), busy, 0.0, 0]
            self._write(event="polled", ticket=message["ticket"], figures=gauges)
        elif event == "bind":
            self.connection = connection
            self._write(event="bound", fate="old", lasted=POOL_AGE_MS)

    def _continue_runs(self) -> NoReturn:
        with self.condition:
            while True:
                if not self.due or self.due[0][0] > time.monotonic():
                    self.condition.wait(self.due[0][0] - time.monotonic() if self.due else None)
                    continue
                _, run = heapq.heappop(self.due)
                if self.will_call[run]:
                    self.will_call[run] = False
                    self._notify("blocked", handle=run, arg=b64encode(b"about it").decode())
                else:
                    self._finish(run)

    def _finish(self, run: str) -> None:
        del self.will_call[run]
        body = self.bodies.pop(run)
        self._notify("finished", handle=run, fate="good", lasted=self.work * 1000, arg=body)


def serve_store(connection: socket.socket) -> None:
    """Answer each call of a connection at once with its body."""
    lines = connection.makefile("rb")
    for line in lines:
        words = line.split()
        if words[0] == b"CALL":
            body = lines.read(int(words[3]) + 2)[:-2]
            connection.sendall(b"%s OK %d\r\n%s\r\n" % (words[1], len(body), body))


def serve_peers(addresses: Mapping[str, Address], calling: Collection[str], work: float) -> NoReturn:
    """Be the worker pool, store and registry of a node until the process is ended."""
    LeanWorkerPool(addresses["pool"], calling, work)
    serve(addresses["store"], serve_store)
    registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    registry.bind(addresses["roster"])
    while True:
        registry.recv(LONGEST_REPORT)


def keep_core_busy(cpu: int) -> NoReturn:
    """Turn in the gaps that a core would sleep in, at the lowest priority.

    A core that sleeps between two messages wakes with cold caches, and the figures are then of that.
    """
    os.nice(LOWEST_PRIORITY)
    os.sched_setaffinity(0, {cpu})
    while True:
        pass


# ---- callers


class LeanCaller:
    """One connection of a caller: what was sent on it and is still unanswered."""

    def __init__(self, address: Address, done: Callable[[str, float], None]) -> None:
        self.sock = socket.create_connection(address)
        self.done = done
        self.sent: dict[int, float] = {}  # sequence number -> when
        self.sequence = 0
        self.closing = False  # no further RPC goes out here
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, fields: dict[str, str], body: bytes) -> None:
        """Send one RPC."""
        self.sequence += 1
        self.sent[self.sequence] = time.monotonic()
        self.sock.sendall(codec.submit_call(self.sequence, fields, body))

    def _read(self) -> None:
        stream = self.sock.makefile("rb")
        while True:
            head = stream.read(LENGTH.size)
            if len(head) < LENGTH.size:
                return
            self._take(stream.read(LENGTH.unpack(head)[0]))
            if self.closing and not self.sent:
                self.sock.shutdown(socket.SHUT_RDWR)
                return

    def _take(self, data: bytes) -> None:
        """Take one message, read no further than is needed."""
        now = time.monotonic()
        kind = data[3]
        if kind == CLOSING_KIND:
            self.closing = True
            return
        at = 8 + LENGTH.unpack(data[4:8])[0]  # behind the method's name
        outcome = OTHER
        if kind == REPLY_KIND:
            field_number = FIELD_NUMBER.unpack(data[at + 5 : at + 7])[0]
            outcome = OUTCOMES.get(field_number, OTHER)
        began = self.sent.pop(LENGTH.unpack(data[at : at + 4])[0])
        self.done(outcome, now - began)


class Load:
    """Open loop: RPCs go out at seeded random times over `connections` connections, whatever comes back.

    `methods` are two pairs of a name and whether its RPCs have idempotency keys.
    """

    def __init__(
        self,
        address: Address,
        connections: int,
        rate: float,
        methods: Sequence[tuple[str, bool]],
        seed: int,
    ) -> None:
        self.address = address
        self.rate = rate
        self.methods = methods
        self.random = random.Random(seed)
        self.latencies: list[float] = []
        self.outcomes: Counter[str] = Counter(dict.fromkeys((*OUTCOMES.values(), OTHER), 0))
        self.callers = [LeanCaller(address, self._done) for _ in range(connections)]
        self.closing_callers: list[LeanCaller] = []

    def _done(self, outcome: str, latency: float) -> None:
        self.outcomes[outcome] += 1
        if outcome == ClientOutcome.OK:
            self.latencies.append(latency)

    def run(self, seconds: float) -> None:
        """Send RPCs for so many seconds."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            wait = due - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            self._send_one()
            due += self.random.expovariate(self.rate)

    def _send_one(self) -> None:
        number = self.random.randrange(len(self.callers))
        if self.callers[number].closing:
            self.closing_callers.append(self.callers[number])
            self.callers[number] = LeanCaller(self.address, self._done)
        method, keyed = self.methods[self.random.random() < 0.5]
        fields = {
            "c": method,
            "i": f"{self.random.getrandbits(64):016x}",
            "s": str(time.time_ns() // 1_000_000),
            "f": str(number),
            "h": "20.00",
            "m": "24.5",
            "p": f"{self.random.random():.4f}",
        }
        if keyed:
            fields["k"] = f"{self.random.getrandbits(128):032x}"
        self.callers[number].send(fields, BODY)

    @property
    def unanswered(self) -> int:
        """The number of RPCs that wait for their answers."""
        return sum(len(caller.sent) for caller in self.callers + self.closing_callers)

    def settle(self) -> int:
        """Wait a while for the answers that are still to come; return how many never came."""
        end = time.monotonic() + SETTLE_S
        while self.unanswered and time.monotonic() < end:
            time.sleep(0.01)
        return self.unanswered


def serve_load(
    pipe: Connection, address: Address, connections: int, methods: Sequence[tuple[str, bool]], seed: int
) -> NoReturn:
    """In a process of its own: play each (rate, seconds) that the pipe brings, and send its figures."""
    while True:
        rate, seconds = pipe.recv()
        load = Load(address, connections, rate, methods, seed)
        load.run(WARM_UP_PART * seconds)
        load.latencies.clear()
        before = dict(load.outcomes)
        pipe.send("begin")
        load.run(seconds)
        unanswered = load.settle()
        pipe.send(
            {
                "latencies": sorted(load.latencies),
                "unanswered": unanswered,
                "how": {str(outcome): count - before[outcome] for outcome, count in load.outcomes.items()},
            }
        )
