"""The event loop: the only thread that passes inputs to the core and carries out the core's effects.

The loop owns the inputs of the current turn and the measurement of how busy its thread is. It must never hold
state of RPCs or make decisions; both belong to the core.
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

if TYPE_CHECKING:  # a node without a fleet must not import this module at run time
    from finchcart.fleet_participant import FleetParticipant

MICROSECONDS_PER_SECOND = 1e6
MIN_OFFSET_CHANGE_US = 1_000  # smaller changes of the offset between the two clocks are not reported

EffectHandlers = dict[type[effects.Effect], Callable[..., None]]


class EventLoop:
    """Processes inputs in turns until the core ends.

    A turn processes all inputs that are queued, up to `limits.max_turn_inputs`. All data that a turn sends on
    one connection is written at once. While the thread is busy, it sleeps for a short time between turns:
    readers then need not wake it for each message, and inputs that arrive during the sleep share one turn.

    `reread_config()` returns the input for a configuration that was read again, or None if it is invalid.
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
        self._pending_inputs: deque[Input] = deque([Start()])
        # All points in time are microseconds on the boot clock.
        self._load_measured_at = 0
        self._idle_us = 0  # time spent waiting since the last measurement of the load
        self._pause_s = 0.0  # sleep between turns; 0: wait for the next input instead
        self._clock_offset_us: int | None = None  # wall clock minus boot clock, as last reported to the core
        self._last_turn_at = 0
        self._running_since = 0  # the process has not been suspended since this time

    def _effect_handlers(self, fleet: "FleetParticipant | None") -> EffectHandlers:
        """Return a handler for each type of effect but `End`; a handler takes the fields of the effect."""
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
        """Start listening, and process inputs until the core ends."""
        self._connections.listen()
        began_at = boot_clock()
        self._load_measured_at = began_at
        self._last_turn_at = began_at
        self._running_since = began_at
        has_ended = False
        while not has_ended:
            has_backlog = self._fetch_inputs()
            self._read_clocks()
            self._pending_inputs = deque(own_connections_first(self._pending_inputs))
            self._measure_load()
            if not self._pending_inputs:
                self._pending_inputs.append(TimersDue())
            has_ended = self._process_inputs()
            self._connections.flush()
            if not has_ended and not has_backlog:  # a thread that has fallen behind must not pause
                self._wait()

    def _fetch_inputs(self) -> bool:
        """Take queued inputs; return whether the bound of a turn was reached, so that more may be queued."""
        take = self._inputs.get_nowait
        append = self._pending_inputs.append
        try:
            for _ in range(self._limits.max_turn_inputs):
                append(take())
        except Empty:
            return False
        return True

    def _read_clocks(self) -> None:
        """Report a step of the wall clock to the core, ahead of messages that may carry the new time.

        A long gap since the last turn means that the whole process was suspended, including its readers.
        """
        reading = read_clocks()
        if reading.boot - self._last_turn_at > self._limits.suspension_gap_us:
            self._running_since = reading.boot
        self._last_turn_at = reading.boot
        offset = reading.unix - reading.boot
        if self._clock_offset_us is None or abs(offset - self._clock_offset_us) > MIN_OFFSET_CHANGE_US:
            self._clock_offset_us = offset
            self._pending_inputs.appendleft(WallClockRead(reading.unix))

    def _measure_load(self) -> None:
        """Report in each interval how busy this thread is, and set the pause between turns accordingly."""
        now = boot_clock()
        interval_us = now - self._load_measured_at
        if interval_us < self._limits.load_interval_us:
            return
        self._pending_inputs.append(LoadMeasured(interval_us - self._idle_us, interval_us))
        is_busy = self._idle_us < (1 - self._limits.busy_threshold) * interval_us
        self._pause_s = self._limits.busy_pause_us / MICROSECONDS_PER_SECOND if is_busy else 0.0
        self._load_measured_at = now
        self._idle_us = 0

    def _process_inputs(self) -> bool:
        """Process the inputs of the turn; return whether the core ended."""
        pending = self._pending_inputs
        handlers = self._handlers
        while pending:
            current = self._convert_input(pending.popleft())
            for effect in self._reduce(boot_clock(), current):
                kind = type(effect)
                if kind is effects.End:
                    return True
                handlers[kind](*effect)
        return False

    def _convert_input(self, received: Input) -> Input:
        """Convert an input to the one that the core receives: decode frames, or read the configuration."""
        if isinstance(received, FramesReceived):
            return self._decode(received)
        if isinstance(received, ReloadConfig):
            return self._reread_config() or TimersDue()
        return received

    def _decode(self, received: FramesReceived) -> MessagesReceived:
        messages, fault = self._connections.decode(received.connection, received.frames)
        if fault is not None:
            self._pending_inputs.appendleft(ConnectionEnded(received.connection, fault))
        not_before = received.empty_at
        gap = self._limits.suspension_gap_us
        if received.was_waiting and received.received_at - self._running_since > gap:
            # The reader was waiting and the process was not suspended, so the bytes arrived recently.
            not_before = max(not_before, received.received_at - gap)
        return MessagesReceived(received.connection, messages, received.received_at, not_before)

    def _defer(self, deferred: Input) -> None:
        self._pending_inputs.append(deferred)

    def _close_if_idle(self, connection: int) -> None:
        """Attempt a close, and queue its result ahead of messages that were read but not yet answered."""
        closed = self._connections.close_if_idle(connection)
        self._pending_inputs.appendleft(CloseAttempted(connection, closed))

    def _wait(self) -> None:
        """Wait for an input or the next timer, or sleep for the pause between turns."""
        due = self._core.next_timer()
        before = boot_clock()
        timeout_s = None
        if due is not None:
            timeout_s = max(0, due - before) / MICROSECONDS_PER_SECOND
        if self._pause_s:
            time.sleep(self._pause_s if timeout_s is None else min(self._pause_s, timeout_s))
        elif timeout_s is None or timeout_s:
            with suppress(Empty):
                self._pending_inputs.append(self._inputs.get(timeout=timeout_s))
        after = boot_clock()
        self._idle_us += after - before
        if (
            timeout_s is not None
            and after - before < timeout_s * MICROSECONDS_PER_SECOND + self._limits.suspension_gap_us
        ):
            self._last_turn_at = after  # the wait was not longer than planned, so this was no suspension
