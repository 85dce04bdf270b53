"""A simulated store, which answers calls and counts them.

Its counts are the reference against which the fault-injection runs check the nodes' limits on calls.
"""

import json
import select
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.server import Address, Server

US_PER_S = 1_000_000
FAULTS_POLL_INTERVAL_S = 0.05
SLOW_FACTOR = 10  # ratio of a slow call's duration to the usual duration
SLOW_MIN_S = 0.2  # lower bound on the duration of a slow call
HANG_DURATION_S = 3600.0


class StoreState(StrEnum):
    """State of the store at one of its addresses; the values appear in the faults file."""

    OK = "ok"
    DOWN = "down"  # each call closes its connection without a reply
    HANG = "hang"  # calls get no reply before their time limit
    SLOW = "slow"
    FAILING = "failing"  # state of a worker pool's address: its runs fail


class FaultStates:
    """State of each address, read from a JSON file that is polled for changes."""

    def __init__(self, path: str | None) -> None:
        self.path = path
        self.read_at = 0.0
        self.states: dict[str, str] = {}

    def state(self, host: str) -> str:
        """Return the state of an address; "ok" if the file does not list it."""
        now = time.monotonic()
        if self.path and now - self.read_at > FAULTS_POLL_INTERVAL_S:
            self.read_at = now
            with suppress(OSError, ValueError):  # the file is missing or incomplete
                self.states = json.loads(Path(self.path).read_text(encoding="utf-8"))
        return self.states.get(host, StoreState.OK)


@dataclass(frozen=True)
class Capacity:
    """Capacity of the store: `limit` calls in flight, or `rate` calls a second with bursts of `burst`."""

    limit: int | None = None
    rate: float | None = None
    burst: int = 0


class CallStatistics:
    """Counts of calls, with times in microseconds on the boot clock.

    The class is not thread-safe: its owner has to hold a lock around `record_change` and `snapshot`.
    """

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.calls = 0
        self.late = 0  # calls that exceeded their time limit
        self.wasted = 0  # calls received at an address whose state is DOWN or HANG
        self.slowed = 0  # calls received at an address whose state is SLOW
        self.in_flight = 0
        self.max_in_flight = 0  # since the start
        self.recent_max_in_flight = 0  # since the last snapshot
        self.used_call_seconds = 0.0  # integral of the calls in flight over time, up to `used_until`
        self.used_until = boot_clock()
        # Leaky bucket: each call adds 1, and it drains at the rate of the capacity.
        self.bucket_level = 0.0
        self.bucket_updated_at = boot_clock()
        self.max_bucket_level = 0.0
        # Periods with more calls in flight than the limit: (began, ended, highest number in flight).
        self.excess_periods: list[tuple[int, int, int]] = []
        self.excess_began = 0
        self.excess_peak = 0

    def record_change(self, change: int) -> None:
        """Count a call that began (`change` is +1) or ended (-1)."""
        now = boot_clock()
        self.used_call_seconds += self.in_flight * (now - self.used_until) / US_PER_S
        self.used_until = now
        before = self.in_flight
        self.in_flight += change
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.recent_max_in_flight = max(self.recent_max_in_flight, self.in_flight)
        if change > 0:
            self.calls += 1
            self._fill_bucket(now)
        if self.capacity.limit is not None:
            self._record_excess(now, before, self.capacity.limit)

    def _fill_bucket(self, now: int) -> None:
        if self.capacity.rate:
            drained = (now - self.bucket_updated_at) * self.capacity.rate / US_PER_S
            self.bucket_level = max(0.0, self.bucket_level - drained) + 1
            self.bucket_updated_at = now
            self.max_bucket_level = max(self.max_bucket_level, self.bucket_level)

    def _record_excess(self, now: int, before: int, limit: int) -> None:
        if before <= limit < self.in_flight:
            self.excess_began = now
            self.excess_peak = self.in_flight
        self.excess_peak = max(self.excess_peak, self.in_flight)
        if self.in_flight <= limit < before:
            self.excess_periods.append((self.excess_began, now, self.excess_peak))

    def snapshot(self) -> dict:
        """Return the current counts under the keys of the `--truth` file, and reset the recent maximum."""
        now = boot_clock()
        excess_periods = list(self.excess_periods)
        if self.capacity.limit is not None and self.in_flight > self.capacity.limit:
            excess_periods.append((self.excess_began, now, self.excess_peak))
        recent_max_in_flight = self.recent_max_in_flight
        self.recent_max_in_flight = self.in_flight
        return {
            "t_us": now,
            "in_hand": self.in_flight,
            "most": self.max_in_flight,
            "lately": recent_max_in_flight,
            "calls": self.calls,
            "late": self.late,
            "used": self.used_call_seconds + self.in_flight * (now - self.used_until) / US_PER_S,
            "over": excess_periods,
            "fullest": self.max_bucket_level,
            "wasted": self.wasted,
            "slowed": self.slowed,
        }


