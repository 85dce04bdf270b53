"""Run simulated worker pools, a store and a registry at the addresses in node configurations.

    python -m finchcart.simulated_peers example/config.json

The command is used to try nodes out by hand, in loopback tests and in the fault-injection suite.
"""

import argparse
import json
import threading
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path

from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.registry import SimulatedRegistry
from finchcart.simulated_peers.server import parse_address
from finchcart.simulated_peers.store import Capacity, FaultStates, SimulatedStore, StoreState, write_snapshots
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool

SNAPSHOT_INTERVAL_S = 0.2


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("config", nargs="+", help="node configurations; each gets its own worker pool")
    parser.add_argument("--work-ms", type=float, default=50.0, help="duration of a run")
    parser.add_argument("--spin", action="store_true", help="runs use CPU time instead of sleeping")
    parser.add_argument("--pools-only", action="store_true", help="start no store and no registry")
    parser.add_argument("--store-work-ms", type=float, default=0.0, help="duration of a call to the store")
    parser.add_argument("--limit", type=int, help="capacity of the store in concurrent calls")
    parser.add_argument("--rate", type=float, help="capacity of the store in calls per second")
    parser.add_argument("--burst", type=int, default=0, help="burst size allowed on top of --rate, in calls")
    parser.add_argument("--effects", help="file to which the body of each run is appended, one per line")
    parser.add_argument("--place", action="append", default=[], help="additional address of the store")
    parser.add_argument("--faults", help="JSON file with the state of each address")
    parser.add_argument("--truth", help="file to which the store's counts are appended, one JSON line each")
    return parser.parse_args()


def effect_writer(path: str) -> Callable[[bytes], None]:
    """Return a function that appends the time of a run's effect and the run's body to the file."""
    file = Path(path).open("a", encoding="utf-8")  # noqa: SIM115  (stays open until the process ends)
    lock = threading.Lock()

    def write(body: bytes) -> None:
        with lock:
            file.write(f"{boot_clock()} {body.decode(errors='replace')}\n")
            file.flush()

    return write


class SimulatedPeers:
    """The simulated peers of all node configurations; the constructor starts their threads."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.faults = FaultStates(arguments.faults)
        self.on_effect = effect_writer(arguments.effects) if arguments.effects else None
        self.store: SimulatedStore | None = None
        self.store_addresses: set[str] = set()
        self.registry_addresses: set[str] = set()
        for path in arguments.config:
            config = json.loads(Path(path).read_text(encoding="utf-8"))
            self._start_worker_pool(config)
            if not arguments.pools_only:
                self._serve_store(config["store"])
                self._serve_registry(config["roster"])
        if self.store:
            for address in arguments.place:
                self._serve_store(address)

    def _start_worker_pool(self, config: dict) -> None:
        settings = config["settings"]
        family = settings["familyInfo"]
        names = [service["name"] for service in settings["services"]]
        address = parse_address(config["pool"])
        SimulatedWorkerPool(
            address,
            dict(zip(names, family["classCalls"], strict=False)),
            self.arguments.work_ms / 1000,
            family["cores"],
            self.arguments.spin,
            partial(self._is_failing, address[0]),
            self.on_effect,
        )

    def _is_failing(self, host: str) -> bool:
        return self.faults.state(host) == StoreState.FAILING

    def _serve_store(self, address: str) -> None:
        """Start the store at this address, or make the running store listen at it too."""
        if address in self.store_addresses:
            return
        self.store_addresses.add(address)
        if self.store:
            self.store.listen(parse_address(address))
            return
        arguments = self.arguments
        capacity = Capacity(arguments.limit, arguments.rate, arguments.burst)
        work = arguments.store_work_ms / 1000
        self.store = SimulatedStore(parse_address(address), work, capacity, self.faults)

    def _serve_registry(self, address: str) -> None:
        if address not in self.registry_addresses:
            self.registry_addresses.add(address)
            SimulatedRegistry(parse_address(address))


def main() -> None:
    """Start the peers and serve until the process is interrupted."""
    arguments = parse_arguments()
    peers = SimulatedPeers(arguments)
    print("simulated peers are running; press Ctrl-C to stop them", flush=True)
    with suppress(KeyboardInterrupt):
        if arguments.truth and peers.store:
            write_snapshots(peers.store, arguments.truth, SNAPSHOT_INTERVAL_S)
        threading.Event().wait()


if __name__ == "__main__":
    main()
