"""The effect that a consensus store emits in addition to those of finchcart/fleet/effects.py."""

from collections.abc import Mapping
from typing import NamedTuple


class DecisionsChanged(NamedTuple):
    """The full set of decisions in force for this node, emitted when at least one has changed."""

    store: int  # a `StoreHealth`
    sources: Mapping[int, int]  # the `Restriction` of each restricted source, by subject
    is_ejected: bool  # true: this node must report itself as unhealthy
    minimum_level: float  # the lowest load-shedding level that this node may announce, 0 to 1
