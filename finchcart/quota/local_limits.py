"""Loose limits: each node computes its own allocation from its view of the members.

A loose limit stays available on each side of a partition. The module owns this process's usage and demand of
the loose limits, which the heartbeats of the members carry as gossip, and its allocation of each limit. The
module must not count calls or send messages itself, nor use an amount that a member out of contact may still
use. `now` is the boot clock in whole microseconds.

How the overshoot is bounded:

- Where all members are in contact, the allocation of a node is the max-min share of the demands of all
  members. A node counts its own demand only after all other members in contact have received that demand,
  but counts another member's demand as soon as that demand arrives, so no node takes what another may still
  use. Calls that other members have in progress beyond their shares are subtracted before the division.
- A member without recent two-way contact may not know of the others' demand. The node assumes that this
  member demands the whole limit, and so leaves an even share to it.
- A side of a partition that sees only a fraction of the known members uses that fraction of the limit, times
  (1 + `partition_overshoot`): see `QuotaConfig.partition_allowance`.
"""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from finchcart.fleet.codec import name_hash
from finchcart.fleet.units import MS, SECOND
from finchcart.membership.config import MembershipConfig
from finchcart.membership.member import Member
from finchcart.membership.messages import GossipTopic
from finchcart.membership.records import MemberState
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.fair_share import max_min_shares
from finchcart.quota.inputs import QuotaConfigChanged, UsageReported
from finchcart.quota.limit_table import reconcile
from finchcart.quota.limits import Limit, QuotaConfig

ALLOWANCE_DURATION_US = 2 * SECOND  # after this, a node whose fleet thread has ended uses only its floor
RENEWAL_INTERVAL_US = SECOND // 2  # after this, an unchanged allowance is emitted again
# The other members first have to receive a demand; then this node has to receive their usage after that.
IN_USE_PUBLICATIONS = 2


def freshness_bound(membership: MembershipConfig, member_count: int, loss: float) -> int:
    """Return the microseconds within which a newly published demand reaches all members in contact.

    This is also the greatest age of the latest report of a member in contact.

    Arguments:
        membership: the configuration of membership.
        member_count: the number of members of the fleet.
        loss: the fraction of datagrams that are lost, from 0 to 1.
    """
    return membership.dissemination_time(member_count, loss) + 2 * membership.period


class PublishedDemand(NamedTuple):
    """A demand and the time of its publication."""

    published_at: int
    demand: int


class PartitionView(NamedTuple):
    """The fraction of the fleet on this side of a partition at a time."""

    observed_at: int
    seen: int  # members on this side, including this node
    known: int  # all members, including those that failed lately

    @property
    def fraction(self) -> float:
        """The fraction of the fleet on this side."""
        return self.seen / self.known


