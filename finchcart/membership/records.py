"""The member table: the records of all members, with the state that each has in this process's view.

Owns the table of known members, the tombstones of forgotten ones and the digest of all records. It must never
decide who is connected: failure_detection.py sets the states.
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
    """The state of a member in the view of one process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEAVING = "leaving"
    LEFT = "left"


IN_FLEET = frozenset({MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT})
GONE = frozenset({MemberState.FAILED, MemberState.LEFT})


class Reception(Enum):
    """What became of a record that was received."""

    NEWER = auto()  # taken
    KNOWN = auto()  # no newer than what is held, or not worth remembering
    UNUSABLE = auto()  # counted by reason; nothing else in its message is used


class KnownMember:
    """One member: its newest record and its state in this view."""

    __slots__ = ("digest", "failed_precedence", "record", "state", "state_since", "pending_change_since")

    def __init__(self, record: MemberRecord, now: int) -> None:
        self.record = record
        self.digest = record.digest()
        self.state = MemberState.ALIVE
        self.state_since = now
        self.pending_change_since: int | None = None  # since when its links contradict the state
        self.failed_precedence: Version | None = None  # of the record by which it failed

    @property
    def is_in_digest(self) -> bool:
        """Whether the digest of all records covers it."""
        return self.state not in GONE


class ExtrapolatedWallClock:
    """The wall clock as it was at start, extrapolated by the boot clock.

    Arguments:
        start_ms: wall clock at start, milliseconds.
        now: boot clock at start, microseconds.
    """

    def __init__(self, start_ms: int, now: int) -> None:
        self.start_ms = start_ms
        self._started_at = now

    def now_ms(self, now: int) -> int:
        """Return the milliseconds at the boot clock's `now`."""
        return self.start_ms + (now - self._started_at) // 1000


class MemberTable:
    """Bounded by `config.max_members`, with as many tombstones; failed and left members go first when full.

    Failed and left members are not gossiped to new members, who would relay them for ever: the digest leaves
    them out, and their records go only to members that have an older one.
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
        self.tombstones: OrderedDict[int, Version] = OrderedDict()  # id -> precedence of its last record
        self.updates = UpdateQueue(config)
        self.digest = self.members[self.own_id].digest  # exclusive or of all records in the fleet
        self.is_changed = True  # the view has to be derived anew
        self.is_graph_outdated = True  # who watches whom has to be computed anew
        self.on_forget: list[Callable[[int], object]] = []  # called with the id of each forgotten member

    @property
    def own_record(self) -> MemberRecord:
        """What this process declares of itself."""
        return self.members[self.own_id].record

    # ---- the own record

    def update_own_record(self, **changes: object) -> None:
        """Declare something new of this process."""
        old = self.own_record
        record = msgspec.structs.replace(old, version=old.version + 1, **changes)
        self._replace(self.own_id, record)

    def raise_incarnation_over(self, incarnation: int) -> None:
        """Declare an incarnation above the own one and the given one."""
        self.update_own_record(incarnation=max(self.own_record.incarnation, incarnation) + 1)

    # ---- records of others

    def receive(self, now: int, record: MemberRecord, is_direct: bool = False) -> Reception:
        """Take a record of another member, where it is newer than the one known.

        Arguments:
            now: boot clock, microseconds.
            record: of another member.
            is_direct: it came from the member itself, so it is no outdated gossip.
        """
        member_id = name_hash(record.name)
        reason = self._reason_against(now, member_id, record, is_direct)
        if reason is not None:
            self.outbox.count(reason)
            return Reception.UNUSABLE
        known = self.members.get(member_id)
        if known is None and record.status == DeclaredStatus.LEFT:
            return Reception.KNOWN  # it left before it was known: nothing to remember
        if known is not None and record.precedence <= known.record.precedence:
            return Reception.KNOWN
        previous_session = known.record.session if known else record.session
        self.put(member_id, record, now)
        known = self.members[member_id]
        if previous_session != record.session:
            self.outbox.count("successors")
            self.outbox.emit(MemberChanged(record.name, known.state, record.incarnation))
        self._follow_declared_status(now, known)
        return Reception.NEWER

    def _reason_against(self, now: int, member_id: int, record: MemberRecord, is_direct: bool) -> str | None:
        """Return why a record cannot be used; make room where the member is new and the table is full."""
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
        if len(self.members) >= self.config.max_members and not self._make_room():
            return "no room"
        return None

    def is_impossible(self, now: int, incarnation: int) -> bool:
        """Whether an incarnation is so far ahead that no process could ever raise its own over it."""
        return incarnation > self.clock.now_ms(now) + self.config.max_clock_ahead_ms

    def _follow_declared_status(self, now: int, known: KnownMember) -> None:
        status = known.record.status
        if status == DeclaredStatus.LEFT:
            self.set_state(now, known, MemberState.LEFT)
        elif known.state == MemberState.LEFT:
            self.set_state(now, known, MemberState.ALIVE)
        elif known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.set_state(now, known, state_in_contact(known.record))

    # ---- the table

    def put(self, member_id: int, record: MemberRecord, now: int) -> None:
        """Take a record as the newest of its member, and gossip it."""
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
        self.is_changed = True

    def set_state(self, now: int, known: KnownMember, state: MemberState) -> None:
        """Give a member another state from `now` on."""
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
        self.is_changed = True
        self.outbox.emit(MemberChanged(known.record.name, state, known.record.incarnation))

    def forget(self, member_id: int) -> None:
        """Take a member out of the table and leave its tombstone."""
        known = self.members.pop(member_id)
        if known.is_in_digest:
            self.digest ^= known.digest
        self.updates.discard(member_id)
        for listener in self.on_forget:
            listener(member_id)
        # Others may still relay its records: without a tombstone it would be alive once more.
        self.tombstones[member_id] = known.record.precedence
        while len(self.tombstones) > self.config.max_members:
            self.tombstones.popitem(last=False)
        self.is_graph_outdated = True
        self.is_changed = True

    def _make_room(self) -> bool:
        """Forget the member that has been failed or left the longest; return whether there was one."""
        gone = [
            (known.state_since, member_id) for member_id, known in self.members.items() if known.state in GONE
        ]
        if gone:
            self.forget(min(gone)[1])
        return bool(gone)

    def forget_expired(self, now: int) -> None:
        """Forget the members that have been failed or left for longer than `config.forget_after`."""
        expired = [
            member_id
            for member_id, known in self.members.items()
            if known.state in GONE and now - known.state_since > self.config.forget_after
        ]
        for member_id in expired:
            self.forget(member_id)


def state_in_contact(record: MemberRecord) -> MemberState:
    """Return the state of a member that is connected."""
    return MemberState.LEAVING if record.status == DeclaredStatus.LEAVING else MemberState.ALIVE
