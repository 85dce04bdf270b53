"""Runs one node of a soak test with its worker pool, links and clients.

A node has one process at a time; after a kill, a new process takes the place of the old one. This module
records the lifetime of each process. It must end every process that it started, by process id, on errors too.
"""

import copy
import json
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from finchcart.fault_injection.processes.child_processes import CHILD_ENV, cpu_and_peak_memory
from finchcart.fault_injection.processes.loopback_addresses import unique_address
from finchcart.fault_injection.processes.node_configuration import EXAMPLE_CONFIGURATION
from finchcart.fault_injection.processes.process_shim import ProcessShim
from finchcart.fault_injection.processes.socket_trace import TRACE_VARIABLE, AcceptedSocket, read_trace
from finchcart.fault_injection.soak.lost_requests import add_write_times
from finchcart.fault_injection.soak.plan import SoakPlan
from finchcart.fault_injection.soak.recorded_rules import (
    SLACK_S,
    Pause,
    ProcessLifetime,
    RuleLimits,
    find_breaches,
)
from finchcart.fault_injection.soak.recording_client import ClientRpcRecord, RecordingClient
from finchcart.fault_injection.soak.stream_relay import StreamRelay
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.registry import SimulatedRegistry
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

READY_TIMEOUT_S = 10.0
US_PER_S = 1_000_000
POOL_AGE_S = 60.0  # a worker pool this much older than the node was not started together with it


