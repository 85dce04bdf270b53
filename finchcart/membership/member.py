"""One member: the state machine that joins records, links, gossip and anti-entropy.

Owns the dispatch of inputs and messages; each concern has an owner of its own (records.py, links.py,
failure_detection.py, isolation.py, name_contest.py, gossip.py, anti_entropy.py, heartbeats.py). `reduce(now,
event)` takes one input and returns effects (effects.py); it must never do I/O, read a clock or take a lock.

Inputs: those of finchcart/fleet/inputs.py and inputs.py. A driver logs changes too. `now` is the boot clock
in whole microseconds, which counts suspension: a gap between two inputs is a suspension of this process, and
is an input by itself.

Bounds: records `config.max_members`, tombstones and contests as many, links as many as records, updates
`config.max_pending_updates`, sent datagrams `config.max_datagrams` a period, 32 send times a link, one gossip
entry a topic and record. All age out with `config.forget_after`.
"""

from collections.abc import Sequence
from random import Random
from typing import Any, Protocol

from finchcart.fleet.codec import DatagramError, HostPort, name_hash, parse_address
from finchcart.fleet.effects import Effect
from finchcart.fleet.inputs import CommonInput, DatagramReceived, Leave, Shutdown, Tick
from finchcart.membership.anti_entropy import AntiEntropy
from finchcart.membership.config import MembershipConfig
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.gossip import Counters, GossipEntryStore
from finchcart.membership.heartbeats import HeartbeatSender
from finchcart.membership.inputs import MembershipConfigChanged, PiggybackInput
from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import (
    CODEC,
    BucketDigests,
    BucketPage,
    DeclaredStatus,
    Heartbeat,
    MemberRecord,
    MemberRecords,
    Message,
    NameTaken,
    ViewPage,
    ViewRequest,
)
from finchcart.membership.name_contest import NameContest
from finchcart.membership.outbox import Outbox
from finchcart.membership.records import ExtrapolatedWallClock, MemberState, MemberTable, Reception
from finchcart.membership.view import Graph
from finchcart.membership.view_report import ViewReport

MemberInput = CommonInput | MembershipConfigChanged | PiggybackInput


class PiggybackClient(Protocol):
    """A state machine whose gossip entries are piggybacked on a member's heartbeats."""

    def reduce(self, now: int, event: Any) -> Sequence[Effect]:  # the driver knows whose input it is
        """Take one input; return its effects."""

    def turn(self, now: int, member: "Member") -> Sequence[Effect]:
        """Act with each tick of the member; return its effects."""


