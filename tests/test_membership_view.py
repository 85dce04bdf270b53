"""Tests of which members count as connected, given the links that each declares down."""

import random

from finchcart.membership import view


def test_all_connected_members_compute_the_same_view():
    rng = random.Random(7)
    for n in range(300):
        ids = list(range(rng.randrange(2, 40)))
        graph = view.watch_graph(ids, rng.choice([4, 8, 48]))
        assert all(a in graph[b] for a in ids for b in graph[a])
        down = {a: [b for b in graph[a] if rng.random() < rng.choice([0.0, 0.1, 0.4])] for a in ids}
        views = {a: view.connected_members(a, down, graph) for a in ids}
        for a in ids:
            for b in views[a]:
                assert views[b] == views[a], (n, a, b)


def test_connected_members_for_single_links_one_bad_member_and_a_partition():
    ids = range(9)
    graph = view.watch_graph(ids, 24)
    assert view.connected_members(0, {1: [2]}, graph) == set(ids)  # one link down
    # Most links of member 8 are down: it is excluded by the others, and in its own view.
    assert view.connected_members(0, {n: [8] for n in range(5)}, graph) == set(range(8))
    assert view.connected_members(8, {n: [8] for n in range(5)}, graph) == set(range(8))
    halves = {a: [b for b in ids if a % 2 != b % 2] for a in (0, 2, 4, 6, 8)}  # declared by one side only
    assert view.connected_members(0, halves, graph) == {0, 2, 4, 6, 8}
    assert view.connected_members(1, halves, graph) == {1, 3, 5, 7}
