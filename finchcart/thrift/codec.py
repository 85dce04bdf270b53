"""The dispatchers' protocol, framed Thrift in the strict binary protocol: calls are read, replies written.

Owns the bytes on dispatchers' connections, and the words of that protocol. A codec as protocol/framing.py has
it: no I/O, nothing kept between calls, and nothing raised but `ProtocolError` on what it reads, whatever the
bytes. What is read: protocol/messages.py.
"""

import struct
from collections.abc import Mapping

from finchcart.errors import ProtocolError
from finchcart.protocol.framing import Codec
from finchcart.protocol.messages import (
    DispatcherMessage,
    HeartbeatCall,
    RevokeNotice,
    SubmitCall,
    UnservedCall,
)

# Kinds of messages.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4
VERSION = 0x80010000
VERSION_MASK = 0xFFFFFF00
KIND_MASK = 0xFF
# Types of values.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
FIXED_SIZE = {
    BYTE: struct.Struct(">b"),
    DOUBLE: struct.Struct(">d"),
    I16: struct.Struct(">h"),
    I32: struct.Struct(">i"),
    I64: struct.Struct(">q"),
}
LENGTH = struct.Struct(">i")
FIELD = struct.Struct(">bh")  # type and number
HEAD = struct.Struct(">bbi")  # of a map: types of keys and values, and how many
LENGTH_BYTES = LENGTH.size
# Kinds of an application exception.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7
# Exceptions that `submit` declares.
REJECTED_FIELD = 1
FAILED_FIELD = 2
MAX_DEPTH = 16  # of structures within structures
MAX_NAME_CHARACTERS = 60  # of a method that is not served

# What a `submit` opens with in the order in which dispatchers write it.
SUBMIT_HEAD = b"\x80\x01\x00\x01\x00\x00\x00\x06submit"
SUBMIT_FIELDS = b"\x0d\x00\x01\x0b\x0b"  # a map of texts as the first field
SUBMIT_BODY = b"\x0b\x00\x02"  # then a string as the second
SUBMIT_HEAD_END = len(SUBMIT_HEAD)
SUBMIT_FIELDS_START = SUBMIT_HEAD_END + LENGTH_BYTES
SUBMIT_FIELDS_END = SUBMIT_FIELDS_START + len(SUBMIT_FIELDS)


ThriftStruct = dict[tuple[int, int], "ThriftValue"]  # by number and type of each field
ThriftPair = tuple["ThriftValue", ...]  # a key and its value, of a map
ThriftValue = bytes | bool | int | float | ThriftStruct | list["ThriftValue"] | list[ThriftPair]


