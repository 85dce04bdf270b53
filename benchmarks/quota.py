"""Strict limits of the fleet on the virtual clock: seeded runs of all faults, and the bounded exhaustive
check.

    .venv/bin/python -m benchmarks.quota --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.quota --explore --depth 8 --faults 2 --jobs 8
    .venv/bin/python -m benchmarks.quota --sizes

Owns the measurement; it reports, and ends with status 1 where a limit was not kept.
"""

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from finchcart.quota.limits import SECOND, Limit, Quota
from finchcart.trial.explore import explore
from finchcart.trial.shares import Breach, Run, Shares


def one(seed):
    """(breach or None, most in hand, limit, steps)."""
    run, breach = Run(seed), None
    try:
        run.play(60)
    except Breach as error:
        breach = str(error)
    return breach, run.worst, run.limit.amount, run.steps


def seeds(count, jobs):
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(one, range(count), chunksize=5))
    over = [breach for breach, worst, limit, _ in out if worst > limit]
    idle = [breach for breach, worst, limit, _ in out if breach and worst <= limit]
    print(f"{count} seeds, {sum(steps for *_, steps in out)} steps: {len(over)} over the limit, most in hand "
          f"{max(worst for _, worst, _, _ in out)} of {out[0][2]}; {len(idle)} with less than half in use")
    for breach in (over + idle)[:10]:
        print(breach)
    return bool(over)


def searched(depth, faults, parts, part):
    return explore(depth, faults, share=(part, parts))


def search(depth, faults, jobs):
    began, parts = time.monotonic(), 4 * jobs
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(partial(searched, depth, faults, parts), range(parts)))
    breaches = [breach for _, breach in out if breach]
    print(f"3 planners, 2 holders, {depth} steps, every placing of {faults} faults: "
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


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--explore", action="store_true")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    told = parser.parse_args()
    broken = False
    if told.seeds:
        broken |= seeds(told.seeds, told.jobs)
    if told.explore:
        broken |= search(told.depth, told.faults, told.jobs)
    if told.sizes:
        sizes()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
