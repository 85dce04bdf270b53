"""Priority queue of the RPCs that wait for a core.

This module defines the order of the queue. It must not decide when an RPC starts or leaves the queue.
"""

from bisect import insort

from finchcart.decisions.rpc import RpcHandle

Priority = tuple[float, float]  # the RPC with the smallest priority is the first in the queue


class RunQueue:
    """Queue of the queued and paused RPCs.

    The most critical RPCs are first; among these, the one that must start first to meet its objective.

    Invariant: `entries` is sorted. Between two calls of the host, it holds exactly the active RPCs in the
    states QUEUED and PAUSED.
    """

    def __init__(self) -> None:
        """Begin with an empty queue."""
        # The entries are (priority, index, RPC). Other modules may read this list, but must not change it.
        self.entries: list[tuple[Priority, int, RpcHandle]] = []

    def push(self, rpc: RpcHandle) -> None:
        """Insert an RPC by its priority, and RPCs of equal priority by index."""
        insort(self.entries, (rpc.priority, rpc.index, rpc))

    def remove(self, rpc: RpcHandle) -> None:
        """Remove an RPC from any position of the queue."""
        self.entries.remove((rpc.priority, rpc.index, rpc))

    def remove_first(self) -> None:
        """Remove the first RPC."""
        del self.entries[0]
