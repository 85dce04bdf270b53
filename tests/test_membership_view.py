"""Which members are connected, from the records of all."""

import random

from finchcart.membership import view


def test_connected_members_are_the_same_for_all_of_them():
    chance = random.Random(7)
    for n in range(300):
        ids = list(range(chance.randrange(2, 40)))
        graph = view.watch_graph(ids, chance.choice([4, 8, 48]))
        assert all(a in graph[b] for a in ids for b in graph[a])
        down = {a: [b for b in graph[a] if chance.random() < chance.choice([0.0, 0.1, 0.4])] for a in ids}
        parts = {a: view.connected_members(a, down, graph) for a in ids}
        for a in ids:
            for b in parts[a]:
                assert parts[b] == parts[a], (n, a, b)


def test_connected_members_in_plain_cases():
    ids = range(9)
    graph = view.watch_graph(ids, 24)
    assert view.connected_members(0, {1: [2]}, graph) == set(ids)  # one link
    assert view.connected_members(0, {n: [8] for n in range(5)}, graph) == set(range(8))  # most links of one
    assert view.connected_members(8, {n: [8] for n in range(5)}, graph) == set(range(8))  # and it knows
    halves = {a: [b for b in ids if a % 2 != b % 2] for a in (0, 2, 4, 6, 8)}  # told by one side alone
    assert view.connected_members(0, halves, graph) == {0, 2, 4, 6, 8}
    assert view.connected_members(1, halves, graph) == {1, 3, 5, 7}
