"""Verdicts of the fleet on the virtual clock: seeded rounds held against their bounds, cost by size, and what
they earn; and one table and chart of runs on processes.

    .venv/bin/python -m benchmarks.verdicts --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.verdicts --sizes 16 100 500
    .venv/bin/python -m benchmarks.verdicts --earned DIR ... --chart docs/results/verdicts.svg

Owns the measurement; it reports, and ends with status 1 where a bound was not kept.
"""

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from benchmarks.by_round import bars, beside, table
from finchcart.fault_injection.beliefs import Beliefs, is_down, one
from finchcart.membership.config import SECOND


def seeds(first, count, jobs, rounds):
    """Time of each kind against its bound: median and worst, and the most of the bound that was used."""
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(partial(one, rounds=rounds), range(first, first + count), chunksize=2))
    broken = [row["breach"] for row in out if row["breach"]]
    print(
        f"{count} seeds from {first}, {sum(row['steps'] for row in out)} steps, {len(broken)} breaches; "
        f"most changes of verdict in 24 s of flaps: {max(row['flaps'] for row in out)}"
    )
    kinds = {}
    for row in out:
        for kind, what, took, bound in row["times"]:
            kinds.setdefault((kind, what), []).append((took / SECOND, took / bound))
    print("| round | what | times | median s | worst s | of its bound, at most |\n" + "| --- " * 6 + "|")
    for (kind, what), times in sorted(kinds.items()):
        took = sorted(each for each, _ in times)
        print(
            f"| {kind} | {what} | {len(took)} | {took[len(took) // 2]:.2f} | {took[-1]:.2f} | "
            f"{max(part for _, part in times):.2f} |"
        )
    for breach in broken[:10]:
        print(breach)
    return bool(broken)


def size(count):
    """The store goes down for all: time to the verdict, bytes and messages a node-second with verdicts and
    without, while nothing happens."""
    told = {}
    for on in (True, False):
        fleet = Beliefs(count, 1, on=on)
        fleet.start_all()
        if not on:
            for place in fleet.places.values():
                place.member.piggyback_clients.clear()
        fleet.run(8 * SECOND)
        sums = lambda fleet=fleet: [
            sum(place.member.counts.get(word, 0) for place in fleet.places.values())
            for word in ("sent", "bytes sent")
        ]
        before = sums()
        fleet.run(fleet.now + 6 * SECOND)
        told[on] = [(b - a) / 6 / count for a, b in zip(before, sums())]
        if on:
            fleet.store = dict.fromkeys(fleet.store, "down")
            began = fleet.now
            while not all(is_down(seen) for seen in fleet.seen.values()) and fleet.now < began + 60 * SECOND:
                fleet.run(fleet.now + 20_000)
            bound = fleet.beliefs.store_within(fleet.figures, count)
            took = (fleet.now - began) / SECOND
    cells = [count, *(f"{told[on][n]:.0f}" for n in (0, 1) for on in (True, False))]
    return "| " + " | ".join(map(str, [*cells, f"{took:.2f}", f"{bound / SECOND:.2f}"])) + " |"


def sizes(counts, jobs):
    print(
        "| nodes | messages a node-second | without verdicts | bytes | without | all hold it down, s | "
        "bound |\n" + "| --- " * 7 + "|"
    )
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(size, counts):
            print(row, flush=True)


def earned(folders, chart):
    """Calls wasted and the most in hand by round, with verdicts off, on, and known at once; served RPCs."""
    for folder in map(Path, folders):
        load = json.loads((folder / "results.json").read_text())["facts"]["load"]
        served, less = (
            {how: load.get(f"{method} {how}", 0) for how in ("ok", "pushed back", "aborted")}
            for method in ("book", "look-up")
        )
        print(f"{folder.name}: of more critical RPCs {served}, of less {less}; p99 {load['p99_ms']:.0f} ms")
    ways, names = beside(folders, "calls", lambda name: name.split("-")[1])
    total = lambda rows, word: sum(row[word] for row in rows)
    print(
        table(
            ways,
            names,
            "played, calls, wasted, most in hand",
            lambda rows: ", ".join(
                map(
                    str,
                    (
                        *(total(rows, word) for word in ("rounds", "calls", "wasted")),
                        max(row["most"] for row in rows),
                    ),
                )
            ),
        )
    )
    if chart:
        bad = [name for name in names if any(total(rows.get(name, ()), "wasted") for rows in ways.values())]
        bars(
            chart,
            {f"verdicts {way}": rows for way, rows in ways.items()},
            bad,
            lambda rows: total(rows, "wasted") / total(rows, "rounds"),
            "calls to a store that is down, a round",
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", type=int, nargs="*")
    parser.add_argument("--earned", nargs="*", help="folders of `trial run verdicts`, named v-WAY-SEED")
    parser.add_argument("--chart")
    told = parser.parse_args()
    broken = False
    if told.seeds:
        broken = seeds(told.first, told.seeds, told.jobs, told.rounds)
    if told.sizes:
        sizes(told.sizes, told.jobs)
    if told.earned:
        earned(told.earned, told.chart)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
