"""One member: the state machine that joins records, links, gossip and anti-entropy.

Owns the dispatch of inputs; each concern has an owner of its own (records.py, links.py, failure_detection.py,
isolation.py, name_contest.py, gossip.py, anti_entropy.py, heartbeats.py; messages that come in: receiver.py).
`reduce(now, event)` takes one input and returns effects (effects.py); it must never do I/O, read a clock or
take a lock.

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

from finchcart.fleet.codec import HostPort
from finchcart.fleet.effects import FleetEffect
from finchcart.fleet.inputs import CommonInput, DatagramReceived, Leave, Shutdown, Tick
from finchcart.membership.anti_entropy import AntiEntropy
from finchcart.membership.config import MembershipConfig
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.gossip import Counters, GossipEntryStore
from finchcart.membership.heartbeats import HeartbeatSender
from finchcart.membership.inputs import MembershipConfigChanged, PiggybackInput
from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import (
    DeclaredStatus,
    MemberRecord,
)
from finchcart.membership.name_contest import NameContest
from finchcart.membership.outbox import Outbox
from finchcart.membership.receiver import MessageReceiver
from finchcart.membership.records import ExtrapolatedWallClock, MemberState, MemberTable, Reception
from finchcart.membership.view import Graph
from finchcart.membership.view_report import ViewReport

MemberInput = CommonInput | MembershipConfigChanged | PiggybackInput


class PiggybackClient(Protocol):
    """A state machine whose gossip entries are piggybacked on a member's heartbeats."""

    def reduce(self, now: int, event: Any) -> Sequence[FleetEffect]:
        """Take one input; return its effects."""

    def turn(self, now: int, member: "Member") -> Sequence[FleetEffect]:
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
        known_members: id -> what is known of each member, this one included.
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
        session = random.getrandbits(64)
        own_record = MemberRecord(name, advertise, session, wall_ms, wall_ms, 0, DeclaredStatus.ALIVE, [])
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
        view_report = ViewReport(self.table, self.detector, self.isolation)
        self.receiver = MessageReceiver(
            fleet, self.table, self.detector, self.contest, self.gossip, self.anti_entropy, view_report
        )

    # ---- what others read

    @property
    def tick(self) -> int:
        """The microseconds between two ticks."""
        return self.config.tick

    @property
    def record(self) -> MemberRecord:
        """What this member declares of itself."""
        return self.table.own_record

    @property
    def graph(self) -> Graph:
        """The ids that each id exchanges heartbeats with."""
        return self.detector.graph

    @property
    def loss(self) -> float:
        """The part of messages lost on the way here, 0 to 1."""
        return self.detector.loss.value

    @property
    def lateness(self) -> int:
        """The microseconds by which the own ticks run late."""
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
    def has_stepped_down(self) -> bool:
        """Whether another process has this name, so that this one takes no part in the fleet."""
        return self.contest.has_stepped_down

    @property
    def counts(self) -> dict[str, int]:
        """The counters by reason."""
        return self.outbox.counts

    def count(self, reason: str) -> None:
        """Add one to the counter of a reason."""
        self.outbox.count(reason)

    def view_age(self, now: int, member_id: int) -> int:
        """Return the microseconds that what is known of a member can be old."""
        return self.detector.view_age(now, member_id)

    def staleness_bound(self) -> int:
        """Return the microseconds that what the view says of any member can be old."""
        return self.detector.staleness_bound()

    # ---- inputs

    def reduce(self, now: int, event: MemberInput) -> list[FleetEffect]:
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
        """Start anew after a suspension of this process.

        It may rightly have failed in the view of others, and what it knows of them is outdated: it declares a
        new incarnation, requires new proof of contact and accuses nobody until there was time for that.
        """
        self.outbox.count("gaps")
        self.detector.on_clock_gap(now)
        self.isolation.on_clock_gap(now)
        self.table.update_own_record(incarnation=self.record.incarnation + 1, unreachable=[])
        self.isolation.set_isolated(True, "suspended")
        quiet_ms = (self.detector.detection_paused_until - now) // 1000
        self.outbox.log("resumed after a suspension", gap_ms=gap // 1000, quiet_ms=quiet_ms)

    def _on_tick(self, now: int) -> None:
        self.detector.on_tick(now)
        self.outbox.on_tick()
        if self.ended or self.has_stepped_down:
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
        self.heartbeats.send_final_heartbeats(now)
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
        """Set the own gossip entry of a topic, which goes with each heartbeat from now on.

        Arguments:
            now: boot clock, microseconds.
            topic: see `GossipTopic`.
            counters: up to 16 triples of numbers.
            payload: up to 600 bytes.
            is_urgent: send it to all watched members with this tick.
        """
        if not self.gossip.publish(now, topic, counters, payload) or not is_urgent:
            return
        for member_id in self.detector.own_neighbours:
            if member_id in self.links and self.known_members[member_id].state != MemberState.FAILED:
                self.links[member_id].heartbeat_due = now

    # ---- messages

    def learn(self, now: int, record: MemberRecord, is_direct: bool = False) -> Reception:
        """Take a record that came from others; `is_direct`: from the member that it is of."""
        return self.receiver.learn(now, record, is_direct)

    def _on_datagram(self, now: int, address: HostPort, data: bytes) -> None:
        self.receiver.receive(now, address, data)
