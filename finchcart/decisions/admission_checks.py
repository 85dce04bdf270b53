"""Checks that decide whether an arriving RPC is rejected, and for which reason.

This module holds the node's random number generator. The checks must not change a limit or a probability.
See "Intake: the loop" in docs/design.md. Times are microseconds.
"""

from random import Random

from finchcart.decisions.method import Method
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcHandle

QUOTA_RESERVE_DIVISOR = 20  # one twentieth of a fleet quota is reserved for each higher criticality rank
# On a free core, an RPC with a service time hint is run if its expected service time is below this fraction
# of the time left. An RPC without a hint is always run on a free core.
FREE_CORE_FRACTION = 0.8
IDLE_NODE_FRACTION = 1.2  # replaces FREE_CORE_FRACTION while less than half of the cores are in use
# Probability of running an RPC that is expected to be late: without these runs, the estimates of a slow node
# would stay high after its recovery.
EXPLORATION_PROBABILITY = 0.1


class AdmissionChecks:
    """Admission checks, in the order in which they are made.

    Invariant: random numbers are drawn in the order of the checks. One is drawn for the shed rank of an RPC
    that carries no shed rank, and one for the decision to explore.
    """

    def __init__(self, settings: NodeSettings, state: NodeState, seed: int) -> None:
        """Check RPCs against this state; `seed` initializes the random number generator."""
        self._key_entry_kb = settings.key_entry_kb
        self._can_pause = settings.can_pause
        self._random = Random(seed).random
        self._rank_count = state.methods.rank_count
        self._gauges = state.gauges
        self._table = state.table
        self._queue = state.queue
        self._runs = state.runs
        self._memory = state.memory
        self._slowdown = state.slowdown
        self._shutdown = state.shutdown
        self._deadlines = state.deadlines

    def exceeds_quota(self, rpc: RpcHandle) -> bool:
        """Return whether the fleet's quota, less the reserve for more critical methods, is exhausted."""
        quota = rpc.quota
        if quota is None:
            return False
        ranks_above = self._rank_count - 1 - rpc.method.criticality_rank
        return quota.available <= int(quota.capacity / QUOTA_RESERVE_DIVISOR * ranks_above)

    def rejection_reason(self, now: int, rpc: RpcHandle, expected_wait: float) -> RejectionReason | None:
        """Return the reason to reject an RPC that would wait `expected_wait` for a core, or None."""
        reason = self._why_not_served(now, rpc)
        if reason is not None:
            return reason
        shed_rank = None
        if self._gauges.min_shed_level:
            shed_rank = self._rank_within_criticality(rpc)
            level = self._gauges.min_shed_level * self._rank_count
            if shed_rank < level - rpc.method.criticality_rank:
                return RejectionReason.FLEET_SHED_LEVEL
        if self._has_free_core(now, rpc):
            return None
        if shed_rank is None:
            shed_rank = self._rank_within_criticality(rpc)
        if shed_rank < 1 - rpc.method.admission_probability:
            return RejectionReason.LOAD_SHED
        if self._misses_objective(now + expected_wait, rpc):
            return RejectionReason.MISSES_OBJECTIVE
        return None

    def _why_not_served(self, now: int, rpc: RpcHandle) -> RejectionReason | None:
        shutdown = self._shutdown
        if shutdown.is_past_grace or shutdown.arrived_after_grace(rpc):
            return RejectionReason.SHUTTING_DOWN
        if not self._memory.can_admit(self._key_entry_kb * rpc.method.keyed):
            return RejectionReason.MEMORY_EXHAUSTED
        if self._deadlines.must_respond(now, rpc):
            return RejectionReason.DEADLINE_TOO_NEAR
        if self._gauges.dependency_down and self._exceeds_probe_capacity(rpc.method):
            return RejectionReason.DEPENDENCY_DOWN
        return None

    def _exceeds_probe_capacity(self, method: Method) -> bool:
        """Return whether a new RPC of the method would exceed the number of allowed probe calls.

        Such an RPC would start to run and then fail, as no call could be made for it.
        """
        capacity = self._gauges.call_capacity
        if not method.needs_call or capacity is None:
            return False
        return capacity <= sum(other.method.needs_call for other in self._table.active.values()) - 1

    def _rank_within_criticality(self, rpc: RpcHandle) -> float:
        """Return the shed rank of an RPC among RPCs of the same criticality, from 0 to 1.

        The rank that an RPC carries depends on its user and is the same on all nodes; without one, the rank
        is random.
        """
        if rpc.shed_rank is None:
            return self._random()
        return rpc.shed_rank * self._rank_count - rpc.method.criticality_rank

    def _has_free_core(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether the RPC may run at once on a free core.

        A core must be free, the queue must be empty, and the run must be expected to fit in the time left.
        Whether the run fits is ignored if the RPC carries no service time hint, and at random to explore.
        """
        on_cores = self._runs.on_cores
        cores = self._runs.cores
        if on_cores >= cores or self._queue.entries:
            return False
        fraction = IDLE_NODE_FRACTION if on_cores * 2 < cores else FREE_CORE_FRACTION
        fits = rpc.expected_service_time < fraction * (rpc.objective_at - now)
        return fits or not rpc.service_time_hint or self._random() < EXPLORATION_PROBABILITY

    def _misses_objective(self, starts_at: float, rpc: RpcHandle) -> bool:
        if self._can_pause:  # service times learned from runs that were paused are too long
            return self._deadlines.misses_objective(starts_at, rpc)
        return starts_at + rpc.expected_service_time * self._slowdown.factor > rpc.objective_at
