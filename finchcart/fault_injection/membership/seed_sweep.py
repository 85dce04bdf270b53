"""A sweep over seeds: each is a run of members with faults, in some processes side by side."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from finchcart.fault_injection.membership.fault_run import MembershipFaultRun
from finchcart.fault_injection.virtual_time.invariants import InvariantError

SEEDS_AT_ONCE = 4  # that a process is given


class MembershipSeedResult(NamedTuple):
    """What a seed came to: the digest of its run, or what did not hold."""

    seed: int
    digest: str | None
    breach: str | None


def play_seed(seed: int) -> MembershipSeedResult:
    """Play one seed."""
    try:
        return MembershipSeedResult(seed, MembershipFaultRun(seed).play(), None)
    except InvariantError as error:
        return MembershipSeedResult(seed, None, str(error))


def play_seeds(first: int, count: int, jobs: int) -> Iterator[MembershipSeedResult]:
    """Play seeds in `jobs` processes; yield their results in order."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, range(first, first + count), chunksize=SEEDS_AT_ONCE)
