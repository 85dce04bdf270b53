"""The messages between members: member records, heartbeats, gossip entries and anti-entropy.

Owns their fields and limits. It must never act on a message; the codec is fleet/codec.py. The order of the
fields and the tags are the wire format: they stay, whatever the fields are called here.
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
MAX_GOSSIP_ENTRIES = 16  # in one heartbeat
MAX_PAYLOAD_BYTES = 600  # of one gossip entry
MESSAGE_OVERHEAD_BYTES = 120  # of a datagram, besides the records and entries in it
MAX_RECORD_BYTES = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES  # of the records and entries in one datagram


class DeclaredStatus(IntEnum):
    """What a member declares of itself; it only ever rises within one process."""

    ALIVE = 0
    LEAVING = 1
    LEFT = 2


class GossipTopic(IntEnum):
    """Which part of the program a gossip entry belongs to."""

    QUOTA = 0
    OBSERVATIONS = 1
    OVERRIDES = 2


Version = tuple[int, int, int]  # (incarnation, version, session), see MemberRecord.precedence


class MemberRecord(Struct, array_like=True, frozen=True):
    """What a member declares of itself; nobody else writes it."""

    name: NodeName
    address: Address
    session: Unsigned64  # drawn at start: tells two processes of one name apart
    started_ms: Unsigned53  # wall clock at start: of two processes of one name the later keeps it
    incarnation: Unsigned53  # equal at first; raised over what others remember, and after a suspension
    version: Unsigned53
    status: Annotated[int, Meta(ge=DeclaredStatus.ALIVE.value, le=DeclaredStatus.LEFT.value)]
    unreachable: Annotated[list[Unsigned64], Meta(max_length=96)]  # ids it has no two-way contact with

    @property
    def precedence(self) -> Version:
        """The order of the records of one name: the higher is the newer."""
        return self.incarnation, self.version, self.session

    @property
    def start_order(self) -> tuple[int, int]:
        """The order of two processes of one name: the higher started later."""
        return self.started_ms, self.session

    def digest(self) -> int:
        """Return the record's part in the digest of many, which is their exclusive or."""
        text = f"{self.name} {self.incarnation} {self.version} {self.session}"
        return xxh3_64_intdigest(text.encode())


class GossipEntry(Struct, array_like=True, frozen=True):
    """What a member publishes for another part of the program, opaque to membership."""

    member_id: Unsigned64
    topic: Annotated[int, Meta(ge=0, lt=4)]
    incarnation: Unsigned53
    sequence: Unsigned53
    age_us: Unsigned53  # since it was written, at most, as far as the sender knows
    counters: Annotated[list[tuple[Unsigned64, Unsigned53, Unsigned53]], Meta(max_length=16)]
    payload: Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)] = b""

    @property
    def precedence(self) -> tuple[int, int]:
        """The order of the entries of one member and topic: the higher is the newer."""
        return self.incarnation, self.sequence


class Heartbeat(Struct, array_like=True, frozen=True, tag=1):
    """Sent to each watched member once a period.

    `echo_sequence` is the highest sequence received from the receiver's session `echo_session`: it proves
    that the link was open both ways since the receiver sent that one.
    """

    record: MemberRecord  # the sender's own
    sequence: Unsigned53
    echo_session: Unsigned64
    echo_sequence: Unsigned53
    digest: Unsigned64  # of all records of members in the fleet
    updates: list[MemberRecord]  # gossip: records that changed lately
    entries: Annotated[list[GossipEntry], Meta(max_length=MAX_GOSSIP_ENTRIES)] = []  # the sender's own first


class BucketDigests(Struct, array_like=True, frozen=True, tag=2):
    """Anti-entropy, first step: digests of all records by bucket (id modulo the number of buckets)."""

    record: MemberRecord
    digests: Annotated[list[Unsigned64], Meta(min_length=1, max_length=MAX_BUCKETS)]


class BucketPage(Struct, array_like=True, frozen=True, tag=3):
    """Anti-entropy, second step: (id, incarnation, version) of the records of a bucket in a range of ids."""

    record: MemberRecord
    bucket_count: Annotated[int, Meta(ge=1, le=MAX_BUCKETS)]
    bucket: Annotated[int, Meta(ge=0, lt=MAX_BUCKETS)]
    first_id: Unsigned64
    last_id: Unsigned64
    versions: Annotated[list[tuple[Unsigned64, Unsigned53, Unsigned53]], Meta(max_length=MAX_PAGE_ENTRIES)]
    is_reply: bool  # sent for a page: not answered by another


class MemberRecords(Struct, array_like=True, frozen=True, tag=4):
    """Anti-entropy, last step: whole records that the receiver lacks."""

    records: list[MemberRecord]


class ViewRequest(Struct, array_like=True, frozen=True, tag=5):
    """A question of the command line for one page of the view."""

    number: Unsigned53
    page: Annotated[int, Meta(ge=0, lt=4096)]


class ViewPage(Struct, array_like=True, frozen=True, tag=6):
    """The answer to a `ViewRequest`; page 0 has the counters, the others have members."""

    number: Unsigned53
    page: int
    page_count: int
    view: dict


class NameTaken(Struct, array_like=True, frozen=True, tag=7):
    """To one that uses a name: another process has it, and the sender is in two-way contact with that one."""

    record: MemberRecord


MembershipMessage = (
    Heartbeat | BucketDigests | BucketPage | MemberRecords | ViewRequest | ViewPage | NameTaken
)

CODEC: MessageCodec[MembershipMessage] = MessageCodec(CHANNEL, MembershipMessage, (ViewRequest,))
