"""The reports and overrides in gossip entries, and the messages exchanged with the command line.

Owns their fields and limits; store.py handles them. This module must never act on a message. The order of the
fields and the tags are the wire format and must not change; the names of the fields are not sent.
"""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from finchcart.fleet.codec import MessageCodec, Unsigned53, Unsigned64

CHANNEL = b"V"
MAX_REPORTS = 32  # most reports in one gossip entry
MAX_OVERRIDES = 8  # most overrides in one gossip entry
MAX_REASON_LENGTH = 60
MAX_OVERRIDE_US = 7 * 86_400 * 1_000_000

Reason = Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]
OverrideValue = Annotated[int, Meta(ge=0, le=1000)]


class ObservationReport(NamedTuple):
    """One node's report on one subject; see `Observer.reports` for the meaning of value and weight."""

    subject: Unsigned64
    value: Unsigned53
    weight: Unsigned53


class OperatorOverride(Struct, array_like=True, frozen=True):
    """An operator's override of a decision, as it is gossiped; a `value` of 0 revokes an earlier one."""

    subject: Unsigned64
    value: OverrideValue
    number: Unsigned53
    incarnation: Unsigned53
    issuer: Unsigned64
    remaining_us: Unsigned53  # time until the override ends, counted from the writing of the entry
    reason: Reason

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The sort key of the overrides of one subject: the newer override has the higher key."""
        return self.number, self.incarnation, self.issuer


class ConsensusStatusRequest(Struct, array_like=True, frozen=True, tag=40):
    """The command line asks for one page of the decisions in force."""

    number: Unsigned53
    page: Annotated[int, Meta(ge=0, lt=256)] = 0


class OverrideRequest(Struct, array_like=True, frozen=True, tag=41):
    """An operator issues an override for a limited time; a `value` of 0 revokes an earlier one."""

    number: Unsigned53
    subject: Unsigned64
    value: OverrideValue
    duration_us: Annotated[int, Meta(ge=0, le=MAX_OVERRIDE_US)]
    reason: Reason


class ConsensusStatusResponse(Struct, array_like=True, frozen=True, tag=42):
    """The response to the request that has the same number."""

    number: Unsigned53
    view: dict


ConsensusMessage = ConsensusStatusRequest | OverrideRequest | ConsensusStatusResponse

CODEC: MessageCodec[ConsensusMessage] = MessageCodec(
    CHANNEL, ConsensusMessage, (ConsensusStatusRequest, OverrideRequest)
)

_reports_decoder = msgspec.msgpack.Decoder(Annotated[list[ObservationReport], Meta(max_length=MAX_REPORTS)])
_overrides_decoder = msgspec.msgpack.Decoder(
    Annotated[list[OperatorOverride], Meta(max_length=MAX_OVERRIDES)]
)


def decode_reports(payload: bytes) -> list[ObservationReport] | None:
    """Return the reports in a gossip entry, or None if they cannot be decoded."""
    try:
        return _reports_decoder.decode(payload)
    except msgspec.DecodeError:
        return None


def decode_overrides(payload: bytes) -> list[OperatorOverride] | None:
    """Return the overrides in a gossip entry, or None if they cannot be decoded."""
    try:
        return _overrides_decoder.decode(payload)
    except msgspec.DecodeError:
        return None
