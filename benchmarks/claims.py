"""Benchmark key leases on the virtual clock: seeded runs, bounded search and memory of a replica.

    .venv/bin/python -m benchmarks.claims --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.claims --explore --depth 7 --faults 1 --jobs 8
    .venv/bin/python -m benchmarks.claims --bytes

The program prints its measurements and exits with status 1 if any key ran twice.
"""

import argparse
import sys
import time
import tracemalloc
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from finchcart.fault_injection.key_leases.fault_run import play_seed
from finchcart.fault_injection.key_leases.state_space import explore
from finchcart.fleet.inputs import DatagramReceived
from finchcart.key_leases import messages
from finchcart.key_leases.config import SECOND, KeyLeaseConfig
from finchcart.key_leases.replica import KeyLeaseReplica

ANSWER_NAMES = {
    1: "mine",
    2: "held elsewhere",
    3: "result elsewhere",
    4: "failed elsewhere",
    6: "no majority",
}
MAX_PRINTED_SEED_BREACHES = 5
MAX_PRINTED_SEARCH_BREACHES = 3
SEARCH_PARTS_PER_JOB = 4
KEYS_PER_MESSAGE = 16
RESULT = b"r" * 30
LEASE_DURATION_US = 20 * SECOND
STARTED_US = -(10**9)  # early enough that the replica's quiet period has ended at time 0
CLIENT_ADDRESS = ("10.0.0.9", 1)
MEMORY_TEST_KEYS = 20_000
RATE_TEST_MESSAGES = 500


def play_seeds(first: int, count: int, jobs: int) -> bool:
    """Play seeds and print a summary of their results; return whether any seed has a breach."""
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play_seed, range(first, first + count), chunksize=4))
    breaches = [result.breach for result in results if result.breach]
    answers: Counter[str] = Counter()
    for result in results:
        for answer, occurrences in result.answers.items():
            answers[ANSWER_NAMES.get(answer, str(answer))] += occurrences
    print(
        f"{count} seeds from {first}, {sum(result.steps for result in results)} steps, "
        f"{sum(result.keys for result in results)} keys, {sum(result.runs for result in results)} runs, "
        f"{len(breaches)} with a key that ran twice; answers {dict(answers)}"
    )
    for breach in breaches[:MAX_PRINTED_SEED_BREACHES]:
        print(breach)
    return bool(breaches)


def explore_part(depth: int, faults: int, parts: int, part: int) -> tuple[int, str | None]:
    """Search the states that follow from one part of the first choices."""
    return explore(depth, faults, share=(part, parts))


def search(depth: int, faults: int, jobs: int) -> bool:
    """Search all orders of events up to the depth; return whether any part of the search has a breach."""
    began = time.monotonic()
    parts = SEARCH_PARTS_PER_JOB * jobs
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(explore_part, depth, faults, parts), range(parts)))
    breaches = [breach for _, breach in results if breach]
    states = sum(count for count, _ in results)
    print(
        f"3 replicas, 2 clients, one key, depth {depth}, {faults} faults: {states} states, "
        f"{len(breaches)} breaches, {time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:MAX_PRINTED_SEARCH_BREACHES]:
        print(breach)
    return bool(breaches)


def message_keys(method: str, first: int) -> list[bytes]:
    """Return `KEYS_PER_MESSAGE` keys of the method, numbered from `first`."""
    return [messages.key_digest(method, str(first + number)) for number in range(KEYS_PER_MESSAGE)]


def request_leases(replica: KeyLeaseReplica, keys: list[bytes], body_hash: int) -> None:
    """Request leases on these keys from the replica, as a client does."""
    proposals = [messages.LeaseProposal(key, body_hash, 1, LEASE_DURATION_US) for key in keys]
    deliver(replica, messages.AcquireLeases("a", 5, proposals))


def deliver(replica: KeyLeaseReplica, message: object) -> None:
    """Encode a client's message and pass it to the replica."""
    replica.reduce(0, DatagramReceived(CLIENT_ADDRESS, messages.CODEC.encode("f", message)))


def fill(replica: KeyLeaseReplica, count: int) -> None:
    """Store `count` keys with results in the replica."""
    for first in range(0, count, KEYS_PER_MESSAGE):
        keys = message_keys("m", first)
        request_leases(replica, keys, first)
        reports = [messages.LeaseReport(key, 1, messages.LeaseStatus.COMPLETED, RESULT) for key in keys]
        deliver(replica, messages.ReportOutcomes("a", 5, reports))


def print_memory_and_rate() -> None:
    """Print the memory that a replica uses for keys with results, and the proposals it handles per second."""
    replica = KeyLeaseReplica("f", KeyLeaseConfig(replicas=("10.0.0.1:1",)), STARTED_US)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill(replica, MEMORY_TEST_KEYS)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    for number in range(RATE_TEST_MESSAGES):
        request_leases(replica, message_keys("n", KEYS_PER_MESSAGE * number), number)
    rate = KEYS_PER_MESSAGE * RATE_TEST_MESSAGES / (time.perf_counter() - began)
    kilobytes = 1000 * (after - before) / MEMORY_TEST_KEYS / 1024
    print(
        f"{len(replica.leases)} leases, {kilobytes:.0f} kB per 1,000 leases with results of 30 bytes; "
        f"{rate:.0f} lease proposals per second in batches of 16 on one core, encoding included"
    )


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--explore", action="store_true")
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--faults", type=int, default=1)
    parser.add_argument("--bytes", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    any_breach = False
    if arguments.seeds:
        any_breach |= play_seeds(arguments.first, arguments.seeds, arguments.jobs)
    if arguments.explore:
        any_breach |= search(arguments.depth, arguments.faults, arguments.jobs)
    if arguments.bytes:
        print_memory_and_rate()
    sys.exit(1 if any_breach else 0)


if __name__ == "__main__":
    main()
