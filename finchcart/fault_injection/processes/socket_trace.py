"""Reads the trace that process_shim.c writes of the sockets that a process accepted.

This module defines the format of the trace. It reports when bytes were read and written and when the process
closed its direction of a connection; it does not decide whether this is correct.
"""

import struct
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import IntEnum
from operator import itemgetter
from pathlib import Path

TRACE_VARIABLE = "FINCHCART_SOCKET_TRACE"
RECORD = struct.Struct("qiiq")
NANOSECONDS_PER_SECOND = 1e9


class SocketEvent(IntEnum):
    """An operation on a socket; the values are those of `enum traced_event` in process_shim.c."""

    ACCEPTED = 1
    RECEIVED = 2
    SENT = 3
    HALF_CLOSED = 4
    CLOSED = 5


@dataclass
class AcceptedSocket:
    """The trace of one accepted connection. Times are on the monotonic clock, in seconds."""

    accepted_at: float
    reads: list[tuple[float, int]] = field(default_factory=list)  # (time, total bytes read)
    writes: list[tuple[float, int]] = field(default_factory=list)  # (time, total bytes written)
    closed_at: float | None = None  # first `shutdown` or `close` by the process

    def read_at(self, stream_end: int) -> float | None:
        """Return when the stream was read up to this position, or None if it was not."""
        return _reached_at(self.reads, stream_end)

    def written_at(self, stream_end: int) -> float | None:
        """Return when the stream was written up to this position, or None if it was not."""
        return _reached_at(self.writes, stream_end)


def read_trace(path: Path) -> dict[int, list[AcceptedSocket]]:
    """Return the accepted connections by the peer's port, in the order in which they were accepted.

    An incomplete record at the end of the file is ignored.
    """
    by_port: dict[int, list[AcceptedSocket]] = defaultdict(list)
    by_descriptor: dict[int, AcceptedSocket] = {}
    data = path.read_bytes() if path.exists() else b""
    whole = len(data) - len(data) % RECORD.size
    for at_ns, event, descriptor, value in RECORD.iter_unpack(data[:whole]):
        at = at_ns / NANOSECONDS_PER_SECOND
        if event == SocketEvent.ACCEPTED:
            by_descriptor[descriptor] = AcceptedSocket(at)
            by_port[value].append(by_descriptor[descriptor])
        elif descriptor in by_descriptor:
            _record(by_descriptor[descriptor], SocketEvent(event), at, value)
    return by_port


def _record(accepted: AcceptedSocket, event: SocketEvent, at: float, value: int) -> None:
    if event is SocketEvent.RECEIVED:
        _add(accepted.reads, at, value)
    elif event is SocketEvent.SENT:
        _add(accepted.writes, at, value)
    elif accepted.closed_at is None:
        accepted.closed_at = at


def _add(counts: list[tuple[float, int]], at: float, value: int) -> None:
    counts.append((at, (counts[-1][1] if counts else 0) + value))


def _reached_at(counts: list[tuple[float, int]], stream_end: int) -> float | None:
    position = bisect_left(counts, stream_end, key=itemgetter(1))
    return counts[position][0] if position < len(counts) else None