class SimulatedStore(Server):
    """A simulated store that answers each call with the reversed body of the call after `work` seconds.

    A call that exceeds its time limit gets the reply LATE, and a call whose connection closes is abandoned.
    `override_reply(id, body)`, if set, returns the bytes of the reply, or None to close the connection.
    """

    def __init__(
        self,
        address: Address,
        work: float = 0.0,
        capacity: Capacity | None = None,
        faults: FaultStates | None = None,
    ) -> None:
        self.work = work
        self.faults = faults or FaultStates(None)
        self.override_reply: Callable[[bytes, bytes], bytes | None] | None = None
        self.lock = threading.Lock()
        self.statistics = CallStatistics(capacity or Capacity())
        super().__init__(address)

    @property
    def calls(self) -> int:
        """Number of calls since the start."""
        return self.statistics.calls

    def snapshot(self) -> dict:
        """Return the current counts, which make up one line of the `--truth` file."""
        with self.lock:
            return self.statistics.snapshot()

    def serve(self, connection: socket.socket) -> None:
        """Answer the calls of one connection in sequence."""
        with suppress(OSError):  # the node has closed the connection
            host = connection.getsockname()[0]
            lines = connection.makefile("rb")
            for line in lines:
                if not line.endswith(b"\r\n"):
                    return  # the connection broke within a line; a complete but malformed line raises below
                fields = line.split()
                if fields[0] != b"CALL":
                    continue
                _, call_id, limit_ms, length = fields
                body = lines.read(int(length) + 2)[:-2]
                if not self._answer(connection, host, call_id, int(limit_ms) / 1000, body):
                    return

    def _answer(
        self, connection: socket.socket, host: str, call_id: bytes, limit: float, body: bytes
    ) -> bool:
        """Answer one call within `limit` seconds; return whether the connection can take another call."""
        state = self.faults.state(host)
        self.statistics.wasted += state in (StoreState.DOWN, StoreState.HANG)
        self.statistics.slowed += state == StoreState.SLOW
        if state == StoreState.DOWN:
            self.statistics.calls += 1
            return False
        self._count_call(+1)
        try:
            abandoned, late = self._wait(connection, limit, self._work_time(state))
        finally:
            self._count_call(-1)
        if abandoned:
            return False
        self.statistics.late += late
        reply = self._reply(call_id, body, late)
        if reply is None:
            connection.shutdown(socket.SHUT_RDWR)
            return False
        connection.sendall(reply)
        return True

    def _count_call(self, change: int) -> None:
        with self.lock:
            self.statistics.record_change(change)

    def _work_time(self, state: str) -> float:
        if state == StoreState.SLOW:
            return max(SLOW_MIN_S, SLOW_FACTOR * self.work)
        return HANG_DURATION_S if state == StoreState.HANG else self.work

    def _reply(self, call_id: bytes, body: bytes, late: bool) -> bytes | None:
        if self.override_reply:
            return self.override_reply(call_id, body)
        if late:
            return b"%s LATE\r\n" % call_id
        return b"%s OK %d\r\n%s\r\n" % (call_id, len(body), body[::-1])

    def _wait(self, connection: socket.socket, limit: float, work: float) -> tuple[bool, bool]:
        """Wait for the duration of a call; return whether the node abandoned it, and whether it was late."""
        if not work:
            return False, False
        if select.select([connection], [], [], min(work, limit))[0]:
            try:
                if not connection.recv(1, socket.MSG_PEEK):
                    return True, False
            except OSError:
                return True, False
        return False, work > limit


def write_snapshots(store: SimulatedStore, path: str, interval: float) -> None:
    """Append a snapshot of the store's counts to a file every `interval` seconds; never returns."""
    while True:
        time.sleep(interval)
        with Path(path).open("a", encoding="utf-8") as file:
            file.write(json.dumps(store.snapshot()) + "\n")
