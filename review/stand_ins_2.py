"""Stand-ins for the cases of the second review: dispatchers, worker pool, store and registry of a node.

They follow the operators' protocol page and run in the event loop of a case, in a process beside the nodes.
"""

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = "trap '' HUP; exec env MALLOC_ARENA_MAX=2 .venv/bin/python -m finchcart"  # the deploy file's `run`
Address = tuple[str, int]
STEP_S = 0.02
LIMIT_S = 110  # a case that takes longer could not run
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Return a loopback address whose port is free now."""
    return "127.0.0.1", free_port(kind)


def text_of(address: Address) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


# ---- Thrift: framed transport, strict binary protocol


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def encode_submit(sequence: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return a `submit` call as one frame."""
    pairs = b"".join(_string(name.encode()) + _string(text.encode()) for name, text in fields.items())
    header = b"\x80\x01\x00\x01" + _string(b"submit") + struct.pack(">i", sequence)
    arguments = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields)) + pairs
    return _string(header + arguments + b"\x0b\x00\x02" + _string(body) + b"\0")


def encode_heartbeat(sequence: int) -> bytes:
    """Return a `heartbeat` call as one frame."""
    header = b"\x80\x01\x00\x01" + _string(b"heartbeat") + struct.pack(">i", sequence)
    return _string(header + b"\x02\x00\x01\x01\0")


