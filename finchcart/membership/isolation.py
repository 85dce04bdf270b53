"""Whether this process takes part in the fleet, or is isolated from it.

Owns that state and the times for which contact must be there, or missing, before it changes. It must never
say anything of other members.
"""

from finchcart.membership.config import MembershipConfig
from finchcart.membership.effects import IsolationChanged
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.records import IN_FLEET, MemberTable


class IsolationMonitor:
    """Isolated: nobody is known to be connected both ways, or the connected ones hold this one to be
    excluded; after a suspension too, until half of the watched ones were heard both ways.

    Arguments:
        table: the records and states of all members.
        detector: the links and the view drawn from them.
        config: the times that contact has to stand.
        has_seeds: others are named in the settings, so alone is not where it should be.
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
        self.is_resuming = False  # after a suspension, until contact is proven anew
        self._alone_since: int | None = now
        self._contact_since: int | None = None

    def set_isolated(self, is_isolated: bool, reason: str) -> None:
        """Changes the state, where it differs, and tells the driver."""
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            self.table.outbox.emit(IsolationChanged(is_isolated, reason))

    def on_clock_gap(self, now: int) -> None:
        """This process was suspended: it is isolated until contact is proven anew."""
        self.is_resuming = True
        self._alone_since = now
        self._contact_since = None

    def review(self, now: int) -> None:
        """Draws the state from the links, once a tick."""
        detector = self.detector
        others = [one for one in detector.own_neighbours if self.table.members[one].state in IN_FLEET]
        contacts = sum(map(self._is_in_contact, others))
        self._review_resuming(now, contacts, len(others))
        is_connected = self.table.own_id in detector.connected
        if not self.has_seeds and len(detector.graph) <= 1:
            self.set_isolated(False, "alone by its settings")
        elif is_connected and contacts and not self.is_resuming:
            self._on_contact(now)
        else:
            self._on_no_contact(now, bool(contacts), is_connected)

    def _is_in_contact(self, member_id: int) -> bool:
        link = self.detector.links[member_id]
        return member_id in self.detector.connected and not link.is_down and link.confirmed_at is not None

    def _review_resuming(self, now: int, contacts: int, others: int) -> None:
        if now >= self.detector.quiet_until or (contacts and 2 * contacts >= others):
            self.is_resuming = False

    def _on_contact(self, now: int) -> None:
        self._alone_since = None
        if self._contact_since is None:
            self._contact_since = now
        # Others take as long to hold it to be alive again.
        if now - self._contact_since >= self.config.rise:
            self.set_isolated(False, "contact")

    def _on_no_contact(self, now: int, has_contacts: bool, is_connected: bool) -> None:
        self._contact_since = None
        if self._alone_since is None:
            self._alone_since = now
        patience = self.config.suspect
        if has_contacts or not is_connected:
            patience += self.config.period
        if now - self._alone_since >= patience:
            self.set_isolated(True, "others hold it to be out" if has_contacts else "no contact")
