"""Claims on the virtual clock: seeded runs, the bounded search of all orders, and bytes of a keeper's state.

    .venv/bin/python -m benchmarks.claims --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.claims --explore --depth 7 --faults 1 --jobs 8
    .venv/bin/python -m benchmarks.claims --bytes

Owns the measurement; it reports, and ends with status 1 where a key ran twice.
"""

import argparse
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from finchcart.fault_injection.claiming import explore, one
from finchcart.key_leases import messages
from finchcart.key_leases.config import SECOND, KeyLeaseConfig
from finchcart.key_leases.replica import KeyLeaseReplica

KINDS = {1: "mine", 2: "held elsewhere", 3: "result elsewhere", 4: "failed elsewhere", 6: "no majority"}


def seeds(first, count, jobs):
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(one, range(first, first + count), chunksize=4))
    broken = [row["breach"] for row in out if row["breach"]]
    kinds = {}
    for row in out:
        for kind, times in row["kinds"].items():
            kinds[KINDS.get(kind, str(kind))] = kinds.get(KINDS.get(kind, str(kind)), 0) + times
    total = lambda word: sum(row[word] for row in out)
    print(
        f"{count} seeds from {first}, {total('steps')} steps, {total('keys')} "
        f"keys, {total('runs')} runs, {len(broken)} with a key that ran twice; answers {kinds}"
    )
    for breach in broken[:5]:
        print(breach)
    return bool(broken)


def searched(depth, faults, parts, part):
    return explore(depth, faults, share=(part, parts))


def search(depth, faults, jobs):
    began, parts = time.monotonic(), 4 * jobs
    with ProcessPoolExecutor(jobs) as pool:
        out = list(pool.map(partial(searched, depth, faults, parts), range(parts)))
    breaches = [breach for _, breach in out if breach]
    print(
        f"3 keepers, 2 holders, one key, depth {depth}, {faults} faults: {sum(n for n, _ in out)} states, "
        f"{len(breaches)} breaches, {time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:3]:
        print(breach)
    return bool(breaches)


def state_bytes(count=20_000):
    """Of a keeper that holds so many claims with results of 100 bytes."""
    keeper = KeyLeaseReplica("f", KeyLeaseConfig(keepers=("10.0.0.1:1",)), -(10**9))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for n in range(0, count, 16):
        keys = [messages.key_digest("m", str(n + k)) for k in range(16)]
        asks = [messages.LeaseRequest(key, n, 1, 20 * SECOND) for key in keys]
        ended = [messages.LeaseReport(key, 1, messages.LeaseStatus.COMPLETED, b"r" * 30) for key in keys]
        for said in (messages.AcquireLeases("a", 5, asks), messages.ReportOutcomes("a", 5, ended)):
            keeper.reduce(0, ("got", ("10.0.0.9", 1), messages.CODEC.encode("f", said)))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began, turns = time.perf_counter(), 500
    for n in range(turns):
        asks = [
            messages.LeaseRequest(messages.key_digest("n", str(16 * n + k)), n, 1, 20 * SECOND)
            for k in range(16)
        ]
        keeper.reduce(
            0, ("got", ("10.0.0.9", 1), messages.CODEC.encode("f", messages.AcquireLeases("a", 5, asks)))
        )
    rate = 16 * turns / (time.perf_counter() - began)
    size, held = 1000 * (after - before) / count / 1024, len(keeper.leases)
    print(
        f"{held} claims, {size:.0f} kB a 1,000 with results of 30 bytes; {rate:.0f} claims a "
        "second in batches of 16, one core, sealing of the asks counted"
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--explore", action="store_true")
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--faults", type=int, default=1)
    parser.add_argument("--bytes", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    told = parser.parse_args()
    broken = False
    if told.seeds:
        broken |= seeds(told.first, told.seeds, told.jobs)
    if told.explore:
        broken |= search(told.depth, told.faults, told.jobs)
    if told.bytes:
        state_bytes()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
