"""The verdict on all members, drawn from what each says of its links.

Owns who watches whom and who is held to be in the fleet. Pure: the same rows give the same verdict at
everybody who is connected with the same part. It must never hold a time or remember a verdict.

A link counts as down where either end says so. A member is in where it can be reached from here over links
that are up, and where at least half of its links into that set are up. So one link, or a few, put nobody
out; two parts that do not hear each other, be it in one direction alone, each hold themselves; and who is
linked to a minority of a connected set is out for all of it, itself included.
"""

from functools import lru_cache
from heapq import heapify, heappop, heappush

from xxhash import xxh3_64_intdigest

FALL, RISE = 0.5, 0.6  # the part of links that has to be up to stay in; to come back in


@lru_cache(maxsize=8192)
def places(one, rings):
    """Where a member stands on each ring."""
    data = one.to_bytes(8, "big")
    return tuple(xxh3_64_intdigest(data, ring) for ring in range(rings))


def watched(ids, watch):
    """id -> ids that it exchanges beats with: symmetric. All, where they are few; else neighbours on
    `watch` / 2 rings, each in an order of its own."""
    ids = sorted(ids)
    if len(ids) <= watch + 1:
        whole = frozenset(ids)
        return {one: whole - {one} for one in ids}
    out = {one: set() for one in ids}
    rings = max(1, watch // 2)
    stands = {one: places(one, rings) for one in ids}
    for ring in range(rings):
        order = sorted(ids, key=lambda one: stands[one][ring])
        for a, b in zip(order, order[1:] + order[:1]):
            out[a].add(b)
            out[b].add(a)
    return out


def judge(me, down, graph, out_before=frozenset()):
    """ids that are in. `down`: id -> ids it says it has no contact with; `graph`: of `watched`; `out_before`:
    those out until now, who need more to come back. `me` may be missing from the result: it is out itself."""
    cut = {}
    for one in graph:
        for other in down.get(one, ()):
            if other in graph:
                cut.setdefault(one, set()).add(other)
                cut.setdefault(other, set()).add(one)
    up = {**graph, **{one: graph[one] - cut[one] for one in cut}}
    part, edge = {me}, [me]
    while edge:
        new = up[edge.pop()] - part
        part |= new
        edge.extend(new)
    need = lambda one: RISE if one in out_before else FALL
    if len(part) == len(graph) and all(len(up[one]) >= need(one) * len(graph[one]) for one in cut):
        return part  # the usual case, without the rest of the work
    total = {one: len(graph[one] & part) for one in part}
    count = {one: len(up[one] & part) for one in part}
    heap = [(count[one] / total[one], one) for one in part if total[one]]
    heapify(heap)
    while heap:
        share, one = heappop(heap)
        if one not in part or not total[one] or share != count[one] / total[one] or share >= need(one):
            continue
        part.discard(one)
        for other in graph[one] & part:
            total[other] -= 1
            count[other] -= other in up[one]
            if total[other]:
                heappush(heap, (count[other] / total[other], other))
    return part
