"""Compare the calls that all nodes send to a store after an outage with the cold ramp of the settings.

    .venv/bin/python -m benchmarks.cold_ramp --nodes 20 --seeds 20
    .venv/bin/python -m benchmarks.cold_ramp --nodes 30 --seeds 20 --json docs/results/cold-ramp-30.json
    .venv/bin/python -m benchmarks.cold_ramp --nodes 20 --seeds 3 --whole   # with a planted defect

The nodes are real processes on loopback that can't communicate with each other, and the store records when
each call reaches it. For every window of `callsOver`, N is the number of calls that the settings allow: the
sum of the nodes' shares (`callsOut`) divided by the duration of a call, integrated over the window with the
slowest ramp that the settings allow since the store's return. Up to 2 * sqrt(N) + 2 calls more than N are
attributed to chance. With `--whole`, each node uses the budget of the whole fleet.
tests/test_cold_ramp.py checks this bound.
"""

import argparse
import json
import random
import socket
import tempfile
import threading
import time
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from benchmarks.lean_peers import read_until_closed
from benchmarks.node_process import (
    Address,
    free_address,
    settings_with,
    start_node,
    wait_until_listening,
    write_configuration,
)
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.server import start_thread
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

CALLS_OUT_PER_NODE = 2.0  # share of the calls in hand that each node is given (`callsOut`)
WINDOW_S = 1.0  # the time over which the settings limit calls (`callsOver`)
CALL_S = 0.1
COLD_S = 4.0  # time in which the store warms up
START_CAPACITY = 0.2  # fraction of its full capacity at its return
US_PER_S = 1e6
RUN_S = 0.004
CORES = 512
STOP_MS = 1000
LISTEN_INTERVAL_S = 0.05
STEADY_S = 2  # load before the first outage of the store
DOWN_RANGE_S = (0.5, 1.5)
DEFAULT_RATE = 7.5
RAMP_STEPS = 50  # steps of the numerical integral
BODY = b"x" * 20


class ColdStore:
    """A store that answers each call after `CALL_S` seconds, can be down, and records arrival times."""

    def __init__(self) -> None:
        self.address = free_address()
        self.lock = threading.Lock()
        self.connections: set[socket.socket] = set()
        self.calls: list[float] = []
        self.go_up()

    def go_up(self) -> None:
        """Start listening; the store is cold from this moment."""
        self.returned = time.monotonic()
        self.listener = socket.create_server(self.address, backlog=512)
        start_thread(self._accept_connections, self.listener)

    def go_down(self) -> None:
        """Stop listening, and shut down all connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection in self.connections:
                with suppress(OSError):  # the node has already closed the connection
                    connection.shutdown(socket.SHUT_RDWR)

    def calls_so_far(self) -> list[float]:
        """Return the arrival times of all calls so far."""
        with self.lock:
            return list(self.calls)

    def _accept_connections(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.add(connection)
            start_thread(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError, ValueError):  # the node has closed the connection
            lines = connection.makefile("rb")
            for line in lines:
                _, call_id, _, length = line.split()
                with self.lock:
                    self.calls.append(time.monotonic())
                body = lines.read(int(length) + 2)[:-2]
                time.sleep(CALL_S)
                connection.sendall(b"%s OK %d\r\n%s\r\n" % (call_id, len(body), body))
        with self.lock:
            self.connections.discard(connection)
        connection.close()


class Window(NamedTuple):
    """Calls in one window: those beyond N (`excess`), N itself (`allowed`), and the `chance` allowance."""

    excess: float
    allowed: float
    chance: float


class Fleet:
    """Nodes, each with its own worker pool and caller; `share` is the value of `callsOut` of each node."""

    def __init__(self, nodes: int, folder: str, share: float = CALLS_OUT_PER_NODE) -> None:
        self.nodes = nodes
        self.store = ColdStore()
        self.ended = False
        settings = settings_with(
            contract={"cold": int(COLD_S * US_PER_S), "startCapacity": START_CAPACITY},
            family={"callsOut": share, "callsOver": int(WINDOW_S * US_PER_S)},
        )
        self.processes = []
        self.addresses: list[Address] = []
        for number in range(nodes):
            addresses = {
                "listen": free_address(),
                "pool": free_address(),
                "store": self.store.address,
                "roster": free_address(socket.SOCK_DGRAM),
            }
            path = Path(folder) / f"n{number}.json"
            write_configuration(path, f"n{number}", f"{number:x}", STOP_MS, addresses, settings)
            SimulatedWorkerPool(addresses["pool"], {"read": True, "write": True}, work=RUN_S, cores=CORES)
            self.addresses.append(addresses["listen"])
            self.processes.append(start_node(path))

    def wait_until_listening(self) -> None:
        """Wait until all nodes accept connections."""
        for address in self.addresses:
            wait_until_listening(address, LISTEN_INTERVAL_S)

    def start_load(self, rate: float, seed: int) -> None:
        """Start an open-loop load of RPCs from each node's caller."""
        for number, address in enumerate(self.addresses):
            start_thread(self._call, address, rate, random.Random(seed * 1000 + number))

    def _call(self, address: Address, rate: float, chance: random.Random) -> None:
        client = None
        while not self.ended:
            time.sleep(chance.expovariate(rate))
            try:
                if client is None:
                    client = Client(address)
                    start_thread(read_until_closed, client)
                client.submit("read", BODY)
            except OSError:
                client = None

    def play_round(self, chance: random.Random) -> tuple[Window | None, int]:
        """Take the store down and up again; return the worst window since then and the number of calls."""
        self.store.go_down()
        time.sleep(chance.uniform(*DOWN_RANGE_S))
        self.store.calls.clear()
        self.store.go_up()
        returned = self.store.returned
        time.sleep(COLD_S + WINDOW_S)
        calls = self.store.calls_so_far()
        windows = [self._window(calls, first, returned) for first in range(len(calls))]
        worst = max(windows, key=lambda window: window.excess - window.chance, default=None)
        return worst, len(calls)

    def _window(self, calls: Sequence[float], first: int, returned: float) -> Window:
        """Return the window that begins with the call at index `first`."""
        begin = calls[first]
        count = bisect_left(calls, begin + WINDOW_S) - first
        allowed = self.nodes * CALLS_OUT_PER_NODE / CALL_S * ramp_integral(begin - returned, WINDOW_S)
        return Window(count - allowed, allowed, 2 * allowed**0.5 + 2)

    def end(self) -> None:
        """Stop the load and kill all nodes."""
        self.ended = True
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()


