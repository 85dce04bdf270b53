"""A port that records what the decision module answers and publishes, for watch mode.

Owns what was recorded and not compared yet. It must never change what it passes on.
"""

from typing import NamedTuple

from finchcart.decisions.port import Port
from finchcart.decisions.rejection_reason import RejectionReason


class RecordedRejection(NamedTuple):
    """What a rejection advised the caller."""

    retry_after: int  # microseconds
    do_not_retry: bool


class RecordedDecisions(NamedTuple):
    """What was decided of one RPC."""

    rejection: RecordedRejection | None  # None: it was not rejected
    failed_or_paused: bool


class RecordingPort:
    """Records, and passes each verb on to `port` where there is one; see `Port` for the verbs.

    Bounds: what is recorded of an RPC is taken away once that is completed.
    """

    def __init__(self, port: Port | None = None) -> None:
        self.port = port
        self.enabled = True
        self.rejections: dict[int, RecordedRejection] = {}  # by index
        self.failed_or_paused: set[int] = set()  # indices
        self.feedback: float | None = None  # the shed level or credit that was published last
        self.healthy = True

    def take(self, index: int) -> RecordedDecisions:
        """Return what was recorded of an RPC, and forget it."""
        failed_or_paused = index in self.failed_or_paused
        self.failed_or_paused.discard(index)
        return RecordedDecisions(self.rejections.pop(index, None), failed_or_paused)

    def disable(self) -> None:
        """Record nothing from here on: nobody would take it away."""
        self.enabled = False
        self.rejections = {}
        self.failed_or_paused = set()

    # ---- Verbs that are recorded

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Record the rejection and its advice."""
        if self.enabled:
            self.rejections[index] = RecordedRejection(retry_after, do_not_retry)
        if self.port:
            self.port.reject(index, reason, retry_after, do_not_retry)

    def fail(self, index: int) -> None:
        """Record the failure."""
        if self.enabled:
            self.failed_or_paused.add(index)
        if self.port:
            self.port.fail(index)

    def stop(self, index: int) -> None:
        """Record the pause."""
        if self.enabled:
            self.failed_or_paused.add(index)
        if self.port:
            self.port.stop(index)

    def set_shed_level(self, level: float) -> None:
        """Record the feedback."""
        if self.enabled:
            self.feedback = level
        if self.port:
            self.port.set_shed_level(level)

    def set_credit(self, credit: float) -> None:
        """Record the feedback."""
        if self.enabled:
            self.feedback = credit
        if self.port:
            self.port.set_credit(credit)

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Record the health."""
        if self.enabled:
            self.healthy = healthy
        if self.port:
            self.port.set_health(healthy, cached)

    # ---- Verbs that are only passed on

    def run(self, index: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.run(index)

    def call(self, index: int, timeout: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.call(index, timeout)

    def degrade(self, index: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.degrade(index)

    def answer_duplicate(self, index: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.answer_duplicate(index)

    def store_key(self, index: int, ttl: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.store_key(index, ttl)

    def evict_key(self, index: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.evict_key(index)

    def set_idle_timeout(self, timeout: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.set_idle_timeout(timeout)

    def set_timer(self, delay: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.set_timer(delay)

    def log(self, text: str) -> None:
        """Pass it on."""
        if self.port:
            self.port.log(text)

    def release(self, index: int) -> None:
        """Pass it on."""
        if self.port:
            self.port.release(index)
