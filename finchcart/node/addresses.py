"""The addresses of a node's peers, as the configuration gives them.

Owns types alone.
"""

from typing import NamedTuple

Address = tuple[str, int]  # host and port


class NodeAddresses(NamedTuple):
    """Where the node's own connections and reports go."""

    pool: Address
    store: Address | None  # None: the node calls no store
    registry: Address
