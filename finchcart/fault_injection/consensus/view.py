"""The decisions that one simulated node has reached about the fleet, and predicates on them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.subjects import Restriction, StoreHealth

NO_DECISIONS = DecisionsChanged(StoreHealth.WORKING, sources={}, is_ejected=False, minimum_level=0.0)


@dataclass(eq=False)
class NodeView:
    """What the core of one node would know: its decisions, and its allowance of probe calls."""

    consensus: DecisionsChanged = NO_DECISIONS
    store_changes: list[tuple[int, int]] = field(default_factory=list)  # (time, health of the store)
    probes: int = 0  # probe calls to the store that the node may make
    probes_until: int = 0
    recovered_at: int | None = None  # when the node last decided that the store is no longer down
    called_at: int = 0  # when the node last called the store


Predicate = Callable[[NodeView], bool]


def is_down(view: NodeView) -> bool:
    """Return whether the node considers the store down."""
    return view.consensus.store == StoreHealth.DOWN


def is_working(view: NodeView) -> bool:
    """Return whether the node considers the store to be working."""
    return view.consensus.store == StoreHealth.WORKING


def is_blocked(subject: int, view: NodeView) -> bool:
    """Return whether the node considers the source blocked."""
    return view.consensus.sources.get(subject) == Restriction.BLOCKED


def is_restricted(subject: int, view: NodeView) -> bool:
    """Return whether the node has any restriction on the source."""
    return subject in view.consensus.sources


def considers_itself_ejected(view: NodeView) -> bool:
    """Return whether the node considers itself ejected."""
    return view.consensus.is_ejected


def has_no_decisions(view: NodeView) -> bool:
    """Return whether the node considers everything healthy."""
    return view.consensus == NO_DECISIONS
