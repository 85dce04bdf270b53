"""The view: which members are connected, derived from what each declares of its links.

Owns who watches whom and who counts as connected. Pure: the same records give the same result at all members
that are connected with the same part. It must never hold a time or remember a result.

A link counts as down where either end says so. A member is connected where it can be reached from here over
links that are up, and where at least half of its links into that set are up. So one link, or a few, exclude
nobody; two parts that do not hear each other, be it in one direction alone, each keep themselves; and who is
linked to a minority of a connected set is excluded for all of it, itself included.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Set
from functools import lru_cache
from heapq import heapify, heappop, heappush

from xxhash import xxh3_64_intdigest

STAY_FRACTION = 0.5  # of links that has to be up to stay connected
RETURN_FRACTION = 0.6  # of links that has to be up to be connected again

Graph = Mapping[int, Set[int]]  # id -> ids it is linked to, symmetric


@lru_cache(maxsize=8192)
def ring_positions(member_id: int, rings: int) -> tuple[int, ...]:
    """Return the position of a member on each ring."""
    data = member_id.to_bytes(8, "big")
    return tuple(xxh3_64_intdigest(data, ring) for ring in range(rings))


def watch_graph(ids: Iterable[int], degree: int) -> Graph:
    """Return id -> ids that it exchanges heartbeats with, symmetric.

    All watch all where they are few; else each watches its neighbours on `degree` / 2 rings, each ring in an
    order of its own.
    """
    ids = sorted(ids)
    if len(ids) <= degree + 1:
        everybody = frozenset(ids)
        return {member_id: everybody - {member_id} for member_id in ids}
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
    """Return the ids that are connected.

    Arguments:
        own_id: of this member; it may be missing from the result: then it is excluded itself.
        unreachable: id -> ids that it declares to have no two-way contact with.
        graph: who watches whom, see `watch_graph`.
        excluded_before: those excluded until now, who need more links to come back.
    """
    cut_links = _cut_links(unreachable, graph)
    up_links = {**graph, **{one: graph[one] - cut for one, cut in cut_links.items()}}
    reachable = _reachable(own_id, up_links)

    def required(one: int) -> float:
        return RETURN_FRACTION if one in excluded_before else STAY_FRACTION

    if len(reachable) == len(graph) and all(
        len(up_links[one]) >= required(one) * len(graph[one]) for one in cut_links
    ):
        return reachable  # the usual case, without the rest of the work
    return _drop_minorities(reachable, up_links, graph, required)


def _drop_minorities(
    connected: set[int], up_links: Graph, graph: Graph, required: Callable[[int], float]
) -> set[int]:
    """Take out members with too few links up into the set, again for those that lose links by that."""
    total = {one: len(graph[one] & connected) for one in connected}
    up_count = {one: len(up_links[one] & connected) for one in connected}
    heap = [(up_count[one] / total[one], one) for one in connected if total[one]]
    heapify(heap)
    while heap:
        fraction, one = heappop(heap)
        is_outdated = one not in connected or not total[one] or fraction != up_count[one] / total[one]
        if is_outdated or fraction >= required(one):
            continue
        connected.discard(one)
        for other in graph[one] & connected:
            total[other] -= 1
            up_count[other] -= other in up_links[one]
            if total[other]:
                heappush(heap, (up_count[other] / total[other], other))
    return connected


def _cut_links(unreachable: Mapping[int, Collection[int]], graph: Graph) -> dict[int, set[int]]:
    """Return id -> ids to which its link is down, as either end declares."""
    cut_links: dict[int, set[int]] = {}
    for one in graph:
        for other in unreachable.get(one, ()):
            if other in graph:
                cut_links.setdefault(one, set()).add(other)
                cut_links.setdefault(other, set()).add(one)
    return cut_links


def _reachable(own_id: int, up_links: Graph) -> set[int]:
    reachable = {own_id}
    frontier = [own_id]
    while frontier:
        new = up_links[frontier.pop()] - reachable
        reachable |= new
        frontier.extend(new)
    return reachable
