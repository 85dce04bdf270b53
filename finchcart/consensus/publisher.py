"""Publication of this node's reports, and of the overrides that it knows, in gossip entries.

Owns the reports published last and the times of publication. This module must never decide what is reported:
observations.py does.
"""

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.overrides import Override, OverrideTable
from finchcart.consensus.subjects import SubjectKind, is_source, kind_of
from finchcart.fleet.codec import encode_value
from finchcart.membership.member import Member
from finchcart.membership.messages import GossipTopic

CONFIRMATIONS_PER_LIFETIME = 3  # publications of an unchanged report, so that it doesn't expire elsewhere


class ReportPublisher:
    """Publishes at most one gossip entry for reports and one for overrides at a time."""

    def __init__(self, config: ConsensusConfig) -> None:
        self.config = config
        self._published: list[ObservationReport] | None = None
        self._published_at = 0
        self._overrides_published_at = 0

    def on_clock_gap(self) -> None:
        """Make the next tick publish the reports as changed, after a suspension of this process."""
        self._published = None

    def on_new_override(self) -> None:
        """Make the next tick publish overrides."""
        self._overrides_published_at = 0

    def publish(
        self, now: int, member: Member, reports: list[ObservationReport], overrides: OverrideTable
    ) -> None:
        """Publish the reports and overrides that are due; called once a tick.

        Changes are published `min_publish_interval` apart: urgent ones are sent to all watched members at
        once, others go with the regular heartbeats. Unchanged reports are published again before their
        lifetime ends at the other members.
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
            self._publish_next_overrides(now, member, overrides)

    def publish_newest_overrides(self, now: int, member: Member, overrides: OverrideTable) -> None:
        """Publish the newest overrides at once."""
        self._publish_overrides(now, member, overrides.newest(), is_urgent=True)

    @property
    def _confirmation_interval(self) -> int:
        return self.config.report_lifetime // CONFIRMATIONS_PER_LIFETIME

    def _publish_next_overrides(self, now: int, member: Member, overrides: OverrideTable) -> None:
        chosen = overrides.next_in_rotation()
        is_recent = now - self._overrides_published_at < self._confirmation_interval
        if len(chosen) < len(overrides) or not is_recent:
            self._publish_overrides(now, member, chosen)

    def _publish_overrides(
        self, now: int, member: Member, overrides: list[Override], *, is_urgent: bool = False
    ) -> None:
        self._overrides_published_at = now
        payload = encode_value([override.message_at(now) for override in overrides])
        member.publish(now, GossipTopic.OVERRIDES, [], payload, is_urgent=is_urgent)


def _urgent_part(reports: list[ObservationReport]) -> list[tuple[int, ...]]:
    """Return the part of the reports whose change is urgent.

    Changes of the level, of a node's runs and of the weight of a source are not urgent.
    """
    return [
        report[:2] if is_source(report.subject) else report
        for report in reports
        if kind_of(report.subject) not in (SubjectKind.LEVEL, SubjectKind.NODE)
    ]
