"""The idempotency cache: detects duplicates by idempotency key, and keeps results to answer duplicates with.

`IdempotencyCache` owns the entry of each idempotency key: the RPC that holds the key, and its result. A
result must never go to an RPC with another body, and an entry whose RPC may have run must not be removed
while an RPC that arrived within its window can still be read.
"""

from hashlib import blake2b

from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Defer
from finchcart.node.inputs import DuplicateReady
from finchcart.node.key_entry import IdempotencyKey, KeyEntry, NoResult
from finchcart.node.rpc import NodeRpc

DIGEST_BYTES = 16


def digest_of(body: bytes) -> bytes:
    """Return the digest by which the bodies of RPCs are compared."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def entry_of(rpc: NodeRpc) -> KeyEntry:
    """Return the entry of an RPC that has an idempotency key."""
    assert rpc.key_entry is not None, f"RPC {rpc.index}: no idempotency key"
    return rpc.key_entry


class IdempotencyCache:
    """The entries by key, and the cached results.

    The decision module's memory bounds the number of entries. An entry expires `late_read_us` after its
    window, when no RPC that arrived within the window can still be read. `max_result_bytes` bounds the cached
    results; the oldest are dropped first.
    """

    def __init__(self, effect_buffer: EffectBuffer, late_read_us: int, max_result_bytes: int) -> None:
        self.effect_buffer = effect_buffer
        self.late_read_us = late_read_us
        self.max_result_bytes = max_result_bytes
        self.entries: dict[IdempotencyKey, KeyEntry] = {}
        self.with_result: dict[KeyEntry, None] = {}  # entries with a cached result, oldest first
        self.result_bytes = 0

    def is_payload_mismatch(self, key: IdempotencyKey, digest: bytes) -> bool:
        """Return whether the key is held by an RPC with another body."""
        entry = self.entries.get(key)
        return entry is not None and entry.digest != digest

    def entry_for(
        self, key: IdempotencyKey, index: int, digest: bytes, arrived_at: int
    ) -> tuple[KeyEntry, bool]:
        """Return the entry that an RPC belongs to, and whether the RPC is a duplicate.

        An RPC belongs to the window in which it arrived at the machine (`arrived_at`), however late it is
        read.
        """
        entry = self.entries.get(key)
        if (
            entry
            and entry.expires_at > arrived_at
            and (entry.ran or entry.expires_at > self.effect_buffer.now)
        ):
            return entry, True
        return KeyEntry(key, index, digest), False

    def store(self, rpc: NodeRpc, ttl_us: int) -> None:
        """Store the RPC's key for its window, which lasts `ttl_us` from now."""
        entry = entry_of(rpc)
        if entry.index != rpc.index:
            rpc.key_entry = entry = KeyEntry(entry.key, rpc.index, entry.digest)
        previous = self.entries.get(entry.key)
        if previous is not None and previous is not entry:
            self._drop_result(previous)
            # If this RPC is evicted, an RPC that is read late may still be a duplicate of the one that ran in
            # the previous window.
            entry.previous = previous if previous.ran else previous.previous
            previous.previous = None
        entry.expires_at = self.effect_buffer.now + ttl_us
        self.entries[entry.key] = entry
        self.effect_buffer.schedule(entry.expires_at + self.late_read_us, self._expire, entry)

    def evict(self, entry: KeyEntry) -> None:
        """Remove the entry of an RPC that never ran, and fail the duplicates that wait for this RPC.

        The entry that this one replaced holds the key again if its window is not over.
        """
        if self.entries.get(entry.key) is entry:
            previous = entry.previous
            entry.previous = None
            if previous and self.effect_buffer.now < previous.expires_at + self.late_read_us:
                self.entries[entry.key] = previous
            else:
                del self.entries[entry.key]
        entry.result = NoResult.FAILED
        self._notify_waiting(entry)

    def join_in_flight(self, rpc: NodeRpc) -> None:
        """Have a duplicate wait for the first RPC of its key; `DuplicateReady` follows at its end."""
        entry = entry_of(rpc)
        if entry.result is NoResult.PENDING:
            entry.waiting.append(rpc.index)
        else:
            self.effect_buffer.emit(Defer(DuplicateReady(rpc.index)))

    def complete(self, entry: KeyEntry, result: bytes | NoResult) -> None:
        """Handle the end of the RPC that holds the entry; `result` is `NoResult.FAILED` if there is none."""
        entry.result = result
        if not isinstance(result, NoResult):
            self.with_result[entry] = None
            self.result_bytes += len(result)
            while self.result_bytes > self.max_result_bytes:
                self._drop_result(next(iter(self.with_result)))
        self._notify_waiting(entry)

    def _drop_result(self, entry: KeyEntry) -> None:
        if entry in self.with_result and not isinstance(entry.result, NoResult):
            del self.with_result[entry]
            self.result_bytes -= len(entry.result)
            entry.result = NoResult.FAILED

    def _notify_waiting(self, entry: KeyEntry) -> None:
        waiting = entry.waiting
        entry.waiting = []
        for index in waiting:
            self.effect_buffer.emit(Defer(DuplicateReady(index)))

    def _expire(self, entry: KeyEntry) -> None:
        if self.entries.get(entry.key) is entry:
            expires_at = entry.expires_at + self.late_read_us
            if self.effect_buffer.now < expires_at:
                self.effect_buffer.schedule(expires_at, self._expire, entry)
                return
            del self.entries[entry.key]
        self._drop_result(entry)
