"""The effects of the core: one type for each kind of action that the core requests from its host.

The core emits effects in the order in which the host has to carry them out. The host makes no decisions.
Connections are identified by number; times are whole microseconds.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from finchcart.node.inputs import Input

if TYPE_CHECKING:  # at run time, these modules are imported only if a fleet is configured
    from finchcart.consensus.evidence import Evidence
    from finchcart.key_leases.inputs import KeyToLease


class Read(NamedTuple):
    """Read one more batch of messages from a connection."""

    connection: int


class Send(NamedTuple):
    """Send data on a connection; all sends of one event-loop turn may be combined into one write."""

    connection: int
    data: bytes


class SendBefore(NamedTuple):
    """Send data on a connection by `deadline` on the boot clock; if that fails, break the connection."""

    connection: int
    data: bytes
    deadline: int


class Close(NamedTuple):
    """Close a connection once all sent data is written."""

    connection: int


class CloseIfIdle(NamedTuple):
    """Close a connection if it is not in use; the input `CloseAttempted` reports the result."""

    connection: int


class Drop(NamedTuple):
    """Close a connection immediately and discard unsent data."""

    connection: int


class Connect(NamedTuple):
    """Open a connection to a peer; `kind` names the codec."""

    connection: int
    kind: str
    address: tuple[str, int]


class SendReport(NamedTuple):
    """Send one datagram to the registry."""

    address: tuple[str, int]
    data: bytes


class Defer(NamedTuple):
    """Process this input after the inputs that are already queued."""

    input: Input


class Log(NamedTuple):
    """Write one line to the log."""

    text: str


class StopListening(NamedTuple):
    """Accept no further connections."""


class End(NamedTuple):
    """End the process: the node is idle, or is about to be killed."""


class PublishUsage(NamedTuple):
    """Publish this node's usage and demand for one of the fleet's limits."""

    limit: str
    in_use: int
    demand: int
    priority_demand: int


class PublishEvidence(NamedTuple):
    """Publish observations for the fleet's consensus."""

    evidence: "Evidence"


class RequestKeyLeases(NamedTuple):
    """Request these key leases from a majority of the fleet's replicas."""

    keys: "Sequence[KeyToLease]"


class ReportRunEnded(NamedTuple):
    """Report the end of the run that a key lease was held for."""

    key: bytes
    succeeded: bool
    result: bytes  # empty if the run did not succeed


class ReleaseKeyLease(NamedTuple):
    """Release a key lease whose RPC will not run."""

    key: bytes


class AbandonKeyLeaseRequest(NamedTuple):
    """Withdraw the request for a key lease that no RPC waits for any more."""

    key: bytes


KeyLeaseAction = RequestKeyLeases | ReportRunEnded | ReleaseKeyLease | AbandonKeyLeaseRequest


class KeyLeaseCommand(NamedTuple):
    """Pass a command to the key lease client."""

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
