"""Send heartbeats: periodically to the watched members, and at random to failed members and seeds.

This module decides when a heartbeat is sent and what is piggybacked on it. The heartbeats that come back are
evaluated in links.py.
"""

from random import Random

from finchcart.fleet.codec import encode_value, parse_address, take_fitting
from finchcart.membership.config import MembershipConfig
from finchcart.membership.failure_detection import IDLE_LINK_PERIODS, FailureDetector
from finchcart.membership.gossip import GossipEntryStore
from finchcart.membership.links import PeerLink
from finchcart.membership.messages import MAX_RECORD_BYTES, DeclaredStatus, Heartbeat
from finchcart.membership.records import IN_FLEET, MemberState, MemberTable

SEEDS_PER_PROBE = 2
# On a new link, the heartbeat after each of the first so many heartbeats is sent early by a random time.
JITTERED_HEARTBEATS = 2


class HeartbeatSender:
    """Sends the heartbeats of a member.

    It has no state of its own: each link stores when its next heartbeat is due.

    Arguments:
        table, detector, gossip: of the same member.
        config: the heartbeat period and the number of ticks in it.
        seeds: addresses from the settings, without the own address.
        random: adds jitter to heartbeats, and selects the failed members and seeds to probe.
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
        """Send the heartbeats that are due, and probe failed members and seeds about once per period."""
        neighbours = self.detector.own_neighbours
        links = self.detector.links
        for member_id in list(neighbours) + [other for other in links if other not in neighbours]:
            link = links[member_id]
            if link.heartbeat_due <= now and self._should_send_to(now, member_id, link):
                self._send_due(now, member_id, link)
        if self.random.randrange(self.config.ticks_per_period) == 0:
            self.probe_failed_and_seeds(now)

    def _should_send_to(self, now: int, member_id: int, link: PeerLink) -> bool:
        known = self.table.members.get(member_id)
        if known is None or known.record.status == DeclaredStatus.LEFT:
            return False
        # A failed member that sends nothing is only probed at random.
        span = IDLE_LINK_PERIODS * self.config.period
        return known.state != MemberState.FAILED or link.has_received_within(now, span)

    def _send_due(self, now: int, member_id: int, link: PeerLink) -> None:
        period = self.config.period
        if not self.send(now, member_id, link):
            return
        link.heartbeat_due = max(link.heartbeat_due, now - period) + period
        if link.sent_sequence <= JITTERED_HEARTBEATS:
            # The jitter is a random number of ticks. Without it, links that were opened at the same time
            # would all send their heartbeats in the same tick.
            link.heartbeat_due -= self.random.randrange(self.config.ticks_per_period) * self.config.tick

    def probe_failed_and_seeds(self, now: int) -> None:
        """Send heartbeats to a few random failed members and seeds, so that network partitions can merge."""
        members = self.table.members
        failed = [member_id for member_id, known in members.items() if known.state == MemberState.FAILED]
        for member_id in self.random.sample(failed, min(self.config.probes_per_period, len(failed))):
            self.send(now, member_id, self.detector.link_to(now, member_id))
        known_addresses = {
            known.record.address for known in members.values() if known.record.status != DeclaredStatus.LEFT
        }
        for address in self.random.sample(self.seeds, min(SEEDS_PER_PROBE, len(self.seeds))):
            if address not in known_addresses or len(members) == 1:
                heartbeat = Heartbeat(self.table.own_record, 0, 0, 0, self.table.digest, [])
                self.outbox.send(parse_address(address), heartbeat)
        self.table.forget_expired(now)

    def send_final_heartbeats(self, now: int) -> None:
        """Send a last heartbeat on all links.

        A receiver that misses it detects by its own timeouts that this process is gone.
        """
        members = self.table.members
        for member_id, link in self.detector.links.items():
            if member_id in members and members[member_id].state in IN_FLEET:
                self.send(now, member_id, link)

    def send(self, now: int, member_id: int, link: PeerLink) -> bool:
        """Send one heartbeat with piggybacked records and entries; return False if it was not sent."""
        table = self.table
        max_bytes = MAX_RECORD_BYTES - len(encode_value(table.own_record))
        # An own record that declares many links as down may leave no room for entries.
        entries = take_fitting(self.gossip.take(now, member_id, max_bytes), max_bytes)
        updates = table.updates.take(
            (member_id, table.own_id),
            lambda updated_id: table.members[updated_id].record,
            max_bytes - len(encode_value(entries)),
        )
        table.updates.discard(table.own_id)  # every heartbeat carries the own record anyway
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
