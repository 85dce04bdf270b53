"""The base of the state machines that exchange messages of one codec: inputs, datagrams in and out, counters.

Owns the counters by reason and the effects of one turn. It must never act on a message: that is the
subclass's. No I/O, no clock, no lock: `now` is the boot clock in whole microseconds, handed in.
"""

from typing import Any, ClassVar, Generic, TypeVar

from msgspec import Struct

from finchcart.errors import FinchcartError
from finchcart.fleet.codec import DatagramError, HostPort, MessageCodec
from finchcart.fleet.effects import FleetEffect, LogLine, SendDatagram
from finchcart.fleet.inputs import CommonInput, DatagramReceived, Shutdown, Tick

MessageT = TypeVar("MessageT", bound=Struct)
OwnInputT = TypeVar("OwnInputT")


class MessageRejectedError(FinchcartError):
    """A message that was read and is not acted on; its text is the reason used for the counters."""


class MessageEndpoint(Generic[MessageT, OwnInputT]):
    """A state machine that exchanges the messages `MessageT` and takes inputs `OwnInputT` of its own.

    Bounded by the number of reasons there are for the counters.

    Attributes:
        codec: reads and writes the messages of the endpoint's channel.
        counts: reason -> how often; shown to operators.
        effects: of the present turn.
        ended: whether this process has sent its last message and needs no more inputs.

    Arguments:
        fleet: the name of the fleet; messages of others are counted and dropped.
        now: microseconds on the boot clock.
    """

    codec: ClassVar[MessageCodec[Any]]

    def __init__(self, fleet: str, now: int) -> None:
        self.fleet = fleet
        self.now = now
        self.counts: dict[str, int] = {}
        self.effects: list[FleetEffect] = []
        self.ended = False

    def reduce(self, now: int, event: CommonInput | OwnInputT) -> list[FleetEffect]:
        """Take one input.

        Arguments:
            now: microseconds on the boot clock; an earlier time than the last counts as the last.
            event: one of finchcart/fleet/inputs.py, or of the subclass's own; others are ignored.

        Returns:
            The effects, in the order in which they are to be carried out.
        """
        effects = self.effects = []
        self.now = max(now, self.now)
        self.before_input()
        match event:
            case DatagramReceived(address, data):
                self._on_datagram(address, data)
            case Tick():
                self.on_tick()
            case Shutdown():
                self.on_shutdown()
            case _:
                self.on_input(event)
        self.after_input()
        return effects

    def before_input(self) -> None:
        """Do first in each turn what the time alone brings."""

    def after_input(self) -> None:
        """Do last in each turn what is left to do."""

    def on_tick(self) -> None:
        """Take the regular input of time."""

    def on_shutdown(self) -> None:
        """Take the input that this process ends."""
        self.ended = True

    def on_input(self, event: CommonInput | OwnInputT) -> None:
        """Take an input of the subclass's own, or `Leave`."""

    def on_message(self, address: HostPort, message: MessageT) -> None:
        """Act on a message that was read; may raise `MessageRejectedError`."""
        raise NotImplementedError

    def count(self, reason: str) -> None:
        """Count one event."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def send(self, address: HostPort, message: MessageT) -> None:
        """Send a message, unless it would be too long for a datagram, which is counted."""
        try:
            data = self.codec.encode_bounded(self.fleet, message)
        except DatagramError as error:
            self.count(str(error))
            return
        self.count("sent")
        self.effects.append(SendDatagram(address, data))

    def log(self, text: str, **fields: object) -> None:
        """Write one line for the operators, with structured fields."""
        self.effects.append(LogLine(text, fields))

    def _on_datagram(self, address: HostPort, data: bytes) -> None:
        self.count("received")
        try:
            self.on_message(address, self.codec.decode(self.fleet, data))
        except (DatagramError, MessageRejectedError) as error:
            self.count(str(error))
