"""Key leases on the virtual clock: seeded runs, the bounded search, and bytes of a replica's state.

    .venv/bin/python -m benchmarks.claims --seeds 1000 --jobs 8
    .venv/bin/python -m benchmarks.claims --explore --depth 7 --faults 1 --jobs 8
    .venv/bin/python -m benchmarks.claims --bytes

Owns the measurement; it reports, and ends with status 1 where a key ran twice.
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

ANSWERS = {1: "mine", 2: "held elsewhere", 3: "result elsewhere", 4: "failed elsewhere", 6: "no majority"}
MOST_PRINTED = 5  # breaches of seeds
MOST_PRINTED_OF_SEARCH = 3
PARTS_A_JOB = 4  # of the search
KEYS_A_MESSAGE = 16
RESULT = b"r" * 30
LIFE_US = 20 * SECOND
STARTED_US = -(10**9)  # a replica that is past its quiet period
CLIENT_ADDRESS = ("10.0.0.9", 1)
BYTES_KEYS = 20_000
BYTES_MESSAGES = 500


def play_seeds(first: int, count: int, jobs: int) -> bool:
    """Play seeds and print what they came to; return whether one has a breach."""
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play_seed, range(first, first + count), chunksize=4))
    breaches = [result.breach for result in results if result.breach]
    answers: Counter[str] = Counter()
    for result in results:
        for answer, times in result.answers.items():
            answers[ANSWERS.get(answer, str(answer))] += times
    print(
        f"{count} seeds from {first}, {sum(result.steps for result in results)} steps, "
        f"{sum(result.keys for result in results)} keys, {sum(result.runs for result in results)} runs, "
        f"{len(breaches)} with a key that ran twice; answers {dict(answers)}"
    )
    for breach in breaches[:MOST_PRINTED]:
        print(breach)
    return bool(breaches)


def explore_part(depth: int, faults: int, parts: int, part: int) -> tuple[int, str | None]:
    """Search one part of the first choices."""
    return explore(depth, faults, share=(part, parts))


def search(depth: int, faults: int, jobs: int) -> bool:
    """Search all orders; return whether one has a breach."""
    began = time.monotonic()
    parts = PARTS_A_JOB * jobs
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(explore_part, depth, faults, parts), range(parts)))
    breaches = [breach for _, breach in results if breach]
    states = sum(count for count, _ in results)
    print(
        f"3 keepers, 2 holders, one key, depth {depth}, {faults} faults: {states} states, "
        f"{len(breaches)} breaches, {time.monotonic() - began:.0f} s"
    )
    for breach in breaches[:MOST_PRINTED_OF_SEARCH]:
        print(breach)
    return bool(breaches)


def keys_of_message(method: str, first: int) -> list[bytes]:
    """Return the keys of one message."""
    return [messages.key_digest(method, str(first + number)) for number in range(KEYS_A_MESSAGE)]


def claim(replica: KeyLeaseReplica, keys: list[bytes], body_hash: int) -> None:
    """Let a client ask a replica for these keys."""
    asks = [messages.LeaseProposal(key, body_hash, 1, LIFE_US) for key in keys]
    feed(replica, messages.AcquireLeases("a", 5, asks))


def feed(replica: KeyLeaseReplica, message: object) -> None:
    """Hand a client's message to a replica."""
    replica.reduce(0, DatagramReceived(CLIENT_ADDRESS, messages.CODEC.encode("f", message)))


def fill(replica: KeyLeaseReplica, count: int) -> None:
    """Let a replica hold so many keys with results."""
    for first in range(0, count, KEYS_A_MESSAGE):
        keys = keys_of_message("m", first)
        claim(replica, keys, first)
        ended = [messages.LeaseReport(key, 1, messages.LeaseStatus.COMPLETED, RESULT) for key in keys]
        feed(replica, messages.ReportOutcomes("a", 5, ended))


def print_state_bytes() -> None:
    """Print the bytes of a replica that holds many keys with results, and the claims it takes a second."""
    replica = KeyLeaseReplica("f", KeyLeaseConfig(replicas=("10.0.0.1:1",)), STARTED_US)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill(replica, BYTES_KEYS)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    for number in range(BYTES_MESSAGES):
        claim(replica, keys_of_message("n", KEYS_A_MESSAGE * number), number)
    rate = KEYS_A_MESSAGE * BYTES_MESSAGES / (time.perf_counter() - began)
    kilobytes = 1000 * (after - before) / BYTES_KEYS / 1024
    print(
        f"{len(replica.leases)} claims, {kilobytes:.0f} kB a 1,000 with results of 30 bytes; {rate:.0f} "
        "claims a second in batches of 16, one core, sealing of the asks counted"
    )


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
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
    """Measure what the command line asks for."""
    arguments = parse_arguments()
    broken = False
    if arguments.seeds:
        broken |= play_seeds(arguments.first, arguments.seeds, arguments.jobs)
    if arguments.explore:
        broken |= search(arguments.depth, arguments.faults, arguments.jobs)
    if arguments.bytes:
        print_state_bytes()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
