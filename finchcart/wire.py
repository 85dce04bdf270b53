"""Lines of the simulator's wire: read into fields, and written from values. No decisions."""

from finchcart import settings
from finchcart.interface import Outcome

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


class WireError(Exception):
    """A line that can't be read: names the message, the field and what was expected."""


def _hex(text):
    if len(text) != 16 or not set(text) <= set("0123456789abcdef"):
        raise ValueError
    return text


def _repeats(text):
    return None if text == "0" else _hex(text)


def _flag(text):
    return {"1": True, "0": False, "true": True, "false": False}[text]


def _gauges(text):
    parts = (part.partition(":") for part in text.split(",") if part)
    return {name: float(value) for name, _, value in parts}


def _outcome(text):
    return OUTCOMES[int(text)]


_WHOLE = (settings.whole, "a whole number")
_ID = (_hex, "16 hex digits")
_TEXT = (str, "text")
_NUMBER = (float, "a number")
_OUTCOME = (_outcome, "a known outcome code")
# Of each message: the fields that must be there, then those that may.
EVENTS = {
    "CREATE": ({"who": _WHOLE, "randomSeed": _WHOLE}, {}),
    "KILL": ({"who": _WHOLE}, {}),
    "KNOCK": (
        {"who": _WHOLE, "call": _ID, "profile": _TEXT, "footprint": _NUMBER},
        {
            "neighbour": _WHOLE,
            "org": _TEXT,
            "place": _NUMBER,
            "isWrite": (_flag, "1 or 0"),
            "repeats": (_repeats, "16 hex digits or 0"),
            "estimate": _WHOLE,
            "expires": _WHOLE,
            "againByClient": (_flag, "1 or 0"),
            "item": _TEXT,
            "backlogTime": _WHOLE,
        },
    ),
    "WOUND_UP": ({"who": _WHOLE, "call": _ID, "how": _OUTCOME}, {"spent": _WHOLE}),
    "LEFT": ({"who": _WHOLE, "call": _ID}, {}),
    "WANTS_CALL": ({"who": _WHOLE, "call": _ID}, {}),
    "DOWNSTREAM": ({"who": _WHOLE, "call": _ID, "how": _OUTCOME}, {"spent": _WHOLE}),
    "DRAIN": ({"who": _WHOLE, "expires": _WHOLE}, {}),
    "WAKE": ({"who": _WHOLE, "name": _TEXT}, {"feedback": (_gauges, "name:value pairs")}),
    "TICK": ({"wall": _WHOLE}, {}),
    "END": ({}, {}),
}


def parse(line):
    """One line as (message, fields); the settings of a CREATE stand under `setup`."""
    message, *parts = line.split("\t")
    if message not in EVENTS:
        raise WireError(f"message {message[:40]!r}: expected one of {', '.join(EVENTS)}")
    must, may = EVENTS[message]
    raw = {}
    for part in parts:
        name, mark, value = part.partition("=")
        if not mark:
            raise WireError(f"{message}: part {part[:40]!r}: expected name=value")
        raw[name] = value
    fields = {}
    for group in (must, may):
        for name, (read, expected) in group.items():
            value = raw.get(name)
            if value is None or (value == "" and group is may):
                if group is must:
                    raise WireError(f"{message}: field {name} is missing, expected {expected}")
                continue
            try:
                fields[name] = read(value)
            except (ValueError, KeyError):
                raise WireError(f"{message}: field {name}={value[:40]!r}: expected {expected}") from None
    if message == "CREATE":
        fields["setup"] = settings.from_pairs(raw)
    return message, fields


def write(message, who, **fields):
    """One line of an answer; fields that are None are left out."""
    parts = [message, f"who={who}"]
    for name, value in fields.items():
        if value is not None:
            parts.append(f"{name}={int(value) if isinstance(value, bool) else value}")
    return "\t".join(parts)