class Member:
    """This process in the fleet.

    Arguments:
        name: of the member.
        fleet: the name of the fleet.
        advertise: the address by which others reach this process.
        seeds: addresses to join by.
        config: times and sizes.
        random: of this member alone.
        wall_ms: the wall clock at start, milliseconds.
        now: the boot clock at start, microseconds.

    Attributes:
        own_id: the id of this member.
        known_members: id -> what is held of each member, this one included.
        links: id -> the link to that member.
    """

    def __init__(
        self,
        name: str,
        fleet: str,
        advertise: str,
        seeds: list[str],
        config: MembershipConfig,
        random: Random,
        wall_ms: int,
        now: int,
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.config = config
        self.ended = False
        self.piggyback_clients: list[PiggybackClient] = []
        self.last_input_at = now
        other_seeds = [address for address in seeds if address != advertise]
        own_record = MemberRecord(
            name, advertise, random.getrandbits(64), wall_ms, wall_ms, 0, DeclaredStatus.ALIVE, []
        )
        self.outbox = Outbox(fleet, config)
        self.table = MemberTable(own_record, ExtrapolatedWallClock(wall_ms, now), config, self.outbox, now)
        self.detector = FailureDetector(self.table, config, now)
        self.own_id = self.table.own_id
        self.known_members = self.table.members
        self.links = self.detector.links
        self.isolation = IsolationMonitor(self.table, self.detector, config, bool(other_seeds), now)
        self.contest = NameContest(self.table, self.isolation)
        self.gossip = GossipEntryStore(self.table)
        self.anti_entropy = AntiEntropy(self.table, config, random)
        self.heartbeats = HeartbeatSender(self.table, self.detector, self.gossip, config, other_seeds, random)
        self.report = ViewReport(self.table, self.detector, self.isolation)

    # ---- what others read

    @property
    def tick(self) -> int:
        """Microseconds between two ticks."""
        return self.config.tick

    @property
    def record(self) -> MemberRecord:
        """What this member declares of itself."""
        return self.table.own_record

    @property
    def graph(self) -> Graph:
        """id -> ids that it exchanges heartbeats with."""
        return self.detector.graph

    @property
    def loss(self) -> float:
        """The part of messages lost on the way here, 0 to 1."""
        return self.detector.loss.value

    @property
    def lateness(self) -> int:
        """Microseconds by which the own ticks run late."""
        return self.detector.lateness

    @property
    def isolated(self) -> bool:
        """Whether this process is out of contact with the fleet."""
        return self.isolation.is_isolated

    @property
    def is_resuming(self) -> bool:
        """Whether this process was suspended and has not proven contact since."""
        return self.isolation.is_resuming

    @property
    def yielded(self) -> bool:
        """Whether another process stands under this name."""
        return self.contest.has_yielded

    @property
    def counts(self) -> dict[str, int]:
        """Counters by reason."""
        return self.outbox.counts

    def count(self, reason: str) -> None:
        """Adds one to the counter of a reason."""
        self.outbox.count(reason)

    def view_age(self, now: int, member_id: int) -> int:
        """Microseconds that what is known of a member can be old."""
        return self.detector.view_age(now, member_id)

    def staleness_bound(self) -> int:
        """Microseconds that what the view says of any member can be old."""
        return self.detector.staleness_bound()

    # ---- inputs

    def reduce(self, now: int, event: MemberInput) -> list[Effect]:
        """Take one input; return the effects that the driver carries out."""
        effects = self.outbox.begin_input()
        gap = now - self.last_input_at
        if gap > self.config.clock_gap:
            self._on_clock_gap(now, gap)
        now = max(now, self.last_input_at)
        self.last_input_at = now
        match event:
            case DatagramReceived(address, data):
                self._on_datagram(now, address, data)
            case Tick():
                self._on_tick(now)
            case PiggybackInput(event=piggybacked):
                self._on_piggyback(now, piggybacked)
            case MembershipConfigChanged(config):
                self._on_config(config)
            case Leave():
                self._on_leave(now)
            case Shutdown():
                self._on_shutdown(now)
        return effects

    def _on_clock_gap(self, now: int, gap: int) -> None:
        """This process was suspended. Others may hold it to be failed, and rightly; what it last heard of
        them is of before: it declares that it resumed, waits for contact anew and accuses nobody until there
        was time."""
        self.outbox.count("gaps")
        self.detector.on_clock_gap(now)
        self.isolation.on_clock_gap(now)
        self.table.update_own_record(incarnation=self.record.incarnation + 1, unreachable=[])
        self.isolation.set_isolated(True, "woke")
        quiet_ms = (self.detector.quiet_until - now) // 1000
        self.outbox.log("woke from a pause", gap_ms=gap // 1000, quiet_ms=quiet_ms)

    def _on_tick(self, now: int) -> None:
        self.detector.on_tick(now)
        self.outbox.on_tick()
        if self.ended or self.yielded:
            return
        self.detector.review(now)
        self.isolation.review(now)
        for client in self.piggyback_clients:
            self.outbox.effects.extend(client.turn(now, self))
        self.heartbeats.on_tick(now)

    def _on_leave(self, now: int) -> None:
        self._declare(now, DeclaredStatus.LEAVING, MemberState.LEAVING)

    def _on_shutdown(self, now: int) -> None:
        self._declare(now, DeclaredStatus.LEFT, MemberState.LEFT)
        self.heartbeats.send_farewell(now)
        self.ended = True

    def _declare(self, now: int, status: DeclaredStatus, state: MemberState) -> None:
        if status > self.record.status:
            self.table.update_own_record(status=status)
            self.table.set_state(now, self.known_members[self.own_id], state)

    def _on_config(self, config: MembershipConfig) -> None:
        self.config = config
        for owner in (
            self.outbox,
            self.table,
            self.table.updates,
            self.detector,
            self.isolation,
            self.anti_entropy,
            self.heartbeats,
        ):
            owner.config = config
        self.table.is_graph_outdated = True

    def _on_piggyback(self, now: int, event: tuple[Any, ...]) -> None:
        for client in self.piggyback_clients:
            self.outbox.effects.extend(client.reduce(now, event))

    # ---- what is piggybacked

    def publish(
        self, now: int, topic: int, counters: Counters, payload: bytes = b"", *, is_urgent: bool = False
    ) -> None:
        """Sets the own gossip entry of a topic, which goes with each heartbeat from now on.

        Arguments:
            now: boot clock, microseconds.
            topic: see `GossipTopic`.
            counters: up to 16 triples of numbers.
            payload: up to 600 bytes.
            is_urgent: goes to all watched members with this tick.
        """
        if not self.gossip.publish(now, topic, counters, payload) or not is_urgent:
            return
        for member_id in self.detector.own_neighbours:
            if member_id in self.links and self.known_members[member_id].state != MemberState.FAILED:
                self.links[member_id].heartbeat_due = now

    # ---- messages

    def learn(self, now: int, record: MemberRecord, is_direct: bool = False) -> Reception:
        """Takes a record that came from others; `is_direct`: from the member that it is of."""
        if name_hash(record.name) == self.own_id:
            return self.contest.receive(now, record)
        return self.table.receive(now, record, is_direct)

    def _on_datagram(self, now: int, address: HostPort, data: bytes) -> None:
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
        elif not self.yielded:
            self._on_member_message(now, message)

    def _on_member_message(self, now: int, message: Message) -> None:
        if isinstance(message, MemberRecords):
            for record in message.records:
                self.learn(now, record)
        elif isinstance(message, NameTaken):
            self.contest.on_name_taken(now, message.record)
        elif self._accepts_sender(now, message.record):
            self._on_peer_message(now, message)

    def _accepts_sender(self, now: int, sender: MemberRecord) -> bool:
        """Whether the sender is the process that stands under its name, as far as known here."""
        if self.learn(now, sender, is_direct=True) is Reception.UNUSABLE:
            return False  # counted: what it says besides is not used either
        member_id = name_hash(sender.name)
        if member_id == self.own_id or member_id not in self.known_members:
            return False
        standing = self.known_members[member_id].record
        if standing.session == sender.session:
            return True
        # Guards against one that was suspended while its name was started elsewhere, and against one that was
        # started with its clock set back: neither would hear of the other record from anybody.
        reply = NameTaken(standing) if self._is_in_contact(now, member_id) else MemberRecords([standing])
        self.outbox.send(parse_address(sender.address), reply)
        return False

    def _is_in_contact(self, now: int, member_id: int) -> bool:
        link = self.links.get(member_id)
        if link is None or not link.confirmed_at:
            return False
        return now - link.confirmed_at < self.detector.link_timeout()

    def _on_peer_message(self, now: int, message: Heartbeat | BucketDigests | BucketPage) -> None:
        if isinstance(message, Heartbeat):
            self._on_heartbeat(now, message)
        elif isinstance(message, BucketDigests):
            self.anti_entropy.on_digests(message)
        else:
            self.anti_entropy.on_page(message)

    def _on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        transit_us = self.detector.on_heartbeat(now, name_hash(heartbeat.record.name), heartbeat)
        for record in heartbeat.updates:
            self.learn(now, record)
        for entry in heartbeat.entries:
            self.gossip.receive(now, entry, transit_us)
        self.anti_entropy.on_heartbeat(now, heartbeat)

    def _on_view_request(self, now: int, address: HostPort, request: ViewRequest) -> None:
        """Answered to where it came from."""
        answer = self.report.answer(now, request)
        if answer is None:
            self.outbox.count("no such page")
        else:
            self.outbox.send(address, answer)
