"""The soak: real nodes as `run` starts them, faults on all sides, and the four rules held against records.

Owns the processes of one seed, and the peers, relays and clients beside them. It must end every process that
it started by its own id, whatever happens, and never judge by a node's own word: recorded_rules.py judges by
records.
"""

import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from finchcart.fault_injection.processes.loopback_addresses import own_address
from finchcart.fault_injection.processes.process_shim import ProcessShim, build_library
from finchcart.fault_injection.soak.lost_requests import LostCause
from finchcart.fault_injection.soak.node import SoakNode
from finchcart.fault_injection.soak.plan import LEAVE_AT_S, NodeEvent, SoakPlan, draw_plan
from finchcart.simulated_peers.store import SimulatedStore

WATCH_INTERVAL_S = 0.02
RESTART_AFTER_S = 0.2
CLIENT_END_S = 4.0
LATE_CLIENT_S = 0.1
PLAY_LIMIT_S = 90.0  # of one seed, from its start


@dataclass
class SoakResult:
    """What came of one seed."""

    seed: int
    breaches: list[str]
    counts: Counter = field(default_factory=Counter)
    last_answer_before_kill_s: float | None = None
    lateness_s: float = 0.0  # of the run's own timer: how far its times can be off


class LatenessWatch:
    """Measures how late the run's own threads are: by so much its records can be."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._ended = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self._ended.is_set():
            before = time.monotonic()
            time.sleep(WATCH_INTERVAL_S)
            self.worst_s = max(self.worst_s, time.monotonic() - before - WATCH_INTERVAL_S)

    def end(self) -> None:
        """Measure no longer."""
        self._ended.set()


class SoakRun:
    """One plan. `plant`: the defect of planted_defects.py that the nodes are started with, or None."""

    def __init__(self, plan: SoakPlan, folder: Path, library: Path, plant: str | None = None) -> None:
        self.plan = plan
        self._plant = plant
        self._shim = ProcessShim(library, folder, f"shim{plan.seed}")
        self._store = SimulatedStore(own_address(), self.plan.store_work_s)
        self._store_load: list[tuple[float, float]] = []  # (time, call-seconds used so far)
        self._nodes: list[SoakNode] = []
        self._folder = folder
        self._began = 0.0
        self._ended = threading.Event()
        self._counts: Counter[str] = Counter()

    def play(self) -> SoakResult:
        """Play the plan and return what came of it."""
        lateness = LatenessWatch()
        try:
            self._play()
        finally:
            self._ended.set()
            for node in self._nodes:
                node.end()
            lateness.end()
        return self._result(lateness.worst_s)

    def _play(self) -> None:
        plan = self.plan
        store_address = self._store.listener.getsockname()
        for number in range(plan.nodes):
            name = f"s{plan.seed}n{number}"
            self._nodes.append(SoakNode(plan, name, self._folder, self._shim, store_address))
        self._each_node(lambda node: node.start(self._plant))
        self._began = time.monotonic()
        threading.Thread(target=self._watch, daemon=True).start()
        for node in self._nodes:
            node.pool_relay.faults = plan.pool_link
            node.store_relay.faults = plan.store_link
            for client in node.clients:
                client.start()
        for chance in plan.call_chances:
            if chance.error:
                self._shim.fail_by_chance(chance.call, chance.part, chance.error, plan.seed)
            else:
                self._shim.shorten_by_chance(chance.call, chance.part, chance.most_bytes, plan.seed)
        threading.Thread(target=self._play_clock, daemon=True).start()
        self._each_node(self._play_node)
        for node in self._nodes:
            for client in node.clients:
                client.stop()
        end = time.monotonic() + CLIENT_END_S
        for node in self._nodes:
            for client in node.clients:
                client.join(max(0.0, end - time.monotonic()))

    def _each_node(self, act: object) -> None:
        threads = [threading.Thread(target=act, args=(node,)) for node in self._nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _wait_until(self, at: float) -> None:
        self._ended.wait(max(0.0, self._began + at - time.monotonic()))

    def _play_clock(self) -> None:
        for event in self.plan.events:
            if event.kind == "clock":
                self._wait_until(event.at)
                self._shim.set_clock_offset(event.value)
                self._counts["clock step"] += 1

    def _play_node(self, node: SoakNode) -> None:
        for event in self.plan.events:
            if event.kind != "clock" and node.pid is not None:
                self._wait_until(event.at)
                self._play_event(node, event)
        self._wait_until(LEAVE_AT_S)
        if node.pid is not None:
            node.leave()

    def _play_event(self, node: SoakNode, event: NodeEvent) -> None:
        self._counts[event.kind] += 1
        if event.kind == "pause":
            node.pause(event.value)
        elif event.kind == "pool restart":
            node.pool.restart()
        elif event.kind == "node killed":
            node.kill_outright()
            time.sleep(RESTART_AFTER_S)
            node.start(self._plant)
        elif event.kind == "store refuses":
            node.store_relay.refuses = True
            time.sleep(event.value)
            node.store_relay.refuses = False
        else:
            relay = node.store_relay if event.kind == "store silent" else node.pool_relay
            relay.is_silent = True
            time.sleep(event.value)
            relay.is_silent = False

    def _watch(self) -> None:
        while not self._ended.wait(WATCH_INTERVAL_S):
            self._store_load.append((time.monotonic(), self._store.snapshot()["used"]))
            for node in self._nodes:
                node.watch()

    # ---- What came of it

    def _result(self, lateness_s: float) -> SoakResult:
        found = [line for node in self._nodes for line in node.found(lateness_s)]
        found += self._store_overload()
        self._count_faults()
        for cause in LostCause:
            self._counts[f"lost: {cause}"] += sum(f": {cause}: " in line for line in found)
        before_kill = [
            life.kill_at - max(answers)
            for node in self._nodes
            for life in node.lives
            if life.kill_at is not None
            and (answers := [a.at for record in node.records() for a in record.answers])
        ]
        return SoakResult(
            self.plan.seed, found, self._counts, min(before_kill, default=None), round(lateness_s, 4)
        )

    def _store_overload(self) -> list[str]:
        """Compare the mean of the calls in hand over any second with what all nodes together may use."""
        limit = self.plan.calls_out * self.plan.nodes
        first = 0
        for at, used in self._store_load:
            while self._store_load[first][0] < at - 1.0:
                first += 1
            begin, used_before = self._store_load[first]
            if at - begin > 0.9 and (used - used_before) / (at - begin) > limit + 0.5:
                return [f"fall-over: {(used - used_before) / (at - begin):.1f} calls in hand of {limit}"]
        return []

    def _count_faults(self) -> None:
        counts = self._counts
        for node in self._nodes:
            for relay, party in ((node.pool_relay, "pool"), (node.store_relay, "store")):
                for kind, count in relay.counts.items():
                    counts[f"{party} link {kind}"] += count
            for record in node.records():
                counts["RPCs"] += 1
                counts["answers read 0.1 s late by their client"] += any(
                    answer.at - answer.given_at > LATE_CLIENT_S for answer in record.answers
                )
                counts[f"answered {record.answers[0].outcome}" if record.answers else "no answer"] += 1
            counts["runs"] += len(node.pool.history)
        for chance in self.plan.call_chances:
            counts[f"call {chance.call.name.lower()} hit"] += self._shim.injected(chance.call)
        counts["signals"] += len(self.plan.signals) * len(self._nodes)


@dataclass
class RunningSeed:
    """A seed that is played by a process of its own."""

    process: subprocess.Popen
    result_path: Path
    ends_by: float  # on the monotonic clock

    def result(self, seed: int) -> SoakResult | None:
        """Return what came of it, or None while it is played."""
        status = self.process.poll()
        if status is None and time.monotonic() < self.ends_by:
            return None
        if status is None:
            self.process.kill()
            self.process.wait()
            return SoakResult(seed, [f"the run itself did not end in {PLAY_LIMIT_S:.0f} s"])
        if status != 0:
            return SoakResult(seed, [f"the run itself failed with status {status}"])
        tree = json.loads(self.result_path.read_text(encoding="utf-8"))
        return SoakResult(**{**tree, "counts": Counter(tree["counts"])})


def play_seeds(seeds: Sequence[int], folder: Path, jobs: int, plant: str | None = None) -> list[SoakResult]:
    """Play seeds, `jobs` at once, each in a process of its own."""
    library = build_library(folder)
    if library is None:
        raise RuntimeError("no C compiler: the library of faults can't be built")
    waiting = list(seeds)
    running: dict[int, RunningSeed] = {}
    results = []
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.pop(0)
            running[seed] = _start_seed(seed, folder, library, plant)
        for seed, play in list(running.items()):
            result = play.result(seed)
            if result is not None:
                del running[seed]
                results.append(result)
        time.sleep(WATCH_INTERVAL_S)
    return sorted(results, key=lambda result: result.seed)


def _start_seed(seed: int, folder: Path, library: Path, plant: str | None) -> RunningSeed:
    # A file and not a pipe: nobody reads while it is played, and many breaches are more than a pipe holds.
    result_path = folder / f"result{seed}.json"
    command = [sys.executable, "-m", "finchcart.fault_injection.soak.run"]
    arguments = [str(seed), str(folder), str(library), str(result_path), plant or ""]
    process = subprocess.Popen([*command, *arguments])
    return RunningSeed(process, result_path, time.monotonic() + PLAY_LIMIT_S)


def main() -> None:
    """Play the seed that the arguments name, and write its result to the file that they name."""
    seed, folder, library, result_path, plant = sys.argv[1:]
    result = SoakRun(draw_plan(int(seed)), Path(folder), Path(library), plant or None).play()
    Path(result_path).write_text(json.dumps(vars(result)), encoding="utf-8")
    os._exit(0)  # threads of peers and clients are not waited for


if __name__ == "__main__":
    main()
