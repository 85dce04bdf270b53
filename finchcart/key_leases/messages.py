"""The messages between the clients of key leases, called holders here, and the replicas.

Owns their fields and limits, and the digests that identify keys and payloads. This module must never act on a
message. The order of the fields and the tags are the wire format and must not change; the names of the fields
are not sent.
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

    GRANTED = 1  # the lease is granted to the proposed attempt
    HELD = 2  # another attempt holds the lease, and its run has not ended
    COMPLETED = 3  # a run of the key succeeded
    FAILED = 4  # a run of the key failed, or its result was too long to be kept
    RELEASED = 5  # the holder released the lease without running the key
    UNAVAILABLE = 6  # no quorum, or no capacity for another lease; the key was not run for this attempt
    PAYLOAD_MISMATCH = 7  # the key is in use for a request with another payload


RUN_ENDED = frozenset({LeaseStatus.COMPLETED, LeaseStatus.FAILED})


class LeaseProposal(Struct, array_like=True, frozen=True):
    """One attempt to acquire the lease of a key; a holder numbers its attempts in ascending order."""

    key: Key
    payload_digest: Unsigned64
    attempt: Unsigned53
    duration_us: Unsigned53


class AcquireLeases(Struct, array_like=True, frozen=True, tag=60):
    """A holder sends proposals to one replica."""

    node: NodeName
    session: Unsigned64  # random number of the holder's process, which tells it from others of the same name
    proposals: Annotated[list[LeaseProposal], Meta(max_length=MAX_BATCH)]


class LeaseReport(Struct, array_like=True, frozen=True):
    """A replica's vote on an attempt, or a holder's report on the outcome of its run."""

    key: Key
    attempt: Unsigned53
    status: LeaseStatus
    result: Result = b""  # only with `COMPLETED`
    payload_digest: Unsigned64 = 0  # only in outcomes


class Votes(Struct, array_like=True, frozen=True, tag=61):
    """A replica sends its votes on the proposals of the process `session`."""

    session: Unsigned64
    votes: Annotated[list[LeaseReport], Meta(max_length=MAX_BATCH)]


class ReportOutcomes(Struct, array_like=True, frozen=True, tag=62):
    """A holder reports how its runs ended (`COMPLETED`, `FAILED`) or that they never began (`RELEASED`)."""

    node: NodeName
    session: Unsigned64
    outcomes: Annotated[list[LeaseReport], Meta(max_length=MAX_BATCH)]


class OutcomeId(NamedTuple):
    """The parts of a reported outcome that identify it in an acknowledgement."""

    key: Key
    attempt: Unsigned53
    status: LeaseStatus


class OutcomesAcknowledged(Struct, array_like=True, frozen=True, tag=63):
    """A replica acknowledges that it has recorded outcomes of the process `session`."""

    session: Unsigned64
    outcomes: Annotated[list[OutcomeId], Meta(max_length=MAX_BATCH)]


KeyLeaseMessage = AcquireLeases | Votes | ReportOutcomes | OutcomesAcknowledged
CODEC: MessageCodec[KeyLeaseMessage] = MessageCodec(CHANNEL, KeyLeaseMessage)


def key_digest(method: str, idempotency_key: str) -> bytes:
    """Return the key of a lease: the digest of a method's name and the caller's idempotency key."""
    return xxh3_128_digest(f"{len(method)} {method} {idempotency_key}".encode())


def payload_digest(payload: bytes) -> int:
    """Return the digest by which a payload is compared with that of another request with the same key."""
    return xxh3_64_intdigest(payload)
