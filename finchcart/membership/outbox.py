"""What one input of a member comes to: its effects, the counters, and the bound on datagrams.

Owns the list of effects of the current input and the counters by reason. It must never decide what is sent.
"""

from finchcart.fleet.codec import DatagramError, HostPort
from finchcart.fleet.effects import Effect, LogLine, SendDatagram
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import CODEC, Message


class Outbox:
    """Bounded by the reasons there are, and by `config.max_datagrams` a period.

    Arguments:
        fleet: the name of the fleet, which each datagram carries.
        config: its bound on datagrams.
    """

    def __init__(self, fleet: str, config: MembershipConfig) -> None:
        self.fleet = fleet
        self.config = config
        self.effects: list[Effect] = []
        self.counts: dict[str, int] = {}
        self.sent_in_period = 0

    def begin_input(self) -> list[Effect]:
        """A new list, which the effects of this input are added to."""
        self.effects = []
        return self.effects

    def on_tick(self) -> None:
        """A tick later, a tick's part of the period's datagrams may be sent again."""
        freed = self.config.max_datagrams // self.config.ticks_per_period
        self.sent_in_period = max(0, self.sent_in_period - freed)

    def count(self, reason: str, by: int = 1) -> None:
        """Adds to the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + by

    def emit(self, effect: Effect) -> None:
        """Adds an effect."""
        self.effects.append(effect)

    def log(self, text: str, **fields: object) -> None:
        """One line for the operators."""
        self.emit(LogLine(text, fields))

    def send(self, address: HostPort, message: Message) -> bool:
        """Sends a message; False where this period's datagrams are used up or the message is too long."""
        if self.sent_in_period >= self.config.max_datagrams:
            self.count("over the bound of datagrams")
            return False
        self.sent_in_period += 1
        try:
            data = CODEC.encode_bounded(self.fleet, message)
        except DatagramError as error:
            self.count(str(error))
            return False
        self.count("sent")
        self.count("bytes sent", len(data))
        self.emit(SendDatagram(address, data))
        return True
