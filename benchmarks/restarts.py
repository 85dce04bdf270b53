"""Measure how long restarted nodes under load take until they serve RPCs, and their import times.

    .venv/bin/python -m benchmarks.restarts                       # 50 restarts in turn, 20 at once
    .venv/bin/python -m benchmarks.restarts --json docs/results/restarts.json

The kinds of restart are: killed, terminated (told to leave), worker pool started one second late, store
down, registry down, and all nodes at once. A node listens when it answers a health check, and is ready when
it has served an RPC. Both times count from the start of the process; with a late worker pool, the time until
the node is ready also counts from when the worker pool was up. The benchmark must never fail because a time
is too long.
"""

import argparse
import json
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import closing, suppress
from enum import StrEnum
from pathlib import Path
from typing import NoReturn

from benchmarks.lean_peers import read_until_closed
from benchmarks.node_process import Address, free_address, start_node, write_configuration
from finchcart.simulated_peers.client import Client, ClientOutcome
from finchcart.simulated_peers.registry import SimulatedRegistry
from finchcart.simulated_peers.server import start_thread
from finchcart.simulated_peers.store import SimulatedStore
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

METHODS = {"read": True, "write": False}  # name -> whether its runs call the store
RUN_S = 0.01
CALL_S = 0.002
CORES = 512
STOP_MS = 1500
POOL_LATE_S = 1
START_TIMEOUT_S = 60
PROBE_INTERVAL_S = 0.005
RECONNECT_INTERVAL_S = 0.02
BODY = b"y" * 50
SLOWEST_IMPORTS = 8
US_PER_MS = 1000
ALL = "all"


class Kind(StrEnum):
    """Kinds of restart of a single node."""

    KILLED = "killed"
    TERMINATED = "told to leave"
    POOL_LATE = "worker pool late"
    STORE_DOWN = "store down"
    REGISTRY_DOWN = "registry down"


# Keys of the node's configuration whose address has no listener in these kinds of restart.
DOWN_ADDRESS_KEYS = {Kind.STORE_DOWN: "store", Kind.REGISTRY_DOWN: "roster"}


def random_key() -> str:
    """Return a random idempotency key."""
    return os.urandom(16).hex()


class RestartedNode:
    """A node process with its own worker pool."""

    def __init__(self, number: int, folder: str, store: Address, registry: Address) -> None:
        self.number = number
        self.path = Path(folder) / f"n{number}.json"
        self.addresses = {
            "listen": free_address(),
            "pool": free_address(),
            "store": store,
            "roster": registry,
        }
        self.pool = SimulatedWorkerPool(self.addresses["pool"], METHODS, work=RUN_S, cores=CORES)
        self.start()

    def write_configuration(self, **addresses: Address) -> None:
        """Write the configuration file; `addresses` override the node's own under the same keys."""
        name = f"n{self.number}"
        write_configuration(self.path, name, f"{self.number:x}", STOP_MS, {**self.addresses, **addresses})

    def start(self, **addresses: Address) -> None:
        """Start the process; `addresses` override the node's own in its configuration."""
        self.write_configuration(**addresses)
        self.started_at = time.monotonic()
        self.process = start_node(self.path)

    def stop(self, number: signal.Signals) -> None:
        """Send the process a signal that ends it, and wait until it has exited."""
        self.process.send_signal(number)
        self.process.wait()

    def seconds_since_start(self) -> float:
        """Return the seconds since the start of the process."""
        return time.monotonic() - self.started_at

    def wait_until_listening(self) -> float:
        """Return the seconds from the start until a health check is answered."""
        return self._wait_until_ok(Client.heartbeat)

    def wait_until_ready(self) -> float:
        """Return the seconds from the start until an RPC is served."""
        return self._wait_until_ok(lambda client: client.submit("write", b"x", random_key()))

    def _wait_until_ok(self, send: Callable[[Client], int]) -> float:
        while self.seconds_since_start() < START_TIMEOUT_S:
            with suppress(OSError, EOFError):
                client = Client(self.addresses["listen"])
                with closing(client.sock):
                    send(client)
                    outcome = client.answer().outcome
                if outcome == ClientOutcome.OK:
                    return self.seconds_since_start()
            time.sleep(PROBE_INTERVAL_S)
        return math.inf

    def keep_loaded(self, rate: float, chance: random.Random) -> NoReturn:
        """Send RPCs at a random rate with the mean `rate` for as long as this program runs."""
        while True:
            with suppress(OSError):
                client = Client(self.addresses["listen"])
                start_thread(read_until_closed, client)
                while True:
                    time.sleep(chance.expovariate(rate))
                    client.submit(chance.choice(tuple(METHODS)), BODY, random_key())
            time.sleep(RECONNECT_INTERVAL_S)


