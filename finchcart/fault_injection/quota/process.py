"""A simulated process that shares a limit: its clock, and its calls in progress at the store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from finchcart.fault_injection.virtual_time.driver import SimulatedProcess
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.local_limits import LocalLimits
from finchcart.quota.planner import Planner


class SharingMode(StrEnum):
    """How nodes share a limit; the last two values are baselines for comparison."""

    STRICT = "strict"  # planners grant leases to nodes
    LOOSE = "loose"  # members divide the limit among themselves, without planners
    STATIC = "static"  # each node always has an equal part
    NONE = "none"  # each node applies the whole limit on its own


class StoreCall(NamedTuple):
    """A call in progress at the store."""

    ends_at: int  # in simulation time
    leased: bool  # whether it counts against a lease instead of the node's floor
    written_late: bool  # whether its process was stopped between admitting the call and writing it


@dataclass(eq=False)
class QuotaProcess(SimulatedProcess):
    """A planner or a node: its clock, and for a node its calls in progress at the store."""

    clock_rate: float = 1.0  # rate of the process's clock, relative to simulation time
    clock_origin: int = 0  # the time at which the process's clock equalled simulation time
    limiter: Any = None
    demand: int = 0  # wanted calls in progress, or attempts per second
    overstates_demand: bool = False
    reporting: bool = False  # prevents nested reports: a report can cause calls, which report usage
    attempted_at: int | None = None
    owed_attempts: float = 0.0  # attempts that are due under a rate limit and not made yet
    calls: list[StoreCall] = field(default_factory=list)
    pending_call: int | None = None  # duration of a call that was admitted and not yet written

    @property
    def is_node(self) -> bool:
        """Whether this is a node and not a planner."""
        return self.name[0] == "n"

    @property
    def amount(self) -> int:
        """The amount of the limit that the node may use beyond its floor."""
        return self.limiter.amount if self.limiter else 0

    def in_flight(self, leased: bool) -> int:
        """Return the number of leased or unleased calls in progress; called by the limiter."""
        return sum(call.leased is leased for call in self.calls)


@dataclass(frozen=True)
class QuotaFactories:
    """Factories of the state machines; tests replace them to plant defects."""

    planner: Callable[..., Planner] = Planner
    lease_holder: Callable[..., LeaseHolder] = LeaseHolder
    local_limits: Callable[..., LocalLimits] = LocalLimits


class IdleMachine:
    """The state machine of a node that exchanges no messages."""

    def reduce(self, now: int, machine_input: tuple) -> list[tuple]:
        """Return no effects."""
        return []
