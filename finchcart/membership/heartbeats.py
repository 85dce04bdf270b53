"""Send heartbeats: to the watched members in turn, and to failed ones and seeds at random.

Owns when a heartbeat goes and what is piggybacked on it. It must never judge what came back: links.py does.
"""

from random import Random

from finchcart.fleet.codec import encode_value, parse_address, take_fitting
from finchcart.membership.config import MembershipConfig
from finchcart.membership.failure_detection import QUIET_LINK_PERIODS, FailureDetector
from finchcart.membership.gossip import GossipEntryStore
from finchcart.membership.links import PeerLink
from finchcart.membership.messages import MAX_RECORD_BYTES, DeclaredStatus, Heartbeat
from finchcart.membership.records import IN_FLEET, MemberState, MemberTable

SEEDS_AT_ONCE = 2
SPREAD_HEARTBEATS = 2  # the first heartbeats of a link, sent early by chance


class HeartbeatSender:
    """Keeps no state of its own: what is due stands in the links.

    Arguments:
        table, detector, gossip: of the same member.
        config: the period and its ticks.
        seeds: addresses from the settings, without the own.
        random: spreads heartbeats and chooses whom to look for.
    """

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        gossip: GossipEntryStore,
        config: MembershipConfig,
        seeds: list[str],
        random: Random,
    ) -> None:
        self.table = table
        self.detector = detector
        self.gossip = gossip
        self.outbox = table.outbox
        self.config = config
        self.seeds = seeds
        self.random = random

    def on_tick(self, now: int) -> None:
        """Send what is due."""
        neighbours = self.detector.own_neighbours
        links = self.detector.links
        for member_id in list(neighbours) + [one for one in links if one not in neighbours]:
            link = links[member_id]
            if link.heartbeat_due <= now and self._is_sent_to(now, member_id, link):
                self._send_due(now, member_id, link)
        if self.random.randrange(self.config.ticks_per_period) == 0:
            self.probe_lost(now)

    def _is_sent_to(self, now: int, member_id: int, link: PeerLink) -> bool:
        known = self.table.members.get(member_id)
        if known is None or known.record.status == DeclaredStatus.LEFT:
            return False
        # A failed member that sends nothing is probed at random alone.
        span = QUIET_LINK_PERIODS * self.config.period
        return known.state != MemberState.FAILED or link.was_heard_within(now, span)

    def _send_due(self, now: int, member_id: int, link: PeerLink) -> None:
        period = self.config.period
        if not self.send(now, member_id, link):
            return
        link.heartbeat_due = max(link.heartbeat_due, now - period) + period
        if link.sent_sequence <= SPREAD_HEARTBEATS:
            # A random number of ticks early: else heartbeats to all go out in one tick where all links were
            # opened at once.
            link.heartbeat_due -= self.random.randrange(self.config.ticks_per_period) * self.config.tick

    def probe_lost(self, now: int) -> None:
        """Send heartbeats to a few random failed members and seeds: so partitions find each other again."""
        members = self.table.members
        failed = [one for one, known in members.items() if known.state == MemberState.FAILED]
        for member_id in self.random.sample(failed, min(self.config.probes_per_period, len(failed))):
            self.send(now, member_id, self.detector.link_to(now, member_id))
        known_addresses = {
            known.record.address for known in members.values() if known.record.status != DeclaredStatus.LEFT
        }
        for address in self.random.sample(self.seeds, min(SEEDS_AT_ONCE, len(self.seeds))):
            if address not in known_addresses or len(members) == 1:
                heartbeat = Heartbeat(self.table.own_record, 0, 0, 0, self.table.digest, [])
                self.outbox.send(parse_address(address), heartbeat)
        self.table.forget_expired(now)

    def send_farewell(self, now: int) -> None:
        """Send heartbeats on all links at once; a lost one is left to the receiver's failure detection."""
        members = self.table.members
        for member_id, link in self.detector.links.items():
            if member_id in members and members[member_id].state in IN_FLEET:
                self.send(now, member_id, link)

    def send(self, now: int, member_id: int, link: PeerLink) -> bool:
        """Send one heartbeat with what is piggybacked; return False at the bound on datagrams."""
        table = self.table
        max_bytes = MAX_RECORD_BYTES - len(encode_value(table.own_record))
        # An own record that declares many links down leaves no room for entries.
        entries = take_fitting(self.gossip.take(now, member_id, max_bytes), max_bytes)
        updates = table.updates.take(
            (member_id, table.own_id),
            lambda one: table.members[one].record,
            max_bytes - len(encode_value(entries)),
        )
        table.updates.discard(table.own_id)  # the own record goes with every heartbeat
        heartbeat = Heartbeat(
            table.own_record,
            link.record_sent(now),
            link.session,
            link.received_sequence,
            table.digest,
            updates,
            entries,
        )
        return self.outbox.send(parse_address(table.members[member_id].record.address), heartbeat)
