"""The interface through which a node takes part in a fleet.

The implementation is `FleetNode` in finchcart/cli/fleet_node.py. A node for which no fleet is configured has
no participant, and must not import the modules of the fleet.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from finchcart.node.effects import Effect, KeyLeaseAction
from finchcart.node.inputs import Drain, Input, ReloadConfig

if TYPE_CHECKING:  # a node without a fleet must not import these modules at run time
    from finchcart.consensus.evidence import Evidence
    from finchcart.node.core import Core
    from finchcart.node.effect_buffer import EffectBuffer
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import LimiterSet
    from finchcart.node.observer import NodeObserver

Reduce = Callable[[int, Input], list[Effect]]


class FleetParticipant(Protocol):
    """What connects a node to a fleet: the fleet's thread, and parts of the core that apply its decisions."""

    def limiters(self) -> "LimiterSet | None":
        """Return the limiters that enforce the fleet's limits, or None if no limits are configured."""

    def observer(self) -> "NodeObserver | None":
        """Return the observer that collects evidence for the fleet's consensus, or None."""

    def key_lease_factory(self) -> "Callable[[EffectBuffer], KeyLeaseGate] | None":
        """Return the factory for the core's key lease part, or None if key leases are not configured."""

    def reducer(self, core: "Core") -> Reduce:
        """Return a function like the core's `reduce` that also sets the boot clock before each input."""

    def start(self) -> None:
        """Start the fleet's thread."""

    def stop(self) -> None:
        """Announce to the other members that this node ends, and wait until the fleet's thread has ended."""

    def on_signal(self, signal_input: Drain | ReloadConfig) -> None:
        """Handle the input of a signal; called within the signal handler."""

    def publish_usage(self, limit: str, in_use: int, demand: int, priority_demand: int) -> None:
        """Carry out the effect `PublishUsage`."""

    def publish_evidence(self, evidence: "Evidence") -> None:
        """Carry out the effect `PublishEvidence`."""

    def command_key_lease(self, command: KeyLeaseAction) -> None:
        """Carry out the effect `KeyLeaseCommand`."""
