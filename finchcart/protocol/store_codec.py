"""The store's protocol: a line, and the body that the line announces.

Owns the bytes on the connections to the store and the words of their protocol: no other module knows them.
Pure functions: no I/O, nothing kept between calls, and nothing raised but `ProtocolError` on what they read,
whatever the bytes.
"""

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.protocol.framing import Codec
from finchcart.protocol.messages import StoreReply

MAX_LENGTH_DIGITS = 9  # of a reply's length
MAX_QUOTED_BYTES = 60  # in an error, of bytes that cannot be read
LINE_END = b"\r\n"

REPLY_OUTCOMES = {
    b"OK": Outcome.OK,
    b"BUSY": Outcome.REJECTED,
    b"ERR": Outcome.ERROR,
    b"LATE": Outcome.TIMEOUT,
    b"VOID": Outcome.NOT_STARTED,
}


def find_reply_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return where the first reply ends: after its line, or after the body that the line announces."""
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


def decode_reply(data: bytes) -> StoreReply:
    """Read one reply; raise `ProtocolError` where it is none."""
    line, _, body = data.partition(LINE_END)
    words = line.split(b" ")
    outcome = REPLY_OUTCOMES.get(words[1]) if len(words) > 1 else None
    if outcome is None or len(words) != (3 if outcome is Outcome.OK else 2):
        raise ProtocolError(f"a reply from the store: {line[:MAX_QUOTED_BYTES]!r}")
    if outcome is Outcome.OK and body[-len(LINE_END) :] != LINE_END:
        raise ProtocolError("a reply from the store does not end where it says")
    name = words[0].decode("ascii", "replace")
    return StoreReply(name, outcome, body[: -len(LINE_END)])


def encode_call(name: str, timeout_us: int, body: bytes) -> bytes:
    """Return a call to the store; its timeout is rounded up to ms, so that the node's own comes first."""
    timeout_ms = -(-timeout_us // 1000)
    return b"CALL %s %d %d\r\n%s\r\n" % (name.encode(), timeout_ms, len(body), body)


STORE_CODEC = Codec(find_reply_end, decode_reply)
