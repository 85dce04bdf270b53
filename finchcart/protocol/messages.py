"""The messages that a node receives over connections, one type each, as the codecs read them.

Owns types alone: it must never know the bytes or the words of a protocol. Messages are matched by type: two
of different types may be equal as tuples. Times are whole microseconds.
"""

from collections.abc import Mapping
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome

# ---- From the worker pool. `cursor` is the number of a notice, from 1 on.


class Subscribed(NamedTuple):
    """The worker pool sends its notices from now on."""

    is_cold: bool  # it has just started
    uptime_us: int


class RunEndedNotice(NamedTuple):
    """A notice: a run has ended."""

    cursor: int
    rpc_name: str
    outcome: Outcome
    service_time_us: int
    result: bytes


class RunAwaitingCall(NamedTuple):
    """A notice: a run waits for the reply to a call."""

    cursor: int
    rpc_name: str
    body: bytes  # of the call


class GaugesRead(NamedTuple):
    """The gauges that were requested with this ticket."""

    ticket: str
    values: tuple[float, ...]


class CommandRejected(NamedTuple):
    """A command that was not carried out, as the worker pool knows no such run or method."""

    was_start: bool  # it was to start a run
    rpc_name: str


class InformationalNotice(NamedTuple):
    """A notice of which only the number counts."""

    cursor: int


class UnknownNotice(NamedTuple):
    """A notice of a later protocol, to be ignored."""


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
    """The store's reply to a call."""

    rpc_name: str
    outcome: Outcome
    body: bytes


# ---- From dispatchers. `sequence` is the caller's sequence number, by which an answer finds its call.


class SubmitCall(NamedTuple):
    """An RPC; `fields` or `body` are None where it did not carry them as it should."""

    sequence: int
    fields: Mapping[str, str] | None
    body: bytes | None


class RevokeNotice(NamedTuple):
    """The caller of that RPC has gone."""

    sequence: int


class HeartbeatCall(NamedTuple):
    """A health check."""

    sequence: int


class UnservedCall(NamedTuple):
    """A call that is not served here; `sequence` is None where no answer is expected."""

    sequence: int | None
    name: str


DispatcherMessage = SubmitCall | RevokeNotice | HeartbeatCall | UnservedCall

Message = WorkerPoolMessage | StoreReply | DispatcherMessage
