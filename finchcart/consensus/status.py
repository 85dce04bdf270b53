"""The status of consensus as the command line requests it, page by page.

Owns the fields that an operator sees; their names are documented in docs/operate/verdicts.md.
"""

from collections.abc import Callable, Mapping
from typing import Any

from finchcart.consensus.fleet_decisions import FleetDecisions, MemberReports
from finchcart.consensus.observations import PERCENT_FACTOR
from finchcart.consensus.subjects import describe, node_subject
from finchcart.membership.member import Member

DECISIONS_PER_PAGE = 6

CollectReports = Callable[[], MemberReports]


class ConsensusStatus:
    """Builds the pages of the status from the decisions and overrides in force.

    Arguments:
        name: the name of this node.
        decisions: the decisions and overrides of this node.
        counts: the counters of the consensus store, by reason.
    """

    def __init__(self, name: str, decisions: FleetDecisions, counts: Mapping[str, int]) -> None:
        self.name = name
        self.decisions = decisions
        self.counts = counts

    def empty_page(self) -> dict[str, Any]:
        """Return the page of a consensus store that has not had its first tick yet."""
        return {"name": self.name, "verdicts": [], "pages": 1}

    def page(self, now: int, member: Member, collect: CollectReports, page: int) -> dict[str, Any]:
        """Return one page; the first also has the time bounds and the counters.

        Arguments:
            now: microseconds on the boot clock.
            member: the membership protocol of this node.
            collect: returns the accepted reports of all members.
            page: the number of the page, from 0.
        """
        rows = self._rows(now, member, collect)
        first = DECISIONS_PER_PAGE * page
        view = {
            "name": self.name,
            "isolated": member.isolated,
            "verdicts": rows[first : first + DECISIONS_PER_PAGE],
            "pages": max(1, -(-len(rows) // DECISIONS_PER_PAGE)),
        }
        return {**view, **self._bounds(member)} if page == 0 else view

    def _bounds(self, member: Member) -> dict[str, Any]:
        decisions = self.decisions
        config = decisions.config
        collector = decisions.collector
        recurrences = decisions.active.max_recurrences()
        fleet_arguments = member.config, collector.member_count
        measurements = member.loss, member.lateness
        return {
            "members": collector.member_count,
            "heard": collector.reporting_count,
            "oldest_ms": collector.oldest_age // 1000,
            "stale_at_most_ms": config.staleness_bound() // 1000,
            "acts_within_ms": decisions.reaction_time_bound(member) // 1000,
            "store_within_ms": config.store_reaction_time_bound(*fleet_arguments, *measurements) // 1000,
            "back_within_ms": config.store_recovery_time_bound(*fleet_arguments, recurrences, *measurements)
            // 1000,
            "level": decisions.level,
            "counts": self.counts,
        }

    def _rows(self, now: int, member: Member, collect: CollectReports) -> list[dict[str, Any]]:
        names = node_names(member)
        rows = []
        for subject, value in sorted(self.decisions.values_in_force().items()):
            row = describe(subject, value, names)._asdict()
            row.update(self._origin(now, subject))
            if row["kind"] == "source" and "votes" in row:
                row["beyond_at_most"] = self._excess_messages(member, collect(), subject)
            rows.append(row)
        level = self.decisions.minimum_level()
        if level:
            rows.append({"kind": "level", "name": "", "value": f"{level:.2f}"})
        return rows

    def _origin(self, now: int, subject: int) -> dict[str, Any]:
        """Return the row's fields on the override or on the decision that set the value of `subject`."""
        override = self.decisions.overrides.get(subject)
        if override is not None and override.message.value:
            return {
                "said_at": override.origin,
                "why": override.message.reason,
                "left_ms": (override.ends_at - now) // 1000,
            }
        decision = self.decisions.active.by_subject.get(subject)
        if decision is None:
            return {}
        return {
            "votes": decision.votes,
            "of": decision.voters,
            "stands_ms": (now - decision.started_at) // 1000,
        }

    def _excess_messages(self, member: Member, reports: MemberReports, subject: int) -> int:
        """Return the most messages that a source can send after the evidence until the last node acts."""
        rates = [
            report.weight % PERCENT_FACTOR
            for member_reports in reports.values()
            for report in member_reports
            if report.subject == subject
        ]
        rate = max(rates, default=0) or 1
        decisions = self.decisions
        return decisions.config.excess_messages(
            rate, decisions.collector.member_count, decisions.reaction_time_bound(member)
        )


def node_names(member: Member) -> dict[int, str]:
    """Return the names of all members, by the subjects of their nodes."""
    names = (known.record.name for known in member.known_members.values())
    return {node_subject(name): name for name in names}
