"""Anti-entropy: compare digests between two members, and send the records that gossip missed.

A comparison has three steps: digests of all buckets, pages of record versions from a few buckets that differ,
and whole records. Each step is one datagram or a few. A lost datagram is not retransmitted: the next
heartbeat whose digest differs starts a new comparison.
"""

from random import Random

from finchcart.fleet.codec import parse_address, take_fitting
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import (
    MAX_BUCKETS,
    MAX_RECORD_BYTES,
    BucketDigests,
    BucketPage,
    Heartbeat,
    MemberRecord,
    MemberRecords,
)
from finchcart.membership.records import MemberTable

MEMBERS_PER_BUCKET = 16
BUCKETS_PER_COMPARISON = 2
VERSIONS_PER_PAGE = 40
RECORD_DATAGRAMS_PER_PAGE = 4
MAX_MEMBER_ID = 2**64 - 1

VersionPair = tuple[int, int]  # (incarnation, version)


class AntiEntropy:
    """Compares the member table with those of other members.

    Its only state is the time at which it last started a comparison.

    Arguments:
        table: the records of all members, and the outbox.
        config: provides the heartbeat period.
        random: selects buckets and ranges of ids.
    """

    def __init__(self, table: MemberTable, config: MembershipConfig, random: Random) -> None:
        self.table = table
        self.config = config
        self.outbox = table.outbox
        self.random = random
        self._started_at = 0

    def on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        """Start a comparison if the sender's digest differs, at most twice per period."""
        if heartbeat.digest == self.table.digest or now - self._started_at < self.config.period // 2:
            return
        self._started_at = now
        count = 1
        while count < MAX_BUCKETS and count * MEMBERS_PER_BUCKET < len(self.table.members):
            count *= 2
        digests, _ = self._buckets(count)
        address = parse_address(heartbeat.record.address)
        self.outbox.send(address, BucketDigests(self.table.own_record, digests))

    def on_digests(self, message: BucketDigests) -> None:
        """Send a page of versions for a few randomly chosen buckets that differ."""
        count = len(message.digests)
        digests, ids = self._buckets(count)
        different = [bucket for bucket in range(count) if digests[bucket] != message.digests[bucket]]
        for bucket in self.random.sample(different, min(BUCKETS_PER_COMPARISON, len(different))):
            self._send_page(message.record, count, bucket, sorted(ids[bucket]))

    def on_page(self, message: BucketPage) -> None:
        """Send the records that are newer in the own table than in the page.

        If the sender has newer records, request them by a reply with a page of the versions in the own table.
        """
        peer_versions = {
            member_id: (incarnation, version) for member_id, incarnation, version in message.versions
        }
        ids = sorted(member_id for member_id in self.table.members if self._is_covered(member_id, message))
        gone = {member_id for member_id in ids if not self.table.members[member_id].is_in_digest}
        self._send_newer(message.record, ids, gone, peer_versions)
        if not message.is_reply and self._peer_has_newer(peer_versions):
            ids = [member_id for member_id in ids if member_id not in gone or member_id in peer_versions]
            self._send_page(
                message.record,
                message.bucket_count,
                message.bucket,
                ids,
                is_reply=True,
                first_id=message.first_id,
                last_id=message.last_id,
            )

    def _buckets(self, count: int) -> tuple[list[int], list[list[int]]]:
        """Return the digest and the member ids of each bucket, without failed and left members."""
        digests = [0] * count
        ids: list[list[int]] = [[] for _ in range(count)]
        for member_id, known in self.table.members.items():
            if known.is_in_digest:
                digests[member_id % count] ^= known.digest
                ids[member_id % count].append(member_id)
        return digests, ids

    def _send_page(
        self,
        receiver: MemberRecord,
        bucket_count: int,
        bucket: int,
        ids: list[int],
        *,
        is_reply: bool = False,
        first_id: int = 0,
        last_id: int = MAX_MEMBER_ID,
    ) -> None:
        """Send the versions of the sorted `ids`.

        If they do not fit into one page, the page covers a contiguous range with a random start.
        """
        if len(ids) > VERSIONS_PER_PAGE:
            first = self.random.randrange(len(ids) - VERSIONS_PER_PAGE + 1)
            end = first + VERSIONS_PER_PAGE
            first_id = ids[first - 1] + 1 if first else first_id
            last_id = ids[end] - 1 if end < len(ids) else last_id
            ids = ids[first:end]
        versions = [(member_id, *self._version(member_id)) for member_id in ids]
        page = BucketPage(self.table.own_record, bucket_count, bucket, first_id, last_id, versions, is_reply)
        self.outbox.send(parse_address(receiver.address), page)

    def _send_newer(
        self, receiver: MemberRecord, ids: list[int], gone: set[int], peer_versions: dict[int, VersionPair]
    ) -> None:
        """Send the records that are missing or older at the receiver.

        The record of a failed or left member (`gone`) is sent only if the receiver holds an older one.
        """
        newer = [
            self.table.members[member_id].record
            for member_id in ids
            if (
                self._version(member_id) > peer_versions[member_id]
                if member_id in peer_versions
                else member_id not in gone
            )
        ]
        address = parse_address(receiver.address)
        for _ in range(RECORD_DATAGRAMS_PER_PAGE):
            batch = take_fitting(newer, MAX_RECORD_BYTES)
            if not batch or not self.outbox.send(address, MemberRecords(batch)):
                break
            newer = newer[len(batch) :]

    def _peer_has_newer(self, peer_versions: dict[int, VersionPair]) -> bool:
        """Whether the peer has a record newer than the record or the tombstone held here."""
        for member_id, version in peer_versions.items():
            if member_id in self.table.members:
                if version > self._version(member_id):
                    return True
            elif member_id not in self.table.tombstones or version > self.table.tombstones[member_id][:2]:
                return True
        return False

    def _version(self, member_id: int) -> VersionPair:
        return self.table.members[member_id].record.precedence[:2]

    @staticmethod
    def _is_covered(member_id: int, message: BucketPage) -> bool:
        if not message.first_id <= member_id <= message.last_id:
            return False
        return member_id % message.bucket_count == message.bucket
