"""A simulated process that shares a limit: its clock, and the calls that it has at the store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from finchcart.fault_injection.virtual_time.driver import SimulatedProcess
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.local_limits import LocalLimits
from finchcart.quota.planner import Planner


class SharingMode(StrEnum):
    """How nodes share a limit; the last two are baselines."""

    STRICT = "strict"  # planners and lease holders
    LOOSE = "loose"  # members by themselves
    STATIC = "static"  # each node its part for ever
    NONE = "none"  # each node holds to the whole limit alone


class StoreCall(NamedTuple):
    """A call in hand at the store."""

    ends_at: int  # in true time
    leased: bool  # counted against a lease, and not against the node's floor
    written_late: bool  # by a process that was stopped after it had decided


@dataclass(eq=False)
class QuotaProcess(SimulatedProcess):
    """A planner or a node: its clock, and for a node the calls that it has at the store."""

    clock_rate: float = 1.0  # of its clock to true time
    clock_origin: int = 0  # when its clock read the true time
    limiter: Any = None
    demand: int = 0  # calls in hand, or attempts a second
    overstates_demand: bool = False
    reporting: bool = False  # guards against a report that leads to calls that lead to a report
    attempted_at: int | None = None
    owed_attempts: float = 0.0  # attempts at a rate that were not made yet
    calls: list[StoreCall] = field(default_factory=list)
    pending_call: int | None = None  # duration of a call that was decided on and not written

    @property
    def is_node(self) -> bool:
        """Whether this is a node; else it is a planner."""
        return self.name[0] == "n"

    @property
    def amount(self) -> int:
        """What the node may use of the limit beyond its floor."""
        return self.limiter.amount if self.limiter else 0

    def in_flight(self, leased: bool) -> int:
        """Return the number of calls in hand; called by the limiter."""
        return sum(call.leased is leased for call in self.calls)


@dataclass(frozen=True)
class QuotaFactories:
    """What makes the state machines, so that planted defects can be played."""

    planner: Callable[..., Planner] = Planner
    lease_holder: Callable[..., LeaseHolder] = LeaseHolder
    local_limits: Callable[..., LocalLimits] = LocalLimits


class IdleMachine:
    """The state machine of a node that exchanges nothing with others."""

    def reduce(self, now: int, machine_input: tuple) -> list[tuple]:
        """Do nothing."""
        return []
