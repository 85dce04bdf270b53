"""What rides between holders of claims and keepers: typed structs, in the datagrams of
finchcart/membership/codec.py.

Owns the messages alone; see keeper.py and holder.py for what they mean. A key is the 16-byte digest of method
and token, `body` the digest of what it carries.
"""

from typing import Annotated

from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh3_128_digest

from finchcart.membership.codec import MessageCodec, NodeName, Unsigned53, Unsigned64

CHANNEL = b"C"
Key = Annotated[bytes, Meta(min_length=16, max_length=16)]
YES, HELD, ENDED, FAILED, RELEASED, FULL, OTHER_BODY = range(1, 8)
Kind = Annotated[int, Meta(ge=YES, le=OTHER_BODY)]
Result = Annotated[bytes, Meta(max_length=256)]


class Ask(Struct, array_like=True, frozen=True):
    """One try to claim a key: of a holder the higher `attempt` is the newer. `life`: how long it is kept."""

    key: Key
    body: Unsigned64
    attempt: Unsigned53
    life: Unsigned53


class Claim(Struct, array_like=True, frozen=True, tag=60):
    holder: NodeName
    session: Unsigned64
    asks: Annotated[list[Ask], Meta(max_length=16)]


class Vote(Struct, array_like=True, frozen=True):
    """`result` with ENDED alone; `body` where a holder says how its run ended."""

    key: Key
    attempt: Unsigned53
    kind: Kind
    result: Result = b""
    body: Unsigned64 = 0


class Votes(Struct, array_like=True, frozen=True, tag=61):
    session: Unsigned64
    votes: Annotated[list[Vote], Meta(max_length=16)]


class Say(Struct, array_like=True, frozen=True, tag=62):
    """By the holder of a claim: how its run ended (`kind` ENDED or FAILED), or RELEASED: it never ran."""

    holder: NodeName
    session: Unsigned64
    lines: Annotated[list[Vote], Meta(max_length=16)]


class Noted(Struct, array_like=True, frozen=True, tag=63):
    session: Unsigned64
    keys: Annotated[list[tuple[Key, Unsigned53, Kind]], Meta(max_length=16)]


CODEC = MessageCodec(CHANNEL, Claim | Votes | Say | Noted)


def key_of(method, token):
    return xxh3_128_digest(f"{len(method)} {method} {token}".encode())


def body_of(body):
    return xxh3_64_intdigest(body)
