"""What one simulated node holds to be so of the fleet, and predicates of it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.subjects import Restriction, StoreHealth

NOTHING = DecisionsChanged(StoreHealth.WORKING, sources={}, is_ejected=False, minimum_level=0.0)


@dataclass(eq=False)
class NodeView:
    """What one node's core would do and see."""

    consensus: DecisionsChanged = NOTHING
    store_changes: list[tuple[int, int]] = field(default_factory=list)  # (when, health of the store)
    probes: int = 0  # probe calls that the node may make
    probes_until: int = 0
    recovered_at: int | None = None  # when the store came back for it
    called_at: int = 0


Predicate = Callable[[NodeView], bool]


def is_down(view: NodeView) -> bool:
    """Whether the node holds the store to be down."""
    return view.consensus.store == StoreHealth.DOWN


def is_working(view: NodeView) -> bool:
    """Whether the node holds the store to work."""
    return view.consensus.store == StoreHealth.WORKING


def is_blocked(subject: int, view: NodeView) -> bool:
    """Whether the node holds the source to be blocked."""
    return view.consensus.sources.get(subject) == Restriction.BLOCKED


def is_restricted(subject: int, view: NodeView) -> bool:
    """Whether the node holds anything of the source."""
    return subject in view.consensus.sources


def holds_itself_out(view: NodeView) -> bool:
    """Whether the node holds itself to be ejected."""
    return view.consensus.is_ejected


def holds_nothing(view: NodeView) -> bool:
    """Whether the node takes all to be well."""
    return view.consensus == NOTHING