class ThriftReader:
    """Reads the values of one message in sequence."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def take(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        self.position += count
        if count < 0 or self.position > len(self.data):
            raise ValueError("a message that ends too early")
        return self.data[self.position - count : self.position]

    def integer(self) -> int:
        """Return an i32."""
        return struct.unpack(">i", self.take(4))[0]

    def string(self) -> bytes:
        """Return a string."""
        return self.take(self.integer())

    def map(self) -> dict:
        """Return a map."""
        key, value, count = struct.unpack(">bbi", self.take(6))
        return {self.value(key): self.value(value) for _ in range(count)}

    def value(self, kind: int) -> object:
        """Return a value of a type that nodes send."""
        readers: dict[int, Callable[[], object]] = {
            2: lambda: self.take(1) != b"\0",
            8: self.integer,
            11: self.string,
            12: self.struct,
            13: self.map,
        }
        return readers[kind]()

    def struct(self) -> dict:
        """Return a struct by the numbers of its fields."""
        fields = {}
        while True:
            kind = self.take(1)[0]
            if kind == 0:
                return fields
            number = struct.unpack(">h", self.take(2))[0]
            fields[number] = self.value(kind)


class Request:
    """One try of a request, with what became of it."""

    def __init__(self, method: str, body: bytes, key: str | None = None, hint_ms: float = 50) -> None:
        self.id = secrets.token_hex(8)
        self.method = method
        self.body = body
        self.key = key
        self.hint_ms = hint_ms
        self.sent_at = 0.0
        self.answer = ""  # served, refused, failed or exception; empty while there is none
        self.answered_at = 0.0
        self.runs = 0  # how often the worker pool has run it
        self.run_at = 0.0  # when its last run began
        self.is_over = False  # answered, or its connection has ended


def _kind_of_answer(kind: int, result: dict) -> str:
    if kind == 3:
        return "exception"
    return "served" if 0 in result else "refused" if 1 in result else "failed"


class Dispatcher:
    """A dispatcher with one connection, which is opened anew after `closing` or an end."""

    def __init__(self, node: "Node", number: int) -> None:
        self.node = node
        self.number = number
        self.open: dict[int, Request] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._tasks: set[asyncio.Task] = set()
        self._sequence = 0

    async def send(self, request: Request) -> Request:
        """Send a request at once."""
        if self._writer is None or self._writer.is_closing():
            await self._connect()
        assert self._writer is not None
        self._sequence += 1
        self.open[self._sequence] = request
        self.node.requests[request.id] = request
        request.sent_at = time.monotonic()
        fields = {"c": request.method, "i": request.id, "s": str(time.time_ns() // 1_000_000)}
        fields |= {"f": str(self.number), "h": f"{request.hint_ms:.2f}", "m": "24.5"}
        fields["p"] = "0.5000"
        if request.key:
            fields["k"] = request.key
        self._writer.write(encode_submit(self._sequence, fields, request.body))
        return request

    async def wait(self, request: Request) -> None:
        """Wait until a request is over, for ten seconds at most, and close the connection."""
        for _ in range(1000):
            if request.is_over:
                break
            await asyncio.sleep(0.01)
        if self._writer is not None:
            self._writer.close()

    async def _connect(self) -> None:
        reader, self._writer = await asyncio.open_connection(*self.node.listen)
        self._sequence = 0
        self.open = {}  # the requests of an earlier connection stay with that one
        task = asyncio.create_task(self._read(reader, self._writer, self.open))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, requests: dict[int, Request]
    ) -> None:
        is_closing = False
        try:
            while not (is_closing and not requests):
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                is_closing |= self._message(await reader.readexactly(size), requests)
                if is_closing and self._writer is writer:
                    self._writer = None  # the next request goes out on a new connection
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            for request in requests.values():
                request.is_over = True
            writer.close()

    def _message(self, data: bytes, requests: dict[int, Request]) -> bool:
        reader = ThriftReader(data)
        kind = reader.integer() & 0xFF
        name = reader.string()
        sequence = reader.integer()
        if name == b"closing":
            return True
        request = requests.pop(sequence, None)
        if request is not None:
            request.answer = _kind_of_answer(kind, reader.struct())
            request.answered_at = time.monotonic()
            request.is_over = True
        return False


class WorkerPool:
    """The worker pool of one node.

    A run needs a core for `work` seconds; runs share the cores evenly. The methods `calls` then make one call
    to the store. `kill` and `start` are a kill of its process and a start from nothing. The link is accepted
    while it is down, and `bound` waits until it is up.
    """

    def __init__(self, node: "Node", calls: tuple[str, ...], work: float, cores: int) -> None:
        self.node = node
        self.calls = calls
        self.work = work
        self.cores = cores
        self.runs: dict[str, asyncio.Task] = {}
        self.waiting: dict[str, asyncio.Future] = {}
        self.commands = 0  # commands to run that were read since the last start
        self.finished = 0  # runs that were finished since the last start
        self._notices: list[dict] = []
        self._link: asyncio.StreamWriter | None = None
        self._links: set[asyncio.StreamWriter] = set()
        self._is_up = asyncio.Event()
        self._started = 0.0

    async def listen(self, address: Address) -> None:
        """Accept links at this address."""
        await asyncio.start_server(self._serve, *address)

    def start(self) -> None:
        """Come up from nothing."""
        self._started = time.monotonic()
        self._notices = []
        self.commands = self.finished = 0
        self._is_up.set()

    def kill(self) -> None:
        """End at once, with all runs."""
        self._is_up.clear()
        for run in self.runs.values():
            run.cancel()
        self.runs.clear()
        self.waiting.clear()
        for link in self._links:
            link.transport.abort()
        self._link = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._links.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                await self._is_up.wait()
                if writer.is_closing():
                    break
                self._command(writer, json.loads(line))
        except OSError:
            pass
        finally:
            self._links.discard(writer)
            writer.close()

    def _write(self, writer: asyncio.StreamWriter | None, message: dict) -> None:
        if writer is not None and not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def _notify(self, event: str, handle: str, **more: object) -> None:
        notice = {"event": event, "cursor": len(self._notices) + 1, "handle": handle, **more}
        self._notices.append(notice)
        self._write(self._link, notice)

    def _command(self, writer: asyncio.StreamWriter, message: dict) -> None:
        handlers = {"bind": self._bind, "poll": self._poll, "spawn": self._spawn}
        handlers |= {"supply": self._resume, "pass": self._resume}
        handlers[message["event"]](writer, message)

    def _bind(self, writer: asyncio.StreamWriter, message: dict) -> None:
        self._link = writer
        lasted = int((time.monotonic() - self._started) * 1000)
        self._write(writer, {"event": "bound", "fate": "new", "lasted": lasted})
        for notice in self._notices[message["cursor"] :]:
            self._write(writer, notice)

    def _poll(self, writer: asyncio.StreamWriter, message: dict) -> None:
        on_cores = len(self.runs) - len(self.waiting)
        figures = [min(1.0, on_cores / self.cores), on_cores, 0.1, 1]
        self._write(writer, {"event": "polled", "ticket": message["ticket"], "figures": figures})

    def _spawn(self, writer: asyncio.StreamWriter, message: dict) -> None:
        self.commands += 1
        handle = message["handle"]
        request = self.node.requests.get(handle)
        body = base64.b64decode(message["arg"])
        if request is None or (request.method, request.body) != (message["entry"], body):
            self._write(writer, {"event": "unknown", "fate": "spawn", "handle": handle})
        elif request.is_over:
            self._notify("finished", handle, fate="gone", lasted=0, arg="")
        elif handle not in self.runs:
            request.runs += 1
            request.run_at = time.monotonic()
            self.runs[handle] = asyncio.create_task(self._run(request))

    def _resume(self, writer: asyncio.StreamWriter, message: dict) -> None:
        waiting = self.waiting.pop(message["handle"], None)
        if waiting is not None:
            waiting.set_result(base64.b64decode(message.get("arg", "")))

    async def _run(self, request: Request) -> None:
        began = time.monotonic()
        result = b"done " + request.body
        await self._work()
        fate = "good"
        if request.method in self.calls:
            reply = await self._call(request)
            fate = "cut" if reply is None else "good"
            result += reply or b""
        del self.runs[request.id]
        self.finished += 1
        lasted = int((time.monotonic() - began) * 1000)
        self._notify("finished", request.id, fate=fate, lasted=lasted, arg=base64.b64encode(result).decode())

    async def _work(self) -> None:
        done = 0.0
        before = time.monotonic()
        while done < self.work:
            await asyncio.sleep(min(STEP_S, self.work - done))
            on_cores = len(self.runs) - len(self.waiting)
            now = time.monotonic()
            done += (now - before) * min(1.0, self.cores / max(1, on_cores))
            before = now

    async def _call(self, request: Request) -> bytes | None:
        """Return the reply to the call of a run; None if the request is over before it comes."""
        reply = self.waiting[request.id] = asyncio.get_running_loop().create_future()
        body = base64.b64encode(b"about " + request.body).decode()
        self._notify("blocked", request.id, arg=body)
        while not reply.done():
            await asyncio.wait([reply], timeout=0.05)
            if request.is_over and not reply.done():
                self.waiting.pop(request.id, None)
                return None
        return reply.result()


class Store:
    """A store that replies to each call at once with the call's body."""

    def __init__(self) -> None:
        self.calls = 0

    async def listen(self, address: Address) -> None:
        """Accept connections at this address."""
        await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"CALL":
                    self.calls += 1
                    body = await reader.readexactly(int(words[3]) + 2)
                    writer.write(b"%s OK %s\r\n%s" % (words[1], words[3], body))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Node:
    """One node of the project as a process, with its stand-ins."""

    def __init__(
        self,
        case: "Case",
        name: str,
        settings: dict,
        calls: tuple[str, ...],
        work: float,
        sockets: int = 512,
    ) -> None:
        self.case = case
        self.name = name
        self._sockets = sockets
        self.requests: dict[str, Request] = {}
        self.listen = free_address()
        self.pool = WorkerPool(self, calls, work, settings["familyInfo"]["cores"])
        self.store = Store()
        self.process: subprocess.Popen | None = None
        self._addresses = {"pool": free_address(), "store": free_address()}
        self._registry = free_address(socket.SOCK_DGRAM)
        self._settings = settings

    async def start(self, arguments: str = "") -> None:
        """Start the stand-ins and the process by the deploy file's `run`, and wait for a health check."""
        await self.pool.listen(self._addresses["pool"])
        await self.store.listen(self._addresses["store"])
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=self._registry)
        path = self.case.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._config()), encoding="utf-8")
        environment = {"ROUTER_NAME": self.name, "ROUTER_LISTEN": text_of(self.listen)}
        environment["ROUTER_CONFIG"] = str(path)
        self.process = self.case.start(self.name, f"{RUN} {arguments}", environment)
        await self._wait_until_healthy()

    def _config(self) -> dict:
        config: dict = {name: text_of(address) for name, address in self._addresses.items()}
        config |= {"name": self.name, "listen": text_of(self.listen), "roster": text_of(self._registry)}
        config |= {"seed": "8c1f30d27a5be964", "stop_ms": 3200, "settings": self._settings}
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": self._sockets}
        return config

    async def _wait_until_healthy(self) -> None:
        deadline = time.monotonic() + 25
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(encode_heartbeat(1))
                await asyncio.wait_for(reader.readexactly(4), 1)
                writer.close()
                return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} does not answer a health check")


