"""The member table: the records of all members, and the state of each member in this process's view.

The table also holds tombstones of forgotten members and the digest of all records. Whether a member is
suspected or failed is decided in failure_detection.py, which sets the states here.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum, StrEnum, auto

import msgspec

from finchcart.fleet.codec import DatagramError, name_hash, parse_address
from finchcart.membership.config import MembershipConfig
from finchcart.membership.effects import MemberChanged
from finchcart.membership.messages import DeclaredStatus, MemberRecord, Version
from finchcart.membership.outbox import Outbox
from finchcart.membership.update_queue import UpdateQueue


class MemberState(StrEnum):
    """The state of a member in this process's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEAVING = "leaving"
    LEFT = "left"


IN_FLEET = frozenset({MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT})
GONE = frozenset({MemberState.FAILED, MemberState.LEFT})


class MergeResult(Enum):
    """The result of merging a received record into the table."""

    NEWER = auto()  # the record was stored
    KNOWN = auto()  # the record is not newer than the stored one, or need not be stored
    UNUSABLE = auto()  # the record is counted by reason; the rest of the sender's message is ignored


class KnownMember:
    """One member: its newest record and its state in this process's view."""

    __slots__ = ("digest", "failed_precedence", "record", "state", "state_since", "pending_change_since")

    def __init__(self, record: MemberRecord, now: int) -> None:
        self.record = record
        self.digest = record.digest()
        self.state = MemberState.ALIVE
        self.state_since = now
        # Since when the state of the member has contradicted whether the member is connected.
        self.pending_change_since: int | None = None
        # The precedence of the member's record at the time when its state was set to failed.
        self.failed_precedence: Version | None = None

    @property
    def is_in_digest(self) -> bool:
        """Whether the digest of all records includes this member."""
        return self.state not in GONE


class ExtrapolatedWallClock:
    """The wall clock at start, extrapolated with the boot clock.

    Arguments:
        start_ms: wall clock at start, milliseconds.
        now: boot clock at start, microseconds.
    """

    def __init__(self, start_ms: int, now: int) -> None:
        self.start_ms = start_ms
        self._started_at = now

    def now_ms(self, now: int) -> int:
        """Return the wall clock in milliseconds at boot clock `now`."""
        return self.start_ms + (now - self._started_at) // 1000


