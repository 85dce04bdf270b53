"""Fails each system call of a node with each documented error, at the first call, the second call and so on.

SQLite tests failures of memory allocation in the same way. Each node has its own simulated peers, and each
node process is ended with its sweep. An RPC that fails only because the injected error broke its connection
is not reported as a fault of the node.
"""

import errno
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from finchcart.fault_injection.processes.child_processes import CHILD_ENV
from finchcart.fault_injection.processes.loopback_addresses import unique_address
from finchcart.fault_injection.processes.node_configuration import EXAMPLE_CONFIGURATION
from finchcart.fault_injection.processes.process_shim import (
    DOCUMENTED_ERRORS,
    ProcessShim,
    SystemCall,
    build_library,
)
from finchcart.simulated_peers.client import Client, ClientOutcome
from finchcart.simulated_peers.registry import SimulatedRegistry
from finchcart.simulated_peers.store import SimulatedStore
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

METHODS = {"look-up": True, "book": False}  # method name -> whether its runs make a call
READY_TIMEOUT_S = 10.0
RPCS_PER_FAULT = 5  # sent under each fault, each on its own connection
MAX_CALL_NUMBER = 20  # default for the number of the last call that is failed
WORK_S = 0.005
POOL_AGE_S = 60.0  # a worker pool this much older than the node was not started together with it
# Errors that mean that the connection is broken; the requests in flight on the connection are then lost.
CONNECTION_ERRORS = {
    SystemCall.RECV: (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    SystemCall.SEND: (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT),
}


class CallFault(NamedTuple):
    """One fault: `failures` calls in a row, from number `call_number` on, fail with the errno `error`."""

    call: SystemCall
    error: int
    call_number: int
    failures: int = 1

    @property
    def breaks_connections(self) -> bool:
        """Whether the error means that a connection is broken."""
        return self.error in CONNECTION_ERRORS.get(self.call, ())

    def __str__(self) -> str:
        return f"{self.call.name.lower()} {self.call_number}+{self.failures}: {os.strerror(self.error)}"


def all_faults(max_call_number: int = MAX_CALL_NUMBER) -> list[CallFault]:
    """Return a fault for each combination of call, documented error and call number."""
    return [
        CallFault(call, error, call_number)
        for call, errors in DOCUMENTED_ERRORS.items()
        for error in errors
        for call_number in range(1, max_call_number + 1)
    ]


class CallSweep:
    """Checks nodes with the preloaded library, each with its own peers; returns a line for each problem."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        library = build_library(folder)
        if library is None:
            raise RuntimeError("no C compiler found; it is needed to build the fault-injection library")
        self._library = library
        self._nodes = 0

    def check_start(self, fault: CallFault) -> list[str]:
        """Inject the fault while a node starts, and check that the node serves RPCs nevertheless."""
        node = ShimmedNode(self._folder, self._library, self._next_name())
        try:
            node.shim.fail_at(fault.call, fault.call_number, fault.error, fault.failures)
            node.start()
            problem = node.wait_until_serving()
            return [f"start, {fault}: {problem}"] if problem else []
        finally:
            node.end()

    def check_in_service(self, faults: Iterable[CallFault]) -> list[str]:
        """Inject the faults into one node, one after the other, while it serves RPCs."""
        found: list[str] = []
        node = ShimmedNode(self._folder, self._library, self._next_name())
        try:
            node.start()
            problem = node.wait_until_serving()
            if problem:
                return [f"start: {problem}"]
            for fault in faults:
                found += self._check_fault(node, fault)
        finally:
            node.end()
        return found

    def _check_fault(self, node: "ShimmedNode", fault: CallFault) -> list[str]:
        node.shim.fail_at(fault.call, fault.call_number, fault.error, fault.failures)
        outcomes = [node.outcome_of_rpc() for _ in range(RPCS_PER_FAULT)]
        node.shim.stop_failing(fault.call)
        wrong = [outcome for outcome in outcomes if outcome != ClientOutcome.OK]
        if fault.breaks_connections or fault.call is SystemCall.CONNECT:
            wrong = []  # the fault broke the client's connection or the run's only call
        after = node.wait_until_serving()
        if after:
            return [f"in service, {fault}: {after}"]
        return [f"in service, {fault}: {outcome}" for outcome in wrong]

    def _next_name(self) -> str:
        self._nodes += 1
        return f"node{self._nodes}"


class ShimmedNode:
    """A node process with the preloaded library; its simulated peers run in this process."""

    def __init__(self, folder: Path, library: Path, name: str) -> None:
        self.shim = ProcessShim(library, folder, name)
        self._log_path = folder / f"{name}.log"
        self._config_path = folder / f"{name}.json"
        self._process: subprocess.Popen | None = None
        addresses = {party: unique_address() for party in ("listen", "pool", "store", "roster")}
        self._listen = addresses["listen"]
        texts = {party: f"{host}:{port}" for party, (host, port) in addresses.items()}
        self._config_path.write_text(json.dumps({**EXAMPLE_CONFIGURATION, "name": name, **texts}))
        SimulatedWorkerPool(addresses["pool"], METHODS, WORK_S).started -= POOL_AGE_S
        SimulatedStore(addresses["store"])
        SimulatedRegistry(addresses["roster"], on_change=lambda text: None)

    def start(self) -> None:
        """Start the process with the command that the deployment uses."""
        environment = {**os.environ, **CHILD_ENV, **self.shim.environment}
        environment["ROUTER_CONFIG"] = str(self._config_path)
        with self._log_path.open("wb") as log:
            command = [sys.executable, "-m", "finchcart"]
            self._process = subprocess.Popen(command, stderr=log, env=environment)

    def wait_until_serving(self) -> str:
        """Wait until the node serves an RPC; return an empty string, or a description of the problem."""
        end = time.monotonic() + READY_TIMEOUT_S
        outcome = "no RPC was sent"
        while time.monotonic() < end:
            status = self._process.poll()
            if status is not None:
                return f"ended with status {status}: {self._last_log_line()}"
            outcome = self.outcome_of_rpc()
            if outcome == ClientOutcome.OK:
                return "" if "Traceback" not in self._log_path.read_text() else "traceback in the node's log"
            time.sleep(0.02)
        return f"does not serve RPCs: {outcome}"

    def outcome_of_rpc(self) -> str:
        """Send one RPC on a new connection and return its outcome, or why there is none."""
        try:
            client = Client(self._listen)
        except OSError as error:
            return f"connection failed: {error}"
        try:
            sequence = client.submit("look-up", b"x" * 100)
            answer = client.answer()
            while answer.sequence != sequence or answer.name == "closing":
                answer = client.answer()
            return answer.outcome
        except (OSError, EOFError) as error:
            return f"no answer: {type(error).__name__}"
        finally:
            client.sock.close()

    def _last_log_line(self) -> str:
        lines = self._log_path.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "empty log"

    def end(self) -> None:
        """Kill the process if it is running."""
        if self._process and self._process.poll() is None:
            with suppress(OSError):
                self._process.kill()
            self._process.wait()
