"""Table of the RPCs that are not released, by index.

An RPC is active until it is completed; a completed RPC stays in the table while its key is stored.
"""

from finchcart.decisions.rpc import RpcHandle


class RpcTable:
    """Table of RPCs. Invariant: all RPCs in `completed` are in the state COMPLETED, none in `active` is."""

    def __init__(self) -> None:
        """Begin with an empty table."""
        self.active: dict[int, RpcHandle] = {}  # in the order of arrival
        self.completed: dict[int, RpcHandle] = {}  # kept for as long as their keys are stored

    def add(self, rpc: RpcHandle) -> None:
        """Add an RPC to the active ones."""
        self.active[rpc.index] = rpc

    def find(self, index: int) -> RpcHandle | None:
        """Return the RPC with this index, or None if it was released."""
        return self.active.get(index) or self.completed.get(index)

    def complete(self, rpc: RpcHandle) -> None:
        """Move an active RPC to the completed ones."""
        self.completed[rpc.index] = self.active.pop(rpc.index)

    def remove(self, rpc: RpcHandle) -> None:
        """Remove a completed RPC from the table."""
        del self.completed[rpc.index]
