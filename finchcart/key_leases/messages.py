"""What rides between holders of claims and keepers: typed structs, in the datagrams of
finchcart/membership/messages.py.

Owns the messages alone; see keeper.py and holder.py for what they mean. A key is the 16-byte digest of method
and token, `body` the digest of what it carries.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh3_128_digest

from finchcart.membership.messages import Count, Name, Unfit, Word, unsealed

CHANNEL = b"C"
Key = Annotated[bytes, Meta(min_length=16, max_length=16)]


class LeaseStatus(IntEnum):
    """What a vote, an outcome or the answer to an attempt says of a key."""

    GRANTED = 1  # the lease is the asker's
    HELD = 2  # another attempt holds it, and its run has not ended
    COMPLETED = 3  # a run succeeded
    FAILED = 4  # a run failed, or its result was not kept
    RELEASED = 5  # given back: it never ran
    UNAVAILABLE = 6  # no quorum, or no room for another lease: it never ran here
    PAYLOAD_MISMATCH = 7  # the same key with another payload


Kind = LeaseStatus
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


def key_digest(method, token):
    return xxh3_128_digest(f"{len(method)} {method} {token}".encode())


def payload_digest(body):
    return xxh3_64_intdigest(body)


__all__ = ["Unfit"]
