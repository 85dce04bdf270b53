"""What an RPC costs a node: CPU (user and system), latency and memory against the rate, one core given.

    .venv/bin/python -m benchmarks.rpc                          # this tree, the table on standard output
    .venv/bin/python -m benchmarks.rpc --tree . --tree ../old   # two texts in one run, turn by turn
    .venv/bin/python -m benchmarks.rpc --short                  # a second each, as CI does

Owns the measurement; the far sides are benchmarks/far.py's. It must never judge by time: it reports.
"""

import argparse
import json
import multiprocessing
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks import far

SETTINGS = {
    "contract": {"cold": 0, "overloadFactor": 8.0, "startCapacity": 1.0, "stopSendingWithin": 100_000},
    "familyInfo": {
        "callerIdle": 30_000_000,
        "callsOut": 200.0,
        "callsOver": 5_000_000,
        "classCalls": [True, True],
        "cores": 512,
        "freshStart": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "kbPerKey": 1.0,
        "linger": 200_000,
        "memoryKb": 4_000_000.0,
        "preemption": "silent",
        "runFactor": 2.0,
        "say": "level",
        "worthWithout": [0.6, 0.0],
    },
    "limits": {"maxRetryAfter": 1_000_000, "retryAfter": True},
    "round": 2000,
    "services": [
        {
            "name": "read",
            "effect": "read_like",
            "worth": 1.0,
            "target": 1_800_000,
            "deadline": 4_600_000,
            "window": 5_000_000,
            "lateWorth": 0.0,
        },
        {
            "name": "write",
            "effect": "idempotency_key",
            "worth": 3.0,
            "target": 1_800_000,
            "deadline": 4_600_000,
            "window": 13_000_000,
            "lateWorth": 0.0,
        },
    ],
    "worthBy": "work",
}
METHODS = [("read", False), ("write", True)]
TICK = os.sysconf("SC_CLK_TCK")


def free(kind=socket.SOCK_STREAM):
    """A port that nobody is given by chance: one of those could be connected to itself."""
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", random.SystemRandom().randrange(10_000, 32_000)))
                return sock.getsockname()
            except OSError:
                pass


class Node:
    """One node of the text in `tree`, on core 0 of those given, with far sides of its own."""

    def __init__(self, tree, links, work, cpus, folder):
        self.tree = Path(tree).resolve()
        places = {"listen": free(), "pool": free(), "store": free(), "roster": free(socket.SOCK_DGRAM)}
        path = Path(folder) / f"{places['listen'][1]}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "b1",
                    "seed": "1",
                    "stop_ms": 3000,
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    **{name: "%s:%d" % place for name, place in places.items()},
                }
            )
        )
        spawn = multiprocessing.get_context("spawn")
        os.sched_setaffinity(0, cpus[1:])
        self.world = spawn.Process(target=far.world, args=(places, {"read", "write"}, work), daemon=True)
        self.world.start()
        self.pipe, theirs = spawn.Pipe()
        self.callers = spawn.Process(
            target=far.call, args=(theirs, places["listen"], links, METHODS, 1), daemon=True
        )
        self.callers.start()
        self.filler = spawn.Process(target=far.keep_busy, args=(cpus[0],), daemon=True)
        self.filler.start()
        os.sched_setaffinity(0, cpus[:1])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "finchcart"],
            cwd=self.tree,
            stderr=subprocess.DEVNULL,
            env={
                **os.environ,
                "ROUTER_CONFIG": str(path),
                "MALLOC_ARENA_MAX": "2",
                "PYTHONPATH": str(self.tree),
            },
        )
        os.sched_setaffinity(0, cpus)
        self.wait(places["listen"])

    def wait(self, where):
        for _ in range(500):
            try:
                socket.create_connection(where, timeout=1).close()
                break
            except OSError:
                time.sleep(0.02)
        time.sleep(0.3)  # the worker pool's link is up by then

    def cpu(self, thread=""):
        """Seconds of user and system time, of the process or of one thread."""
        fields = Path(f"/proc/{self.process.pid}/{thread}stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) / TICK, int(fields[12]) / TICK

    def reducing(self):
        """CPU seconds of the one thread that reduces; the rest is the links' threads."""
        return sum(self.cpu(f"task/{self.process.pid}/"))

    def mb(self, what="VmHWM"):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(what):
                return int(line.split()[1]) / 1024

    def play(self, rate, seconds):
        """One rate: a row of figures."""
        self.pipe.send((rate, seconds))
        assert self.pipe.recv() == "begin"
        before, reduced, began = self.cpu(), self.reducing(), time.monotonic()
        got = self.pipe.recv()
        reduced = self.reducing() - reduced
        after, took = self.cpu(), min(time.monotonic() - began, seconds)
        count, latencies = max(1, sum(got["how"].values())), got["latencies"] or [0.0]
        user, system = ((b - a) * 1000 / count for a, b in zip(before, after))
        return {
            "rate": rate,
            "answered": count,
            "user_ms": user,
            "system_ms": system,
            "cpu_ms": user + system,
            "reducer_ms": reduced * 1000 / count,
            "core": (user + system) * count / 1000 / took,
            "median_ms": latencies[len(latencies) // 2] * 1000,
            "p99_ms": latencies[len(latencies) * 99 // 100] * 1000,
            "mb": self.mb(),
            "unanswered": got["unanswered"],
            **got["how"],
        }

    def end(self):
        self.process.terminate()
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self.filler.terminate()
        self.world.terminate()
        self.callers.terminate()


def commit(tree):
    said = subprocess.run(
        ["git", "-C", str(tree), "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return said.stdout.strip() or "?"


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
HEAD = "| " + " | ".join(COLUMNS.values()) + " |\n" + "| --- " * len(COLUMNS) + "|"


def row(r):
    digits = {"median_ms": 1, "p99_ms": 1, "mb": 0}
    cell = lambda name: f"{r[name]:.{digits.get(name, 2)}f}" if isinstance(r[name], float) else str(r[name])
    return "| " + " | ".join(map(cell, COLUMNS)) + " |"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--tree", action="append", help="a checkout to measure; may be given again")
    parser.add_argument("--rate", type=int, action="append", help="RPCs a second; may be given again")
    parser.add_argument("--seconds", type=float, default=6.0, help="of each rate")
    parser.add_argument("--links", type=int, default=24, help="the callers' connections")
    parser.add_argument("--work-ms", type=float, default=20.0, help="of a run")
    parser.add_argument("--short", action="store_true", help="a second of one small rate")
    parser.add_argument("--json", help="keeps the rows in this file")
    told = parser.parse_args()
    rates = [50] if told.short else told.rate or [100, 200, 400, 800, 1200]
    seconds, rows = (1.0 if told.short else told.seconds), []
    cpus = sorted(os.sched_getaffinity(0))[:4]
    print(HEAD)
    with tempfile.TemporaryDirectory() as folder:
        for rate in rates:
            for tree in told.tree or ["."]:
                node = Node(tree, told.links, told.work_ms / 1000, cpus, folder)
                try:
                    figures = node.play(rate, seconds)
                finally:
                    node.end()
                rows.append({"text": commit(tree), **figures})
                print(row(rows[-1]), flush=True)
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1))
    if any(not r["ok"] for r in rows):
        sys.exit("no RPC was answered ok")  # it does not run; how fast it is does not matter here


if __name__ == "__main__":
    main()
