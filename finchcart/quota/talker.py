"""What holders and planners have alike: counters by reason, and messages out and in.

Owns the counters and the effects of one turn; it must never act on a message.
"""

from finchcart.membership import codec
from finchcart.quota import wire


class Talker:
    """Needs `fleet`; bounded by the reasons there are."""

    def __init__(self):
        self.counts, self.effects = {}, []

    def count(self, reason):
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def send(self, address, said):
        data = wire.CODEC.encode(self.fleet, said)
        if len(data) > codec.MAX_DATAGRAM_BYTES:
            return self.count("too long to send")
        self.count("sent")
        self.effects.append(("send", address, data))

    def read(self, data):
        """What a datagram says; None where it can't be read, which is counted by reason."""
        self.count("received")
        try:
            return wire.CODEC.decode(self.fleet, data)
        except codec.DatagramError as error:
            self.count(str(error))
            return None
