"""What a member says of its opinions, in a note on its beats, and what the command line asks.

Owns the messages alone; see store.py for what they mean.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from finchcart.membership.messages import Count, Unfit, Word, unsealed

CHANNEL = b"V"
OPINIONS, WORDS = 1, 2  # topics of notes; 0 is the limits'
Why = Annotated[str, Meta(max_length=60)]


class Said(Struct, array_like=True, frozen=True):
    """An operator's word. Newer is the higher `age`; `value` 0 takes it back. `left`: microseconds, from when
    the note that carries it was written."""

    subject: Word
    value: Annotated[int, Meta(ge=0, le=1000)]
    number: Count
    incarnation: Count
    who: Word
    left: Count
    why: Why

    @property
    def age(self):
        return self.number, self.incarnation, self.who


Opinions = Annotated[list[tuple[Word, Count, Count]], Meta(max_length=32)]
_opinions, _words = (
    msgspec.msgpack.Decoder(Opinions),
    msgspec.msgpack.Decoder(Annotated[list[Said], Meta(max_length=8)]),
)
encoded = msgspec.msgpack.Encoder().encode


def read(decoder, data):
    """What a note carries, or None where it can't be read."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError:
        return None


def opinions(data):
    return read(_opinions, data)


def words(data):
    return read(_words, data)


class Ask(Struct, array_like=True, frozen=True, tag=40):
    number: Count
    page: Annotated[int, Meta(ge=0, lt=256)] = 0


class Say(Struct, array_like=True, frozen=True, tag=41):
    """An operator's word for `left` microseconds; `value` 0 takes it back."""

    number: Count
    subject: Word
    value: Annotated[int, Meta(ge=0, le=1000)]
    left: Annotated[int, Meta(ge=0, le=7 * 86_400 * 1_000_000)]
    why: Why


class Told(Struct, array_like=True, frozen=True, tag=42):
    number: Count
    view: dict


class Envelope(Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    said: Ask | Say | Told


_decoder = msgspec.msgpack.Decoder(Envelope)


def unpack(fleet, data):
    return unsealed(CHANNEL, fleet, data, _decoder, (Ask, Say))


__all__ = ["Unfit"]