class LocalAllocation:
    """This node's allocation of one limit; `publish` bounds the published demands that are kept."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.id = name_hash(limit.name)
        self.in_use = 0
        self.demand = 0
        self.published: deque[PublishedDemand] = deque()  # in the order of time
        self.amount = limit.floor
        self.last_emitted: int | None = None
        self.last_emitted_at = 0

    def publish(self, now: int, keep_for: int) -> None:
        """Record the publication of the present demand; drop records older than `keep_for` microseconds."""
        self.published.append(PublishedDemand(now, self.demand))
        while len(self.published) > 1 and self.published[1].published_at <= now - keep_for:
            self.published.popleft()

    def settled_demand(self) -> int:
        """Return the least demand published lately; each member in contact has received at least this."""
        return min(published.demand for published in self.published)


class LocalLimits:
    """The state machine of the loose limits, which exchanges demands by gossip on the members' heartbeats.

    Arguments:
        quota: the configuration.
        now: time of the start, in microseconds on the boot clock.
    """

    def __init__(self, quota: QuotaConfig, now: int) -> None:
        self.quota = quota
        self.allocations = {limit.name: LocalAllocation(limit) for limit in quota.loose_limits}
        self.joined_at: int | None = None  # when this node first ran without isolation
        self.max_report_age = 0  # greatest age of the latest report of a member in contact
        self.view = PartitionView(now, 1, 1)
        self.recent_views: deque[PartitionView] = deque()  # kept while the views of two sides may differ
        self.connected: list[int] = []  # ids of the other living members
        self.unconfirmed: list[int] = []  # ids of heartbeat neighbours without recent two-way contact

    def reduce(self, now: int, event: tuple[Any, ...]) -> list[LimitAllowance]:
        """Handle an input of inputs.py and ignore any other; return the effects."""
        match event:
            case UsageReported(limit, in_use, demand):
                self.on_usage(limit, in_use, demand)
            case QuotaConfigChanged(quota):
                return self.on_config(quota)
        return []

    def on_member_tick(self, now: int, member: Member) -> list[LimitAllowance]:
        """Publish the demand and compute the allocations at each tick of the member; return the effects."""
        self.update_view(now, member)
        counters = [(each.id, each.in_use, each.demand) for each in self.allocations.values()]
        member.publish(now, GossipTopic.QUOTA, counters)
        effects: list[LimitAllowance] = []
        for allocation in self.allocations.values():
            publications = IN_USE_PUBLICATIONS if allocation.limit.per == "in_hand" else 1
            allocation.publish(now, publications * self.max_report_age)
            allocation.amount = self.share(now, member, allocation)
            effects += self._allowances(now, allocation)
        return effects

    def on_usage(self, limit: str, in_use: int, demand: int) -> None:
        """Record the usage and demand of a limit, including its floor."""
        allocation = self.allocations.get(limit)
        if allocation is not None:
            allocation.in_use = in_use
            allocation.demand = max(in_use, demand)

    def on_config(self, quota: QuotaConfig) -> list[LimitAllowance]:
        """Replace the configuration; new limits start at their floor, removed ones are emitted as removed."""
        self.quota = quota
        return reconcile(self.allocations, quota.loose_limits, LocalAllocation)

    def _allowances(self, now: int, allocation: LocalAllocation) -> Iterable[LimitAllowance]:
        """Yield the allowance if it has changed or has to be renewed."""
        amount = allocation.amount
        if amount == allocation.last_emitted and now - allocation.last_emitted_at < RENEWAL_INTERVAL_US:
            return
        allocation.last_emitted = amount
        allocation.last_emitted_at = now
        floor = min(amount, allocation.limit.floor)
        until = now + ALLOWANCE_DURATION_US
        yield LimitAllowance(allocation.limit.name, floor, amount - floor, until)

    # ---- the view of the fleet

    def update_view(self, now: int, member: Member) -> None:
        """Classify the members by contact, and compute the fraction of the fleet on this side."""
        self.max_report_age = freshness_bound(member.config, len(member.known_members), member.loss)
        failed = self._sort_members(now, member)
        if member.isolated or member.is_resuming:
            # What this node knows of the others is outdated, so this node counts as a side of its own.
            failed += len(self.connected) + len(self.unconfirmed)
            self.connected = []
            self.unconfirmed = []
        elif self.joined_at is None:
            self.joined_at = now
        seen = 1 + len(self.connected) + len(self.unconfirmed)
        # While two sides merge, both may count the same member. Until all members have the same view, the
        # least fraction that was seen lately counts.
        self.recent_views.append(PartitionView(now, seen, seen + failed))
        oldest = now - self.max_report_age - member.config.recovery_time
        while self.recent_views[0].observed_at < oldest:
            self.recent_views.popleft()
        self.view = min(self.recent_views, key=lambda view: view.fraction)

    def _sort_members(self, now: int, member: Member) -> int:
        """Set `connected` and `unconfirmed`; return the number of failed members.

        A living member that exchanges no heartbeats with this node directly counts as connected.
        """
        self.connected = []
        self.unconfirmed = []
        failed = 0
        reachable = member.graph.get(member.own_id, ())
        for member_id, known in member.known_members.items():
            if member_id == member.own_id or known.state == MemberState.LEFT:
                continue
            if known.state == MemberState.FAILED:
                failed += 1
            elif member_id in reachable and (
                member_id not in member.links or member.view_age(now, member_id) > self.max_report_age
            ):
                self.unconfirmed.append(member_id)
            else:
                self.connected.append(member_id)
        return failed

    # ---- the allocation

    def share(self, now: int, member: Member, allocation: LocalAllocation) -> int:
        """Return the amount of a limit that this node may use."""
        limit = allocation.limit
        if self.joined_at is None or now - self.joined_at < self.max_report_age:
            return limit.floor  # the others may not know of this node yet
        allowance = self.quota.partition_allowance(limit, self.view.seen, self.view.known)
        demands = {member.own_id: allocation.settled_demand()}
        demands |= dict.fromkeys(self.unconfirmed, allowance)
        in_use: dict[int, int] = {}
        for member_id, used, demand in self.received_demands(member, allocation):
            demands[member_id] = demand
            in_use[member_id] = used
        shares = max_min_shares(allowance, demands)
        share = shares[member.own_id]
        # A member whose share was reduced keeps its calls in progress. The calls beyond its share are
        # subtracted from the allowance, and the rest is divided again.
        excess = 0
        if limit.per == "in_hand":
            excess = sum(max(0, used - shares[member_id]) for member_id, used in in_use.items())
        if excess:
            return max_min_shares(allowance - excess, demands)[member.own_id]
        demanded = sum(demands.values())
        if demanded < allowance:
            # All demand is met. What remains is divided evenly, so that a node whose demand suddenly rises
            # can use a part of it at once.
            share += (allowance - demanded) // (1 + len(self.connected) + len(self.unconfirmed))
        return share

    def received_demands(self, member: Member, allocation: LocalAllocation) -> Iterable[tuple[int, int, int]]:
        """Yield (id of a member, its usage, its demand) of a limit for each member in contact."""
        for member_id in self.connected:
            published = member.gossip.received.get((member_id, GossipTopic.QUOTA))
            if published is None:
                continue
            for limit_id, in_use, demand in published.entry.counters:
                if limit_id == allocation.id:
                    yield member_id, in_use, demand

    # ---- status

    def status(self, now: int) -> list[dict[str, Any]]:
        """Return the status that operators see; docs/operate/quota.md explains the keys."""
        return [self._limit_status(allocation) for allocation in self.allocations.values()]

    def _limit_status(self, allocation: LocalAllocation) -> dict[str, Any]:
        limit = allocation.limit
        return {
            "name": limit.name,
            "limit": limit.amount,
            "mode": "loose",
            "mine": allocation.amount,
            "used": allocation.in_use,
            "wants": allocation.demand,
            "granted": allocation.amount,
            "term": 0,
            "leader": "",
            "stale_ms": self.max_report_age // MS,
            "left_ms": ALLOWANCE_DURATION_US // MS,
            "seen": self.view.seen,
            "known": self.view.known,
            "over_at_most": self.quota.loose_overshoot_bound(limit, self.view.known),
        }
