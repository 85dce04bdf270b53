"""Max-min fair division of a limit."""

import random

from finchcart.quota.fair_share import max_min_shares, prioritized_shares


def test_division_is_max_min_fair_and_within_the_amount():
    assert max_min_shares(10, {"a": 2, "b": 9, "c": 9}) == {"a": 2, "b": 4, "c": 4}
    assert max_min_shares(10, {"a": 9, "b": 9, "c": 9}) == {"a": 4, "b": 3, "c": 3}
    assert max_min_shares(9, {"a": 9, "b": 9}, {"a": 2.0}) == {"a": 6, "b": 3}
    assert max_min_shares(0, {"a": 1}) == {"a": 0}
    assert max_min_shares(5, {}) == {}
    rng = random.Random(3)
    for _ in range(500):
        amount = rng.randrange(60)
        demands = {n: rng.randrange(30) for n in range(rng.randrange(1, 12))}
        shares = max_min_shares(amount, demands)
        assert sum(shares.values()) == min(amount, sum(demands.values()))
        assert all(shares[n] <= demands[n] for n in demands)
        unmet_shares = [shares[n] for n in demands if shares[n] < demands[n]]
        assert not unmet_shares or max(shares.values()) <= min(unmet_shares) + 1, (
            "no share exceeds that of an unmet demand by more than rounding"
        )


def test_priority_demands_are_met_first_and_weights_count():
    assert prioritized_shares(10, {"a": 10, "b": 10}, {"a": 2, "b": 8}) == {"a": 2, "b": 8}
    assert prioritized_shares(12, {"a": 10, "b": 10}, {"b": 4}) == {"a": 4, "b": 8}
    assert prioritized_shares(9, {"a": 9, "b": 9}, {}, {"a": 2.0}) == {"a": 6, "b": 3}
    rng = random.Random(4)
    for _ in range(300):
        demands = {n: rng.randrange(30) for n in range(rng.randrange(1, 9))}
        priority_demands = {n: rng.randrange(40) for n in demands}
        shares = prioritized_shares(40, demands, priority_demands)
        assert sum(shares.values()) == min(40, sum(demands.values()))
        assert all(shares[n] <= demands[n] for n in demands)
