"""A testbed for a real node: its process, its configuration and the simulated peers around it."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from benchmarks.node_process import free_address
from finchcart.fault_injection.processes.process_shim import ProcessShim, build_library
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.registry import SimulatedRegistry
from finchcart.simulated_peers.store import SimulatedStore
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

METHODS = {"look-up": True, "book": False}  # name -> whether a run makes a call to the store
EXAMPLE_CONFIG = Path("example/config.json")
NODE_NAME = "n1"
# The part of the deployment's `run` command that precedes the interpreter of its virtual environment.
RUN_PREFIX = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))["run"].partition(
    " .venv"
)[0]
END_TIMEOUT_S = 5.0
WORKER_POOL_AGE_S = 60  # a worker pool this much older than the node was not started together with it
WAIT_TIMEOUT_S = 20  # generous, as it only ends a test that has failed


def wait_until(condition, within=WAIT_TIMEOUT_S):
    """Wait until the condition is true; fail if it is not true in time."""
    end = time.monotonic() + within
    while not condition():
        assert time.monotonic() < end, "the awaited condition did not become true in time"
        time.sleep(0.01)


class NodeTestbed:
    """A node and its simulated peers.

    `addresses` holds the address on which the node listens ("listen") and those of the worker pool ("pool"),
    the store ("store") and the registry ("roster").
    """

    def __init__(self, folder):
        self.process = self.pool = self.store = None
        self.folder = folder
        self.environment = {}  # additional environment variables of the node
        self.addresses = {name: free_address() for name in ("listen", "pool", "store")}
        self.addresses["roster"] = free_address(socket.SOCK_DGRAM)
        self.start_registry()
        self.config = json.loads(EXAMPLE_CONFIG.read_text(encoding="utf-8"))
        self.config["settings"]["contract"]["stopSendingWithin"] = 200_000
        self.path = folder / "config.json"
        self.write_config(stop_ms=2500)

    # ---- The configuration and the peers

    def write_config(self, **more):
        addresses = {name: f"{host}:{port}" for name, (host, port) in self.addresses.items()}
        self.config.update(addresses, **more)
        self.path.write_text(json.dumps(self.config))

    def start_registry(self):
        self.registry = SimulatedRegistry(self.addresses["roster"], on_change=lambda text: None)

    def start_peers(self):
        self.pool = SimulatedWorkerPool(self.addresses["pool"], METHODS)
        self.store = SimulatedStore(self.addresses["store"])

    def registration(self):
        """Return the state of the node in the registry: "on", "off" or None."""
        return self.registry.registrations.get(NODE_NAME)

    def started_runs(self):
        """Return the bodies of all runs that were started, in order."""
        return [body for _, _, body in self.pool.spawned]

    def last_started_run(self):
        return self.pool.spawned[-1][2]

    def wait_until_commands_are_confirmed(self):
        """Wait until the node knows that the worker pool has read all commands written so far."""
        polls = self.pool.polls
        wait_until(lambda: self.pool.polls >= polls + 3)

    # ---- The node

    def load_shim(self):
        """Load the library that injects faults into the node's clock and system calls."""
        library = build_library(self.folder)
        assert library, "no C compiler"
        shim = ProcessShim(library, self.folder)
        self.environment |= shim.environment
        return shim

    def start(self, shell="exec"):
        self.start_process(shell)
        self.wait_until_healthy()

    def wait_until_healthy(self):
        wait_until(self.is_healthy)

    def start_process(self, shell=RUN_PREFIX):
        command = f"{shell} {sys.executable} -m finchcart"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            env={**os.environ, **self.environment, "ROUTER_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )

    def start_serving(self, shell="exec", **more_config):
        """Start the node after its peers, and wait until it serves."""
        self.write_config(**more_config)
        self.start_peers()
        self.pool.started -= WORKER_POOL_AGE_S
        self.start(shell)
        wait_until(self.serves)

    def send_signals(self, *signals):
        for each in signals:
            self.process.send_signal(each)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def client(self):
        return Client(self.addresses["listen"])

    def is_healthy(self):
        try:
            client = self.client()
            client.heartbeat()
            return client.answer()[2] == "ok"
        except OSError:
            return False

    def serves(self):
        client = self.client()
        client.submit("look-up", b"?")
        return client.answer()[2] == "ok"

    def command_line(self):
        return Path(f"/proc/{self.process.pid}/cmdline").read_bytes()

    def cpu_seconds(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii").split()
        return sum(map(int, fields[13:15])) / os.sysconf("SC_CLK_TCK")

    def peak_memory_mb(self):
        lines = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024

    # ---- The end of the node

    def end_and_read_log(self):
        """End the node if it still runs; return the rest of its log, which ends with its statistics."""
        if self.process is None or self.process.stderr.closed:
            return ""
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        return self.process.stderr.read()

    def terminate(self):
        """Send SIGTERM to the node; return its exit status and log."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10), self.process.stderr.read()

    def wait_for_clean_end(self, status=0):
        """Wait until the node exits by itself, and check that its log holds no exception; return the log."""
        assert self.process.wait(10) == status
        log = self.process.stderr.read()
        assert "Traceback" not in log and "thread" not in log
        return log

    def read_log_until(self, text):
        """Return the node's log up to the first line that contains the text."""
        log = ""
        while text not in log:
            line = self.process.stderr.readline()
            assert line, "the log ended before the expected text"
            log += line
        return log

    def wait_until_deregistered(self):
        wait_until(lambda: self.registration() == "off")


def read_answers(client, count):
    """Return `count` responses by sequence number; notices of a close are skipped."""
    replies = {}
    while len(replies) < count:
        name, sequence, status, body, _ = client.answer()
        if name != "closing":
            replies[sequence] = status, body
    return replies


def read_until_closed(client):
    """Return all responses until the node closes the connection, by sequence number."""
    replies = {}
    try:
        while True:
            name, sequence, status, body, _ = client.answer()
            if name != "closing":
                assert sequence not in replies, "two responses to one request"
                replies[sequence] = status, body
    except EOFError:
        return replies
