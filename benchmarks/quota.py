"""Limits of the fleet on the virtual clock: seeded runs of all faults held against their bounds, the bounded
exhaustive check, cost by size; and one table and chart of the rounds played on processes.

    .venv/bin/python -m benchmarks.quota --seeds 1000 --jobs 8 --mode strict --per in_hand
    .venv/bin/python -m benchmarks.quota --seeds 500 --drift 2      # clocks off by twice the stated drift
    .venv/bin/python -m benchmarks.quota --explore --depth 8 --faults 2 --jobs 8
    .venv/bin/python -m benchmarks.quota --jumps
    .venv/bin/python -m benchmarks.quota --sizes
    .venv/bin/python -m benchmarks.quota --rounds DIR ... --chart docs/results/quota-rounds.svg

Owns the measurement; it reports, and ends with status 1 where a limit was not kept.
"""

import argparse
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from finchcart.quota.limits import SECOND, Limit, Quota
from finchcart.trial.explore import DRIFTS, explore
from finchcart.trial.shares import Shares, jump, one


def seeds(count, jobs, mode, per, drift):
    play = partial(one, mode=mode, per=per, drift=drift and drift * Quota().drift)
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(play, range(count), chunksize=5))
    broken = [row["breach"] for row in out if row["breach"]]
    uses = {}
    for row in out:
        for phase, (used, wanted) in row["use"].items():
            sums = uses.setdefault(phase, [0.0, 0.0])
            sums[0], sums[1] = sums[0] + used, sums[1] + wanted
    told = ", ".join(f"{phase} {used / max(1.0, wanted):.2f}" for phase, (used, wanted) in uses.items())
    print(f"{mode}, {per}: {count} seeds, {sum(row['steps'] for row in out)} steps, {len(broken)} breaches; "
          f"worst {max(row['worst'] for row in out):.1f} of {out[0]['limit']}, besides at most "
          f"{max(row['remainder'] for row in out)} written late by a stopped process; use: {told}")
    for breach in broken[:10]:
        print(breach)
    return bool(broken)


def searched(depth, faults, parts, which):
    part, drift = which
    return explore(depth, faults, share=(part, parts), drift=drift)


def search(depth, faults, jobs):
    began, parts = time.monotonic(), 4 * jobs
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(partial(searched, depth, faults, parts),
                            [(part, drift) for drift in range(len(DRIFTS)) for part in range(parts)]))
    breaches = [breach for _, breach in out if breach]
    print(f"3 planners, 2 holders, {depth} steps, every placing of {faults} faults, "
          f"{len(DRIFTS)} ways to drift: "
          f"{sum(n for n, _ in out)} states, {len(breaches)} breaches, {time.monotonic() - began:.0f} s")
    for breach in breaches[:5]:
        print(breach)
    return bool(breaches)


def sizes():
    """Messages of planners and holders, and time of this machine, by the number of nodes."""
    print("| nodes | messages a second: the planner that shares out | a node | bytes: planner | node |")
    print("| --- | --- | --- | --- | --- |")
    for count in (16, 100, 500):
        quota = Quota(limits=(Limit("store", 4 * count, 1),), most=count + 10, holders=2 * count)
        fleet = Shares(1, holders=count, quota=quota)
        for name in fleet.processes:
            fleet.start(name)
        for name, process in fleet.processes.items():
            process.wants = 4 if name[0] == "n" else 0
        fleet.run(12 * SECOND)
        size = {}
        feed = fleet.carry

        def carry(what, feed=feed, size=size):
            if what[0] == "datagram":
                said = size.setdefault(what[1], [0, 0])
                said[0], said[1] = said[0] + 1, said[1] + len(what[3])
            feed(what)
        fleet.carry = carry
        fleet.run(fleet.now + 10 * SECOND)
        first = max((name for name in size if name[0] == "p"), key=lambda name: size[name][0])
        nodes = [size[name] for name in size if name[0] == "n"]
        mean = lambda n: sum(each[n] for each in nodes) / len(nodes) / 10
        print(f"| {count} | {size[first][0] / 10:.0f} | {mean(0):.1f} | {size[first][1] / 10:.0f} "
              f"| {mean(1):.0f} |")


def rounds(folders, chart):
    """Use of the limit by kind of round and way of sharing, from the results of `trial run rounds`."""
    ways, names = {}, []
    for folder in folders:
        told = json.loads((Path(folder) / "results.json").read_text())
        way = Path(folder).name.rpartition("-")[0]
        for row in told["uses"]:
            if row["round"] not in names:
                names.append(row["round"])
            group = ways.setdefault(way, {}).setdefault(row["round"], [])
            group.append(row)
    print("| round | " + " | ".join(f"{way}: played, use, most in hand" for way in ways) + " |")
    print("| --- " * (1 + len(ways)) + "|")
    mean = lambda group: sum(r["use"] * r["rounds"] for r in group) / sum(r["rounds"] for r in group)
    for name in names:
        cells = [f"{sum(r['rounds'] for r in rows[name])}, {mean(rows[name]):.2f}, "
                 f"{max(r['most'] for r in rows[name])}" if name in rows else "-" for rows in ways.values()]
        print(f"| {name} | " + " | ".join(cells) + " |")
    if chart:
        import matplotlib
        matplotlib.use("Agg")
        import matplotlib.pyplot as plt
        figure, axes = plt.subplots(figsize=(9, 0.42 * len(names) + 1))
        for k, (way, rows) in enumerate(ways.items()):
            axes.barh([n + 0.26 * (k - 1) for n in range(len(names))],
                      [mean(rows[name]) if name in rows else 0 for name in names], 0.24, label=way)
        axes.set_yticks(range(len(names)), names, fontsize=8)
        axes.axvline(1, color="#999999", linewidth=0.8)
        axes.invert_yaxis()
        axes.set_xlabel("calls in hand, of the limit (48), where demand is always above it")
        axes.legend(fontsize=8)
        figure.tight_layout()
        figure.savefig(chart)


def main():
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
    told = parser.parse_args()
    broken = False
    if told.seeds:
        broken |= seeds(told.seeds, told.jobs, told.mode, told.per, told.drift)
    if told.explore:
        broken |= search(told.depth, told.faults, told.jobs)
    if told.jumps:
        for mode in ("strict", "loose", "static"):
            print(f"{mode}: demand jumps from 16 nodes to one: nine tenths of its part after {jump(mode)} s")
    if told.rounds:
        rounds(told.rounds, told.chart)
    if told.sizes:
        sizes()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
