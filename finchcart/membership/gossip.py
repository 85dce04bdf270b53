"""Gossip entries: publish values of other parts of the program to all members, piggybacked on heartbeats.

The store keeps the newest entry of each member and topic with an upper bound on its age. The bound must never
be too low. It is computed without synchronized clocks: the heartbeat that carries an entry also echoes a
heartbeat of this process, so its transit took no longer than the time since the echoed heartbeat was sent.
The payload of an entry is opaque here.
"""

from collections import OrderedDict

import msgspec

from finchcart.fleet.codec import encode_value
from finchcart.membership.messages import GossipEntry
from finchcart.membership.records import MemberTable

MAX_RELAYED_PER_HEARTBEAT = 12  # maximum number of entries of other members in a heartbeat
RELAYS_IN_FULL_MESH = 2  # relays of an entry if all members exchange heartbeats with each other

EntryKey = tuple[int, int]  # (member id, topic)
Counters = list[tuple[int, int, int]]


class DatedEntry:
    """An entry with the earliest time at which it can have been written (None if unknown)."""

    __slots__ = ("entry", "written_at")

    def __init__(self, entry: GossipEntry, written_at: int | None) -> None:
        self.entry = entry
        self.written_at = written_at

    def raise_written_at(self, written_at: int | None) -> None:
        """Apply another lower bound on the time of writing; the later one is the tighter one."""
        if written_at is not None and (self.written_at is None or written_at > self.written_at):
            self.written_at = written_at

    def with_age(self, now: int) -> GossipEntry:
        """Return the entry with its age at `now`, which has to be known."""
        assert self.written_at is not None, "cannot send a gossip entry of unknown age"
        return msgspec.structs.replace(self.entry, age_us=max(0, now - self.written_at))


class GossipEntryStore:
    """Stores at most one entry per member and topic; forgetting a member removes its entries."""

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.own: dict[int, DatedEntry] = {}  # topic -> the own entry
        self.received: dict[EntryKey, DatedEntry] = {}
        self.relays_left: OrderedDict[EntryKey, int] = OrderedDict()
        table.on_forget.append(self._forget)

    def publish(self, now: int, topic: int, counters: Counters, payload: bytes = b"") -> bool:
        """Set the own entry of a topic; return False if it equals the previous one and has no payload."""
        stored = self.own.get(topic)
        incarnation = self.table.own_record.incarnation
        sequence = 0
        if stored is not None:
            previous = stored.entry
            is_same = previous.counters == counters and previous.incarnation == incarnation
            if is_same and not payload and not previous.payload:
                return False
            sequence = previous.sequence + 1
        entry = GossipEntry(self.table.own_id, topic, incarnation, sequence, 0, counters, payload)
        self.own[topic] = DatedEntry(entry, now)
        return True

    def receive(self, now: int, entry: GossipEntry, transit_us: int | None) -> None:
        """Store an entry if it is newer than the stored one, or tighten the age bound of the same entry.

        Arguments:
            now: boot clock, microseconds.
            entry: of any member.
            transit_us: maximum time that the heartbeat with the entry was in transit; None if unknown, in
                which case the age of the entry is unknown too.
        """
        if entry.member_id == self.table.own_id or entry.member_id not in self.table.members:
            return
        key = entry.member_id, entry.topic
        stored = self.received.get(key)
        written_at = None if transit_us is None else now - transit_us - entry.age_us
        if stored is None or entry.precedence > stored.entry.precedence:
            self.received[key] = DatedEntry(entry, written_at)
            self.relays_left[key] = self._relays()
            self.relays_left.move_to_end(key)
        elif entry.precedence == stored.entry.precedence:
            stored.raise_written_at(written_at)

    def _relays(self) -> int:
        """Return how many times an entry is relayed: often enough that few members miss it by chance."""
        count = len(self.table.members)
        if count <= self.table.config.watch_degree + 1:
            return RELAYS_IN_FULL_MESH
        return count.bit_length() + 1

    def take(self, now: int, receiver_id: int, max_bytes: int) -> list[GossipEntry]:
        """Return the own entries, followed by as many of the entries to relay as fit into `max_bytes`."""
        entries = [stored.with_age(now) for _, stored in sorted(self.own.items())]
        max_bytes -= len(encode_value(entries))
        for key in list(self.relays_left)[:MAX_RELAYED_PER_HEARTBEAT]:
            stored = self.received[key]
            if key[0] == receiver_id or stored.written_at is None:
                continue
            entry = stored.with_age(now)
            max_bytes -= len(encode_value(entry))
            if max_bytes < 0:
                break
            entries.append(entry)
            self._count_relay(key)
        return entries

    def _count_relay(self, key: EntryKey) -> None:
        self.relays_left[key] -= 1
        self.relays_left.move_to_end(key)
        if self.relays_left[key] <= 0:
            del self.relays_left[key]

    def _forget(self, member_id: int) -> None:
        for key in [key for key in self.received if key[0] == member_id]:
            del self.received[key]
            self.relays_left.pop(key, None)
