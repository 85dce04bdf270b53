"""Codec of the dispatchers' protocol: decodes dispatchers' calls and encodes the replies to them.

The protocol is framed Thrift in the strict binary protocol. This module defines its messages and the names in
them; protocol/messages.py has the types of decoded messages. As protocol/framing.py requires, the functions
do no I/O, keep no state, and raise only `ProtocolError`, whatever bytes they decode.
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
from finchcart.thrift.binary_protocol import (
    BOOL,
    CALL,
    EXCEPTION,
    I32,
    KIND_MASK,
    LENGTH_BYTES,
    MAP,
    ONEWAY,
    REPLY,
    STRING,
    STRUCT,
    VERSION,
    VERSION_MASK,
    Reader,
    decode_text_map,
    encode_message,
    encode_message_header,
    encode_string,
    encode_text_map,
    pack_field,
    pack_length,
    unpack_length,
)

# Types of a TApplicationException.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7
# Field numbers of the exceptions that `submit` declares.
REJECTED_FIELD = 1
FAILED_FIELD = 2
MAX_NAME_CHARACTERS = 60  # the name of an unknown method is cut to this length

# Parts of a `submit` message with its fields in the order in which dispatchers write them.
SUBMIT_HEADER = b"\x80\x01\x00\x01\x00\x00\x00\x06submit"
SUBMIT_FIELDS = b"\x0d\x00\x01\x0b\x0b"  # header of field 1, a map of strings
SUBMIT_BODY = b"\x0b\x00\x02"  # header of field 2, a string
SUBMIT_HEADER_END = len(SUBMIT_HEADER)
SUBMIT_FIELDS_START = SUBMIT_HEADER_END + LENGTH_BYTES
SUBMIT_FIELDS_END = SUBMIT_FIELDS_START + len(SUBMIT_FIELDS)


# ---- Decoding


def find_frame_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return the end of the first frame, or None if it is incomplete; see `Codec.find_frame_end`."""
    if len(data) < start + LENGTH_BYTES:
        return None
    (length,) = unpack_length(data, start)
    if not 0 < length <= max_size - LENGTH_BYTES:
        raise ProtocolError(f"invalid frame length: {length} bytes")
    end = start + LENGTH_BYTES + length
    return end if len(data) >= end else None


def decode_frame(data: bytes) -> DispatcherMessage:
    """Decode the message of a complete frame; raise `ProtocolError` if it is not a call."""
    try:
        return decode_message(data[LENGTH_BYTES:])
    except struct.error as error:
        raise ProtocolError(f"truncated message: {error}") from None


THRIFT_CODEC = Codec(find_frame_end, decode_frame)


def decode_message(data: bytes) -> DispatcherMessage:
    """Decode a message without the length of its frame; raise `ProtocolError` if it is not a call."""
    submit = _decode_common_submit(data)
    if submit:
        return submit
    reader = Reader(data)
    header = reader.read_integer(I32) & 0xFFFFFFFF
    kind = header & KIND_MASK
    if header & VERSION_MASK != VERSION or kind not in (CALL, ONEWAY):
        raise ProtocolError(f"expected a call, got a message that begins with {header:#010x}")
    name = reader.read_string()
    sequence = reader.read_integer(I32)
    arguments = reader.read_struct()
    if reader.position != len(data):
        raise ProtocolError(f"{len(data) - reader.position} unexpected bytes after the message")
    if name == b"submit" and kind == CALL:
        body = arguments.get((2, STRING))
        return SubmitCall(
            sequence, decode_text_map(arguments.get((1, MAP))), body if isinstance(body, bytes) else None
        )
    revoked = arguments.get((1, I32))
    if name == b"revoke" and isinstance(revoked, int):
        return RevokeNotice(revoked)
    if name == b"heartbeat" and kind == CALL:
        return HeartbeatCall(sequence)
    if kind == ONEWAY:
        return UnservedCall(None, "")
    return UnservedCall(sequence, name.decode("utf-8", "replace")[:MAX_NAME_CHARACTERS])


