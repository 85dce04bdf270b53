"""The types of the messages that a node receives over connections, as the codecs decode them.

This module defines types only and must never depend on the encoding or the names of a protocol. Messages must
be distinguished by type, as two messages of different types may be equal as tuples. Times are whole
microseconds.
"""

from collections.abc import Mapping
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome

# ---- From the worker pool. `cursor` is the number of a notice; the first notice has number 1.


class Subscribed(NamedTuple):
    """The worker pool sends its notices from now on."""

    is_cold: bool  # the worker pool has just started
    uptime_us: int


class RunEndedNotice(NamedTuple):
    """A notice that a run has ended."""

    cursor: int
    rpc_name: str
    outcome: Outcome
    service_time_us: int
    result: bytes


class RunAwaitingCall(NamedTuple):
    """A notice that a run waits for the reply to a call."""

    cursor: int
    rpc_name: str
    body: bytes  # the body of the call


class GaugesRead(NamedTuple):
    """The values of the gauges that were requested with this ticket."""

    ticket: str
    values: tuple[float, ...]


class CommandRejected(NamedTuple):
    """A command was rejected, because the worker pool does not know its run or method."""

    was_start: bool  # whether the rejected command was to start a run
    rpc_name: str


class InformationalNotice(NamedTuple):
    """A notice that requires no action; only its number is used."""

    cursor: int


class UnknownNotice(NamedTuple):
    """A notice of a later protocol version, which is ignored."""


WorkerPoolMessage = (
    Subscribed
    | RunEndedNotice
    | RunAwaitingCall
    | GaugesRead
    | CommandRejected
    | InformationalNotice
    | UnknownNotice
)

# ---- From the store


class StoreReply(NamedTuple):
    """The store's reply to the call that the run of the RPC `rpc_name` made."""

    rpc_name: str
    outcome: Outcome
    body: bytes


# ---- From dispatchers. `sequence` is the sequence number of a call, which its answer repeats.


class SubmitCall(NamedTuple):
    """An RPC; `fields` or `body` is None if it is missing or invalid."""

    sequence: int
    fields: Mapping[str, str] | None
    body: bytes | None


class RevokeNotice(NamedTuple):
    """The caller of the RPC with this sequence number no longer waits for the answer."""

    sequence: int


class HeartbeatCall(NamedTuple):
    """A health check."""

    sequence: int


class UnservedCall(NamedTuple):
    """A call that the node does not support; `sequence` is None if no answer is expected."""

    sequence: int | None
    name: str


DispatcherMessage = SubmitCall | RevokeNotice | HeartbeatCall | UnservedCall

Message = WorkerPoolMessage | StoreReply | DispatcherMessage
