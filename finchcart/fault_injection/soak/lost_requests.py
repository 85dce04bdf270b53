"""Why a request got no answer: the client's record held against the trace of the node's system calls.

Owns the causes by which a report counts lost requests. It must never excuse one: recorded_rules.py judges.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from finchcart.fault_injection.processes.socket_trace import AcceptedSocket
from finchcart.fault_injection.soak.recording_client import ClientRpcRecord, ConnectionRecord

CONNECT_SLACK_S = 5.0  # between a connection's end at the client and its acceptance: it may wait so long


class LostCause(StrEnum):
    """How far a request came."""

    NEVER_READ = "never read"
    CLOSED_OVER = "closed over"  # the node closed its direction before it read the request
    NOT_ANSWERED = "read and not answered"
    UNKNOWN = "not traced"


class LostRequest(NamedTuple):
    """How far a request came, and the moments that show it, on the monotonic clock."""

    cause: LostCause
    read_at: float | None
    closed_at: float | None


def accepted_socket(
    connection: ConnectionRecord, sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> AcceptedSocket | None:
    """Return the node's end of a client's connection, or None where no trace has it."""
    candidates = [
        accepted
        for accepted in sockets.get(connection.port, ())
        if abs(accepted.accepted_at - connection.opened_at) < CONNECT_SLACK_S
    ]
    return min(
        candidates, key=lambda accepted: abs(accepted.accepted_at - connection.opened_at), default=None
    )


def add_times_of_writing(
    records: Sequence[ClientRpcRecord], sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> None:
    """Add to each answer when the node wrote it."""
    for record in records:
        accepted = accepted_socket(record.connection, sockets) if record.answers else None
        if accepted:
            record.answers = [
                answer._replace(written_at=accepted.written_at(answer.stream_end))
                for answer in record.answers
            ]


def trace_lost_request(
    record: ClientRpcRecord, sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> LostRequest:
    """Return how far a request without an answer came at the node."""
    accepted = accepted_socket(record.connection, sockets)
    if accepted is None:
        return LostRequest(LostCause.UNKNOWN, None, None)
    read_at = accepted.read_at(record.stream_end)
    closed_at = accepted.closed_at
    if closed_at is not None and (read_at is None or read_at >= closed_at):
        cause = LostCause.CLOSED_OVER
    elif read_at is None:
        cause = LostCause.NEVER_READ
    else:
        cause = LostCause.NOT_ANSWERED
    return LostRequest(cause, read_at, closed_at)
