"""Tests of the conversion of Unix timestamps to the node's clock: steps, slew, other clocks, random mixes."""

import random

from finchcart.node.wall_clock import WallClockHistory

MS = 1000
SECOND = 1_000_000
LEAD = SECOND
OLDEST = 6 * SECOND
TURN = 10 * MS


def test_a_timestamp_is_converted_by_the_offset_of_the_period_in_which_it_was_set():
    clock = WallClockHistory()
    assert clock.record(0, 5_000 * SECOND) == 0
    assert clock.record(10 * SECOND, 5_010 * SECOND + 3600 * SECOND) == 3600 * SECOND
    before = clock.arrival(5_009 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD)
    after = clock.arrival(8_610 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD)
    assert before == (9 * SECOND, 9 * SECOND)
    assert after == (10 * SECOND, 10 * SECOND)
    assert clock.arrival(7_000 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD) is None


def test_an_ambiguous_timestamp_gives_a_range_unless_the_connection_was_read_empty_in_between():
    clock = WallClockHistory()
    clock.record(0, 100 * SECOND)
    clock.record(10 * SECOND, 108 * SECOND)  # a step back by 2 s
    timestamp = 108 * SECOND + 500 * MS
    now = 10 * SECOND + 500 * MS
    assert clock.arrival(timestamp, 0, now, now - OLDEST, LEAD) == (8 * SECOND + 500 * MS, now)
    assert clock.arrival(timestamp, 10 * SECOND, now, now - OLDEST, LEAD) == (now, now)


def test_a_timestamp_set_just_before_the_connection_was_read_empty_belongs_to_the_current_period():
    # Guards against rejecting an RPC after a clock step of 2 s because it seems to have waited for 2 s.
    clock = WallClockHistory()
    now = 100 * SECOND
    for offset in (0, 2, -2):
        now += 100 * MS
        clock.record(now, now + (1_000 + offset) * SECOND)
    now += 50 * MS
    stamped_at = now - 10 * MS
    read_empty_at = now - 4 * MS  # the client wrote the RPC a while after it set the timestamp
    found = clock.arrival(stamped_at + 1_000 * SECOND, read_empty_at, now, now - OLDEST, LEAD)
    assert found == (stamped_at, stamped_at)


def test_an_rpc_on_a_connection_that_was_accepted_late_is_as_old_as_its_timestamp_says():
    # Guards against a run past its deadline when the clock steps back while the process is stopped.
    clock = WallClockHistory()
    clock.record(100 * SECOND, 1_100 * SECOND)
    stamped_at, now = 100 * SECOND + 10 * MS, 105 * SECOND
    clock.record(now, now + 1_000 * SECOND - 4_600 * MS)
    found = clock.arrival(stamped_at + 1_000 * SECOND, now, now, now - OLDEST, LEAD)
    assert found.earliest == stamped_at


def test_slew_changes_the_offset_and_is_not_reported_as_a_step():
    clock = WallClockHistory()
    now = unix = 0
    for _ in range(1000):
        now += TURN
        unix += TURN + TURN // 10
        assert clock.record(now, unix) == 0
    age = 200 * MS
    arrival = clock.arrival(unix - age - age // 10, 0, now, now - OLDEST, LEAD)
    assert abs(now - age - arrival.earliest) <= age // 10 + MS


def test_the_true_arrival_lies_within_the_computed_range_for_random_steps():
    for seed in range(200):
        rng = random.Random(seed)
        clock = WallClockHistory()
        offset = true_offset = 1_700_000_000 * SECOND
        now = 0
        for _ in range(300):
            now += TURN
            if rng.random() < 0.02:
                offset += rng.choice((-3600, -2, -1, 1, 2, 3600)) * SECOND
            arrived = now - rng.randint(0, TURN - 1)  # after the last reading of the clock, as is the step
            clock.record(now, now + offset)
            steps_with_machine = rng.random() < 0.8
            timestamp = (arrived + (offset if steps_with_machine else true_offset)) // MS * MS
            found = clock.arrival(timestamp, now - 2 * TURN, now, now - OLDEST, LEAD)
            if steps_with_machine:
                assert found.earliest - TURN - MS <= arrived <= found.latest + TURN + MS, seed


def arrival_by_any_clock(clock, timestamp, not_before, now):
    found = clock.arrival(timestamp, not_before, now, now - OLDEST, LEAD)
    return found or clock.add_other_clock(timestamp, not_before, now, now - OLDEST, LEAD)


def test_timestamps_of_an_unknown_clock_are_bounded_by_the_connection_and_by_earlier_timestamps():
    for seed in range(100):
        rng = random.Random(seed)
        clock = WallClockHistory()
        now, unix = 100 * SECOND, 1_700_000_000 * SECOND
        clock.record(now, unix)
        ahead = rng.choice((-3600, -20, 20, 3600)) * SECOND
        shortest_wait = SECOND  # shortest time so far between an RPC's arrival and the reading of the RPC
        for number in range(50):
            now += rng.randint(1, 100) * MS
            arrived = now - rng.randint(0, 300) * MS
            timestamp = (unix - 100 * SECOND + arrived + ahead) // MS * MS
            not_before = arrived - rng.randint(0, 200) * MS
            found = arrival_by_any_clock(clock, timestamp, not_before, now)
            shortest_wait = min(shortest_wait, now - arrived)
            assert found.earliest <= arrived + shortest_wait + MS, (seed, number)
            assert found.earliest >= not_before - MS, (seed, number)
            assert arrived <= found.latest + MS, (seed, number)
        assert len(clock.other_clocks) == 1


def test_a_timestamp_that_is_too_old_or_more_than_a_day_off_stays_invalid():
    clock = WallClockHistory()
    now = unix = 100_000 * SECOND
    clock.record(now, unix)
    stopped_since = now - 20 * SECOND  # nothing was read since then, so the RPC can be as old as it says
    assert arrival_by_any_clock(clock, now - 10 * SECOND, stopped_since, now) is None
    for days in (-2, 2):
        assert arrival_by_any_clock(clock, now + days * 24 * 3600 * SECOND, now, now) is None
    assert not clock.other_clocks