class MemberTable:
    """Stores at most `config.max_members` members and as many tombstones.

    When the table is full, a failed or left member is evicted for a new one. The digest excludes failed and
    left members, and their records are only sent to members that hold an older one. Otherwise new members
    would learn of them and relay their records forever.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        clock: ExtrapolatedWallClock,
        config: MembershipConfig,
        outbox: Outbox,
        now: int,
    ) -> None:
        self.own_id = name_hash(own_record.name)
        self.clock = clock
        self.config = config
        self.outbox = outbox
        self.members = {self.own_id: KnownMember(own_record, now)}
        self.tombstones: OrderedDict[int, Version] = OrderedDict()  # id -> precedence of the last record
        self.updates = UpdateQueue(config)
        self.digest = self.members[self.own_id].digest  # XOR over members that have not failed or left
        self.is_view_outdated = True  # the connected members have to be recomputed
        self.is_graph_outdated = True  # the graph of who watches whom has to be recomputed
        self.on_forget: list[Callable[[int], object]] = []  # called with the id of each forgotten member

    @property
    def own_record(self) -> MemberRecord:
        """The record that this process declares of itself."""
        return self.members[self.own_id].record

    # ---- the own record

    def update_own_record(self, **changes: object) -> None:
        """Change fields of the own record and publish it as a new version."""
        old = self.own_record
        record = msgspec.structs.replace(old, version=old.version + 1, **changes)
        self._replace(self.own_id, record)

    def raise_incarnation_over(self, incarnation: int) -> None:
        """Raise the own incarnation above its current value and the given one."""
        self.update_own_record(incarnation=max(self.own_record.incarnation, incarnation) + 1)

    # ---- records of other members

    def receive(self, now: int, record: MemberRecord, is_direct: bool = False) -> MergeResult:
        """Store a record of another member if it is newer than the stored one.

        Arguments:
            now: boot clock, microseconds.
            record: of another member.
            is_direct: whether the member itself sent the record, so that it cannot be outdated gossip.
        """
        member_id = name_hash(record.name)
        reason = self._rejection_reason(now, member_id, record, is_direct)
        if reason is not None:
            self.outbox.count(reason)
            return MergeResult.UNUSABLE
        known = self.members.get(member_id)
        if known is None and record.status == DeclaredStatus.LEFT:
            return MergeResult.KNOWN  # no need to store a member that already left
        if known is not None and record.precedence <= known.record.precedence:
            return MergeResult.KNOWN
        previous_session = known.record.session if known else record.session
        self.put(member_id, record, now)
        known = self.members[member_id]
        if previous_session != record.session:
            self.outbox.count("successors")
            self.outbox.emit(MemberChanged(record.name, known.state, record.incarnation))
        self._follow_declared_status(now, known)
        return MergeResult.NEWER

    def _rejection_reason(
        self, now: int, member_id: int, record: MemberRecord, is_direct: bool
    ) -> str | None:
        """Return why a record cannot be used, or None.

        If the member is new and the table is full, evict a failed or left member to make room.
        """
        try:
            parse_address(record.address)
        except DatagramError as error:
            return str(error)
        if self.is_impossible(now, record.incarnation):
            return "impossible incarnation"
        if member_id in self.members:
            return None
        tombstone = self.tombstones.get(member_id)
        if tombstone is not None and record.precedence <= tombstone and not is_direct:
            return "of a forgotten member"
        if len(self.members) >= self.config.max_members and not self._evict_oldest_gone():
            return "no room"
        return None

    def is_impossible(self, now: int, incarnation: int) -> bool:
        """Whether an incarnation is too far ahead of the wall clock to be accepted.

        A forged or corrupted incarnation near the maximum could never be exceeded by the member itself.
        """
        return incarnation > self.clock.now_ms(now) + self.config.max_clock_ahead_ms

    def _follow_declared_status(self, now: int, known: KnownMember) -> None:
        status = known.record.status
        if status == DeclaredStatus.LEFT:
            self.set_state(now, known, MemberState.LEFT)
        elif known.state == MemberState.LEFT:
            self.set_state(now, known, MemberState.ALIVE)
        elif known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.set_state(now, known, state_when_connected(known.record))

    # ---- table updates

    def put(self, member_id: int, record: MemberRecord, now: int) -> None:
        """Store a record as the newest of its member, and gossip it."""
        if member_id in self.members:
            self._replace(member_id, record)
        else:
            self._add(member_id, record, now)

    def _add(self, member_id: int, record: MemberRecord, now: int) -> None:
        known = KnownMember(record, now)
        self.members[member_id] = known
        self.digest ^= known.digest
        self.outbox.emit(MemberChanged(record.name, MemberState.ALIVE, record.incarnation))
        self.is_graph_outdated = True
        self._gossip(member_id)

    def _replace(self, member_id: int, record: MemberRecord) -> None:
        known = self.members[member_id]
        if known.record.status != record.status:
            self.is_graph_outdated = True
        previous_digest = known.digest
        known.record = record
        known.digest = record.digest()
        if known.is_in_digest:
            self.digest ^= previous_digest ^ known.digest
        self._gossip(member_id)

    def _gossip(self, member_id: int) -> None:
        self.updates.push(member_id, len(self.members))
        self.is_view_outdated = True

    def set_state(self, now: int, known: KnownMember, state: MemberState) -> None:
        """Set the state of a member as of `now`."""
        if known.state == state:
            return
        was_in_digest = known.is_in_digest
        known.state = state
        known.state_since = now
        known.pending_change_since = None
        if known.is_in_digest != was_in_digest:
            self.digest ^= known.digest
        if state == MemberState.FAILED:
            known.failed_precedence = known.record.precedence
        self.is_view_outdated = True
        self.outbox.emit(MemberChanged(known.record.name, state, known.record.incarnation))

    def forget(self, member_id: int) -> None:
        """Remove a member from the table and keep a tombstone of it."""
        known = self.members.pop(member_id)
        if known.is_in_digest:
            self.digest ^= known.digest
        self.updates.discard(member_id)
        for listener in self.on_forget:
            listener(member_id)
        # Without a tombstone, a record that other members still relay would make the member alive again.
        self.tombstones[member_id] = known.record.precedence
        while len(self.tombstones) > self.config.max_members:
            self.tombstones.popitem(last=False)
        self.is_graph_outdated = True
        self.is_view_outdated = True

    def _evict_oldest_gone(self) -> bool:
        """Forget the member that failed or left the longest time ago; return whether there was one."""
        gone = [
            (known.state_since, member_id) for member_id, known in self.members.items() if known.state in GONE
        ]
        if gone:
            self.forget(min(gone)[1])
        return bool(gone)

    def forget_expired(self, now: int) -> None:
        """Forget the members that failed or left longer than `config.forget_after` ago."""
        expired = [
            member_id
            for member_id, known in self.members.items()
            if known.state in GONE and now - known.state_since > self.config.forget_after
        ]
        for member_id in expired:
            self.forget(member_id)


def state_when_connected(record: MemberRecord) -> MemberState:
    """Return the state of a connected member: alive, or leaving if it declared so."""
    return MemberState.LEAVING if record.status == DeclaredStatus.LEAVING else MemberState.ALIVE
