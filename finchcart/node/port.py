"""The implementation of `finchcart.decisions.port.Port` in a node, by which the decision module acts.

Each method takes effect immediately, so the effects are in the order of the calls. `CorePort` must never make
decisions of its own, and keeps no state but the shed level that is published.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Defer, Log
from finchcart.node.idempotency import entry_of
from finchcart.node.inputs import CallNotMade, RunNotStarted
from finchcart.node.registration import Registration
from finchcart.node.rpc import AwaitedCall, FinalOutcome, NodeRpc
from finchcart.node.rpc_lifecycle import RpcLifecycle
from finchcart.node.store import StoreClient
from finchcart.node.worker_pool.client import WorkerPoolClient

if TYPE_CHECKING:
    from finchcart.node.frontend import Frontend
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import LimiterSet


class CorePort:
    """The port of one node; see `finchcart.decisions.port.Port`. Times are whole microseconds."""

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        lifecycle: RpcLifecycle,
        pool: WorkerPoolClient,
        store: StoreClient,
        registration: Registration,
        frontends: "Mapping[str, Frontend]",
        limiters: "LimiterSet | None",
        key_leases: "KeyLeaseGate | None",
    ) -> None:
        self.effect_buffer = effect_buffer
        self.lifecycle = lifecycle
        self.rpcs = lifecycle.rpcs
        self.pool = pool
        self.store = store
        self.registration = registration
        self.frontends = frontends
        self.limiters = limiters
        self.key_leases = key_leases
        self.shed_level: float | None = None  # sent with all answers; None: not set yet

    # ---- Runs

    def run(self, index: int) -> None:
        """Start the run of a queued RPC, unless its key lease has expired."""
        rpc = self.rpcs[index]
        rpc.started = True
        if self.key_leases and not self.key_leases.may_run(index):
            self.effect_buffer.emit(Defer(RunNotStarted(index)))
            return
        if rpc.key_entry:
            rpc.key_entry.ran = True
        self.pool.run(rpc, self.lifecycle.methods[rpc.method].is_idempotent)

    def stop(self, index: int) -> None:
        """Raise an error, as this worker pool can't stop runs; supported_settings.py disables stopping."""
        raise NotImplementedError("this worker pool can't stop runs")

    # ---- Final answers

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Send the final answer that the RPC never ran here, and count the rejection by its reason."""
        self.effect_buffer.statistics.count(f"rejections: {reason.value}")
        rpc = self.rpcs[index]
        self.lifecycle.answer(rpc, FinalOutcome.REJECTED, b"", retry_after, do_not_retry)

    def fail(self, index: int) -> None:
        """Send the final answer that the RPC failed, and abandon its call."""
        rpc = self.rpcs[index]
        self.store.drop(rpc)
        self.lifecycle.answer(rpc, FinalOutcome.FAILED)

    # ---- Calls

    def call(self, index: int, timeout: int) -> None:
        """Make the call that a run awaits, if the store has an address and the fleet limits allow it."""
        rpc = self.rpcs[index]
        if self.store.address is None:
            self.effect_buffer.emit(Defer(CallNotMade(index)))
        elif self.limiters:
            self._call_within_limits(self.limiters, rpc, timeout)
        else:
            self.store.call(rpc, timeout, _awaited_call(rpc).body)

    def _call_within_limits(self, limiters: "LimiterSet", rpc: NodeRpc, timeout_us: int) -> None:
        permit = limiters.acquire_call(self.store)
        if permit is None:
            # Deferred, because the decision module can't handle an input before its call of the port returns.
            self.effect_buffer.emit(Defer(CallNotMade(rpc.index)))
            return
        limit_us = permit.time_limit_us
        rpc.call_timeout_capped = limit_us is not None and limit_us < timeout_us and not limiters.probing
        if limit_us is not None:
            timeout_us = min(timeout_us, limit_us)
        self.store.call(rpc, timeout_us, _awaited_call(rpc).body, permit.leased, permit.write_by)

    def degrade(self, index: int) -> None:
        """Tell a run to continue without the call that it awaits, for a degraded answer."""
        rpc = self.rpcs[index]
        cursor = _awaited_call(rpc).cursor
        rpc.awaited_call = None
        self.pool.degrade(rpc, cursor)

    # ---- Idempotency keys

    def answer_duplicate(self, index: int) -> None:
        """Answer a duplicate with the result of the first RPC of its key, once that result is known."""
        rpc = self.rpcs[index]
        rpc.joined_at = self.effect_buffer.now
        self.lifecycle.idempotency.join_in_flight(rpc)

    def store_key(self, index: int, ttl: int) -> None:
        """Keep the idempotency key of an RPC, so that duplicates are recognized."""
        rpc = self.rpcs[index]
        # The time to live starts at the arrival of the RPC that ran. After a step of the wall clock the
        # arrival time is uncertain, and a key that expired too early would let an effect happen twice, so the
        # time to live is extended by the uncertainty.
        self.lifecycle.idempotency.store(rpc, ttl + rpc.arrival_uncertainty_us)

    def evict_key(self, index: int) -> None:
        """Remove the idempotency key of an RPC."""
        self.lifecycle.idempotency.evict(entry_of(self.rpcs[index]))

    # ---- Published values

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set the health that health checks and the registry receive from now on."""
        self.registration.set_health(healthy)
        for frontend in self.frontends.values():
            frontend.set_health(healthy)

    def set_shed_level(self, level: float) -> None:
        """Send the shed level with all answers from now on."""
        self.shed_level = level

    def set_credit(self, credit: float) -> None:
        """Raise an error, as answers can't carry a credit; supported_settings.py disables credits."""
        raise NotImplementedError("answers to dispatchers can't carry a credit")

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""
        for frontend in self.frontends.values():
            frontend.set_idle_timeout(timeout)

    # ---- Timers, log lines and the release of RPCs

    def set_timer(self, delay: int) -> None:
        """Call `on_timer` of the decision module with the gauges after `delay` microseconds."""
        self.effect_buffer.schedule(self.effect_buffer.now + delay, self.pool.request_gauges)

    def log(self, text: str) -> None:
        """Write a log line for the operators."""
        self.effect_buffer.emit(Log(text))

    def release(self, index: int) -> None:
        """Forget the RPC; the decision module does not use this index again."""
        self.lifecycle.release(index)


def _awaited_call(rpc: NodeRpc) -> AwaitedCall:
    """Return the call that the run of an RPC awaits."""
    assert rpc.awaited_call is not None, f"the run of RPC {rpc.index} awaits no call"
    return rpc.awaited_call
