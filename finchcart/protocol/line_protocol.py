"""The lines of the worker pool, the store and the registry, read and written.

Owns the bytes on those connections, and the words of those protocols: no other module knows them. The codecs
are as framing.py has them: no I/O, nothing kept between calls, and nothing raised but `ProtocolError` on what
they read, whatever the bytes.
"""

import json
from base64 import b64encode
from binascii import a2b_base64
from collections.abc import Mapping
from math import isfinite
from typing import Any, NamedTuple

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.protocol.framing import Codec

MAX_BRACKETS = 100  # in a line of the worker pool
MAX_LENGTH_DIGITS = 9  # of a reply's length
MAX_QUOTED_BYTES = 60  # of what is told of bytes that can't be read
MAX_ERROR_LENGTH = 120  # characters
LINE_END = b"\r\n"

RUN_OUTCOMES = {
    "good": Outcome.OK,
    "bad": Outcome.ERROR,
    "cut": Outcome.STOPPED,
    "gone": Outcome.NOT_STARTED,
}
POOL_STARTS = {"new": True, "old": False}  # whether the pool has just started
REPLY_OUTCOMES = {
    b"OK": Outcome.OK,
    b"BUSY": Outcome.REJECTED,
    b"ERR": Outcome.ERROR,
    b"LATE": Outcome.TIMEOUT,
    b"VOID": Outcome.NOT_STARTED,
}


# The first field of each message read here; plain text, as several are read for each RPC.
BOUND = "up"
RUN_ENDED = "run_ended"
AWAITING_CALL = "at_call"
GAUGES = "gauges"
NOT_CARRIED_OUT = "undone"
REMARK = "remark"
OTHER = "other"
REPLY = "reply"


class Bound(NamedTuple):
    """The worker pool sends its notices from now on."""

    kind: str
    is_new: bool  # it has just started
    age_us: int


class RunEnded(NamedTuple):
    """A notice: a run is over."""

    kind: str
    cursor: int  # of the notice
    name: str
    outcome: Outcome
    spent_us: int
    result: bytes


class AwaitingCall(NamedTuple):
    """A notice: a run waits for the answer of a call."""

    kind: str
    cursor: int
    name: str
    body: bytes  # of the call


class GaugesRead(NamedTuple):
    """The gauges that were requested."""

    kind: str
    ticket: str
    values: tuple[float, ...]


class NotCarriedOut(NamedTuple):
    """A command that was not carried out, as the worker pool knows no such run."""

    kind: str
    was_start: bool  # it was to start a run
    name: str


class Remark(NamedTuple):
    """A notice of which only the number counts."""

    kind: str
    cursor: int


class OtherNotice(NamedTuple):
    """What concerns no node."""

    kind: str


class Reply(NamedTuple):
    """The store's reply to a call."""

    kind: str
    name: str
    outcome: Outcome
    body: bytes


PoolMessage = Bound | RunEnded | AwaitingCall | GaugesRead | NotCarriedOut | Remark | OtherNotice


# ---- The worker pool: a JSON object a line


