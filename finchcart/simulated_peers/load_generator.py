"""Load generator: clients that send RPCs to many nodes at a constant mean rate.

    python -m finchcart.simulated_peers.load_generator ADDRESS ... --rate R --seconds S --out FILE

The load is open loop: RPCs are sent at seeded random times, regardless of the answers. The module owns the
connections and records the outcome of each RPC. It only writes figures; it must never evaluate them.
"""

import argparse
import json
import random
import secrets
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from finchcart.simulated_peers.client import Client, ClientOutcome
from finchcart.simulated_peers.server import Address, parse_address, start_thread

RECONNECT_INTERVAL_S = 0.2
FOCUS_POLL_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.05
KEYED_FRACTION = 0.3  # fraction of the RPCs that call the method with idempotency keys
DUPLICATE_FRACTION = 0.05  # fraction of the keys that are sent to two nodes at once
ANSWER_WAIT_S = 5.0  # longer than the deadline of any RPC


class SentRpc(NamedTuple):
    """An RPC that was sent and is not answered yet."""

    sent_at: float
    method: str
    key: str | None


class Caller:
    """A connection to one node; a lost connection is reopened."""

    def __init__(self, address: Address, load_generator: "LoadGenerator") -> None:
        self.address = address
        self.load_generator = load_generator
        self.lock = threading.Lock()
        self.client: Client | None = None
        self.sent: dict[tuple[Client, int], SentRpc] = {}
        start_thread(self._keep_connected)

    def _keep_connected(self) -> None:
        while True:
            with suppress(OSError, EOFError, ValueError):
                client = Client(self.address)
                client.sock.settimeout(None)
                self.client = client
                self._receive_answers(client)
            self.client = None
            with self.lock:
                lost = list(self.sent.values())
                self.sent = {}
            for rpc in lost:
                self.load_generator.record_outcome(ClientOutcome.NO_ANSWER, 0.0, key=rpc.key)
            time.sleep(RECONNECT_INTERVAL_S)

    def _receive_answers(self, client: Client) -> None:
        while True:
            answer = client.answer()
            if answer.name == "closing":
                self.client = None  # sends no new RPCs here, but still receives answers
            if answer.name != "submit":
                continue
            with self.lock:
                rpc = self.sent.pop((client, answer.sequence), None)
            if rpc is not None:
                self.load_generator.record_outcome(
                    answer.outcome, time.monotonic() - rpc.sent_at, rpc.method, rpc.key
                )

    def send(self, method: str, body: bytes, key: str | None, **extra_fields: str) -> None:
        """Send one RPC; without a connection, record the outcome `NO_CONNECTION`."""
        client = self.client
        if client is None:
            self.load_generator.record_outcome(ClientOutcome.NO_CONNECTION, 0.0, key=key)
            return
        with self.lock, suppress(OSError):  # the reading thread records RPCs on a lost connection
            self.sent[client, client.sequence + 1] = SentRpc(time.monotonic(), method, key)
            client.submit(method, body, key, **extra_fields)


