"""One virtual-time driver: state machines of many processes in one thread, on one simulated clock.

Owns the clock, the queue of what is due, the network between the processes, and who runs. It must never
change what a state machine does: the same objects run on sockets. A stopped process keeps what comes to it,
as a socket's buffer does, up to a bound; it is handed over when the process goes on.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from heapq import heappop, heappush
from typing import Any, Generic, TypeVar

from finchcart.fault_injection.virtual_time.simulated_network import Delivery, SimulatedNetwork
from finchcart.fleet.effects import SendDatagram
from finchcart.fleet.inputs import DatagramReceived, Tick

START_US = 1_000_000  # the clock's reading when a simulation begins
MAX_BUFFERED = 250  # datagrams that wait for a stopped process


class VirtualTime:
    """Actions in the order of their times, in whole microseconds, and datagrams between processes."""

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
        """Call `action(*args)` at that time."""
        self._sequence += 1
        heappush(self._queue, (when, self._sequence, action, args))

    def run(self, until: int, after_step: Callable[[Any], None] | None = None) -> None:
        """Run up to that time, and call `after_step(self)` after each action."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, args = heappop(self._queue)
            self.steps += 1
            action(*args)
            if after_step:
                after_step(self)
        self.now = max(self.now, until)

    def transmit(self, origin: str, target: str, data: bytes) -> None:
        """Send a datagram from one process to another over the network."""
        self._deliver(self.network.send(self.now, origin, target, data))

    def receive(self, origin: str, target: str, data: bytes) -> None:
        """Hand a datagram to the process that it arrives at."""
        raise NotImplementedError

    def _advance_network(self) -> None:
        self._deliver(self.network.advance(self.now))

    def _deliver(self, deliveries: list[Delivery]) -> None:
        """Let what leaves the network arrive after the latency, and wake up for what is still under way."""
        for delivery in deliveries:
            self.schedule(self.now + self.latency, self.receive, *delivery)
        due = self.network.next_arrival()
        if due is not None and due > self.now and self._next_network_wakeup != due:
            self._next_network_wakeup = due
            self.schedule(due, self._advance_network)


@dataclass(eq=False)
class SimulatedProcess:
    """One name: its address and its process, if any."""

    name: str
    address: str  # "HOST:PORT"
    machine: Any = None  # the state machine, None while no process runs
    stopped: bool = False
    buffered: list[tuple] = field(default_factory=list)  # inputs that wait for a stopped process
    life: int = 0  # raised by each start: timers of an earlier process are void

    @cached_property
    def endpoint(self) -> tuple[str, int]:
        """The address as (host, port)."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


ProcessT = TypeVar("ProcessT", bound=SimulatedProcess)


class ProcessSimulation(VirtualTime, Generic[ProcessT]):
    """Processes by name, each with a state machine that is fed ticks and datagrams."""

    def __init__(self, seed: int | str, latency: int) -> None:
        super().__init__(seed, latency)
        self.processes: dict[str, ProcessT] = {}
        self.names_by_address: dict[str, str] = {}
        self.last_fed: str | None = None  # the process that acted last

    def add_process(self, process: ProcessT) -> None:
        """Take in a process that does not run yet."""
        self.processes[process.name] = process
        self.names_by_address[process.address] = process.name

    # ---- what a simulation has to say

    def clock(self, process: ProcessT) -> int:
        """Return what the process's own clock reads."""
        return self.now

    def tick_interval(self, process: ProcessT) -> int:
        """Return the time from one tick of the process to the next."""
        raise NotImplementedError

    def handle_effect(self, process: ProcessT, effect: tuple) -> None:
        """Carry out an effect that is not a datagram."""
        raise NotImplementedError

    def after_tick(self, process: ProcessT) -> None:
        """Act for the process after its tick."""

    # ---- what happens to processes

    def begin_life(self, name: str) -> ProcessT:
        """Forget the earlier process of that name; the caller gives the new one its state machine."""
        process = self.processes[name]
        process.life += 1
        process.stopped = False
        process.buffered = []
        return process

    def kill(self, name: str) -> None:
        """End the process at once."""
        self.begin_life(name).machine = None

    def stop(self, name: str) -> None:
        """Stop the process, as SIGSTOP does."""
        self.processes[name].stopped = True

    def resume(self, name: str) -> None:
        """Let a stopped process go on: it gets what was buffered, and a tick."""
        process = self.processes[name]
        process.stopped = False
        buffered = process.buffered
        process.buffered = []
        for machine_input in buffered:
            self.feed(name, machine_input)
        self.feed(name, Tick())

    def tick(self, name: str, life: int) -> None:
        """Feed the tick that is due, if the process of that life still runs, and schedule the next."""
        process = self.processes[name]
        if process.life != life:
            return
        self.feed(name, Tick())
        self.after_tick(process)
        self.schedule(self.now + self.tick_interval(process), self.tick, name, life)

    def feed(self, name: str, machine_input: tuple) -> None:
        """Hand an input to a process's state machine and carry out the effects."""
        process = self.processes[name]
        if process.machine is None:
            return
        if process.stopped:
            if isinstance(machine_input, DatagramReceived) and len(process.buffered) < MAX_BUFFERED:
                process.buffered.append(machine_input)
            return
        self.last_fed = name
        for effect in process.machine.reduce(self.clock(process), machine_input):
            if not isinstance(effect, SendDatagram):
                self.handle_effect(process, effect)
                continue
            host, port = effect.address
            target = self.names_by_address.get(f"{host}:{port}")
            if target is not None:
                self.transmit(name, target, effect.data)

    def receive(self, origin: str, target: str, data: bytes) -> None:
        """Hand a datagram to the process that it arrives at."""
        self.feed(target, DatagramReceived(self.processes[origin].endpoint, data))
