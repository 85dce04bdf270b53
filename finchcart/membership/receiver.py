"""The receiver of a member: decode datagrams, check their senders, and dispatch their contents.

A message whose sender uses a name that belongs to another process must not be acted on.
"""

from finchcart.fleet.codec import DatagramError, HostPort, name_hash, parse_address
from finchcart.membership.anti_entropy import AntiEntropy
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.gossip import GossipEntryStore
from finchcart.membership.messages import (
    CODEC,
    BucketDigests,
    BucketPage,
    Heartbeat,
    MemberRecord,
    MemberRecords,
    NameTaken,
    ViewPage,
    ViewRequest,
)
from finchcart.membership.name_contest import NameContest
from finchcart.membership.records import MemberTable, MergeResult
from finchcart.membership.view_report import ViewReport


class MessageReceiver:
    """Processes the messages of other members and of the command line; it has no state of its own.

    Arguments:
        fleet: the name of the fleet; messages of other fleets are counted and dropped.
        table, detector, contest, gossip, anti_entropy: of the same member.
        view_report: answers requests of the command line.
    """

    def __init__(
        self,
        fleet: str,
        table: MemberTable,
        detector: FailureDetector,
        contest: NameContest,
        gossip: GossipEntryStore,
        anti_entropy: AntiEntropy,
        view_report: ViewReport,
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.detector = detector
        self.contest = contest
        self.gossip = gossip
        self.anti_entropy = anti_entropy
        self.view_report = view_report
        self.outbox = table.outbox

    def receive(self, now: int, address: HostPort, data: bytes) -> None:
        """Process a datagram; count it by reason and drop it if it cannot be used.

        Arguments:
            now: microseconds on the boot clock.
            address: of the sender.
            data: the datagram.
        """
        self.outbox.count("received")
        try:
            message = CODEC.decode(self.fleet, data)
        except DatagramError as error:
            self.outbox.count(str(error))
            return
        if isinstance(message, ViewRequest):
            self._on_view_request(now, address, message)
        elif isinstance(message, ViewPage):
            self.outbox.count("not asked for")
        elif self.contest.has_stepped_down:
            return
        elif isinstance(message, MemberRecords):
            for record in message.records:
                self.learn(now, record)
        elif isinstance(message, NameTaken):
            self.contest.on_name_taken(now, message.record)
        elif self._accepts_sender(now, message.record):
            self._on_peer_message(now, message)

    def learn(self, now: int, record: MemberRecord, is_direct: bool = False) -> MergeResult:
        """Merge a received record; `is_direct` tells that the member itself sent it."""
        if name_hash(record.name) == self.table.own_id:
            return self.contest.receive(now, record)
        return self.table.receive(now, record, is_direct)

    def _accepts_sender(self, now: int, sender: MemberRecord) -> bool:
        """Whether the sender is the process that this member knows under the sender's name."""
        if self.learn(now, sender, is_direct=True) is MergeResult.UNUSABLE:
            return False  # the record is counted; the rest of its message is ignored too
        member_id = name_hash(sender.name)
        if member_id == self.table.own_id or member_id not in self.table.members:
            return False
        known_record = self.table.members[member_id].record
        if known_record.session == sender.session:
            return True
        # The sender may have been suspended while another process was started with its name, or may have been
        # started with its clock set back. Without this reply, it would never learn of the other process.
        reply: NameTaken | MemberRecords
        if self._is_in_contact(now, member_id):
            reply = NameTaken(known_record)
        else:
            reply = MemberRecords([known_record])
        self.outbox.send(parse_address(sender.address), reply)
        return False

    def _is_in_contact(self, now: int, member_id: int) -> bool:
        link = self.detector.links.get(member_id)
        if link is None or not link.confirmed_at:
            return False
        return now - link.confirmed_at < self.detector.link_timeout()

    def _on_peer_message(self, now: int, message: Heartbeat | BucketDigests | BucketPage) -> None:
        match message:
            case Heartbeat():
                self._on_heartbeat(now, message)
            case BucketDigests():
                self.anti_entropy.on_digests(message)
            case BucketPage():
                self.anti_entropy.on_page(message)

    def _on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        transit_us = self.detector.on_heartbeat(now, name_hash(heartbeat.record.name), heartbeat)
        for record in heartbeat.updates:
            self.learn(now, record)
        for entry in heartbeat.entries:
            self.gossip.receive(now, entry, transit_us)
        self.anti_entropy.on_heartbeat(now, heartbeat)

    def _on_view_request(self, now: int, address: HostPort, request: ViewRequest) -> None:
        answer = self.view_report.answer(now, request)
        if answer is None:
            self.outbox.count("no such page")
        else:
            self.outbox.send(address, answer)
