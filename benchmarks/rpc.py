"""Measure CPU time, latency and memory of a node per RPC rate, with the node pinned to one core.

    .venv/bin/python -m benchmarks.rpc                          # this checkout; prints a table
    .venv/bin/python -m benchmarks.rpc --tree . --tree ../old   # two checkouts, alternating at each rate
    .venv/bin/python -m benchmarks.rpc --short                  # one second at one low rate, as in CI

benchmarks/lean_peers.py implements the peers of the node. The benchmark prints its measurements and must
never fail because a time is too long.
"""

import argparse
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks import lean_peers
from benchmarks.node_process import free_address, start_node, wait_until_listening, write_configuration

METHODS = [("read", False), ("write", True)]  # name, and whether its RPCs have idempotency keys
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
CORES = 4  # one for the node and three for its peers
DEFAULT_RATES = [100, 200, 400, 800, 1200]
SHORT_RATE = 50
SHORT_S = 1.0
STOP_MS = 3000
STOP_TIMEOUT_S = 5
LISTEN_INTERVAL_S = 0.02
POOL_CONNECT_WAIT_S = 0.3  # from when the node listens; it connects to the worker pool in this time

COLUMNS = {
    "text": "text",
    "rate": "RPCs/s",
    "cpu_ms": "CPU ms an RPC",
    "user_ms": "user",
    "system_ms": "system",
    "reducer_ms": "of it reducing",
    "core": "of a core",
    "median_ms": "median ms",
    "p99_ms": "99 % ms",
    "ok": "ok",
    "pushed back": "pushed back",
    "aborted": "aborted",
    "unanswered": "unanswered",
    "mb": "MB",
}
DIGITS = {"median_ms": 1, "p99_ms": 1, "mb": 0}  # decimal places; all other columns have 2
HEAD = "| " + " | ".join(COLUMNS.values()) + " |\n" + "| --- " * len(COLUMNS) + "|"


class CpuTime(NamedTuple):
    """CPU time in seconds."""

    user: float
    system: float


