"""What rides between holders of claims and keepers: typed structs, in the datagrams of
finchcart/membership/messages.py.

Owns the messages alone; see keeper.py and holder.py for what they mean. A key is the 16-byte digest of method
and token, `body` the digest of what it carries.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh3_128_digest

from finchcart.membership.messages import Count, Name, Unfit, Word, unsealed

CHANNEL = b"C"
Key = Annotated[bytes, Meta(min_length=16, max_length=16)]
YES, HELD, ENDED, FAILED, RELEASED, FULL, OTHER_BODY = range(1, 8)
Kind = Annotated[int, Meta(ge=YES, le=OTHER_BODY)]
Result = Annotated[bytes, Meta(max_length=256)]


class Ask(Struct, array_like=True, frozen=True):
    """One try to claim a key: of a holder the higher `attempt` is the newer. `life`: how long it is kept."""

    key: Key
    body: Word
    attempt: Count
    life: Count


class Claim(Struct, array_like=True, frozen=True, tag=60):
    holder: Name
    session: Word
    asks: Annotated[list[Ask], Meta(max_length=16)]


class Vote(Struct, array_like=True, frozen=True):
    """`result` with ENDED alone; `body` where a holder says how its run ended."""

    key: Key
    attempt: Count
    kind: Kind
    result: Result = b""
    body: Word = 0


class Votes(Struct, array_like=True, frozen=True, tag=61):
    session: Word
    votes: Annotated[list[Vote], Meta(max_length=16)]


class Say(Struct, array_like=True, frozen=True, tag=62):
    """By the holder of a claim: how its run ended (`kind` ENDED or FAILED), or RELEASED: it never ran."""

    holder: Name
    session: Word
    lines: Annotated[list[Vote], Meta(max_length=16)]


class Noted(Struct, array_like=True, frozen=True, tag=63):
    session: Word
    keys: Annotated[list[tuple[Key, Count, Kind]], Meta(max_length=16)]


class Envelope(Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    said: Claim | Votes | Say | Noted


_decoder = msgspec.msgpack.Decoder(Envelope)


def unpack(fleet, data):
    return unsealed(CHANNEL, fleet, data, _decoder, ())


def key_of(method, token):
    return xxh3_128_digest(f"{len(method)} {method} {token}".encode())


def body_of(body):
    return xxh3_64_intdigest(body)


__all__ = ["Unfit"]
