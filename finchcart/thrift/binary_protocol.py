"""Reads and writes values and messages in Thrift's strict binary protocol.

This module implements the byte format of the protocol's specification; codec.py defines the messages. The
functions are pure. `Reader` raises only `ProtocolError` and `struct.error`, whatever bytes it reads.
"""

import struct
from collections.abc import Mapping

from finchcart.errors import ProtocolError

# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4
VERSION = 0x80010000
VERSION_MASK = 0xFFFFFF00
KIND_MASK = 0xFF
# Value types.
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
FIELD = struct.Struct(">bh")  # the header of a field: its type and number
MAP_HEADER = struct.Struct(">bbi")  # key type, value type, number of pairs
LENGTH_BYTES = LENGTH.size
# Bound methods, as CPython 3.11 takes longer to call a method through an imported name.
pack_length = LENGTH.pack
pack_field = FIELD.pack
unpack_length = LENGTH.unpack_from
MAX_DEPTH = 16  # nesting levels of structs and containers

ThriftStruct = dict[tuple[int, int], "ThriftValue"]  # keyed by the number and type of each field
ThriftPair = tuple["ThriftValue", ...]  # a key of a map and its value
ThriftValue = bytes | bool | int | float | ThriftStruct | list["ThriftValue"] | list[ThriftPair]


class Reader:
    """Reads values in sequence; `position` is the offset of the next value."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read_strings(self, count: int) -> list[bytes]:
        """Return the next `count` strings.

        Optimized for speed, as most of the values that are read are the fields of RPCs.
        """
        data = self.data
        size = len(data)
        end = self.position
        strings = []
        length_at = LENGTH.unpack_from
        for _ in range(count):
            start = end + LENGTH_BYTES
            end = start + length_at(data, end)[0]
            if not start <= end <= size:
                raise ProtocolError(f"truncated message: a string from {start} to {end} of {size} bytes")
            strings.append(data[start:end])
        self.position = end
        return strings

    def read_bytes(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        start = self.position
        self.position += count
        if count < 0 or self.position > len(self.data):
            raise ProtocolError(
                f"truncated message: expected {count} bytes at offset {start} of {len(self.data)}"
            )
        return self.data[start : self.position]

    def read_integer(self, kind: int) -> int:
        """Read an integer of type BYTE, I16, I32 or I64."""
        shape = FIXED_SIZE[kind]
        return shape.unpack(self.read_bytes(shape.size))[0]

    def read_string(self) -> bytes:
        """Read a string."""
        return self.read_bytes(self.read_integer(I32))

    def read_count(self) -> int:
        """Read a number of elements, at most the remaining bytes, as each element takes at least one byte."""
        count = self.read_integer(I32)
        remaining = len(self.data) - self.position
        if not 0 <= count <= remaining:
            raise ProtocolError(f"invalid element count: {count}, with {remaining} bytes remaining")
        return count

    def read_value(self, kind: int, depth: int = MAX_DEPTH) -> ThriftValue:
        """Read a value of type `kind`.

        A struct is returned as a dict keyed by field number and type, a map as a list of pairs.
        """
        if depth == 0:
            raise ProtocolError("values are nested too deeply")
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
        raise ProtocolError(f"unknown value type: {kind}")

    def read_struct(self, depth: int = MAX_DEPTH) -> ThriftStruct:
        """Read a struct; return its values, keyed by the number and type of each field."""
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
    """Return a map of strings as text, or None if `pairs` is not such a map or a string is not UTF-8."""
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
    """Encode a string: its length, followed by its bytes."""
    return LENGTH.pack(len(data)) + data


def encode_text_map(fields: Mapping[str, str]) -> bytes:
    """Encode a map of strings."""
    parts = [MAP_HEADER.pack(STRING, STRING, len(fields))]
    for name, text in fields.items():
        parts += encode_string(name.encode()), encode_string(text.encode())
    return b"".join(parts)


def encode_message_header(kind: int, name: bytes) -> bytes:
    """Encode the beginning of a message, up to its sequence number."""
    return LENGTH.pack((VERSION | kind) - (1 << 32)) + encode_string(name)


def encode_message(kind: int, name: bytes, sequence: int, arguments: bytes) -> bytes:
    """Encode a message as a complete frame; `arguments` is an encoded struct."""
    return encode_string(encode_message_header(kind, name) + LENGTH.pack(sequence) + arguments)
