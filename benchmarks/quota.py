"""Benchmark fleet-wide limits on the virtual clock: seeded runs, bounded search, cost by fleet size.

    .venv/bin/python -m benchmarks.quota --seeds 1000 --jobs 8 --mode strict --per in_hand
    .venv/bin/python -m benchmarks.quota --seeds 500 --drift 2   # clocks drift by twice the configured bound
    .venv/bin/python -m benchmarks.quota --explore --depth 8 --faults 2 --jobs 8
    .venv/bin/python -m benchmarks.quota --jumps
    .venv/bin/python -m benchmarks.quota --sizes
    .venv/bin/python -m benchmarks.quota --rounds DIR ... --chart docs/results/quota-rounds.svg

Seeded runs inject all kinds of faults and check the limits against their bounds. `--rounds` combines rounds
that were played on processes into one table and chart. The program prints its measurements and exits with
status 1 if a limit was exceeded.
"""

import argparse
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import fmean

from benchmarks.by_round import Rows, read_side_by_side, save_bars, side_by_side_table, total
from finchcart.fault_injection.quota.fault_run import QuotaSeedResult, play_seed, seconds_to_follow_demand
from finchcart.fault_injection.quota.simulation import QuotaSimulation
from finchcart.fault_injection.quota.state_space import DRIFTS, explore
from finchcart.quota.limits import SECOND, Limit, QuotaConfig, Unit

MAX_PRINTED_SEED_BREACHES = 10
MAX_PRINTED_SEARCH_BREACHES = 5
SEARCH_PARTS_PER_JOB = 4
SIZES = (16, 100, 500)
CALLS_PER_NODE = 4
ELECTION_US = 12 * SECOND
MEASURED_S = 10


def play_seeds(count: int, jobs: int, mode: str, per: Unit, drift: float | None) -> bool:
    """Play seeds and print a summary of their results; return whether any seed has a breach."""
    play = partial(play_seed, mode=mode, per=per, drift=drift and drift * QuotaConfig().drift)
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play, range(count), chunksize=5))
    breaches = [result.breach for result in results if result.breach]
    steps = sum(result.steps for result in results)
    print(
        f"{mode}, {per}: {count} seeds, {steps} steps, {len(breaches)} breaches; "
        f"highest use {max(result.worst for result in results):.1f} of {results[0].limit}, and at most "
        f"{max(result.remainder for result in results)} more written late by a stopped process; "
        f"use: {use_by_phase(results)}"
    )
    for breach in breaches[:MAX_PRINTED_SEED_BREACHES]:
        print(breach)
    return bool(breaches)


def use_by_phase(results: Iterable[QuotaSeedResult]) -> str:
    """Return the fraction of the demand that was used in each phase, as text."""
    sums: dict[str, list[float]] = {}
    for result in results:
        for phase, (used, wanted) in result.use.items():
            phase_sums = sums.setdefault(phase, [0.0, 0.0])
            phase_sums[0] += used
            phase_sums[1] += wanted
    return ", ".join(f"{phase} {used / max(1.0, wanted):.2f}" for phase, (used, wanted) in sums.items())


def explore_part(depth: int, faults: int, parts: int, choice: tuple[int, int]) -> tuple[int, str | None]:
    """Search the states that follow from one part of the first choices, with one pattern of clock drift."""
    part, drift = choice
    return explore(depth, faults, share=(part, parts), drift=drift)


