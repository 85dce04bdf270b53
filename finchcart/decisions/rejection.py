"""Advice in rejections: when to retry on this node, and whether to retry on another node.

This module has no state. It must not decide whether an RPC is rejected. See "Departures, and when they act"
in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.units import MS

# If this fraction of an RPC's expected service time exceeds the time left, no node can serve the RPC in time.
INFEASIBLE_FRACTION = 0.4
FULL_FLEET_RETRY_RATIO = 0.1  # a higher ratio of retries shows that the whole fleet is full
FULL_FLEET_PROBABILITY = 0.6  # if retries are not marked, a lower admission probability shows a full fleet
MIN_ADVISED_WAIT = 50 * MS  # no advice is given for a shorter wait
MIN_REUSE_FOR_ADVICE = 0.6  # advice is given only above this caller reuse ratio


class RejectionAdvice:
    """Advice that is sent with rejections."""

    def __init__(self, settings: NodeSettings, state: NodeState) -> None:
        """Derive advice from this state."""
        self._settings = settings
        self._arrivals = state.arrivals
        self._callers = state.callers
        self._shutdown = state.shutdown

    def do_not_retry(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether to ask the caller not to retry on another node either.

        This is true only for an RPC that no node can serve, as otherwise a full fleet would read the same
        RPCs again and again.
        """
        if rpc.expected_service_time * INFEASIBLE_FRACTION > rpc.objective_at - now:
            return True
        return self._shutdown.termination_deadline is None and self._is_fleet_full(rpc)

    def retry_after(self, expected_wait: float) -> int:
        """Return after how many microseconds to retry on this node (0: no advice).

        Advice keeps a caller from retrying on this node too early. Where callers seldom return to the node,
        advice would only delay the client.
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
