"""What a node calls of its part in a fleet. Where no fleet is configured, there is none.

Owns no state. A participant is made in finchcart/cli/fleet_node.py; a node without one imports nothing of it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from finchcart.node.effects import Effect, KeyLeaseAction
from finchcart.node.inputs import Drain, Input, ReloadConfig

if TYPE_CHECKING:  # none is imported where no fleet is configured
    from finchcart.consensus.evidence import Evidence
    from finchcart.node.core import Core
    from finchcart.node.effect_buffer import EffectBuffer
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import LimiterSet
    from finchcart.node.observer import NodeObserver

Reduce = Callable[[int, Input], list[Effect]]


class FleetParticipant(Protocol):
    """One node's part in a fleet: its thread, and what holds the node to the fleet's decisions."""

    def limiters(self) -> "LimiterSet | None":
        """Return what holds calls and RPCs to the limits of the fleet; None: there are none."""

    def observer(self) -> "NodeObserver | None":
        """Return what observes for the fleet's consensus; None: there is none."""

    def key_lease_factory(self) -> "Callable[[EffectBuffer], KeyLeaseGate] | None":
        """Return what makes the part of the core that gets key leases; None: there are none."""

    def reducer(self, core: "Core") -> Reduce:
        """Return the core's `reduce`, with the boot clock set before each input."""

    def start(self) -> None:
        """Start the thread."""

    def stop(self) -> None:
        """Tell the others of the end, and wait for the thread."""

    def on_signal(self, notice: Drain | ReloadConfig) -> None:
        """Take a signal's notice; called in its handler."""

    def publish_usage(self, limit: str, in_use: int, demand: int, priority_demand: int) -> None:
        """Carry out the effect `PublishUsage`."""

    def publish_evidence(self, evidence: "Evidence") -> None:
        """Carry out the effect `PublishEvidence`."""

    def command_key_lease(self, command: KeyLeaseAction) -> None:
        """Carry out the effect `KeyLeaseCommand`."""
