"""Codec of the store's protocol, in which a message is a line that can announce a body after it.

This module alone defines the encoding of the protocol and the words in it. The functions do no I/O, keep no
state, and raise only `ProtocolError`, whatever bytes they decode.
"""

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.protocol.framing import Codec
from finchcart.protocol.messages import StoreReply

MAX_LENGTH_DIGITS = 9  # maximum number of digits in the length of a reply's body
MAX_QUOTED_BYTES = 60  # an error message quotes at most so many bytes of an invalid line
LINE_END = b"\r\n"

REPLY_OUTCOMES = {
    b"OK": Outcome.OK,
    b"BUSY": Outcome.REJECTED,
    b"ERR": Outcome.ERROR,
    b"LATE": Outcome.TIMEOUT,
    b"VOID": Outcome.NOT_STARTED,
}


def find_reply_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return the end of the first reply, or None if it is incomplete; see `Codec.find_frame_end`."""
    line_end = data.find(LINE_END, start)
    if line_end < 0:
        return None
    words = data[start:line_end].split(b" ")
    if len(words) != 3 or words[1] != b"OK":
        return line_end + len(LINE_END)
    length = words[2]
    # The digits are limited first, as Python refuses to convert a number of thousands of digits.
    if (
        not length.isdigit()
        or len(length) > MAX_LENGTH_DIGITS
        or int(length) + line_end - start + 2 * len(LINE_END) > max_size
    ):
        raise ProtocolError(f"invalid length in a store reply: {data[start:line_end][:MAX_QUOTED_BYTES]!r}")
    end = line_end + int(length) + 2 * len(LINE_END)
    return end if len(data) >= end else None


def decode_reply(data: bytes) -> StoreReply:
    """Decode a reply; raise `ProtocolError` if it is invalid."""
    line, _, body = data.partition(LINE_END)
    words = line.split(b" ")
    outcome = REPLY_OUTCOMES.get(words[1]) if len(words) > 1 else None
    if outcome is None or len(words) != (3 if outcome is Outcome.OK else 2):
        raise ProtocolError(f"invalid store reply: {line[:MAX_QUOTED_BYTES]!r}")
    if outcome is Outcome.OK and body[-len(LINE_END) :] != LINE_END:
        raise ProtocolError("the body of a store reply does not match the length in the reply")
    name = words[0].decode("ascii", "replace")
    return StoreReply(name, outcome, body[: -len(LINE_END)])


def encode_call(name: str, timeout_us: int, body: bytes) -> bytes:
    """Return a call to the store.

    The timeout in the call is rounded up to milliseconds, so that the node's own timeout expires first.
    """
    timeout_ms = -(-timeout_us // 1000)
    return b"CALL %s %d %d\r\n%s\r\n" % (name.encode(), timeout_ms, len(body), body)


STORE_CODEC = Codec(find_reply_end, decode_reply)
