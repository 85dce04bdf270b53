"""Runs the soak test: unmodified nodes under faults, with the four rules of recorded_rules.py checked.

Each seed runs in a process of its own, with its nodes, peers, relays and clients. It must end every process
that it started, by process id, on errors too. Breaches are found in the records of peers and clients and not
in what a node reports about itself.
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

from finchcart.fault_injection.processes.loopback_addresses import unique_address
from finchcart.fault_injection.processes.process_shim import ProcessShim, build_library
from finchcart.fault_injection.soak.lost_requests import LostCause
from finchcart.fault_injection.soak.node import SoakNode
from finchcart.fault_injection.soak.plan import NOTICE_AT_S, NodeEvent, SoakPlan, draw_plan
from finchcart.simulated_peers.store import SimulatedStore

WATCH_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.2
CLIENT_END_TIMEOUT_S = 4.0
LATE_READ_S = 0.1
SEED_TIMEOUT_S = 90.0  # time limit for the run of one seed


@dataclass
class SoakResult:
    """The result of the run of one seed."""

    seed: int
    breaches: list[str]
    counts: Counter = field(default_factory=Counter)
    last_answer_before_kill_s: float | None = None
    lateness_s: float = 0.0  # largest delay of the test's own threads, which bounds the error of its times


class LatenessWatch:
    """Measures the largest delay of the test's own threads; recorded times may be wrong by as much."""

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
        """Stop measuring."""
        self._ended.set()


class SoakRun:
    """The run of one plan. `defect` names the defect of planted_defects.py in the nodes, or is None."""

    def __init__(self, plan: SoakPlan, folder: Path, library: Path, defect: str | None = None) -> None:
        self.plan = plan
        self._defect = defect
        self._shim = ProcessShim(library, folder, f"shim{plan.seed}")
        self._store = SimulatedStore(unique_address(), self.plan.store_work_s)
        self._store_load: list[tuple[float, float]] = []  # (time, total call-seconds used)
        self._nodes: list[SoakNode] = []
        self._folder = folder
        self._began = 0.0
        self._ended = threading.Event()
        self._counts: Counter[str] = Counter()

    def run(self) -> SoakResult:
        """Run the plan and return its result."""
        lateness = LatenessWatch()
        try:
            self._run_plan()
        finally:
            self._ended.set()
            for node in self._nodes:
                node.end()
            lateness.end()
        return self._result(lateness.worst_s)

    def _run_plan(self) -> None:
        plan = self.plan
        store_address = self._store.listener.getsockname()
        for number in range(plan.nodes):
            name = f"s{plan.seed}n{number}"
            self._nodes.append(SoakNode(plan, name, self._folder, self._shim, store_address))
        self._for_each_node(lambda node: node.start(self._defect))
        self._began = time.monotonic()
        threading.Thread(target=self._watch, daemon=True).start()
        for node in self._nodes:
            node.pool_relay.faults = plan.pool_link
            node.store_relay.faults = plan.store_link
            for client in node.clients:
                client.start()
        for fault in plan.random_call_faults:
            if fault.error:
                self._shim.fail_randomly(fault.call, fault.probability, fault.error, plan.seed)
            else:
                self._shim.shorten_randomly(fault.call, fault.probability, fault.max_bytes, plan.seed)
        threading.Thread(target=self._apply_clock_events, daemon=True).start()
        self._for_each_node(self._apply_node_events)
        for node in self._nodes:
            for client in node.clients:
                client.stop()
        end = time.monotonic() + CLIENT_END_TIMEOUT_S
        for node in self._nodes:
            for client in node.clients:
                client.join(max(0.0, end - time.monotonic()))

    def _for_each_node(self, action: object) -> None:
        threads = [threading.Thread(target=action, args=(node,)) for node in self._nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _wait_until(self, at: float) -> None:
        self._ended.wait(max(0.0, self._began + at - time.monotonic()))

    def _apply_clock_events(self) -> None:
        for event in self.plan.events:
            if event.kind == "clock":
                self._wait_until(event.at)
                self._shim.set_clock_offset(event.value)
                self._counts["clock step"] += 1

    def _apply_node_events(self, node: SoakNode) -> None:
        for event in self.plan.events:
            if event.kind != "clock" and node.pid is not None:
                self._wait_until(event.at)
                self._apply_event(node, event)
        self._wait_until(NOTICE_AT_S)
        if node.pid is not None:
            node.shut_down()

    def _apply_event(self, node: SoakNode, event: NodeEvent) -> None:
        self._counts[event.kind] += 1
        if event.kind == "pause":
            node.pause(event.value)
        elif event.kind == "pool restart":
            node.pool.restart()
        elif event.kind == "node killed":
            node.kill_without_notice()
            time.sleep(RESTART_DELAY_S)
            node.start(self._defect)
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
                node.check_resources()

    # ---- Results

    def _result(self, lateness_s: float) -> SoakResult:
        found = [line for node in self._nodes for line in node.check_rules(lateness_s)]
        found += self._store_overload()
        self._count_faults()
        for cause in LostCause:
            self._counts[f"lost: {cause}"] += sum(f": {cause}: " in line for line in found)
        before_kill = [
            lifetime.kill_at - max(answers)
            for node in self._nodes
            for lifetime in node.lifetimes
            if lifetime.kill_at is not None
            and (answers := [a.at for record in node.records() for a in record.answers])
        ]
        return SoakResult(
            self.plan.seed, found, self._counts, min(before_kill, default=None), round(lateness_s, 4)
        )

    def _store_overload(self) -> list[str]:
        """Check the mean number of concurrent calls over any second against the limit of all nodes."""
        limit = self.plan.calls_out * self.plan.nodes
        first = 0
        for at, used in self._store_load:
            while self._store_load[first][0] < at - 1.0:
                first += 1
            begin, used_before = self._store_load[first]
            if at - begin > 0.9 and (used - used_before) / (at - begin) > limit + 0.5:
                return [
                    f"fall-over: {(used - used_before) / (at - begin):.1f} concurrent calls, limit {limit}"
                ]
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
                    answer.at - answer.given_at > LATE_READ_S for answer in record.answers
                )
                counts[f"answered {record.answers[0].outcome}" if record.answers else "no answer"] += 1
            counts["runs"] += len(node.pool.history)
        for fault in self.plan.random_call_faults:
            counts[f"call {fault.call.name.lower()} hit"] += self._shim.injected(fault.call)
        counts["signals"] += len(self.plan.signals) * len(self._nodes)


