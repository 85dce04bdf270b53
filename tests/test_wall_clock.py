"""Unix times turned into the node's own: steps, slew, stamps of other clocks; any mix of them, by chance."""

import random

from finchcart.node.wall_clock import WallClockHistory

MS = 1000
SECOND = 1_000_000
LEAD = SECOND
OLDEST = 6 * SECOND
TURN = 10 * MS


def test_a_stamp_is_found_in_the_period_in_which_it_was_taken():
    clock = WallClockHistory()
    assert clock.record(0, 5_000 * SECOND) == 0
    assert clock.record(10 * SECOND, 5_010 * SECOND + 3600 * SECOND) == 3600 * SECOND
    before = clock.arrival(5_009 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD)
    after = clock.arrival(8_610 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD)
    assert before == (9 * SECOND, 9 * SECOND)
    assert after == (10 * SECOND, 10 * SECOND)
    assert clock.arrival(7_000 * SECOND, 0, 10 * SECOND, 4 * SECOND, LEAD) is None


def test_what_can_mean_two_moments_is_a_span_unless_the_connection_was_read_empty_between():
    clock = WallClockHistory()
    clock.record(0, 100 * SECOND)
    clock.record(10 * SECOND, 108 * SECOND)  # back by 2 s
    stamp = 108 * SECOND + 500 * MS
    now = 10 * SECOND + 500 * MS
    assert clock.arrival(stamp, 0, now, now - OLDEST, LEAD) == (8 * SECOND + 500 * MS, now)
    assert clock.arrival(stamp, 10 * SECOND, now, now - OLDEST, LEAD) == (now, now)


def test_a_stamp_made_just_before_its_connection_was_read_empty_is_not_taken_for_one_of_a_step_ago():
    # Guards against an RPC that is rejected beside a step of 2 s, as it seems to have waited for so long.
    clock = WallClockHistory()
    now = 100 * SECOND
    for offset in (0, 2, -2):
        now += 100 * MS
        clock.record(now, now + (1_000 + offset) * SECOND)
    now += 50 * MS
    stamped = now - 10 * MS
    read_empty_at = now - 4 * MS  # the client was late between its stamp and its write
    found = clock.arrival(stamped + 1_000 * SECOND, read_empty_at, now, now - OLDEST, LEAD)
    assert found == (stamped, stamped)


def test_what_waited_on_a_connection_that_was_accepted_late_is_as_old_as_its_stamp_says():
    # Guards against a run past its deadline: the clock stepped back while the process was stopped.
    clock = WallClockHistory()
    clock.record(100 * SECOND, 1_100 * SECOND)
    stamped, now = 100 * SECOND + 10 * MS, 105 * SECOND
    clock.record(now, now + 1_000 * SECOND - 4_600 * MS)
    found = clock.arrival(stamped + 1_000 * SECOND, now, now, now - OLDEST, LEAD)
    assert found.earliest == stamped


def test_a_slewed_clock_is_followed_and_no_step():
    clock = WallClockHistory()
    now = unix = 0
    for _ in range(1000):
        now += TURN
        unix += TURN + TURN // 10
        assert clock.record(now, unix) == 0
    age = 200 * MS
    arrival = clock.arrival(unix - age - age // 10, 0, now, now - OLDEST, LEAD)
    assert abs(now - age - arrival.earliest) <= age // 10 + MS


def test_the_true_moment_lies_in_the_span_whatever_the_steps():
    for seed in range(200):
        rng = random.Random(seed)
        clock = WallClockHistory()
        offset = true_offset = 1_700_000_000 * SECOND
        now = 0
        for _ in range(300):
            now += TURN
            if rng.random() < 0.02:
                offset += rng.choice((-3600, -2, -1, 1, 2, 3600)) * SECOND
            arrived = now - rng.randint(0, TURN - 1)  # since the last look, and the step lies there too
            clock.record(now, now + offset)
            follows = rng.random() < 0.8
            stamp = (arrived + (offset if follows else true_offset)) // MS * MS
            found = clock.arrival(stamp, now - 2 * TURN, now, now - OLDEST, LEAD)
            if follows:
                assert found.earliest - TURN - MS <= arrived <= found.latest + TURN + MS, seed


def read_by_another_clock(clock, stamp, not_before, now):
    found = clock.arrival(stamp, not_before, now, now - OLDEST, LEAD)
    return found or clock.add_other_clock(stamp, not_before, now, now - OLDEST, LEAD)


def test_stamps_of_a_clock_that_was_never_seen_are_bounded_by_the_connection_and_then_by_each_other():
    for seed in range(100):
        rng = random.Random(seed)
        clock = WallClockHistory()
        now, unix = 100 * SECOND, 1_700_000_000 * SECOND
        clock.record(now, unix)
        ahead = rng.choice((-3600, -20, 20, 3600)) * SECOND
        shortest = SECOND  # from arrival to read
        for number in range(50):
            now += rng.randint(1, 100) * MS
            arrived = now - rng.randint(0, 300) * MS
            stamp = (unix - 100 * SECOND + arrived + ahead) // MS * MS
            not_before = arrived - rng.randint(0, 200) * MS
            found = read_by_another_clock(clock, stamp, not_before, now)
            shortest = min(shortest, now - arrived)
            assert found.earliest <= arrived + shortest + MS, (seed, number)
            assert found.earliest >= not_before - MS, (seed, number)
            assert arrived <= found.latest + MS, (seed, number)
        assert len(clock.other_clocks) == 1


def test_a_stamp_too_old_by_the_machine_s_own_clock_or_of_no_clock_stays_invalid():
    clock = WallClockHistory()
    now = unix = 100_000 * SECOND
    clock.record(now, unix)
    stopped_since = now - 20 * SECOND  # nothing was read since then, so it can be as old as it says
    assert read_by_another_clock(clock, now - 10 * SECOND, stopped_since, now) is None
    for days in (-2, 2):
        assert read_by_another_clock(clock, now + days * 24 * 3600 * SECOND, now, now) is None
    assert not clock.other_clocks
