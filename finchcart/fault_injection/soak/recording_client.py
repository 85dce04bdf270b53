"""Clients of a run with faults that keep a record of each RPC: when it was written, and every answer to it.

Owns the connections and the records. It must never judge: recorded_rules.py does. A client keeps to the
protocol: it sends no new RPC on a connection that the node announced to close, and goes on with all others
until they end.
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
    """One method, as clients use it."""

    name: str
    kind: str  # "read_like", "idempotency_key" or "non_idempotent", as the settings have it
    deadline_s: float
    window_s: float


class RecordedAnswer(NamedTuple):
    """An answer, and when its client read it."""

    at: float
    outcome: ClientOutcome
    body: bytes
    stream_end: int = 0  # bytes of the connection up to the end of this answer
    written_at: float | None = None  # by the node, as far as it was traced

    @property
    def given_at(self) -> float:
        """When the node gave it: a client that is short of processor time reads it later."""
        return self.at if self.written_at is None else min(self.at, self.written_at)


@dataclass
class ConnectionRecord:
    """One connection to a node. Times are on the monotonic clock."""

    node: str
    opened_at: float
    port: int  # of the client's end
    closing_at: float | None = None  # the node's notice that it will close was read
    ended_at: float | None = None
    end_reason: str = ""


@dataclass
class ClientRpcRecord:
    """One try of an RPC."""

    name: str
    method: MethodProfile
    body: bytes
    key: str | None
    memory_kb: float
    written_at: float
    connection: ConnectionRecord
    stream_end: int = 0  # bytes of the connection up to the end of this RPC
    answers: list[RecordedAnswer] = field(default_factory=list)


class ClientLoad(NamedTuple):
    """How one client sends."""

    pause_s: float  # mean time between its RPCs
    most_open: int
    rest_part: float = 0.0  # of its RPCs after which it rests until the node ends the connection, or 1 s


class RecordingClient:
    """One dispatcher: a connection at a time to one node, and threads that write and read on it.

    `unix_time()` gives the time that RPCs are stamped with.
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
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more; answers still come."""
        self._stopped.set()

    def join(self, timeout_s: float) -> None:
        """Wait until the last connection is over."""
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
            self._use(client, connection)

    def _use(self, client: Client, connection: ConnectionRecord) -> None:
        """Send on a connection until it is announced to close, ends, or the client is stopped."""
        open_rpcs: dict[int, ClientRpcRecord] = {}
        reader = threading.Thread(target=self._read, args=(client, connection, open_rpcs), daemon=True)
        reader.start()
        while connection.ended_at is None and connection.closing_at is None and not self._stopped.is_set():
            if len(open_rpcs) < self._load.most_open and not self._submit(client, connection, open_rpcs):
                break
            pause_s = self._random.expovariate(1 / self._load.pause_s)
            self._stopped.wait(1.0 if self._random.random() < self._load.rest_part else pause_s)
        longest_s = max(method.deadline_s for method in self._methods)
        end = time.monotonic() + longest_s + 1.0
        while open_rpcs and connection.ended_at is None and time.monotonic() < end:
            time.sleep(0.002)
        with suppress(OSError):
            client.sock.shutdown(1)  # the node closes in its turn
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
            del open_rpcs[sequence]  # it was not written whole
            return False
        record.written_at = time.monotonic()
        record.stream_end = client.submitted_bytes
        self.records.append(record)
        return True

    def _key_and_body(self, method: MethodProfile, name: str) -> tuple[str, bytes]:
        """Return a new key, or that of an RPC that was sent not long ago, with its body."""
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
                    connection.end_reason = f"an answer to nothing: {answer.sequence}"
                    continue
                received = RecordedAnswer(now, answer.outcome, answer.body, client.received_bytes)
                record.answers.append(received)
        except (OSError, EOFError) as error:
            connection.end_reason = connection.end_reason or type(error).__name__
        except Exception as error:
            connection.end_reason = f"unreadable: {error}"
        connection.ended_at = time.monotonic()