@dataclass
class RunningSeed:
    """A process that runs one seed."""

    process: subprocess.Popen
    result_path: Path
    ends_by: float  # time limit on the monotonic clock

    def result(self, seed: int) -> SoakResult | None:
        """Return the result of the run, or None while it is in progress; enforce its time limit."""
        status = self.process.poll()
        if status is None and time.monotonic() < self.ends_by:
            return None
        if status is None:
            self.process.kill()
            self.process.wait()
            return SoakResult(seed, [f"the test process did not end within {SEED_TIMEOUT_S:.0f} s"])
        if status != 0:
            return SoakResult(seed, [f"the test process failed with exit status {status}"])
        tree = json.loads(self.result_path.read_text(encoding="utf-8"))
        return SoakResult(**{**tree, "counts": Counter(tree["counts"])})


def run_seeds(seeds: Sequence[int], folder: Path, jobs: int, defect: str | None = None) -> list[SoakResult]:
    """Run seeds, `jobs` at a time, each in a process of its own; return their results by seed."""
    library = build_library(folder)
    if library is None:
        raise RuntimeError("no C compiler found; it is needed to build the fault-injection library")
    waiting = list(seeds)
    running: dict[int, RunningSeed] = {}
    results = []
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.pop(0)
            running[seed] = _start_seed(seed, folder, library, defect)
        for seed, running_seed in list(running.items()):
            result = running_seed.result(seed)
            if result is not None:
                del running[seed]
                results.append(result)
        time.sleep(WATCH_INTERVAL_S)
    return sorted(results, key=lambda result: result.seed)


def _start_seed(seed: int, folder: Path, library: Path, defect: str | None) -> RunningSeed:
    # The result goes to a file: a pipe is not read during the run and would fill up with many breaches.
    result_path = folder / f"result{seed}.json"
    command = [sys.executable, "-m", "finchcart.fault_injection.soak.run"]
    arguments = [str(seed), str(folder), str(library), str(result_path), defect or ""]
    process = subprocess.Popen([*command, *arguments])
    return RunningSeed(process, result_path, time.monotonic() + SEED_TIMEOUT_S)


def main() -> None:
    """Run the seed given in the arguments, and write the result to the file given there."""
    seed, folder, library, result_path, defect = sys.argv[1:]
    result = SoakRun(draw_plan(int(seed)), Path(folder), Path(library), defect or None).run()
    Path(result_path).write_text(json.dumps(vars(result)), encoding="utf-8")
    os._exit(0)  # exit without waiting for the threads of peers and clients


if __name__ == "__main__":
    main()
