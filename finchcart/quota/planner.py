"""A planner: takes part in the election of the leader and, while it leads, allocates the strict limits.

Owns the messages of election and allocator: reads them, hands them on, sends the replies. It must never
decide on a vote (acceptor.py, leader_election.py) or on an amount (allocator.py). Nothing is kept on a disk:
a planner that starts is quiet until any lease that an earlier process at its address may have granted has
expired.

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
    """A planner's state machine; see `MessageEndpoint` for its inputs, and `QuotaConfigChanged`.

    Arguments:
        address: its own, as the configuration names it.
        fleet: the name of the fleet.
        quota: the configuration.
        random: of this process alone.
        now: microseconds on the boot clock.
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
        """Step down once the own lease is over."""
        if self.election.has_expired(self.now):
            self.step_down("its lease has expired")

    def on_tick(self) -> None:
        """Stand for election or renew the lease; while it leads, drop what has expired."""
        was_leader = self.election.is_leader
        self.election.on_tick(self.now)
        self._after_election_step(was_leader)
        if was_leader:
            self.allocator.expire(self.now)

    def on_input(self, event: CommonInput | QuotaConfigChanged) -> None:
        """Take a new configuration."""
        match event:
            case QuotaConfigChanged(quota):
                self.quota = quota
                self.election.set_config(quota)
                self.allocator.set_config(quota)

    def on_message(self, address: HostPort, message: QuotaMessage) -> None:
        """Act on a message of a planner, a lease holder or the command line."""
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
                "leadership won: allocates", term=self.election.term, wait_ms=self.quota.takeover_wait // MS
            )

    def step_down(self, reason: str) -> None:
        """Give up leadership, and log why."""
        self.log("leadership lost: allocates no longer", term=self.election.term, why=reason)
        self.election.step_down(self.now)
        self.allocator.end_term()

    # ---- lease holders

    def on_request(self, address: HostPort, request: LeaseRequest) -> None:
        """Grant a holder its leases, or redirect it to the planner that leads."""
        latest_term = max((line.term for line in request.limits), default=0)
        self.election.observe_term(latest_term)
        if self.election.is_leader and latest_term > self.election.term:
            self.step_down("a holder knows a later term")
        if not self.election.is_leader:
            leader = self.election.leader(self.now)
            self.send(address, Redirect(request.session, request.sequence, leader))
            return
        leases = self._renew_all(request)
        self.send(address, LeaseGrant(self.election.term, request.session, request.sequence, leases))

    def _renew_all(self, request: LeaseRequest) -> list[LimitLease]:
        holder = self.allocator.register(self.now, request)
        lines = {line.limit: line for line in request.limits}
        leases = []
        for limit in self.quota.strict_limits:
            line = lines.get(limit.name)
            if line is None:
                self.count(f"a holder knows no limit {limit.name}")
                continue
            lease = self.allocator.renew(self.now, limit, holder, request, line)
            if lease is not None:
                leases.append(lease)
        return leases

    # ---- status

    def status(self) -> dict[str, Any]:
        """Return what operators see; the keys are those of docs/operate/quota.md."""
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
