"""Admission of an arriving RPC: it is queued, rejected, or shares the result of another RPC.

This module sets an RPC's latency objective, expected service time and priority. See "Intake: the loop" in
docs/design.md. Times are microseconds.
"""

from finchcart.decisions.admission_checks import AdmissionChecks
from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.completion import Completion
from finchcart.decisions.duplicates import Duplicates
from finchcart.decisions.expected_wait import WaitForecast
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcEvents, RpcHandle
from finchcart.decisions.run_starter import RunStarter

# A retry does not carry its age, so its objective is shortened by this factor times the retry ratio.
RETRY_OBJECTIVE_REDUCTION = 4
MAX_RETRY_OBJECTIVE_REDUCTION = 0.5  # upper bound of that reduction, as a fraction of the objective


class Admission:
    """Admission of RPCs.

    Invariant: each call of `admit` queues, rejects or fails its RPC, or has the RPC share a result.
    """

    def __init__(
        self,
        settings: NodeSettings,
        state: NodeState,
        events: RpcEvents,
        wait: WaitForecast,
        checks: AdmissionChecks,
        duplicates: Duplicates,
        completion: Completion,
        starter: RunStarter,
    ) -> None:
        """Admit RPCs to the node with this state; `events` receives the events reported on their handles."""
        self._run_factor = settings.run_memory_factor
        self._methods_by_name = state.methods.by_name
        self._events = events
        self._callers = state.callers
        self._arrivals = state.arrivals
        self._table = state.table
        self._memory = state.memory
        self._keys = state.keys
        self._queue = state.queue
        self._wait = wait
        self._checks = checks
        self._duplicates = duplicates
        self._completion = completion
        self._starter = starter

    def admit(self, now: int, index: int, arrival: RpcArrival) -> RpcHandle:
        """Queue, reject or fail an RPC that was read, or have the RPC share a result; return its handle."""
        self._callers.record(now, arrival.caller)
        method = self._methods_by_name[arrival.method]
        rpc = RpcHandle(self._events, now, index, method, arrival, self._run_factor)
        self._forecast(rpc)
        self._arrivals.record(arrival.waited, arrival.is_retry)
        self._table.add(rpc)
        self._memory.reserve(rpc.memory_kb)
        first_index = arrival.duplicate_of
        if first_index is None or not self._duplicates.answer(now, rpc, first_index):
            self._queue_or_reject(now, rpc)
        return rpc

    def _forecast(self, rpc: RpcHandle) -> None:
        method = rpc.method
        objective: float = method.latency_objective
        if rpc.is_retry:
            objective *= 1 - min(
                MAX_RETRY_OBJECTIVE_REDUCTION, RETRY_OBJECTIVE_REDUCTION * self._arrivals.retry_ratio
            )
        rpc.objective_at = min(rpc.due_at, rpc.reached_at + int(objective))
        rpc.expected_service_time = method.estimates.expected(rpc.service_time_hint)
        # Criticality is not divided by the expected work: of two methods of equal criticality, the one with
        # longer runs would starve.
        rpc.priority = (-method.criticality, rpc.objective_at - rpc.expected_service_time)

    def _queue_or_reject(self, now: int, rpc: RpcHandle) -> None:
        expected_wait = self._wait.expected_wait(rpc.priority)
        if rpc.quota is not None and self._checks.exceeds_quota(rpc):
            expected_wait = max(expected_wait, rpc.quota.retry_after)
            self._completion.reject(now, rpc, RejectionReason.QUOTA_EXHAUSTED, expected_wait)
            return
        reason = self._checks.rejection_reason(now, rpc, expected_wait)
        if reason is not None:
            self._completion.reject(now, rpc, reason, expected_wait)
            return
        if rpc.method.keyed:
            self._keys.store(now, rpc)
        self._queue.push(rpc)
        self._starter.start_queued(now)
