"""What a node tells the command line of the decisions in force, page by page.

Owns the fields that an operator sees; their names are those of docs/operate/verdicts.md.
"""

from typing import TYPE_CHECKING, Any

from finchcart.consensus.observations import MILLION
from finchcart.consensus.subjects import describe

if TYPE_CHECKING:
    from finchcart.consensus.store import ConsensusStore

DECISIONS_PER_PAGE = 6


class ConsensusStatus:
    """Keeps no state: what `store` holds when asked."""

    def __init__(self, store: "ConsensusStore") -> None:
        self.store = store

    def page(self, now: int, page: int) -> dict[str, Any]:
        """One page; the first has the bounds and counters besides."""
        store = self.store
        if store.member is None:
            return {"name": store.name, "verdicts": [], "pages": 1}
        rows = self._rows(now)
        first = DECISIONS_PER_PAGE * page
        view = {
            "name": store.name,
            "isolated": store.member.isolated,
            "verdicts": rows[first : first + DECISIONS_PER_PAGE],
            "pages": max(1, -(-len(rows) // DECISIONS_PER_PAGE)),
        }
        return {**view, **self._bounds()} if page == 0 else view

    def _bounds(self) -> dict[str, Any]:
        store = self.store
        member = store.member
        config = store.config
        collector = store.collector
        recurrences = store.standing.max_recurrences()
        fleet = member.config, collector.member_count
        measured = member.loss, member.lateness
        return {
            "members": collector.member_count,
            "heard": collector.heard_count,
            "oldest_ms": collector.oldest_age // 1000,
            "stale_at_most_ms": config.staleness_bound() // 1000,
            "acts_within_ms": store.acts_within() // 1000,
            "store_within_ms": config.store_within(*fleet, *measured) // 1000,
            "back_within_ms": config.back_within(*fleet, recurrences, *measured) // 1000,
            "level": store.level,
            "counts": store.counts,
        }

    def _rows(self, now: int) -> list[dict[str, Any]]:
        names = self.store.node_names()
        values = sorted(self.store.values_in_force().items())
        rows = [self._row(now, subject, value, names) for subject, value in values]
        level = self.store.minimum_level()
        if level:
            rows.append({"kind": "level", "name": "", "value": f"{level:.2f}"})
        return rows

    def _row(self, now: int, subject: int, value: int, names: dict[int, str]) -> dict[str, Any]:
        row = describe(subject, value, names)._asdict()
        override = self.store.overrides.get(subject)
        standing = self.store.standing.by_subject.get(subject)
        if override is not None and override.message.value:
            row["said_at"] = override.origin
            row["why"] = override.message.reason
            row["left_ms"] = (override.ends_at - now) // 1000
        elif standing is not None:
            row["votes"] = standing.votes
            row["of"] = standing.voters
            row["stands_ms"] = (now - standing.since) // 1000
            if row["kind"] == "source":
                row["beyond_at_most"] = self._excess_messages(now, subject)
        return row

    def _excess_messages(self, now: int, subject: int) -> int:
        """Messages of a blocked source that can have come between the evidence and the last node that
        acts."""
        store = self.store
        rates = [
            report.weight % MILLION
            for reports in store.collect_reports(store.last_turn_at, is_alone=False).values()
            for report in reports
            if report.subject == subject
        ]
        rate = max(rates, default=0) or 1
        return store.config.excess_messages(rate, store.collector.member_count, store.acts_within())
