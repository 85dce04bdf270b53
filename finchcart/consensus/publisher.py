"""Publishes this node's reports and the overrides that it knows, in gossip entries of its member.

Owns what was published last, and when. It must never decide what is reported: observations.py does.
"""

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.overrides import Override, OverrideTable
from finchcart.consensus.subjects import SubjectKind, is_source, kind_of
from finchcart.fleet.codec import encode_value
from finchcart.membership.member import Member
from finchcart.membership.messages import GossipTopic

CONFIRMATIONS_PER_LIFETIME = 3  # of a report that did not change, so that others do not take it for void


class ReportPublisher:
    """Bounded by one gossip entry for reports and one for overrides."""

    def __init__(self, config: ConsensusConfig) -> None:
        self.config = config
        self._published: list[ObservationReport] | None = None
        self._published_at = 0
        self._overrides_published_at = 0

    def on_clock_gap(self) -> None:
        """Publish at once after a suspension."""
        self._published = None

    def on_new_override(self) -> None:
        """Gossip overrides with the next tick."""
        self._overrides_published_at = 0

    def publish(
        self, now: int, member: Member, reports: list[ObservationReport], overrides: OverrideTable
    ) -> None:
        """Publish what is due, once a tick.

        Changes go at the pace that the configuration sets, urgent ones to all watched members at once, others
        with the usual heartbeats. What did not change is confirmed before others take it for void.
        """
        age = now - self._published_at
        is_changed = self._published is None or reports != self._published
        if (is_changed and age >= self.config.min_publish_interval) or age >= self._confirmation_interval:
            is_urgent = self._published is None or _urgent_part(reports) != _urgent_part(self._published)
            self._published = reports
            self._published_at = now
            payload = encode_value(reports)
            member.publish(now, GossipTopic.OBSERVATIONS, [], payload, is_urgent=is_urgent)
        if len(overrides) and now - self._overrides_published_at >= self.config.min_publish_interval:
            self._publish_overrides_in_turn(now, member, overrides)

    def publish_newest_overrides(self, now: int, member: Member, overrides: OverrideTable) -> None:
        """Publish the newest overrides at once."""
        self._publish_overrides(now, member, overrides.newest(), is_urgent=True)

    @property
    def _confirmation_interval(self) -> int:
        return self.config.report_lifetime // CONFIRMATIONS_PER_LIFETIME

    def _publish_overrides_in_turn(self, now: int, member: Member, overrides: OverrideTable) -> None:
        chosen = overrides.next_in_turn()
        is_recent = now - self._overrides_published_at < self._confirmation_interval
        if len(chosen) < len(overrides) or not is_recent:
            self._publish_overrides(now, member, chosen)

    def _publish_overrides(
        self, now: int, member: Member, overrides: list[Override], *, is_urgent: bool = False
    ) -> None:
        self._overrides_published_at = now
        payload = encode_value([override.as_sent(now) for override in overrides])
        member.publish(now, GossipTopic.OVERRIDES, [], payload, is_urgent=is_urgent)


def _urgent_part(reports: list[ObservationReport]) -> list[tuple[int, ...]]:
    """Return what a change of is urgent: not of the level or a node, nor of how much a source does."""
    return [
        report[:2] if is_source(report.subject) else report
        for report in reports
        if kind_of(report.subject) not in (SubjectKind.LEVEL, SubjectKind.NODE)
    ]
