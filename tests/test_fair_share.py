"""Max-min fair division of a limit."""

import random

from finchcart.quota.fair_share import max_min_shares, prioritized_shares


def test_division_is_max_min_and_never_more_than_there_is():
    assert max_min_shares(10, {"a": 2, "b": 9, "c": 9}) == {"a": 2, "b": 4, "c": 4}
    assert max_min_shares(10, {"a": 9, "b": 9, "c": 9}) == {"a": 4, "b": 3, "c": 3}
    assert max_min_shares(9, {"a": 9, "b": 9}, {"a": 2.0}) == {"a": 6, "b": 3}
    assert max_min_shares(0, {"a": 1}) == {"a": 0}
    assert max_min_shares(5, {}) == {}
    chance = random.Random(3)
    for _ in range(500):
        amount = chance.randrange(60)
        wants = {n: chance.randrange(30) for n in range(chance.randrange(1, 12))}
        parts = max_min_shares(amount, wants)
        assert sum(parts.values()) == min(amount, sum(wants.values()))
        assert all(parts[n] <= wants[n] for n in wants)
        short = [parts[n] for n in wants if parts[n] < wants[n]]
        assert not short or max(parts.values()) <= min(short) + 1, (
            "no share exceeds that of an unmet demand by more than rounding"
        )


def test_what_matters_more_is_met_first_and_weights_count():
    assert prioritized_shares(10, {"a": 10, "b": 10}, {"a": 2, "b": 8}) == {"a": 2, "b": 8}
    assert prioritized_shares(12, {"a": 10, "b": 10}, {"b": 4}) == {"a": 4, "b": 8}
    assert prioritized_shares(9, {"a": 9, "b": 9}, {}, {"a": 2.0}) == {"a": 6, "b": 3}
    chance = random.Random(4)
    for _ in range(300):
        wants = {n: chance.randrange(30) for n in range(chance.randrange(1, 9))}
        first = {n: chance.randrange(40) for n in wants}
        parts = prioritized_shares(40, wants, first)
        assert sum(parts.values()) == min(40, sum(wants.values()))
        assert all(parts[n] <= wants[n] for n in wants)
