"""Each system call of a node, failed in each documented way, at each count in turn.

Owns the processes of a sweep. As SQLite does with allocations: the call with number 1, 2, 3, … fails, until a
run ends in which none failed. It must never take for a fault of the node what the error itself says: a
connection of a client's that is broken by its own error is not served.
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

METHODS = {"look-up": True, "book": False}  # whether their runs make a call
READY_S = 10.0
RPCS = 5  # on connections of their own, while a call fails
MOST_COUNT = 20
WORK_S = 0.005
LONG_AGO_S = 60.0
# Errors that say of a connection that it is broken: what it carried from a client is lost with it.
BREAKING = {
    SystemCall.RECV: (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    SystemCall.SEND: (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT),
}


class CallFault(NamedTuple):
    """One fault: this call fails with this errno at this count, and `times` in all."""

    call: SystemCall
    error: int
    count: int
    times: int = 1

    @property
    def breaks_connections(self) -> bool:
        """Whether the error says that a connection is broken."""
        return self.error in BREAKING.get(self.call, ())

    def __str__(self) -> str:
        return f"{self.call.name.lower()} {self.count}+{self.times}: {os.strerror(self.error)}"


def all_faults(most_count: int = MOST_COUNT) -> list[CallFault]:
    """Return a fault for each call, documented error and count."""
    return [
        CallFault(call, error, count)
        for call, errors in DOCUMENTED_ERRORS.items()
        for error in errors
        for count in range(1, most_count + 1)
    ]


class CallSweep:
    """Starts nodes with the library loaded, beside peers of their own; lines tell what went wrong."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        library = build_library(folder)
        if library is None:
            raise RuntimeError("no C compiler")
        self._library = library
        self._nodes = 0

    def play_start(self, fault: CallFault) -> list[str]:
        """Fail the call while a node starts; it is to serve even so."""
        node = ShimmedNode(self._folder, self._library, self._next_name())
        try:
            node.shim.fail_at(fault.call, fault.count, fault.error, fault.times)
            node.start()
            problem = node.wait_until_serving()
            return [f"start, {fault}: {problem}"] if problem else []
        finally:
            node.end()

    def play_in_service(self, faults: Iterable[CallFault]) -> list[str]:
        """Fail the calls of one node, one after the other, while it serves."""
        found: list[str] = []
        node = ShimmedNode(self._folder, self._library, self._next_name())
        try:
            node.start()
            problem = node.wait_until_serving()
            if problem:
                return [f"start: {problem}"]
            for fault in faults:
                found += self._play_fault(node, fault)
        finally:
            node.end()
        return found

    def _play_fault(self, node: "ShimmedNode", fault: CallFault) -> list[str]:
        node.shim.fail_at(fault.call, fault.count, fault.error, fault.times)
        outcomes = [node.outcome_of_rpc() for _ in range(RPCS)]
        node.shim.stop_failing(fault.call)
        wrong = [outcome for outcome in outcomes if outcome != ClientOutcome.OK]
        if fault.breaks_connections or fault.call is SystemCall.CONNECT:
            wrong = []  # the client's connection, or its run's only call, is the one that broke
        after = node.wait_until_serving()
        if after:
            return [f"in service, {fault}: {after}"]
        return [f"in service, {fault}: {outcome}" for outcome in wrong]

    def _next_name(self) -> str:
        self._nodes += 1
        return f"node{self._nodes}"


class ShimmedNode:
    """A node with the library loaded, and its peers in this process."""

    def __init__(self, folder: Path, library: Path, name: str) -> None:
        self.shim = ProcessShim(library, folder, name)
        self._log_path = folder / f"{name}.log"
        self._config_path = folder / f"{name}.json"
        self._process: subprocess.Popen | None = None
        addresses = {party: unique_address() for party in ("listen", "pool", "store", "roster")}
        self._listen = addresses["listen"]
        texts = {party: f"{host}:{port}" for party, (host, port) in addresses.items()}
        self._config_path.write_text(json.dumps({**EXAMPLE_CONFIGURATION, "name": name, **texts}))
        SimulatedWorkerPool(addresses["pool"], METHODS, WORK_S).started -= LONG_AGO_S
        SimulatedStore(addresses["store"])
        SimulatedRegistry(addresses["roster"], on_change=lambda text: None)

    def start(self) -> None:
        """Start the process as the deploy file does."""
        environment = {**os.environ, **CHILD_ENV, **self.shim.environment}
        environment["ROUTER_CONFIG"] = str(self._config_path)
        with self._log_path.open("wb") as log:
            command = [sys.executable, "-m", "finchcart"]
            self._process = subprocess.Popen(command, stderr=log, env=environment)

    def wait_until_serving(self) -> str:
        """Return what is wrong, or nothing once an RPC is served."""
        end = time.monotonic() + READY_S
        outcome = "not reached"
        while time.monotonic() < end:
            status = self._process.poll()
            if status is not None:
                return f"ended with status {status}: {self._last_log_line()}"
            outcome = self.outcome_of_rpc()
            if outcome == ClientOutcome.OK:
                return "" if "Traceback" not in self._log_path.read_text() else "a traceback in its log"
            time.sleep(0.02)
        return f"does not serve: {outcome}"

    def outcome_of_rpc(self) -> str:
        """Return what became of one RPC on a connection of its own."""
        try:
            client = Client(self._listen)
        except OSError as error:
            return f"not connected: {error}"
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
        return lines[-1] if lines else "nothing logged"

    def end(self) -> None:
        """End the process."""
        if self._process and self._process.poll() is None:
            with suppress(OSError):
                self._process.kill()
            self._process.wait()