class LoadGenerator:
    """Sends RPCs of two methods to all nodes.

    `connections` is the number of connections to each node. `focus` is the path of a JSON file with a list of
    node indexes: while the file exists, all RPCs go to these nodes.
    """

    def __init__(
        self, addresses: list[Address], connections: int, seed: int, focus: str | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.outcomes: Counter[str] = Counter()  # keys: outcome, and "method outcome"
        self.latencies: list[float] = []  # latencies of RPCs with outcome OK, in seconds
        self.connections = connections
        self.focus = focus
        self.focus_checked_at = 0.0
        self.target_nodes: list[int] | None = None
        self.callers = [Caller(address, self) for address in addresses for _ in range(connections)]

    def record_outcome(self, outcome: str, latency: float, method: str = "", key: str | None = None) -> None:
        """Count an RPC that ended; `latency` is in seconds."""
        with self.lock:
            self.outcomes[outcome] += 1
            if method:
                self.outcomes[f"{method} {outcome}"] += 1
            if outcome == ClientOutcome.OK:
                self.latencies.append(latency)

    def target_callers(self) -> list[Caller]:
        """Return the callers to choose from for the next RPC."""
        now = time.monotonic()
        if self.focus and now - self.focus_checked_at > FOCUS_POLL_INTERVAL_S:
            self.focus_checked_at = now
            path = Path(self.focus)
            self.target_nodes = json.loads(path.read_text(encoding="utf-8")) if path.exists() else None
        if not self.target_nodes:
            return self.callers
        return [
            self.callers[node * self.connections + connection]
            for node in self.target_nodes
            for connection in range(self.connections)
        ]

    def run(self, rate: float, seconds: float) -> None:
        """Send RPCs at a mean rate of `rate` a second for `seconds` seconds."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            time.sleep(max(0.0, due - time.monotonic()))
            keyed = self.random.random() < KEYED_FRACTION
            callers = self.target_callers()
            connected = [caller for caller in callers if caller.client is not None]
            self.submit(connected or callers, keyed)
            due += self.random.expovariate(rate)

    def submit(self, callers: list[Caller], keyed: bool) -> None:
        """Send one RPC through a random one of the callers."""
        method = "book" if keyed else "look-up"
        key = secrets.token_hex(16) if keyed else None
        self.random.choice(callers).send(method, b"x" * 100, key)

    def statistics(self) -> dict:
        """Return the counts by outcome, and the median and p99 latency in milliseconds."""
        with self.lock:
            latencies = sorted(self.latencies) or [0.0]
            return {
                **self.outcomes,
                "median_ms": 1000 * latencies[len(latencies) // 2],
                "p99_ms": 1000 * latencies[len(latencies) * 99 // 100],
            }


class KeyAttempts:
    """The number of attempts of a key, and the caller that sent the last one."""

    def __init__(self) -> None:
        self.count = 0
        self.last_caller: Caller | None = None


class KeyedLoadGenerator(LoadGenerator):
    """Sends only RPCs with idempotency keys; the body of each RPC is its key.

    An RPC whose outcome is not OK is retried through another caller, up to `max_attempts` attempts in all.
    Some RPCs are also sent as a duplicate through a second caller at the same time.
    """

    def __init__(
        self,
        addresses: list[Address],
        connections: int,
        seed: int,
        focus: str | None = None,
        max_attempts: int = 3,
    ) -> None:
        self.max_attempts = max_attempts
        self.retries: list[tuple[float, str]] = []  # (due time, key)
        self.answered: dict[str, list[str]] = {}  # key -> outcomes
        self.attempts: dict[str, KeyAttempts] = {}
        super().__init__(addresses, connections, seed, focus)

    def submit(self, callers: list[Caller], keyed: bool) -> None:
        """Send the retries that are due, and one RPC with a new key."""
        now = time.monotonic()
        with self.lock:
            due = [key for when, key in self.retries if when <= now]
            self.retries = [retry for retry in self.retries if retry[0] > now]
        for key in due:
            self._send(callers, key, r="1")
        key = secrets.token_hex(16)
        self.attempts[key] = KeyAttempts()
        self._send(callers, key)
        if self.random.random() < DUPLICATE_FRACTION:
            self._send(callers, key)

    def _send(self, callers: list[Caller], key: str, **extra_fields: str) -> None:
        attempts = self.attempts[key]
        others = [caller for caller in callers if caller is not attempts.last_caller] or callers
        attempts.count += 1
        attempts.last_caller = self.random.choice(others)
        attempts.last_caller.send("book", key.encode(), key, **extra_fields)

    def record_outcome(self, outcome: str, latency: float, method: str = "", key: str | None = None) -> None:
        """Count an RPC that ended, and schedule a retry if its outcome is not OK."""
        super().record_outcome(outcome, latency, method)
        if key is None:
            return
        with self.lock:
            self.answered.setdefault(key, []).append(outcome)
            if outcome != ClientOutcome.OK and self.attempts[key].count < self.max_attempts:
                self.retries.append((time.monotonic() + RETRY_DELAY_S, key))

    def statistics(self) -> dict:
        """Return the figures of `LoadGenerator`, counts of keys, and the outcomes of keys answered OK."""
        with self.lock:
            first = [outcomes for outcomes in self.answered.values() if outcomes[0] == ClientOutcome.OK]
            later = [
                outcomes
                for outcomes in self.answered.values()
                if outcomes[0] != ClientOutcome.OK and ClientOutcome.OK in outcomes
            ]
        return {
            **super().statistics(),
            "keys": len(self.answered),
            "ok at first": len(first),
            "ok by a repeat": len(later),
            "never ok": len(self.answered) - len(first) - len(later),
            "answered": {
                key: outcomes for key, outcomes in self.answered.items() if ClientOutcome.OK in outcomes
            },
        }


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("where", nargs="+")
    parser.add_argument("--rate", type=float, required=True, help="RPCs per second, over all nodes")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--links", type=int, default=1, help="connections to each node")
    parser.add_argument("--out", required=True)
    parser.add_argument("--focus", help="JSON file with the indexes of the nodes to send to, while it exists")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keyed", action="store_true", help="send only RPCs with idempotency keys, and retry at other nodes"
    )
    return parser.parse_args()


def main() -> None:
    """Generate the load and write its figures to the output file."""
    arguments = parse_arguments()
    load_type = KeyedLoadGenerator if arguments.keyed else LoadGenerator
    addresses = [parse_address(text) for text in arguments.where]
    load = load_type(addresses, arguments.links, arguments.seed, arguments.focus)
    load.run(arguments.rate, arguments.seconds)
    time.sleep(ANSWER_WAIT_S)
    Path(arguments.out).write_text(json.dumps(load.statistics()), encoding="utf-8")


if __name__ == "__main__":
    main()
