"""The idempotency keys that the host stores for this node: until when, and their memory.

Owns the times of expiry. Which RPC is a duplicate is found by the host, what becomes of it by admission.py.
"""

from heapq import heappop, heappush

from finchcart.decisions.memory import MemoryAccount
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.units import MS

EXTRA_TTL = 200 * MS  # keys are stored so much longer than their window


class IdempotencyKeys:
    """The stored keys. Invariant: each RPC with `key_expires_at` has one entry in the heap and is counted."""

    def __init__(self, settings: NodeSettings, port: Port, memory: MemoryAccount) -> None:
        """No key is stored."""
        self._port = port
        self._memory = memory
        self._entry_kb = settings.key_entry_kb
        self._expiry_margin = 2 * settings.tick_us  # after it the host has surely expired the key
        self._expirations: list[tuple[int, int, RpcHandle]] = []  # heap of (time, index, RPC)

    def store(self, now: int, rpc: RpcHandle) -> None:
        """Have the key of an RPC stored for its method's window after it reached the machine."""
        expires_at = rpc.reached_at + rpc.method.key_window + EXTRA_TTL
        self._port.store_key(rpc.index, expires_at - now)
        rpc.key_expires_at = expires_at
        self._memory.reserve(self._entry_kb)
        heappush(self._expirations, (expires_at + self._expiry_margin, rpc.index, rpc))

    def evict(self, rpc: RpcHandle) -> None:
        """Have the stored key of an RPC removed."""
        self._port.evict_key(rpc.index)
        self._forget(rpc)

    def expire(self, now: int) -> list[RpcHandle]:
        """Count out the keys that are no longer stored, and return their RPCs."""
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
