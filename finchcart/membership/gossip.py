"""Gossip entries: what other parts of the program publish to all members, piggybacked on heartbeats.

Owns the newest entry of each member and topic, with a bound on its age. It must never look into an entry's
payload, nor take an entry for younger than it can be: each is dated by the echo of the own heartbeat that
came back with it.
"""

from collections import OrderedDict

import msgspec

from finchcart.fleet.codec import encode_value
from finchcart.membership.messages import GossipEntry
from finchcart.membership.records import MemberTable

MAX_RELAYED_IN_HEARTBEAT = 12  # entries of others
RELAYS_IN_FULL_MESH = 2  # times that an entry is relayed where all exchange heartbeats

EntryKey = tuple[int, int]  # (member id, topic)
Counters = list[tuple[int, int, int]]


class DatedEntry:
    """An entry, and when it was written at the earliest (None: not known)."""

    __slots__ = ("entry", "written_at")

    def __init__(self, entry: GossipEntry, written_at: int | None) -> None:
        self.entry = entry
        self.written_at = written_at

    def raise_written_at(self, written_at: int | None) -> None:
        """Take another bound on its age where it is the tighter one, the later time."""
        if written_at is not None and (self.written_at is None or written_at > self.written_at):
            self.written_at = written_at

    def as_sent(self, now: int) -> GossipEntry:
        """Return the entry with its age at `now`; its age has to be known."""
        assert self.written_at is not None, "an entry of unknown age is not sent"
        return msgspec.structs.replace(self.entry, age_us=max(0, now - self.written_at))


class GossipEntryStore:
    """Bounded by one entry a member and topic; entries go with their member."""

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.own: dict[int, DatedEntry] = {}  # topic -> the own entry
        self.received: dict[EntryKey, DatedEntry] = {}
        self.relays_left: OrderedDict[EntryKey, int] = OrderedDict()
        table.on_forget.append(self._forget)

    def publish(self, now: int, topic: int, counters: Counters, payload: bytes = b"") -> bool:
        """Set the own entry of a topic; return whether it is a new one."""
        held = self.own.get(topic)
        incarnation = self.table.own_record.incarnation
        sequence = 0
        if held is not None:
            previous = held.entry
            is_same = previous.counters == counters and previous.incarnation == incarnation
            if is_same and not payload and not previous.payload:
                return False
            sequence = previous.sequence + 1
        entry = GossipEntry(self.table.own_id, topic, incarnation, sequence, 0, counters, payload)
        self.own[topic] = DatedEntry(entry, now)
        return True

    def receive(self, now: int, entry: GossipEntry, transit_us: int | None) -> None:
        """Take an entry that is newer than the one held, or a better bound on the age of the same.

        Arguments:
            now: boot clock, microseconds.
            entry: of any member.
            transit_us: how long it can have been in transit at most; None: not known, nor is its age.
        """
        if entry.member_id == self.table.own_id or entry.member_id not in self.table.members:
            return
        key = entry.member_id, entry.topic
        held = self.received.get(key)
        written_at = None if transit_us is None else now - transit_us - entry.age_us
        if held is None or entry.precedence > held.entry.precedence:
            self.received[key] = DatedEntry(entry, written_at)
            self.relays_left[key] = self._relays()
            self.relays_left.move_to_end(key)
        elif entry.precedence == held.entry.precedence:
            held.raise_written_at(written_at)

    def _relays(self) -> int:
        """Return how often an entry is relayed: few are left out by chance."""
        count = len(self.table.members)
        if count <= self.table.config.watch_degree + 1:
            return RELAYS_IN_FULL_MESH
        return count.bit_length() + 1

    def take(self, now: int, receiver_id: int, max_bytes: int) -> list[GossipEntry]:
        """Return the own entries, and as many of those to be relayed as fit."""
        entries = [held.as_sent(now) for _, held in sorted(self.own.items())]
        max_bytes -= len(encode_value(entries))
        for key in list(self.relays_left)[:MAX_RELAYED_IN_HEARTBEAT]:
            held = self.received[key]
            if key[0] == receiver_id or held.written_at is None:
                continue
            entry = held.as_sent(now)
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
