"""A simulated worker pool, whose runs sleep or use CPU time and return their body in upper case."""

import json
import socket
import threading
import time
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

from finchcart.simulated_peers.server import Address, Server, start_thread

GATE_TIMEOUT_S = 30  # longest time that a run waits for `SimulatedWorkerPool.gate` to be set
REPLY_TIMEOUT_S = 10  # longest time that a run waits for the reply to its call
CORRUPT_NOTICE_BYTES = 20  # length to which a corrupt notice is truncated
MS_PER_S = 1000


class LoadSample(NamedTuple):
    """The number of runs that need a core, valid from `at` until the next sample."""

    at: float  # on the monotonic clock
    on_cores: int


@dataclass
class RunTiming:
    """Start, end and wait time of one run, on the monotonic clock."""

    handle: str
    method: str
    body: bytes
    began: float
    ended: float | None = None
    wait_began: float | None = None  # start of the wait for a call's reply; a waiting run needs no core
    wait_ended: float | None = None

    def spans_on_cores(self) -> list[tuple[float, float | None]]:
        """Return the periods in which the run needed a core as (began, ended); None if it still does."""
        if self.wait_began is None:
            return [(self.began, self.ended)]
        spans: list[tuple[float, float | None]] = [(self.began, self.wait_began)]
        return spans if self.wait_ended is None else [*spans, (self.wait_ended, self.ended)]


@dataclass(eq=False)
class SimulatedRun:
    """One run of a method."""

    waits: bool = False  # whether it is waiting for the reply to its call
    reply: bytes | None = None
    replied: threading.Event = field(default_factory=threading.Event)


def highest_mean(samples: Sequence[LoadSample], window_s: float) -> float:
    """Return the highest mean load over all windows of `window_s` seconds that end at a sample."""
    highest = 0.0
    area = 0.0  # integral of the load since the first sample
    first = 0  # index of the sample that is valid when the window begins
    cumulative_areas = [0.0]
    for before, after in pairwise(samples):
        area += before.on_cores * (after.at - before.at)
        cumulative_areas.append(area)
        begin = after.at - window_s
        while samples[first + 1].at <= begin:
            first += 1
        before_window = cumulative_areas[first] + samples[first].on_cores * max(
            0.0, begin - samples[first].at
        )
        highest = max(highest, (area - before_window) / window_s)
    return highest