def _decode_common_submit(data: bytes) -> SubmitCall | None:
    """Decode a `submit` message with its fields in the usual order; a fast path of `decode_message`.

    Returns None for any other message or order of fields.
    """
    if data[:SUBMIT_HEADER_END] != SUBMIT_HEADER:
        return None
    if data[SUBMIT_FIELDS_START:SUBMIT_FIELDS_END] != SUBMIT_FIELDS:
        return None
    reader = Reader(data)
    reader.position = SUBMIT_FIELDS_END
    texts = reader.read_strings(2 * reader.read_count())
    if reader.data[reader.position : reader.position + len(SUBMIT_BODY)] != SUBMIT_BODY:
        return None
    reader.position += len(SUBMIT_BODY)
    (body,) = reader.read_strings(1)
    if data[reader.position :] != b"\0":
        return None
    try:
        decoded = [text.decode() for text in texts]
    except UnicodeDecodeError:
        return None
    (sequence,) = unpack_length(data, SUBMIT_HEADER_END)
    return SubmitCall(sequence, dict(zip(decoded[::2], decoded[1::2], strict=True)), body)


# ---- Encoding


# The beginning of each kind of reply, between the frame length and the sequence number.
REPLY_HEADERS = {name: encode_message_header(REPLY, name) for name in (b"submit", b"heartbeat")}
REPLY_BODY = pack_field(STRUCT, 0) + pack_field(STRING, 1)  # the result struct and the header of its field 1
TRUE_AND_STOPS = b"\1\0\0"  # a bool, and the ends of both structs
FALSE_AND_STOPS = b"\0\0\0"


def _reply(name: bytes, sequence: int, body: bytes, fields: Mapping[str, str], good: bool) -> bytes:
    parts = (
        REPLY_HEADERS[name],
        pack_length(sequence),
        REPLY_BODY,
        pack_length(len(body)),
        body,
        pack_field(MAP, 2),
        encode_text_map(fields),
        pack_field(BOOL, 3),
        TRUE_AND_STOPS if good else FALSE_AND_STOPS,
    )
    return encode_string(b"".join(parts))


def _declared_exception(sequence: int, field: int, fields: Mapping[str, str]) -> bytes:
    inner = pack_field(MAP, 1) + encode_text_map(fields) + b"\0"
    return encode_message(REPLY, b"submit", sequence, pack_field(STRUCT, field) + inner + b"\0")


def ok_reply(sequence: int, body: bytes, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that completed, with its result and fields."""
    return _reply(b"submit", sequence, body, fields, True)


def rejected_reply(sequence: int, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that was rejected and never ran on this node."""
    return _declared_exception(sequence, REJECTED_FIELD, fields)


def failed_reply(sequence: int, fields: Mapping[str, str]) -> bytes:
    """Return the reply to an RPC that failed."""
    return _declared_exception(sequence, FAILED_FIELD, fields)


def health_reply(sequence: int, healthy: bool, fields: Mapping[str, str]) -> bytes:
    """Return the reply to a health check."""
    return _reply(b"heartbeat", sequence, b"", fields, healthy)


def application_exception(sequence: int, name: str, kind: int, text: str) -> bytes:
    """Return the exception for an invalid call; `kind` is UNKNOWN_METHOD or PROTOCOL_ERROR."""
    text_field = pack_field(STRING, 1) + encode_string(text.encode())
    kind_field = pack_field(I32, 2) + pack_length(kind)
    return encode_message(EXCEPTION, name.encode(), sequence, text_field + kind_field + b"\0")


def submit_call(sequence: int, fields: Mapping[str, str], body: bytes) -> bytes:
    """Return a `submit` call as a dispatcher sends it; `fields` maps names to text."""
    fields_field = pack_field(MAP, 1) + encode_text_map(fields)
    body_field = pack_field(STRING, 2) + encode_string(body)
    return encode_message(CALL, b"submit", sequence, fields_field + body_field + b"\0")


def closing_notice() -> bytes:
    """Return the notice that the node will close the connection."""
    return encode_message(ONEWAY, b"closing", 0, b"\0")
