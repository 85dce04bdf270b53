"""Links to other processes: measure two-way contact by echoed heartbeats, and the loss of heartbeats.

A link only holds measurements. What they mean for the state of a member is decided in failure_detection.py.
"""

from collections import deque

from finchcart.membership.messages import Heartbeat

MAX_SEND_TIMES = 32  # number of sent heartbeats whose send times are kept for each link
MIN_LOSS_SAMPLES = 20  # with no more received heartbeats than this, the loss counts as 0
MAX_LOSS_SAMPLES = 64  # above this number both counters are halved, so that older samples weigh less
SILENT_PERIODS = 2  # after a silence of this length, the next heartbeat is answered with the next tick
MAX_LOSS_GAP_PERIODS = 8  # a longer gap between heartbeats counts as a suspension of the sender, not as loss


class PeerLink:
    """The link to one process of a member.

    The process is identified by its session: if another process takes over the member's name, the link is
    reset.
    """

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
        self.sent_at: deque[tuple[int, int]] = deque(maxlen=MAX_SEND_TIMES)  # (sequence number, send time)
        self.received_sequence = 0
        self.last_received_at: int | None = None
        self.confirmed_at: int | None = None  # send time of the latest heartbeat that was echoed
        self.is_down = False
        self.heartbeat_due = now

    def contact_since(self) -> int:
        """Return when two-way contact was last proven or the link was opened, whichever is later."""
        return self.opened_at if self.confirmed_at is None else max(self.opened_at, self.confirmed_at)

    def reset(self, now: int) -> None:
        """Discard the proof of contact, after a suspension or when another process took over the name."""
        self.opened_at = now
        self.confirmed_at = None
        self.sent_at.clear()

    def follow_session(self, now: int, session: int) -> None:
        """Reset the link if the heartbeat came from another process than the previous ones."""
        if self.session != session:
            self.session = session
            self.received_sequence = 0
            self.last_received_at = None
            self.reset(now)

    def record_sent(self, now: int) -> int:
        """Record that a heartbeat is sent now; return its sequence number."""
        self.sent_sequence += 1
        self.sent_at.append((self.sent_sequence, now))
        return self.sent_sequence

    def record_echo(self, echo_sequence: int) -> tuple[int | None, bool]:
        """Record the echo of a heartbeat that this process sent.

        Returns:
            (send time of the echoed heartbeat or None if unknown, whether `confirmed_at` moved forward).
        """
        for sequence, sent_at in reversed(self.sent_at):
            if sequence <= echo_sequence:
                is_later = self.confirmed_at is None or sent_at > self.confirmed_at
                if is_later:
                    self.confirmed_at = sent_at
                return sent_at, is_later
        return None, False

    def has_received_within(self, now: int, span: int) -> bool:
        """Whether a heartbeat was received in the last `span` microseconds."""
        return self.last_received_at is not None and now - self.last_received_at <= span


class LossEstimate:
    """The fraction of heartbeats to this process that are lost, from gaps in their sequence numbers."""

    def __init__(self) -> None:
        self.missed = 0.0
        self.received = 0.0
        self.value = 0.0  # loss from 0 to 1, updated with each tick

    def add(self, missed: int) -> None:
        """Count a received heartbeat and the number of heartbeats missed before it."""
        self.missed += missed
        self.received += 1

    def update(self) -> None:
        """Recompute `value`; called once per tick."""
        if self.missed + self.received > MAX_LOSS_SAMPLES:
            self.missed /= 2
            self.received /= 2
        is_known = self.received > MIN_LOSS_SAMPLES
        self.value = self.missed / (self.missed + self.received) if is_known else 0.0


def record_heartbeat(link: PeerLink, loss: LossEstimate, now: int, heartbeat: Heartbeat, period: int) -> None:
    """Record the sequence number of a received heartbeat in its link and in the loss estimate.

    Arguments:
        link: to the sender.
        loss: the estimate over all links.
        now: boot clock, microseconds.
        heartbeat: as it was received.
        period: microseconds between heartbeats.
    """
    if heartbeat.sequence <= link.received_sequence:
        return
    received_at = link.last_received_at
    if received_at is not None and now - received_at < MAX_LOSS_GAP_PERIODS * period:
        loss.add(heartbeat.sequence - link.received_sequence - 1)
    link.received_sequence = heartbeat.sequence
    if not link.has_received_within(now, SILENT_PERIODS * period):
        link.heartbeat_due = min(link.heartbeat_due, now)  # answer with the next tick
    link.last_received_at = now
