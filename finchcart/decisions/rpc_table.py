"""The RPCs that the decision module knows, by index.

Owns which RPCs are active and which are completed but still known by a stored key. Decides nothing.
"""

from finchcart.decisions.rpc import RpcHandle


class RpcTable:
    """The known RPCs. Invariant: `active` holds none that is COMPLETED, `completed` no other."""

    def __init__(self) -> None:
        """Begin empty."""
        self.active: dict[int, RpcHandle] = {}  # in the order of arrival
        self.completed: dict[int, RpcHandle] = {}  # known for as long as their keys are stored

    def add(self, rpc: RpcHandle) -> None:
        """Add an RPC that has arrived."""
        self.active[rpc.index] = rpc

    def find(self, index: int) -> RpcHandle | None:
        """Return the RPC of this index, or None where it is released."""
        return self.active.get(index) or self.completed.get(index)

    def complete(self, rpc: RpcHandle) -> None:
        """Move an active RPC to the completed ones."""
        self.completed[rpc.index] = self.active.pop(rpc.index)

    def remove(self, rpc: RpcHandle) -> None:
        """Forget a completed RPC."""
        del self.completed[rpc.index]
