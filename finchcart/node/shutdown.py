"""The schedule of a node's shutdown: its phases, and when a drain moves from one phase to the next.

`ShutdownSchedule` owns the phase, the time of the termination notice and the timers of the drain. It must
never end a node while a response is pending, except when the process is about to be killed, and must never
resume listening.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import End, StopListening


class NodePhase(Enum):
    """The phases of a node, in order; a phase may be skipped.

    `Core.ready`, not the phase, tells whether RPCs are accepted: the worker pool may become ready during a
    drain.
    """

    STARTING = "starting"  # the worker pool has not been connected yet
    SERVING = "serving"
    DRAINING = "draining"  # the node has received its termination notice
    NOT_LISTENING = "not listening"  # no further connection is accepted
    ENDED = "ended"


class DrainTimes(NamedTuple):
    """The times of a drain, on the node's clock."""

    notice_at: int
    grace_ends_at: int
    kill_at: int  # `limits.kill_margin_us` before the earliest time at which the process may be killed


class ShutdownHost(Protocol):
    """The interface of the component that carries out the steps of the schedule."""

    def is_busy(self) -> bool:
        """Return whether a connection would be cut by the end of the node, or a response is pending."""

    def announce_close(self) -> None:
        """Announce the close to all open connections."""

    def announce_close_of_new(self) -> None:
        """Announce the close to all open connections, and from now on to each new one."""

    def close_now(self) -> None:
        """Close each connection as soon as no RPC is open on it."""

    def before_end(self) -> None:
        """Write the last log lines: the node ends now."""


class ShutdownSchedule:
    """The phase of the node and the timers of its drain, at most three. Times are whole microseconds."""

    def __init__(
        self, effect_buffer: EffectBuffer, limits: Limits, drain_grace_us: int, host: ShutdownHost
    ) -> None:
        self.effect_buffer = effect_buffer
        self.phase = NodePhase.STARTING
        self.times: DrainTimes | None = None  # None until the termination notice
        self._limits = limits
        self._drain_grace_us = drain_grace_us
        self._host = host
        self._idle_since: int | None = None

    def worker_pool_ready(self) -> None:
        """Begin to serve after the first contact with the worker pool, unless a drain has begun."""
        if self.phase is NodePhase.STARTING:
            self.phase = NodePhase.SERVING

    def drain(self, notice_at: int) -> DrainTimes | None:
        """Begin the drain; return its times, or None if it has already begun."""
        if self.times is not None:
            return None
        self.phase = NodePhase.DRAINING
        limits = self._limits
        grace_ends_at = notice_at + self._drain_grace_us
        kill_at = notice_at + limits.stop_timeout_us - limits.kill_margin_us
        self.times = DrainTimes(notice_at, grace_ends_at, kill_at)
        schedule = self.effect_buffer.schedule
        schedule(min(grace_ends_at, kill_at - limits.finish_period_us), self._host.announce_close)
        schedule(kill_at - limits.finish_period_us, self._begin_finish_period)
        schedule(kill_at, self._close_and_end, kill_at)
        return self.times

    def end_if_idle(self) -> None:
        """End the node once the grace period is over and the node was idle for `quiet_period_us`.

        The node first stops listening, and ends when it is still idle `final_check_delay_us` later.
        """
        now = self.effect_buffer.now
        if self.times is None or now < self.times.grace_ends_at:
            return
        limits = self._limits
        if self._host.is_busy():
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= limits.quiet_period_us:
            # Stops listening before the end, so that no RPC is lost on a connection that is being accepted.
            if self.phase is NodePhase.DRAINING:
                self._stop_listening()
            else:
                self._end()
            self._idle_since = now - limits.quiet_period_us + limits.final_check_delay_us

    def _begin_finish_period(self) -> None:
        """Stop listening, and announce the close to all connections so that dispatchers close them in time.

        A dispatcher that was notified before could otherwise reconnect and send more RPCs.
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
        """End the node; while it is busy, wait for a part of the margin before the kill.

        A node that is short of processor time reads requests late; the wait lets it answer those that are
        still unread.
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
