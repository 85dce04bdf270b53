"""Name contests: decide which of two processes with the same name takes part in the fleet.

When this process receives a record of another process with its name, it raises its own incarnation above that
of the record. If the other process has ended, this settles the contest. A process that is still running
raises its incarnation in turn. After `MAX_CONTESTS` rounds the process that started later keeps the name, and
the other one steps down and takes no further part in the fleet.
"""

from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import MemberRecord
from finchcart.membership.records import MemberTable, MergeResult

MAX_CONTESTS = 3  # rounds after which one of the two processes steps down


class NameContest:
    """Handles records of other processes that use the name of this process."""

    def __init__(self, table: MemberTable, isolation: IsolationMonitor) -> None:
        self.table = table
        self.isolation = isolation
        self.has_stepped_down = False
        self._contests = 0

    def receive(self, now: int, record: MemberRecord) -> MergeResult:
        """Process a received record with the name of this process."""
        own = self.table.own_record
        outbox = self.table.outbox
        if record.session == own.session:
            if record.precedence > own.precedence:
                outbox.count("own record altered")
                self.table.raise_incarnation_over(record.incarnation)
            return MergeResult.KNOWN
        if record.incarnation < own.incarnation:
            return MergeResult.KNOWN
        if self.table.is_impossible(now, record.incarnation):
            outbox.count("impossible incarnation")
            return MergeResult.UNUSABLE
        self._contests += 1
        outbox.count("contests")
        if self._contests >= MAX_CONTESTS and record.start_order > own.start_order:
            self.step_down(record)
            return MergeResult.KNOWN
        if self._contests == MAX_CONTESTS:
            outbox.log(
                "another process with this name started earlier and has to step down",
                name=own.name,
                other=record.address,
            )
        self.table.raise_incarnation_over(record.incarnation)
        return MergeResult.KNOWN

    def on_name_taken(self, now: int, record: MemberRecord) -> None:
        """Process the notice that a member is in two-way contact with another process of this name."""
        own = self.table.own_record
        if record.name != own.name or record.session == own.session:
            return
        if record.start_order > own.start_order:
            self.step_down(record)
        else:
            self.receive(now, record)

    def step_down(self, record: MemberRecord) -> None:
        """Leave the name to the other process and stop taking part in the fleet."""
        if self.has_stepped_down:
            return
        self.has_stepped_down = True
        self.isolation.set_isolated(True, "another process has this name")
        self.table.outbox.log(
            "stepped down from the fleet: a process with this name started later",
            yielded=True,
            other=record.address,
        )
