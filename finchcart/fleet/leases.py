"""Lease arithmetic: convert lease durations between clocks that drift, and check groups of replicas.

The functions are pure: they read no clock and store no lease. Times are whole microseconds. `drift` is the
fraction by which the rates of any two clocks of the fleet may differ.

A lease gives its holder an exclusive right for a limited time. The holder and the granter measure this time
with their own clocks. The granter must not consider the lease expired while the holder still uses it:

- The holder measures the stated duration from *before* it requested the lease.
- The granter measures it from *after* it answered, and extends it for clock drift (see `widened`).

Whatever the delay of the messages, the granter starts to measure no earlier than the holder. The extension
covers the worst case of a slow clock at the holder and a fast clock at the granter. Therefore, when the lease
expires at the granter, it has already expired at the holder.

A replica without persistent storage loses its granted leases when it restarts. After a start, it therefore
answers no request for the longest lease duration, extended by `widened`. In that time, every lease that an
earlier process at its address can have granted expires. Any two majorities of the replicas have a replica in
common, which grants a lease to only one holder at a time. Therefore two holders never have a quorum for the
same lease at the same time.

Sources: C. Gray and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989 (terms of leases and bounded clock drift); M. Trencseni, A. Gazso and H. Reinhardt,
"PaxosLease: Diskless Paxos for Leases", 2012 (majorities of replicas that wait after a restart).
"""

from collections.abc import Iterator, Sequence
from math import ceil

from finchcart.fleet.field_problem import FieldProblem

ROUNDING_US = 1  # clocks count whole microseconds, so a measured duration may be off by one
GROUP_SIZES = (1, 3, 5)  # numbers of replicas; the group works while a majority of them does


def widened(duration: int, drift: float) -> int:
    """Return how long to wait by the own clock so that `duration` has passed on any other clock.

    Arguments:
        duration: microseconds on the other clock, measured from the same time or earlier.
        drift: the fraction by which the rates of two clocks may differ, from 0 to below 1.

    Returns:
        Microseconds on the own clock.
    """
    return ceil(duration * (1 + drift) / (1 - drift)) + ROUNDING_US


def quorum(replica_count: int) -> int:
    """Return the smallest number of replicas that is a majority of `replica_count`."""
    return replica_count // 2 + 1


def group_size_problems(field: str, addresses: Sequence[str]) -> Iterator[FieldProblem]:
    """Yield a problem if a configuration has a number of replicas that is not allowed.

    Arguments:
        field: the name of the field in the settings file.
        addresses: of all replicas of the group.
    """
    if len(addresses) not in GROUP_SIZES:
        yield FieldProblem(field, f"{len(addresses)} addresses are set, but a group has 1, 3 or 5 replicas")


def duplicate_problems(field: str, addresses: Sequence[str]) -> Iterator[FieldProblem]:
    """Yield a problem if a configuration has a replica twice; see `group_size_problems`."""
    if len(set(addresses)) < len(addresses):
        yield FieldProblem(field, "an address is listed twice: its vote would count double")
