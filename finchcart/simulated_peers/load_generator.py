"""Clients that put a steady load on many nodes.

    python -m finchcart.simulated_peers.load_generator ADDRESS ... --rate R --seconds S --out FILE

Owns the connections and the outcome of each RPC. Open loop: RPCs go out at seeded random times, whatever
comes back. It must never judge: it writes figures.
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
FOCUS_READ_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.05
KEYED_PART = 0.3  # of the RPCs that are of the method with idempotency keys
DUPLICATE_PART = 0.05  # of the keys that go to two nodes at once
LONGEST_DEADLINE_S = 5.0  # and more


class SentRpc(NamedTuple):
    """An RPC that waits for its answer."""

    began: float
    method: str
    key: str | None


class Caller:
    """A connection to one node, opened again when it ends."""

    def __init__(self, address: Address, load: "LoadGenerator") -> None:
        self.address = address
        self.load = load
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
                self.load.done(ClientOutcome.NO_ANSWER, 0.0, key=rpc.key)
            time.sleep(RECONNECT_INTERVAL_S)

    def _receive_answers(self, client: Client) -> None:
        while True:
            answer = client.answer()
            if answer.name == "closing":
                self.client = None  # nothing new goes here; answers still come
            if answer.name != "submit":
                continue
            with self.lock:
                rpc = self.sent.pop((client, answer.sequence), None)
            if rpc is not None:
                self.load.done(answer.outcome, time.monotonic() - rpc.began, rpc.method, rpc.key)

    def send(self, method: str, body: bytes, key: str | None, **more: str) -> None:
        """Send one RPC, or count it as one without a connection."""
        client = self.client
        if client is None:
            self.load.done(ClientOutcome.NO_CONNECTION, 0.0, key=key)
            return
        with self.lock, suppress(OSError):  # a lost connection is counted by the thread that reads
            self.sent[client, client.sequence + 1] = SentRpc(time.monotonic(), method, key)
            client.submit(method, body, key, **more)


class LoadGenerator:
    """RPCs of two methods to all nodes.

    `connections` is the number to each node; `focus` names a JSON file with the numbers of the nodes that all
    RPCs go to while it is there.
    """

    def __init__(
        self, addresses: list[Address], connections: int, seed: int, focus: str | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.outcomes: Counter[str] = Counter()  # by outcome, and by method and outcome
        self.latencies: list[float] = []  # of RPCs that were ok, in seconds
        self.connections = connections
        self.focus = focus
        self.focus_read_at = 0.0
        self.focused_nodes: list[int] | None = None
        self.callers = [Caller(address, self) for address in addresses for _ in range(connections)]

    def done(self, outcome: str, latency: float, method: str = "", key: str | None = None) -> None:
        """Count an RPC that ended; `latency` in seconds."""
        with self.lock:
            self.outcomes[outcome] += 1
            if method:
                self.outcomes[f"{method} {outcome}"] += 1
            if outcome == ClientOutcome.OK:
                self.latencies.append(latency)

    def callers_in_focus(self) -> list[Caller]:
        """Return the callers that RPCs go to."""
        now = time.monotonic()
        if self.focus and now - self.focus_read_at > FOCUS_READ_INTERVAL_S:
            self.focus_read_at = now
            path = Path(self.focus)
            self.focused_nodes = json.loads(path.read_text(encoding="utf-8")) if path.exists() else None
        if not self.focused_nodes:
            return self.callers
        return [
            self.callers[node * self.connections + connection]
            for node in self.focused_nodes
            for connection in range(self.connections)
        ]

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` RPCs a second for so many seconds."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            time.sleep(max(0.0, due - time.monotonic()))
            keyed = self.random.random() < KEYED_PART
            callers = self.callers_in_focus()
            connected = [caller for caller in callers if caller.client is not None]
            self.submit(connected or callers, keyed)
            due += self.random.expovariate(rate)

    def submit(self, callers: list[Caller], keyed: bool) -> None:
        """Send one RPC by one of the callers."""
        method = "book" if keyed else "look-up"
        key = secrets.token_hex(16) if keyed else None
        self.random.choice(callers).send(method, b"x" * 100, key)

    def statistics(self) -> dict:
        """Return counts by outcome and the latencies in milliseconds."""
        with self.lock:
            latencies = sorted(self.latencies) or [0.0]
            return {
                **self.outcomes,
                "median_ms": 1000 * latencies[len(latencies) // 2],
                "p99_ms": 1000 * latencies[len(latencies) * 99 // 100],
            }


class KeyAttempts:
    """How often a key was sent, and by which caller last."""

    def __init__(self) -> None:
        self.count = 0
        self.last_caller: Caller | None = None


class KeyedLoadGenerator(LoadGenerator):
    """RPCs with idempotency keys alone, which their bodies tell.

    What was not ok is sent again to another node, `most_attempts` times at most; some go to two nodes at
    once.
    """

    def __init__(
        self,
        addresses: list[Address],
        connections: int,
        seed: int,
        focus: str | None = None,
        most_attempts: int = 3,
    ) -> None:
        self.most_attempts = most_attempts
        self.retries: list[tuple[float, str]] = []  # (when, key)
        self.answered: dict[str, list[str]] = {}  # key -> outcomes
        self.attempts: dict[str, KeyAttempts] = {}
        super().__init__(addresses, connections, seed, focus)

    def submit(self, callers: list[Caller], keyed: bool) -> None:
        """Send the retries that are due, and a new key."""
        now = time.monotonic()
        with self.lock:
            due = [key for when, key in self.retries if when <= now]
            self.retries = [retry for retry in self.retries if retry[0] > now]
        for key in due:
            self._send(callers, key, r="1")
        key = secrets.token_hex(16)
        self.attempts[key] = KeyAttempts()
        self._send(callers, key)
        if self.random.random() < DUPLICATE_PART:
            self._send(callers, key)

    def _send(self, callers: list[Caller], key: str, **more: str) -> None:
        attempts = self.attempts[key]
        others = [caller for caller in callers if caller is not attempts.last_caller] or callers
        attempts.count += 1
        attempts.last_caller = self.random.choice(others)
        attempts.last_caller.send("book", key.encode(), key, **more)

    def done(self, outcome: str, latency: float, method: str = "", key: str | None = None) -> None:
        """Count an RPC that ended, and schedule its retry where it was not ok."""
        super().done(outcome, latency, method)
        if key is None:
            return
        with self.lock:
            self.answered.setdefault(key, []).append(outcome)
            if outcome != ClientOutcome.OK and self.attempts[key].count < self.most_attempts:
                self.retries.append((time.monotonic() + RETRY_DELAY_S, key))

    def statistics(self) -> dict:
        """Return the counts of `LoadGenerator`, those by key, and the keys that were answered ok."""
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
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("where", nargs="+")
    parser.add_argument("--rate", type=float, required=True, help="RPCs a second, all nodes together")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--links", type=int, default=1, help="connections to each node")
    parser.add_argument("--out", required=True)
    parser.add_argument("--focus", help="a file with the numbers of the nodes to go to, while it is there")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keyed", action="store_true", help="keys alone, sent again to other nodes")
    return parser.parse_args()


def main() -> None:
    """Play the load and write its figures."""
    arguments = parse_arguments()
    load_type = KeyedLoadGenerator if arguments.keyed else LoadGenerator
    addresses = [parse_address(text) for text in arguments.where]
    load = load_type(addresses, arguments.links, arguments.seed, arguments.focus)
    load.run(arguments.rate, arguments.seconds)
    time.sleep(LONGEST_DEADLINE_S)
    Path(arguments.out).write_text(json.dumps(load.statistics()), encoding="utf-8")


if __name__ == "__main__":
    main()
