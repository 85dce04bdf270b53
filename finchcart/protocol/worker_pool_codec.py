"""Codec of the worker pool's protocol: decodes the pool's notices and encodes the node's commands.

Each message is a JSON object on a line of its own. This module alone defines the encoding of the protocol and
the words in it. The functions do no I/O, keep no state, and raise only `ProtocolError`, whatever bytes they
decode.
"""

import json
from base64 import b64encode
from binascii import a2b_base64
from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.protocol.framing import Codec
from finchcart.protocol.messages import (
    CommandRejected,
    GaugesRead,
    InformationalNotice,
    RunAwaitingCall,
    RunEndedNotice,
    Subscribed,
    UnknownNotice,
    WorkerPoolMessage,
)

MAX_BRACKETS = 100  # maximum number of opening brackets and braces in a line
MAX_ERROR_LENGTH = 120  # maximum number of characters

RUN_OUTCOMES = {
    "good": Outcome.OK,
    "bad": Outcome.ERROR,
    "cut": Outcome.STOPPED,
    "gone": Outcome.NOT_STARTED,
}
IS_COLD = {"new": True, "old": False}


def find_line_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return the end of the first line, or None if it is incomplete; see `Codec.find_frame_end`."""
    return data.find(b"\n", start) + 1 or None


def decode_message(data: bytes) -> WorkerPoolMessage:
    """Decode a line from the worker pool; raise `ProtocolError` if it is not a valid message."""
    # Nested brackets are limited because the JSON parser is recursive and could overflow the stack.
    if data.count(b"[") + data.count(b"{") > MAX_BRACKETS:
        raise ProtocolError(f"invalid line from the worker pool: more than {MAX_BRACKETS} brackets")
    try:
        return _read_notice(json.loads(data))
    except ProtocolError as error:
        raise ProtocolError(f"invalid line from the worker pool: {error}"[:MAX_ERROR_LENGTH]) from None
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as error:
        text = f"invalid line from the worker pool: {type(error).__name__}: {error}"
        raise ProtocolError(text[:MAX_ERROR_LENGTH]) from None


def _read_notice(fields: Mapping[str, Any]) -> WorkerPoolMessage:
    event = fields["event"]
    read = NOTICE_READERS.get(event) if isinstance(event, str) else None
    return read(fields) if read else UnknownNotice()


def _read_run_ended(fields: Mapping[str, Any]) -> RunEndedNotice:
    outcome = RUN_OUTCOMES[fields["fate"]]
    service_time_us = _microseconds(fields["lasted"])
    cursor = _whole_number(fields, "cursor")
    return RunEndedNotice(cursor, _text(fields, "handle"), outcome, service_time_us, _decode_body(fields))


def _read_awaiting_call(fields: Mapping[str, Any]) -> RunAwaitingCall:
    cursor = _whole_number(fields, "cursor")
    return RunAwaitingCall(cursor, _text(fields, "handle"), _decode_body(fields))


def _read_gauges(fields: Mapping[str, Any]) -> GaugesRead:
    ticket = str(fields["ticket"])
    return GaugesRead(ticket, tuple(_finite_number(value) for value in fields["figures"]))


def _read_subscribed(fields: Mapping[str, Any]) -> Subscribed:
    return Subscribed(IS_COLD[fields["fate"]], _microseconds(fields["lasted"]))


def _read_command_rejected(fields: Mapping[str, Any]) -> CommandRejected:
    was_start = fields.get("fate") == "spawn"
    rpc_name = _text(fields, "handle") if fields.get("handle") else ""  # some commands concern no RPC
    return CommandRejected(was_start, rpc_name)


def _read_informational(fields: Mapping[str, Any]) -> InformationalNotice:
    return InformationalNotice(_whole_number(fields, "cursor"))


NOTICE_READERS: dict[str, Callable[[Mapping[str, Any]], WorkerPoolMessage]] = {
    "finished": _read_run_ended,
    "blocked": _read_awaiting_call,
    "polled": _read_gauges,
    "bound": _read_subscribed,
    "unknown": _read_command_rejected,
    "chatter": _read_informational,
}


def _decode_body(fields: Mapping[str, Any]) -> bytes:
    return a2b_base64(fields.get("arg") or "", strict_mode=True)


def _whole_number(fields: Mapping[str, Any], name: str) -> int:
    value = fields[name]
    if not isinstance(value, int):
        raise ProtocolError(f"{name}: expected a whole number, got {value!r}")
    return value


def _text(fields: Mapping[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise ProtocolError(f"{name}: expected text, got {value!r}")
    return value


def _finite_number(value: float) -> float:
    if not isfinite(value):
        raise ProtocolError(f"figures: expected finite numbers, got {value!r}")
    return float(value)


def _microseconds(milliseconds: float) -> int:
    return max(0, int(milliseconds * 1000))


def _encode_text(value: str) -> bytes:
    """Return a JSON string; text with characters other than letters and digits is escaped."""
    return json.dumps(value).encode() if not value.isalnum() else b'"%s"' % value.encode()


def encode_subscribe(cursor: int) -> bytes:
    """Return the request for all notices after the notice with number `cursor`."""
    return b'{"event":"bind","cursor":%d}\n' % cursor


def encode_start(name: str, method: str, body: bytes) -> bytes:
    """Return the command that starts a run of `method` for the RPC with this name."""
    return b'{"event":"spawn","handle":%s,"entry":%s,"arg":"%s"}\n' % (
        _encode_text(name),
        _encode_text(method),
        b64encode(body),
    )


def encode_reply(name: str, body: bytes) -> bytes:
    """Return the command that passes the reply to a call on to its run."""
    return b'{"event":"supply","handle":%s,"arg":"%s"}\n' % (_encode_text(name), b64encode(body))


def encode_degrade(name: str, cursor: int) -> bytes:
    """Return the command that lets a run continue without the call that notice number `cursor` reported."""
    return b'{"event":"pass","handle":%s,"cursor":%d}\n' % (_encode_text(name), cursor)


def encode_gauges_request(ticket: str) -> bytes:
    """Return the request for the gauges; the `GaugesRead` that answers it carries the same ticket."""
    return b'{"event":"poll","ticket":%s}\n' % _encode_text(ticket)


WORKER_POOL_CODEC = Codec(find_line_end, decode_message)
