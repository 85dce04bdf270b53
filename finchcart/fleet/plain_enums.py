"""Enums whose members print as their plain values.

Effects and the values in them are shown to operators in breach reports of the fault-injection suite, and are
hashed in the traces of its seeded runs: both read as plain tuples, words and numbers.
"""

from enum import IntEnum, StrEnum


class PlainStrEnum(StrEnum):
    """Words; `repr` is that of the text."""

    __repr__ = str.__repr__


class PlainIntEnum(IntEnum):
    """Numbers; `repr` is that of the number."""

    __repr__ = int.__repr__
