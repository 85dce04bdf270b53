"""Start and control a fleet of real processes of the program on loopback addresses.

The fleet owns the folder of a run and all its processes: nodes, planners, the fault-injecting proxy, the
simulated peers and the load generator. It must end each of them by its process id whatever happens, and never
signal a process that it didn't start.
"""

import json
import signal
import subprocess
import sys
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path

import json5

from finchcart.consensus import subjects
from finchcart.fault_injection.processes.child_processes import ChildProcesses, cpu_and_peak_memory
from finchcart.fault_injection.processes.loopback_addresses import MEMBER_PORT, LoopbackAddresses
from finchcart.fault_injection.processes.node_configuration import (
    fleet_settings,
    node_configuration,
    store_share,
)
from finchcart.fault_injection.scripted_runs.fault_injecting_proxy import READY_LINE
from finchcart.fault_injection.scripted_runs.fleet_options import FleetOptions
from finchcart.fault_injection.scripted_runs.script import ScriptedLoad
from finchcart.fleet_queries import query_limits, send_override
from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.store import StoreState

SEED_MEMBERS = 3
OVERRIDE_S = 600.0
OVERRIDE_REASON = "trial"
OVERRIDE_TIMEOUT_S = 1.0
LEADER_TIMEOUT_S = 0.3
FAULTS_FILE = "faults.json"
FLOOD_ORDERS_FILE = "flood.json"
FLOOD_FILE = "flood.jsonl"
FOCUS_FILE = "focus.json"
LOAD_FILE = "load.json"
TRUTH_FILE = "truth.jsonl"
EFFECTS_FILE = "effects.txt"


