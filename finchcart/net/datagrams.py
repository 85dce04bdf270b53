"""The UDP socket and the thread by which a process communicates with the other processes of its fleet.

A `DatagramEndpoint` owns the socket, and the thread that passes inputs to the state machines behind it. The
first byte of a datagram is its channel; each channel has one state machine. The thread must never block on
the core or be blocked by it: it reports changes through the core's queue and receives inputs through its own
mailbox. An exception here isolates the process from the fleet and ends the thread; the node continues to
serve RPCs.

Ticks stay on time although the thread that feeds the core is busy: this thread sleeps in the kernel between
ticks and needs the interpreter lock only when a tick is due. It then waits one switch interval (5 ms) for
each busy thread ahead of it, which is short compared with a tick of 100 ms.
"""

import threading
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from queue import Empty, SimpleQueue
from socket import AF_INET, MSG_DONTWAIT, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from typing import Any, NamedTuple, Protocol

from loguru import logger

from finchcart.fleet.codec import MAX_DATAGRAM_BYTES
from finchcart.fleet.effects import FleetEffect, LogLine, SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Shutdown, Tick
from finchcart.membership.effects import IsolationChanged, MemberChanged
from finchcart.net.clock import boot_clock

DEFAULT_TICK_US = 100_000  # the tick interval, unless a state machine requires a shorter one
RECEIVE_BUFFER_BYTES = 1 << 20  # holds datagrams while this process is stopped or gets no CPU time
MAX_DATAGRAMS_PER_TICK = 512  # maximum number of datagrams that are processed before a tick that is due
SHUTDOWN_REPETITIONS = 2  # the shutdown notice is sent so many times, because a datagram may be lost
STOP_TIMEOUT_S = 1.0
MICROSECONDS_PER_SECOND = 1e6

Address = tuple[str, int]
AnyMachineInput = Any  # each state machine has its own types of input
MachineInput = tuple[Any, ...]  # each input is a NamedTuple


class ReloadSettings(NamedTuple):
    """A mailbox entry that requests the settings file to be read again."""


class StateMachine(Protocol):
    """The state machine of a channel. Times are microseconds on the boot clock.

    A machine that needs ticks more often than every `DEFAULT_TICK_US` has an attribute `tick`, its tick
    interval in microseconds.
    """

    ended: bool

    def reduce(self, now: int, event: AnyMachineInput) -> Sequence[FleetEffect]:
        """Process one input; return effects, which are distinguished by type."""

    def count(self, reason: str) -> None:
        """Count an event of the channel's traffic."""


