"""The dispatchers' speech: framed Thrift in the strict binary protocol, read and written.

Owns the bytes on dispatchers' connections. A codec as net/framing.py has it: no I/O, nothing kept between
calls, and nothing raised but `ProtocolError` on what it reads, whatever the bytes.

A message read is a plain tuple: `("rpc", seq, fields, body)`, `("left", seq)` (the caller of that RPC has
gone), `("check", seq)`, or `("unheard", seq, name)` for a call that is not served; `fields` or `body` are
None where an RPC did not carry them as it should.
"""

import struct

from finchcart.errors import ProtocolError
from finchcart.net.framing import Codec

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
VERSION = 0x80010000
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
FIXED = {
    BYTE: struct.Struct(">b"),
    DOUBLE: struct.Struct(">d"),
    I16: struct.Struct(">h"),
    I32: struct.Struct(">i"),
    I64: struct.Struct(">q"),
}
LENGTH, FIELD, HEAD = struct.Struct(">i"), struct.Struct(">bh"), struct.Struct(">bbi")
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7  # kinds of an application exception
DEPTH = 16  # of structures within structures


class Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def strings(self, count):
        """So many texts, the quick way: an RPC's fields are the most that is read here."""
        data, at, size, out, length = self.data, self.at, len(self.data), [], LENGTH.unpack_from
        for _ in range(count):
            start = at + 4
            at = start + length(data, at)[0]
            if not start <= at <= size:
                raise ProtocolError(f"cut off: a string from {start} to {at} of {size} bytes")
            out.append(data[start:at])
        self.at = at
        return out

    def take(self, count):
        start, self.at = self.at, self.at + count
        if count < 0 or self.at > len(self.data):
            raise ProtocolError(f"cut off: {count} bytes wanted at {start} of {len(self.data)}")
        return self.data[start : self.at]

    def number(self, kind):
        shape = FIXED[kind]
        return shape.unpack(self.take(shape.size))[0]

    def count(self):
        """Of elements: each takes a byte at least, so a count past the end is a lie."""
        count = self.number(I32)
        if not 0 <= count <= len(self.data) - self.at:
            raise ProtocolError(f"a count of {count} with {len(self.data) - self.at} bytes left")
        return count

    def value(self, kind, depth=DEPTH):
        if depth == 0:
            raise ProtocolError("nested too deep")
        if kind == STRING:
            return self.take(self.number(I32))
        if kind == BOOL:
            return self.take(1)[0] != 0
        if kind in FIXED:
            return self.number(kind)
        if kind == STRUCT:
            fields = {}
            while True:
                kind = self.take(1)[0]
                if kind == STOP:
                    return fields
                number = self.number(I16)
                fields[number, kind] = self.value(kind, depth - 1)
        if kind == MAP:
            keys, values = self.take(2)
            if keys == values == STRING:
                texts = self.strings(2 * self.count())
                return list(zip(texts[::2], texts[1::2]))
            return [(self.value(keys, depth - 1), self.value(values, depth - 1)) for _ in range(self.count())]
        if kind in (SET, LIST):
            kind = self.take(1)[0]
            return [self.value(kind, depth - 1) for _ in range(self.count())]
        raise ProtocolError(f"no such type: {kind}")


def whole_frame(data, at, longest):
    """Where the first frame ends."""
    if len(data) < at + 4:
        return None
    (length,) = LENGTH.unpack_from(data, at)
    if not 0 < length <= longest - 4:
        raise ProtocolError(f"a frame of {length} bytes")
    end = at + 4 + length
    return end if len(data) >= end else None


def framed_message(data):
    try:
        return message(data[4:])
    except struct.error as error:
        raise ProtocolError(f"cut off: {error}") from None


SUBMIT = b"\x80\x01\x00\x01\x00\x00\x00\x06submit"
FIELDS = b"\x0d\x00\x01\x0b\x0b"  # a map of texts as the first field
BODY = b"\x0b\x00\x02"  # then a string as the second


