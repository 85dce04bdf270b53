"""A port that records the answers and the published values of a decision module, for watch mode.

`RecordingPort` owns the records that were not compared yet. It must never change the calls that it forwards.
"""

from typing import NamedTuple

from finchcart.decisions.port import Port
from finchcart.decisions.rejection_reason import RejectionReason


class RecordedRejection(NamedTuple):
    """The advice to the caller in a rejection."""

    retry_after: int  # microseconds
    do_not_retry: bool


class RecordedDecisions(NamedTuple):
    """The recorded decisions about one RPC."""

    rejection: RecordedRejection | None  # None: the RPC was not rejected
    failed_or_paused: bool


class RecordingPort:
    """Records decisions, and forwards each call to `port` if there is one; see `Port` for the methods.

    Bounds: the records of an RPC are removed by `pop_decisions` once the RPC is completed.
    """

    def __init__(self, port: Port | None = None) -> None:
        self.port = port
        self.enabled = True
        self.rejections: dict[int, RecordedRejection] = {}  # rejection by the index of the RPC
        self.failed_or_paused: set[int] = set()  # indices of the RPCs that failed or were paused
        self.feedback: float | None = None  # the last published shed level or credit
        self.healthy = True

    def pop_decisions(self, index: int) -> RecordedDecisions:
        """Return the recorded decisions about an RPC, and remove them."""
        failed_or_paused = index in self.failed_or_paused
        self.failed_or_paused.discard(index)
        return RecordedDecisions(self.rejections.pop(index, None), failed_or_paused)

    def disable(self) -> None:
        """Remove all records and record nothing from now on, because nothing would remove further records."""
        self.enabled = False
        self.rejections = {}
        self.failed_or_paused = set()

    # ---- Methods that record and forward

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Record the rejection with its advice."""
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
        """Record the pause of the run."""
        if self.enabled:
            self.failed_or_paused.add(index)
        if self.port:
            self.port.stop(index)

    def set_shed_level(self, level: float) -> None:
        """Record the shed level as the feedback."""
        if self.enabled:
            self.feedback = level
        if self.port:
            self.port.set_shed_level(level)

    def set_credit(self, credit: float) -> None:
        """Record the credit as the feedback."""
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

    # ---- Methods that only forward

    def run(self, index: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.run(index)

    def call(self, index: int, timeout: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.call(index, timeout)

    def degrade(self, index: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.degrade(index)

    def answer_duplicate(self, index: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.answer_duplicate(index)

    def store_key(self, index: int, ttl: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.store_key(index, ttl)

    def evict_key(self, index: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.evict_key(index)

    def set_idle_timeout(self, timeout: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.set_idle_timeout(timeout)

    def set_timer(self, delay: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.set_timer(delay)

    def log(self, text: str) -> None:
        """Forward the call."""
        if self.port:
            self.port.log(text)

    def release(self, index: int) -> None:
        """Forward the call."""
        if self.port:
            self.port.release(index)
