"""Run minimal peers of the node that benchmarks/rpc.py measures.

The worker pool, the store and the registry share one process; the callers run in another. The peers do as
little work as possible, so that two cores can load one node fully. They must never share a process with the
node, and they check no protocol rules, which is the task of the tests.
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
CLOSING_KIND = 4  # message kind by which the node closes the connection to new RPCs
REPLY_KIND = 2
OUTCOMES = {
    0: ClientOutcome.OK,
    1: ClientOutcome.REJECTED,
    2: ClientOutcome.FAILED,
}  # by the number of the field that a reply sets
OTHER = "other"
CORES = 512
POOL_AGE_MS = 3_600_000
MAX_REPORT_BYTES = 200  # of a datagram from the node to the registry
BODY = b"x" * 200
# Time of the warm-up, in which connections and histograms settle, as a fraction of the measured time.
WARM_UP_FRACTION = 0.2
SETTLE_S = 3
LOWEST_PRIORITY = 19


def read_until_closed(client: Client) -> None:
    """Read answers and discard them until the node closes the connection."""
    with suppress(OSError, EOFError):
        while True:
            client.answer()
    client.sock.close()


def serve(address: Address, handle: Callable[[socket.socket], None]) -> None:
    """Accept connections in a thread, and run `handle(connection)` in a new thread for each."""
    listener = socket.create_server(address, backlog=256)

    def accept() -> NoReturn:
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


# ---- worker pool, store and registry


class LeanWorkerPool:
    """A worker pool whose runs all succeed after `work` seconds.

    Each run of a method in `calling` makes one call to the store after half of that time.
    """

    def __init__(self, address: Address, calling: Collection[str], work: float) -> None:
        self.calling = calling
        self.work = work
        self.condition = threading.Condition()
        self.due: list[tuple[float, str]] = []  # heap of (due time, run)
        self.connection: socket.socket | None = None
        self.cursor = 0
        self.will_call: dict[str, bool] = {}  # run -> whether it has yet to make its call
        self.bodies: dict[str, str] = {}
        serve(address, self._read)
        threading.Thread(target=self._continue_runs, daemon=True).start()

    def _write(self, **message: object) -> None:
        """Send a message to the node; the caller of this method must hold the condition."""
        self.connection.sendall(json.dumps(message).encode() + b"\n")

    def _notify(self, event: str, **message: object) -> None:
        """Send a notice with the next cursor; the caller of this method must hold the condition."""
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
    """Answer each call on a connection immediately with the body of the call."""
    lines = connection.makefile("rb")
    for line in lines:
        words = line.split()
        if words[0] == b"CALL":
            body = lines.read(int(words[3]) + 2)[:-2]
            connection.sendall(b"%s OK %d\r\n%s\r\n" % (words[1], len(body), body))


def serve_peers(addresses: Mapping[str, Address], calling: Collection[str], work: float) -> NoReturn:
    """Act as the worker pool, the store and the registry of a node until the process is killed."""
    LeanWorkerPool(addresses["pool"], calling, work)
    serve(addresses["store"], serve_store)
    registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    registry.bind(addresses["roster"])
    while True:
        registry.recv(MAX_REPORT_BYTES)


def keep_core_busy(cpu: int) -> NoReturn:
    """Run a busy loop on a core at the lowest priority, so that the core never sleeps.

    A core that sleeps between two messages wakes up with cold caches, which would distort the measurement.
    """
    os.nice(LOWEST_PRIORITY)
    os.sched_setaffinity(0, {cpu})
    while True:
        pass


# ---- callers


class LeanCaller:
    """One connection of a caller, with the RPCs sent on it that are still unanswered."""

    def __init__(self, address: Address, on_answer: Callable[[str, float], None]) -> None:
        self.sock = socket.create_connection(address)
        self.on_answer = on_answer
        self.sent: dict[int, float] = {}  # sequence number -> send time
        self.sequence = 0
        self.closing = False  # whether the node accepts no further RPCs on this connection
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
            self._handle_message(stream.read(LENGTH.unpack(head)[0]))
            if self.closing and not self.sent:
                self.sock.shutdown(socket.SHUT_RDWR)
                return

    def _handle_message(self, data: bytes) -> None:
        """Handle one message, and decode only the fields that the benchmark needs."""
        now = time.monotonic()
        kind = data[3]
        if kind == CLOSING_KIND:
            self.closing = True
            return
        offset = 8 + LENGTH.unpack(data[4:8])[0]  # end of the method's name
        outcome = OTHER
        if kind == REPLY_KIND:
            field_number = FIELD_NUMBER.unpack(data[offset + 5 : offset + 7])[0]
            outcome = OUTCOMES.get(field_number, OTHER)
        sent_at = self.sent.pop(LENGTH.unpack(data[offset : offset + 4])[0])
        self.on_answer(outcome, now - sent_at)


class Load:
    """An open-loop load: sends RPCs at seeded random times over a number of connections.

    RPCs are sent whether or not earlier ones are answered. `methods` are two pairs: the name of a method, and
    whether its RPCs have idempotency keys.
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
        self.callers = [LeanCaller(address, self._count_answer) for _ in range(connections)]
        self.closing_callers: list[LeanCaller] = []

    def _count_answer(self, outcome: str, latency: float) -> None:
        self.outcomes[outcome] += 1
        if outcome == ClientOutcome.OK:
            self.latencies.append(latency)

    def run(self, seconds: float) -> None:
        """Send RPCs for this number of seconds."""
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
            self.callers[number] = LeanCaller(self.address, self._count_answer)
        method, has_key = self.methods[self.random.random() < 0.5]
        fields = {
            "c": method,
            "i": f"{self.random.getrandbits(64):016x}",
            "s": str(time.time_ns() // 1_000_000),
            "f": str(number),
            "h": "20.00",
            "m": "24.5",
            "p": f"{self.random.random():.4f}",
        }
        if has_key:
            fields["k"] = f"{self.random.getrandbits(128):032x}"
        self.callers[number].send(fields, BODY)

    @property
    def unanswered(self) -> int:
        """The number of RPCs that have no answer yet."""
        return sum(len(caller.sent) for caller in self.callers + self.closing_callers)

    def settle(self) -> int:
        """Wait up to `SETTLE_S` seconds for outstanding answers; return the number still missing."""
        end = time.monotonic() + SETTLE_S
        while self.unanswered and time.monotonic() < end:
            time.sleep(0.01)
        return self.unanswered


def serve_load(
    pipe: Connection, address: Address, connections: int, methods: Sequence[tuple[str, bool]], seed: int
) -> NoReturn:
    """Run each load (rate, seconds) received from the pipe, and send back its measurements.

    This function is the main function of the callers' process. It sends "begin" after the warm-up.
    """
    while True:
        rate, seconds = pipe.recv()
        load = Load(address, connections, rate, methods, seed)
        load.run(WARM_UP_FRACTION * seconds)
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
