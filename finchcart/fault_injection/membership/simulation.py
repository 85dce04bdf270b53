"""Simulates hundreds of members, with their real state machines, on a virtual clock in one thread."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from finchcart.fault_injection.virtual_time.driver import ProcessSimulation, SimulatedProcess
from finchcart.membership.config import MembershipConfig
from finchcart.membership.member import Member

LATENCY_US = 200
FLEET_NAME = "virtual"
WALL_CLOCK_MS = 1_700_000_000_000  # reading of the wall clocks at virtual time 0

Watcher = Callable[[int, str, tuple], None]
MemberFactory = Callable[..., Any]


def ignore_effect(now: int, name: str, effect: tuple) -> None:
    """Do nothing; the default watcher."""


@dataclass(eq=False)
class MemberProcess(SimulatedProcess):
    """A process that is one member of the fleet."""

    tick_delay: int = 0  # maximum delay of each tick in microseconds, for a process without CPU time


class MembershipSimulation(ProcessSimulation[MemberProcess]):
    """A fleet of members.

    `seed_members` is the number of seed members that each member gets at its start.
    `watch(now, name, effect)` is called with all effects except datagrams. `make` creates a member; tests
    replace it to plant a defect.
    """

    def __init__(
        self,
        names: Iterable[str],
        seed: int | str,
        config: MembershipConfig | None = None,
        seed_members: int = 3,
        watch: Watcher = ignore_effect,
        make: MemberFactory = Member,
    ) -> None:
        super().__init__(seed, LATENCY_US)
        self.random = Random(f"fleet {seed}")
        self.config = config or MembershipConfig()
        self.seed_members = seed_members
        self.watch = watch
        self.make = make
        for name in names:
            self.add(name)

    def add(self, name: str) -> None:
        """Add a process that is not running yet, with the next free address."""
        number = len(self.processes)
        address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7400"
        self.add_process(MemberProcess(name, address))

    def start(self, name: str, wall_clock_offset_ms: int = 0, member_name: str | None = None) -> None:
        """Start a process, with the name of another member if `member_name` is given."""
        process = self.reset_process(name)
        seeds = [other.address for other in list(self.processes.values())[: self.seed_members]]
        process.machine = self.make(
            member_name or name,
            FLEET_NAME,
            process.address,
            seeds,
            self.config,
            Random(f"{self.seed} {name} {process.generation}"),
            WALL_CLOCK_MS + self.now // 1000 + wall_clock_offset_ms,
            self.now,
        )
        first_tick = self.now + self.random.randrange(self.config.tick)
        self.schedule(first_tick, self.tick, name, process.generation)

    def tick_interval(self, process: MemberProcess) -> int:
        """Return the time to the next tick, with a random delay for a process without CPU time."""
        delay = self.random.randrange(process.tick_delay) if process.tick_delay else 0
        return self.config.tick + delay

    def handle_effect(self, process: MemberProcess, effect: tuple) -> None:
        """Pass the effect to the watcher."""
        self.watch(self.now, process.name, effect)

    # ---- what members know

    def running(self) -> list[str]:
        """Return the names of processes that run and are not stopped."""
        return [name for name, process in self.processes.items() if process.machine and not process.stopped]

    def state_seen(self, observer: str, subject: str) -> str | None:
        """Return the state in which one member sees another, or None if it doesn't know that member."""
        return self._states_seen(observer).get(subject)

    def views(self) -> dict[str, dict[str, str]]:
        """Return, for each running member, the states in which it sees others, by name."""
        return {name: self._states_seen(name) for name in self.running()}

    def _states_seen(self, observer: str) -> dict[str, str]:
        known_members = self.processes[observer].machine.known_members.values()
        return {known.record.name: known.state for known in known_members}
