"""Failure detection: from links that are down to members that are suspected, failed and alive again.

Owns the links to the members that this one watches, the graph of who watches whom and the times for which a
suspicion must last before a member has failed, as in SWIM with Lifeguard's local health: a member that runs
late is more patient, and one that was suspended accuses nobody until there was time for contact. It must
never decide who is connected (view.py), nor keep the states (records.py).
"""

from collections.abc import Set

from finchcart.membership.config import MembershipConfig
from finchcart.membership.links import LossEstimate, PeerLink, record_heartbeat
from finchcart.membership.messages import DeclaredStatus, Heartbeat
from finchcart.membership.records import GONE, KnownMember, MemberState, MemberTable, state_in_contact
from finchcart.membership.view import Graph, connected_members, watch_graph

QUIET_LINK_PERIODS = 10  # a link that is not watched is dropped once nothing came for so long
LATENESS_DECAY = 16  # the part of the lateness that goes with each tick is one in so many


class FailureDetector:
    """Bounded by one link a member, and by `config.watch_degree` links that are watched.

    Arguments:
        table: the records and states of all members.
        config: periods and patience.
        now: boot clock, microseconds.
    """

    def __init__(self, table: MemberTable, config: MembershipConfig, now: int) -> None:
        self.table = table
        self.config = config
        self.links: dict[int, PeerLink] = {}
        self.graph: Graph = {table.own_id: set()}
        self.connected = {table.own_id}
        self.excluded: frozenset[int] = frozenset()
        self.loss = LossEstimate()
        self.lateness = 0  # microseconds by which the own ticks run late
        self.quiet_until = 0  # accuses nobody before
        self._last_tick_at = now
        table.on_forget.append(lambda member_id: self.links.pop(member_id, None))

    @property
    def own_neighbours(self) -> Set[int]:
        """The ids of the members that this one watches."""
        return self.graph[self.table.own_id]

    def link_to(self, now: int, member_id: int) -> PeerLink:
        """Return the link to a member, opened where there is none."""
        if member_id not in self.links:
            self.links[member_id] = PeerLink(now)
        return self.links[member_id]

    def link_timeout(self) -> int:
        """Return the microseconds without contact after which a link is down, at the measured loss."""
        return self.config.link_timeout(self.loss.value)

    # ---- inputs

    def on_clock_gap(self, now: int) -> None:
        """Require new proof of contact after a suspension of this process, and allow time for it."""
        self.quiet_until = now + self.link_timeout() + self.config.period
        self.lateness = 0
        self._last_tick_at = now
        for link in self.links.values():
            link.reset(now)
            link.is_down = False
            link.heartbeat_due = now
        for known in self.table.members.values():
            known.pending_change_since = None

    def on_heartbeat(self, now: int, member_id: int, heartbeat: Heartbeat) -> int | None:
        """Take a heartbeat into its link.

        Returns:
            The microseconds that it can have been in transit at most; None where that is not known.
        """
        link = self.link_to(now, member_id)
        link.follow_session(now, heartbeat.record.session)
        record_heartbeat(link, self.loss, now, heartbeat, self.config.period)
        if heartbeat.echo_session != self.table.own_record.session:
            return None
        echoed_at, is_later = link.record_echo(heartbeat.echo_sequence)
        if is_later and self.table.members[member_id].state == MemberState.FAILED:
            self.table.is_changed = True
        return None if echoed_at is None else now - echoed_at

    def on_tick(self, now: int) -> None:
        """Measure how late the own ticks run."""
        late = max(0, now - self._last_tick_at - self.config.tick)
        self.lateness = max(late, self.lateness - self.lateness // LATENESS_DECAY)
        self._last_tick_at = now

    # ---- once a tick

    def review(self, now: int) -> None:
        """Derive the view from links and records, and set the states that follow; once a tick."""
        table = self.table
        self.loss.update()
        if table.is_graph_outdated:
            self._update_graph()
        self._review_links(now)
        if table.is_changed or any(
            known.pending_change_since is not None for known in table.members.values()
        ):
            self._review_members(now)

    def _update_graph(self) -> None:
        table = self.table
        ids = [one for one, known in table.members.items() if known.record.status != DeclaredStatus.LEFT]
        self.graph = watch_graph(ids, self.config.watch_degree)
        table.is_graph_outdated = False
        table.is_changed = True

    def _review_links(self, now: int) -> None:
        """Judge the own links, and declare in the own record which are down."""
        timeout = self.config.link_timeout(self.loss.value, self.lateness)
        unreachable = []
        may_judge = now >= self.quiet_until
        for member_id in self.own_neighbours:
            link = self.links.get(member_id) or self.link_to(now, member_id)
            if may_judge:
                limit = timeout - self.config.period if link.is_down else timeout
                link.is_down = now - link.contact_since() > limit
            if link.is_down:
                unreachable.append(member_id)
        self._drop_quiet_links(now)
        unreachable.sort()
        if unreachable != self.table.own_record.unreachable:
            self.table.update_own_record(unreachable=unreachable)

    def _drop_quiet_links(self, now: int) -> None:
        span = QUIET_LINK_PERIODS * self.config.period
        neighbours = self.own_neighbours
        for member_id in [one for one in self.links if one not in neighbours]:
            known = self.table.members.get(member_id)
            is_failed = known is not None and known.state == MemberState.FAILED
            if not is_failed and not self.links[member_id].was_heard_within(now, span):
                del self.links[member_id]

    def _review_members(self, now: int) -> None:
        table = self.table
        unreachable = {member_id: table.members[member_id].record.unreachable for member_id in self.graph}
        self.connected = connected_members(table.own_id, unreachable, self.graph, self.excluded)
        table.is_changed = False
        # Who is excluded itself accuses nobody: while a cut is being noticed link by link, a member of the
        # smaller part would exclude its like, who are still its fleet when all links across are down.
        may_accuse = table.own_id in self.connected and now >= self.quiet_until
        excluded = set()
        for member_id in self.graph:
            if member_id != table.own_id and self._review_member(now, member_id, may_accuse):
                excluded.add(member_id)
        if excluded != self.excluded:
            self.excluded = frozenset(excluded)
            table.is_changed = True

    def _review_member(self, now: int, member_id: int, may_accuse: bool) -> bool:
        """Set the state of a member; return whether it is excluded from now on."""
        known = self.table.members[member_id]
        is_failed = known.state == MemberState.FAILED
        if member_id in self.connected and (not is_failed or self._has_shown_life(member_id, known)):
            return self._recover(now, known)
        if is_failed:
            known.pending_change_since = None
            return True
        if may_accuse:
            return self._accuse(now, known)
        known.pending_change_since = None
        if now < self.quiet_until:
            self.table.is_changed = True  # was suspended lately: looks again
        return False

    def _recover(self, now: int, known: KnownMember) -> bool:
        """Take a member for connected; return whether it is still excluded."""
        if known.state == MemberState.FAILED:
            if known.pending_change_since is None:
                known.pending_change_since = now
            if now - known.pending_change_since < self.config.recovery_time:
                return True
            self.table.set_state(now, known, state_in_contact(known.record))
        elif known.state == MemberState.SUSPECT:
            self.table.set_state(now, known, state_in_contact(known.record))
        else:
            known.pending_change_since = None
        return False

    def _accuse(self, now: int, known: KnownMember) -> bool:
        """Take a member for not connected; return whether it has been so for long enough to have failed."""
        if known.state != MemberState.SUSPECT:
            self.table.set_state(now, known, MemberState.SUSPECT)
            known.pending_change_since = now
        elif known.pending_change_since is None:
            known.pending_change_since = now
        elif now - known.pending_change_since >= self.config.suspicion_timeout:
            self.table.set_state(now, known, MemberState.FAILED)
            return True
        return False

    def _has_shown_life(self, member_id: int, known: KnownMember) -> bool:
        """Whether a failed member has shown life since: by a newer record, or by contact.

        Guards against links that look up because the members that declared them down have forgotten it.
        """
        if known.failed_precedence is None or known.record.precedence > known.failed_precedence:
            return True
        link = self.links.get(member_id)
        return link is not None and link.confirmed_at is not None and link.confirmed_at > known.state_since

    # ---- bounds, as measured

    def staleness_bound(self) -> int:
        """Return the greatest age, in microseconds, of what the view says, at the measured loss."""
        return self.config.staleness_bound(len(self.graph), self.loss.value, self.lateness)

    def view_age(self, now: int, member_id: int) -> int:
        """Return the microseconds that what is known of a member can be old.

        Of a watched member: since the last proven contact. Of others: as long as gossip can take.
        """
        if member_id == self.table.own_id:
            return 0
        link = self.links.get(member_id)
        if link is not None and link.confirmed_at is not None and member_id in self.own_neighbours:
            return now - link.confirmed_at
        known = self.table.members[member_id]
        if known.state in GONE:
            return now - known.state_since + self.staleness_bound()
        return self.staleness_bound()