class MeasuredNode:
    """A node from the checkout `tree`, pinned to the first of the cores, with its own peers on the others.

    `work` is the duration of a run in the worker pool, in seconds.
    """

    def __init__(self, tree: str, connections: int, work: float, cores: list[int], folder: str) -> None:
        self.tree = Path(tree).resolve()
        addresses = {
            "listen": free_address(),
            "pool": free_address(),
            "store": free_address(),
            "roster": free_address(socket.SOCK_DGRAM),
        }
        path = Path(folder) / f"{addresses['listen'][1]}.json"
        write_configuration(path, "b1", "1", STOP_MS, addresses)
        os.sched_setaffinity(0, cores[1:])
        self._start_peers(addresses, connections, work, cores[0])
        os.sched_setaffinity(0, cores[:1])
        self.process = start_node(path, self.tree)
        os.sched_setaffinity(0, cores)
        wait_until_listening(addresses["listen"], LISTEN_INTERVAL_S)
        time.sleep(POOL_CONNECT_WAIT_S)

    def _start_peers(
        self, addresses: dict[str, tuple[str, int]], connections: int, work: float, core: int
    ) -> None:
        spawn = multiprocessing.get_context("spawn")
        self.pipe, load_pipe = spawn.Pipe()
        calling = {name for name, _ in METHODS}
        processes = {
            lean_peers.serve_peers: (addresses, calling, work),
            lean_peers.serve_load: (load_pipe, addresses["listen"], connections, METHODS, 1),
            lean_peers.keep_core_busy: (core,),
        }
        self.peers = [
            spawn.Process(target=target, args=args, daemon=True) for target, args in processes.items()
        ]
        for peer in self.peers:
            peer.start()

    def cpu(self, thread: str = "") -> CpuTime:
        """Return the CPU time of the process, or of the thread with the path `thread` under /proc/PID."""
        text = Path(f"/proc/{self.process.pid}/{thread}stat").read_text()
        user, system = text.rpartition(")")[2].split()[11:13]
        return CpuTime(int(user) / CLOCK_TICKS_PER_SECOND, int(system) / CLOCK_TICKS_PER_SECOND)

    def reducer_cpu(self) -> float:
        """Return the CPU seconds of the main thread, which runs the state machines.

        The connections' threads use the rest of the process's CPU time.
        """
        return sum(self.cpu(f"task/{self.process.pid}/"))

    def peak_mb(self) -> float:
        """Return the peak resident memory of the node in MiB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))

    def play(self, rate: float, seconds: float) -> dict:
        """Run the load at one rate; return a row of measurements."""
        self.pipe.send((rate, seconds))
        reply = self.pipe.recv()
        if reply != "begin":
            raise RuntimeError(f"the callers' process sent {reply!r} instead of 'begin'")
        cpu_before = self.cpu()
        reducer_before = self.reducer_cpu()
        began_at = time.monotonic()
        figures = self.pipe.recv()
        reducer_s = self.reducer_cpu() - reducer_before
        cpu_after = self.cpu()
        took = min(time.monotonic() - began_at, seconds)
        answered = max(1, sum(figures["how"].values()))
        latencies = figures["latencies"] or [0.0]
        user_ms = (cpu_after.user - cpu_before.user) * 1000 / answered
        system_ms = (cpu_after.system - cpu_before.system) * 1000 / answered
        return {
            "rate": rate,
            "answered": answered,
            "user_ms": user_ms,
            "system_ms": system_ms,
            "cpu_ms": user_ms + system_ms,
            "reducer_ms": reducer_s * 1000 / answered,
            "core": (user_ms + system_ms) * answered / 1000 / took,
            "median_ms": latencies[len(latencies) // 2] * 1000,
            "p99_ms": latencies[len(latencies) * 99 // 100] * 1000,
            "mb": self.peak_mb(),
            "unanswered": figures["unanswered"],
            **figures["how"],
        }

    def end(self) -> None:
        """Terminate the node and its peers."""
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
        for peer in self.peers:
            peer.terminate()


def commit_of(tree: str) -> str:
    """Return the commit of a checkout, or "?" if the folder is not a Git checkout."""
    command = ["git", "-C", tree, "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip() or "?"


def table_row(row: dict) -> str:
    """Return the line of the Markdown table for a row of measurements."""
    cells = [
        f"{row[name]:.{DIGITS.get(name, 2)}f}" if isinstance(row[name], float) else str(row[name])
        for name in COLUMNS
    ]
    return "| " + " | ".join(cells) + " |"


def play_all(arguments: argparse.Namespace) -> list[dict]:
    """Measure each checkout at each rate; print each row of the table when it is complete."""
    rates = [SHORT_RATE] if arguments.short else arguments.rate or DEFAULT_RATES
    seconds = SHORT_S if arguments.short else arguments.seconds
    cores = sorted(os.sched_getaffinity(0))[:CORES]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for rate in rates:
            for tree in arguments.tree or ["."]:
                node = MeasuredNode(tree, arguments.links, arguments.work_ms / 1000, cores, folder)
                try:
                    figures = node.play(rate, seconds)
                finally:
                    node.end()
                rows.append({"text": commit_of(tree), **figures})
                print(table_row(rows[-1]), flush=True)
    return rows


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--tree", action="append", help="a checkout to measure; may be repeated")
    parser.add_argument("--rate", type=int, action="append", help="RPCs per second; may be repeated")
    parser.add_argument("--seconds", type=float, default=6.0, help="measured time at each rate")
    parser.add_argument("--links", type=int, default=24, help="number of the callers' connections")
    parser.add_argument("--work-ms", type=float, default=20.0, help="duration of a run in the worker pool")
    parser.add_argument("--short", action="store_true", help="measure one second at one low rate")
    parser.add_argument("--json", help="file to which the rows are written")
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects; fail only if a rate had no successful RPC."""
    arguments = parse_arguments()
    print(HEAD)
    rows = play_all(arguments)
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(rows, indent=1))
    if any(not row["ok"] for row in rows):
        sys.exit("no RPC was answered ok at one of the rates")


if __name__ == "__main__":
    main()
