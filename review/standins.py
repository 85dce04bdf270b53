"""Stand-ins and process control that the cases of this review share.

The worker pool, the registry and the dispatchers follow PROTOCOL.md. Every address is a loopback address.
`Case` owns the temporary folder and all processes that a case starts, and ends each of them by its id.
"""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from finchcart.simulated_peers.client import Client, ClientOutcome  # noqa: E402
from finchcart.thrift.binary_protocol import (  # noqa: E402
    I32,
    ONEWAY,
    encode_message,
    pack_field,
    pack_length,
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
PYTHON = str(ROOT / ".venv/bin/python")
MS = 1_000


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class RunRecord(NamedTuple):
    """A run that a worker pool began."""

    at: float  # seconds on the monotonic clock
    pool: str
    handle: str
    body: bytes


class Record:
    """The lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Append one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
            self._file.flush()


class Pool:
    """A worker pool: runs each request for `work_s` seconds and returns its body in upper case.

    `is_over(handle)` tells whether a request was answered or given up; such a request is not started.
    `is_new` tells whether the pool is cold at its start.
    """

    def __init__(
        self,
        name: str,
        port: int,
        work_s: float,
        record: Record,
        is_over: Callable[[str], bool],
        is_new: bool = False,
    ) -> None:
        self.name = name
        self._fate = "new" if is_new else "old"
        self.port = port
        self.work_s = work_s
        self.runs: list[RunRecord] = []
        self._record = record
        self._is_over = is_over
        self._lock = threading.RLock()
        self._link: socket.socket | None = None
        self._notices: list[dict[str, Any]] = []
        self._running: set[str] = set()
        self._started = time.monotonic()
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self._listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with suppress(OSError, ValueError):
            for line in link.makefile("rb"):
                message = json.loads(line)
                with self._lock:
                    self._handle(link, message)
        with suppress(OSError):
            link.close()

    def _handle(self, link: socket.socket, message: dict[str, Any]) -> None:
        event = message["event"]
        if event == "bind":
            self._bind(link, message["cursor"])
        elif event == "poll":
            figures = [min(1.0, len(self._running) / 4), len(self._running), 0.0, 0]
            self._write(link, event="polled", ticket=message["ticket"], figures=figures)
        elif event == "spawn":
            self._spawn(message["handle"], b64decode(message["arg"]))
        else:
            self._write(link, event="unknown", fate=event, handle=message.get("handle", ""))

    def _bind(self, link: socket.socket, cursor: int) -> None:
        self._link = link
        if cursor == 0:
            self._notices.clear()
        lasted = int((time.monotonic() - self._started) * MS)
        self._write(link, event="bound", fate=self._fate, lasted=lasted)
        for notice in self._notices[cursor:]:
            self._write(link, **notice)

    def _spawn(self, handle: str, body: bytes) -> None:
        if handle in self._running:
            return
        if self._is_over(handle):
            self._record.write(f"pool {self.name}: {handle} not started, the request is over")
            self._notify(handle, "gone", b"", 0.0)
            return
        self._running.add(handle)
        self.runs.append(RunRecord(time.monotonic(), self.name, handle, body))
        self._record.write(f"pool {self.name}: run of {handle} begins, body {body.decode()}")
        timer = threading.Timer(self.work_s, self._end, (handle, body))
        timer.daemon = True
        timer.start()

    def _end(self, handle: str, body: bytes) -> None:
        with self._lock:
            self._running.discard(handle)
            self._notify(handle, "good", body.upper(), self.work_s * MS)

    def _notify(self, handle: str, fate: str, result: bytes, lasted: float) -> None:
        notice = {
            "event": "finished",
            "cursor": len(self._notices) + 1,
            "handle": handle,
            "fate": fate,
            "lasted": lasted,
            "arg": b64encode(result).decode(),
        }
        self._notices.append(notice)
        if self._link is not None:
            self._write(self._link, **notice)

    def _write(self, link: socket.socket, **message: object) -> None:
        with suppress(OSError):
            link.sendall(json.dumps(message).encode() + b"\n")


class Registry:
    """A registry, which reads the nodes' reports and answers nothing."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        while True:
            self.sock.recvfrom(512)


class Try:
    """One try of a request, and its final answer once there is one."""

    def __init__(self, node: str, handle: str, key: str | None) -> None:
        self.node = node
        self.handle = handle
        self.key = key
        self.sent_at = 0.0
        self.outcome: ClientOutcome | None = None
        self.result = b""
        self.answered = threading.Event()
        self.is_over = False  # answered, or given up
        self.is_told = False  # the worker pool was told so


class Dispatcher:
    """A dispatcher's connection to one node, with a thread that reads the answers."""

    def __init__(self, node: str, port: int, number: int, record: Record) -> None:
        self.node = node
        self.tries: dict[int, Try] = {}
        self.is_closing = False  # the node sent `closing`, or the connection ended: no new request here
        self._number = number
        self._record = record
        self._client = Client(("127.0.0.1", port))
        self._client.sock.settimeout(None)
        self._client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def submit(self, method: str, body: bytes, key: str | None, is_retry: bool, known: dict[str, Try]) -> int:
        """Send a try; return its sequence number. `known` receives the try by its id."""
        handle = secrets.token_hex(8)
        tried = Try(self.node, handle, key)
        tried.sent_at = time.monotonic()
        known[handle] = tried
        fields = {"i": handle, "f": str(self._number), **({"r": "1"} if is_retry else {})}
        sequence = self._client.sequence + 1
        self.tries[sequence] = tried
        about = f"key {key and key[:8]}, body {body.decode()}{', retry' * is_retry}"
        self._record.write(f"to {self.node}: try {handle} of {about}")
        self._client.submit(method, body, key, **fields)
        return sequence

    def revoke(self, sequence: int) -> None:
        """Give a try up, and tell the node."""
        tried = self.tries[sequence]
        tried.is_over = True
        self._record.write(f"to {self.node}: revoke of try {tried.handle}")
        data = encode_message(ONEWAY, b"revoke", 0, pack_field(I32, 1) + pack_length(sequence) + b"\0")
        self._client.sock.sendall(data)

    def _read(self) -> None:
        with suppress(OSError, EOFError):
            while True:
                answer = self._client.answer()
                if answer.name == "closing":
                    self.is_closing = True
                    continue
                tried = self.tries.get(answer.sequence)
                if answer.name != "submit" or tried is None:
                    continue
                tried.outcome = answer.outcome
                tried.result = answer.body
                tried.is_over = True
                tried.answered.set()
                self._record.write(
                    f"from {self.node}: try {tried.handle}: {answer.outcome} {answer.body.decode()!r}"
                )
        self.is_closing = True

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self._client.sock.shutdown(socket.SHUT_RDWR)


def method(name: str, effect: str, deadline_ms: int = 4600, window_ms: int = 13_000) -> dict[str, Any]:
    """Return the settings of one method, with the times of bayern-pruefung."""
    return {
        "name": name,
        "effect": effect,
        "worth": 3.0,
        "target": 1_800_000,
        "deadline": deadline_ms * MS,
        "window": window_ms * MS,
        "lateWorth": 0.0,
    }


def node_config(
    name: str, port: int, pool: int, store: int, registry: int, methods: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the configuration of a node like that of example/config.json, whose runs make no calls."""
    config: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text(encoding="utf-8"))
    config |= {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "pool": f"127.0.0.1:{pool}",
        "store": f"127.0.0.1:{store}",
        "roster": f"127.0.0.1:{registry}",
        "seed": secrets.token_hex(8),
    }
    config["settings"]["services"] = methods
    family = config["settings"]["familyInfo"]
    family["classCalls"] = [False] * len(methods)
    family["worthWithout"] = [0.0] * len(methods)
    family["kbPerKey"] = 10.0
    return config


class Case:
    """The folder, the record and the processes of one run of a case."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="finchcart-review-")
        self.folder = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[Any]] = []

    def write(self, name: str, tree: object) -> Path:
        """Write a JSON file into the temporary folder."""
        path = self.folder / name
        path.write_text(json.dumps(tree, indent=1), encoding="utf-8")
        return path

    def start(self, name: str, command: str, **environment: str) -> "subprocess.Popen[bytes]":
        """Start a program from the root with /bin/sh -c, as the deploy file's `run` line is started."""
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        return process

    def log_text(self, name: str) -> str:
        """Return what a program has logged."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def await_log(self, name: str, text: str, timeout_s: float) -> None:
        """Wait until a program has logged a text."""
        until = time.monotonic() + timeout_s
        while text not in self.log_text(name):
            if time.monotonic() > until:
                raise TimeoutError(
                    f"{name} did not log {text!r} within {timeout_s} s:\n{self.log_text(name)}"
                )
            time.sleep(0.05)

    def end(self) -> None:
        """End all processes that the case started, and remove the temporary folder."""
        for process in self.processes:
            with suppress(OSError):
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        self.temporary.cleanup()


def run_case(folder: Path, play: Callable[[Case], int]) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    case = Case(folder)
    try:
        status = play(case)
    except Exception as error:
        case.record.write(f"the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = NOT_RUN
    finally:
        case.end()
    return status
