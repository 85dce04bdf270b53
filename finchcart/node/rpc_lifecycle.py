"""The life of each RPC, from a frontend's hand-over until the decision module releases it.

Owns the open RPCs. It must never do I/O, know a frontend's protocol or decide about an RPC: decisions come
from the decision module through port.py.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from finchcart.decisions.arrival import FleetQuota, RpcArrival
from finchcart.decisions.outcome import Outcome
from finchcart.errors import InvalidRpcError
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.fleet import FleetView
from finchcart.node.idempotency import IdempotencyCache, NoResult, digest_of
from finchcart.node.inputs import KeyLeaseOutcome
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import AwaitedCall, FinalOutcome, NodeRpc, RpcAttributes
from finchcart.node.store import StoreClient
from finchcart.node.worker_pool import WorkerPool

if TYPE_CHECKING:
    from finchcart.decisions.controller import NodeController
    from finchcart.node.key_leases import KeyLeaseGate

KEY_LEASE_MARGIN_US = 200_000  # before an RPC is due its key lease is waited for no longer
NO_MAJORITY_RETRY_US = 200_000  # when to come back where no majority answers
UNKNOWN_INDEX = -1  # of the first RPC of a key, where that is no longer known here


class RpcLifecycle:
    """The open RPCs by index, and the indices by the worker pool's names.

    Bounds: the decision module's memory and limits; an entry ends with `release`.
    """

    def __init__(
        self,
        turn: EffectBuffer,
        methods: Mapping[str, MethodInfo],
        idempotency: IdempotencyCache,
        fleet: FleetView,
        key_leases: "KeyLeaseGate | None",
    ) -> None:
        self.turn = turn
        self.methods = methods
        self.idempotency = idempotency
        self.fleet = fleet
        self.key_leases = key_leases
        self.rpcs: dict[int, NodeRpc] = {}
        self.index_by_name: dict[str, int] = {}
        self.pool: WorkerPool | None = None
        self.store: StoreClient | None = None
        self.control: NodeController | None = None  # from the worker pool's start on
        self._next_index = 0

    def connect(self, pool: WorkerPool, store: StoreClient) -> None:
        """Where runs and calls go: both report back to this object."""
        self.pool = pool
        self.store = store

    # ---- Admission

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Takes over an RPC that was read to the end, see `FrontendHost.accept`."""
        key = attributes.idempotency_key
        rpc.arrival_uncertainty_us = attributes.arrival_uncertainty_us
        if rpc.name in self.index_by_name:
            raise InvalidRpcError(f"name {rpc.name!r}: in use by an open RPC")
        if key is None:
            self._open(rpc)
            self._admit(rpc, attributes)
            return
        digest = digest_of(rpc.body)
        if self.idempotency.is_payload_mismatch((rpc.method, key), digest):
            # Guards against a result that is shared with what is no retry of the same RPC.
            raise InvalidRpcError("body: not that of the other tries with this key")
        self._open(rpc)
        rpc.key_entry, is_duplicate = self.idempotency.entry_for(
            (rpc.method, key), rpc.index, digest, attributes.arrived_at
        )
        if is_duplicate:
            first = rpc.key_entry.index
            self._admit(rpc, attributes, duplicate_of=first if first in self.rpcs else UNKNOWN_INDEX)
        elif self.key_leases:
            due = attributes.arrived_at + self.methods[rpc.method].deadline_us - KEY_LEASE_MARGIN_US
            self.key_leases.request(rpc, attributes, max(self.turn.now, due), self.key_lease_resolved)
        else:
            self._admit(rpc, attributes)

    def _open(self, rpc: NodeRpc) -> None:
        rpc.index = self._next_index
        self._next_index += 1
        self.rpcs[rpc.index] = rpc
        self.index_by_name[rpc.name] = rpc.index

    def key_lease_resolved(
        self, rpc: NodeRpc, attributes: RpcAttributes, outcome: KeyLeaseOutcome, result: bytes
    ) -> None:
        """A request for a key lease is answered: the RPC goes to the decision module, or ended elsewhere."""
        if outcome is KeyLeaseOutcome.GRANTED:
            self._admit(rpc, attributes)
        elif outcome is KeyLeaseOutcome.NO_MAJORITY and rpc.answer_owed:
            # It never ran: rejected.
            self._admit(rpc, attributes, quota=FleetQuota(0, 0, NO_MAJORITY_RETRY_US))
        else:
            rpc.completed = True
            rpc.body = b""
            if outcome is KeyLeaseOutcome.ENDED:
                self.answer(rpc, FinalOutcome.OK, result)
            else:
                self.answer(rpc, FinalOutcome.FAILED)
            self.release(rpc.index)

    def _admit(
        self,
        rpc: NodeRpc,
        attributes: RpcAttributes,
        duplicate_of: int | None = None,
        quota: FleetQuota | None = None,
    ) -> None:
        """Hands an RPC to the decision module; `quota` goes before what the fleet leaves."""
        now = self.turn.now
        limiters = ()
        if self.fleet.limits_rpcs and duplicate_of is None:
            fleet_quota, limiters = self.fleet.quota_for(rpc.method, attributes)
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
        rpc.handle = self.control.admit(now, rpc.index, arrival)
        if rpc.answer_owed:
            for limiter in limiters:
                limiter.try_acquire(rpc)

    # ---- The answer

    def answer(
        self,
        rpc: NodeRpc,
        outcome: FinalOutcome,
        result: bytes = b"",
        retry_after_us: int = 0,
        do_not_retry: bool = False,
    ) -> None:
        """Gives the final answer, where it is still owed; see `Frontend.send_final_answer`."""
        if rpc.answer_owed:
            rpc.answer_owed = False
            self.turn.statistics.count(f"RPCs {outcome.value}")
            self.release_limits(rpc)
            rpc.frontend.send_final_answer(rpc, outcome, result, retry_after_us, do_not_retry)

    def abandon(self, rpc: NodeRpc) -> None:
        """The caller has gone: nothing is owed, and the frontend is not notified."""
        rpc.answer_owed = False
        self.turn.statistics.count("RPCs abandoned")
        self.store.drop(rpc)
        self.release_limits(rpc)
        if rpc.handle:
            rpc.handle.caller_gone(self.turn.now)
        elif self.key_leases and self.key_leases.abandon(rpc):
            self.release(rpc.index)

    def release_limits(self, rpc: NodeRpc) -> None:
        """It is counted by no limiter any more, where nothing of it runs."""
        if rpc.counted_by and not rpc.is_running:
            for limiter in rpc.counted_by:
                limiter.count -= 1
            rpc.counted_by = None

    def any_answer_owed(self) -> bool:
        """Whether a final answer is owed to anybody."""
        return any(rpc.answer_owed for rpc in self.rpcs.values())

    # ---- Runs: see RunListener

    def find_running(self, name: str) -> NodeRpc | None:
        """The RPC of that name whose run is not completed, or None."""
        rpc = self.rpcs.get(self.index_by_name.get(name))
        return rpc if rpc and rpc.started and not rpc.completed else None

    def run_ended(self, rpc: NodeRpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """A run, or the wait of a duplicate, is over: answers first, then tells the decision module."""
        succeeded = outcome is Outcome.OK
        rpc.completed = True
        rpc.awaited_call = None
        rpc.body = b""
        self.release_limits(rpc)
        self.pool.confirm(rpc)
        self.index_by_name.pop(rpc.name, None)
        if rpc.call_connection is not None:
            self.store.drop(rpc)
        if succeeded:
            self.answer(rpc, FinalOutcome.OK, result)
        elif outcome is Outcome.ERROR:
            self.answer(rpc, FinalOutcome.FAILED)
        self.fleet.run_ended(outcome, spent_us)
        if self.key_leases:
            if outcome is Outcome.NOT_STARTED:
                self.key_leases.release(rpc.index)
            else:
                self.key_leases.run_ended(rpc.index, succeeded, result)
        if rpc.key_entry and rpc.key_entry.index == rpc.index:
            self.idempotency.complete(rpc.key_entry, result if succeeded else NoResult.FAILED)
        rpc.handle.run_ended(self.turn.now, outcome, spent_us)

    def run_not_started(self, index: int) -> None:
        """A run was not commanded, as its key lease had expired: it never ran."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.is_running:
            self.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")

    def duplicate_ready(self, index: int) -> None:
        """The first RPC of a duplicate's key is completed: the duplicate gets its result."""
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.completed or rpc.joined_at is None:
            return
        result = rpc.key_entry.result
        outcome = Outcome.OK if isinstance(result, bytes) else Outcome.ERROR
        self.run_ended(rpc, outcome, self.turn.now - rpc.joined_at, result)

    def running_rpcs(self) -> list[NodeRpc]:
        """The RPCs that were started and are not completed."""
        return [rpc for rpc in self.rpcs.values() if rpc.is_running]

    def longest_run_us(self, rpc: NodeRpc) -> int:
        """How long a run that was lost sight of may go on: nobody waits for it longer than its deadline."""
        return self.methods[rpc.method].deadline_us

    def answer_before_end(self, rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        """The run is over and may have been started once more: its answer does not wait for that."""
        self.answer(rpc, FinalOutcome.OK if outcome is Outcome.OK else FinalOutcome.FAILED, result)

    def run_lost(self, rpc: NodeRpc) -> None:
        """The worker pool has lost a run: it is answered."""
        self.run_ended(rpc, Outcome.STOPPED, 0, b"")

    # ---- Calls

    def awaiting_call(self, rpc: NodeRpc, cursor: int, body: bytes) -> None:
        """A run awaits a call: the decision module has it made, or left out."""
        rpc.awaited_call = AwaitedCall(cursor, body)
        self.fleet.call_awaited()
        rpc.handle.awaiting_call(self.turn.now)

    def call_ended(self, rpc: NodeRpc, outcome: Outcome, body: bytes, spent_us: int) -> None:
        """A call is over; its run goes on with the reply."""
        if outcome is Outcome.OK and rpc.awaited_call:
            cursor = rpc.awaited_call.cursor
            rpc.awaited_call = None
            can_degrade = self.methods[rpc.method].degraded_value > 0
            self.pool.reply(rpc, cursor, body, can_degrade)
        self.fleet.call_ended(outcome, spent_us, rpc.call_time_cut)
        rpc.handle.call_ended(self.turn.now, outcome, spent_us)

    def call_not_made(self, index: int) -> None:
        """A call was not made, for want of capacity or of an address: it never ran."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.awaited_call and rpc.call_connection is None:
            rpc.handle.call_ended(self.turn.now, Outcome.REJECTED, 0)

    # ---- The end

    def release(self, index: int) -> None:
        """Forgets an RPC."""
        rpc = self.rpcs.pop(index)
        if self.key_leases:
            self.key_leases.release(index)  # where it ran, that was reported
        if self.index_by_name.get(rpc.name) == index:
            del self.index_by_name[rpc.name]
