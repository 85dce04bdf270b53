"""RPCs whose run needs a key lease of the whole fleet first.

Owns the RPCs that wait for the answer of a key lease, and the key leases that are this node's. It must never
let a run be commanded without its key lease, nor past the time until which that allows it; nor decide: an RPC
that holds its key lease goes to the decision module as any RPC, the rest is answered by its outcome.

`now_us` is the boot clock in whole microseconds, set by the host before each turn.
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

MAX_WAITING = 2_000  # that wait for an answer; more are rejected
COUNTED_AS = {
    KeyLeaseOutcome.GRANTED: "granted",
    KeyLeaseOutcome.ENDED: "result of a run elsewhere",
    KeyLeaseOutcome.NO_MAJORITY: "no majority",
    KeyLeaseOutcome.PAYLOAD_MISMATCH: "payload mismatch",
    KeyLeaseOutcome.FAILED: "failed, or not to be known",
    KeyLeaseOutcome.HELD_ELSEWHERE: "failed, or not to be known",
}

OnResolved = Callable[[NodeRpc, RpcAttributes, KeyLeaseOutcome, bytes], None]


class WaitingRpc(NamedTuple):
    """One RPC that waits, and what is called once its key lease is resolved."""

    rpc: NodeRpc
    attributes: RpcAttributes
    on_resolved: OnResolved


class HeldKeyLease(NamedTuple):
    """A key lease of this node."""

    key: bytes
    run_by: int  # on the boot clock: the run is commanded until then or not at all


class KeyLeaseGate:
    """The RPCs that wait and the key leases held. `lifetime_us`: the duration of a requested lease.

    Bounds: `MAX_WAITING` that wait, each until its due time; a key lease for each open RPC that was granted
    one.
    """

    def __init__(self, effect_buffer: EffectBuffer, lifetime_us: int) -> None:
        self.effect_buffer = effect_buffer
        self.lifetime_us = lifetime_us
        self.now_us = 0
        self.waiting: dict[bytes, WaitingRpc] = {}
        self.held: dict[int, HeldKeyLease] = {}  # by index of the RPC
        self.counts: Counter[str] = Counter()
        self._unsent: list[KeyToLease] = []  # of this turn
        self._end: int | None = None  # all is answered by then: the process is killed

    def request(
        self, rpc: NodeRpc, key: str, attributes: RpcAttributes, due: int, on_resolved: OnResolved
    ) -> None:
        """Request the key lease of an RPC that is not known here.

        Arguments:
            rpc: which is to run.
            key: its idempotency key.
            attributes: as they came with it.
            due: when it has to be answered at the latest.
            on_resolved: is called once with the outcome, perhaps inside this call.
        """
        digest = key_digest(rpc.method, key)
        if digest in self.waiting or len(self.waiting) >= MAX_WAITING:
            self.counts["no capacity"] += 1
            on_resolved(rpc, attributes, KeyLeaseOutcome.NO_MAJORITY, b"")
            return
        self.waiting[digest] = WaitingRpc(rpc, attributes, on_resolved)
        if not self._unsent:
            self.effect_buffer.emit(Defer(KeyLeasesRequested()))  # those of one batch go in one message
        self._unsent.append(KeyToLease(digest, payload_digest(rpc.body), self.lifetime_us))
        self.effect_buffer.schedule(
            due if self._end is None else min(due, self._end), self._time_out, digest, rpc
        )

    def send_requests(self) -> None:
        """Send the requests of this turn in one message."""
        unsent = self._unsent
        self._unsent = []
        if unsent:
            self.effect_buffer.emit(KeyLeaseCommand(RequestKeyLeases(unsent)))

    def resolve_all_by(self, when: int) -> None:
        """Have all requests resolved by then: the decision module does not know of their RPCs yet."""
        self._end = when
        for key, waiting in self.waiting.items():
            self.effect_buffer.schedule(when, self._time_out, key, waiting.rpc)

    def abandon(self, rpc: NodeRpc) -> bool:
        """Handle the loss of the caller; return whether it waited for its key lease, which ends here."""
        key = next((key for key, waiting in self.waiting.items() if waiting.rpc is rpc), None)
        if key is not None:
            self._abandon_request(key)
        return key is not None

    def answered(self, key: bytes, outcome: KeyLeaseOutcome, result: bytes, run_by: int | None) -> None:
        """Handle the answer to the request for a key; see `KeyLeaseAnswered`."""
        waiting = self.waiting.pop(key, None)
        if waiting is None:
            if outcome is KeyLeaseOutcome.GRANTED:
                self._release(key)  # nobody waits for it any more
            return
        rpc = waiting.rpc
        if outcome is KeyLeaseOutcome.GRANTED:
            if run_by is not None and rpc.response_pending and self.now_us < run_by:
                self.held[rpc.index] = HeldKeyLease(key, run_by)
            else:
                self._release(key)
                outcome = KeyLeaseOutcome.NO_MAJORITY
        self.counts[COUNTED_AS[outcome]] += 1
        if outcome is KeyLeaseOutcome.NO_MAJORITY and waiting.attributes.is_retry:
            outcome = KeyLeaseOutcome.FAILED  # an earlier attempt may have run elsewhere
        waiting.on_resolved(rpc, waiting.attributes, outcome, result)

    def may_run(self, index: int) -> bool:
        """Return whether a run may be commanded now. RPCs that need no key lease may always run."""
        lease = self.held.get(index)
        if lease is None or self.now_us < lease.run_by:
            return True
        self.counts["commanded too late"] += 1
        return False

    def run_ended(self, index: int, succeeded: bool, result: bytes) -> None:
        """Handle the end of an RPC's run."""
        lease = self.held.pop(index, None)
        if lease:
            self.effect_buffer.emit(
                KeyLeaseCommand(ReportRunEnded(lease.key, succeeded, result if succeeded else b""))
            )

    def release(self, index: int) -> None:
        """Release the key lease of an RPC that will not run, where it has not."""
        lease = self.held.pop(index, None)
        if lease:
            self._release(lease.key)

    def _release(self, key: bytes) -> None:
        self.effect_buffer.emit(KeyLeaseCommand(ReleaseKeyLease(key)))

    def _abandon_request(self, key: bytes) -> None:
        """Withdraw a request that nobody waits for any more."""
        del self.waiting[key]
        unsent = len(self._unsent)
        self._unsent = [request for request in self._unsent if request.key != key]
        if len(self._unsent) == unsent:
            self.effect_buffer.emit(KeyLeaseCommand(AbandonKeyLeaseRequest(key)))
            self._release(key)

    def _time_out(self, key: bytes, rpc: NodeRpc) -> None:
        """Resolve a request without an answer: the RPC never ran here, a duplicate may have elsewhere."""
        waiting = self.waiting.get(key)
        if waiting and waiting.rpc is rpc:
            self._abandon_request(key)
            self.counts["no answer"] += 1
            is_retry = waiting.attributes.is_retry
            outcome = KeyLeaseOutcome.FAILED if is_retry else KeyLeaseOutcome.NO_MAJORITY
            waiting.on_resolved(rpc, waiting.attributes, outcome, b"")
