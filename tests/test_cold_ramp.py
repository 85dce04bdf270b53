"""Load of many nodes on a store that is cold after an outage, as the store counts it.

benchmarks/cold_ramp.py describes the measurement and its bound.
"""

from benchmarks.cold_ramp import play_seeds


def test_all_nodes_together_keep_to_the_ramp_and_an_undivided_budget_is_detected():
    (row,) = play_seeds(20, [1])
    assert row["held"] and row["calls"] > 400, row
    (row,) = play_seeds(20, [1], rate=12.0, whole=True)
    assert not row["held"], row  # planted defect: each node uses the budget of the whole fleet
