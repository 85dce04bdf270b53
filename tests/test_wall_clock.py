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
