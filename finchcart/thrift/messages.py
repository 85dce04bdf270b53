"""The messages that dispatchers send, as the codec reads them: one type each.

Owns types alone. `sequence` is the caller's sequence number, by which an answer finds its call.
"""

from collections.abc import Mapping
from typing import NamedTuple


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
