"""Tracks the open RPCs with their runs, calls and final answers, until the decision module releases them.

`RpcLifecycle` owns the table of open RPCs. It must never do I/O, depend on a frontend's protocol or decide
about an RPC: the decision module decides and acts through port.py. rpc_admission.py admits RPCs.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from finchcart.decisions.outcome import Outcome
from finchcart.node.controller_interface import ControlledRpc
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.fleet import FleetView
from finchcart.node.idempotency import IdempotencyCache
from finchcart.node.key_entry import NoResult
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import AwaitedCall, FinalOutcome, NodeRpc
from finchcart.node.store import StoreClient
from finchcart.node.worker_pool.client import WorkerPoolClient

if TYPE_CHECKING:  # at run time, this module is imported only if key leases are configured
    from finchcart.node.key_leases import KeyLeaseGate


class RpcLifecycle:
    """The open RPCs by index, and their indices by name. Times are whole microseconds.

    The decision module bounds the number of open RPCs by its memory and limits; `release` removes an entry.
    """

    # `connect` sets these two attributes.
    pool: WorkerPoolClient
    store: StoreClient

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        methods: Mapping[str, MethodInfo],
        idempotency: IdempotencyCache,
        fleet: FleetView,
        key_leases: "KeyLeaseGate | None",
    ) -> None:
        self.effect_buffer = effect_buffer
        self.methods = methods
        self.idempotency = idempotency
        self.fleet = fleet
        self.key_leases = key_leases
        self.rpcs: dict[int, NodeRpc] = {}
        self.index_by_name: dict[str, int] = {}
        self._next_index = 0

    def connect(self, pool: WorkerPoolClient, store: StoreClient) -> None:
        """Set the clients for runs and calls; called once, before the first input."""
        self.pool = pool
        self.store = store

    def open(self, rpc: NodeRpc) -> None:
        """Assign an index to an accepted RPC, and keep the RPC until `release`."""
        rpc.index = self._next_index
        self._next_index += 1
        self.rpcs[rpc.index] = rpc
        self.index_by_name[rpc.name] = rpc.index

    def release(self, index: int) -> None:
        """Remove an RPC from the open RPCs."""
        rpc = self.rpcs.pop(index)
        if self.key_leases:
            self.key_leases.release(index)  # no effect if the RPC ran: its lease was settled in `run_ended`
        if self.index_by_name.get(rpc.name) == index:
            del self.index_by_name[rpc.name]

    # ---- The final answer

    def answer(
        self,
        rpc: NodeRpc,
        outcome: FinalOutcome,
        result: bytes = b"",
        retry_after_us: int = 0,
        do_not_retry: bool = False,
    ) -> None:
        """Send the final answer if it is still pending; see `AnswerReceiver.send_final_answer`."""
        if rpc.response_pending:
            rpc.response_pending = False
            self.effect_buffer.statistics.count(f"RPCs {outcome.value}")
            self.release_limits(rpc)
            rpc.frontend.send_final_answer(rpc, outcome, result, retry_after_us, do_not_retry)

    def abandon(self, rpc: NodeRpc) -> None:
        """Handle the disconnect of an RPC's caller: no answer is sent, and the frontend isn't notified."""
        rpc.response_pending = False
        self.effect_buffer.statistics.count("RPCs abandoned")
        self.store.drop(rpc)
        self.release_limits(rpc)
        if rpc.handle:
            rpc.handle.caller_gone(self.effect_buffer.now)
        elif self.key_leases and self.key_leases.abandon(rpc):
            self.release(rpc.index)

    def release_limits(self, rpc: NodeRpc) -> None:
        """Stop counting the RPC in its limiters, unless its run is still in progress."""
        if rpc.counted_by and not rpc.is_running:
            for limiter in rpc.counted_by:
                limiter.count -= 1
            rpc.counted_by = None

    def any_response_pending(self) -> bool:
        """Return whether any final answer is pending."""
        return any(rpc.response_pending for rpc in self.rpcs.values())

    # ---- Runs: the implementation of RunListener

    def find_running(self, name: str) -> NodeRpc | None:
        """Return the RPC of that name whose run is not completed, or None."""
        index = self.index_by_name.get(name)
        rpc = None if index is None else self.rpcs.get(index)
        return rpc if rpc and rpc.started and not rpc.completed else None

    def running_rpcs(self) -> list[NodeRpc]:
        """Return the RPCs that were started and are not completed."""
        return [rpc for rpc in self.rpcs.values() if rpc.is_running]

    def longest_run_us(self, rpc: NodeRpc) -> int:
        """Return the method's deadline: after this time, no caller waits for an unconfirmed run."""
        return self.methods[rpc.method].deadline_us

    def answer_before_end(self, rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        """Answer an RPC whose run ended, although it may have been started twice; `run_ended` follows."""
        self.answer(rpc, FinalOutcome.OK if outcome is Outcome.OK else FinalOutcome.FAILED, result)

    def run_ended(self, rpc: NodeRpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """Handle the end of a run, or of a duplicate's wait: answer, then notify the decision module."""
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
            self._settle_key_lease(self.key_leases, rpc, outcome, result)
        if rpc.key_entry and rpc.key_entry.index == rpc.index:
            self.idempotency.complete(rpc.key_entry, result if succeeded else NoResult.FAILED)
        _handle_of(rpc).run_ended(self.effect_buffer.now, outcome, spent_us)

    def run_not_started(self, index: int) -> None:
        """End a run that was not started because its key lease had expired."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.is_running:
            self.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")

    def run_lost(self, rpc: NodeRpc) -> None:
        """End a run that the worker pool has lost, as a stopped run."""
        self.run_ended(rpc, Outcome.STOPPED, 0, b"")

    def duplicate_ready(self, index: int) -> None:
        """Give a duplicate the same answer as the first RPC of its key, which has completed."""
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.completed or rpc.joined_at is None or rpc.key_entry is None:
            return
        waited_us = self.effect_buffer.now - rpc.joined_at
        result = rpc.key_entry.result
        if isinstance(result, NoResult):
            self.run_ended(rpc, Outcome.ERROR, waited_us, b"")
        else:
            self.run_ended(rpc, Outcome.OK, waited_us, result)

    @staticmethod
    def _settle_key_lease(key_leases: "KeyLeaseGate", rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.NOT_STARTED:
            key_leases.release(rpc.index)
        else:
            key_leases.run_ended(rpc.index, outcome is Outcome.OK, result)

    # ---- Calls

    def awaiting_call(self, rpc: NodeRpc, cursor: int, body: bytes) -> None:
        """Handle a run that awaits a call: the decision module either makes or skips the call."""
        rpc.awaited_call = AwaitedCall(cursor, body)
        self.fleet.call_awaited()
        _handle_of(rpc).awaiting_call(self.effect_buffer.now)

    def call_ended(self, rpc: NodeRpc, outcome: Outcome, body: bytes, spent_us: int) -> None:
        """Handle the end of a call; if the call succeeded, send the reply to the run that awaits it."""
        if outcome is Outcome.OK and rpc.awaited_call:
            cursor = rpc.awaited_call.cursor
            rpc.awaited_call = None
            can_degrade = self.methods[rpc.method].degraded_value > 0
            self.pool.reply(rpc, cursor, body, can_degrade)
        self.fleet.call_ended(outcome, spent_us, rpc.call_timeout_capped)
        _handle_of(rpc).call_ended(self.effect_buffer.now, outcome, spent_us)

    def call_not_made(self, index: int) -> None:
        """Handle a call that was not made because there was no capacity or no address for it."""
        rpc = self.rpcs.get(index)
        if rpc and rpc.awaited_call and rpc.call_connection is None:
            _handle_of(rpc).call_ended(self.effect_buffer.now, Outcome.REJECTED, 0)


def _handle_of(rpc: NodeRpc) -> ControlledRpc:
    """Return the decision module's handle of an admitted RPC; no other RPC runs or makes calls."""
    assert rpc.handle is not None, f"RPC {rpc.index}: the decision module has not admitted it"
    return rpc.handle
