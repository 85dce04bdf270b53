"""The messages between members: member records, heartbeats, gossip entries and anti-entropy.

This module declares their fields and limits; the codec is in fleet/codec.py. The structs are encoded as
arrays, so the order of the fields and the tags are the wire format and must not change. The names of the
fields are not encoded.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest

from finchcart.fleet.codec import (
    MAX_DATAGRAM_BYTES,
    Address,
    MessageCodec,
    NodeName,
    Unsigned53,
    Unsigned64,
)

CHANNEL = b"M"
MAX_BUCKETS = 64
MAX_PAGE_ENTRIES = 64
MAX_GOSSIP_ENTRIES = 16  # maximum number of gossip entries in one heartbeat
MAX_PAYLOAD_BYTES = 600  # maximum size of the payload of one gossip entry
MESSAGE_OVERHEAD_BYTES = 120  # upper bound for the parts of a datagram other than records and entries
# Maximum size of all records and entries in one datagram.
MAX_RECORD_BYTES = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES


class DeclaredStatus(IntEnum):
    """The status that a member declares of itself; within one process it only increases."""

    ALIVE = 0
    LEAVING = 1
    LEFT = 2


class GossipTopic(IntEnum):
    """The part of the program that a gossip entry belongs to."""

    QUOTA = 0
    OBSERVATIONS = 1
    OVERRIDES = 2


Version = tuple[int, int, int]  # (incarnation, version, session), see `MemberRecord.precedence`


class MemberRecord(Struct, array_like=True, frozen=True):
    """The record that a member declares of itself; no other process changes it."""

    name: NodeName
    address: Address
    session: Unsigned64  # random number that distinguishes the processes of one name
    started_ms: Unsigned53  # wall clock at start; the process that started later keeps a contested name
    # Initially `started_ms`. The process raises its incarnation after a suspension, and above the incarnation
    # in a record of another process with its name.
    incarnation: Unsigned53
    version: Unsigned53
    status: Annotated[int, Meta(ge=DeclaredStatus.ALIVE.value, le=DeclaredStatus.LEFT.value)]
    unreachable: Annotated[list[Unsigned64], Meta(max_length=96)]  # ids of watched members with links down

    @property
    def precedence(self) -> Version:
        """The order of the records of one name: the higher one is newer."""
        return self.incarnation, self.version, self.session

    @property
    def start_order(self) -> tuple[int, int]:
        """The order of two processes of one name: the higher one started later."""
        return self.started_ms, self.session

    def digest(self) -> int:
        """Return the digest of this record; the digest of several records is the XOR of theirs."""
        text = f"{self.name} {self.incarnation} {self.version} {self.session}"
        return xxh3_64_intdigest(text.encode())


class GossipEntry(Struct, array_like=True, frozen=True):
    """A value that a member publishes for another part of the program; membership does not interpret it."""

    member_id: Unsigned64
    topic: Annotated[int, Meta(ge=0, lt=4)]
    incarnation: Unsigned53
    sequence: Unsigned53
    age_us: Unsigned53  # upper bound, known to the sender, of the time since the entry was written
    counters: Annotated[list[tuple[Unsigned64, Unsigned53, Unsigned53]], Meta(max_length=16)]
    payload: Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)] = b""

    @property
    def precedence(self) -> tuple[int, int]:
        """The order of the entries of one member and topic: the higher one is newer."""
        return self.incarnation, self.sequence


class Heartbeat(Struct, array_like=True, frozen=True, tag=1):
    """The message that each member sends to each watched member once per period.

    `echo_sequence` is the highest sequence number that the sender received from the receiver's session
    `echo_session`. It proves to the receiver that the link has worked in both directions since the receiver
    sent that heartbeat.
    """

    record: MemberRecord  # the record of the sender
    sequence: Unsigned53
    echo_session: Unsigned64
    echo_sequence: Unsigned53
    digest: Unsigned64  # digest of the records of all members that have not failed or left
    updates: list[MemberRecord]  # recently changed records of any members, spread by gossip
    # The sender's own entries come first.
    entries: Annotated[list[GossipEntry], Meta(max_length=MAX_GOSSIP_ENTRIES)] = []


class BucketDigests(Struct, array_like=True, frozen=True, tag=2):
    """Anti-entropy, first step: the digest of each bucket (member id modulo the number of buckets)."""

    record: MemberRecord
    digests: Annotated[list[Unsigned64], Meta(min_length=1, max_length=MAX_BUCKETS)]


class BucketPage(Struct, array_like=True, frozen=True, tag=3):
    """Anti-entropy, second step: (id, incarnation, version) of records in a bucket and a range of ids."""

    record: MemberRecord
    bucket_count: Annotated[int, Meta(ge=1, le=MAX_BUCKETS)]
    bucket: Annotated[int, Meta(ge=0, lt=MAX_BUCKETS)]
    first_id: Unsigned64
    last_id: Unsigned64
    versions: Annotated[list[tuple[Unsigned64, Unsigned53, Unsigned53]], Meta(max_length=MAX_PAGE_ENTRIES)]
    is_reply: bool  # whether this page answers another page; no page is sent in answer to a reply


class MemberRecords(Struct, array_like=True, frozen=True, tag=4):
    """Anti-entropy, last step: whole records that are missing or older at the receiver."""

    records: list[MemberRecord]


class ViewRequest(Struct, array_like=True, frozen=True, tag=5):
    """A request of the command line for one page of the view."""

    number: Unsigned53
    page: Annotated[int, Meta(ge=0, lt=4096)]


class ViewPage(Struct, array_like=True, frozen=True, tag=6):
    """The response to a `ViewRequest`: page 0 has the counters, the other pages have the members."""

    number: Unsigned53
    page: int
    page_count: int
    view: dict


class NameTaken(Struct, array_like=True, frozen=True, tag=7):
    """Notice that another process has the receiver's name and is in two-way contact with the sender."""

    record: MemberRecord


MembershipMessage = (
    Heartbeat | BucketDigests | BucketPage | MemberRecords | ViewRequest | ViewPage | NameTaken
)

CODEC: MessageCodec[MembershipMessage] = MessageCodec(CHANNEL, MembershipMessage, (ViewRequest,))
