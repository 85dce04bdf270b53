"""The registration with the registry, the drain and the end.

Owns the phase of the node's life: when it reports to the registry, the notice to leave and the moment at
which the process may end. It must never end a node that owes an answer, nor listen again once it stopped.
"""

from enum import Enum
from typing import Protocol

from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import End, SendReport, StopListening
from finchcart.protocol import registry_codec


class NodePhase(Enum):
    """The phases of a node's life, in order; one may be left out.

    Whether RPCs are accepted is `Core.ready`: the worker pool may come up as late as while draining.
    """

    STARTING = "starting"  # the worker pool was not there yet
    SERVING = "serving"
    DRAINING = "draining"  # the notice to leave has come
    NOT_LISTENING = "not listening"  # nothing is open or owed, and no further connection is accepted
    ENDED = "ended"


class DrainHost(Protocol):
    """What the drain asks, and tells when it is time."""

    def is_busy(self) -> bool:
        """Whether anything is open or owed."""

    def announce_close(self) -> None:
        """All connections are to be announced to close."""

    def close_now(self) -> None:
        """All connections are to be closed as soon as nothing is open on them."""

    def before_end(self) -> None:
        """The node ends now."""


class Registration:
    """The node's record at the registry, and its phase. Times are whole microseconds.

    `kill_at` is earlier than the kill can come by `limits.kill_margin`. Bounds: one timer for the next report
    that counts, three of a drain.
    """

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        name: str,
        address: tuple[str, int],
        drain_grace_us: int,
        host: DrainHost,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.limits = limits
        self.name = name
        self.address = address
        self.drain_grace_us = drain_grace_us
        self.host = host
        self.phase = NodePhase.STARTING
        self.healthy = True
        self.drain_notice_at: int | None = None
        self.kill_at: int | None = None
        self._reports_sent = 0
        self._grace_ends_at: int | None = None
        self._idle_since: int | None = None

    def worker_pool_ready(self) -> None:
        """The worker pool is there for the first time."""
        if self.phase is NodePhase.STARTING:
            self.phase = NodePhase.SERVING

    # ---- The registry

    def set_health(self, healthy: bool) -> None:
        """Reports a change of health at once."""
        if healthy != self.healthy:
            self.healthy = healthy
            self.report()

    def report(self) -> None:
        """Reports to the registry, now and then again and again."""
        effect_buffer = self.effect_buffer
        effect_buffer.emit(
            SendReport(self.address, registry_codec.encode_registration(self.name, self.healthy))
        )
        self._reports_sent += 1
        effect_buffer.schedule(
            effect_buffer.now + self.limits.registration_interval, self._report_again, self._reports_sent
        )

    def _report_again(self, report_number: int) -> None:
        if report_number == self._reports_sent:  # else another report was sent meanwhile
            self.report()

    def change_address(self, address: tuple[str, int]) -> None:
        """The registry is at another address now."""
        self.address = address
        self.report()

    # ---- Drain and end

    def drain(self, notice_at: int) -> bool:
        """The notice to leave came at `notice_at`; False where it had come before."""
        if self.drain_notice_at is not None:
            return False
        self.phase = NodePhase.DRAINING
        self.drain_notice_at = notice_at
        self._grace_ends_at = notice_at + self.drain_grace_us
        limits = self.limits
        self.kill_at = notice_at + limits.stop_timeout - limits.kill_margin
        leave_at = min(self._grace_ends_at, self.kill_at - limits.leave_period)
        self.effect_buffer.schedule(leave_at, self.host.announce_close)
        self.effect_buffer.schedule(self.kill_at - limits.finish_period, self._finish)
        self.effect_buffer.schedule(self.kill_at, self._end_unless_busy)
        return True

    def _finish(self) -> None:
        """The end is near: nobody is accepted any more, and what is open closes as soon as it can."""
        if self.phase is NodePhase.DRAINING:
            self.phase = NodePhase.NOT_LISTENING
            self.effect_buffer.emit(StopListening())
        self.host.close_now()

    def end_if_idle(self) -> None:
        """Ends the node once its grace is over and nothing is open, nor has been for a while."""
        now = self.effect_buffer.now
        if self.drain_notice_at is None or now < self._grace_ends_at:
            return
        if self.host.is_busy():
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= self.limits.quiet_period:
            # Guards against an RPC on a connection that is being accepted: first no new ones, then the end.
            if self.phase is NodePhase.DRAINING:
                self.phase = NodePhase.NOT_LISTENING
                self.effect_buffer.emit(StopListening())
            else:
                self._end()
            self._idle_since = now - self.limits.quiet_period + self.limits.final_check_delay

    def _end_unless_busy(self) -> None:
        """Guards against an end over requests that were not read: part of the margin before the kill is left.

        A node that is short of processor time reads late, and what it reads now is answered at once.
        """
        limits = self.limits
        last_moment = self.kill_at + limits.kill_margin - limits.exit_time
        if self.host.is_busy() and self.effect_buffer.now < last_moment:
            self.effect_buffer.schedule(
                self.effect_buffer.now + limits.finish_retry_interval, self._end_unless_busy
            )
        else:
            self._end()

    def _end(self) -> None:
        self.phase = NodePhase.ENDED
        self.host.before_end()
        self.effect_buffer.emit(End())