class SimulatedWorkerPool(Server):
    """The worker pool of one node.

    Notices are numbered from 1. A connection that sends `bind` receives all notices after the cursor in that
    message.

    `methods` maps each method's name to whether its runs make a call. `work` is the duration of a run in
    seconds; with `spin`, a run uses that much CPU time instead of sleeping. While `is_failing()` is true,
    runs fail at once. `on_effect(body)` is called at the moment of each run's effect.
    """

    def __init__(
        self,
        address: Address,
        methods: Mapping[str, bool],
        work: float = 0.05,
        cores: int = 4,
        spin: bool = False,
        is_failing: Callable[[], bool] = lambda: False,
        on_effect: Callable[[bytes], None] | None = None,
    ) -> None:
        self.methods = methods
        self.work = work
        self.cores = cores
        self.spin = spin
        self.is_failing = is_failing
        self.on_effect = on_effect
        self.lock = threading.Lock()
        self.connection: socket.socket | None = None
        self.notices: list[dict] = []
        self.last_cursor = 0  # cursor of the last `bind`; the node has read the notices up to it
        self.fate = "old"  # "new" once the pool has restarted, which the node learns from `bound`
        self.runs: dict[str, SimulatedRun] = {}
        self.started = time.monotonic()
        self.spawned: list[tuple[str, str, bytes]] = []  # (id, method, body) of every run since the start
        self.history: list[RunTiming] = []  # timing of every run since the start
        self.load: list[LoadSample] = [LoadSample(self.started, 0)]  # one sample for each change
        self.polls = 0  # number of polls for the gauges
        self.corrupt_notices: dict[str, int] = {}  # run id -> number of its next notices to truncate
        self.gate = threading.Event()  # while it is not set, new runs wait before they work
        self.gate.set()
        super().__init__(address)

    # ---- connection

    def serve(self, connection: socket.socket) -> None:
        """Handle the messages of one connection."""
        handlers = {"bind": self._bind, "poll": self._poll, "spawn": self._spawn}
        handlers |= dict.fromkeys(("supply", "pass"), self._resume)
        for line in self._lines(connection):
            try:
                message = json.loads(line)
            except ValueError:  # a malformed or truncated command
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
                return
            handler = handlers.get(message["event"])
            if handler is None or not handler(connection, message):
                self._write(connection, event="unknown", fate=message["event"], handle=message.get("handle"))

    def _lines(self, connection: socket.socket) -> Iterator[bytes]:
        with suppress(OSError):  # the node has closed the connection
            yield from connection.makefile("rb")

    def _write(self, connection: socket.socket | None, **message: object) -> None:
        line = json.dumps(message).encode()
        handle = message.get("handle")
        if handle in self.corrupt_notices:
            self.corrupt_notices[handle] -= 1
            if self.corrupt_notices[handle] >= 0:
                line = line[:CORRUPT_NOTICE_BYTES]
        if connection is not None:
            with suppress(OSError):  # a lost notice is sent again on the next connection
                connection.sendall(line + b"\n")

    def _notify(self, event: str, **message: object) -> None:
        with self.lock:
            message = {"event": event, "cursor": len(self.notices) + 1, **message}
            self.notices.append(message)
            self._write(self.connection, **message)

    def restart(self) -> None:
        """Simulate a restart of the process: all runs are lost, and notices are numbered from 1 again."""
        with self.lock:
            self.runs = {}
            self.notices = []
            self.last_cursor = 0
            self.started = time.monotonic()
            for timing in self.history:
                timing.ended = timing.ended or self.started
            self.fate = "new"
        self.break_connection()

    def break_connection(self) -> None:
        """Close the bound connection, if there is one."""
        with self.lock:
            if self.connection:
                with suppress(OSError):  # the connection is already closed
                    self.connection.shutdown(socket.SHUT_RDWR)

    # ---- message handlers; each returns whether it could handle the message

    def _bind(self, connection: socket.socket, message: dict) -> bool:
        with self.lock:
            self.connection = connection
            if message["cursor"] == 0 and self.last_cursor:
                self.notices.clear()  # the node has restarted and expects numbers from 1
            self.last_cursor = message["cursor"]
            age_ms = int((time.monotonic() - self.started) * MS_PER_S)
            self._write(connection, event="bound", fate=self.fate, lasted=age_ms)
            for notice in self.notices[message["cursor"] :]:
                self._write(connection, **notice)
        return True

    def _poll(self, connection: socket.socket, message: dict) -> bool:
        busy = sum(not run.waits for run in list(self.runs.values()))
        gauges = [min(1.0, busy / self.cores), busy, 0.0, 0]
        with self.lock:
            self.polls += 1
            self._write(connection, event="polled", ticket=message["ticket"], figures=gauges)
        return True

    def _spawn(self, connection: socket.socket, message: dict) -> bool:
        handle: str = message.get("handle", "")
        method = message["entry"]
        if method not in self.methods:
            return False
        if handle not in self.runs:  # a finished run is forgotten, so its id starts a new run
            run = self.runs[handle] = SimulatedRun()
            start_thread(self._execute, handle, run, method, b64decode(message["arg"]))
        return True

    def _resume(self, connection: socket.socket, message: dict) -> bool:
        run = self.runs.get(message.get("handle", ""))
        if run is None:
            return False
        run.reply = b64decode(message.get("arg", ""))
        run.replied.set()
        return True

    # ---- load

    def _record_load(self) -> None:
        with self.lock:
            on_cores = sum(not run.waits for run in list(self.runs.values()))
            self.load.append(LoadSample(time.monotonic(), on_cores))

    def peak_load(self) -> int:
        """Return the highest number of runs that needed a core at the same time."""
        return max(sample.on_cores for sample in self.load)

    def highest_mean_load(self, window_s: float) -> float:
        """Return the highest mean number of runs that needed a core, over windows of `window_s` seconds."""
        return highest_mean(self.load, window_s)

    # ---- runs

    def _execute(self, handle: str, run: SimulatedRun, method: str, body: bytes) -> None:
        began = time.monotonic()
        self.spawned.append((handle, method, body))
        timing = RunTiming(handle, method, body, began)
        self.history.append(timing)
        self._record_load()
        failing = self.is_failing()
        self.gate.wait(GATE_TIMEOUT_S)
        fate, result = ("bad", b"") if failing else self._work(timing, run)
        if self.runs.get(handle) is not run:
            return  # the run was lost in a simulated restart
        del self.runs[handle]
        timing.ended = time.monotonic()
        self._record_load()
        self._notify(
            "finished",
            handle=handle,
            fate=fate,
            lasted=(time.monotonic() - began) * MS_PER_S,
            arg=b64encode(result if fate == "good" else b"").decode(),
        )

    def _work(self, timing: RunTiming, run: SimulatedRun) -> tuple[str, bytes]:
        """Do the work of a run; return the `fate` field of its `finished` notice and its result."""
        fate = "good"
        body = timing.body
        result = body.upper()
        self._work_half()
        if self.methods[timing.method]:
            timing.wait_began = time.monotonic()
            run.waits = True
            self._record_load()
            self._notify("blocked", handle=timing.handle, arg=b64encode(b"about " + body).decode())
            if run.replied.wait(REPLY_TIMEOUT_S):
                result += b" " + (run.reply or b"")
            else:
                fate = "cut"
            run.waits = False
            timing.wait_ended = time.monotonic()
            self._record_load()
        if self.on_effect:
            self.on_effect(body)
        self._work_half()
        return fate, result

    def _work_half(self) -> None:
        """Spend half of a run's duration; with `spin`, measured in CPU time of this thread."""
        if not self.spin:
            time.sleep(self.work / 2)
            return
        end = time.thread_time() + self.work / 2
        while time.thread_time() < end:
            pass
