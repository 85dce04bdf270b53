"""Thrift's strict binary protocol: values and messages, read and written.

Owns the form of the bytes, by the specification of the protocol; codec.py owns which messages there are. Pure
functions, and a reader that raises nothing but `ProtocolError` and `struct.error`, whatever the bytes.
"""

import struct
from collections.abc import Mapping

from finchcart.errors import ProtocolError

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
# Bound methods: CPython 3.11 calls the method of an imported name slower.
pack_length = LENGTH.pack
pack_field = FIELD.pack
unpack_length = LENGTH.unpack_from
MAX_DEPTH = 16  # of structures within structures

ThriftStruct = dict[tuple[int, int], "ThriftValue"]  # by number and type of each field
ThriftPair = tuple["ThriftValue", ...]  # a key and its value, of a map
ThriftValue = bytes | bool | int | float | ThriftStruct | list["ThriftValue"] | list[ThriftPair]


class Reader:
    """Reads values in sequence; `position` is where the next begins."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read_strings(self, count: int) -> list[bytes]:
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

    def read_integer(self, kind: int) -> int:
        """Return an integer of one of the types BYTE, I16, I32 and I64."""
        shape = FIXED_SIZE[kind]
        return shape.unpack(self.read_bytes(shape.size))[0]

    def read_string(self) -> bytes:
        """Return a string."""
        return self.read_bytes(self.read_integer(I32))

    def read_count(self) -> int:
        """Return a count of elements, bounded by the bytes left: each element takes at least one."""
        count = self.read_integer(I32)
        left = len(self.data) - self.position
        if not 0 <= count <= left:
            raise ProtocolError(f"a count of {count} with {left} bytes left")
        return count

    def read_value(self, kind: int, depth: int = MAX_DEPTH) -> ThriftValue:
        """Return a value of that type; a struct as (number, type) -> value, a map as a list of pairs."""
        if depth == 0:
            raise ProtocolError("nested too deep")
        if kind == STRING:
            return self.read_string()
        if kind == BOOL:
            return self.read_bytes(1)[0] != 0
        if kind in FIXED_SIZE:
            shape = FIXED_SIZE[kind]
            return shape.unpack(self.read_bytes(shape.size))[0]
        if kind == STRUCT:
            return self.read_struct(depth)
        if kind == MAP:
            return self._read_map(depth)
        if kind in (SET, LIST):
            element = self.read_bytes(1)[0]
            return [self.read_value(element, depth - 1) for _ in range(self.read_count())]
        raise ProtocolError(f"no such type: {kind}")

    def read_struct(self, depth: int = MAX_DEPTH) -> ThriftStruct:
        """Return a struct, as (number, type) -> value."""
        fields: ThriftStruct = {}
        while True:
            kind = self.read_bytes(1)[0]
            if kind == STOP:
                return fields
            number = self.read_integer(I16)
            fields[number, kind] = self.read_value(kind, depth - 1)

    def _read_map(self, depth: int) -> list[ThriftPair]:
        keys, values = self.read_bytes(2)
        if keys == values == STRING:
            texts = self.read_strings(2 * self.read_count())
            return list(zip(texts[::2], texts[1::2], strict=True))
        return [
            (self.read_value(keys, depth - 1), self.read_value(values, depth - 1))
            for _ in range(self.read_count())
        ]


def decode_text_map(pairs: ThriftValue | None) -> dict[str, str] | None:
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


def encode_string(data: bytes) -> bytes:
    """Return a string: its length, then its bytes."""
    return LENGTH.pack(len(data)) + data


def encode_text_map(fields: Mapping[str, str]) -> bytes:
    """Return a map of texts."""
    parts = [HEAD.pack(STRING, STRING, len(fields))]
    for name, text in fields.items():
        parts += encode_string(name.encode()), encode_string(text.encode())
    return b"".join(parts)


def encode_message_header(kind: int, name: bytes) -> bytes:
    """Return what a message opens with, before its sequence number."""
    return LENGTH.pack((VERSION | kind) - (1 << 32)) + encode_string(name)


def encode_message(kind: int, name: bytes, sequence: int, arguments: bytes) -> bytes:
    """Return a complete frame; `arguments` is a struct."""
    return encode_string(encode_message_header(kind, name) + LENGTH.pack(sequence) + arguments)
