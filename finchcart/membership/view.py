"""The view: compute which members watch each other, and which members are connected.

The functions are pure: their results depend on their arguments alone, not on the time. From the same records,
all members that are connected with each other compute the same result.

A link counts as down if either of its ends declares it down. A member is connected if it can be reached over
links that are up, and if at least half of its links into the set of reachable members are up. It follows:

- One link that is down, or a few, exclude no member.
- If the network is partitioned, even in one direction only, the members of each side stay connected with each
  other.
- A member whose links to most of a connected set are down is excluded in the view of that set and in its own.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Set
from functools import lru_cache
from heapq import heapify, heappop, heappush

from xxhash import xxh3_64_intdigest

# The fraction of its links that must be up for a connected member to stay connected, and for an excluded
# member to be connected again.
STAY_CONNECTED_FRACTION = 0.5
RECONNECT_FRACTION = 0.6

Graph = Mapping[int, Set[int]]  # member id -> ids of the members that it is linked to; symmetric


@lru_cache(maxsize=8192)
def ring_positions(member_id: int, rings: int) -> tuple[int, ...]:
    """Return the position of a member on each hash ring."""
    data = member_id.to_bytes(8, "big")
    return tuple(xxh3_64_intdigest(data, ring) for ring in range(rings))


def watch_graph(ids: Iterable[int], degree: int) -> Graph:
    """Return the symmetric graph of which members exchange heartbeats with each other.

    A fleet of up to `degree` + 1 members is a full mesh. In a larger fleet, each member watches its two
    neighbours on each of `degree` / 2 hash rings, which order the members differently.
    """
    ids = sorted(ids)
    if len(ids) <= degree + 1:
        all_ids = frozenset(ids)
        return {member_id: all_ids - {member_id} for member_id in ids}
    graph: dict[int, set[int]] = {member_id: set() for member_id in ids}
    rings = max(1, degree // 2)
    positions = {member_id: ring_positions(member_id, rings) for member_id in ids}
    for ring in range(rings):
        order = sorted(ids, key=lambda member_id: positions[member_id][ring])
        for left, right in zip(order, order[1:] + order[:1], strict=True):
            graph[left].add(right)
            graph[right].add(left)
    return graph


def connected_members(
    own_id: int,
    unreachable: Mapping[int, Collection[int]],
    graph: Graph,
    excluded_before: Collection[int] = frozenset(),
) -> set[int]:
    """Return the ids of the connected members.

    Arguments:
        own_id: of this member; if the result does not contain it, this member itself is excluded.
        unreachable: member id -> ids to which this member declares its links to be down.
        graph: who watches whom, see `watch_graph`.
        excluded_before: ids excluded until now, which need `RECONNECT_FRACTION` of their links up.
    """
    cut_links = _cut_links(unreachable, graph)
    up_links = {**graph, **{member_id: graph[member_id] - cut for member_id, cut in cut_links.items()}}
    reachable = _reachable(own_id, up_links)

    def required_fraction(member_id: int) -> float:
        return RECONNECT_FRACTION if member_id in excluded_before else STAY_CONNECTED_FRACTION

    if len(reachable) == len(graph) and all(
        len(up_links[member_id]) >= required_fraction(member_id) * len(graph[member_id])
        for member_id in cut_links
    ):
        return reachable  # fast path: nobody is excluded
    return _drop_weakly_connected(reachable, up_links, graph, required_fraction)


def _drop_weakly_connected(
    connected: set[int], up_links: Graph, graph: Graph, required_fraction: Callable[[int], float]
) -> set[int]:
    """Remove members with too few links up into the set, until the links of all that remain suffice."""
    total = {member_id: len(graph[member_id] & connected) for member_id in connected}
    up_count = {member_id: len(up_links[member_id] & connected) for member_id in connected}
    heap = [
        (up_count[member_id] / total[member_id], member_id) for member_id in connected if total[member_id]
    ]
    heapify(heap)
    while heap:
        fraction, member_id = heappop(heap)
        is_outdated = (
            member_id not in connected
            or not total[member_id]
            or fraction != up_count[member_id] / total[member_id]
        )
        if is_outdated or fraction >= required_fraction(member_id):
            continue
        connected.discard(member_id)
        for other in graph[member_id] & connected:
            total[other] -= 1
            up_count[other] -= other in up_links[member_id]
            if total[other]:
                heappush(heap, (up_count[other] / total[other], other))
    return connected


def _cut_links(unreachable: Mapping[int, Collection[int]], graph: Graph) -> dict[int, set[int]]:
    """Return member id -> ids to which its link is down according to either end."""
    cut_links: dict[int, set[int]] = {}
    for member_id in graph:
        for other in unreachable.get(member_id, ()):
            if other in graph:
                cut_links.setdefault(member_id, set()).add(other)
                cut_links.setdefault(other, set()).add(member_id)
    return cut_links


def _reachable(own_id: int, up_links: Graph) -> set[int]:
    reachable = {own_id}
    frontier = [own_id]
    while frontier:
        new = up_links[frontier.pop()] - reachable
        reachable |= new
        frontier.extend(new)
    return reachable
