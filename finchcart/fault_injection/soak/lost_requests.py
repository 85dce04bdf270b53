"""Classifies requests without an answer by comparing the client's records with the node's socket trace.

A report counts lost requests by these causes. A cause does not excuse a lost request: recorded_rules.py alone
decides whether a loss is a breach.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from finchcart.fault_injection.processes.socket_trace import AcceptedSocket
from finchcart.fault_injection.soak.recording_client import ClientRpcRecord, ConnectionRecord

# A connection may wait this long in the accept backlog after the client opened it.
CONNECT_SLACK_S = 5.0


class LostCause(StrEnum):
    """How far the node processed a request that has no answer."""

    NEVER_READ = "never read"
    CLOSED_BEFORE_READ = "closed over"  # the node closed its direction before it read the request
    NOT_ANSWERED = "read and not answered"
    UNKNOWN = "not traced"


class LostRequest(NamedTuple):
    """The cause of a loss, and the times at the node that it follows from, on the monotonic clock."""

    cause: LostCause
    read_at: float | None
    closed_at: float | None


def find_accepted_socket(
    connection: ConnectionRecord, sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> AcceptedSocket | None:
    """Return the trace of a client's connection at the node, or None if it was not traced.

    Of connections from the same client port, the one accepted closest to the opening time is returned.
    """
    candidates = [
        accepted
        for accepted in sockets.get(connection.port, ())
        if abs(accepted.accepted_at - connection.opened_at) < CONNECT_SLACK_S
    ]
    return min(
        candidates, key=lambda accepted: abs(accepted.accepted_at - connection.opened_at), default=None
    )


def add_write_times(
    records: Sequence[ClientRpcRecord], sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> None:
    """Set `written_at` of each answer to the time at which the node wrote the answer."""
    for record in records:
        accepted = find_accepted_socket(record.connection, sockets) if record.answers else None
        if accepted:
            record.answers = [
                answer._replace(written_at=accepted.written_at(answer.stream_end))
                for answer in record.answers
            ]


def trace_lost_request(
    record: ClientRpcRecord, sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> LostRequest:
    """Return how far the node processed a request without an answer."""
    accepted = find_accepted_socket(record.connection, sockets)
    if accepted is None:
        return LostRequest(LostCause.UNKNOWN, None, None)
    read_at = accepted.read_at(record.stream_end)
    closed_at = accepted.closed_at
    if closed_at is not None and (read_at is None or read_at >= closed_at):
        cause = LostCause.CLOSED_BEFORE_READ
    elif read_at is None:
        cause = LostCause.NEVER_READ
    else:
        cause = LostCause.NOT_ANSWERED
    return LostRequest(cause, read_at, closed_at)
