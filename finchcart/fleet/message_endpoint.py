"""The base class of state machines that exchange the messages of one codec.

The base class dispatches inputs, decodes and encodes datagrams, counts events by reason, and collects the
effects of one input. Subclasses act on the messages. There is no I/O, clock or lock: `now`, the boot clock in
whole microseconds, is an argument.
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
    """A valid message that is not acted on; its text is the name of the counter for the reason."""


class MessageEndpoint(Generic[MessageT, OwnInputT]):
    """A state machine that exchanges messages `MessageT` and takes `OwnInputT` besides the common inputs.

    Counters are never removed, so the reasons must be a fixed set of texts.

    Attributes:
        codec: decodes and encodes the messages of the endpoint's channel.
        counts: reason -> number of events; shown to operators.
        effects: of the current input.
        ended: whether this endpoint has sent its last message and needs no further inputs.

    Arguments:
        fleet: the name of the fleet; messages of other fleets are counted and dropped.
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
        """Process one input.

        Arguments:
            now: microseconds on the boot clock; a time before that of the previous input is replaced by it.
            event: an input of finchcart/fleet/inputs.py or of the subclass; other inputs are ignored.

        Returns:
            The effects, in the order in which the driver has to carry them out.
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
        """Act on the passed time before each input is processed."""

    def after_input(self) -> None:
        """Complete pending work after each input was processed."""

    def on_tick(self) -> None:
        """Process a `Tick`."""

    def on_shutdown(self) -> None:
        """Process a `Shutdown`: this process terminates now."""
        self.ended = True

    def on_input(self, event: CommonInput | OwnInputT) -> None:
        """Process an input of the subclass, or a `Leave`."""

    def on_message(self, address: HostPort, message: MessageT) -> None:
        """Act on a decoded message; may raise `MessageRejectedError`."""
        raise NotImplementedError

    def count(self, reason: str) -> None:
        """Increment the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def send(self, address: HostPort, message: MessageT) -> None:
        """Send a message; if it is too long for a datagram, count that and drop the message."""
        try:
            data = self.codec.encode_bounded(self.fleet, message)
        except DatagramError as error:
            self.count(str(error))
            return
        self.count("sent")
        self.effects.append(SendDatagram(address, data))

    def log(self, text: str, **fields: object) -> None:
        """Write one log line for operators, with structured fields."""
        self.effects.append(LogLine(text, fields))

    def _on_datagram(self, address: HostPort, data: bytes) -> None:
        self.count("received")
        try:
            self.on_message(address, self.codec.decode(self.fleet, data))
        except (DatagramError, MessageRejectedError) as error:
            self.count(str(error))
