"""The messages between the holders of key leases and the replicas.

Owns their fields and limits, and the digests by which keys and payloads are named. It must never act on a
message. The order of the fields and the tags are the wire format: they stay, whatever the fields are called.
"""

from enum import IntEnum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest, xxh3_128_digest

from finchcart.fleet.codec import MessageCodec, NodeName, Unsigned53, Unsigned64

CHANNEL = b"C"
KEY_BYTES = 16
MAX_BATCH = 16
MAX_RESULT_BYTES = 256

Key = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
Result = Annotated[bytes, Meta(max_length=MAX_RESULT_BYTES)]


class LeaseStatus(IntEnum):
    """The status of a key in a vote, an outcome or the answer to an attempt."""

    GRANTED = 1  # the lease is the proposer's
    HELD = 2  # another attempt holds it, and its run has not ended
    COMPLETED = 3  # a run succeeded
    FAILED = 4  # a run failed, or its result was not kept
    RELEASED = 5  # by its holder: it never ran
    UNAVAILABLE = 6  # no quorum, or no capacity for another lease: it never ran here
    PAYLOAD_MISMATCH = 7  # the same key with another payload


RUN_ENDED = frozenset({LeaseStatus.COMPLETED, LeaseStatus.FAILED})  # statuses of a run that is over


class LeaseProposal(Struct, array_like=True, frozen=True):
    """One attempt to acquire the lease of a key; of one holder the higher `attempt` is the newer."""

    key: Key
    payload_digest: Unsigned64
    attempt: Unsigned53
    duration_us: Unsigned53


class AcquireLeases(Struct, array_like=True, frozen=True, tag=60):
    """A holder's proposals, to one replica."""

    node: NodeName
    session: Unsigned64  # drawn at the holder's start: tells two processes of one name apart
    proposals: Annotated[list[LeaseProposal], Meta(max_length=MAX_BATCH)]


class LeaseReport(Struct, array_like=True, frozen=True):
    """What one side reports of a lease: a replica's vote on an attempt, or the outcome of its run."""

    key: Key
    attempt: Unsigned53
    status: LeaseStatus
    result: Result = b""  # with `COMPLETED` alone
    payload_digest: Unsigned64 = 0  # in outcomes alone


class Votes(Struct, array_like=True, frozen=True, tag=61):
    """A replica's votes on the proposals of the holder's process `session`."""

    session: Unsigned64
    votes: Annotated[list[LeaseReport], Meta(max_length=MAX_BATCH)]


class ReportOutcomes(Struct, array_like=True, frozen=True, tag=62):
    """By the holder: how its runs ended (`COMPLETED`, `FAILED`), or that they never began (`RELEASED`)."""

    node: NodeName
    session: Unsigned64
    outcomes: Annotated[list[LeaseReport], Meta(max_length=MAX_BATCH)]


class OutcomeId(NamedTuple):
    """Identifies a reported outcome."""

    key: Key
    attempt: Unsigned53
    status: LeaseStatus


class OutcomesAcknowledged(Struct, array_like=True, frozen=True, tag=63):
    """A replica has recorded these outcomes of the process `session`."""

    session: Unsigned64
    outcomes: Annotated[list[OutcomeId], Meta(max_length=MAX_BATCH)]


KeyLeaseMessage = AcquireLeases | Votes | ReportOutcomes | OutcomesAcknowledged
CODEC: MessageCodec[KeyLeaseMessage] = MessageCodec(CHANNEL, KeyLeaseMessage)


def key_digest(method: str, idempotency_key: str) -> bytes:
    """Return the key of a lease: the digest of a method's name and the caller's idempotency key."""
    return xxh3_128_digest(f"{len(method)} {method} {idempotency_key}".encode())


def payload_digest(payload: bytes) -> int:
    """Return the digest that tells the payloads of two requests with one key apart."""
    return xxh3_64_intdigest(payload)
