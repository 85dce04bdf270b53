"""Subjects: what reports and decisions are about, each encoded in 64 bits.

Owns the encoding, and the words by which an operator names subjects and values. It must never judge one. A
subject is its kind in the highest byte and an identifier of 56 bits: the address or number of a source, the
hash of a node's name.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from finchcart.errors import InvalidOverrideError
from finchcart.fleet.codec import name_hash

IDENTIFIER_BITS = 56
IDENTIFIER_MASK = (1 << IDENTIFIER_BITS) - 1
LEVEL_SCALE = 1000  # a level travels as whole thousandths


class SubjectKind(IntEnum):
    """The highest byte of a subject."""

    STORE = 1
    DISPATCHER = 2  # a source by the number that it gives of itself
    ADDRESS = 3  # a source by the address that its connections come from
    NODE = 4
    LEVEL = 5
    ZONE = 6


SOURCE_KINDS = frozenset({SubjectKind.DISPATCHER, SubjectKind.ADDRESS})


class StoreHealth(IntEnum):
    """Values of the store, from good to bad."""

    WORKING = 1
    SLOW = 2
    DOWN = 3


class Restriction(IntEnum):
    """Values of a source or a node, from good to bad."""

    NONE = 1
    THROTTLED = 2  # of a source: so many RPCs a second
    BLOCKED = 3  # of a source; of a node: ejected


EJECTED = Restriction.BLOCKED

GOOD = 1  # the value of a subject of any kind that nothing is wrong with

SOURCE_WORDS: dict[int, str] = {
    Restriction.NONE: "in",
    Restriction.THROTTLED: "slowed",
    Restriction.BLOCKED: "out",
}
VALUE_WORDS: dict[SubjectKind, dict[int, str]] = {
    SubjectKind.STORE: {StoreHealth.WORKING: "working", StoreHealth.SLOW: "slow", StoreHealth.DOWN: "down"},
    SubjectKind.NODE: {Restriction.NONE: "in", EJECTED: "out"},
    SubjectKind.DISPATCHER: SOURCE_WORDS,
    SubjectKind.ADDRESS: SOURCE_WORDS,
}
KIND_WORDS = {
    SubjectKind.STORE: "store",
    SubjectKind.DISPATCHER: "source",
    SubjectKind.ADDRESS: "source",
    SubjectKind.NODE: "node",
    SubjectKind.LEVEL: "level",
    SubjectKind.ZONE: "zone",
}
KIND_BY_WORD = {
    "store": SubjectKind.STORE,
    "source": SubjectKind.ADDRESS,
    "node": SubjectKind.NODE,
}


def make_subject(kind: SubjectKind, identifier: int = 0) -> int:
    """Return the subject of a kind with the lowest 56 bits of an identifier."""
    return kind << IDENTIFIER_BITS | identifier & IDENTIFIER_MASK


def kind_of(subject: int) -> int:
    """Return its kind: a `SubjectKind`, or another number where a newer version sent it."""
    return subject >> IDENTIFIER_BITS


STORE_SUBJECT = make_subject(SubjectKind.STORE)
LEVEL_SUBJECT = make_subject(SubjectKind.LEVEL)
ZONE_SUBJECT = make_subject(SubjectKind.ZONE)


def is_source(subject: int) -> bool:
    """Whether the subject is a source, by address or by number."""
    return kind_of(subject) in SOURCE_KINDS


def node_subject(name: str) -> int:
    """Return the subject of a node."""
    return make_subject(SubjectKind.NODE, name_hash(name))


def source_subject(text: str) -> int | None:
    """Return the subject of an IPv4 address or a dispatcher's number; None where the text is neither."""
    octets = text.split(".")
    if len(octets) == 4 and all(
        octet.isdecimal() and len(octet) < 4 and int(octet) < 256 for octet in octets
    ):
        return make_subject(SubjectKind.ADDRESS, int.from_bytes(bytes(map(int, octets)), "big"))
    if text.isdecimal() and len(text) < 16:
        return make_subject(SubjectKind.DISPATCHER, int(text))
    return None


def parse_subject(kind: str, name: str) -> int:
    """Return the subject that an operator names; raise `InvalidOverrideError`."""
    if kind == "store":
        return STORE_SUBJECT
    if kind == "level":
        return LEVEL_SUBJECT
    if kind == "node":
        return node_subject(name)
    subject = source_subject(name)
    if subject is None:
        raise InvalidOverrideError(f"{name!r}: neither an address nor the number of a dispatcher")
    return subject


def parse_value(kind: str, text: str) -> int:
    """Return the value of an operator's override; raise `InvalidOverrideError`."""
    if kind == "level":
        try:
            return round(LEVEL_SCALE * min(1.0, max(0.0, float(text))))
        except ValueError:
            raise InvalidOverrideError(f"{text!r}: a level is a number from 0 to 1") from None
    words = VALUE_WORDS[KIND_BY_WORD[kind]]
    for value, word in words.items():
        if word == text:
            return value
    raise InvalidOverrideError(f"{text!r}: expected one of {', '.join(words.values())}")


class Description(NamedTuple):
    """A subject and a value in an operator's words."""

    kind: str
    name: str
    value: str


def describe(subject: int, value: int, node_names: Mapping[int, str]) -> Description:
    """Return a subject and a value in words; `node_names`: subject of a node -> its name."""
    kind = SubjectKind(kind_of(subject))
    identifier = subject & IDENTIFIER_MASK
    if kind == SubjectKind.LEVEL:
        return Description("level", "", f"{value / LEVEL_SCALE:.2f}")
    names = {
        SubjectKind.STORE: "",
        SubjectKind.DISPATCHER: str(identifier),
        SubjectKind.NODE: node_names.get(subject, f"{identifier:x}"),
        SubjectKind.ADDRESS: ".".join(map(str, identifier.to_bytes(7, "big")[3:])),
    }
    return Description(KIND_WORDS[kind], names[kind], VALUE_WORDS[kind].get(value, str(value)))