class ProcessFleet:
    """The processes of one run.

    `names` are the names of all nodes that may run, and `fleet` is the `fleet` block of their settings. The
    constructor starts the proxy and the simulated peers; `start` starts nodes and planners.
    """

    def __init__(
        self,
        folder: Path | str,
        names: Sequence[str],
        seed: int,
        fleet: dict,
        options: FleetOptions | None = None,
    ) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.seed = seed
        self.options = options or FleetOptions()
        self.node_names = list(names)
        self.planners = [f"p{number}" for number in range(self.options.planners)]
        self.spares = [f"x{number}" for number in range(self.options.spares)]
        self.names = [*names, *self.planners, *self.spares]
        self.addresses = LoopbackAddresses(self.names)
        self.child_processes = ChildProcesses(self.folder)
        self.processes: dict[str, subprocess.Popen] = {}  # the latest process of each node or planner
        self.start_counts: dict[str, int] = {}  # name -> how many processes were started
        # (name, number of the process from 1) -> boot clock at its start
        self.process_starts: dict[tuple[str, int], int] = {}
        self.leader: str | None = None  # the planner that `find_leader` found last
        self.faults: dict[str, str] = {}  # host -> a `StoreState`
        self.settings: dict[str, dict] = {}  # name -> content of its settings file, which may change in a run
        self._write_files(fleet)
        try:
            self._start_proxy()
            if self.options.load:
                self._start_simulated_peers(self.options.load)
        except BaseException:
            self.end()
            raise

    @property
    def children(self) -> list[subprocess.Popen]:
        """All processes that the fleet started, also those that ended."""
        return self.child_processes.children

    # ---- files

    def _write_files(self, fleet: dict) -> None:
        options = self.options
        share = store_share(options.limits, len(self.node_names), options.static)
        seeds = [self.addresses.advertised(name) for name in self.node_names[:SEED_MEMBERS]]
        planners = [self.addresses.advertised(name) for name in self.planners]
        shared = options.shared_settings(planners)
        for name in self.names:
            self._write(f"{name}.json", node_configuration(name, self.addresses, share))
            own = fleet_settings(name, f"trial-{self.seed}", self.addresses, seeds, fleet)
            self.settings[name] = {"fleet": own, **shared} if options.exchange_messages else {}
            self._write_settings(name)

    def _write(self, name: str, tree: object) -> None:
        (self.folder / name).write_text(json.dumps(tree))

    def _write_settings(self, name: str) -> None:
        (self.folder / f"{name}.json5").write_text(json5.dumps(self.settings[name], indent=1))

    def _write_atomically(self, name: str, tree: object) -> None:
        """Write a file that another process polls, so that the process never reads a partial file."""
        path = self.folder / name
        path.with_suffix(".new").write_text(json.dumps(tree))
        path.with_suffix(".new").rename(path)

    def _path(self, name: str) -> str:
        return str(self.folder / name)

    def read_lines(self, name: str) -> list[dict]:
        """Return the lines of a JSON-lines file of the run; an empty list if the file doesn't exist."""
        path = self.folder / name
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    # ---- proxy and simulated peers

    def _spawn_module(self, name: str, module: str, *arguments: str, **more: object) -> subprocess.Popen:
        return self.child_processes.spawn(name, [sys.executable, "-m", module, *arguments], **more)

    def _start_proxy(self) -> None:
        self.proxy = self._spawn_module(
            "relay",
            "finchcart.fault_injection.scripted_runs.fault_injecting_proxy",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        members = [
            [name, self.addresses.member(name), [self.addresses.proxied_host(name), MEMBER_PORT]]
            for name in self.names
        ]
        self.send_order({"seed": self.seed, "members": members})
        line = self.proxy.stdout.readline()
        if line.strip() != READY_LINE:
            raise RuntimeError(
                f"the fault-injecting proxy printed {line!r} instead of {READY_LINE!r}; see relay.log"
            )

    def send_order(self, order: dict) -> None:
        """Send an order to the proxy."""
        self.proxy.stdin.write(json.dumps(order) + "\n")
        self.proxy.stdin.flush()

    def link_counts(self) -> dict[str, int]:
        """Return the counts of datagrams by their fate, summed over all links."""
        self.send_order({"do": "counts"})
        return json.loads(self.proxy.stdout.readline())

    def _start_simulated_peers(self, load: ScriptedLoad) -> None:
        """Start the first process with store, registry and worker pools, and more with worker pools alone."""
        paths = [self._path(f"{name}.json") for name in self.node_names]
        arguments = ["--work-ms", str(load.work_ms), "--store-work-ms", str(load.store_ms)]
        arguments += ["--truth", self._path(TRUTH_FILE), "--faults", self._path(FAULTS_FILE)]
        limit = self.options.limits[0] if self.options.limits else {}
        for key, option in (("in_hand", "--limit"), ("rate", "--rate"), ("burst", "--burst")):
            if key in limit:
                arguments += [option, str(limit[key])]
        if load.keyed:
            arguments += ["--effects", self._path(EFFECTS_FILE)]
        if load.spin:
            arguments.append("--spin")
        for number in range(load.processes):
            more = ["--pools-only"] if number else self._store_arguments()
            configurations = paths[number :: load.processes]
            child = self._spawn_module(
                f"world{number}",
                "finchcart.simulated_peers",
                *arguments,
                *more,
                *configurations,
                stdout=subprocess.PIPE,
            )
            child.stdout.readline()

    def _store_arguments(self) -> list[str]:
        return [word for name in self.node_names for word in ("--place", self.addresses.store(name))]

    def start_load(self, seconds: float) -> subprocess.Popen:
        """Start the load generator on all nodes; it writes its results into load.json when it ends."""
        load = self.options.load
        return self._spawn_module(
            "load",
            "finchcart.simulated_peers.load_generator",
            "--rate",
            str(load.rate),
            "--seconds",
            str(seconds),
            "--links",
            str(load.links),
            "--out",
            self._path(LOAD_FILE),
            "--seed",
            str(self.seed),
            *(["--keyed"] if load.keyed else []),
            "--focus",
            self._path(FOCUS_FILE),
            *(self.addresses.node(name) for name in self.node_names),
        )

    def start_misbehaving_clients(self) -> subprocess.Popen:
        """Start the process with the sources of floods, which send nothing until `flood` is called."""
        self._write_atomically(FLOOD_ORDERS_FILE, {"at": []})
        return self._spawn_module(
            "flood",
            "finchcart.simulated_peers.misbehaving_clients",
            "--net",
            self.addresses.sources_net,
            "--orders",
            self._path(FLOOD_ORDERS_FILE),
            "--out",
            self._path(FLOOD_FILE),
        )

    def set_store_state(self, names: Iterable[str], state: str) -> None:
        """Set the store's state for these nodes; with FAILING, runs in their worker pools fail instead."""
        failing = state == StoreState.FAILING
        host = self.addresses.own_host if failing else self.addresses.store_host
        self.faults |= {host(name): state for name in names}
        if state == StoreState.OK:
            self.faults |= {self.addresses.own_host(name): state for name in names}
        self._write_atomically(FAULTS_FILE, self.faults)

    def flood(self, names: Iterable[str], orders: dict) -> None:
        """Let sources flood these nodes alone; no names end the flood. Orders: see misbehaving_clients.py."""
        addresses = [self.addresses.node(name) for name in names]
        self._write_atomically(FLOOD_ORDERS_FILE, {**orders, "at": addresses})

    def focus(self, names: Sequence[str]) -> None:
        """Send the load to these nodes alone, or to all nodes if there are no names."""
        if names:
            self._write_atomically(FOCUS_FILE, [self.names.index(name) for name in names])
        else:
            (self.folder / FOCUS_FILE).unlink(missing_ok=True)

    # ---- orders to nodes

    def override(self, name: str, kind: str, subject: str, value: str) -> None:
        """Issue an operator's override at that node; an empty value withdraws the override."""
        with suppress(TimeoutError):  # the node is suspended or doesn't run
            send_override(
                self.addresses.member(name),
                subjects.parse_subject(kind, subject),
                subjects.parse_value(kind, value) if value else 0,
                OVERRIDE_S,
                OVERRIDE_REASON,
                OVERRIDE_TIMEOUT_S,
            )

    def set_limit(self, name: str, changes: dict) -> None:
        """Change the first limit in the settings file of a process, and let the process reload the file."""
        first, *others = self.settings[name]["limits"]
        self.settings[name]["limits"] = [{**first, **changes}, *others]
        self._write_settings(name)
        self.reload_settings(name)

    def find_leader(self) -> str | None:
        """Return the planner that reports itself as leader.

        If none does, the result is the planner found last, or else the first planner.
        """
        for name in self.planners:
            with suppress(TimeoutError):
                if (
                    self.is_running(name)
                    and query_limits(self.addresses.member(name), LEADER_TIMEOUT_S)["leads"]
                ):
                    self.leader = name
        return self.leader or next(iter(self.planners), None)

    # ---- processes of the program

    def start(self, name: str) -> None:
        """Start a process of a node or planner; its log has the number of the process in its name."""
        number = self.start_counts[name] = self.start_counts.get(name, 0) + 1
        self.process_starts[name, number] = boot_clock()
        arguments = ["serve"]
        if name in self.planners:
            host, port = self.addresses.member(name)
            arguments = ["plan", "--place", self.addresses.advertised(name), "--listen", f"{host}:{port}"]
        self.processes[name] = self._spawn_module(
            f"{name}.{number}",
            "finchcart",
            *arguments,
            "--log",
            "json",
            "--settings",
            self._path(f"{name}.json5"),
            env={"ROUTER_CONFIG": self._path(f"{name}.json")},
        )

    def start_elsewhere(self, name: str) -> None:
        """Start a second process with this name at the first spare's address; the first one may still run."""
        spare = self.spares[0]
        path = self.folder / f"{spare}.json"
        self._write(path.name, {**json.loads(path.read_text()), "name": name})
        self.start(spare)

    def end_elsewhere(self) -> None:
        """End the process that `start_elsewhere` started."""
        self.kill(self.spares[0])

    def is_running(self, name: str) -> bool:
        """Whether the process exists, suspended or not."""
        return self.processes[name].poll() is None

    def running(self) -> list[str]:
        """Return the names of the nodes and planners whose process exists, suspended or not."""
        return [name for name in self.processes if self.is_running(name)]

    def usage(self, name: str) -> tuple[float, float]:
        """Return the CPU time of a process in seconds and its peak memory in MB."""
        return cpu_and_peak_memory(self.processes[name].pid)

    def _signal(self, name: str, number: signal.Signals) -> None:
        if name in self.processes and self.is_running(name):
            self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill the process and wait for its end."""
        self._signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str) -> None:
        """Suspend the process until `resume`."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask the process to drain and end."""
        self._signal(name, signal.SIGTERM)

    def reload_settings(self, name: str) -> None:
        """Let the process reload its settings file."""
        self._signal(name, signal.SIGHUP)

    def end(self) -> None:
        """End all processes, and release the addresses for other runs."""
        self.child_processes.end()
        self.addresses.release()
