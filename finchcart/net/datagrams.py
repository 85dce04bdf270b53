"""The socket and thread on which processes of a fleet talk.

Owns one UDP socket and the thread that feeds the state machines behind it, one for each channel (the first
byte of a datagram). It must never block on the core or be blocked by it: changes go to the core's queue, and
signals come through a mailbox of its own. A fault here isolates the node and ends the thread; RPCs are served
on.

Ticks hold their time beside a busy reducer because the thread sleeps in the kernel between them and asks for
the interpreter only when it is due: it waits one switch interval (5 ms) for each busy thread before it, out
of a tick of 100 ms.
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

DEFAULT_TICK_US = 100_000  # where no machine names its own
RECEIVE_BUFFER_BYTES = 1 << 20  # that the kernel may keep while this process is stopped or starved
MAX_DATAGRAMS_A_TICK = 512  # received at a tick before it is handled
END_REPETITIONS = 2  # times that the others are told of the end
STOP_TIMEOUT_S = 1.0
MICROSECONDS_PER_SECOND = 1e6

Address = tuple[str, int]
AnyMachineInput = Any  # for the parameter of a machine, which has input types of its own
MachineInput = tuple[Any, ...]  # a NamedTuple type for each input


class ReloadSettings(NamedTuple):
    """In the mailbox: read the settings file again."""


class StateMachine(Protocol):
    """What is behind a channel. Times are microseconds on the boot clock.

    One that is ticked more often than each `DEFAULT_TICK_US` has an attribute `tick`, in microseconds.
    """

    ended: bool

    def reduce(self, now: int, event: AnyMachineInput) -> Sequence[FleetEffect]:
        """Process one input; return effects, told apart by type."""

    def count(self, reason: str) -> None:
        """Count an event of the channel's traffic."""


class DatagramEndpoint:
    """The socket, its thread and a mailbox. Raises OSError where the socket cannot be bound.

    Arguments:
        listen: the address of the socket.
        make_machines: from the boot clock to the machines by channel; called in the thread.
        publish: takes each change that a machine reports.
        reload: reads the settings again; gives a channel and an input for each machine that is concerned.
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
        """Start the thread."""
        threading.Thread(target=self._run, name="fleet", daemon=True).start()

    def post(self, channel: bytes | None, event: MachineInput) -> None:
        """Queue an input for one machine, or for all (None): it is handled with the next tick.

        May be called from a signal handler.
        """
        self._mailbox.put((channel, event))

    def post_now(self, channel: bytes | None, event: MachineInput) -> None:
        """Queue an input that is handled at once: an empty datagram to itself ends the thread's wait."""
        self._mailbox.put((channel, event))
        with suppress(OSError):  # the next tick is soon
            self.sock.sendto(b"", MSG_DONTWAIT, self.sock.getsockname())

    def post_reload(self) -> None:
        """Have the settings read again; may be called from a signal handler."""
        self._mailbox.put((None, ReloadSettings()))

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """End the machines, and wait until the others were told."""
        self.post(None, Shutdown())
        self._has_ended.wait(timeout_s)

    # ---- The thread

    def _run(self) -> None:
        try:
            self._machines = self._make_machines(boot_clock())
            self._run_machines()
        except Exception:
            # Guards against a node that falls with its view of the others: alone is an ordinary state.
            logger.exception("fleet: the state can't be trusted, this process is alone from here on")
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
        for _ in range(END_REPETITIONS - 1):
            for machine in machines:
                self._feed(machine, Shutdown())

    def _receive_pending(self) -> None:
        """Process all that came before the tick: who is late doubts itself before others.

        Guards against a tick that waits for more: with a timeout set, a read waits whatever its flags say.
        """
        self.sock.settimeout(0)
        for _ in range(MAX_DATAGRAMS_A_TICK):
            if not self._receive():
                break

    def _tick(self, due: int) -> int:
        """Tick all machines; return when the next tick is due."""
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
                    for concerned, config in self._reload():
                        self._deliver(concerned, config)
                else:
                    self._deliver(channel, event)

    def _deliver(self, channel: bytes | None, event: MachineInput) -> None:
        for machine in self._machines.values() if channel is None else [self._machines[channel]]:
            self._feed(machine, event)

    def _receive(self) -> bool:
        """Process one datagram; return False where there was none in the time that is set."""
        try:
            data, address = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except (BlockingIOError, TimeoutError):
            return False
        except OSError:
            return True  # an earlier datagram met nobody: the kernel tells it here
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
    """Log a change of membership; other changes have lines of their own."""
    match change:
        case MemberChanged(name, state, incarnation):
            line = logger.bind(member=name, state=state, incarnation=incarnation)
            line.info("members: {} is {}", name, state)
        case IsolationChanged(is_isolated, reason):
            line = logger.bind(isolated=is_isolated, why=reason)
            line.info("members: {}: {}", "isolated" if is_isolated else "connected", reason)
