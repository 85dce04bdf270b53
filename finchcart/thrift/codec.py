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

# Kinds of an application exception.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7
# Exceptions that `submit` declares.
REJECTED_FIELD = 1
FAILED_FIELD = 2
MAX_NAME_CHARACTERS = 60  # of a method that is not served

# What a `submit` opens with in the order in which dispatchers write it.
SUBMIT_HEAD = b"\x80\x01\x00\x01\x00\x00\x00\x06submit"
SUBMIT_FIELDS = b"\x0d\x00\x01\x0b\x0b"  # a map of texts as the first field
SUBMIT_BODY = b"\x0b\x00\x02"  # then a string as the second
SUBMIT_HEAD_END = len(SUBMIT_HEAD)
SUBMIT_FIELDS_START = SUBMIT_HEAD_END + LENGTH_BYTES
SUBMIT_FIELDS_END = SUBMIT_FIELDS_START + len(SUBMIT_FIELDS)


# ---- Reading what dispatchers send


def find_frame_end(data: bytes, start: int, max_size: int) -> int | None:
    """Return where the first frame ends, or None until it is complete; see `Codec.find_frame_end`."""
    if len(data) < start + LENGTH_BYTES:
        return None
    (length,) = unpack_length(data, start)
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
    head = reader.read_integer(I32) & 0xFFFFFFFF
    kind = head & KIND_MASK
    if head & VERSION_MASK != VERSION or kind not in (CALL, ONEWAY):
        raise ProtocolError(f"not a call: {head:#010x}")
    name = reader.read_string()
    sequence = reader.read_integer(I32)
    arguments = reader.read_struct()
    if reader.position != len(data):
        raise ProtocolError(f"{len(data) - reader.position} bytes after the message")
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
    texts = reader.read_strings(2 * reader.read_count())
    if reader.data[reader.position : reader.position + len(SUBMIT_BODY)] != SUBMIT_BODY:
        return None
    reader.position += len(SUBMIT_BODY)
    (body,) = reader.read_strings(1)
    if data[reader.position :] != b"\0":
        return None
    try:
        words = [text.decode() for text in texts]
    except UnicodeDecodeError:
        return None
    (sequence,) = unpack_length(data, SUBMIT_HEAD_END)
    return SubmitCall(sequence, dict(zip(words[::2], words[1::2], strict=True)), body)


# ---- Writing


# What replies open with, after the frame's length; then the sequence number.
REPLY_HEADS = {name: encode_message_header(REPLY, name) for name in (b"submit", b"heartbeat")}
REPLY_BODY = pack_field(STRUCT, 0) + pack_field(STRING, 1)
TRUE_AND_STOPS = b"\1\0\0"
FALSE_AND_STOPS = b"\0\0\0"


def _reply(name: bytes, sequence: int, body: bytes, fields: Mapping[str, str], good: bool) -> bytes:
    parts = (
        REPLY_HEADS[name],
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
    text_field = pack_field(STRING, 1) + encode_string(text.encode())
    kind_field = pack_field(I32, 2) + pack_length(kind)
    return encode_message(EXCEPTION, name.encode(), sequence, text_field + kind_field + b"\0")


def submit_call(sequence: int, fields: Mapping[str, str], body: bytes) -> bytes:
    """Return a call of `submit`, as a dispatcher sends it; fields: name -> text."""
    fields_field = pack_field(MAP, 1) + encode_text_map(fields)
    body_field = pack_field(STRING, 2) + encode_string(body)
    return encode_message(CALL, b"submit", sequence, fields_field + body_field + b"\0")


def closing_notice() -> bytes:
    """Return the notice that the node is about to close the connection."""
    return encode_message(ONEWAY, b"closing", 0, b"\0")
