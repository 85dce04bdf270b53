"""Runs the state machines of many processes in one thread, on one simulated clock.

The driver holds the clock, the event queue, the simulated network and the state of each process. It must not
alter the behaviour of a state machine: production code runs the same objects on real sockets. A stopped
process buffers a bounded number of incoming datagrams, as a socket's receive buffer does, and receives them
when it resumes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from heapq import heappop, heappush
from typing import Any, Generic, TypeVar

from finchcart.fault_injection.virtual_time.simulated_network import Delivery, SimulatedNetwork
from finchcart.fleet.effects import SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Tick

START_US = 1_000_000  # value of the simulated clock at the start of a simulation
MAX_BUFFERED_DATAGRAMS = 250  # datagrams for each stopped process; further ones are dropped


class VirtualTime:
    """An event queue on a simulated clock in whole microseconds, and datagrams between processes."""

    def __init__(self, seed: int | str, latency: int) -> None:
        self.seed = seed
        self.latency = latency
        self.now = START_US
        self.steps = 0
        self.network = SimulatedNetwork(seed)
        self._queue: list[tuple[int, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._next_network_wakeup: int | None = None

    def schedule(self, when: int, action: Callable[..., None], *args: object) -> None:
        """Schedule `action(*args)` at the time `when`; ties run in the order of scheduling."""
        self._sequence += 1
        heappush(self._queue, (when, self._sequence, action, args))

    def run(self, until: int, after_step: Callable[[Any], None] | None = None) -> None:
        """Run all actions that are due by `until`, and call `after_step(self)` after each of them."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, args = heappop(self._queue)
            self.steps += 1
            action(*args)
            if after_step:
                after_step(self)
        self.now = max(self.now, until)

    def transmit(self, origin: str, target: str, data: bytes) -> None:
        """Send a datagram from one process to another over the simulated network."""
        self._deliver(self.network.send(self.now, origin, target, data))

    def receive(self, origin: str, target: str, data: bytes) -> None:
        """Deliver a datagram to the target process."""
        raise NotImplementedError

    def _advance_network(self) -> None:
        self._deliver(self.network.advance(self.now))

    def _deliver(self, deliveries: list[Delivery]) -> None:
        """Schedule deliveries after the latency, and a wakeup for the next datagram still in flight."""
        for delivery in deliveries:
            self.schedule(self.now + self.latency, self.receive, *delivery)
        due = self.network.next_arrival()
        if due is not None and due > self.now and self._next_network_wakeup != due:
            self._next_network_wakeup = due
            self.schedule(due, self._advance_network)


@dataclass(eq=False)
class SimulatedProcess:
    """A process name with its address and, while a process runs under this name, its state machine."""

    name: str
    address: str  # "HOST:PORT"
    machine: Any = None  # the state machine; None while no process runs under this name
    stopped: bool = False
    buffered: list[tuple] = field(default_factory=list)  # datagrams received while the process is stopped
    # Incremented by each start and kill, so that timers of an earlier process are ignored.
    generation: int = 0

    @cached_property
    def endpoint(self) -> tuple[str, int]:
        """The address as a pair (host, port)."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


ProcessT = TypeVar("ProcessT", bound=SimulatedProcess)


class ProcessSimulation(VirtualTime, Generic[ProcessT]):
    """Passes ticks and datagrams to the state machines of named processes and performs the effects."""

    def __init__(self, seed: int | str, latency: int) -> None:
        super().__init__(seed, latency)
        self.processes: dict[str, ProcessT] = {}
        self.names_by_address: dict[str, str] = {}
        self.last_active_name: str | None = None  # the process that handled the last input

    def add_process(self, process: ProcessT) -> None:
        """Register a process that is not running yet."""
        self.processes[process.name] = process
        self.names_by_address[process.address] = process.name

    # ---- hooks for subclasses

    def clock(self, process: ProcessT) -> int:
        """Return the current value of the process's own clock."""
        return self.now

    def tick_interval(self, process: ProcessT) -> int:
        """Return the interval between ticks of the process in microseconds."""
        raise NotImplementedError

    def handle_effect(self, process: ProcessT, effect: tuple) -> None:
        """Perform an effect other than sending a datagram."""
        raise NotImplementedError

    def after_tick(self, process: ProcessT) -> None:
        """Run simulation code after each tick of the process; does nothing by default."""

    # ---- process control

    def reset_process(self, name: str) -> ProcessT:
        """Discard the state of the previous process of this name, and return the process.

        The caller sets the state machine of the new process.
        """
        process = self.processes[name]
        process.generation += 1
        process.stopped = False
        process.buffered = []
        return process

    def kill(self, name: str) -> None:
        """Kill the process without notice."""
        self.reset_process(name).machine = None

    def stop(self, name: str) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.processes[name].stopped = True

    def resume(self, name: str) -> None:
        """Resume a stopped process: pass it the buffered datagrams and then a tick."""
        process = self.processes[name]
        process.stopped = False
        buffered = process.buffered
        process.buffered = []
        for machine_input in buffered:
            self.feed(name, machine_input)
        self.feed(name, Tick())

    def tick(self, name: str, generation: int) -> None:
        """Pass a tick to the process and schedule the next, unless it was replaced or killed."""
        process = self.processes[name]
        if process.generation != generation:
            return
        self.feed(name, Tick())
        self.after_tick(process)
        self.schedule(self.now + self.tick_interval(process), self.tick, name, generation)

    def feed(self, name: str, machine_input: tuple) -> None:
        """Pass an input to a process's state machine and perform the resulting effects.

        A stopped process buffers datagrams and ignores all other inputs.
        """
        process = self.processes[name]
        if process.machine is None:
            return
        if process.stopped:
            if isinstance(machine_input, DatagramReceived) and len(process.buffered) < MAX_BUFFERED_DATAGRAMS:
                process.buffered.append(machine_input)
            return
        self.last_active_name = name
        for effect in process.machine.reduce(self.clock(process), machine_input):
            if not isinstance(effect, SendDatagram):
                self.handle_effect(process, effect)
                continue
            host, port = effect.address
            target = self.names_by_address.get(f"{host}:{port}")
            if target is not None:
                self.transmit(name, target, effect.data)

    def receive(self, origin: str, target: str, data: bytes) -> None:
        """Deliver a datagram to the target process."""
        self.feed(target, DatagramReceived(self.processes[origin].endpoint, data))
