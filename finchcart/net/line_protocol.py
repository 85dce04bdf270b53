"""Lines of the worker pool, the store and the registry, read and written.

Owns the bytes on those links. Codecs as frames.py has them: no I/O, nothing kept between calls, and nothing
raised but `ProtocolError` on what they read, whatever the bytes.

Messages read are plain tuples. From the pool: `("up", cold, age)`, `("run_ended", cursor, id, outcome, spent,
result)`, `("at_call", cursor, id, body)`, `("gauges", ticket, figures)`, `("undone", was_run, id)` (a command
that was not carried out), `("remark", cursor)`, `("other",)`. From the store: `("reply", id, outcome, body)`.
"""

import json
from base64 import b64encode
from binascii import a2b_base64
from math import isfinite

from finchcart.errors import ProtocolError
from finchcart.interface import Outcome
from finchcart.net.framing import Codec

ENDS = {"good": Outcome.OK, "bad": Outcome.ERROR, "cut": Outcome.STOPPED, "gone": Outcome.NOT_STARTED}
REPLIES = {
    b"OK": Outcome.OK,
    b"BUSY": Outcome.REJECTED,
    b"ERR": Outcome.ERROR,
    b"LATE": Outcome.TIMEOUT,
    b"VOID": Outcome.NOT_STARTED,
}


def line(data, at, longest):
    """Where the first line ends."""
    return data.find(b"\n", at) + 1 or None


def pool_message(data):
    # Guards against the stack: the library's parser goes down with each bracket.
    if data.count(b"[") + data.count(b"{") > 100:
        raise ProtocolError("too many brackets in a line")
    try:
        return notice(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as error:
        raise ProtocolError(f"a line from the pool: {type(error).__name__}: {error}"[:120]) from None


def notice(said):
    event = said["event"]
    if event == "finished":
        end, spent = ENDS[said["fate"]], _us(said["lasted"])
        return "run_ended", _whole(said["cursor"]), _text(said["handle"]), end, spent, _body(said)
    if event == "blocked":
        return "at_call", _whole(said["cursor"]), _text(said["handle"]), _body(said)
    if event == "polled":
        return "gauges", str(said["ticket"]), tuple(_finite(figure) for figure in said["figures"])
    if event == "bound":
        return "up", {"new": True, "old": False}[said["fate"]], _us(said["lasted"])
    if event == "unknown":
        return "undone", said.get("fate") == "spawn", _text(said.get("handle") or "")
    if event == "chatter":
        return "remark", _whole(said["cursor"])
    return ("other",)


def _body(said):
    return a2b_base64(said.get("arg") or "", strict_mode=True)


def _whole(value):
    if not isinstance(value, int):
        raise ValueError(f"{value!r}: expected a whole number")
    return value


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r}: expected text")
    return value


def _finite(value):
    if not isfinite(value):
        raise ValueError(f"{value!r}: expected a number")
    return float(value)


def _us(ms):
    return max(0, int(ms * 1000))


def store_frame(data, at, longest):
    """Where the first reply ends: after its line, or after the body that the line tells of."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None
    words = data[at:end].split(b" ")
    if len(words) != 3 or words[1] != b"OK":
        return end + 2
    # Guards against a length of thousands of digits, which is not even read as a number.
    if not words[2].isdigit() or len(words[2]) > 9 or int(words[2]) + end - at + 4 > longest:
        raise ProtocolError(f"a reply from the store: {data[at:end][:60]!r}")
    end += int(words[2]) + 4
    return end if len(data) >= end else None


def store_message(data):
    line, _, body = data.partition(b"\r\n")
    words = line.split(b" ")
    outcome = REPLIES.get(words[1]) if len(words) > 1 else None
    if outcome is None or len(words) != (3 if outcome is Outcome.OK else 2):
        raise ProtocolError(f"a reply from the store: {line[:60]!r}")
    if outcome is Outcome.OK and body[-2:] != b"\r\n":
        raise ProtocolError("a reply from the store does not end where it says")
    return "reply", words[0].decode("ascii", "replace"), outcome, body[:-2]


WORKER_POOL_CODEC, STORE_CODEC = Codec(line, pool_message), Codec(store_frame, store_message)


def _text_of(value):
    """As JSON text. Guards against a name that would end its quotes; names come from settings or are hex."""
    return json.dumps(value).encode() if not value.isalnum() else b'"%s"' % value.encode()


def subscribe(cursor):
    return b'{"event":"bind","cursor":%d}\n' % cursor


def start_run(name, method, body):
    return b'{"event":"spawn","handle":%s,"entry":%s,"arg":"%s"}\n' % (
        _text_of(name),
        _text_of(method),
        b64encode(body),
    )


def answer_call(name, body):
    return b'{"event":"supply","handle":%s,"arg":"%s"}\n' % (_text_of(name), b64encode(body))


def skip_call(name, cursor):
    return b'{"event":"pass","handle":%s,"cursor":%d}\n' % (_text_of(name), cursor)


def request_gauges(ticket):
    return b'{"event":"poll","ticket":%s}\n' % _text_of(ticket)


def store_call(name, limit, body):
    """Milliseconds are rounded up: the node's own time limit comes first."""
    return b"CALL %s %d %d\r\n%s\r\n" % (name.encode(), -(-limit // 1000), len(body), body)


def registration_report(name, good):
    return f"HERE {name} {'on' if good else 'off'}".encode()
