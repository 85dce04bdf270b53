"""The inputs of the core: one type for each kind of event that the core handles.

Readers of connections, signal handlers and timers create inputs; `Core.reduce` handles them one at a time.
Connections that peers open are numbered 1, 2, 3 and so on; connections that the node opens are numbered -1,
-2, -3 and so on. Times are whole microseconds.
"""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from finchcart.node.addresses import NodeAddresses
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionEnded,
    ConnectionOpened,
    ConnectionRefused,
    FramesReceived,
    WriteBlocked,
    WriteResumed,
)
from finchcart.protocol.messages import Message


class Start(NamedTuple):
    """The process has started; always the first input."""


class MessagesReceived(NamedTuple):
    """A batch of decoded messages from one connection."""

    connection: int
    messages: Sequence[Message]
    received_at: int
    not_before: int = 0  # the earliest time at which the messages can have reached the machine


class CloseDue(NamedTuple):
    """A frontend's deferred attempt to close a connection, due after the inputs that came before it."""

    connection: int


class CloseAttempted(NamedTuple):
    """The result of the effect `CloseIfIdle`, delivered before any other input."""

    connection: int
    closed: bool  # False if the connection was in use; it then stays open, unchanged


class Drain(NamedTuple):
    """The termination notice: the node is to drain and end."""

    received_at: int | None = None  # None means the time at which the core handles the input


class ReloadConfig(NamedTuple):
    """A request to reload the configuration; the event loop turns it into `AddressesChanged`."""

    received_at: int


class AddressesChanged(NamedTuple):
    """The addresses of worker pool, store and registry after a reload of the configuration."""

    addresses: NodeAddresses


class ThreadDied(NamedTuple):
    """A thread of the node ended with an exception."""

    thread: str


class FleetMemberState(Enum):
    """The states of a member of the fleet, as this node sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEAVING = "leaving"
    LEFT = "left"


class FleetMemberChanged(NamedTuple):
    """A member of the fleet changed its state."""

    name: str
    state: FleetMemberState
    incarnation: int


class FleetIsolationChanged(NamedTuple):
    """This node became isolated from most of the fleet, or is no longer isolated."""

    isolated: bool


class AllocationGranted(NamedTuple):
    """The share of one of the fleet's limits that is allocated to this node."""

    limit: str
    floor: int | None  # None means that the limit was removed
    amount: int  # allocated in addition to the floor
    until: int  # when the amount expires, on the boot clock


class ConsensusChanged(NamedTuple):
    """The complete state that the fleet agrees on; finchcart/consensus/subjects.py numbers the states."""

    dependency_state: int
    ejected: bool  # whether this node must report itself as unhealthy
    min_shed_level: float
    source_states: Mapping[int, int]  # state by subject


class KeyLeaseOutcome(Enum):
    """The outcome of a request for a key lease."""

    GRANTED = "granted"  # this node may run the RPC
    HELD_ELSEWHERE = "held elsewhere"  # another node runs an RPC of the key, which did not end in time
    ENDED = "ended"  # an RPC of the key ran on another node and succeeded; its result is known
    FAILED = "failed"  # an RPC of the key may have run on another node, and failed
    NO_MAJORITY = "no majority"  # no lease was obtained; the RPC never ran on this node
    PAYLOAD_MISMATCH = "payload mismatch"  # the key is in use for an RPC with another body


class KeyLeaseAnswered(NamedTuple):
    """A request for a key lease was answered."""

    key: bytes
    outcome: KeyLeaseOutcome
    result: bytes  # if the outcome is ENDED: the result of the run on another node
    run_by: int | None  # if GRANTED: the run must start before this time of the boot clock, or never


class WallClockRead(NamedTuple):
    """A reading of the wall clock, sent when its offset to the node's clock has changed."""

    unix_us: int


class TimersDue(NamedTuple):
    """An input without content: the core only runs the timers that are due."""


class LoadMeasured(NamedTuple):
    """How long the event loop processed inputs in the last measurement interval."""

    busy_us: int  # time spent on inputs within the interval
    span_us: int  # duration of the interval


class DuplicateReady(NamedTuple):
    """The RPC whose completion a duplicate awaits has completed; `rpc_index` is the duplicate's."""

    rpc_index: int


class CallNotMade(NamedTuple):
    """A call was not made because there was no capacity or no address for it."""

    rpc_index: int


class RunNotStarted(NamedTuple):
    """A run was not started because its key lease had expired."""

    rpc_index: int


class KeyLeasesRequested(NamedTuple):
    """The key lease requests that have accumulated in this batch are due to be sent in one message."""


FleetInput = (
    FleetMemberChanged | FleetIsolationChanged | AllocationGranted | ConsensusChanged | KeyLeaseAnswered
)

Input = (
    Start
    | ConnectionOpened
    | FramesReceived
    | WallClockRead
    | MessagesReceived
    | WriteBlocked
    | WriteResumed
    | ConnectionRefused
    | ConnectionEnded
    | ConnectionClosed
    | CloseDue
    | CloseAttempted
    | Drain
    | ReloadConfig
    | AddressesChanged
    | ThreadDied
    | FleetInput
    | TimersDue
    | LoadMeasured
    | DuplicateReady
    | CallNotMade
    | RunNotStarted
    | KeyLeasesRequested
)
