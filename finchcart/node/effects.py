"""The effects of the core: everything that it can ask its host to do, one type each.

Owns no state. The core emits effects, in the order in which they are to be carried out; a host carries them
out and never decides. Connections are named by number; times are whole microseconds.
"""

from typing import Any, NamedTuple

from finchcart.node.inputs import Input


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
    """Close a connection at once, whatever is under way."""

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
    """End the process: nothing is open or owed any more, or the kill is due."""


class PublishUsage(NamedTuple):
    """What this node uses and wants of one of the fleet's limits."""

    limit: str
    in_use: int
    demand: int
    priority_demand: int


class PublishEvidence(NamedTuple):
    """Observations for the fleet's consensus."""

    evidence: dict[str, Any]


class KeyLeaseCommand(NamedTuple):
    """An input of the key lease client."""

    command: tuple[Any, ...]


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
