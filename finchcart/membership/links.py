"""Links to other processes: two-way contact, proven by echoed heartbeats, and the loss of heartbeats.

Owns what is measured of each link. It must never judge a member: failure_detection.py does.
"""

from collections import deque

from finchcart.membership.messages import Heartbeat

REMEMBERED_HEARTBEATS = 32  # send times kept for each link
MIN_LOSS_SAMPLES = 20  # with fewer the loss counts as 0
MAX_LOSS_SAMPLES = 64  # where more are counted all are halved, so that old ones fade
SILENT_PERIODS = 2  # without a heartbeat, after which the next one is answered at once
LOSS_SAMPLE_PERIODS = 8  # a longer gap between heartbeats is a suspension, not loss


class PeerLink:
    """The link to one process, identified by its session: a successor starts anew."""

    __slots__ = (
        "confirmed_at",
        "heartbeat_due",
        "is_down",
        "last_received_at",
        "opened_at",
        "received_sequence",
        "sent_at",
        "sent_sequence",
        "session",
    )

    def __init__(self, now: int) -> None:
        self.session = 0
        self.opened_at = now
        self.sent_sequence = 0
        self.sent_at: deque[tuple[int, int]] = deque(maxlen=REMEMBERED_HEARTBEATS)  # (sequence, when)
        self.received_sequence = 0
        self.last_received_at: int | None = None
        self.confirmed_at: int | None = None  # two-way contact is proven for what was sent then
        self.is_down = False
        self.heartbeat_due = now

    def contact_since(self) -> int:
        """Return when contact was last proven, or the link was opened."""
        return self.opened_at if self.confirmed_at is None else max(self.opened_at, self.confirmed_at)

    def reset(self, now: int) -> None:
        """Require new proof of contact: after a suspension, or with a successor."""
        self.opened_at = now
        self.confirmed_at = None
        self.sent_at.clear()

    def follow_session(self, now: int, session: int) -> None:
        """Start anew where another process than before sent a heartbeat."""
        if self.session != session:
            self.session = session
            self.received_sequence = 0
            self.last_received_at = None
            self.reset(now)

    def record_sent(self, now: int) -> int:
        """Count a heartbeat that is sent now; return its sequence."""
        self.sent_sequence += 1
        self.sent_at.append((self.sent_sequence, now))
        return self.sent_sequence

    def record_echo(self, echo_sequence: int) -> tuple[int | None, bool]:
        """Return (when the echoed heartbeat was sent, whether contact is proven later than before)."""
        for sequence, sent_at in reversed(self.sent_at):
            if sequence <= echo_sequence:
                is_later = self.confirmed_at is None or sent_at > self.confirmed_at
                if is_later:
                    self.confirmed_at = sent_at
                return sent_at, is_later
        return None, False

    def was_heard_within(self, now: int, span: int) -> bool:
        """Whether a heartbeat came in the last `span` microseconds."""
        return self.last_received_at is not None and now - self.last_received_at <= span


class LossEstimate:
    """The part of heartbeats lost on the way here, from gaps in their sequences."""

    def __init__(self) -> None:
        self.missed = 0.0
        self.received = 0.0
        self.value = 0.0  # 0 to 1, as of the last tick

    def add(self, missed: int) -> None:
        """Count a heartbeat that came, and so many before it that did not."""
        self.missed += missed
        self.received += 1

    def update(self) -> None:
        """Compute `value`, once a tick."""
        if self.missed + self.received > MAX_LOSS_SAMPLES:
            self.missed /= 2
            self.received /= 2
        is_known = self.received > MIN_LOSS_SAMPLES
        self.value = self.missed / (self.missed + self.received) if is_known else 0.0


def record_heartbeat(link: PeerLink, loss: LossEstimate, now: int, heartbeat: Heartbeat, period: int) -> None:
    """Take the sequence of a heartbeat into its link and into the loss.

    Arguments:
        link: to its sender.
        loss: of all links.
        now: boot clock, microseconds.
        heartbeat: as it came.
        period: microseconds between heartbeats.
    """
    if heartbeat.sequence <= link.received_sequence:
        return
    received_at = link.last_received_at
    if received_at is not None and now - received_at < LOSS_SAMPLE_PERIODS * period:
        loss.add(heartbeat.sequence - link.received_sequence - 1)
    link.received_sequence = heartbeat.sequence
    if not link.was_heard_within(now, SILENT_PERIODS * period):
        link.heartbeat_due = min(link.heartbeat_due, now)  # after a silence: answered with the next tick
    link.last_received_at = now
