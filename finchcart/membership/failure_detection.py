"""Failure detection: derive from the state of the links which members are alive, suspected or failed.

The detector owns the links to the members that this process watches, and the graph of who watches whom. It
also decides how long a suspicion must last before a member counts as failed. The design follows SWIM with
Lifeguard's local health: a process whose ticks run late waits longer before it takes a link as down, and a
process that was suspended suspects no other member until there was time to exchange heartbeats again.

Which members are connected is computed in view.py; the state of each member is stored in records.py.
"""

from collections.abc import Set

from finchcart.membership.config import MembershipConfig
from finchcart.membership.links import LossEstimate, PeerLink, record_heartbeat
from finchcart.membership.messages import DeclaredStatus, Heartbeat
from finchcart.membership.records import GONE, KnownMember, MemberState, MemberTable, state_when_connected
from finchcart.membership.view import Graph, connected_members, watch_graph

IDLE_LINK_PERIODS = 10  # a link to an unwatched member is closed after so many periods without a heartbeat
LATENESS_DECAY_DIVISOR = 16  # each tick reduces the measured lateness by 1/16


class FailureDetector:
    """Sets the state of each member from the links of this process and the records of all members.

    It keeps at most one link per member, of which `config.watch_degree` are watched.

    Arguments:
        table: the records and states of all members.
        config: the heartbeat period and the timeouts.
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
        self.lateness = 0  # microseconds by which the ticks of this process run late
        self.detection_paused_until = 0  # before this time, no link is taken as down and no member suspected
        self._last_tick_at = now
        table.on_forget.append(lambda member_id: self.links.pop(member_id, None))

    @property
    def own_neighbours(self) -> Set[int]:
        """The ids of the members that this process watches."""
        return self.graph[self.table.own_id]

    def link_to(self, now: int, member_id: int) -> PeerLink:
        """Return the link to a member; open it if there is none."""
        if member_id not in self.links:
            self.links[member_id] = PeerLink(now)
        return self.links[member_id]

    def link_timeout(self) -> int:
        """Return after how many microseconds without contact a link is down, at the measured loss."""
        return self.config.link_timeout(self.loss.value)

    # ---- inputs

    def on_clock_gap(self, now: int) -> None:
        """Discard all proof of contact after a suspension, and pause detection until it can be renewed."""
        self.detection_paused_until = now + self.link_timeout() + self.config.period
        self.lateness = 0
        self._last_tick_at = now
        for link in self.links.values():
            link.reset(now)
            link.is_down = False
            link.heartbeat_due = now
        for known in self.table.members.values():
            known.pending_change_since = None

    def on_heartbeat(self, now: int, member_id: int, heartbeat: Heartbeat) -> int | None:
        """Record a heartbeat, and its echo of an earlier heartbeat of this process, in the sender's link.

        Returns:
            The maximum microseconds that the heartbeat was in transit, or None if that is unknown.
        """
        link = self.link_to(now, member_id)
        link.follow_session(now, heartbeat.record.session)
        record_heartbeat(link, self.loss, now, heartbeat, self.config.period)
        if heartbeat.echo_session != self.table.own_record.session:
            return None
        echoed_at, is_later = link.record_echo(heartbeat.echo_sequence)
        if is_later and self.table.members[member_id].state == MemberState.FAILED:
            self.table.is_view_outdated = True
        return None if echoed_at is None else now - echoed_at

    def on_tick(self, now: int) -> None:
        """Measure how late the ticks of this process run."""
        late = max(0, now - self._last_tick_at - self.config.tick)
        self.lateness = max(late, self.lateness - self.lateness // LATENESS_DECAY_DIVISOR)
        self._last_tick_at = now

    # ---- review, once per tick

    def review(self, now: int) -> None:
        """Recompute the view from the links and records, and set the member states; called once per tick."""
        table = self.table
        self.loss.update()
        if table.is_graph_outdated:
            self._update_graph()
        self._review_links(now)
        if table.is_view_outdated or any(
            known.pending_change_since is not None for known in table.members.values()
        ):
            self._review_members(now)

    def _update_graph(self) -> None:
        table = self.table
        ids = [
            member_id
            for member_id, known in table.members.items()
            if known.record.status != DeclaredStatus.LEFT
        ]
        self.graph = watch_graph(ids, self.config.watch_degree)
        table.is_graph_outdated = False
        table.is_view_outdated = True

    def _review_links(self, now: int) -> None:
        """Update which watched links are down, and declare the links that are down in the own record."""
        timeout = self.config.link_timeout(self.loss.value, self.lateness)
        unreachable = []
        is_detecting = now >= self.detection_paused_until
        for member_id in self.own_neighbours:
            link = self.links.get(member_id) or self.link_to(now, member_id)
            if is_detecting:
                limit = timeout - self.config.period if link.is_down else timeout
                link.is_down = now - link.contact_since() > limit
            if link.is_down:
                unreachable.append(member_id)
        self._drop_idle_links(now)
        unreachable.sort()
        if unreachable != self.table.own_record.unreachable:
            self.table.update_own_record(unreachable=unreachable)

    def _drop_idle_links(self, now: int) -> None:
        span = IDLE_LINK_PERIODS * self.config.period
        neighbours = self.own_neighbours
        for member_id in [member_id for member_id in self.links if member_id not in neighbours]:
            known = self.table.members.get(member_id)
            is_failed = known is not None and known.state == MemberState.FAILED
            if not is_failed and not self.links[member_id].has_received_within(now, span):
                del self.links[member_id]

    def _review_members(self, now: int) -> None:
        table = self.table
        unreachable = {member_id: table.members[member_id].record.unreachable for member_id in self.graph}
        self.connected = connected_members(table.own_id, unreachable, self.graph, self.excluded)
        table.is_view_outdated = False
        # A member that is excluded itself suspects nobody. A network partition is detected link by link, and
        # meanwhile a member of the smaller side would exclude other members of its side, to which it remains
        # connected once all links to the larger side are down.
        may_suspect = table.own_id in self.connected and now >= self.detection_paused_until
        excluded = set()
        for member_id in self.graph:
            if member_id != table.own_id and self._review_member(now, member_id, may_suspect):
                excluded.add(member_id)
        if excluded != self.excluded:
            self.excluded = frozenset(excluded)
            table.is_view_outdated = True

    def _review_member(self, now: int, member_id: int, may_suspect: bool) -> bool:
        """Set the state of a member; return whether the view excludes it."""
        known = self.table.members[member_id]
        is_failed = known.state == MemberState.FAILED
        if member_id in self.connected and (
            not is_failed or self._has_evidence_since_failure(member_id, known)
        ):
            return self._on_connected(now, known)
        if is_failed:
            known.pending_change_since = None
            return True
        if may_suspect:
            return self._on_disconnected(now, known)
        known.pending_change_since = None
        if now < self.detection_paused_until:
            self.table.is_view_outdated = True  # review again with the next tick: detection is still paused
        return False

    def _on_connected(self, now: int, known: KnownMember) -> bool:
        """Set the state of a connected member; return whether it is still excluded."""
        if known.state == MemberState.FAILED:
            if known.pending_change_since is None:
                known.pending_change_since = now
            if now - known.pending_change_since < self.config.recovery_time:
                return True
            self.table.set_state(now, known, state_when_connected(known.record))
        elif known.state == MemberState.SUSPECT:
            self.table.set_state(now, known, state_when_connected(known.record))
        else:
            known.pending_change_since = None
        return False

    def _on_disconnected(self, now: int, known: KnownMember) -> bool:
        """Suspect a member that is not connected; return whether it failed by the suspicion timeout."""
        if known.state != MemberState.SUSPECT:
            self.table.set_state(now, known, MemberState.SUSPECT)
            known.pending_change_since = now
        elif known.pending_change_since is None:
            known.pending_change_since = now
        elif now - known.pending_change_since >= self.config.suspicion_timeout:
            self.table.set_state(now, known, MemberState.FAILED)
            return True
        return False

    def _has_evidence_since_failure(self, member_id: int, known: KnownMember) -> bool:
        """Whether a failed member has since sent a newer record or been in two-way contact.

        Its links being up is not enough: they also count as up once the members that declared them down have
        forgotten the member.
        """
        if known.failed_precedence is None or known.record.precedence > known.failed_precedence:
            return True
        link = self.links.get(member_id)
        return link is not None and link.confirmed_at is not None and link.confirmed_at > known.state_since

    # ---- bounds at the measured loss and lateness

    def staleness_bound(self) -> int:
        """Return the maximum age of the view in microseconds, at the measured loss and lateness."""
        return self.config.staleness_bound(len(self.graph), self.loss.value, self.lateness)

    def view_age(self, now: int, member_id: int) -> int:
        """Return the maximum age in microseconds of the information on a member.

        For a watched member, it is the time since the last proven contact; for any other member, the time
        that detection and gossip take at most.
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
