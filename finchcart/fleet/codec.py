"""The common codec of all datagrams between processes of a fleet, and the field types their messages share.

Owns the envelope, its checksum and size limit, and the error for what cannot be used. The messages themselves
are declared by the packages that exchange them (membership, consensus, quota, key leases), each on a channel
of its own. It must never act on a message.

A datagram is one byte for the channel, the 8-byte xxh64 checksum of the rest, then MessagePack of `[protocol
version, fleet, message]`, of 1,200 bytes at most. There is no authentication and no encryption: the checksum
guards against accidental corruption alone, and the address must not be reachable by others.
"""

from collections.abc import Iterable
from functools import lru_cache
from types import UnionType
from typing import Annotated, Generic, TypeVar

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh64_digest

from finchcart.errors import ProtocolError

PROTOCOL_VERSION = 2
MAX_DATAGRAM_BYTES = 1200
CHECKSUM_BYTES = 8
MAX_ADDRESS_PORT = 65535

Unsigned64 = Annotated[int, Meta(ge=0)]  # 64 bits are the most that MessagePack carries
Unsigned53 = Annotated[int, Meta(ge=0, lt=2**53)]  # exact in every language's double
NodeName = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=3, max_length=64)]
HostPort = tuple[str, int]

M = TypeVar("M")
T = TypeVar("T")


class DatagramError(ProtocolError):
    """A datagram, or a record in one, that cannot be used; its text is the reason used for the counters."""


class Envelope(Struct, Generic[M], array_like=True, frozen=True):
    """What surrounds each message. `fleet` is empty in a question of the command line."""

    version: int
    fleet: str
    message: M


_encoder = msgspec.msgpack.Encoder()


def encode_value(value: object) -> bytes:
    """Return the bytes of one message or field as they stand in a datagram."""
    return _encoder.encode(value)


class MessageCodec(Generic[M]):
    """Encodes and decodes the messages of one channel.

    Arguments:
        channel: the first byte of each datagram.
        messages: the union of the message types; each is a struct with a tag.
        questions: types that the command line sends, which need not name the fleet.
    """

    def __init__(self, channel: bytes, messages: UnionType, questions: tuple[type, ...] = ()) -> None:
        self.channel = channel
        self._questions = questions
        self._decoder = msgspec.msgpack.Decoder(
            Envelope[messages]  # type: ignore[valid-type]  # the union is known at run time alone
        )

    def encode(self, fleet: str, message: M) -> bytes:
        """Return a datagram of any length: the caller limits it, see `encode_bounded` and `take_fitting`."""
        data = _encoder.encode((PROTOCOL_VERSION, fleet, message))
        return self.channel + xxh64_digest(data) + data

    def encode_bounded(self, fleet: str, message: M) -> bytes:
        """Return a datagram of `MAX_DATAGRAM_BYTES` at most; raise `DatagramError` for a longer one."""
        data = self.encode(fleet, message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("too long to send")
        return data

    def decode(self, fleet: str | None, data: bytes) -> M:
        """Return the message in a datagram.

        Arguments:
            fleet: the name of the fleet that the sender has to be of; None for any.
            data: the datagram.

        Raises:
            DatagramError: too long, damaged, not valid, of another version or of another fleet.
        """
        envelope = self._open(data)
        if envelope.version != PROTOCOL_VERSION:
            raise DatagramError("another version")
        is_question = envelope.fleet == "" and isinstance(envelope.message, self._questions)
        if fleet not in (None, envelope.fleet) and not is_question:
            raise DatagramError("another fleet")
        return envelope.message

    def _open(self, data: bytes) -> Envelope[M]:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("too long")
        body = data[1 + CHECKSUM_BYTES :]
        if data[:1] != self.channel or xxh64_digest(body) != data[1 : 1 + CHECKSUM_BYTES]:
            raise DatagramError("spoilt")
        try:
            return self._decoder.decode(body)
        except msgspec.ValidationError:
            raise DatagramError("not valid") from None
        except msgspec.DecodeError:
            raise DatagramError("unreadable") from None


def name_hash(name: str) -> int:
    """Return the 64-bit identifier of a name: of a member, a limit or a zone."""
    return xxh3_64_intdigest(name.encode())


@lru_cache(8192)
def parse_address(text: str) -> HostPort:
    """Return (host, port) of an advertised IPv4 address `a.b.c.d:port`; raise `DatagramError`."""
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if len(octets) != 4 or not all(map(_is_octet, octets)) or not _is_port(port):
        raise DatagramError("impossible address")
    return host, int(port)


def _is_octet(text: str) -> bool:
    return text.isdecimal() and len(text) < 4 and int(text) < 256


def _is_port(text: str) -> bool:
    return text.isdecimal() and len(text) < 6 and 0 < int(text) <= MAX_ADDRESS_PORT


def take_fitting(items: Iterable[T], max_bytes: int) -> list[T]:
    """Return the first of the items that together take no more than `max_bytes` when encoded."""
    taken = []
    for item in items:
        max_bytes -= len(_encoder.encode(item))
        if max_bytes < 0:
            break
        taken.append(item)
    return taken
