"""Benchmark fleet consensus on the state of the store: seeded rounds, cost by fleet size, process runs.

    .venv/bin/python -m benchmarks.verdicts --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.verdicts --sizes 16 100 500
    .venv/bin/python -m benchmarks.verdicts --earned DIR ... --chart docs/results/verdicts.svg

Seeded rounds and fleet sizes run on the virtual clock; `--earned` tabulates and charts earlier runs on
processes. The program prints its measurements and exits with status 1 if a seed broke a bound.
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

MAX_PRINTED_BREACHES = 10
JOIN_US = 8 * SECOND
MEASURED_S = 6
MAX_DETECTION_US = 60 * SECOND  # limit of the wait until all nodes consider the store down
TIME_COLUMNS = 6
SIZE_COLUMNS = 7
MORE_CRITICAL = "book"
LESS_CRITICAL = "look-up"


def play_seeds(first: int, count: int, jobs: int, rounds: int) -> bool:
    """Play seeds and print the times of each kind of round; return whether any seed has a breach."""
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
    for breach in breaches[:MAX_PRINTED_BREACHES]:
        print(breach)
    return bool(breaches)


def print_times(results: Iterable[ConsensusSeedResult]) -> None:
    """Print reaction times by kind of round and event: median, worst, and worst ratio to the bound."""
    groups = defaultdict(list)
    for result in results:
        for timing in result.timings:
            groups[timing.kind, timing.event].append(timing)
    print("| round | what | times | median s | worst s | of its bound, at most |")
    print("| --- " * TIME_COLUMNS + "|")
    for (kind, event), timings in sorted(groups.items()):
        took = sorted(timing.took / SECOND for timing in timings)
        bound_ratio = max(timing.took / timing.bound for timing in timings)
        median = took[len(took) // 2]
        print(f"| {kind} | {event} | {len(took)} | {median:.2f} | {took[-1]:.2f} | {bound_ratio:.2f} |")


def total_count(fleet: ConsensusSimulation, column: str) -> int:
    """Return the sum of one statistics counter over all members."""
    return sum(process.machine.counts.get(column, 0) for process in fleet.processes.values())


def send_rates(fleet: ConsensusSimulation, count: int) -> list[float]:
    """Return the messages and the bytes that a node sends per second while no fault is active."""
    columns = ("sent", "bytes sent")
    before = [total_count(fleet, column) for column in columns]
    fleet.run(fleet.now + MEASURED_S * SECOND)
    after = [total_count(fleet, column) for column in columns]
    return [(after[n] - before[n]) / MEASURED_S / count for n in range(len(columns))]


def joined_fleet(count: int, on: bool) -> ConsensusSimulation:
    """Return a fleet whose members have all joined; `on` says whether its nodes run consensus."""
    fleet = ConsensusSimulation(count, 1, on=on)
    fleet.start_all()
    if not on:
        for process in fleet.processes.values():
            process.machine.piggyback_clients.clear()
    fleet.run(JOIN_US)
    return fleet


def size_row(count: int) -> str:
    """Return the table row for a fleet of `count` nodes.

    The row has the messages and bytes per node and second in a calm fleet, with consensus and without, and
    the time from when the store goes down for all nodes until all nodes consider it down.
    """
    fleet = joined_fleet(count, on=True)
    messages, size = send_rates(fleet, count)
    fleet.store_states = dict.fromkeys(fleet.store_states, StoreState.DOWN)
    began = fleet.now
    while (
        not all(is_down(view) for view in fleet.node_views.values()) and fleet.now < began + MAX_DETECTION_US
    ):
        fleet.run(fleet.now + POLL_US)
    bound = fleet.consensus_config.store_reaction_time_bound(fleet.config, count)
    took = (fleet.now - began) / SECOND
    messages_without, size_without = send_rates(joined_fleet(count, on=False), count)
    return (
        f"| {count} | {messages:.0f} | {messages_without:.0f} | {size:.0f} | {size_without:.0f} "
        f"| {took:.2f} | {bound / SECOND:.2f} |"
    )


def print_sizes(sizes: Iterable[int], jobs: int) -> None:
    """Print a table with one row for each fleet size."""
    print(
        "| nodes | messages a node-second | without verdicts | bytes | without | all hold it down, s | "
        "bound |\n" + "| --- " * SIZE_COLUMNS + "|"
    )
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(size_row, sizes):
            print(row, flush=True)


def print_served(folder: Path) -> None:
    """Print the outcomes of more and less critical RPCs in one run on processes."""
    load = json.loads((folder / "results.json").read_text())["facts"]["load"]
    more, less = (
        {
            str(outcome): load.get(f"{method} {outcome}", 0)
            for outcome in (ClientOutcome.OK, ClientOutcome.REJECTED, ClientOutcome.FAILED)
        }
        for method in (MORE_CRITICAL, LESS_CRITICAL)
    )
    print(f"{folder.name}: more critical RPCs {more}, less critical RPCs {less}; p99 {load['p99_ms']:.0f} ms")


def calls_cell(rows: Rows) -> str:
    """Return the table cell for one kind of round in one mode: rounds, calls, wasted calls, most in hand."""
    totals = [total(rows, column) for column in ("rounds", "calls", "wasted")]
    return ", ".join(map(str, [*totals, max(row["most"] for row in rows)]))


def wasted_per_round(rows: Rows) -> float:
    """Return the mean number of calls per round that went to a store that was down."""
    return total(rows, "wasted") / total(rows, "rounds")


def print_process_runs(folders: list[str], chart: str | None) -> None:
    """Print wasted calls and the most calls in hand by kind of round and mode.

    In the modes, consensus is off, is on, or every node knows the state of the store at once.
    """
    for folder in map(Path, folders):
        print_served(folder)
    rows_by_mode, rounds = read_side_by_side(folders, "calls", lambda name: name.split("-")[1])
    print(side_by_side_table(rows_by_mode, rounds, "played, calls, wasted, most in hand", calls_cell))
    if chart:
        wasteful_rounds = [
            name
            for name in rounds
            if any(total(rows.get(name, []), "wasted") for rows in rows_by_mode.values())
        ]
        rows_by_mode = {f"verdicts {mode}": rows for mode, rows in rows_by_mode.items()}
        save_bars(
            chart, rows_by_mode, wasteful_rounds, wasted_per_round, "calls to a store that is down, a round"
        )


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", type=int, nargs="*")
    parser.add_argument("--earned", nargs="*", help="folders of `trial run verdicts`, named v-MODE-SEED")
    parser.add_argument("--chart")
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    any_breach = False
    if arguments.seeds:
        any_breach = play_seeds(arguments.first, arguments.seeds, arguments.jobs, arguments.rounds)
    if arguments.sizes:
        print_sizes(arguments.sizes, arguments.jobs)
    if arguments.earned:
        print_process_runs(arguments.earned, arguments.chart)
    sys.exit(1 if any_breach else 0)


if __name__ == "__main__":
    main()
