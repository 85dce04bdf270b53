"""The addresses of a node's peers, as the configuration gives them."""

from typing import NamedTuple

Address = tuple[str, int]  # host and port


class NodeAddresses(NamedTuple):
    """The addresses to which the node connects and sends reports."""

    pool: Address
    store: Address | None  # None if the node calls no store
    registry: Address
