"""Runs many seeds of members under faults, in several processes in parallel."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from finchcart.fault_injection.membership.fault_run import MembershipFaultRun
from finchcart.fault_injection.virtual_time.invariants import InvariantError

SEEDS_PER_TASK = 4  # handed to a worker process at a time


class MembershipSeedResult(NamedTuple):
    """The result of a run of one seed: its digest, or the invariant that was violated."""

    seed: int
    digest: str | None
    breach: str | None


def play_seed(seed: int) -> MembershipSeedResult:
    """Run one seed and return its result."""
    try:
        return MembershipSeedResult(seed, MembershipFaultRun(seed).play(), None)
    except InvariantError as error:
        return MembershipSeedResult(seed, None, str(error))


def play_seeds(first: int, count: int, jobs: int) -> Iterator[MembershipSeedResult]:
    """Run seeds in `jobs` processes; yield their results in order."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, range(first, first + count), chunksize=SEEDS_PER_TASK)
