"""Two processes under one name: which of them stands.

Owns the count of contests and the state of having yielded. What others remember of an earlier process of
this name is raised over. Another living process raises over in its turn, which the dead don't: after a few
times the younger stands, and the elder is silent under this name.
"""

from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import MemberRecord
from finchcart.membership.records import MemberTable, Reception

MAX_CONTESTS = 3  # of an incarnation by another process of the own name, before the younger stands


class NameContest:
    """The own name, claimed by this process and perhaps by another."""

    def __init__(self, table: MemberTable, isolation: IsolationMonitor) -> None:
        self.table = table
        self.isolation = isolation
        self.has_yielded = False
        self._contests = 0

    def receive(self, now: int, record: MemberRecord) -> Reception:
        """Takes a record of the own name, as others remember it."""
        own = self.table.own_record
        outbox = self.table.outbox
        if record.session == own.session:
            if record.precedence > own.precedence:
                outbox.count("own row altered")
                self.table.raise_incarnation_over(record.incarnation)
            return Reception.KNOWN
        if record.incarnation < own.incarnation:
            return Reception.KNOWN
        if self.table.is_impossible(now, record.incarnation):
            outbox.count("impossible incarnation")
            return Reception.UNUSABLE
        self._contests += 1
        outbox.count("contests")
        if self._contests >= MAX_CONTESTS and record.seniority > own.seniority:
            self.give_way(record)
            return Reception.KNOWN
        if self._contests == MAX_CONTESTS:
            outbox.log("another process has this name, and is to yield", name=own.name, other=record.address)
        self.table.raise_incarnation_over(record.incarnation)
        return Reception.KNOWN

    def on_name_taken(self, now: int, record: MemberRecord) -> None:
        """A member is in two-way contact with another process of this name."""
        own = self.table.own_record
        if record.name != own.name or record.session == own.session:
            return
        if record.seniority > own.seniority:
            self.give_way(record)
        else:
            self.receive(now, record)

    def give_way(self, record: MemberRecord) -> None:
        """The other process stands: this one is silent in the fleet from here on."""
        if self.has_yielded:
            return
        self.has_yielded = True
        self.isolation.set_isolated(True, "another process has this name")
        self.table.outbox.log("yielded: a younger process has this name", yielded=True, other=record.address)
