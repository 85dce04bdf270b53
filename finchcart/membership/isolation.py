"""Isolation: decide whether this process is in contact with the rest of the fleet.

The monitor owns this state, and for how long contact must exist or be missing before the state changes. It
does not change the state of other members.
"""

from finchcart.membership.config import MembershipConfig
from finchcart.membership.effects import IsolationChanged
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.records import IN_FLEET, MemberTable


class IsolationMonitor:
    """Monitors whether this process is isolated.

    The process is isolated while it has two-way contact with no member, or while the members in contact with
    it exclude it. After a suspension, contact also counts as missing until the process has two-way contact
    with half of the members that it watches, or until failure detection resumes.

    Arguments:
        table: the records and states of all members.
        detector: the links, and the view that is computed from them.
        config: the times for which contact must exist or be missing.
        has_seeds: whether the settings name other nodes, so that being alone counts as isolated.
        now: boot clock, microseconds.
    """

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        config: MembershipConfig,
        has_seeds: bool,
        now: int,
    ) -> None:
        self.table = table
        self.detector = detector
        self.config = config
        self.has_seeds = has_seeds
        self.is_isolated = has_seeds
        # True after a suspension, until there is enough contact or failure detection resumes.
        self.is_resuming = False
        self._no_contact_since: int | None = now
        self._contact_since: int | None = None

    def set_isolated(self, is_isolated: bool, reason: str) -> None:
        """Set the state, and notify the driver if it changed."""
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            self.table.outbox.emit(IsolationChanged(is_isolated, reason))

    def on_clock_gap(self, now: int) -> None:
        """Count contact as missing after a suspension, until `review` resets `is_resuming`."""
        self.is_resuming = True
        self._no_contact_since = now
        self._contact_since = None

    def review(self, now: int) -> None:
        """Update the state from the links; called once per tick."""
        detector = self.detector
        others = [
            member_id
            for member_id in detector.own_neighbours
            if self.table.members[member_id].state in IN_FLEET
        ]
        contacts = sum(map(self._is_in_contact, others))
        self._review_resuming(now, contacts, len(others))
        is_connected = self.table.own_id in detector.connected
        if not self.has_seeds and len(detector.graph) <= 1:
            self.set_isolated(False, "no other member is configured or known")
        elif is_connected and contacts and not self.is_resuming:
            self._on_contact(now)
        else:
            self._on_no_contact(now, bool(contacts), is_connected)

    def _is_in_contact(self, member_id: int) -> bool:
        link = self.detector.links[member_id]
        return member_id in self.detector.connected and not link.is_down and link.confirmed_at is not None

    def _review_resuming(self, now: int, contacts: int, others: int) -> None:
        if now >= self.detector.detection_paused_until or (contacts and 2 * contacts >= others):
            self.is_resuming = False

    def _on_contact(self, now: int) -> None:
        self._no_contact_since = None
        if self._contact_since is None:
            self._contact_since = now
        # The other members take the same time to set this process to alive in their views.
        if now - self._contact_since >= self.config.recovery_time:
            self.set_isolated(False, "contact")

    def _on_no_contact(self, now: int, has_contacts: bool, is_connected: bool) -> None:
        self._contact_since = None
        if self._no_contact_since is None:
            self._no_contact_since = now
        timeout = self.config.suspicion_timeout
        if has_contacts or not is_connected:
            timeout += self.config.period
        if now - self._no_contact_since >= timeout:
            self.set_isolated(True, "excluded by others" if has_contacts else "no contact")