async def hold_silent(node: "Node", until: float) -> None:
    """Hold a connection that says nothing, and open it anew when the node has closed it."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*node.listen)
            with suppress(TimeoutError):
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - time.monotonic()):
                    while await reader.read(1000):
                        pass
            writer.close()
        except OSError:
            await asyncio.sleep(0.01)


class Case:
    """What one run of a case started, its temporary folder and its record."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="finchcart-review-"))
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._processes: list[subprocess.Popen] = []
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self._began:7.3f} {text}"
        print(line, flush=True)
        print(line, file=self._record, flush=True)

    def note_requests(self, node: Node) -> None:
        """Write what was sent to a node, answered and run to the record, one line each."""
        for each in node.requests.values():
            answered = (
                f"{each.answer} at {each.answered_at - self._began:.3f}" if each.answer else "no answer"
            )
            sent = f"{each.sent_at - self._began:7.3f} {node.name} {each.id} {each.method}"
            run = f"run at {each.run_at - self._began:.3f}, {each.runs} in all" if each.runs else "not run"
            print(f"{sent} key {each.key}: {answered}, {run}", file=self._record)

    def start(self, name: str, command: str, environment: dict[str, str]) -> subprocess.Popen:
        """Start a program of the project from the root of the repository."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.folder), **environment},
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def log_lines(self, name: str, *words: str) -> list[str]:
        """Return the lines of a program's log that contain one of the words."""
        text = (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if any(word in line for word in words)]

    def close(self) -> None:
        """End all programs, and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def run_case(path: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Run a case and exit with its status: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # by way of `close`, so that no program stays
    case = Case(Path(path).resolve().parent)
    status = NOT_RUN
    try:
        status = asyncio.run(asyncio.wait_for(play(case), LIMIT_S))
    except (OSError, RuntimeError, TimeoutError) as error:
        case.note(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        case.close()
    sys.exit(status)
