"""Member records that changed and are still to be gossiped.

Owns the order in which they go and how often each still does. As in SWIM, updates are piggybacked on
heartbeats, the newest first, a bounded number of times by each member.
"""

from collections import OrderedDict
from collections.abc import Callable

from finchcart.fleet.codec import take_fitting
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import MemberRecord

MAX_UPDATES_IN_HEARTBEAT = 20


class UpdateQueue:
    """Bounded by `config.max_pending_updates`: when full the one gossiped last goes, left to anti-entropy."""

    def __init__(self, config: MembershipConfig) -> None:
        self.config = config
        self._remaining: OrderedDict[int, int] = OrderedDict()  # id -> times that it is still gossiped

    def __len__(self) -> int:
        return len(self._remaining)

    def clear(self) -> None:
        """Drop all updates."""
        self._remaining.clear()

    def push(self, member_id: int, member_count: int) -> None:
        """Queue a changed record first, in a fleet of `member_count`."""
        self._remaining[member_id] = self.config.retransmissions(member_count)
        self._remaining.move_to_end(member_id, last=False)
        while len(self._remaining) > self.config.max_pending_updates:
            self._remaining.popitem()

    def discard(self, member_id: int) -> None:
        """Drop a member's update."""
        self._remaining.pop(member_id, None)

    def take(
        self, excluded: tuple[int, ...], record_of: Callable[[int], MemberRecord], max_bytes: int
    ) -> list[MemberRecord]:
        """Return the records that go with one heartbeat.

        Arguments:
            excluded: ids of members whose records are of no use to the receiver.
            record_of: gives the newest record of an id.
            max_bytes: that they may take together.
        """
        ids = [one for one in list(self._remaining)[:MAX_UPDATES_IN_HEARTBEAT] if one not in excluded]
        records = take_fitting(map(record_of, ids), max_bytes)
        for member_id in ids[: len(records)]:
            self._remaining[member_id] -= 1
            self._remaining.move_to_end(member_id)
            if self._remaining[member_id] <= 0:
                del self._remaining[member_id]
        return records
