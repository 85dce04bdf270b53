"""The queue of RPCs that wait for a core, in the order in which they are to run.

Owns the order. It must never decide when an RPC starts or leaves.
"""

from bisect import insort

from finchcart.decisions.rpc import RpcHandle

Priority = tuple[float, float]  # the smallest first


class RunQueue:
    """The queued and paused RPCs, the most critical first, then by the latest start that meets the objective.

    Invariant: `entries` is sorted, and holds exactly the active RPCs in the states QUEUED and PAUSED between
    two calls of the host.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.entries: list[tuple[Priority, int, RpcHandle]] = []  # (priority, index, RPC); read by others

    def push(self, rpc: RpcHandle) -> None:
        """Insert an RPC by its priority; equal ones by their index."""
        insort(self.entries, (rpc.priority, rpc.index, rpc))

    def remove(self, rpc: RpcHandle) -> None:
        """Take an RPC out, wherever it stands."""
        self.entries.remove((rpc.priority, rpc.index, rpc))

    def remove_first(self) -> None:
        """Take the first RPC out."""
        del self.entries[0]
