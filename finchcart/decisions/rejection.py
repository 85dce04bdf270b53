"""What a rejection advises: when to come back, and whether to try another node.

Owns no state. It must never decide whether an RPC is rejected. See "Departures, and when they act" in
docs/design.md. Times are microseconds.
"""

from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.units import MS

INFEASIBLE_PART = 0.4  # an RPC that misses its objective at this part of its service time fits on no node
FULL_FLEET_RETRY_RATIO = 0.1  # a retry ratio above it shows that the fleet is full, not this node alone
FULL_FLEET_PROBABILITY = 0.6  # an admission probability below it shows it where retries carry no mark
MIN_ADVISED_WAIT = 50 * MS  # shorter waits are not worth advice
MIN_REUSE_FOR_ADVICE = 0.6  # advice reaches callers where the caller reuse ratio is above it


class RejectionAdvice:
    """The advice that goes with rejections."""

    def __init__(self, settings: NodeSettings, state: NodeState) -> None:
        """Advise by this state."""
        self._settings = settings
        self._arrivals = state.arrivals
        self._callers = state.callers
        self._shutdown = state.shutdown

    def do_not_retry(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether to ask the caller not to try another node either.

        True only of an RPC that fits on no node, lest a full fleet read the same RPCs for ever.
        """
        if rpc.expected_service_time * INFEASIBLE_PART > rpc.objective_at - now:
            return True
        return self._shutdown.termination_deadline is None and self._is_fleet_full(rpc)

    def retry_after(self, expected_wait: float) -> int:
        """Return when to come back, in microseconds from now (0: no advice).

        Advice keeps a caller away from this node; where callers seldom return it only delays the client.
        """
        is_heeded = self._callers.ratio > MIN_REUSE_FOR_ADVICE
        if expected_wait > MIN_ADVISED_WAIT and is_heeded:
            return int(min(self._settings.retry_after_max_us, expected_wait))
        return 0

    def _is_fleet_full(self, rpc: RpcHandle) -> bool:
        probability = rpc.method.admission_probability
        if self._settings.marks_retries:
            return probability < 1 and self._arrivals.retry_ratio > FULL_FLEET_RETRY_RATIO
        return probability < FULL_FLEET_PROBABILITY
