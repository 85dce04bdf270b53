"""The effect of a consensus store, besides those of finchcart/fleet/effects.py.

Owns its type alone.
"""

from collections.abc import Mapping
from typing import NamedTuple


class DecisionsChanged(NamedTuple):
    """All decisions in force for this node, where one of them changed."""

    store: int  # a `StoreHealth`
    sources: Mapping[int, int]  # subject of a restricted source -> a `Restriction`
    is_ejected: bool  # this node is to report itself unhealthy
    minimum_level: float  # of load shedding: the least that this node may announce, 0 to 1
