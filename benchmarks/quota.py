"""Limits of the fleet on the virtual clock: seeded runs, the bounded search, cost by size; and charts.

    .venv/bin/python -m benchmarks.quota --seeds 1000 --jobs 8 --mode strict --per in_hand
    .venv/bin/python -m benchmarks.quota --seeds 500 --drift 2      # clocks off by twice the stated drift
    .venv/bin/python -m benchmarks.quota --explore --depth 8 --faults 2 --jobs 8
    .venv/bin/python -m benchmarks.quota --jumps
    .venv/bin/python -m benchmarks.quota --sizes
    .venv/bin/python -m benchmarks.quota --rounds DIR ... --chart docs/results/quota-rounds.svg

Seeded runs make all faults and hold the limits against their bounds; `--rounds` puts the rounds that were
played on processes into one table and chart. Owns the measurement; it reports, and ends with status 1 where
a limit was not kept.
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

MOST_PRINTED = 10  # breaches of seeds
MOST_PRINTED_OF_SEARCH = 5
PARTS_A_JOB = 4  # of the search
SIZES = (16, 100, 500)
CALLS_A_NODE = 4
ELECTION_US = 12 * SECOND
COUNTED_S = 10


def play_seeds(count: int, jobs: int, mode: str, per: Unit, drift: float | None) -> bool:
    """Play seeds and print what they came to; return whether one has a breach."""
    play = partial(play_seed, mode=mode, per=per, drift=drift and drift * QuotaConfig().drift)
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play, range(count), chunksize=5))
    breaches = [result.breach for result in results if result.breach]
    steps = sum(result.steps for result in results)
    print(
        f"{mode}, {per}: {count} seeds, {steps} steps, {len(breaches)} breaches; "
        f"worst {max(result.worst for result in results):.1f} of {results[0].limit}, besides at most "
        f"{max(result.remainder for result in results)} written late by a stopped process; "
        f"use: {use_by_phase(results)}"
    )
    for breach in breaches[:MOST_PRINTED]:
        print(breach)
    return bool(breaches)


def use_by_phase(results: Iterable[QuotaSeedResult]) -> str:
    """Return the part of what was wanted that was used, by phase."""
    sums: dict[str, list[float]] = {}
    for result in results:
        for phase, (used, wanted) in result.use.items():
            phase_sums = sums.setdefault(phase, [0.0, 0.0])
            phase_sums[0] += used
            phase_sums[1] += wanted
    return ", ".join(f"{phase} {used / max(1.0, wanted):.2f}" for phase, (used, wanted) in sums.items())


def explore_part(depth: int, faults: int, parts: int, choice: tuple[int, int]) -> tuple[int, str | None]:
    """Search one part of the first choices, with one way to drift."""
    part, drift = choice
    return explore(depth, faults, share=(part, parts), drift=drift)


def search(depth: int, faults: int, jobs: int) -> bool:
    """Search all placings of faults; return whether one has a breach."""
    began = time.monotonic()
    parts = PARTS_A_JOB * jobs
    choices = [(part, drift) for drift in range(len(DRIFTS)) for part in range(parts)]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(explore_part, depth, faults, parts), choices))
    breaches = [breach for _, breach in results if breach]
    print(
        f"3 planners, 2 holders, {depth} steps, every placing of {faults} faults, "
        f"{len(DRIFTS)} ways to drift: "
        f"{sum(states for states, _ in results)} states, {len(breaches)} breaches, "
        f"{time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:MOST_PRINTED_OF_SEARCH]:
        print(breach)
    return bool(breaches)


class CountingSimulation(QuotaSimulation):
    """Counts messages and bytes by the process that sends them."""

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
    """Return the row of a fleet of so many nodes."""
    limit = Limit("store", CALLS_A_NODE * count, 1)
    quota = QuotaConfig(limits=(limit,), max_processes=count + 10, max_holders=2 * count)
    fleet = CountingSimulation(1, holders=count, quota=quota)
    for name in fleet.processes:
        fleet.start(name)
    for node in fleet.nodes:
        node.demand = CALLS_A_NODE
    fleet.run(ELECTION_US)
    fleet.messages.clear()
    fleet.bytes.clear()
    fleet.run(fleet.now + COUNTED_S * SECOND)
    leader = max((name for name in fleet.messages if name[0] == "p"), key=fleet.messages.get)
    nodes = [name for name in fleet.messages if name[0] == "n"]
    messages = fmean(fleet.messages[name] for name in nodes) / COUNTED_S
    size = fmean(fleet.bytes[name] for name in nodes) / COUNTED_S
    return (
        f"| {count} | {fleet.messages[leader] / COUNTED_S:.0f} | {messages:.1f} "
        f"| {fleet.bytes[leader] / COUNTED_S:.0f} | {size:.0f} |"
    )


def print_sizes() -> None:
    """Print the messages of planners and nodes by the number of nodes."""
    print("| nodes | messages a second: the planner that shares out | a node | bytes: planner | node |")
    print("| --- | --- | --- | --- | --- |")
    for count in SIZES:
        print(size_row(count))


def mean_use(rows: Rows) -> float:
    """Return the mean use of the limit in a kind of round."""
    return sum(row["use"] * row["rounds"] for row in rows) / total(rows, "rounds")


def use_cell(rows: Rows) -> str:
    """Return the text of a kind of round played in one way."""
    most = max(row["most"] for row in rows)
    return f"{total(rows, 'rounds')}, {mean_use(rows):.2f}, {most}"


def print_rounds(folders: list[str], chart: str | None) -> None:
    """Print use of the limit by kind of round and way of sharing, from the results of `trial run rounds`."""
    ways, rounds = read_side_by_side(folders, "uses", lambda name: name.rpartition("-")[0])
    print(side_by_side_table(ways, rounds, "played, use, most in hand", use_cell))
    if chart:
        label = "calls in hand, of the limit (48), where demand is always above it"
        save_bars(chart, ways, rounds, mean_use, label, 1)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--explore", action="store_true")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--mode", default="strict", choices=["strict", "loose", "static", "none"])
    parser.add_argument("--per", default="in_hand", choices=["in_hand", "rate"])
    parser.add_argument("--drift", type=float, help="times the stated one")
    parser.add_argument("--jumps", action="store_true")
    parser.add_argument("--rounds", nargs="*", help="folders of `trial run rounds`, named WAY-SEED")
    parser.add_argument("--chart")
    return parser.parse_args()


def main() -> None:
    """Measure what the command line asks for."""
    arguments = parse_arguments()
    broken = False
    if arguments.seeds:
        broken |= play_seeds(arguments.seeds, arguments.jobs, arguments.mode, arguments.per, arguments.drift)
    if arguments.explore:
        broken |= search(arguments.depth, arguments.faults, arguments.jobs)
    if arguments.jumps:
        for mode in ("strict", "loose", "static"):
            seconds = seconds_to_follow_demand(mode)
            print(f"{mode}: demand jumps from 16 nodes to one: nine tenths of its part after {seconds} s")
    if arguments.rounds:
        print_rounds(arguments.rounds, arguments.chart)
    if arguments.sizes:
        print_sizes()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
