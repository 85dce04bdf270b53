"""Simulated dispatchers that record when each RPC was written and every answer to it.

The records are checked by recorded_rules.py, not here. A client follows the protocol: after the node's
closing notice on a connection it sends no new RPC there, and it waits for the answers to its open RPCs.
"""

import random
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from finchcart.simulated_peers.client import Client, ClientOutcome
from finchcart.simulated_peers.server import Address

RECONNECT_S = 0.02
CLOSE_TIMEOUT_S = 0.2


class MethodProfile(NamedTuple):
    """The properties of a method that clients and checks need."""

    name: str
    kind: str  # value of `effect` in the settings: "read_like", "idempotency_key" or "non_idempotent"
    deadline_s: float
    window_s: float


class RecordedAnswer(NamedTuple):
    """An answer; `at` is the time at which the client read it."""

    at: float
    outcome: ClientOutcome
    body: bytes
    stream_end: int = 0  # position of the end of the answer in the byte stream of the connection
    written_at: float | None = None  # time at which the node wrote the answer, if that was traced

    @property
    def given_at(self) -> float:
        """When the node wrote the answer or, if that was not traced, when the client read it.

        The client may read the answer later than the node wrote it, for lack of CPU time.
        """
        return self.at if self.written_at is None else min(self.at, self.written_at)


@dataclass
class ConnectionRecord:
    """One connection to a node. Times are on the monotonic clock."""

    node: str
    opened_at: float
    port: int  # local port of the client
    closing_at: float | None = None  # time at which the client read the node's closing notice
    ended_at: float | None = None
    end_reason: str = ""


@dataclass
class ClientRpcRecord:
    """One attempt of an RPC and its answers."""

    name: str
    method: MethodProfile
    body: bytes
    key: str | None
    memory_kb: float
    written_at: float
    connection: ConnectionRecord
    stream_end: int = 0  # position of the end of the request in the byte stream of the connection
    answers: list[RecordedAnswer] = field(default_factory=list)


class ClientLoad(NamedTuple):
    """The load that one client generates."""

    mean_interval_s: float  # between RPCs
    max_open: int  # limit on the open RPCs of the client
    rest_probability: float = 0.0  # probability of a pause of 1 s after an RPC; the connection then idles


class RecordingClient:
    """One dispatcher: it has one connection at a time to one node, and one thread each to write and read.

    `unix_time()` returns the time stamp for RPCs.
    """

    def __init__(
        self,
        node: str,
        address: Address,
        methods: Sequence[MethodProfile],
        load: ClientLoad,
        seed: int,
        unix_time: Callable[[], float],
    ) -> None:
        self.records: list[ClientRpcRecord] = []
        self.connections: list[ConnectionRecord] = []
        self._node = node
        self._address = address
        self._methods = methods
        self._load = load
        self._random = random.Random(seed)
        self._unix_time = unix_time
        self._number = seed
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending RPCs."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more RPCs; answers to open RPCs are still recorded."""
        self._stopped.set()

    def join(self, timeout_s: float) -> None:
        """Wait until the last connection has ended, at most `timeout_s`."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                client = Client(self._address)
            except OSError:
                self._stopped.wait(RECONNECT_S)
                continue
            connection = ConnectionRecord(self._node, time.monotonic(), client.sock.getsockname()[1])
            self.connections.append(connection)
            self._send_rpcs(client, connection)

    def _send_rpcs(self, client: Client, connection: ConnectionRecord) -> None:
        """Send RPCs on a connection until it ends, a closing notice arrives or the client is stopped."""
        open_rpcs: dict[int, ClientRpcRecord] = {}
        reader = threading.Thread(target=self._read, args=(client, connection, open_rpcs), daemon=True)
        reader.start()
        while connection.ended_at is None and connection.closing_at is None and not self._stopped.is_set():
            if len(open_rpcs) < self._load.max_open and not self._submit(client, connection, open_rpcs):
                break
            pause_s = self._random.expovariate(1 / self._load.mean_interval_s)
            self._stopped.wait(1.0 if self._random.random() < self._load.rest_probability else pause_s)
        longest_s = max(method.deadline_s for method in self._methods)
        end = time.monotonic() + longest_s + 1.0
        while open_rpcs and connection.ended_at is None and time.monotonic() < end:
            time.sleep(0.002)
        with suppress(OSError):
            client.sock.shutdown(1)  # SHUT_WR; the node then closes its direction
        reader.join(CLOSE_TIMEOUT_S)
        client.sock.close()

    def _submit(
        self, client: Client, connection: ConnectionRecord, open_rpcs: dict[int, ClientRpcRecord]
    ) -> bool:
        method = self._random.choice(self._methods)
        name = f"{self._random.getrandbits(64):016x}"
        key = None
        body = name.encode()
        if method.kind == "idempotency_key":
            key, body = self._key_and_body(method, name)
        memory_kb = self._random.choice((5.0, 20.0, 40.0))
        sequence = client.sequence + 1
        stamp = str(int(self._unix_time() * 1000))
        record = ClientRpcRecord(name, method, body, key, memory_kb, time.monotonic(), connection)
        open_rpcs[sequence] = record
        try:
            client.submit(
                method.name, body, key, i=name, s=stamp, m=f"{memory_kb:.1f}", f=str(self._number % 1000)
            )
        except OSError:
            del open_rpcs[sequence]  # the request was not written completely
            return False
        record.written_at = time.monotonic()
        record.stream_end = client.submitted_bytes
        self.records.append(record)
        return True

    def _key_and_body(self, method: MethodProfile, name: str) -> tuple[str, bytes]:
        """Return a new key and body or, for a duplicate, those of a recent RPC."""
        earlier = [record for record in self.records[-8:] if record.key and record.method is method]
        if earlier and self._random.random() < 0.3:
            record = self._random.choice(earlier)
            return record.key, record.body
        return name * 2, name.encode()

    def _read(
        self, client: Client, connection: ConnectionRecord, open_rpcs: dict[int, ClientRpcRecord]
    ) -> None:
        client.sock.settimeout(None)
        try:
            while True:
                answer = client.answer()
                now = time.monotonic()
                if answer.name == "closing":
                    connection.closing_at = connection.closing_at or now
                    continue
                record = open_rpcs.pop(answer.sequence, None)
                if record is None:
                    connection.end_reason = f"answer without an open RPC: {answer.sequence}"
                    continue
                received = RecordedAnswer(now, answer.outcome, answer.body, client.received_bytes)
                record.answers.append(received)
        except (OSError, EOFError) as error:
            connection.end_reason = connection.end_reason or type(error).__name__
        except Exception as error:
            connection.end_reason = f"unreadable answer: {error}"
        connection.ended_at = time.monotonic()
