"""The inputs of the core: everything that can happen to a node, one type each.

Owns no state. Readers, signal handlers and timers create inputs; `Core.reduce` handles one at a time.
Connections that others open have numbers from 1 up, those that the node opens from -1 down. Times are whole
microseconds.
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
    """The process is up: the first input."""


class MessagesReceived(NamedTuple):
    """A batch of decoded messages."""

    connection: int
    messages: Sequence[Message]
    received_at: int
    not_before: int = 0  # the messages reached the machine at this moment at the earliest


class CloseDue(NamedTuple):
    """A frontend's deferred attempt to close a connection, after what was received before it."""

    connection: int


class CloseAttempted(NamedTuple):
    """The result of the effect `CloseIfIdle`, delivered before any other input."""

    connection: int
    closed: bool  # False: something was under way, and the connection is as before


class Drain(NamedTuple):
    """The notice to leave."""

    received_at: int | None = None  # None: now


class ReloadConfig(NamedTuple):
    """The order to read the configuration again; becomes `AddressesChanged` before the core sees it."""

    received_at: int


class AddressesChanged(NamedTuple):
    """The addresses of worker pool, store and registry, from a configuration that was read again."""

    addresses: NodeAddresses


class ThreadDied(NamedTuple):
    """A thread of the node ended by an exception."""

    thread: str


class FleetMemberState(Enum):
    """The states of a member of the fleet, as this node sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEAVING = "leaving"
    LEFT = "left"


class FleetMemberChanged(NamedTuple):
    """The state of a member of the fleet changed."""

    name: str
    state: FleetMemberState
    incarnation: int


class FleetIsolationChanged(NamedTuple):
    """Whether this node is cut off from most of the fleet."""

    isolated: bool


class AllocationGranted(NamedTuple):
    """What this node may use of one of the fleet's limits."""

    limit: str
    floor: int | None  # None: the limit is removed
    amount: int  # beyond the floor
    until: int  # on the boot clock


class ConsensusChanged(NamedTuple):
    """What the fleet holds to be so, all of it; numbers of states: finchcart/consensus/subjects.py."""

    dependency_state: int
    ejected: bool  # this node is to report itself unhealthy
    min_shed_level: float
    source_states: Mapping[int, int]  # by subject


class KeyLeaseOutcome(Enum):
    """How a request for a key lease ended."""

    GRANTED = "granted"  # this node may run the RPC
    HELD_ELSEWHERE = "held elsewhere"  # it runs elsewhere, and did not end in time
    ENDED = "ended"  # it ran elsewhere, with this result
    FAILED = "failed"  # it may have run elsewhere, and failed
    NO_MAJORITY = "no majority"  # it never ran here
    PAYLOAD_MISMATCH = "payload mismatch"  # the key is in use for another body


class KeyLeaseAnswered(NamedTuple):
    """The request for a key lease is answered."""

    key: bytes
    outcome: KeyLeaseOutcome
    result: bytes  # of a run elsewhere
    run_by: int | None  # with GRANTED, on the boot clock: the run is commanded until then or not at all


class WallClockRead(NamedTuple):
    """A reading of the wall clock, where its offset to the node's clock has changed."""

    unix_us: int


class TimersDue(NamedTuple):
    """Nothing but the timers that are due."""


class LoadMeasured(NamedTuple):
    """The part of the last span in which inputs were processed."""

    busy_us: int
    span_us: int


class DuplicateReady(NamedTuple):
    """The first RPC of a duplicate's key has completed."""

    rpc_index: int


class CallNotMade(NamedTuple):
    """A call was not made, for want of capacity or of an address: it never ran."""

    rpc_index: int


class RunNotStarted(NamedTuple):
    """A run was not commanded, as its key lease had expired: it never ran."""

    rpc_index: int


class KeyLeasesRequested(NamedTuple):
    """The key leases requested in one batch are to be sent in one message."""


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