def restart(node: RestartedNode, kind: str, rows: list[dict]) -> None:
    """Restart a node, measure the restart, and append its row."""
    node.stop(signal.SIGTERM if kind == Kind.TERMINATED else signal.SIGKILL)
    row = {"kind": str(kind)}
    if kind == Kind.POOL_LATE:
        listens, pool_up = start_before_pool(node)
    else:
        down = {DOWN_ADDRESS_KEYS[kind]: free_address()} if kind in DOWN_ADDRESS_KEYS else {}
        node.start(**down)
        listens = node.wait_until_listening()
        pool_up = None
    ready = node.wait_until_ready()
    row |= {"listens": round(listens, 3), "ready": round(ready, 3)}
    if pool_up is not None:
        row["after_pool"] = round(ready - pool_up, 3)
    rows.append(row)


def start_before_pool(node: RestartedNode) -> tuple[float, float]:
    """Start a node, and its worker pool `POOL_LATE_S` seconds after it.

    The worker pool listens at a new address, which the node reads from its configuration on SIGHUP. Return
    the seconds from the start until the node listened, and until the worker pool was up.
    """
    node.start(pool=free_address())
    node.addresses["pool"] = free_address()
    listens = node.wait_until_listening()
    time.sleep(max(0.0, POOL_LATE_S - node.seconds_since_start()))
    node.pool.listen(node.addresses["pool"])
    node.write_configuration()
    node.process.send_signal(signal.SIGHUP)
    return listens, node.seconds_since_start()


def restart_together(fleet: Sequence[RestartedNode], rows: list[dict]) -> None:
    """Restart all nodes at once."""
    kind = f"{len(fleet)} at once"
    threads = [threading.Thread(target=restart, args=(node, kind, rows)) for node in fleet]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(nodes: int = 20, each: int = 10, rate: float = 20.0) -> list[dict]:
    """Restart loaded nodes, first `each` times per kind, then all at once; return a row for each restart."""
    rows: list[dict] = []
    with tempfile.TemporaryDirectory() as folder:
        store = SimulatedStore(free_address(), work=CALL_S)
        registry = SimulatedRegistry(free_address(socket.SOCK_DGRAM), on_change=lambda text: None)
        addresses = store.listener.getsockname(), registry.sock.getsockname()
        fleet = [RestartedNode(number, folder, *addresses) for number in range(nodes)]
        try:
            for number, node in enumerate(fleet):
                node.wait_until_ready()
                start_thread(node.keep_loaded, rate, random.Random(number))
            for kind in Kind:
                for number in range(each):
                    restart(fleet[number % nodes], kind, rows)
            restart_together(fleet, rows)
        finally:
            for node in fleet:
                node.process.kill()
                node.process.wait()
    return rows


# ---- report


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile of the values at a fraction between 0 and 1."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def print_table(rows: Sequence[dict]) -> None:
    """Print a table with one line for each kind of restart and one for all restarts."""
    print("| kind | restarts | listens, median | ready, median | nine in ten | worst |")
    print("| --- | --- | --- | --- | --- | --- |")
    for kind in [*dict.fromkeys(row["kind"] for row in rows), ALL]:
        kind_rows = [row for row in rows if kind in (ALL, row["kind"])]
        listens = [row["listens"] for row in kind_rows]
        ready = [row.get("after_pool", row["ready"]) for row in kind_rows]
        print(
            f"| {kind} | {len(kind_rows)} | {quantile(listens, 0.5):.2f} s | "
            f"{quantile(ready, 0.5):.2f} s | {quantile(ready, 0.9):.2f} s | {max(ready):.2f} s |"
        )


def import_times() -> dict[str, float]:
    """Return the milliseconds that the slowest imports of a node take, by module name."""
    command = [sys.executable, "-X", "importtime", "-c", "import finchcart.__main__"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    times: dict[str, float] = {}
    for line in done.stderr.splitlines()[1:]:
        _, total_us, name = line.removeprefix("import time:").split("|")
        times[name.strip()] = int(total_us) / US_PER_MS
    slowest = sorted(times, key=times.get, reverse=True)[:SLOWEST_IMPORTS]
    return {name: round(times[name], 1) for name in slowest}


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--each", type=int, default=10, help="number of restarts of each kind, in sequence")
    parser.add_argument("--json", help="file to which the rows are written")
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    rows = play(arguments.nodes, arguments.each)
    print_table(rows)
    print("imports, ms:", import_times())
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
