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
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks.by_round import bars, beside, table
from finchcart.fault_injection.explore import DRIFTS, explore
from finchcart.fault_injection.shares import Shares, jump, one
from finchcart.quota.limits import SECOND, Limit, QuotaConfig


def seeds(count, jobs, mode, per, drift):
    play = partial(one, mode=mode, per=per, drift=drift and drift * QuotaConfig().drift)
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(play, range(count), chunksize=5))
    broken = [row["breach"] for row in out if row["breach"]]
    uses = {}
    for row in out:
        for phase, (used, wanted) in row["use"].items():
            sums = uses.setdefault(phase, [0.0, 0.0])
            sums[0], sums[1] = sums[0] + used, sums[1] + wanted
    told = ", ".join(f"{phase} {used / max(1.0, wanted):.2f}" for phase, (used, wanted) in uses.items())
    print(
        f"{mode}, {per}: {count} seeds, {sum(row['steps'] for row in out)} steps, {len(broken)} breaches; "
        f"worst {max(row['worst'] for row in out):.1f} of {out[0]['limit']}, besides at most "
        f"{max(row['remainder'] for row in out)} written late by a stopped process; use: {told}"
    )
    for breach in broken[:10]:
        print(breach)
    return bool(broken)


def searched(depth, faults, parts, which):
    part, drift = which
    return explore(depth, faults, share=(part, parts), drift=drift)


def search(depth, faults, jobs):
    began, parts = time.monotonic(), 4 * jobs
    with ProcessPoolExecutor(jobs) as pool:
        out = list(
            pool.map(
                partial(searched, depth, faults, parts),
                [(part, drift) for drift in range(len(DRIFTS)) for part in range(parts)],
            )
        )
    breaches = [breach for _, breach in out if breach]
    print(
        f"3 planners, 2 holders, {depth} steps, every placing of {faults} faults, "
        f"{len(DRIFTS)} ways to drift: "
        f"{sum(n for n, _ in out)} states, {len(breaches)} breaches, {time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:5]:
        print(breach)
    return bool(breaches)


def sizes():
    """Messages of planners and holders, and time of this machine, by the number of nodes."""
    print("| nodes | messages a second: the planner that shares out | a node | bytes: planner | node |")
    print("| --- | --- | --- | --- | --- |")
    for count in (16, 100, 500):
        quota = QuotaConfig(limits=(Limit("store", 4 * count, 1),), most=count + 10, holders=2 * count)
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
        print(
            f"| {count} | {size[first][0] / 10:.0f} | {mean(0):.1f} | {size[first][1] / 10:.0f} "
            f"| {mean(1):.0f} |"
        )


def rounds(folders, chart):
    """Use of the limit by kind of round and way of sharing, from the results of `trial run rounds`."""
    ways, names = beside(folders, "uses", lambda name: name.rpartition("-")[0])
    total = lambda rows: sum(row["rounds"] for row in rows)
    mean = lambda rows: sum(row["use"] * row["rounds"] for row in rows) / total(rows)
    print(
        table(
            ways,
            names,
            "played, use, most in hand",
            lambda rows: f"{total(rows)}, {mean(rows):.2f}, {max(row['most'] for row in rows)}",
        )
    )
    if chart:
        bars(chart, ways, names, mean, "calls in hand, of the limit (48), where demand is always above it", 1)


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
