"""What many nodes send to a store that comes back cold, counted by the store; see benchmarks/cold_ramp.py."""

from benchmarks.cold_ramp import play


def test_the_sum_of_all_processes_keeps_to_the_ramp_and_a_whole_budget_each_is_found():
    (row,) = play(20, [1])
    assert row["held"] and row["calls"] > 500, row
    (row,) = play(20, [1], rate=25.0, whole=True)
    assert not row["held"], row  # the planted defect
