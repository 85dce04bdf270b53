"""What many nodes send to a store that comes back cold, counted by the store; see benchmarks/cold_ramp.py."""

from benchmarks.cold_ramp import play_seeds


def test_the_sum_of_all_processes_keeps_to_the_ramp_and_a_whole_budget_each_is_found():
    (row,) = play_seeds(20, [1])
    assert row["held"] and row["calls"] > 400, row
    (row,) = play_seeds(20, [1], rate=12.0, whole=True)
    assert not row["held"], row  # the planted defect