class Reader:
    """Reads values in sequence; `position` is where the next begins."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def strings(self, count: int) -> list[bytes]:
        """Return the next `count` strings. Fast, as an RPC's fields are most of what is read here."""
        data = self.data
        size = len(data)
        end = self.position
        strings = []
        length_at = LENGTH.unpack_from
        for _ in range(count):
            start = end + LENGTH_BYTES
            end = start + length_at(data, end)[0]
            if not start <= end <= size:
                raise ProtocolError(f"cut off: a string from {start} to {end} of {size} bytes")
            strings.append(data[start:end])
        self.position = end
        return strings

    def read_bytes(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        start = self.position
        self.position += count
        if count < 0 or self.position > len(self.data):
            raise ProtocolError(f"cut off: {count} bytes wanted at {start} of {len(self.data)}")
        return self.data[start : self.position]

    def integer(self, kind: int) -> int:
        """Return an integer of one of the types BYTE, I16, I32 and I64."""
        shape = FIXED_SIZE[kind]
        return shape.unpack(self.read_bytes(shape.size))[0]

    def string(self) -> bytes:
        """Return a string."""
        return self.read_bytes(self.integer(I32))

    def count(self) -> int:
        """Return a count of elements, bounded by the bytes left: each element takes at least one."""
        count = self.integer(I32)
        left = len(self.data) - self.position
        if not 0 <= count <= left:
            raise ProtocolError(f"a count of {count} with {left} bytes left")
        return count

    def value(self, kind: int, depth: int = MAX_DEPTH) -> ThriftValue:
        """Return a value of that type; a struct as (number, type) -> value, a map as a list of pairs."""
        if depth == 0:
            raise ProtocolError("nested too deep")
        if kind == STRING:
            return self.string()
        if kind == BOOL:
            return self.read_bytes(1)[0] != 0
        if kind in FIXED_SIZE:
            shape = FIXED_SIZE[kind]
            return shape.unpack(self.read_bytes(shape.size))[0]
        if kind == STRUCT:
            return self.struct(depth)
        if kind == MAP:
            return self._map(depth)
        if kind in (SET, LIST):
            element = self.read_bytes(1)[0]
            return [self.value(element, depth - 1) for _ in range(self.count())]
        raise ProtocolError(f"no such type: {kind}")

    def struct(self, depth: int = MAX_DEPTH) -> ThriftStruct:
        """Return a struct, as (number, type) -> value."""
        fields: ThriftStruct = {}
        while True:
            kind = self.read_bytes(1)[0]
            if kind == STOP:
                return fields
            number = self.integer(I16)
            fields[number, kind] = self.value(kind, depth - 1)

    def _map(self, depth: int) -> list[ThriftPair]:
        keys, values = self.read_bytes(2)
        if keys == values == STRING:
            texts = self.strings(2 * self.count())
            return list(zip(texts[::2], texts[1::2], strict=True))
        return [(self.value(keys, depth - 1), self.value(values, depth - 1)) for _ in range(self.count())]


# ---- Reading what dispatchers send


def find_frame_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return where the first frame ends, or None until it is complete; see `Codec.find_frame_end`."""
    if len(data) < start + LENGTH_BYTES:
        return None
    (length,) = LENGTH.unpack_from(data, start)
    if not 0 < length <= max_size - LENGTH_BYTES:
        raise ProtocolError(f"a frame of {length} bytes")
    end = start + LENGTH_BYTES + length
    return end if len(data) >= end else None


def decode_frame(data: bytes) -> DispatcherMessage:
    """Read the message of a complete frame; raise `ProtocolError` where it is no call."""
    try:
        return decode_message(data[LENGTH_BYTES:])
    except struct.error as error:
        raise ProtocolError(f"cut off: {error}") from None


THRIFT_CODEC = Codec(find_frame_end, decode_frame)


def decode_message(data: bytes) -> DispatcherMessage:
    """Read a message without the length of its frame; raise `ProtocolError` where it is no call."""
    submit = _plain_submit(data)
    if submit:
        return submit
    reader = Reader(data)
    head = reader.integer(I32) & 0xFFFFFFFF
    kind = head & KIND_MASK
    if head & VERSION_MASK != VERSION or kind not in (CALL, ONEWAY):
        raise ProtocolError(f"not a call: {head:#010x}")
    name = reader.string()
    sequence = reader.integer(I32)
    arguments = reader.struct()
    if reader.position != len(data):
        raise ProtocolError(f"{len(data) - reader.position} bytes after the message")
    if name == b"submit" and kind == CALL:
        body = arguments.get((2, STRING))
        return SubmitCall(
            sequence, read_texts(arguments.get((1, MAP))), body if isinstance(body, bytes) else None
        )
    revoked = arguments.get((1, I32))
    if name == b"revoke" and isinstance(revoked, int):
        return RevokeNotice(revoked)
    if name == b"heartbeat" and kind == CALL:
        return HeartbeatCall(sequence)
    if kind == ONEWAY:
        return UnservedCall(None, "")
    return UnservedCall(sequence, name.decode("utf-8", "replace")[:MAX_NAME_CHARACTERS])


def _plain_submit(data: bytes) -> SubmitCall | None:
    """Read a `submit` whose fields are in the usual order, without a check of each type.

    Return None where it is another message, or in another order: then `decode_message` reads it.
    """
    if data[:SUBMIT_HEAD_END] != SUBMIT_HEAD:
        return None
    if data[SUBMIT_FIELDS_START:SUBMIT_FIELDS_END] != SUBMIT_FIELDS:
        return None
    reader = Reader(data)
    reader.position = SUBMIT_FIELDS_END
    texts = reader.strings(2 * reader.count())
    if reader.data[reader.position : reader.position + len(SUBMIT_BODY)] != SUBMIT_BODY:
        return None
    reader.position += len(SUBMIT_BODY)
    (body,) = reader.strings(1)
    if data[reader.position :] != b"\0":
        return None
    try:
        words = [text.decode() for text in texts]
    except UnicodeDecodeError:
        return None
    (sequence,) = LENGTH.unpack_from(data, SUBMIT_HEAD_END)
    return SubmitCall(sequence, dict(zip(words[::2], words[1::2], strict=True)), body)


def read_texts(pairs: ThriftValue | None) -> dict[str, str] | None:
    """Return a map of texts, or None where it is another value or not UTF-8."""
    if not isinstance(pairs, list):
        return None
    texts: dict[str, str] = {}
    for pair in pairs:
        if not isinstance(pair, tuple):
            return None
        key, value = pair
        if not (isinstance(key, bytes) and isinstance(value, bytes)):
            return None
        try:
            texts[key.decode()] = value.decode()
        except UnicodeDecodeError:
            return None
    return texts


# ---- Writing


def string(data: bytes) -> bytes:
    """Return a string: its length, then its bytes."""
    return LENGTH.pack(len(data)) + data


def text_map(fields: Mapping[str, str]) -> bytes:
    """Return a map of texts."""
    parts = [HEAD.pack(STRING, STRING, len(fields))]
    for name, text in fields.items():
        parts += string(name.encode()), string(text.encode())
    return b"".join(parts)


def _head(kind: int, name: bytes) -> bytes:
    return LENGTH.pack((VERSION | kind) - (1 << 32)) + string(name)


def encode_message(kind: int, name: bytes, sequence: int, arguments: bytes) -> bytes:
    """Return a complete frame; `arguments` is a struct."""
    return string(_head(kind, name) + LENGTH.pack(sequence) + arguments)


# What replies open with, after the frame's length; then the sequence number.
REPLY_HEADS = {name: _head(REPLY, name) for name in (b"submit", b"heartbeat")}
REPLY_BODY = FIELD.pack(STRUCT, 0) + FIELD.pack(STRING, 1)
TRUE_AND_STOPS = b"\1\0\0"
FALSE_AND_STOPS = b"\0\0\0"


def _reply(name: bytes, sequence: int, body: bytes, fields: Mapping[str, str], good: bool) -> bytes:
    parts = (
        REPLY_HEADS[name],
        LENGTH.pack(sequence),
        REPLY_BODY,
        LENGTH.pack(len(body)),
        body,
        FIELD.pack(MAP, 2),
        text_map(fields),
        FIELD.pack(BOOL, 3),
        TRUE_AND_STOPS if good else FALSE_AND_STOPS,
    )
    return string(b"".join(parts))


def _declared_exception(sequence: int, field: int, fields: Mapping[str, str]) -> bytes:
    inner = FIELD.pack(MAP, 1) + text_map(fields) + b"\0"
    return encode_message(REPLY, b"submit", sequence, FIELD.pack(STRUCT, field) + inner + b"\0")


def ok_reply(sequence: int, body: bytes, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that completed, with its result and header fields."""
    return _reply(b"submit", sequence, body, fields, True)


def rejected_reply(sequence: int, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that never ran here."""
    return _declared_exception(sequence, REJECTED_FIELD, fields)


def failed_reply(sequence: int, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that failed."""
    return _declared_exception(sequence, FAILED_FIELD, fields)


def health_reply(sequence: int, healthy: bool, fields: Mapping[str, str]) -> bytes:
    """Return the reply to a health check."""
    return _reply(b"heartbeat", sequence, b"", fields, healthy)


def application_exception(sequence: int, name: str, kind: int, text: str) -> bytes:
    """Return an exception for a call that was invalid; `kind`: UNKNOWN_METHOD or PROTOCOL_ERROR."""
    text_field = FIELD.pack(STRING, 1) + string(text.encode())
    kind_field = FIELD.pack(I32, 2) + LENGTH.pack(kind)
    return encode_message(EXCEPTION, name.encode(), sequence, text_field + kind_field + b"\0")


def submit_call(sequence: int, fields: Mapping[str, str], body: bytes) -> bytes:
    """Return a call of `submit`, as a dispatcher sends it; fields: name -> text."""
    fields_field = FIELD.pack(MAP, 1) + text_map(fields)
    body_field = FIELD.pack(STRING, 2) + string(body)
    return encode_message(CALL, b"submit", sequence, fields_field + body_field + b"\0")


def closing_notice() -> bytes:
    """Return the notice that the node is about to close the connection."""
    return encode_message(ONEWAY, b"closing", 0, b"\0")
