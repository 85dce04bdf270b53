"""Subjects: what reports and decisions are about, each encoded in 64 bits.

Owns the encoding and the names by which operators refer to subjects and values. This module must never make a
decision on a subject. A subject consists of its kind in the highest byte and an identifier of 56 bits: the
address or number of a source, or the hash of a node's name.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from finchcart.errors import InvalidOverrideError
from finchcart.fleet.codec import name_hash

IDENTIFIER_BITS = 56
IDENTIFIER_MASK = (1 << IDENTIFIER_BITS) - 1
LEVEL_SCALE = 1000  # a load-shedding level is encoded as whole thousandths


class SubjectKind(IntEnum):
    """The highest byte of a subject."""

    STORE = 1
    DISPATCHER = 2  # a source, identified by the number that the dispatcher sends
    ADDRESS = 3  # a source, identified by the address that its connections come from
    NODE = 4
    LEVEL = 5
    ZONE = 6


SOURCE_KINDS = frozenset({SubjectKind.DISPATCHER, SubjectKind.ADDRESS})


class StoreHealth(IntEnum):
    """The values of the store, from best to worst."""

    WORKING = 1
    SLOW = 2
    DOWN = 3


class Restriction(IntEnum):
    """The values of a source or a node, from best to worst."""

    NONE = 1
    THROTTLED = 2  # for a source: each node admits `throttled_rate` RPCs a second from it
    BLOCKED = 3  # for a source: all its RPCs are rejected; for a node: it is ejected


EJECTED = Restriction.BLOCKED

HEALTHY = 1  # for each kind of subject, the value that stands for no problem

SOURCE_VALUE_NAMES: dict[int, str] = {
    Restriction.NONE: "in",
    Restriction.THROTTLED: "slowed",
    Restriction.BLOCKED: "out",
}
VALUE_NAMES: dict[SubjectKind, dict[int, str]] = {
    SubjectKind.STORE: {StoreHealth.WORKING: "working", StoreHealth.SLOW: "slow", StoreHealth.DOWN: "down"},
    SubjectKind.NODE: {Restriction.NONE: "in", EJECTED: "out"},
    SubjectKind.DISPATCHER: SOURCE_VALUE_NAMES,
    SubjectKind.ADDRESS: SOURCE_VALUE_NAMES,
}
KIND_NAMES = {
    SubjectKind.STORE: "store",
    SubjectKind.DISPATCHER: "source",
    SubjectKind.ADDRESS: "source",
    SubjectKind.NODE: "node",
    SubjectKind.LEVEL: "level",
    SubjectKind.ZONE: "zone",
}
KIND_BY_NAME = {
    "store": SubjectKind.STORE,
    "source": SubjectKind.ADDRESS,
    "node": SubjectKind.NODE,
}


def make_subject(kind: SubjectKind, identifier: int = 0) -> int:
    """Return the subject of a kind, with the lowest 56 bits of `identifier`."""
    return kind << IDENTIFIER_BITS | identifier & IDENTIFIER_MASK


def kind_of(subject: int) -> int:
    """Return the kind of a subject: a `SubjectKind`, or another number if a newer version sent it."""
    return subject >> IDENTIFIER_BITS


STORE_SUBJECT = make_subject(SubjectKind.STORE)
LEVEL_SUBJECT = make_subject(SubjectKind.LEVEL)
ZONE_SUBJECT = make_subject(SubjectKind.ZONE)


def is_source(subject: int) -> bool:
    """Whether the subject is a source, identified by address or by number."""
    return kind_of(subject) in SOURCE_KINDS


def node_subject(name: str) -> int:
    """Return the subject of a node."""
    return make_subject(SubjectKind.NODE, name_hash(name))


def source_subject(text: str) -> int | None:
    """Return the subject for an IPv4 address or a dispatcher's number, or None if the text is neither."""
    octets = text.split(".")
    if len(octets) == 4 and all(
        octet.isdecimal() and len(octet) < 4 and int(octet) < 256 for octet in octets
    ):
        return make_subject(SubjectKind.ADDRESS, int.from_bytes(bytes(map(int, octets)), "big"))
    if text.isdecimal() and len(text) < 16:
        return make_subject(SubjectKind.DISPATCHER, int(text))
    return None


def parse_subject(kind: str, name: str) -> int:
    """Return the subject that an operator names.

    Raises:
        InvalidOverrideError: the name of a source is neither an address nor a dispatcher's number.
    """
    if kind == "store":
        return STORE_SUBJECT
    if kind == "level":
        return LEVEL_SUBJECT
    if kind == "node":
        return node_subject(name)
    subject = source_subject(name)
    if subject is None:
        raise InvalidOverrideError(f"{name!r}: expected an IPv4 address or the number of a dispatcher")
    return subject


def parse_value(kind: str, text: str) -> int:
    """Return the value of an operator's override.

    Raises:
        InvalidOverrideError: the text is no value of a subject of this kind.
    """
    if kind == "level":
        try:
            return round(LEVEL_SCALE * min(1.0, max(0.0, float(text))))
        except ValueError:
            raise InvalidOverrideError(f"{text!r}: expected a level, a number from 0 to 1") from None
    value_names = VALUE_NAMES[KIND_BY_NAME[kind]]
    for value, name in value_names.items():
        if name == text:
            return value
    raise InvalidOverrideError(f"{text!r}: expected one of {', '.join(value_names.values())}")


class Description(NamedTuple):
    """A subject and its value in the terms that operators use."""

    kind: str
    name: str
    value: str


def describe(subject: int, value: int, node_names: Mapping[int, str]) -> Description:
    """Return the description of a subject and a value; `node_names` has the names of nodes by subject."""
    kind = SubjectKind(kind_of(subject))
    identifier = subject & IDENTIFIER_MASK
    if kind == SubjectKind.LEVEL:
        return Description("level", "", f"{value / LEVEL_SCALE:.2f}")
    subject_names = {
        SubjectKind.STORE: "",
        SubjectKind.DISPATCHER: str(identifier),
        SubjectKind.NODE: node_names.get(subject, f"{identifier:x}"),
        SubjectKind.ADDRESS: ".".join(map(str, identifier.to_bytes(7, "big")[3:])),
    }
    return Description(KIND_NAMES[kind], subject_names[kind], VALUE_NAMES[kind].get(value, str(value)))
