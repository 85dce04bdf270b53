"""The outbox of a member: the effects of one input, the counters, and the bound on datagrams.

Owns the list of effects of the current input and the counters by reason. It must never decide what is sent.
"""

from finchcart.fleet.codec import DatagramError, HostPort
from finchcart.fleet.effects import FleetEffect, LogLine, SendDatagram
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import CODEC, MembershipMessage


class Outbox:
    """Bounded by the reasons there are, and by `config.max_datagrams` a period.

    Arguments:
        fleet: the name of the fleet, which each datagram carries.
        config: its bound on datagrams.
    """

    def __init__(self, fleet: str, config: MembershipConfig) -> None:
        self.fleet = fleet
        self.config = config
        self.effects: list[FleetEffect] = []
        self.counts: dict[str, int] = {}
        self.sent_in_period = 0

    def begin_input(self) -> list[FleetEffect]:
        """Begin an input; return the list that its effects are added to."""
        self.effects = []
        return self.effects

    def on_tick(self) -> None:
        """Free a tick's part of the datagrams that may be sent in a period."""
        freed = self.config.max_datagrams // self.config.ticks_per_period
        self.sent_in_period = max(0, self.sent_in_period - freed)

    def count(self, reason: str, by: int = 1) -> None:
        """Add to the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + by

    def emit(self, effect: FleetEffect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def log(self, text: str, **fields: object) -> None:
        """Add a log line for the operators."""
        self.emit(LogLine(text, fields))

    def send(self, address: HostPort, message: MembershipMessage) -> bool:
        """Send a message; return False at the bound of the period, or where the message is too long."""
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