class SoakNode:
    """One node of a soak test: its successive processes, its worker pool, links and clients."""

    def __init__(self, plan: SoakPlan, name: str, folder: Path, shim: ProcessShim, store: tuple) -> None:
        self.plan = plan
        self.name = name
        self.shim = shim
        self.listen = unique_address()
        self.lifetimes: list[ProcessLifetime] = []
        self.problems: list[str] = []
        self.log_path = folder / f"{name}.log"
        self._trace_path = folder / f"{name}.sockets"
        self._config_path = folder / f"{name}.json"
        self._process_began = 0.0
        self._pauses: list[Pause] = []
        self._process: subprocess.Popen | None = None
        self._watched_pid = 0
        pool_address = unique_address()
        makes_call = {method.name: method.name == "look-up" for method in plan.methods}
        self.pool = SimulatedWorkerPool(pool_address, makes_call, plan.work_s, plan.cores)
        self.pool.started -= POOL_AGE_S
        self.pool_relay = StreamRelay(unique_address(), lambda: pool_address, plan.seed)
        self.store_relay = StreamRelay(unique_address(), lambda: store, plan.seed + 1)
        self._write_config()
        self.clients = [
            RecordingClient(
                name, self.listen, plan.methods, plan.load, 1000 * plan.seed + number, self._unix_time
            )
            for number in range(plan.clients)
        ]

    def _unix_time(self) -> float:
        return time.time() + (self.shim.clock_offset_s if self.plan.dispatcher_clocks_follow else 0.0)

    def _write_config(self) -> None:
        plan = self.plan
        config = copy.deepcopy(EXAMPLE_CONFIGURATION)
        config["stop_ms"] = plan.stop_s * 1000
        config["limits"] |= {"memory_mb": plan.memory_mb, "sockets": plan.sockets}
        settings = config["settings"]
        settings["contract"] |= {
            "overloadFactor": plan.overload_factor,
            "stopSendingWithin": int(plan.grace_s * US_PER_S),
        }
        settings["familyInfo"] |= {
            "cores": plan.cores,
            "memoryKb": plan.memory_kb,
            "runFactor": plan.run_factor,
            "callsOut": plan.calls_out,
            "classCalls": [method.name == "look-up" for method in plan.methods],
            "worthWithout": [0.6 if method.name == "look-up" else 0.0 for method in plan.methods],
        }
        settings["services"] = [
            {
                "name": method.name,
                "effect": method.kind,
                "worth": 1.0 + number,
                "target": int(0.4 * method.deadline_s * US_PER_S),
                "deadline": int(method.deadline_s * US_PER_S),
                "window": int(method.window_s * US_PER_S),
                "lateWorth": 0.0,
            }
            for number, method in enumerate(plan.methods)
        ]
        registry = unique_address()
        SimulatedRegistry(registry, on_change=lambda text: None)
        addresses = {
            "listen": self.listen,
            "pool": self.pool_relay.address,
            "store": self.store_relay.address,
            "roster": registry,
        }
        texts = {party: f"{host}:{port}" for party, (host, port) in addresses.items()}
        self._config_path.write_text(json.dumps({**config, "name": self.name, **texts}))

    # ---- Processes

    def start(self, defect: str | None) -> None:
        """Start a process of the node, and wait until it answers a heartbeat."""
        module = "finchcart.fault_injection.soak.planted_defects" if defect else "finchcart"
        environment = {**os.environ, **CHILD_ENV, **self.shim.environment}
        environment |= {"ROUTER_CONFIG": str(self._config_path), "FINCHCART_PLANT": defect or ""}
        environment[TRACE_VARIABLE] = str(self._trace_path)
        self._process_began = time.monotonic()
        self._pauses = []
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen([sys.executable, "-m", module], stderr=log, env=environment)
        end = time.monotonic() + READY_TIMEOUT_S
        while not self._is_healthy():
            if self._process.poll() is not None or time.monotonic() > end:
                self.problems.append(f"crash: {self.name} did not start: exit status {self._process.poll()}")
                return
            time.sleep(0.02)

    def _is_healthy(self) -> bool:
        try:
            client = Client(self.listen)
            client.sock.settimeout(1.0)
            client.heartbeat()
            return client.answer().outcome == "ok"
        except (OSError, EOFError):
            return False
        finally:
            with suppress(NameError, UnboundLocalError):
                client.sock.close()

    @property
    def pid(self) -> int | None:
        """The id of the running process, or None."""
        return self._process.pid if self._process and self._process.poll() is None else None

    def check_resources(self) -> None:
        """Check the descriptors and the memory of the process against the configured limits."""
        pid = self.pid
        if pid is None:
            return
        with suppress(OSError, StopIteration):
            descriptors = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
            if descriptors > self.plan.sockets:
                self.problems.append(f"fall-over: {descriptors} open descriptors, limit {self.plan.sockets}")
            _, peak_mb = cpu_and_peak_memory(pid)
            if peak_mb > self.plan.memory_mb:
                self.problems.append(f"fall-over: {peak_mb:.0f} MB peak memory, limit {self.plan.memory_mb}")

    def pause(self, seconds: float) -> None:
        """Suspend the process with SIGSTOP for this time."""
        began = time.monotonic()
        self._process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self._process.send_signal(signal.SIGCONT)
        self._pauses.append(Pause(began, time.monotonic()))

    def kill_without_notice(self) -> None:
        """Kill the process without a drain notice."""
        self._process.kill()
        self._process.wait()
        self._record_lifetime(None, None, killed_without_notice=True)

    def shut_down(self) -> None:
        """Send the drain notice, and check that the process ends before the earliest time of the kill."""
        notice_at = time.monotonic()
        for number in self.plan.signals:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)
        kill_at = notice_at + self.plan.earliest_kill_s
        try:
            status = self._process.wait(max(0.0, kill_at + SLACK_S - time.monotonic()))
            if status != 0:
                self.problems.append(f"crash: {self.name} ended with exit status {status}")
        except subprocess.TimeoutExpired:
            self.problems.append(f"lost: {self.name} was still running at the time of the kill")
            self._process.kill()
            self._process.wait()
        self._record_lifetime(notice_at, kill_at, killed_without_notice=False)

    def _record_lifetime(
        self, notice_at: float | None, kill_at: float | None, killed_without_notice: bool
    ) -> None:
        now = time.monotonic()
        lifetime = ProcessLifetime(
            self._process_began, notice_at, kill_at, now, killed_without_notice, tuple(self._pauses)
        )
        self.lifetimes.append(lifetime)

    def end(self) -> None:
        """Kill the process if it is running, and close the relays."""
        if self.pid is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        for relay in (self.pool_relay, self.store_relay):
            relay.end()

    # ---- Results

    def records(self) -> list[ClientRpcRecord]:
        """Return the records of all clients."""
        return [record for client in self.clients for record in client.records]

    def sockets(self) -> dict[int, list[AcceptedSocket]]:
        """Return the traced connections that the node's processes accepted, by the client's port."""
        return read_trace(self._trace_path)

    def check_rules(self, slack_s: float) -> list[str]:
        """Return a line for each rule that this node broke."""
        plan = self.plan
        rules = RuleLimits(
            plan.grace_s,
            plan.overload_factor,
            plan.overload_window_s,
            plan.cores,
            plan.memory_kb,
            plan.run_factor,
            slack_s,
        )
        found = [*dict.fromkeys(self.problems)]
        records, sockets = self.records(), self.sockets()
        add_write_times(records, sockets)
        found += find_breaches(rules, self.lifetimes, records, self.pool.history, sockets)
        if "Traceback" in self.log_path.read_text(errors="replace"):
            found.append(f"crash: traceback in the log of {self.name}")
        return [f"{self.name}: {line}" for line in found]
