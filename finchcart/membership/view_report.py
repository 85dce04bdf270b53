"""The answer to the command line's question for the view, page by page.

Owns the fields that an operator sees; their names are those of docs/operate/members.md.
"""

from typing import Any

from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.messages import ViewPage, ViewRequest
from finchcart.membership.records import MemberTable

MEMBERS_PER_PAGE = 8


class ViewReport:
    """Reports the view as it is at the time of the request."""

    def __init__(self, table: MemberTable, detector: FailureDetector, isolation: IsolationMonitor) -> None:
        self.table = table
        self.detector = detector
        self.isolation = isolation

    def members(self, now: int) -> list[dict[str, Any]]:
        """Return all members, in the order of their names."""
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
        """Return what concerns this process, and how old its view can be."""
        own = self.table.own_record
        return {
            "name": own.name,
            "incarnation": own.incarnation,
            "isolated": self.isolation.is_isolated,
            "age_ms": self.detector.staleness_bound() // 1000,
        }

    def answer(self, now: int, request: ViewRequest) -> ViewPage | None:
        """Return the page asked for, the first with the counters; None where there is no such page."""
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
