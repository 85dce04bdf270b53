"""Anti-entropy: find the records that gossip left out by comparing digests, and send them.

Owns the three steps of the comparison: digests by bucket, pages of versions of a bucket that differs, whole
records. Each step is one datagram or a few, so that a loss is healed by the next heartbeat whose digest
differs.
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
BUCKETS_AT_ONCE = 2  # differing ones that are compared after one message
VERSIONS_PER_PAGE = 40
RECORD_DATAGRAMS_AT_ONCE = 4  # sent for one page
LAST_ID = 2**64 - 1

VersionPair = tuple[int, int]  # (incarnation, version)


class AntiEntropy:
    """Keeps no state but the time of the last comparison.

    Arguments:
        table: the records of all members, and the outbox.
        config: the period.
        random: chooses among buckets and ranges of ids.
    """

    def __init__(self, table: MemberTable, config: MembershipConfig, random: Random) -> None:
        self.table = table
        self.config = config
        self.outbox = table.outbox
        self.random = random
        self._started_at = 0

    def on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        """Begin a comparison where the sender's digest differs, twice a period at most."""
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
        """Send pages of some buckets that differ, chosen at random."""
        count = len(message.digests)
        digests, ids = self._buckets(count)
        different = [bucket for bucket in range(count) if digests[bucket] != message.digests[bucket]]
        for bucket in self.random.sample(different, min(BUCKETS_AT_ONCE, len(different))):
            self._send_page(message.record, count, bucket, sorted(ids[bucket]))

    def on_page(self, message: BucketPage) -> None:
        """Send what is newer here, and request what is newer there with a page of the own versions."""
        theirs = {one: (incarnation, version) for one, incarnation, version in message.versions}
        ids = sorted(one for one in self.table.members if self._is_covered(one, message))
        gone = {one for one in ids if not self.table.members[one].is_in_digest}
        self._send_newer(message.record, ids, gone, theirs)
        if not message.is_reply and self._lacks(theirs):
            ids = [one for one in ids if one not in gone or one in theirs]
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
        """Return digest and ids of each bucket, of the members in the fleet."""
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
        last_id: int = LAST_ID,
    ) -> None:
        """Send the versions of the sorted `ids`, or a page of them that begins at random."""
        if len(ids) > VERSIONS_PER_PAGE:
            first = self.random.randrange(len(ids) - VERSIONS_PER_PAGE + 1)
            end = first + VERSIONS_PER_PAGE
            first_id = ids[first - 1] + 1 if first else first_id
            last_id = ids[end] - 1 if end < len(ids) else last_id
            ids = ids[first:end]
        versions = [(one, *self._version(one)) for one in ids]
        page = BucketPage(self.table.own_record, bucket_count, bucket, first_id, last_id, versions, is_reply)
        self.outbox.send(parse_address(receiver.address), page)

    def _send_newer(
        self, receiver: MemberRecord, ids: list[int], gone: set[int], theirs: dict[int, VersionPair]
    ) -> None:
        """Send records that the receiver lacks; of those gone only where it holds an older one."""
        newer = [
            self.table.members[one].record
            for one in ids
            if (self._version(one) > theirs[one] if one in theirs else one not in gone)
        ]
        address = parse_address(receiver.address)
        for _ in range(RECORD_DATAGRAMS_AT_ONCE):
            part = take_fitting(newer, MAX_RECORD_BYTES)
            if not part or not self.outbox.send(address, MemberRecords(part)):
                break
            newer = newer[len(part) :]

    def _lacks(self, theirs: dict[int, VersionPair]) -> bool:
        """Whether one of their versions is newer than what is held or was forgotten here."""
        for one, version in theirs.items():
            if one in self.table.members:
                if version > self._version(one):
                    return True
            elif one not in self.table.tombstones or version > self.table.tombstones[one][:2]:
                return True
        return False

    def _version(self, member_id: int) -> VersionPair:
        return self.table.members[member_id].record.precedence[:2]

    @staticmethod
    def _is_covered(member_id: int, message: BucketPage) -> bool:
        if not message.first_id <= member_id <= message.last_id:
            return False
        return member_id % message.bucket_count == message.bucket
