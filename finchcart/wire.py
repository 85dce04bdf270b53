"""Codec of the simulator's line protocol: lines are read into typed fields and written from values.

A line is a message name and `name=value` parts, separated by tabs. Decides nothing; finchcart/wirehost.py
checks which message follows which.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from finchcart import settings
from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.UNREACHABLE,
    520: Outcome.CONNECTION_LOST,
    444: Outcome.STOPPED,
    409: Outcome.NOT_STARTED,
}
FLAGS = {"1": True, "0": False, "true": True, "false": False}
HEX_DIGITS = frozenset("0123456789abcdef")
ID_LENGTH = 16
MAX_QUOTED = 40  # characters of a line that an error quotes


class WireError(ProtocolError):
    """A line that can't be read: names the message, the field and what was expected."""


class FieldType(NamedTuple):
    """How the text of a field is read; `read` raises ValueError or KeyError where it can't be."""

    read: Callable[[str], object]
    expected: str


class EventFields(NamedTuple):
    """The fields of a message by name: those that must be there, and those that may."""

    required: Mapping[str, FieldType]
    optional: Mapping[str, FieldType] = {}


def _read_id(text: str) -> str:
    if len(text) != ID_LENGTH or not HEX_DIGITS.issuperset(text):
        raise ValueError(text)
    return text


def _read_optional_id(text: str) -> str | None:
    return None if text == "0" else _read_id(text)


def _read_gauges(text: str) -> dict[str, float]:
    pairs = (part.partition(":") for part in text.split(",") if part)
    return {name: float(value) for name, _, value in pairs}


def _read_outcome(text: str) -> Outcome:
    return OUTCOMES[int(text)]


WHOLE_NUMBER = FieldType(settings.whole, "a whole number")
NUMBER = FieldType(float, "a number")
TEXT = FieldType(str, "text")
FLAG = FieldType(FLAGS.__getitem__, "1 or 0")
ID = FieldType(_read_id, "16 hex digits")
OPTIONAL_ID = FieldType(_read_optional_id, "16 hex digits or 0")
OUTCOME = FieldType(_read_outcome, "a known outcome code")
GAUGES = FieldType(_read_gauges, "name:value pairs")

EVENTS = {
    "CREATE": EventFields({"who": WHOLE_NUMBER, "randomSeed": WHOLE_NUMBER}),
    "KILL": EventFields({"who": WHOLE_NUMBER}),
    "KNOCK": EventFields(
        {"who": WHOLE_NUMBER, "call": ID, "profile": TEXT, "footprint": NUMBER},
        {
            "neighbour": WHOLE_NUMBER,
            "org": TEXT,
            "place": NUMBER,
            "isWrite": FLAG,
            "repeats": OPTIONAL_ID,
            "estimate": WHOLE_NUMBER,
            "expires": WHOLE_NUMBER,
            "againByClient": FLAG,
            "item": TEXT,
            "backlogTime": WHOLE_NUMBER,
        },
    ),
    "WOUND_UP": EventFields({"who": WHOLE_NUMBER, "call": ID, "how": OUTCOME}, {"spent": WHOLE_NUMBER}),
    "LEFT": EventFields({"who": WHOLE_NUMBER, "call": ID}),
    "WANTS_CALL": EventFields({"who": WHOLE_NUMBER, "call": ID}),
    "DOWNSTREAM": EventFields({"who": WHOLE_NUMBER, "call": ID, "how": OUTCOME}, {"spent": WHOLE_NUMBER}),
    "DRAIN": EventFields({"who": WHOLE_NUMBER, "expires": WHOLE_NUMBER}),
    "WAKE": EventFields({"who": WHOLE_NUMBER, "name": TEXT}, {"feedback": GAUGES}),
    "TICK": EventFields({"wall": WHOLE_NUMBER}),
    "END": EventFields({}),
}


def parse(line: str) -> tuple[str, dict[str, object]]:
    """One line as its message and fields; unknown fields are ignored.

    The settings of a CREATE stand under `setup`. Raises WireError for a line that can't be read.
    """
    message, *parts = line.split("\t")
    if message not in EVENTS:
        raise WireError(f"message {message[:MAX_QUOTED]!r}: expected one of {', '.join(EVENTS)}")
    raw = _split_parts(message, parts)
    fields = {}
    for name, field_type in EVENTS[message].required.items():
        if name not in raw:
            raise WireError(f"{message}: field {name} is missing, expected {field_type.expected}")
        fields[name] = _read_field(message, name, field_type, raw[name])
    for name, field_type in EVENTS[message].optional.items():
        if raw.get(name, "") != "":
            fields[name] = _read_field(message, name, field_type, raw[name])
    if message == "CREATE":
        fields["setup"] = settings.from_pairs(raw)
    return message, fields


def write(message: str, who: int, **fields: object) -> str:
    """One line of an answer to the instance `who`; fields that are None are left out."""
    parts = [message, f"who={who}"]
    for name, value in fields.items():
        if value is not None:
            parts.append(f"{name}={int(value) if isinstance(value, bool) else value}")
    return "\t".join(parts)


def _split_parts(message: str, parts: list[str]) -> dict[str, str]:
    raw = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"{message}: part {part[:MAX_QUOTED]!r}: expected name=value")
        raw[name] = value
    return raw


def _read_field(message: str, name: str, field_type: FieldType, text: str) -> object:
    try:
        return field_type.read(text)
    except (ValueError, KeyError):
        found = f"{name}={text[:MAX_QUOTED]!r}"
        raise WireError(f"{message}: field {found}: expected {field_type.expected}") from None
