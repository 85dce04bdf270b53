"""The gate for RPCs that need a key lease of the fleet before they may run.

`KeyLeaseGate` owns the RPCs that wait for the answer to a key lease request, and the key leases that this
node holds. It must never permit a run without a key lease, or after the time until which the key lease
permits the start of the run. It must never decide about an RPC: an RPC with a granted key lease passes to the
decision module like any other RPC, and every other RPC is answered by the outcome of its request.

`now_us` is the boot clock in whole microseconds, which the host sets before each turn of the event loop.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from finchcart.key_leases.inputs import KeyToLease
from finchcart.key_leases.messages import key_digest, payload_digest
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import (
    AbandonKeyLeaseRequest,
    Defer,
    KeyLeaseCommand,
    ReleaseKeyLease,
    ReportRunEnded,
    RequestKeyLeases,
)
from finchcart.node.inputs import KeyLeaseOutcome, KeyLeasesRequested
from finchcart.node.rpc import NodeRpc, RpcAttributes

MAX_WAITING = 2_000  # RPCs that wait for an answer; further ones are resolved as "no majority"
COUNTER_NAMES = {
    KeyLeaseOutcome.GRANTED: "granted",
    KeyLeaseOutcome.ENDED: "result of a run elsewhere",
    KeyLeaseOutcome.NO_MAJORITY: "no majority",
    KeyLeaseOutcome.PAYLOAD_MISMATCH: "payload mismatch",
    KeyLeaseOutcome.FAILED: "failed, or not to be known",
    KeyLeaseOutcome.HELD_ELSEWHERE: "failed, or not to be known",
}

OnResolved = Callable[[NodeRpc, RpcAttributes, KeyLeaseOutcome, bytes], None]


class WaitingRpc(NamedTuple):
    """An RPC that waits for its key lease, and the callback for the outcome of the request."""

    rpc: NodeRpc
    attributes: RpcAttributes
    on_resolved: OnResolved


class HeldKeyLease(NamedTuple):
    """A key lease that this node holds."""

    key: bytes
    run_by: int  # latest time to command the run, on the boot clock


class KeyLeaseGate:
    """The waiting RPCs and the held key leases. `lifetime_us` is the duration of a requested lease.

    Bounds: at most `MAX_WAITING` RPCs wait, each until its due time; at most one key lease is held for each
    open RPC.
    """

    def __init__(self, effect_buffer: EffectBuffer, lifetime_us: int) -> None:
        self.effect_buffer = effect_buffer
        self.lifetime_us = lifetime_us
        self.now_us = 0
        self.waiting: dict[bytes, WaitingRpc] = {}  # waiting RPC by the digest of its key
        self.held: dict[int, HeldKeyLease] = {}  # key lease by the index of its RPC
        self.counts: Counter[str] = Counter()
        self._unsent: list[KeyToLease] = []  # requests of this turn of the event loop
        self._resolve_by: int | None = None  # time by which all requests must be resolved; None: not draining

    def request(
        self, rpc: NodeRpc, key: str, attributes: RpcAttributes, due: int, on_resolved: OnResolved
    ) -> None:
        """Request the key lease of an RPC whose key this node does not know.

        Arguments:
            rpc: the RPC that is to run.
            key: the idempotency key of the RPC.
            attributes: the attributes of the RPC as the frontend read them.
            due: the latest time at which the RPC must be answered.
            on_resolved: called once with the outcome, possibly before this method returns.
        """
        digest = key_digest(rpc.method, key)
        if digest in self.waiting or len(self.waiting) >= MAX_WAITING:
            self.counts["no capacity"] += 1
            on_resolved(rpc, attributes, KeyLeaseOutcome.NO_MAJORITY, b"")
            return
        self.waiting[digest] = WaitingRpc(rpc, attributes, on_resolved)
        if not self._unsent:
            self.effect_buffer.emit(Defer(KeyLeasesRequested()))  # one message for the whole batch
        self._unsent.append(KeyToLease(digest, payload_digest(rpc.body), self.lifetime_us))
        self.effect_buffer.schedule(
            due if self._resolve_by is None else min(due, self._resolve_by), self._time_out, digest, rpc
        )

    def send_requests(self) -> None:
        """Send the requests of this turn in one message."""
        unsent = self._unsent
        self._unsent = []
        if unsent:
            self.effect_buffer.emit(KeyLeaseCommand(RequestKeyLeases(unsent)))

    def resolve_all_by(self, when: int) -> None:
        """Resolve all requests by this time, because the process ends soon after it.

        The decision module, which otherwise answers RPCs during a drain, does not know the waiting ones yet.
        """
        self._resolve_by = when
        for key, waiting in self.waiting.items():
            self.effect_buffer.schedule(when, self._time_out, key, waiting.rpc)

    def abandon(self, rpc: NodeRpc) -> bool:
        """Handle the loss of the caller of an RPC; return whether the RPC waited for its key lease."""
        key = next((key for key, waiting in self.waiting.items() if waiting.rpc is rpc), None)
        if key is not None:
            self._abandon_request(key)
        return key is not None

    def answered(self, key: bytes, outcome: KeyLeaseOutcome, result: bytes, run_by: int | None) -> None:
        """Handle the answer to the request for a key lease; see `KeyLeaseAnswered`."""
        waiting = self.waiting.pop(key, None)
        if waiting is None:
            if outcome is KeyLeaseOutcome.GRANTED:
                self._release(key)  # no RPC waits for the key lease any more
            return
        rpc = waiting.rpc
        if outcome is KeyLeaseOutcome.GRANTED:
            if run_by is not None and rpc.response_pending and self.now_us < run_by:
                self.held[rpc.index] = HeldKeyLease(key, run_by)
            else:
                self._release(key)
                outcome = KeyLeaseOutcome.NO_MAJORITY
        self.counts[COUNTER_NAMES[outcome]] += 1
        if outcome is KeyLeaseOutcome.NO_MAJORITY and waiting.attributes.is_retry:
            outcome = KeyLeaseOutcome.FAILED  # an earlier attempt may have run on another node
        waiting.on_resolved(rpc, waiting.attributes, outcome, result)

    def may_run(self, index: int) -> bool:
        """Return whether the run of an RPC may be commanded now; RPCs without a key lease may always run."""
        lease = self.held.get(index)
        if lease is None or self.now_us < lease.run_by:
            return True
        self.counts["commanded too late"] += 1
        return False

    def run_ended(self, index: int, succeeded: bool, result: bytes) -> None:
        """Report the end of a run to the fleet, if the RPC holds a key lease."""
        lease = self.held.pop(index, None)
        if lease:
            self.effect_buffer.emit(
                KeyLeaseCommand(ReportRunEnded(lease.key, succeeded, result if succeeded else b""))
            )

    def release(self, index: int) -> None:
        """Release the key lease of an RPC that has not run and will not run."""
        lease = self.held.pop(index, None)
        if lease:
            self._release(lease.key)

    def _release(self, key: bytes) -> None:
        self.effect_buffer.emit(KeyLeaseCommand(ReleaseKeyLease(key)))

    def _abandon_request(self, key: bytes) -> None:
        """Withdraw a request for which no RPC waits any more."""
        del self.waiting[key]
        unsent = len(self._unsent)
        self._unsent = [request for request in self._unsent if request.key != key]
        if len(self._unsent) == unsent:
            self.effect_buffer.emit(KeyLeaseCommand(AbandonKeyLeaseRequest(key)))
            self._release(key)

    def _time_out(self, key: bytes, rpc: NodeRpc) -> None:
        """Resolve a request that was not answered in time.

        The RPC never ran on this node. If it is a retry, an earlier attempt may have run on another node.
        """
        waiting = self.waiting.get(key)
        if waiting and waiting.rpc is rpc:
            self._abandon_request(key)
            self.counts["no answer"] += 1
            is_retry = waiting.attributes.is_retry
            outcome = KeyLeaseOutcome.FAILED if is_retry else KeyLeaseOutcome.NO_MAJORITY
            waiting.on_resolved(rpc, waiting.attributes, outcome, b"")
