"""The lease holder of a node: requests leases of the strict limits and tracks when each lease expires.

The module owns the leases that this process holds. It must not count calls: the node reports its usage and
demand, and the lease holder emits what the node may use as `LimitAllowance`.

The holder counts the duration of a lease from before its request (see finchcart/fleet/leases.py). A lease of
less than what is in use limits new calls immediately. Until enough calls in progress have ended, the holder
reports the greater amount that they use.

Bounds: one lease for each strict limit and `MAX_PENDING_REQUESTS` pending requests.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from finchcart.fleet.codec import HostPort, parse_address
from finchcart.fleet.inputs import CommonInput, Leave
from finchcart.fleet.message_endpoint import MessageEndpoint, MessageRejectedError
from finchcart.fleet.units import MS
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.held_lease import Allowance, HeldLease, LeaseId, PendingRequest
from finchcart.quota.inputs import QuotaConfigChanged, UsageReported
from finchcart.quota.limit_table import reconcile
from finchcart.quota.limits import QuotaConfig
from finchcart.quota.messages import (
    CODEC,
    LeaseGrant,
    LeaseRequest,
    LimitLease,
    QuotaMessage,
    QuotaStatusRequest,
    QuotaStatusResponse,
    Redirect,
)

MAX_PENDING_REQUESTS = 8  # answers are accepted only to this many of the newest requests
MIN_REQUEST_INTERVAL_US = 100 * MS
MAX_UNANSWERED_INTERVALS = 2  # request intervals without an answer before the next planner gets the requests


def _no_local_limits(now: int) -> list[dict[str, Any]]:
    return []


class LeaseHolder(MessageEndpoint[QuotaMessage, UsageReported | QuotaConfigChanged]):
    """The state machine of the lease holder; see `MessageEndpoint` and inputs.py for its inputs.

    Arguments:
        name: the name of this node.
        fleet: the name of the fleet.
        quota: the configuration.
        random: the random generator, seeded differently in each process.
        now: time of the start, in microseconds on the boot clock.

    Attributes:
        local_status: returns the status of the loose limits, see `LocalLimits.status`.
    """

    codec = CODEC

    def __init__(self, name: str, fleet: str, quota: QuotaConfig, random: Random, now: int) -> None:
        super().__init__(fleet, now)
        self.name = name
        self.quota = quota
        self.random = random
        self.session = random.getrandbits(64)
        self.planners = [parse_address(address) for address in quota.planners]
        # Index in `planners` of the planner to which this holder sends its requests.
        self.planner_index = random.randrange(max(1, len(self.planners)))
        self.sequence = 0
        self.pending: dict[int, PendingRequest] = {}  # by the sequence of the request
        self.next_request_at = now
        self.last_request_at = now
        self.answered_at = now
        self.held = {limit.name: HeldLease(limit) for limit in quota.strict_limits}
        self.local_status: Callable[[int], list[dict[str, Any]]] = _no_local_limits
        self.is_leaving = False

    # ---- inputs

    def on_tick(self) -> None:
        """Emit the allowances of leases that have expired, and request leases once in each interval."""
        for held in self.held.values():
            self.update_allowance(held)
        if self.held and self.now >= self.next_request_at and not self.ended:
            self._request()

    def on_input(self, event: CommonInput | UsageReported | QuotaConfigChanged) -> None:
        """Handle an input of the node."""
        match event:
            case UsageReported():
                self.on_usage(event)
            case QuotaConfigChanged(quota):
                self.on_config(quota)
            case Leave():
                self.is_leaving = True
                self.next_request_at = self.now

    def on_message(self, address: HostPort, message: QuotaMessage) -> None:
        """Handle a planner's answer, or answer the status request of the command line."""
        match message:
            case LeaseGrant():
                self.on_grant(message)
            case Redirect():
                self.on_redirect(message)
            case QuotaStatusRequest():
                self.send(address, QuotaStatusResponse(message.number, self.status()))
            case _:
                raise MessageRejectedError("not for a holder")

    def on_usage(self, usage: UsageReported) -> None:
        """Record the usage and demand of a limit beyond its floor.

        The next request is sent early if the demand rises above the lease or usage beyond the lease ends.
        """
        held = self.held.get(usage.limit)
        if held is None:
            return
        has_jumped = usage.demand > held.amount and usage.demand > held.demand
        has_released = held.in_use > held.amount >= usage.in_use
        held.in_use = usage.in_use
        held.demand = usage.demand
        held.priority_demand = usage.priority_demand
        if has_jumped or has_released:
            self._request_soon()

    def on_config(self, quota: QuotaConfig) -> None:
        """Replace the configuration; new limits start at their floor, removed ones are emitted as removed."""
        self.effects += reconcile(self.held, quota.strict_limits, HeldLease)
        self.quota = quota

    def on_shutdown(self) -> None:
        """Release all leases; after this, the holder accepts no answer to any request."""
        self.is_leaving = True
        for held in self.held.values():
            held.release()
            self.update_allowance(held)
        self.pending.clear()
        if self.held:
            self._request()
        self.pending.clear()
        self.ended = True

    # ---- requests

    def _request(self) -> None:
        if (
            self.pending
            and self.now - self.answered_at > MAX_UNANSWERED_INTERVALS * self.quota.request_interval
        ):
            self.planner_index = (self.planner_index + 1) % len(self.planners)
        self.sequence += 1
        held_now = {name: held.id for name, held in self.held.items()}
        self.pending[self.sequence] = PendingRequest(self.now, held_now)
        while len(self.pending) > MAX_PENDING_REQUESTS:
            del self.pending[min(self.pending)]
        self.last_request_at = self.now
        self.next_request_at = self.now + self.quota.request_interval
        request = LeaseRequest(
            node=self.name,
            session=self.session,
            sequence=self.sequence,
            oldest_sequence=min(self.pending),
            is_leaving=self.is_leaving,
            limits=[held.report(self.now) for held in self.held.values()],
        )
        self.send(self.planners[self.planner_index], request)

    def _request_soon(self) -> None:
        soon = max(self.now, self.last_request_at + MIN_REQUEST_INTERVAL_US)
        self.next_request_at = min(self.next_request_at, soon)

    def on_redirect(self, redirect: Redirect) -> None:
        """Send the next requests to the leading planner, or to the next planner if no leader is known."""
        if redirect.session != self.session or redirect.sequence != self.sequence:
            return
        planners = list(self.quota.planners)
        if redirect.leader in planners:
            leader = planners.index(redirect.leader)
        else:
            leader = (self.planner_index + 1) % len(planners)
        if leader != self.planner_index:
            self.planner_index = leader
            self.answered_at = self.now
            self.next_request_at = min(self.next_request_at, self.now + MIN_REQUEST_INTERVAL_US)

    # ---- grants

    def on_grant(self, grant: LeaseGrant) -> None:
        """Accept each lease of an answer that may replace the held lease of its limit."""
        if grant.session != self.session:
            raise MessageRejectedError("of another process")
        request = self.pending.get(grant.sequence)
        if request is None:
            raise MessageRejectedError("not requested any more")
        self.answered_at = self.now
        for lease in grant.leases:
            reason = self._rejection_reason(LeaseId(grant.term, lease.number), lease, request)
            if reason:
                self.count(reason)
            else:
                self._accept_lease(LeaseId(grant.term, lease.number), lease, request)

    def _rejection_reason(self, lease_id: LeaseId, lease: LimitLease, request: PendingRequest) -> str | None:
        """Return why a granted lease is rejected, or None if it is accepted."""
        held = self.held.get(lease.limit)
        if held is None:
            return "of an unknown limit"
        return held.rejection_reason(self.now, lease_id, lease, request)

    def _accept_lease(self, lease_id: LeaseId, lease: LimitLease, request: PendingRequest) -> None:
        held = self.held[lease.limit]
        if lease_id.term > held.id.term:
            self.log(
                f"limit {lease.limit}: first lease from the leader of term {lease_id.term}",
                limit=lease.limit,
                term=lease_id.term,
            )
        held.replace(lease_id, lease, request.sent_at)
        if held.last_emitted is not None and held.amount < held.last_emitted.amount:
            # The report of the smaller lease lets the planner grant the difference to another holder.
            self._request_soon()
        self.update_allowance(held)

    def update_allowance(self, held: HeldLease) -> None:
        """Emit what the node may use of a limit, if that has changed."""
        if not held.is_active(self.now):
            held.amount = 0
        allowance = Allowance(held.limit.floor, held.amount, held.expires_at)
        if allowance != held.last_emitted:
            held.last_emitted = allowance
            self.effects.append(LimitAllowance(held.limit.name, *allowance))
        is_at_floor = not held.is_active(self.now)
        if is_at_floor != held.is_at_floor:
            held.is_at_floor = is_at_floor
            self._log_state(held)

    def _log_state(self, held: HeldLease) -> None:
        name = held.limit.name
        self.log(
            f"limit {name}: {'no lease, limited to the floor' if held.is_at_floor else 'lease granted'}",
            limit=name,
            fallen=held.is_at_floor,
            floor=held.limit.floor,
            amount=held.amount,
        )

    # ---- status

    def status(self) -> dict[str, Any]:
        """Return the status that operators see; docs/operate/quota.md explains the keys."""
        return {
            "name": self.name,
            "limits": [self._limit_status(held) for held in self.held.values()] + self.local_status(self.now),
            "counts": self.counts,
        }

    def _limit_status(self, held: HeldLease) -> dict[str, Any]:
        is_active = held.is_active(self.now)
        return {
            "name": held.limit.name,
            "limit": held.fleet_amount,
            "mode": "strict",
            "mine": held.limit.floor + held.active_amount(self.now),
            "used": held.in_use,
            "wants": held.demand,
            "granted": held.amount,
            "term": held.id.term,
            "leader": self.quota.planners[self.planner_index],
            "stale_ms": (self.now - held.requested_at) // MS if is_active else None,
            "left_ms": max(0, held.expires_at - self.now) // MS,
            "over_at_most": self.quota.strict_overshoot_bound(0),
            "over_at_most_a_stopped_process": self.quota.strict_overshoot_bound(1),
        }
