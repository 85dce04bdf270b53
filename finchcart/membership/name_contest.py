"""Name contests: which of two processes under one name takes part in the fleet.

Owns the count of contests and whether this process stepped down. This process raises its incarnation over
what others remember of an earlier process of its name. A living process raises its own in turn, a dead one
does not: after a few rounds the process that started later keeps the name, and the other one steps down. It
must never judge a member of another name.
"""

from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import MemberRecord
from finchcart.membership.records import MemberTable, Reception

MAX_CONTESTS = 3  # of the own incarnation by another process, before one steps down


class NameContest:
    """The own name, and another process that uses it, if any."""

    def __init__(self, table: MemberTable, isolation: IsolationMonitor) -> None:
        self.table = table
        self.isolation = isolation
        self.has_stepped_down = False
        self._contests = 0

    def receive(self, now: int, record: MemberRecord) -> Reception:
        """Take a record of the own name, as others remember it."""
        own = self.table.own_record
        outbox = self.table.outbox
        if record.session == own.session:
            if record.precedence > own.precedence:
                outbox.count("own record altered")
                self.table.raise_incarnation_over(record.incarnation)
            return Reception.KNOWN
        if record.incarnation < own.incarnation:
            return Reception.KNOWN
        if self.table.is_impossible(now, record.incarnation):
            outbox.count("impossible incarnation")
            return Reception.UNUSABLE
        self._contests += 1
        outbox.count("contests")
        if self._contests >= MAX_CONTESTS and record.start_order > own.start_order:
            self.step_down(record)
            return Reception.KNOWN
        if self._contests == MAX_CONTESTS:
            outbox.log(
                "another process has this name and has to step down", name=own.name, other=record.address
            )
        self.table.raise_incarnation_over(record.incarnation)
        return Reception.KNOWN

    def on_name_taken(self, now: int, record: MemberRecord) -> None:
        """Take the notice that a member is in two-way contact with another process of this name."""
        own = self.table.own_record
        if record.name != own.name or record.session == own.session:
            return
        if record.start_order > own.start_order:
            self.step_down(record)
        else:
            self.receive(now, record)

    def step_down(self, record: MemberRecord) -> None:
        """Leave the name to the other process: this one is silent in the fleet from here on."""
        if self.has_stepped_down:
            return
        self.has_stepped_down = True
        self.isolation.set_isolated(True, "another process has this name")
        self.table.outbox.log(
            "stepped down: a process that started later has this name", yielded=True, other=record.address
        )
