"""Idempotency keys that the host stores for this node: their expiry and their memory.

The host finds out which RPC is a duplicate; duplicates.py handles it. Times are microseconds.
"""

from heapq import heappop, heappush

from finchcart.decisions.memory import MemoryAccount
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.units import MS

EXTRA_TTL = 200 * MS  # time for which a key is stored beyond its window


class IdempotencyKeys:
    """Stored idempotency keys.

    Invariant: each RPC whose `key_expires_at` is set has one entry in the heap, and its key's memory is
    reserved.
    """

    def __init__(self, settings: NodeSettings, port: Port, memory: MemoryAccount) -> None:
        """Begin without keys."""
        self._port = port
        self._memory = memory
        self._entry_kb = settings.key_entry_kb
        self._expiry_margin = 2 * settings.tick_us  # the host removes a key within this time after its expiry
        self._expirations: list[tuple[int, int, RpcHandle]] = []  # heap of (time, index, RPC)

    def store(self, now: int, rpc: RpcHandle) -> None:
        """Have the host store an RPC's key for the method's window, counted from the RPC's arrival."""
        expires_at = rpc.reached_at + rpc.method.key_window + EXTRA_TTL
        self._port.store_key(rpc.index, expires_at - now)
        rpc.key_expires_at = expires_at
        self._memory.reserve(self._entry_kb)
        heappush(self._expirations, (expires_at + self._expiry_margin, rpc.index, rpc))

    def evict(self, rpc: RpcHandle) -> None:
        """Have the host remove the stored key of an RPC."""
        self._port.evict_key(rpc.index)
        self._forget(rpc)

    def expire(self, now: int) -> list[RpcHandle]:
        """Free the memory of expired keys, and return their RPCs."""
        expired = []
        while self._expirations and self._expirations[0][0] <= now:
            rpc = heappop(self._expirations)[2]
            if rpc.key_expires_at:
                self._forget(rpc)
                expired.append(rpc)
        return expired

    def _forget(self, rpc: RpcHandle) -> None:
        rpc.key_expires_at = 0
        self._memory.free(self._entry_kb)
