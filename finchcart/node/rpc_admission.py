"""Prepares each RPC that a frontend hands over, and passes it to the decision module's `admit`.

The preparation detects duplicates by idempotency key, waits for a key lease where one is required, and adds
the fleet's quota for the RPC. This module must never decide about an RPC: the decision module does.
"""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from finchcart.decisions.arrival import FleetQuota, RpcArrival
from finchcart.errors import InvalidRpcError
from finchcart.node.controller_interface import Controller
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.fleet import FleetView
from finchcart.node.idempotency import IdempotencyCache, digest_of
from finchcart.node.inputs import KeyLeaseOutcome
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import FinalOutcome, NodeRpc, RpcAttributes
from finchcart.node.rpc_lifecycle import RpcLifecycle

if TYPE_CHECKING:  # at run time, these modules are imported only if they are configured
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import RpcLimiter

KEY_LEASE_MARGIN_US = 200_000  # the wait for a key lease ends this long before the RPC's deadline
NO_MAJORITY_RETRY_AFTER_US = 200_000
UNKNOWN_INDEX = -1  # stands for the first RPC of a key if that RPC is no longer open


class RpcAdmission:
    """Accepts RPCs from frontends and passes them to the decision module. Times are whole microseconds."""

    controller: Controller  # set by `start`

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        methods: Mapping[str, MethodInfo],
        idempotency: IdempotencyCache,
        fleet: FleetView,
        lifecycle: RpcLifecycle,
        key_leases: "KeyLeaseGate | None",
    ) -> None:
        self.effect_buffer = effect_buffer
        self._methods = methods
        self._idempotency = idempotency
        self._fleet = fleet
        self._lifecycle = lifecycle
        self._key_leases = key_leases

    def start(self, controller: Controller) -> None:
        """Set the decision module; frontends call `accept` only after this."""
        self.controller = controller

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Take over an RPC that was read completely, see `FrontendHost.accept`."""
        key = attributes.idempotency_key
        rpc.arrival_uncertainty_us = attributes.arrival_uncertainty_us
        lifecycle = self._lifecycle
        if rpc.name in lifecycle.index_by_name:
            raise InvalidRpcError(f"name {rpc.name!r}: in use by an open RPC")
        if key is None:
            lifecycle.open(rpc)
            self._admit(rpc, attributes)
            return
        digest = digest_of(rpc.body)
        if self._idempotency.is_payload_mismatch((rpc.method, key), digest):
            # An RPC with another body is no retry, and must not get the result of the earlier RPC.
            raise InvalidRpcError("body: not that of the other tries with this key")
        lifecycle.open(rpc)
        rpc.key_entry, is_duplicate = self._idempotency.entry_for(
            (rpc.method, key), rpc.index, digest, attributes.arrived_at
        )
        if is_duplicate:
            first = rpc.key_entry.index
            self._admit(rpc, attributes, duplicate_of=first if first in lifecycle.rpcs else UNKNOWN_INDEX)
        elif self._key_leases:
            due = attributes.arrived_at + self._methods[rpc.method].deadline_us - KEY_LEASE_MARGIN_US
            now = self.effect_buffer.now
            self._key_leases.request(rpc, key, attributes, max(now, due), self.key_lease_resolved)
        else:
            self._admit(rpc, attributes)

    def key_lease_resolved(
        self, rpc: NodeRpc, attributes: RpcAttributes, outcome: KeyLeaseOutcome, result: bytes
    ) -> None:
        """Handle the outcome of a key lease request: admit, reject or answer the RPC."""
        lifecycle = self._lifecycle
        if outcome is KeyLeaseOutcome.GRANTED:
            self._admit(rpc, attributes)
        elif outcome is KeyLeaseOutcome.NO_MAJORITY and rpc.response_pending:
            # The RPC never ran, so an empty quota makes the decision module reject it with a retry delay.
            self._admit(rpc, attributes, quota=FleetQuota(0, 0, NO_MAJORITY_RETRY_AFTER_US))
        else:
            rpc.completed = True
            rpc.body = b""
            if outcome is KeyLeaseOutcome.ENDED:
                lifecycle.answer(rpc, FinalOutcome.OK, result)
            else:
                lifecycle.answer(rpc, FinalOutcome.FAILED)
            lifecycle.release(rpc.index)

    def _admit(
        self,
        rpc: NodeRpc,
        attributes: RpcAttributes,
        duplicate_of: int | None = None,
        quota: FleetQuota | None = None,
    ) -> None:
        """Pass an RPC to the decision module; `quota`, if given, overrides the fleet's quota."""
        now = self.effect_buffer.now
        limiters: Sequence[RpcLimiter] = ()
        if self._fleet.limits_rpcs and duplicate_of is None:
            fleet_quota, limiters = self._fleet.quota_for(rpc.method, attributes)
            quota = quota or fleet_quota
        arrival = RpcArrival(
            rpc.method,
            attributes.memory_kb,
            attributes.caller,
            attributes.expires_at,
            waited=now - attributes.arrived_at,
            shed_rank=attributes.shed_rank,
            service_time_hint=attributes.service_time_hint_us,
            is_retry=attributes.is_retry,
            duplicate_of=duplicate_of,
            quota=quota,
        )
        rpc.handle = self.controller.admit(now, rpc.index, arrival)
        if rpc.response_pending:
            for limiter in limiters:
                limiter.try_acquire(rpc)
