"""The one thread that feeds the core and carries out its effects.

Owns the inputs of the turn at hand, and how busy the thread was. It must never hold state of RPCs or decide
anything: the core does.
"""

import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING

from loguru import logger

from finchcart.limits import Limits
from finchcart.net.clock import boot_clock, read_clocks
from finchcart.net.connection_table import ConnectionTable
from finchcart.node import effects
from finchcart.node.core import Core
from finchcart.node.effect_buffer import own_connections_first
from finchcart.node.inputs import (
    AddressesChanged,
    CloseAttempted,
    Input,
    LoadMeasured,
    MessagesReceived,
    ReloadConfig,
    Start,
    TimersDue,
    WallClockRead,
)
from finchcart.protocol.connection_events import ConnectionEnded, FramesReceived

if TYPE_CHECKING:  # not imported where no fleet is configured
    from finchcart.fleet_participant import FleetParticipant

MICROSECONDS_PER_SECOND = 1e6
CLOCK_CHANGE_US = 1_000  # a smaller change between the two clocks is not worth an input

EffectHandlers = dict[type[effects.Effect], Callable[..., None]]


class EventLoop:
    """Turn after turn, until the core ends.

    A turn takes all inputs that wait, up to a bound; what it sends on one connection is one write. Where
    inputs take much of the time, the thread pauses between turns: then no reader has to wake it for each
    message, and what comes meanwhile is one turn.

    `reread_config()` gives the input of a configuration that was read again, or None where it can't be used.
    """

    def __init__(
        self,
        core: Core,
        connections: ConnectionTable,
        inputs: SimpleQueue[Input],
        reread_config: Callable[[], AddressesChanged | None],
        limits: Limits,
        fleet: "FleetParticipant | None" = None,
    ) -> None:
        self._core = core
        self._connections = connections
        self._inputs = inputs
        self._reread_config = reread_config
        self._limits = limits
        self._reduce = fleet.reducer(core) if fleet else core.reduce
        self._handlers = self._effect_handlers(fleet)
        self._waiting: deque[Input] = deque([Start()])
        self._load_measured_at = 0  # microseconds on the boot clock, as all points in time here
        self._idle_us = 0  # since then, in which nothing was to be done
        self._pause_s = 0.0  # between turns; 0: wait for the next input
        self._clock_offset_us: int | None = None  # of the wall clock, as the core knows it
        self._last_turn_at = 0
        self._awake_since = 0  # the thread took turns from then on, with no gap

    def _effect_handlers(self, fleet: "FleetParticipant | None") -> EffectHandlers:
        """Return what carries out each effect but `End`; called with the effect's fields."""
        connections = self._connections
        handlers: EffectHandlers = {
            effects.Read: connections.request_batch,
            effects.Send: connections.send,
            effects.SendBefore: connections.send_before,
            effects.Close: connections.close,
            effects.CloseIfIdle: self._close_if_idle,
            effects.Drop: connections.drop,
            effects.Connect: connections.connect,
            effects.SendReport: connections.report,
            effects.StopListening: connections.stop_listening,
            effects.Defer: self._defer,
            effects.Log: logger.info,
        }
        if fleet:
            handlers |= {
                effects.PublishUsage: fleet.publish_usage,
                effects.PublishEvidence: fleet.publish_evidence,
                effects.KeyLeaseCommand: fleet.command_key_lease,
            }
        return handlers

    def run(self) -> None:
        """Listen, and take turns until the core ends."""
        self._connections.listen()
        began_at = boot_clock()
        self._load_measured_at = began_at
        self._last_turn_at = began_at
        self._awake_since = began_at
        has_ended = False
        while not has_ended:
            is_behind = self._drain_queue()
            self._read_clocks()
            self._waiting = deque(own_connections_first(self._waiting))
            self._measure_load()
            if not self._waiting:
                self._waiting.append(TimersDue())
            has_ended = self._process_waiting()
            self._connections.flush()
            if not has_ended and not is_behind:  # guards against pauses of a thread that is behind
                self._wait()

    def _drain_queue(self) -> bool:
        """Take what waits; return whether it was as much as a turn takes, so that there may be more."""
        take = self._inputs.get_nowait
        append = self._waiting.append
        try:
            for _ in range(self._limits.max_turn_inputs):
                append(take())
        except Empty:
            return False
        return True

    def _read_clocks(self) -> None:
        """Notify the core of a wall clock that stepped, before the messages that may carry its time.

        A thread without a turn for long was suspended, and the readers with it.
        """
        reading = read_clocks()
        if reading.boot - self._last_turn_at > self._limits.suspension_gap_us:
            self._awake_since = reading.boot
        self._last_turn_at = reading.boot
        offset = reading.unix - reading.boot
        if self._clock_offset_us is None or abs(offset - self._clock_offset_us) > CLOCK_CHANGE_US:
            self._clock_offset_us = offset
            self._waiting.appendleft(WallClockRead(reading.unix))

    def _measure_load(self) -> None:
        """Report each interval how busy this thread is, and pause between turns while it is busy."""
        now = boot_clock()
        span_us = now - self._load_measured_at
        if span_us < self._limits.load_interval_us:
            return
        self._waiting.append(LoadMeasured(span_us - self._idle_us, span_us))
        is_busy = self._idle_us < (1 - self._limits.busy_threshold) * span_us
        self._pause_s = self._limits.busy_pause_us / MICROSECONDS_PER_SECOND if is_busy else 0.0
        self._load_measured_at = now
        self._idle_us = 0

    def _process_waiting(self) -> bool:
        """Process the turn's inputs; return whether the core ended."""
        waiting = self._waiting
        handlers = self._handlers
        while waiting:
            current = self._prepare(waiting.popleft())
            for effect in self._reduce(boot_clock(), current):
                kind = type(effect)
                if kind is effects.End:
                    return True
                handlers[kind](*effect)
        return False

    def _prepare(self, received: Input) -> Input:
        """Make of an input what the core sees: frames are decoded, and a configuration is read."""
        if isinstance(received, FramesReceived):
            return self._decode(received)
        if isinstance(received, ReloadConfig):
            return self._reread_config() or TimersDue()
        return received

    def _decode(self, received: FramesReceived) -> MessagesReceived:
        messages, fault = self._connections.decode(received.connection, received.frames)
        if fault is not None:
            self._waiting.appendleft(ConnectionEnded(received.connection, fault))
        not_before = received.empty_at
        gap = self._limits.suspension_gap_us
        if received.was_waiting and received.received_at - self._awake_since > gap:
            not_before = max(not_before, received.received_at - gap)  # no pause held the bytes back
        return MessagesReceived(received.connection, messages, received.received_at, not_before)

    def _defer(self, deferred: Input) -> None:
        self._waiting.append(deferred)

    def _close_if_idle(self, connection: int) -> None:
        """Have the result processed before what was read: what was read by then has no answer."""
        closed = self._connections.close_if_idle(connection)
        self._waiting.appendleft(CloseAttempted(connection, closed))

    def _wait(self) -> None:
        """Wait for an input or for the next timer, or pause."""
        due = self._core.next_timer()
        before = boot_clock()
        timeout_s = None
        if due is not None:
            timeout_s = max(0, due - before) / MICROSECONDS_PER_SECOND
        if self._pause_s:
            time.sleep(self._pause_s if timeout_s is None else min(self._pause_s, timeout_s))
        elif timeout_s is None or timeout_s:
            with suppress(Empty):
                self._waiting.append(self._inputs.get(timeout=timeout_s))
        after = boot_clock()
        self._idle_us += after - before
        if (
            timeout_s is not None
            and after - before < timeout_s * MICROSECONDS_PER_SECOND + self._limits.suspension_gap_us
        ):
            self._last_turn_at = after  # it waited as long as it meant to
