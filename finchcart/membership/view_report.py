"""Report the view to the command line, page by page.

The names of the reported fields are documented for operators in docs/operate/members.md.
"""

from typing import Any

from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import ViewPage, ViewRequest
from finchcart.membership.records import MemberTable

MEMBERS_PER_PAGE = 8


class ViewReport:
    """Builds the pages of the view as of the time of the request."""

    def __init__(self, table: MemberTable, detector: FailureDetector, isolation: IsolationMonitor) -> None:
        self.table = table
        self.detector = detector
        self.isolation = isolation

    def members(self, now: int) -> list[dict[str, Any]]:
        """Return all members, sorted by name."""
        in_order = sorted(self.table.members.items(), key=lambda item: item[1].record.name)
        return [
            {
                "name": known.record.name,
                "address": known.record.address,
                "state": known.state,
                "incarnation": known.record.incarnation,
                "age_ms": self.detector.view_age(now, member_id) // 1000,
            }
            for member_id, known in in_order
        ]

    def summary(self) -> dict[str, Any]:
        """Return the own name, incarnation and isolation, and the maximum age of the view."""
        own = self.table.own_record
        return {
            "name": own.name,
            "incarnation": own.incarnation,
            "isolated": self.isolation.is_isolated,
            "age_ms": self.detector.staleness_bound() // 1000,
        }

    def answer(self, now: int, request: ViewRequest) -> ViewPage | None:
        """Return the requested page, or None if it does not exist; page 0 has the counters."""
        members = self.members(now)
        page_count = 1 + -(-len(members) // MEMBERS_PER_PAGE)
        if request.page >= page_count:
            return None
        view = self.summary()
        if request.page:
            first = (request.page - 1) * MEMBERS_PER_PAGE
            view["members"] = members[first : first + MEMBERS_PER_PAGE]
        else:
            view["members"] = []
            view["counts"] = self.table.outbox.counts
            view["loss"] = round(self.detector.loss.value, 3)
            view["late_ms"] = self.detector.lateness // 1000
        return ViewPage(request.number, request.page, page_count, view)