def find_line_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return where the first line ends, or None; see `Codec.find_frame_end`."""
    return data.find(b"\n", start) + 1 or None


def decode_pool_message(data: bytes) -> PoolMessage:
    """Read a line of the worker pool."""
    # Guards against the stack: the library's parser goes down with each bracket.
    if data.count(b"[") + data.count(b"{") > MAX_BRACKETS:
        raise ProtocolError("too many brackets in a line")
    try:
        return _read_notice(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as error:
        text = f"a line from the pool: {type(error).__name__}: {error}"
        raise ProtocolError(text[:MAX_ERROR_LENGTH]) from None


def _read_notice(fields: Mapping[str, Any]) -> PoolMessage:
    event = fields["event"]
    read = NOTICE_READERS.get(event) if isinstance(event, str) else None
    return read(fields) if read else OtherNotice(OTHER)


def _read_run_ended(fields: Mapping[str, Any]) -> RunEnded:
    outcome = RUN_OUTCOMES[fields["fate"]]
    spent_us = _microseconds(fields["lasted"])
    cursor = _whole_number(fields["cursor"])
    return RunEnded(RUN_ENDED, cursor, _text(fields["handle"]), outcome, spent_us, _decode_body(fields))


def _read_awaiting_call(fields: Mapping[str, Any]) -> AwaitingCall:
    cursor = _whole_number(fields["cursor"])
    return AwaitingCall(AWAITING_CALL, cursor, _text(fields["handle"]), _decode_body(fields))


def _read_gauges(fields: Mapping[str, Any]) -> GaugesRead:
    ticket = str(fields["ticket"])
    return GaugesRead(GAUGES, ticket, tuple(_finite_number(value) for value in fields["figures"]))


def _read_bound(fields: Mapping[str, Any]) -> Bound:
    return Bound(BOUND, POOL_STARTS[fields["fate"]], _microseconds(fields["lasted"]))


def _read_not_carried_out(fields: Mapping[str, Any]) -> NotCarriedOut:
    was_start = fields.get("fate") == "spawn"
    return NotCarriedOut(NOT_CARRIED_OUT, was_start, _text(fields.get("handle") or ""))


def _read_remark(fields: Mapping[str, Any]) -> Remark:
    return Remark(REMARK, _whole_number(fields["cursor"]))


NOTICE_READERS = {
    "finished": _read_run_ended,
    "blocked": _read_awaiting_call,
    "polled": _read_gauges,
    "bound": _read_bound,
    "unknown": _read_not_carried_out,
    "chatter": _read_remark,
}


def _decode_body(fields: Mapping[str, Any]) -> bytes:
    return a2b_base64(fields.get("arg") or "", strict_mode=True)


def _whole_number(value: object) -> int:
    if not isinstance(value, int):
        raise ValueError(f"{value!r}: expected a whole number")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r}: expected text")
    return value


def _finite_number(value: float) -> float:
    if not isfinite(value):
        raise ValueError(f"{value!r}: expected a number")
    return float(value)


def _microseconds(milliseconds: float) -> int:
    return max(0, int(milliseconds * 1000))


def _encode_text(value: str) -> bytes:
    """As JSON text. Guards against a name that would end its quotes; names come from settings or are hex."""
    return json.dumps(value).encode() if not value.isalnum() else b'"%s"' % value.encode()


def subscribe(cursor: int) -> bytes:
    """Have the worker pool send its notices from the one after `cursor`."""
    return b'{"event":"bind","cursor":%d}\n' % cursor


def start_run(name: str, method: str, body: bytes) -> bytes:
    """Have a run started."""
    return b'{"event":"spawn","handle":%s,"entry":%s,"arg":"%s"}\n' % (
        _encode_text(name),
        _encode_text(method),
        b64encode(body),
    )


def answer_call(name: str, body: bytes) -> bytes:
    """Give a run the answer of its call."""
    return b'{"event":"supply","handle":%s,"arg":"%s"}\n' % (_encode_text(name), b64encode(body))


def skip_call(name: str, cursor: int) -> bytes:
    """Have a run go on without its call; `cursor`: of the notice that it waits."""
    return b'{"event":"pass","handle":%s,"cursor":%d}\n' % (_encode_text(name), cursor)


def request_gauges(ticket: str) -> bytes:
    """Ask for the gauges; their message has the same ticket."""
    return b'{"event":"poll","ticket":%s}\n' % _encode_text(ticket)


# ---- The store: a line, and the body that it announces


def find_reply_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return where the first reply ends, or None: after its line or the body that the line announces."""
    line_end = data.find(LINE_END, start)
    if line_end < 0:
        return None
    words = data[start:line_end].split(b" ")
    if len(words) != 3 or words[1] != b"OK":
        return line_end + len(LINE_END)
    length = words[2]
    # Guards against a length of thousands of digits, which is not even read as a number.
    if (
        not length.isdigit()
        or len(length) > MAX_LENGTH_DIGITS
        or int(length) + line_end - start + 2 * len(LINE_END) > max_size
    ):
        raise ProtocolError(f"a reply from the store: {data[start:line_end][:MAX_QUOTED_BYTES]!r}")
    end = line_end + int(length) + 2 * len(LINE_END)
    return end if len(data) >= end else None


def decode_reply(data: bytes) -> Reply:
    """Read a reply of the store."""
    line, _, body = data.partition(LINE_END)
    words = line.split(b" ")
    outcome = REPLY_OUTCOMES.get(words[1]) if len(words) > 1 else None
    if outcome is None or len(words) != (3 if outcome is Outcome.OK else 2):
        raise ProtocolError(f"a reply from the store: {line[:MAX_QUOTED_BYTES]!r}")
    if outcome is Outcome.OK and body[-len(LINE_END) :] != LINE_END:
        raise ProtocolError("a reply from the store does not end where it says")
    name = words[0].decode("ascii", "replace")
    return Reply(REPLY, name, outcome, body[: -len(LINE_END)])


def store_call(name: str, limit_us: int, body: bytes) -> bytes:
    """Call the store. Milliseconds are rounded up: the node's own time limit comes first."""
    limit_ms = -(-limit_us // 1000)
    return b"CALL %s %d %d\r\n%s\r\n" % (name.encode(), limit_ms, len(body), body)


# ---- The registry: a datagram


def registration_report(name: str, is_healthy: bool) -> bytes:
    """Tell the registry whether the node is to get requests."""
    return f"HERE {name} {'on' if is_healthy else 'off'}".encode()


WORKER_POOL_CODEC = Codec(find_line_end, decode_pool_message)
STORE_CODEC = Codec(find_reply_end, decode_reply)
