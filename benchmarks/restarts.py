"""How long restarted nodes take until they serve, under load, and what takes the time.

    .venv/bin/python -m benchmarks.restarts                       # 60 restarts and more, a table
    .venv/bin/python -m benchmarks.restarts --json docs/results/restarts.json

Kinds: killed, told to leave, worker pool late by a second, store down, registry down, 20 at once. Counted
from the start of the process: it listens (a health check is answered), it is ready (an RPC is served); of a
late worker pool from when that was up. Owns the measurement; it must never judge by time.
"""

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from copy import deepcopy
from pathlib import Path

from benchmarks import far
from benchmarks.rpc import SETTINGS, free
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.registry import Registry
from finchcart.simulated_peers.store import Store
from finchcart.simulated_peers.worker_pool import WorkerPool

METHODS = {"read": True, "write": False}


class Node:
    """One node with a worker pool of its own."""

    def __init__(self, number, folder, store, registry):
        self.places = {"listen": free(), "pool": free(), "store": store, "roster": registry}
        self.path = Path(folder) / f"n{number}.json"
        self.config = {
            "name": f"n{number}",
            "seed": f"{number:x}",
            "stop_ms": 1500,
            "settings": deepcopy(SETTINGS),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        self.pool = WorkerPool(self.places["pool"], METHODS, work=0.01, cores=512)
        self.start()

    def write(self, **places):
        told = {name: "%s:%d" % place for name, place in {**self.places, **places}.items()}
        self.path.write_text(json.dumps({**self.config, **told}))

    def start(self, **places):
        self.write(**places)
        self.began = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "finchcart"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, "ROUTER_CONFIG": str(self.path), "MALLOC_ARENA_MAX": "2"},
        )

    def stop(self, how):
        self.process.send_signal(how)
        self.process.wait()

    def until(self, what, within=60):
        """Seconds from the start until that holds."""
        while time.monotonic() - self.began < within:
            try:
                client = Client(self.places["listen"])
                if what == "listens":
                    client.heartbeat()
                else:
                    client.submit("write", b"x", os.urandom(16).hex())
                got = client.answer()
                client.sock.close()
                if got[2] == "ok":
                    return time.monotonic() - self.began
            except (OSError, EOFError):
                pass
            time.sleep(0.005)
        return float("inf")

    def load(self, rate, rng):
        """A caller for as long as this program runs."""
        while True:
            try:
                client = Client(self.places["listen"])
                threading.Thread(target=far.read_on, args=(client,), daemon=True).start()
                while True:
                    time.sleep(rng.expovariate(rate))
                    client.submit(rng.choice(("read", "write")), b"y" * 50, os.urandom(16).hex())
            except OSError:
                time.sleep(0.02)


def restart(node, kind, gone, rows):
    late = None
    node.stop(signal.SIGTERM if kind == "told to leave" else signal.SIGKILL)
    if kind == "worker pool late":
        node.start(pool=gone)
        node.places["pool"] = free()
        listens = node.until("listens")
        time.sleep(max(0.0, 1 - (time.monotonic() - node.began)))
        node.pool.listen(node.places["pool"])
        node.write()
        node.process.send_signal(signal.SIGHUP)
        late = time.monotonic() - node.began
    else:
        down = {"store down": "store", "registry down": "roster"}.get(kind)
        node.start(**({down: gone} if down else {}))
        listens = node.until("listens")
    ready = node.until("ready")
    rows.append(
        {
            "kind": kind,
            "listens": round(listens, 3),
            "ready": round(ready, 3),
            **({"after_pool": round(ready - late, 3)} if late else {}),
        }
    )


def play(nodes=20, each=10, rate=20.0):
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        store, registry = (
            Store(free(), work=0.002),
            Registry(free(socket.SOCK_DGRAM), on_change=lambda text: None),
        )
        places = store.listener.getsockname(), registry.sock.getsockname()
        fleet = [Node(n, folder, *places) for n in range(nodes)]
        try:
            for n, node in enumerate(fleet):
                node.until("ready")
                threading.Thread(target=node.load, args=(rate, random.Random(n)), daemon=True).start()
            for kind in ("killed", "told to leave", "worker pool late", "store down", "registry down"):
                for n in range(each):
                    restart(fleet[n % nodes], kind, free(), rows)
            together = [
                threading.Thread(target=restart, args=(node, f"{nodes} at once", None, rows))
                for node in fleet
            ]
            for thread in together:
                thread.start()
            for thread in together:
                thread.join()
        finally:
            for node in fleet:
                node.process.kill()
                node.process.wait()
    return rows


def quantile(values, part):
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def imports():
    """Milliseconds of the largest imports on the way to ready."""
    done = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", "import finchcart.__main__"],
        capture_output=True,
        text=True,
    )
    took = {}
    for line in done.stderr.splitlines()[1:]:
        _, total, name = line.removeprefix("import time:").split("|")
        took[name.strip()] = int(total) / 1000
    return {name: round(took[name], 1) for name in sorted(took, key=took.get, reverse=True)[:8]}


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--each", type=int, default=10, help="restarts of each kind, one after the other")
    parser.add_argument("--json", help="the rows are written here")
    told = parser.parse_args()
    rows = play(told.nodes, told.each)
    print("| kind | restarts | listens, median | ready, median | nine in ten | worst |")
    print("| --- | --- | --- | --- | --- | --- |")
    for kind in [*dict.fromkeys(row["kind"] for row in rows), "all"]:
        mine = [row for row in rows if kind in ("all", row["kind"])]
        ready = [row.get("after_pool", row["ready"]) for row in mine]
        print(
            f"| {kind} | {len(mine)} | {quantile([row['listens'] for row in mine], 0.5):.2f} s | "
            f"{quantile(ready, 0.5):.2f} s | {quantile(ready, 0.9):.2f} s | {max(ready):.2f} s |"
        )
    print("imports, ms:", imports())
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
