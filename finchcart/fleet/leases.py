"""Lease arithmetic on clocks that drift apart: a lease is short for its holder and long for its granter.

Owns the conversions of durations between clocks and the sizes of the groups of replicas that vote on leases.
Pure functions; it must never read a clock nor keep a lease. Times are whole microseconds, `drift` is the part
by which any two clocks of the fleet may run apart.

A lease lets its holder act alone for a time. Holder and granter count that time each by its own clock, and
must never both be free to act:

- The holder counts the stated duration from *before* it requested the lease.
- The granter counts it from *after* it answered, and widened (see `widened`).

The granter's count begins no earlier than the holder's, whatever the delay of the messages, and the widening
outweighs the slowest holder's clock against the fastest granter's. So when the granter takes the lease to be
over, its holder has stopped.

A replica without a disk forgets at a restart what it granted. It therefore answers nobody for the longest
lease, widened; until then any lease that an earlier process at its address may have granted counts as
granted. Two majorities of the replicas share one replica, which grants once: so two holders never have a
quorum for the same thing at the same time.

Sources: C. Gray and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989 (terms of leases and bounded clock drift); M. Trencseni, A. Gazso and H. Reinhardt,
"PaxosLease: Diskless Paxos for Leases", 2012 (majorities of replicas that wait after a restart).
"""

from collections.abc import Iterator, Sequence
from math import ceil

from finchcart.fleet.field_problem import FieldProblem

ROUNDING_US = 1  # clocks count whole microseconds: either side may be one off
GROUP_SIZES = (1, 3, 5)  # of replicas: each tolerates the failure of one less than half


def widened(duration: int, drift: float) -> int:
    """Return how long to wait on the own clock until `duration` is over on any clock that began before.

    Arguments:
        duration: microseconds on the other clock.
        drift: the part by which two clocks may run apart, from 0 to below 1.

    Returns:
        Microseconds on the own clock.
    """
    return ceil(duration * (1 + drift) / (1 - drift)) + ROUNDING_US


def quorum(replica_count: int) -> int:
    """Return the least number of replicas that are a majority of `replica_count`."""
    return replica_count // 2 + 1


def group_size_problems(field: str, addresses: Sequence[str]) -> Iterator[FieldProblem]:
    """Yield what is wrong with the number of replicas that a configuration names.

    Arguments:
        field: the key of the settings file that names them.
        addresses: of all replicas of the group.
    """
    if len(addresses) not in GROUP_SIZES:
        yield FieldProblem(field, f"{len(addresses)} are named: a majority of 1, 3 or 5 is needed")


def duplicate_problems(field: str, addresses: Sequence[str]) -> Iterator[FieldProblem]:
    """Yield a problem where a configuration names a replica twice; see `group_size_problems`."""
    if len(set(addresses)) < len(addresses):
        yield FieldProblem(field, "one is named twice: its vote would count double")
