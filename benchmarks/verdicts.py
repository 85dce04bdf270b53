"""Consensus of the fleet on the virtual clock: seeded rounds, cost by size; and charts of runs on processes.

    .venv/bin/python -m benchmarks.verdicts --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.verdicts --sizes 16 100 500
    .venv/bin/python -m benchmarks.verdicts --earned DIR ... --chart docs/results/verdicts.svg

Owns the measurement; it reports, and ends with status 1 where a bound was not kept.
"""

import argparse
import json
import sys
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from benchmarks.by_round import Rows, read_side_by_side, save_bars, side_by_side_table, total
from finchcart.fault_injection.consensus.fault_run import ConsensusSeedResult, play_seed
from finchcart.fault_injection.consensus.simulation import POLL_US, ConsensusSimulation
from finchcart.fault_injection.consensus.view import is_down
from finchcart.membership.config import SECOND
from finchcart.simulated_peers.client import ClientOutcome
from finchcart.simulated_peers.store import StoreState

MOST_PRINTED = 10
JOIN_US = 8 * SECOND
COUNTED_S = 6
LONGEST_US = 60 * SECOND  # that the store's fall is waited for
COLUMNS_OF_TIMES = 6
COLUMNS_OF_SIZES = 7
MORE_CRITICAL = "book"
LESS_CRITICAL = "look-up"


def play_seeds(first: int, count: int, jobs: int, rounds: int) -> bool:
    """Play seeds and print the times of each kind of round; return whether one has a breach."""
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(first, first + count)
        results = list(pool.map(partial(play_seed, rounds=rounds), seeds, chunksize=2))
    breaches = [result.breach for result in results if result.breach]
    print(
        f"{count} seeds from {first}, {sum(result.steps for result in results)} steps, "
        f"{len(breaches)} breaches; most changes of verdict in 24 s of flaps: "
        f"{max(result.most_flap_changes for result in results)}"
    )
    print_times(results)
    for breach in breaches[:MOST_PRINTED]:
        print(breach)
    return bool(breaches)


def print_times(results: Iterable[ConsensusSeedResult]) -> None:
    """Print the time of each kind against its bound: median and worst, and the most of the bound used."""
    groups = defaultdict(list)
    for result in results:
        for timing in result.timings:
            groups[timing.kind, timing.event].append(timing)
    print("| round | what | times | median s | worst s | of its bound, at most |")
    print("| --- " * COLUMNS_OF_TIMES + "|")
    for (kind, event), timings in sorted(groups.items()):
        took = sorted(timing.took / SECOND for timing in timings)
        part = max(timing.took / timing.bound for timing in timings)
        median = took[len(took) // 2]
        print(f"| {kind} | {event} | {len(took)} | {median:.2f} | {took[-1]:.2f} | {part:.2f} |")


def counts(fleet: ConsensusSimulation, column: str) -> int:
    """Return a count of all members together."""
    return sum(process.machine.counts.get(column, 0) for process in fleet.processes.values())


def rates(fleet: ConsensusSimulation, count: int) -> list[float]:
    """Return messages and bytes a node-second while nothing happens."""
    columns = ("sent", "bytes sent")
    before = [counts(fleet, column) for column in columns]
    fleet.run(fleet.now + COUNTED_S * SECOND)
    after = [counts(fleet, column) for column in columns]
    return [(after[n] - before[n]) / COUNTED_S / count for n in range(len(columns))]


def joined_fleet(count: int, on: bool) -> ConsensusSimulation:
    """Return a fleet that knows each other, with consensus or without."""
    fleet = ConsensusSimulation(count, 1, on=on)
    fleet.start_all()
    if not on:
        for process in fleet.processes.values():
            process.machine.piggyback_clients.clear()
    fleet.run(JOIN_US)
    return fleet


def size_row(count: int) -> str:
    """Return the row of a fleet of so many nodes.

    The store goes down for all: the time until all hold that, and messages and bytes a node-second with
    consensus and without, while nothing happens.
    """
    fleet = joined_fleet(count, on=True)
    messages, size = rates(fleet, count)
    fleet.store_states = dict.fromkeys(fleet.store_states, StoreState.DOWN)
    began = fleet.now
    while not all(is_down(view) for view in fleet.node_views.values()) and fleet.now < began + LONGEST_US:
        fleet.run(fleet.now + POLL_US)
    bound = fleet.consensus_config.store_reaction_time_bound(fleet.config, count)
    took = (fleet.now - began) / SECOND
    messages_without, size_without = rates(joined_fleet(count, on=False), count)
    return (
        f"| {count} | {messages:.0f} | {messages_without:.0f} | {size:.0f} | {size_without:.0f} "
        f"| {took:.2f} | {bound / SECOND:.2f} |"
    )


def print_sizes(sizes: Iterable[int], jobs: int) -> None:
    """Print a row for each size."""
    print(
        "| nodes | messages a node-second | without verdicts | bytes | without | all hold it down, s | "
        "bound |\n" + "| --- " * COLUMNS_OF_SIZES + "|"
    )
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(size_row, sizes):
            print(row, flush=True)


def print_served(folder: Path) -> None:
    """Print what became of RPCs in a run on processes."""
    load = json.loads((folder / "results.json").read_text())["facts"]["load"]
    more, less = (
        {
            str(outcome): load.get(f"{method} {outcome}", 0)
            for outcome in (ClientOutcome.OK, ClientOutcome.REJECTED, ClientOutcome.FAILED)
        }
        for method in (MORE_CRITICAL, LESS_CRITICAL)
    )
    print(f"{folder.name}: of more critical RPCs {more}, of less {less}; p99 {load['p99_ms']:.0f} ms")


def calls_cell(rows: Rows) -> str:
    """Return the text of a kind of round played in one way."""
    totals = [total(rows, column) for column in ("rounds", "calls", "wasted")]
    return ", ".join(map(str, [*totals, max(row["most"] for row in rows)]))


def wasted_a_round(rows: Rows) -> float:
    """Return the calls to a store that is down in one round."""
    return total(rows, "wasted") / total(rows, "rounds")


def print_earned(folders: list[str], chart: str | None) -> None:
    """Print calls wasted and the most in hand by round, with consensus off, on, and known at once."""
    for folder in map(Path, folders):
        print_served(folder)
    ways, rounds = read_side_by_side(folders, "calls", lambda name: name.split("-")[1])
    print(side_by_side_table(ways, rounds, "played, calls, wasted, most in hand", calls_cell))
    if chart:
        bad = [name for name in rounds if any(total(rows.get(name, []), "wasted") for rows in ways.values())]
        ways = {f"verdicts {way}": rows for way, rows in ways.items()}
        save_bars(chart, ways, bad, wasted_a_round, "calls to a store that is down, a round")


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", type=int, nargs="*")
    parser.add_argument("--earned", nargs="*", help="folders of `trial run verdicts`, named v-WAY-SEED")
    parser.add_argument("--chart")
    return parser.parse_args()


def main() -> None:
    """Measure what the command line asks for."""
    arguments = parse_arguments()
    broken = False
    if arguments.seeds:
        broken = play_seeds(arguments.first, arguments.seeds, arguments.jobs, arguments.rounds)
    if arguments.sizes:
        print_sizes(arguments.sizes, arguments.jobs)
    if arguments.earned:
        print_earned(arguments.earned, arguments.chart)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