class DatagramEndpoint:
    """The socket, its thread and the thread's mailbox.

    Arguments:
        listen: the address of the socket.
        make_machines: returns the state machines by channel, given the current boot clock; called in the
            thread.
        publish: called with each change that a state machine reports.
        reload: reads the settings file again; returns pairs of a channel and an input for its state machine.

    Raises:
        OSError: the socket cannot be bound.
    """

    def __init__(
        self,
        listen: Address,
        make_machines: Callable[[int], Mapping[bytes, StateMachine]],
        publish: Callable[[FleetEffect], object],
        reload: Callable[[], Sequence[tuple[bytes, MachineInput]]],
    ) -> None:
        self.sock = socket(AF_INET, SOCK_DGRAM)
        try:
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._make_machines = make_machines
        self._publish = publish
        self._reload = reload
        self._machines: Mapping[bytes, StateMachine] = {}
        self._mailbox: SimpleQueue[tuple[bytes | None, MachineInput]] = SimpleQueue()
        self._has_ended = threading.Event()

    def start(self) -> None:
        """Start the thread that receives datagrams and ticks the state machines."""
        threading.Thread(target=self._run, name="fleet", daemon=True).start()

    def post(self, channel: bytes | None, event: MachineInput) -> None:
        """Queue an input for one machine, or for all (None); it is processed at the next tick.

        May be called from a signal handler.
        """
        self._mailbox.put((channel, event))

    def post_now(self, channel: bytes | None, event: MachineInput) -> None:
        """Queue an input, and wake the thread by an empty datagram that the socket sends to itself."""
        self._mailbox.put((channel, event))
        with suppress(OSError):  # without the datagram, the input is processed at the next tick
            self.sock.sendto(b"", MSG_DONTWAIT, self.sock.getsockname())

    def post_reload(self) -> None:
        """Request that the settings file is read again; may be called from a signal handler."""
        self._mailbox.put((None, ReloadSettings()))

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Shut the state machines down, and wait until the other processes were notified."""
        self.post(None, Shutdown())
        self._has_ended.wait(timeout_s)

    # ---- Called by the thread

    def _run(self) -> None:
        try:
            self._machines = self._make_machines(boot_clock())
            self._run_machines()
        except Exception:
            # The failure must not end the node: it continues as an isolated node, which is a normal state.
            logger.exception("fleet: state machine failed; this process is isolated until it is restarted")
            self._publish(IsolationChanged(True, "fault"))
        finally:
            self._has_ended.set()

    def _run_machines(self) -> None:
        machines = self._machines.values()
        due = boot_clock()
        while not all(machine.ended for machine in machines):
            now = boot_clock()
            if now < due:
                self.sock.settimeout((due - now) / MICROSECONDS_PER_SECOND)
                self._receive()
                continue
            self._receive_pending()
            self._drain_mailbox()
            due = self._tick(due)
        for _ in range(SHUTDOWN_REPETITIONS - 1):
            for machine in machines:
                self._feed(machine, Shutdown())

    def _receive_pending(self) -> None:
        """Process the datagrams that arrived before the tick.

        If this thread runs late, a tick that ignored the waiting datagrams would make other members suspects
        because of a delay in this process. The timeout is set to 0 because a read on a socket with a timeout
        waits even with MSG_DONTWAIT.
        """
        self.sock.settimeout(0)
        for _ in range(MAX_DATAGRAMS_PER_TICK):
            if not self._receive():
                break

    def _tick(self, due: int) -> int:
        """Tick all state machines; return when the next tick is due."""
        now = boot_clock()
        tick = DEFAULT_TICK_US
        for machine in self._machines.values():
            self._execute(machine, machine.reduce(now, Tick()))
            tick = min(tick, getattr(machine, "tick", DEFAULT_TICK_US))
        return max(due + tick, now + tick // 2)

    def _drain_mailbox(self) -> None:
        with suppress(Empty):
            while True:
                channel, event = self._mailbox.get_nowait()
                if isinstance(event, ReloadSettings):
                    for config_channel, config in self._reload():
                        self._deliver(config_channel, config)
                else:
                    self._deliver(channel, event)

    def _deliver(self, channel: bytes | None, event: MachineInput) -> None:
        for machine in self._machines.values() if channel is None else [self._machines[channel]]:
            self._feed(machine, event)

    def _receive(self) -> bool:
        """Process one datagram; return False if none arrived before the socket's timeout."""
        try:
            data, address = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except (BlockingIOError, TimeoutError):
            return False
        except OSError:
            return True  # the kernel reports here that an earlier datagram was rejected (ICMP)
        if not data:
            self._drain_mailbox()
            return True
        machine = self._machines.get(data[:1])
        if machine:
            self._feed(machine, DatagramReceived(address, data))
        else:
            next(iter(self._machines.values())).count("of an unknown channel")
        return True

    def _feed(self, machine: StateMachine, event: MachineInput) -> None:
        self._execute(machine, machine.reduce(boot_clock(), event))

    def _execute(self, machine: StateMachine, effects: Sequence[FleetEffect]) -> None:
        for effect in effects:
            match effect:
                case SendDatagram(address, data):
                    try:
                        self.sock.sendto(data, MSG_DONTWAIT, address)
                    except OSError:
                        machine.count("could not be sent")
                case LogLine(text, fields):
                    logger.bind(**fields).info("fleet: {}", text)
                case _:
                    self._publish(effect)
                    _log_change(effect)


def _log_change(change: FleetEffect) -> None:
    """Log a change of membership; other changes have log lines of their own."""
    match change:
        case MemberChanged(name, state, incarnation):
            line = logger.bind(member=name, state=state, incarnation=incarnation)
            line.info("members: {} is {}", name, state)
        case IsolationChanged(is_isolated, reason):
            line = logger.bind(isolated=is_isolated, why=reason)
            line.info("members: {}: {}", "isolated" if is_isolated else "connected", reason)
