"""A planner: takes part in the election of the leader and, while it leads, allocates the strict limits.

The module passes messages between the network, the election and the allocator. It must not decide on a vote
(acceptor.py, leader_election.py) or on an amount (allocator.py). A planner keeps nothing on disk. After its
start it takes no part in elections until any leader lease that an earlier process at its address may have
voted for has expired. A new leader only renews leases until those of earlier terms have expired.

Bounds: those of `LeaderElection` and `Allocator`.
"""

from random import Random
from typing import Any, ClassVar

from finchcart.fleet.codec import HostPort
from finchcart.fleet.inputs import CommonInput
from finchcart.fleet.message_endpoint import MessageEndpoint, MessageRejectedError
from finchcart.fleet.units import MS
from finchcart.quota.allocator import Allocator
from finchcart.quota.inputs import QuotaConfigChanged
from finchcart.quota.leader_election import LeaderElection
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.messages import (
    CODEC,
    Accept,
    ElectionMessage,
    LeaseGrant,
    LeaseRequest,
    LimitLease,
    Prepare,
    Promise,
    Propose,
    QuotaMessage,
    QuotaStatusRequest,
    QuotaStatusResponse,
    Redirect,
    Reject,
)


class Planner(MessageEndpoint[QuotaMessage, QuotaConfigChanged]):
    """The state machine of a planner; its inputs are those of `MessageEndpoint` and `QuotaConfigChanged`.

    Arguments:
        address: the address of this planner, as the configuration names it.
        fleet: the name of the fleet.
        quota: the configuration.
        random: the random generator, seeded differently in each process.
        now: time of the start, in microseconds on the boot clock.
    """

    codec = CODEC
    election_type: ClassVar[type[LeaderElection]] = LeaderElection
    allocator_type: ClassVar[type[Allocator]] = Allocator

    def __init__(self, address: str, fleet: str, quota: QuotaConfig, random: Random, now: int) -> None:
        super().__init__(fleet, now)
        self.address = address
        self.quota = quota
        self.election = self.election_type(address, quota, random, now)
        self.allocator = self.allocator_type(quota)

    # ---- inputs

    def before_input(self) -> None:
        """Step down once this planner's leader lease has expired."""
        if self.election.has_expired(self.now):
            self.step_down("its leader lease has expired")

    def on_tick(self) -> None:
        """Start a candidacy or renew the leader lease; while this planner leads, drop expired leases."""
        was_leader = self.election.is_leader
        self.election.on_tick(self.now)
        self._after_election_step(was_leader)
        if was_leader:
            self.allocator.expire(self.now)

    def on_input(self, event: CommonInput | QuotaConfigChanged) -> None:
        """Replace the configuration."""
        match event:
            case QuotaConfigChanged(quota):
                self.quota = quota
                self.election.set_config(quota)
                self.allocator.set_config(quota)

    def on_message(self, address: HostPort, message: QuotaMessage) -> None:
        """Handle a message of a planner, a lease holder or the command line."""
        match message:
            case Prepare() | Promise() | Propose() | Accept() | Reject():
                self._on_election_message(address, message)
            case LeaseRequest():
                self.on_request(address, message)
            case QuotaStatusRequest():
                self.send(address, QuotaStatusResponse(message.number, self.status()))
            case _:
                raise MessageRejectedError("not for a planner")

    # ---- the election

    def _on_election_message(self, address: HostPort, message: ElectionMessage) -> None:
        if address not in self.election.others:
            raise MessageRejectedError("not from a planner")
        was_leader = self.election.is_leader
        self.election.on_message(self.now, address, message)
        self._after_election_step(was_leader)

    def _after_election_step(self, was_leader: bool) -> None:
        for address, message in self.election.drain():
            self.send(address, message)
        if self.election.is_leader and not was_leader:
            self.allocator.begin_term(self.election.term, self.now)
            self.log(
                "elected leader of the planners: renews leases now, grants new ones after wait_ms",
                term=self.election.term,
                wait_ms=self.quota.takeover_wait // MS,
            )

    def step_down(self, reason: str) -> None:
        """Give up leadership and log the reason."""
        self.log(
            "no longer leader of the planners: stopped granting leases", term=self.election.term, why=reason
        )
        self.election.step_down(self.now)
        self.allocator.end_term()

    # ---- lease holders

    def on_request(self, address: HostPort, request: LeaseRequest) -> None:
        """Grant leases to a holder, or redirect the holder to the leading planner."""
        latest_term = max((report.term for report in request.limits), default=0)
        self.election.observe_term(latest_term)
        if self.election.is_leader and latest_term > self.election.term:
            self.step_down("a lease holder reported a later term")
        if not self.election.is_leader:
            leader = self.election.leader(self.now)
            self.send(address, Redirect(request.session, request.sequence, leader))
            return
        leases = self._renew_all(request)
        self.send(address, LeaseGrant(self.election.term, request.session, request.sequence, leases))

    def _renew_all(self, request: LeaseRequest) -> list[LimitLease]:
        holder = self.allocator.register(self.now, request)
        reports = {report.limit: report for report in request.limits}
        leases = []
        for limit in self.quota.strict_limits:
            report = reports.get(limit.name)
            if report is None:
                self.count(f"a holder knows no limit {limit.name}")
                continue
            lease = self.allocator.renew(self.now, limit, holder, request, report)
            if lease is not None:
                leases.append(lease)
        return leases

    # ---- status

    def status(self) -> dict[str, Any]:
        """Return the status that operators see; docs/operate/quota.md explains the keys."""
        is_leader = self.election.is_leader
        return {
            "planner": self.address,
            "term": self.election.term if is_leader else 0,
            "leads": is_leader,
            "leader": self.election.leader(self.now),
            "limits": [self._limit_status(limit) for limit in self.quota.strict_limits],
            "counts": self.counts,
        }

    def _limit_status(self, limit: Limit) -> dict[str, Any]:
        return {
            "name": limit.name,
            "limit": limit.amount,
            "shared": limit.shareable(self.quota.max_processes),
            "granted": self.allocator.granted_total(limit.name),
            "holders": self.allocator.lease_count(limit.name),
        }
