"""A simulated store: it answers calls and counts those in hand, the truth that limits are held against."""

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
FAULTS_READ_INTERVAL_S = 0.05
SLOW_FACTOR = 10  # a slow store takes so many times its usual time,
SLOW_LEAST_S = 0.2  # and at least so long
HANG_S = 3600.0


class StoreState(StrEnum):
    """State of the store at one of its addresses, as the file of faults names it."""

    OK = "ok"
    DOWN = "down"  # a call breaks the connection
    HANG = "hang"  # a call gets no answer
    SLOW = "slow"
    FAILING = "failing"  # of a worker pool: its runs fail


class FaultStates:
    """States of addresses as a JSON file gives them; the file is read again now and then."""

    def __init__(self, path: str | None) -> None:
        self.path = path
        self.read_at = 0.0
        self.states: dict[str, str] = {}

    def state(self, host: str) -> str:
        """Return the state of that address; "ok" where the file says nothing."""
        now = time.monotonic()
        if self.path and now - self.read_at > FAULTS_READ_INTERVAL_S:
            self.read_at = now
            with suppress(OSError, ValueError):  # not there yet
                self.states = json.loads(Path(self.path).read_text(encoding="utf-8"))
        return self.states.get(host, StoreState.OK)


@dataclass(frozen=True)
class Capacity:
    """The capacity of the store: calls in flight, or `rate` calls a second with `burst` at once."""

    limit: int | None = None
    rate: float | None = None
    burst: int = 0


class CallAccount:
    """Counts of calls, with times on the boot clock in microseconds; the owner holds a lock."""

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.calls = 0
        self.late = 0  # calls whose time was over
        self.wasted = 0  # calls that came while the store was down at their address
        self.slowed = 0  # calls that came while it was slow
        self.in_hand = 0
        self.most = 0  # the most in hand at once,
        self.most_lately = 0  # and since the last snapshot
        self.used = 0.0  # call-seconds
        self.counted_at = boot_clock()
        # A bucket that empties at the rate.
        self.level = 0.0
        self.level_at = boot_clock()
        self.fullest = 0.0
        # Moments beyond the limit: (from, until, most at once).
        self.over: list[tuple[int, int, int]] = []
        self.over_from = 0
        self.over_peak = 0

    def change(self, change: int) -> None:
        """Count a call that came (+1) or ended (-1)."""
        now = boot_clock()
        self.used += self.in_hand * (now - self.counted_at) / US_PER_S
        self.counted_at = now
        before = self.in_hand
        self.in_hand += change
        self.most = max(self.most, self.in_hand)
        self.most_lately = max(self.most_lately, self.in_hand)
        if change > 0:
            self.calls += 1
            self._fill_bucket(now)
        if self.capacity.limit is not None:
            self._watch_limit(now, before, self.capacity.limit)

    def _fill_bucket(self, now: int) -> None:
        if self.capacity.rate:
            emptied = (now - self.level_at) * self.capacity.rate / US_PER_S
            self.level = max(0.0, self.level - emptied) + 1
            self.level_at = now
            self.fullest = max(self.fullest, self.level)

    def _watch_limit(self, now: int, before: int, limit: int) -> None:
        if before <= limit < self.in_hand:
            self.over_from = now
            self.over_peak = self.in_hand
        self.over_peak = max(self.over_peak, self.in_hand)
        if self.in_hand <= limit < before:
            self.over.append((self.over_from, now, self.over_peak))

    def snapshot(self) -> dict:
        """Return the counts at this moment, under the names of the truth file."""
        now = boot_clock()
        over = list(self.over)
        if self.capacity.limit is not None and self.in_hand > self.capacity.limit:
            over.append((self.over_from, now, self.over_peak))
        most_lately = self.most_lately
        self.most_lately = self.in_hand
        return {
            "t_us": now,
            "in_hand": self.in_hand,
            "most": self.most,
            "lately": most_lately,
            "calls": self.calls,
            "late": self.late,
            "used": self.used + self.in_hand * (now - self.counted_at) / US_PER_S,
            "over": over,
            "fullest": self.fullest,
            "wasted": self.wasted,
            "slowed": self.slowed,
        }


class SimulatedStore(Server):
    """The store: it answers each call with the call's body, reversed, after `work` seconds.

    It ends a call itself when the call's time is over, and abandons those of a connection that closes.
    `override_reply(id, body)`, where set, returns the bytes of the reply, or None to break the connection.
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
        self.account = CallAccount(capacity or Capacity())
        super().__init__(address)

    @property
    def calls(self) -> int:
        """Calls since the start."""
        return self.account.calls

    def snapshot(self) -> dict:
        """Return the store's own count at this moment, a line of the truth file."""
        with self.lock:
            return self.account.snapshot()

    def serve(self, connection: socket.socket) -> None:
        """Answer the calls of one connection, one after the other."""
        with suppress(OSError):  # the node has closed the connection
            host = connection.getsockname()[0]
            lines = connection.makefile("rb")
            for line in lines:
                if not line.endswith(b"\r\n"):
                    return  # the link was cut within a line; a whole line that is wrong still fails here
                words = line.split()
                if words[0] != b"CALL":
                    continue
                _, call_id, limit_ms, length = words
                body = lines.read(int(length) + 2)[:-2]
                if not self._answer(connection, host, call_id, int(limit_ms) / 1000, body):
                    return

    def _answer(
        self, connection: socket.socket, host: str, call_id: bytes, limit: float, body: bytes
    ) -> bool:
        """Answer one call within `limit` seconds; return whether the connection is still of use."""
        state = self.faults.state(host)
        self.account.wasted += state in (StoreState.DOWN, StoreState.HANG)
        self.account.slowed += state == StoreState.SLOW
        if state == StoreState.DOWN:
            self.account.calls += 1
            return False
        self._count(+1)
        try:
            abandoned, late = self._wait(connection, limit, self._work_time(state))
        finally:
            self._count(-1)
        if abandoned:
            return False
        self.account.late += late
        reply = self._reply(call_id, body, late)
        if reply is None:
            connection.shutdown(socket.SHUT_RDWR)
            return False
        connection.sendall(reply)
        return True

    def _count(self, change: int) -> None:
        with self.lock:
            self.account.change(change)

    def _work_time(self, state: str) -> float:
        if state == StoreState.SLOW:
            return max(SLOW_LEAST_S, SLOW_FACTOR * self.work)
        return HANG_S if state == StoreState.HANG else self.work

    def _reply(self, call_id: bytes, body: bytes, late: bool) -> bytes | None:
        if self.override_reply:
            return self.override_reply(call_id, body)
        if late:
            return b"%s LATE\r\n" % call_id
        return b"%s OK %d\r\n%s\r\n" % (call_id, len(body), body[::-1])

    def _wait(self, connection: socket.socket, limit: float, work: float) -> tuple[bool, bool]:
        """Wait while the call is worked on; return (whether the node abandoned it, whether it was late)."""
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
    """Append the store's own count to a file every `interval` seconds, for ever."""
    while True:
        time.sleep(interval)
        with Path(path).open("a", encoding="utf-8") as file:
            file.write(json.dumps(store.snapshot()) + "\n")
