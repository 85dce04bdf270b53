"""The phases of a node's life, and the moments at which a drain goes on to the next one.

Owns the phase, the notice to leave and the timers up to the end. It must never end a node with a response
pending, but for a kill that is due, nor listen again once it stopped.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import End, StopListening


class NodePhase(Enum):
    """The phases of a node's life, in order; one may be left out.

    Whether RPCs are accepted is `Core.ready`: the worker pool may be ready as late as while draining.
    """

    STARTING = "starting"  # no contact with the worker pool yet
    SERVING = "serving"
    DRAINING = "draining"  # the notice to leave has come
    NOT_LISTENING = "not listening"  # nothing is open or pending, and no further connection is accepted
    ENDED = "ended"


class DrainTimes(NamedTuple):
    """The times of a drain, on the node's clock."""

    notice_at: int
    grace_ends_at: int
    kill_at: int  # by `limits.kill_margin_us` earlier than the kill can come


class ShutdownHost(Protocol):
    """What the schedule queries, and calls when a moment of the drain has come."""

    def is_busy(self) -> bool:
        """Return whether a connection is in use or a response pending."""

    def announce_close(self) -> None:
        """Announce to all connections that they will be closed."""

    def announce_close_of_new(self) -> None:
        """Announce the same to all, also to connections that are made from now on."""

    def close_now(self) -> None:
        """Close all connections as soon as nothing is open on them."""

    def before_end(self) -> None:
        """Write the last log lines: the node ends now."""


class ShutdownSchedule:
    """The phase of the node, and its drain. Times are whole microseconds. Bounds: three timers of a drain."""

    def __init__(
        self, effect_buffer: EffectBuffer, limits: Limits, drain_grace_us: int, host: ShutdownHost
    ) -> None:
        self.effect_buffer = effect_buffer
        self.phase = NodePhase.STARTING
        self.times: DrainTimes | None = None  # None: no notice to leave yet
        self._limits = limits
        self._drain_grace_us = drain_grace_us
        self._host = host
        self._idle_since: int | None = None

    def worker_pool_ready(self) -> None:
        """Handle the worker pool's first contact."""
        if self.phase is NodePhase.STARTING:
            self.phase = NodePhase.SERVING

    def drain(self, notice_at: int) -> DrainTimes | None:
        """Begin the drain; return its times, or None where it had begun before."""
        if self.times is not None:
            return None
        self.phase = NodePhase.DRAINING
        limits = self._limits
        grace_ends_at = notice_at + self._drain_grace_us
        kill_at = notice_at + limits.stop_timeout_us - limits.kill_margin_us
        self.times = DrainTimes(notice_at, grace_ends_at, kill_at)
        schedule = self.effect_buffer.schedule
        schedule(min(grace_ends_at, kill_at - limits.finish_period_us), self._host.announce_close)
        schedule(kill_at - limits.finish_period_us, self._finish)
        schedule(kill_at, self._close_and_end, kill_at)
        return self.times

    def end_if_idle(self) -> None:
        """End the node once its grace is over and nothing has been open for a while."""
        now = self.effect_buffer.now
        if self.times is None or now < self.times.grace_ends_at:
            return
        limits = self._limits
        if self._host.is_busy():
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= limits.quiet_period_us:
            # Guards against an RPC on a connection that is being accepted: first no new ones, then the end.
            if self.phase is NodePhase.DRAINING:
                self._stop_listening()
            else:
                self._end()
            self._idle_since = now - limits.quiet_period_us + limits.final_check_delay_us

    def _finish(self) -> None:
        """Accept nobody any more, and give all dispatchers the time that is left to close.

        One that was notified before would come back else, with a new connection to close and more to answer.
        """
        if self.phase is NodePhase.DRAINING:
            self._stop_listening()
        self._host.announce_close_of_new()

    def _close_and_end(self, kill_at: int) -> None:
        self._host.close_now()
        self._end_unless_busy(kill_at)

    def _stop_listening(self) -> None:
        self.phase = NodePhase.NOT_LISTENING
        self.effect_buffer.emit(StopListening())

    def _end_unless_busy(self, kill_at: int) -> None:
        """Guards against an end over requests that were not read, for a part of the margin before the kill.

        A node that is short of processor time reads late, and what it reads now is answered immediately.
        """
        limits = self._limits
        last_moment = kill_at + limits.kill_margin_us - limits.exit_time_us
        if self._host.is_busy() and self.effect_buffer.now < last_moment:
            self.effect_buffer.schedule_after(limits.finish_retry_interval_us, self._end_unless_busy, kill_at)
        else:
            self._end()

    def _end(self) -> None:
        self.phase = NodePhase.ENDED
        self._host.before_end()
        self.effect_buffer.emit(End())