def plain_rpc(data):
    """A `submit` in the order that dispatchers write it, read without a look at each type; None where it is
    another message, or in another order: then `message` reads it and tells what is wrong."""
    if data[:14] != SUBMIT or data[18:23] != FIELDS:
        return None
    reader = Reader(data)
    reader.at = 23
    texts = reader.strings(2 * reader.count())
    if data[reader.at : reader.at + 3] != BODY:
        return None
    reader.at += 3
    (body,) = reader.strings(1)
    if data[reader.at :] != b"\0":
        return None
    try:
        texts = [text.decode() for text in texts]
    except UnicodeDecodeError:
        return None
    return "rpc", LENGTH.unpack_from(data, 14)[0], dict(zip(texts[::2], texts[1::2])), body


def message(data):
    rpc = plain_rpc(data)
    if rpc:
        return rpc
    reader = Reader(data)
    head = reader.number(I32) & 0xFFFFFFFF
    kind = head & 0xFF
    if head & 0xFFFFFF00 != VERSION or kind not in (CALL, ONEWAY):
        raise ProtocolError(f"not a call: {head:#010x}")
    name, seq, args = reader.value(STRING), reader.number(I32), reader.value(STRUCT)
    if reader.at != len(data):
        raise ProtocolError(f"{len(data) - reader.at} bytes after the message")
    if name == b"submit" and kind == CALL:
        return "rpc", seq, _texts(args.get((1, MAP))), args.get((2, STRING))
    if name == b"revoke" and (1, I32) in args:
        return "left", args[1, I32]
    if name == b"heartbeat" and kind == CALL:
        return "check", seq
    if kind == ONEWAY:
        return "unheard", None, ""
    return "unheard", seq, name.decode("utf-8", "replace")[:60]


FRONT = Codec(whole_frame, framed_message)


def _texts(pairs):
    try:
        return {key.decode(): value.decode() for key, value in pairs}
    except (TypeError, AttributeError, UnicodeDecodeError):
        return None


def string(data):
    return LENGTH.pack(len(data)) + data


def text_map(fields):
    parts = [HEAD.pack(STRING, STRING, len(fields))]
    for name, text in fields.items():
        parts += string(name.encode()), string(text.encode())
    return b"".join(parts)


def frame(kind, name, seq, args):
    data = LENGTH.pack((VERSION | kind) - (1 << 32)) + string(name) + LENGTH.pack(seq) + args
    return string(data)


# What an answer to `submit` opens with, after the frame's length: head, name; then the sequence number.
REPLY_TO = {
    name: LENGTH.pack((VERSION | REPLY) - (1 << 32)) + string(name) for name in (b"submit", b"heartbeat")
}
OK_BODY = FIELD.pack(STRUCT, 0) + FIELD.pack(STRING, 1)


def _answer(name, seq, body, fields, good):
    return string(
        b"".join(
            (
                REPLY_TO[name],
                LENGTH.pack(seq),
                OK_BODY,
                LENGTH.pack(len(body)),
                body,
                FIELD.pack(MAP, 2),
                text_map(fields),
                FIELD.pack(BOOL, 3),
                b"\1\0\0" if good else b"\0\0\0",
            )
        )
    )


def _thrown(seq, number, fields):
    inner = FIELD.pack(MAP, 1) + text_map(fields) + b"\0"
    return frame(REPLY, b"submit", seq, FIELD.pack(STRUCT, number) + inner + b"\0")


def ok(seq, body, fields):
    return _answer(b"submit", seq, body, fields, True)


def pushed_back(seq, fields):
    return _thrown(seq, 1, fields)


def aborted(seq, fields):
    return _thrown(seq, 2, fields)


def health(seq, good, fields):
    return _answer(b"heartbeat", seq, b"", fields, good)


def not_served(seq, name, kind, text):
    """An application exception: the call itself was wrong."""
    args = FIELD.pack(STRING, 1) + string(text.encode()) + FIELD.pack(I32, 2) + LENGTH.pack(kind) + b"\0"
    return frame(EXCEPTION, name.encode(), seq, args)


def submit(seq, fields, body):
    """The caller's side: one call of `submit`; fields: name -> text."""
    args = FIELD.pack(MAP, 1) + text_map(fields) + FIELD.pack(STRING, 2) + string(body) + b"\0"
    return frame(CALL, b"submit", seq, args)


def closing():
    return frame(ONEWAY, b"closing", 0, b"\0")