def search(depth: int, faults: int, jobs: int) -> bool:
    """Search all placements of the faults; return whether any part of the search has a breach."""
    began = time.monotonic()
    parts = SEARCH_PARTS_PER_JOB * jobs
    choices = [(part, drift) for drift in range(len(DRIFTS)) for part in range(parts)]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(explore_part, depth, faults, parts), choices))
    breaches = [breach for _, breach in results if breach]
    print(
        f"3 planners, 2 holders, {depth} steps, every placement of {faults} faults, "
        f"{len(DRIFTS)} drift patterns: "
        f"{sum(states for states, _ in results)} states, {len(breaches)} breaches, "
        f"{time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:MAX_PRINTED_SEARCH_BREACHES]:
        print(breach)
    return bool(breaches)


class CountingSimulation(QuotaSimulation):
    """A quota simulation that counts the messages and bytes that each process sends."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)
        self.messages: dict[str, int] = {}
        self.bytes: dict[str, int] = {}

    def transmit(self, origin: str, target: str, data: bytes) -> None:
        """Count a datagram and send it."""
        self.messages[origin] = self.messages.get(origin, 0) + 1
        self.bytes[origin] = self.bytes.get(origin, 0) + len(data)
        super().transmit(origin, target, data)


def size_row(count: int) -> str:
    """Return the table row for a fleet of `count` nodes."""
    limit = Limit("store", CALLS_PER_NODE * count, 1)
    quota = QuotaConfig(limits=(limit,), max_processes=count + 10, max_holders=2 * count)
    fleet = CountingSimulation(1, holders=count, quota=quota)
    for name in fleet.processes:
        fleet.start(name)
    for node in fleet.nodes:
        node.demand = CALLS_PER_NODE
    fleet.run(ELECTION_US)
    fleet.messages.clear()
    fleet.bytes.clear()
    fleet.run(fleet.now + MEASURED_S * SECOND)
    leader = max((name for name in fleet.messages if name[0] == "p"), key=fleet.messages.get)
    nodes = [name for name in fleet.messages if name[0] == "n"]
    messages = fmean(fleet.messages[name] for name in nodes) / MEASURED_S
    size = fmean(fleet.bytes[name] for name in nodes) / MEASURED_S
    return (
        f"| {count} | {fleet.messages[leader] / MEASURED_S:.0f} | {messages:.1f} "
        f"| {fleet.bytes[leader] / MEASURED_S:.0f} | {size:.0f} |"
    )


def print_sizes() -> None:
    """Print a table of the messages that the leading planner and the nodes send, by fleet size."""
    print("| nodes | messages a second: the planner that shares out | a node | bytes: planner | node |")
    print("| --- | --- | --- | --- | --- |")
    for count in SIZES:
        print(size_row(count))


def mean_use(rows: Rows) -> float:
    """Return the mean use of the limit in one kind of round, weighted by the number of rounds."""
    return sum(row["use"] * row["rounds"] for row in rows) / total(rows, "rounds")


def use_cell(rows: Rows) -> str:
    """Return the table cell for one kind of round in one mode: rounds, mean use and highest use."""
    most = max(row["most"] for row in rows)
    return f"{total(rows, 'rounds')}, {mean_use(rows):.2f}, {most}"


def print_rounds(folders: list[str], chart: str | None) -> None:
    """Print the use of the limit by kind of round and sharing mode, from results of `trial run rounds`."""
    rows_by_mode, rounds = read_side_by_side(folders, "uses", lambda name: name.rpartition("-")[0])
    print(side_by_side_table(rows_by_mode, rounds, "played, use, most in hand", use_cell))
    if chart:
        label = "calls in hand, of the limit (48), where demand is always above it"
        save_bars(chart, rows_by_mode, rounds, mean_use, label, 1)


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--explore", action="store_true")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--mode", default="strict", choices=["strict", "loose", "static", "none"])
    parser.add_argument("--per", default="in_hand", choices=["in_hand", "rate"])
    parser.add_argument("--drift", type=float, help="clock drift, as a multiple of the configured bound")
    parser.add_argument("--jumps", action="store_true")
    parser.add_argument("--rounds", nargs="*", help="folders of `trial run rounds`, named MODE-SEED")
    parser.add_argument("--chart")
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    any_breach = False
    if arguments.seeds:
        any_breach |= play_seeds(
            arguments.seeds, arguments.jobs, arguments.mode, arguments.per, arguments.drift
        )
    if arguments.explore:
        any_breach |= search(arguments.depth, arguments.faults, arguments.jobs)
    if arguments.jumps:
        for mode in ("strict", "loose", "static"):
            seconds = seconds_to_follow_demand(mode)
            print(
                f"{mode}: demand moves from 16 nodes to one, which gets 90 % of its share after {seconds} s"
            )
    if arguments.rounds:
        print_rounds(arguments.rounds, arguments.chart)
    if arguments.sizes:
        print_sizes()
    sys.exit(1 if any_breach else 0)


if __name__ == "__main__":
    main()
