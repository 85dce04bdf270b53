"""The codec of all datagrams between the processes of a fleet, and the field types that their messages share.

This module defines the envelope, its checksum and its size limit. The messages are declared by the packages
that exchange them (membership, consensus, quota, key leases); each package uses a channel of its own.

A datagram consists of one byte for the channel, the 8-byte xxh64 checksum of the rest, and the MessagePack
encoding of `[protocol version, fleet, message]`. It has at most 1,200 bytes. There is no authentication and
no encryption. The checksum only protects against accidental corruption, so the address on which a process
receives datagrams must not be reachable from outside the fleet.
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

Unsigned64 = Annotated[int, Meta(ge=0)]  # MessagePack itself limits integers to 64 bits
Unsigned53 = Annotated[int, Meta(ge=0, lt=2**53)]  # integers that a double represents exactly
NodeName = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=3, max_length=64)]
HostPort = tuple[str, int]

M = TypeVar("M")
T = TypeVar("T")


class DatagramError(ProtocolError):
    """A datagram, or a record in one, that cannot be used.

    Its text is the name of the counter for the reason.
    """


class Envelope(Struct, Generic[M], array_like=True, frozen=True):
    """The envelope of each message; `fleet` may be empty in a request of the command line."""

    version: int
    fleet: str
    message: M


_encoder = msgspec.msgpack.Encoder()


def encode_value(value: object) -> bytes:
    """Return the encoding of one message or field as it appears in a datagram."""
    return _encoder.encode(value)


class MessageCodec(Generic[M]):
    """Encodes and decodes the messages of one channel.

    Arguments:
        channel: the first byte of each datagram.
        messages: the union of the message types; each is a struct with a tag.
        request_types: types of requests that the command line sends, which need not name the fleet.
    """

    def __init__(self, channel: bytes, messages: UnionType, request_types: tuple[type, ...] = ()) -> None:
        self.channel = channel
        self._request_types = request_types
        self._decoder = msgspec.msgpack.Decoder(
            Envelope[messages]  # type: ignore[valid-type]  # the union is only known at run time
        )

    def encode(self, fleet: str, message: M) -> bytes:
        """Return a datagram of any length.

        The caller limits the length; see `encode_bounded` and `take_fitting`.
        """
        data = _encoder.encode((PROTOCOL_VERSION, fleet, message))
        return self.channel + xxh64_digest(data) + data

    def encode_bounded(self, fleet: str, message: M) -> bytes:
        """Return a datagram, or raise `DatagramError` if it is longer than `MAX_DATAGRAM_BYTES`."""
        data = self.encode(fleet, message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("too long to send")
        return data

    def decode(self, fleet: str | None, data: bytes) -> M:
        """Return the message in a datagram.

        Arguments:
            fleet: the name of the fleet to which the sender must belong; None for any fleet.
            data: the datagram.

        Raises:
            DatagramError: the datagram is too long, corrupted or invalid, or it is from another protocol
                version or fleet.
        """
        envelope = self._open(data)
        if envelope.version != PROTOCOL_VERSION:
            raise DatagramError("another version")
        is_request = envelope.fleet == "" and isinstance(envelope.message, self._request_types)
        if fleet not in (None, envelope.fleet) and not is_request:
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
    """Return the 64-bit identifier for the name of a member, a limit or a zone."""
    return xxh3_64_intdigest(name.encode())


@lru_cache(8192)
def parse_address(text: str) -> HostPort:
    """Return (host, port) of an IPv4 address `a.b.c.d:port`; raise `DatagramError` if it is invalid."""
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
    """Return the longest prefix of `items` whose encoded size does not exceed `max_bytes`."""
    taken = []
    for item in items:
        max_bytes -= len(_encoder.encode(item))
        if max_bytes < 0:
            break
        taken.append(item)
    return taken
