"""What rides between members: typed structs as MessagePack, in datagrams of 1,200 bytes at most.

Owns the messages, their limits and the digest by which a spoilt one is known. It must never act on a message:
what can't be read is an `Unfit` with a reason that is counted.

A datagram is a byte for the channel (`M` here), the 8-byte xxh64 of the rest, then `[version, fleet,
message]`. There is no sign-in and no encryption: the digest guards against accidents alone, and the address
must not be reachable by others.
"""

from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh64_digest

VERSION, MOST, DIGEST, CHANNEL = 2, 1200, 8, b"M"

Word = Annotated[int, Meta(ge=0)]  # 64 bits: the most that the format carries
Count = Annotated[int, Meta(ge=0, lt=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Place = Annotated[str, Meta(min_length=3, max_length=64)]
ALIVE, LEAVING, LEFT = 0, 1, 2


class Unfit(Exception):
    """A datagram or row that can't be used; its text is a reason for the counters."""


class Row(Struct, array_like=True, frozen=True):
    """What a member says of itself; nobody else writes it. Newer is the higher (incarnation, version)."""

    name: Name
    address: Place
    session: Word  # drawn at start: tells two processes of one name apart
    began: Count  # wall clock at start, milliseconds: of two processes of one name the younger stands
    incarnation: Count  # the same at first; raised over what is remembered, and on waking from a pause
    version: Count
    duty: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    down: Annotated[list[Word], Meta(max_length=96)]  # ids of those it has no two-way contact with

    @property
    def age(self):
        """What orders rows of one name."""
        return self.incarnation, self.version, self.session


class Note(Struct, array_like=True, frozen=True):
    """What a member says for another part of the program, not looked into here; newer is the higher
    (incarnation, number) of one topic. `since`: microseconds since it was written, as the sender knows at
    most."""

    who: Word  # id of the member
    topic: Annotated[int, Meta(ge=0, lt=4)]  # which part
    incarnation: Count
    number: Count
    since: Count
    values: Annotated[list[tuple[Word, Count, Count]], Meta(max_length=16)]
    data: Annotated[bytes, Meta(max_length=600)] = b""

    @property
    def age(self):
        return self.incarnation, self.number


class Beat(Struct, array_like=True, frozen=True, tag=1):
    """Sent to each watched member once a period. `echo` is the highest `seq` heard of the receiver's
    `echo_session`: it proves that the way there and back is open since that was sent."""

    row: Row  # the sender's own
    seq: Count
    echo_session: Word
    echo: Count
    digest: Word  # of all rows
    rows: list[Row]  # news
    notes: Annotated[list[Note], Meta(max_length=16)] = []  # the sender's own first, then some of others


class Sync(Struct, array_like=True, frozen=True, tag=2):
    """Digests of all rows by bucket (id modulo their count): those that differ are compared next."""

    row: Row
    buckets: Annotated[list[Word], Meta(min_length=1, max_length=64)]


class Page(Struct, array_like=True, frozen=True, tag=3):
    """(id, incarnation, version) of all rows of a bucket with ids from `low` to `high`."""

    row: Row
    buckets: Annotated[int, Meta(ge=1, le=64)]
    bucket: Annotated[int, Meta(ge=0, le=63)]
    low: Word
    high: Word
    entries: Annotated[list[tuple[Word, Count, Count]], Meta(max_length=64)]
    answer: bool  # sent for a page: not answered by another


class Rows(Struct, array_like=True, frozen=True, tag=4):
    rows: list[Row]


class Ask(Struct, array_like=True, frozen=True, tag=5):
    """A question of the command line: one page of the view."""

    number: Count
    page: Annotated[int, Meta(ge=0, lt=4096)]


class Told(Struct, array_like=True, frozen=True, tag=6):
    number: Count
    page: int
    pages: int
    view: dict  # see Member.status


class Taken(Struct, array_like=True, frozen=True, tag=7):
    """To one that uses a name: another process has it, and the sender is in two-way contact with that one."""

    row: Row


class Envelope(Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    said: Beat | Sync | Page | Rows | Ask | Told | Taken


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)
encoded = _encoder.encode


def id_of(name):
    return xxh3_64_intdigest(name.encode())


def digest_of(row):
    """For digests of many rows: their exclusive or."""
    return xxh3_64_intdigest(f"{row.name} {row.incarnation} {row.version} {row.session}".encode())


def sealed(channel, fleet, said):
    data = _encoder.encode((VERSION, fleet, said))
    return channel + xxh64_digest(data) + data


def unsealed(channel, fleet, data, decoder, question):
    """What a datagram says; `fleet`: None for any. A `question` need not name the fleet."""
    if len(data) > MOST:
        raise Unfit("too long")
    if data[:1] != channel or xxh64_digest(data[1 + DIGEST :]) != data[1 : 1 + DIGEST]:
        raise Unfit("spoilt")
    try:
        envelope = decoder.decode(data[1 + DIGEST :])
    except msgspec.ValidationError:
        raise Unfit("not valid") from None
    except msgspec.DecodeError:
        raise Unfit("unreadable") from None
    if envelope.version != VERSION:
        raise Unfit("another version")
    if fleet not in (None, envelope.fleet) and not (
        envelope.fleet == "" and isinstance(envelope.said, question)
    ):
        raise Unfit("another fleet")
    return envelope.said


def pack(fleet, said):
    return sealed(CHANNEL, fleet, said)


def unpack(fleet, data):
    return unsealed(CHANNEL, fleet, data, _decoder, Ask)


@lru_cache(8192)
def place_of(text):
    """(host, port) of an advertised address."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(p.isdecimal() and len(p) < 4 and int(p) < 256 for p in parts)
        or not port.isdecimal()
        or len(port) > 5
        or not 0 < int(port) < 65536
    ):
        raise Unfit("impossible address")
    return host, int(port)


def fill(rows, room):
    """As many of the rows as fit into `room` bytes."""
    taken = []
    for row in rows:
        room -= len(encoded(row))
        if room < 0:
            break
        taken.append(row)
    return taken
