"""The state machine of one member: dispatch inputs to records, links, gossip and anti-entropy.

`Member.reduce(now, event)` takes one input (inputs.py, finchcart/fleet/inputs.py) and returns effects
(effects.py, finchcart/fleet/effects.py). It never does I/O, reads a clock or takes a lock. Each concern has a
module of its own: records.py, links.py, failure_detection.py, isolation.py, name_contest.py, gossip.py,
anti_entropy.py, heartbeats.py, and receiver.py for received messages.

`now` is the boot clock in whole microseconds. This clock continues while the process is suspended, so a long
gap between two inputs means that the process was suspended; the member handles such a gap before the input.

Memory and traffic are bounded: `config.max_members` records, as many tombstones and as many links; 32 send
times per link; one gossip entry per topic and record; `config.max_pending_updates` updates; and
`config.max_datagrams` sent datagrams per period. Failed and left members are removed after
`config.forget_after`.
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
from finchcart.membership.records import ExtrapolatedWallClock, MemberState, MemberTable, MergeResult
from finchcart.membership.view import Graph
from finchcart.membership.view_report import ViewReport

MemberInput = CommonInput | MembershipConfigChanged | PiggybackInput


class PiggybackClient(Protocol):
    """A state machine whose gossip entries are piggybacked on a member's heartbeats."""

    def reduce(self, now: int, event: Any) -> Sequence[FleetEffect]:
        """Process one input; return its effects."""

    def on_member_tick(self, now: int, member: "Member") -> Sequence[FleetEffect]:
        """Act on a tick of the member; return the effects."""


class Member:
    """This process as a member of the fleet.

    Arguments:
        name: of the member.
        fleet: the name of the fleet.
        advertise: the address at which other members reach this process.
        seeds: addresses of nodes through which to join the fleet.
        config: timeouts and limits.
        random: used by this member alone.
        wall_ms: the wall clock at start, milliseconds.
        now: the boot clock at start, microseconds.

    Attributes:
        own_id: the id of this member.
        known_members: id -> record and state of each known member, including this one.
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

    # ---- state for other modules

    @property
    def tick(self) -> int:
        """The microseconds between two ticks."""
        return self.config.tick

    @property
    def record(self) -> MemberRecord:
        """The record that this member declares of itself."""
        return self.table.own_record

    @property
    def graph(self) -> Graph:
        """The graph of who exchanges heartbeats with whom."""
        return self.detector.graph

    @property
    def loss(self) -> float:
        """The fraction of heartbeats to this process that are lost, 0 to 1."""
        return self.detector.loss.value

    @property
    def lateness(self) -> int:
        """The microseconds by which the ticks of this process run late."""
        return self.detector.lateness

    @property
    def isolated(self) -> bool:
        """Whether this process is isolated from the fleet."""
        return self.isolation.is_isolated

    @property
    def is_resuming(self) -> bool:
        """Whether contact still counts as missing after a suspension; see `IsolationMonitor`."""
        return self.isolation.is_resuming

    @property
    def has_stepped_down(self) -> bool:
        """Whether this process left its name to another process and takes no part in the fleet."""
        return self.contest.has_stepped_down

    @property
    def counts(self) -> dict[str, int]:
        """The counters: reason -> number of events."""
        return self.outbox.counts

    def count(self, reason: str) -> None:
        """Increment the counter of a reason."""
        self.outbox.count(reason)

    def view_age(self, now: int, member_id: int) -> int:
        """Return the maximum age in microseconds of the information on a member."""
        return self.detector.view_age(now, member_id)

    def staleness_bound(self) -> int:
        """Return the maximum age in microseconds of the information on any member."""
        return self.detector.staleness_bound()

    # ---- inputs

    def reduce(self, now: int, event: MemberInput) -> list[FleetEffect]:
        """Process one input; return the effects for the driver to carry out."""
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
        """Reset the state that became outdated while this process was suspended.

        Other members may rightly have declared it failed, and its information on them is outdated. It
        therefore declares a new incarnation, discards all proof of contact, and suspects nobody until there
        was time to re-establish contact.
        """
        self.outbox.count("gaps")
        self.detector.on_clock_gap(now)
        self.isolation.on_clock_gap(now)
        self.table.update_own_record(incarnation=self.record.incarnation + 1, unreachable=[])
        self.isolation.set_isolated(True, "suspended")
        quiet_ms = (self.detector.detection_paused_until - now) // 1000
        self.outbox.log(
            "process resumed after a suspension; failure detection is paused",
            gap_ms=gap // 1000,
            quiet_ms=quiet_ms,
        )

    def _on_tick(self, now: int) -> None:
        self.detector.on_tick(now)
        self.outbox.on_tick()
        if self.ended or self.has_stepped_down:
            return
        self.detector.review(now)
        self.isolation.review(now)
        for client in self.piggyback_clients:
            self.outbox.effects.extend(client.on_member_tick(now, self))
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
        for component in (
            self.outbox,
            self.table,
            self.table.updates,
            self.detector,
            self.isolation,
            self.anti_entropy,
            self.heartbeats,
        ):
            component.config = config
        self.table.is_graph_outdated = True

    def _on_piggyback(self, now: int, event: tuple[Any, ...]) -> None:
        for client in self.piggyback_clients:
            self.outbox.effects.extend(client.reduce(now, event))

    # ---- gossip entries

    def publish(
        self, now: int, topic: int, counters: Counters, payload: bytes = b"", *, is_urgent: bool = False
    ) -> None:
        """Set the own gossip entry of a topic, which every heartbeat carries from now on.

        Arguments:
            now: boot clock, microseconds.
            topic: value of a `GossipTopic`.
            counters: up to 16 triples of numbers.
            payload: up to 600 bytes.
            is_urgent: whether to send it to all watched members with this tick.
        """
        if not self.gossip.publish(now, topic, counters, payload) or not is_urgent:
            return
        for member_id in self.detector.own_neighbours:
            if member_id in self.links and self.known_members[member_id].state != MemberState.FAILED:
                self.links[member_id].heartbeat_due = now

    # ---- messages

    def learn(self, now: int, record: MemberRecord, is_direct: bool = False) -> MergeResult:
        """Merge a received record; `is_direct` tells that the member itself sent it."""
        return self.receiver.learn(now, record, is_direct)

    def _on_datagram(self, now: int, address: HostPort, data: bytes) -> None:
        self.receiver.receive(now, address, data)
