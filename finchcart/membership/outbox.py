"""The outbox of a member: collect the effects of one input, count events, and limit sent datagrams."""

from finchcart.fleet.codec import DatagramError, HostPort
from finchcart.fleet.effects import FleetEffect, LogLine, SendDatagram
from finchcart.membership.config import MembershipConfig
from finchcart.membership.messages import CODEC, MembershipMessage


class Outbox:
    """Collects effects and sends at most `config.max_datagrams` per period.

    Reasons of counters must be a fixed set of texts, because they are never removed.

    Arguments:
        fleet: the name of the fleet, which each datagram carries.
        config: provides the limit on datagrams.
    """

    def __init__(self, fleet: str, config: MembershipConfig) -> None:
        self.fleet = fleet
        self.config = config
        self.effects: list[FleetEffect] = []
        self.counts: dict[str, int] = {}
        self.sent_in_period = 0

    def begin_input(self) -> list[FleetEffect]:
        """Start processing an input; return the list to which its effects will be added."""
        self.effects = []
        return self.effects

    def on_tick(self) -> None:
        """Restore one tick's share of the datagrams that may be sent per period."""
        freed = self.config.max_datagrams // self.config.ticks_per_period
        self.sent_in_period = max(0, self.sent_in_period - freed)

    def count(self, reason: str, by: int = 1) -> None:
        """Increase the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + by

    def emit(self, effect: FleetEffect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def log(self, text: str, **fields: object) -> None:
        """Add a log line for operators."""
        self.emit(LogLine(text, fields))

    def send(self, address: HostPort, message: MembershipMessage) -> bool:
        """Send a message; return False if the limit per period is reached or the message is too long."""
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
