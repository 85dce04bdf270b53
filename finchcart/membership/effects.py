"""Inputs and effects of the state machines that share the members' datagrams.

Owns the words by which a driver tells an input from another and carries out an effect. Inputs are tuples
that begin with an `InputKind`; effects are named tuples that begin with an `EffectKind`, so that a driver
can match either the type or the first field; they print as plain tuples.
"""

from typing import Any, Literal, NamedTuple

from finchcart.fleet.plain_enums import PlainStrEnum

HostPort = tuple[str, int]


class InputKind(PlainStrEnum):
    """The first field of an input."""

    TICK = "tick"
    DATAGRAM = "got"  # address, data
    LEAVE = "leave"  # the notice to drain
    END = "end"
    CONFIG = "figures"  # the new configuration
    PIGGYBACK = "rider"  # handed on to what is piggybacked on heartbeats
    EVIDENCE = "evidence"  # what a node's core saw, see finchcart/consensus/observations.py


class EffectKind(PlainStrEnum):
    """The first field of an effect."""

    SEND = "send"
    MEMBER_CHANGED = "change"
    ISOLATION_CHANGED = "isolated"
    LOG = "log"
    DECISIONS = "verdicts"


class SendDatagram(NamedTuple):
    """Send a datagram to an address."""

    kind: Literal[EffectKind.SEND]
    address: HostPort
    data: bytes

    __repr__ = tuple.__repr__

    @classmethod
    def of(cls, address: HostPort, data: bytes) -> "SendDatagram":
        """The effect with these fields."""
        return cls(EffectKind.SEND, address, data)


class MemberChanged(NamedTuple):
    """A member's state or incarnation changed in this process's view."""

    kind: Literal[EffectKind.MEMBER_CHANGED]
    name: str
    state: str
    incarnation: int

    __repr__ = tuple.__repr__

    @classmethod
    def of(cls, name: str, state: str, incarnation: int) -> "MemberChanged":
        """The effect with these fields."""
        return cls(EffectKind.MEMBER_CHANGED, name, state, incarnation)


class IsolationChanged(NamedTuple):
    """This process lost or regained contact with the fleet."""

    kind: Literal[EffectKind.ISOLATION_CHANGED]
    is_isolated: bool
    reason: str

    __repr__ = tuple.__repr__

    @classmethod
    def of(cls, is_isolated: bool, reason: str) -> "IsolationChanged":
        """The effect with these fields."""
        return cls(EffectKind.ISOLATION_CHANGED, is_isolated, reason)


class LogLine(NamedTuple):
    """One line for the operators, with structured fields."""

    kind: Literal[EffectKind.LOG]
    text: str
    fields: dict[str, Any]

    __repr__ = tuple.__repr__

    @classmethod
    def of(cls, text: str, fields: dict[str, Any]) -> "LogLine":
        """The effect with these fields."""
        return cls(EffectKind.LOG, text, fields)


class DecisionsChanged(NamedTuple):
    """All consensus decisions that stand now, where one of them changed."""

    kind: Literal[EffectKind.DECISIONS]
    decisions: dict[str, Any]

    __repr__ = tuple.__repr__

    @classmethod
    def of(cls, decisions: dict[str, Any]) -> "DecisionsChanged":
        """The effect with these fields."""
        return cls(EffectKind.DECISIONS, decisions)


Effect = SendDatagram | MemberChanged | IsolationChanged | LogLine | DecisionsChanged