def ramp(age: float) -> float:
    """Return the fraction of its full capacity that a store may be sent `age` seconds after its return."""
    return min(1.0, START_CAPACITY + (1 - START_CAPACITY) * max(0.0, age) / COLD_S)


def ramp_integral(age: float, span: float) -> float:
    """Return the integral of the slowest allowed ramp over `span` seconds from `age` on."""
    midpoints = (age + span * (step + 0.5) / RAMP_STEPS for step in range(RAMP_STEPS))
    return sum(ramp(midpoint) for midpoint in midpoints) * span / RAMP_STEPS


def play_seeds(
    nodes: int, seeds: Sequence[int], rate: float = DEFAULT_RATE, whole: bool = False
) -> list[dict]:
    """Play a round for each seed; return one row per round.

    With `whole`, each node uses the budget of the whole fleet, which is a planted defect.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(nodes, folder, CALLS_OUT_PER_NODE * (nodes if whole else 1))
        try:
            fleet.wait_until_listening()
            fleet.start_load(rate, seeds[0])
            time.sleep(STEADY_S)
            return [play_seed(fleet, seed) for seed in seeds]
        finally:
            fleet.end()


def play_seed(fleet: Fleet, seed: int) -> dict:
    """Play one round with this seed; return its row."""
    worst, calls = fleet.play_round(random.Random(seed))
    if worst is None:
        raise RuntimeError(f"seed {seed}: no call reached the store after its outage")
    return {
        "nodes": fleet.nodes,
        "seed": seed,
        "excess": round(worst.excess, 1),
        "N": round(worst.allowed, 1),
        "chance": round(worst.chance, 1),
        "calls": calls,
        "held": worst.excess <= worst.chance,
    }


def summary(nodes: int, rows: Iterable[dict]) -> str:
    """Return a summary of all rows in one line."""
    rows = list(rows)
    worst = max(rows, key=lambda row: row["excess"] - row["chance"])
    over = sum(not row["held"] for row in rows)
    return (
        f"{nodes} nodes, {len(rows)} seeds: {over} over the bound; worst excess {worst['excess']} calls at "
        f"N = {worst['N']}, with {worst['chance']} attributed to chance"
    )


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--rate", type=float, default=DEFAULT_RATE, help="RPCs per second to each node")
    parser.add_argument(
        "--whole", action="store_true", help="planted defect: each node uses the whole budget"
    )
    parser.add_argument("--json", help="file to which the rows are written")
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    rows = play_seeds(arguments.nodes, range(1, arguments.seeds + 1), arguments.rate, arguments.whole)
    for row in rows:
        print(row)
    print(summary(arguments.nodes, rows))
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
