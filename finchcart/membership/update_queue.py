"""The queue of changed member records that are still to be gossiped.

As in SWIM, updates are piggybacked on heartbeats, the newest first, and each member sends each update a
limited number of times. The queue holds the order of the updates and the remaining transmissions of each.
"""

from collections import OrderedDict
from collections.abc import Callable

from finchcart.fleet.codec import take_fitting
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import MemberRecord

MAX_UPDATES_PER_HEARTBEAT = 20


class UpdateQueue:
    """Holds at most `config.max_pending_updates` updates.

    When the queue is full, the most recently gossiped update, which is at its end, is dropped; anti-entropy
    then spreads that record.
    """

    def __init__(self, config: MembershipConfig) -> None:
        self.config = config
        self._remaining: OrderedDict[int, int] = OrderedDict()  # member id -> remaining transmissions

    def __len__(self) -> int:
        return len(self._remaining)

    def clear(self) -> None:
        """Drop all updates."""
        self._remaining.clear()

    def push(self, member_id: int, member_count: int) -> None:
        """Put a changed record at the front of the queue, in a fleet of `member_count` members."""
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
        """Return the records for one heartbeat, and count them as sent once more.

        Arguments:
            excluded: ids of members whose records the receiver does not need.
            record_of: returns the newest record for a member id.
            max_bytes: maximum encoded size of all returned records.
        """
        ids = [
            member_id
            for member_id in list(self._remaining)[:MAX_UPDATES_PER_HEARTBEAT]
            if member_id not in excluded
        ]
        records = take_fitting(map(record_of, ids), max_bytes)
        for member_id in ids[: len(records)]:
            self._remaining[member_id] -= 1
            self._remaining.move_to_end(member_id)
            if self._remaining[member_id] <= 0:
                del self._remaining[member_id]
        return records
