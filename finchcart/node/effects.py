"""The effects of the core: everything that it can ask its host to do, one type each.

Owns no state. The core emits effects, in the order in which they are to be carried out; a host carries them
out and never decides. Connections are named by number; times are whole microseconds.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from finchcart.node.inputs import Input

if TYPE_CHECKING:  # not imported where no fleet is configured
    from finchcart.consensus.evidence import Evidence
    from finchcart.key_leases.inputs import KeyToLease


class Read(NamedTuple):
    """Deliver one batch more from a connection."""

    connection: int


class Send(NamedTuple):
    """Write on a connection; what one turn sends on it may go out in one write."""

    connection: int
    data: bytes


class SendBefore(NamedTuple):
    """Write on a connection until `deadline` on the boot clock, or break the connection."""

    connection: int
    data: bytes
    deadline: int


class Close(NamedTuple):
    """Close a connection once all is written."""

    connection: int


class CloseIfIdle(NamedTuple):
    """Close a connection if nothing is under way on it; `CloseAttempted` has the result."""

    connection: int


class Drop(NamedTuple):
    """Close a connection immediately, whatever is under way."""

    connection: int


class Connect(NamedTuple):
    """Open a connection; `kind` names its codec."""

    connection: int
    kind: str
    address: tuple[str, int]


class SendReport(NamedTuple):
    """Send one datagram to the registry."""

    address: tuple[str, int]
    data: bytes


class Defer(NamedTuple):
    """Process this input after those that wait already."""

    input: Input


class Log(NamedTuple):
    """One line for the operators."""

    text: str


class StopListening(NamedTuple):
    """Accept no further connections."""


class End(NamedTuple):
    """End the process: nothing is open or pending any more, or the kill is due."""


class PublishUsage(NamedTuple):
    """What this node uses and wants of one of the fleet's limits."""

    limit: str
    in_use: int
    demand: int
    priority_demand: int


class PublishEvidence(NamedTuple):
    """Observations for the fleet's consensus."""

    evidence: "Evidence"


class RequestKeyLeases(NamedTuple):
    """Request these key leases of a majority of the fleet's replicas."""

    keys: "Sequence[KeyToLease]"


class ReportRunEnded(NamedTuple):
    """The run of a leased key is over."""

    key: bytes
    succeeded: bool
    result: bytes  # empty where it did not succeed


class ReleaseKeyLease(NamedTuple):
    """A leased key won't be run."""

    key: bytes


class AbandonKeyLeaseRequest(NamedTuple):
    """Nobody waits for the key lease any more."""

    key: bytes


KeyLeaseAction = RequestKeyLeases | ReportRunEnded | ReleaseKeyLease | AbandonKeyLeaseRequest


class KeyLeaseCommand(NamedTuple):
    """A command to the key lease client."""

    command: KeyLeaseAction


Effect = (
    Read
    | Send
    | SendBefore
    | Close
    | CloseIfIdle
    | Drop
    | Connect
    | SendReport
    | Defer
    | Log
    | StopListening
    | End
    | PublishUsage
    | PublishEvidence
    | KeyLeaseCommand
)
