"""The fleet as the core of a node sees it: the allowances, the consensus and the members.

`FleetView` connects the core with the limiters and the observer, each of which may be absent. It must never
decide about an RPC: the decision module does, by the quota and the gauges that `FleetView` supplies.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from finchcart.decisions.arrival import FleetQuota
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import PublishEvidence, PublishUsage
from finchcart.node.inputs import FleetMemberState
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import NodeRpc, RpcAttributes

if TYPE_CHECKING:  # at run time these modules are imported only if a fleet is configured
    from finchcart.node.limiter_set import LimiterSet, RpcLimiter
    from finchcart.node.limiters import CallsInFlight
    from finchcart.node.observer import NodeObserver

GONE_STATES = (FleetMemberState.FAILED, FleetMemberState.LEFT)


class FleetMember(NamedTuple):
    """The last reported state of a member of the fleet."""

    state: FleetMemberState
    incarnation: int


class FleetView:
    """The limiters, the observer and the members of the fleet. Times are whole microseconds.

    Bounds: at most as many members as the membership keeps; failed members and those that left are removed.
    `FleetView` keeps one host for each connection, until the connection is closed.
    """

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        methods: Mapping[str, MethodInfo],
        limiters: "LimiterSet | None" = None,
        observer: "NodeObserver | None" = None,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.methods = methods
        self.limiters = limiters
        self.observer = observer
        self.limits_rpcs = limiters is not None or observer is not None
        self.members: dict[str, FleetMember] = {}  # member by its name
        self.isolated = False
        self._hosts: dict[int, str | None] = {}  # host by connection; empty without an observer

    # ---- Inputs from the fleet

    def member_changed(self, name: str, state: FleetMemberState, incarnation: int) -> None:
        """Handle a change of the state of a member; see `FleetMemberChanged`."""
        if state in GONE_STATES:
            self.members.pop(name, None)
        else:
            self.members[name] = FleetMember(state, incarnation)

    def isolation_changed(self, isolated: bool) -> None:
        """Handle the loss or return of contact with the fleet; see `FleetIsolationChanged`."""
        self.isolated = isolated

    def allocation_granted(self, limit: str, floor: int | None, amount: int, until: int) -> None:
        """Apply an allocation; see `AllocationGranted`."""
        if self.limiters:
            self.limiters.set_allowance(limit, floor, amount, until)

    def consensus_changed(
        self,
        dependency_state: int,
        ejected: bool,
        min_shed_level: float,
        source_states: Mapping[int, int],
    ) -> None:
        """Apply the consensus of the fleet; see `ConsensusChanged`."""
        if self.observer:
            self.observer.apply_consensus(dependency_state, ejected, min_shed_level, source_states)
            if self.limiters:
                self.limiters.set_dependency_down(self.observer.dependency_down)

    # ---- Connections

    def connection_opened(self, connection: int, host: str | None) -> None:
        """Remember the host from which a connection comes."""
        if self.observer:
            self._hosts[connection] = host

    def connection_closed(self, connection: int) -> None:
        """Forget a closed connection."""
        self._hosts.pop(connection, None)

    def record_invalid_traffic(self, connection: int) -> None:
        """Record an unreadable message, or a connection that sent no RPC."""
        if self.observer:
            self.observer.record_invalid_traffic(self._hosts.get(connection))

    # ---- RPCs

    def quota_for(
        self, method: str, attributes: RpcAttributes
    ) -> "tuple[FleetQuota | None, Sequence[RpcLimiter]]":
        """Return the quota of an RPC, and the limiters that count the RPC if it is admitted.

        The quota is None if no limit applies to the RPC.
        """
        quota = None
        limiters: Sequence[RpcLimiter] = ()
        caller = attributes.caller
        if self.limiters:
            limiters = self.limiters.limiters_of(method, caller)
            quota = self.limiters.quota(limiters)
            if self.observer and quota and quota.available <= 0 and _any_limits_one_dispatcher(limiters):
                self.observer.record_over_limit(caller)
        if self.observer:
            host = None if attributes.connection is None else self._hosts.get(attributes.connection)
            source_quota = self.observer.quota_for(self.effect_buffer.now, host, caller)
            if source_quota and (quota is None or source_quota < quota):
                quota = source_quota
        return quota, limiters

    def run_ended(self, outcome: Outcome, spent_us: int) -> None:
        """Record the end of a run."""
        if self.observer:
            self.observer.run_ended(outcome, spent_us)

    def call_awaited(self) -> None:
        """Record the demand for a call that a run awaits."""
        if self.limiters and self.limiters.calls_rate:
            self.limiters.calls_rate.record_demand()

    def call_ended(self, outcome: Outcome, spent_us: int, time_cut: bool) -> None:
        """Record the end of a call; `time_cut`: see `NodeObserver.call_ended`."""
        if self.observer:
            self.observer.call_ended(outcome, spent_us, time_cut)

    # ---- The control loop

    def add_gauges(self, gauges: Gauges, calls: "CallsInFlight") -> Gauges:
        """Return the gauges with the call capacity and the consensus of the fleet added."""
        if self.limiters:
            gauges = gauges._replace(call_capacity=self.limiters.call_capacity(calls))
        if self.observer:
            gauges = gauges._replace(
                ejected=self.observer.ejected,
                min_shed_level=self.observer.min_shed_level,
                dependency_down=self.observer.dependency_down,
            )
        return gauges

    def publish_usage(self, rpcs: Iterable[NodeRpc], calls: "CallsInFlight") -> None:
        """Publish the usage and demand of the limits whose usage or demand changed."""
        if not self.limiters:
            return
        waiting = [self.methods[rpc.method].has_priority for rpc in rpcs if rpc.awaited_call is not None]
        for limit, usage in self.limiters.usage(calls, len(waiting), sum(waiting)):
            self.effect_buffer.emit(PublishUsage(limit, *usage))

    def publish_evidence(self, shed_level: float) -> None:
        """Publish the evidence since the last publication, if the next one is due."""
        if self.observer:
            evidence = self.observer.collect_evidence(self.effect_buffer.now, shed_level)
            if evidence:
                self.effect_buffer.emit(PublishEvidence(evidence))


def _any_limits_one_dispatcher(limiters: "Sequence[RpcLimiter]") -> bool:
    return any(limiter.limit.dispatcher for limiter in limiters)
