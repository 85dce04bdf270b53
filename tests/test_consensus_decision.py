"""The rules that derive the fleet's decisions from the members' reports."""

import random
from dataclasses import replace
from statistics import median

from finchcart.consensus import subjects
from finchcart.consensus.decision import decide, median_without
from finchcart.consensus.messages import (
    ObservationReport,
)
from finchcart.consensus.observations import PERCENT_FACTOR
from finchcart.consensus.subjects import (
    LEVEL_SUBJECT,
    STORE_SUBJECT,
    ZONE_SUBJECT,
)
from tests.consensus_examples import BAD_SOURCE, BLOCKED, CONFIG, DOWN, GOOD_SOURCE, SLOW, THROTTLED, WORKING


def by_member(*reports):
    """Return the members' reports by member id, with the members spread over three zones."""
    return {n: [ObservationReport(ZONE_SUBJECT, n % 3, 0), *each] for n, each in enumerate(reports)}


def store_report(value, fresh=1):
    return [ObservationReport(STORE_SUBJECT, value, fresh)]


def source_report(subject, percent=1, value=BLOCKED):
    return [ObservationReport(subject, value, percent * PERCENT_FACTOR + 5)]


def node_report(n, percent_failed=0, time=1000):
    return [ObservationReport(subjects.node_subject(f"n{n}"), percent_failed, time)]


def decided_values(*reports, config=CONFIG):
    """Return the decided values by subject; each argument holds the reports of one member."""
    decisions = decide(by_member(*reports), config, len(reports))
    return {subject: decision.value for subject, decision in decisions.items()}


def test_the_store_is_down_when_most_recent_callers_report_it_and_never_by_one_report():
    def decided(*reports, config=CONFIG):
        return decided_values(*reports, config=config).get(STORE_SUBJECT)

    down, slow, working = store_report(DOWN), store_report(SLOW), store_report(WORKING)
    stale_down = store_report(DOWN, fresh=0)
    assert decided(down, down, working) == DOWN
    assert decided(down, working, working) == WORKING
    assert decided(down, [], []) is None, "a single report is not enough"
    assert decided(*[down] * 4, *[working] * 4) == WORKING, "half of the votes is not a quorum"
    assert decided(down, slow, working) == SLOW
    # Fresh reports outvote stale ones while enough members have fresh ones.
    assert decided(working, working, *[stale_down] * 6) == WORKING
    assert decided(down, *[stale_down] * 6) == DOWN
    assert decided(down, [], [], down, config=replace(CONFIG, min_zones=2)) is None, "both of the same zone"


def test_a_source_needs_a_quorum_of_reports_and_a_large_share_of_rpcs_is_not_blocked():
    no_reports = [[]] * 9
    bad = source_report(BAD_SOURCE)
    assert decided_values(*[bad] * 3, *no_reports) == {BAD_SOURCE: BLOCKED}
    assert decided_values(*[bad] * 2, *no_reports) == {}
    assert decided_values(*[source_report(BAD_SOURCE, 40)] * 5, *no_reports) == {}, (
        "40 % of all RPCs come from it"
    )
    both = [*source_report(BAD_SOURCE, 12), *source_report(GOOD_SOURCE, 11)]
    assert decided_values(*[both] * 6, *no_reports) == {BAD_SOURCE: BLOCKED, GOOD_SOURCE: THROTTLED}, (
        "together the two exceed max_blocked_fraction"
    )
    throttled = source_report(BAD_SOURCE, 1, THROTTLED)
    assert decided_values(*[throttled] * 4, *no_reports) == {BAD_SOURCE: THROTTLED}


def test_outliers_are_ejected_up_to_the_maximum_fraction_of_nodes():
    def ejected(*reports):
        return {subject for subject, value in decided_values(*reports).items() if value == subjects.EJECTED}

    first = {subjects.node_subject("n0")}
    assert ejected(node_report(0, 100), *map(node_report, range(1, 8))) == first
    assert ejected(node_report(0, 0, 9000), *map(node_report, range(1, 8))) == first
    three_failing = [node_report(n, 100) for n in range(3)]
    assert len(ejected(*three_failing, *map(node_report, range(3, 10)))) == 2, "at most a fifth of the nodes"
    assert ejected(*(node_report(n, 100) for n in range(8))) == set(), "no outlier where all nodes fail"


def test_the_level_is_the_lower_median_which_fewer_than_half_cannot_move():
    def level(*values):
        return decided_values(*([ObservationReport(LEVEL_SUBJECT, value, 0)] for value in values)).get(
            LEVEL_SUBJECT, 0
        )

    assert level(0, 0, 0, 1000, 1000) == 0
    assert level(300, 300, 300, 0, 0) == 300
    assert level(200, 400, 600, 800) == 400


def test_median_without_a_value_equals_the_median_of_the_others():
    rng = random.Random(2)
    for _ in range(300):
        values = sorted(rng.randrange(9) for _ in range(rng.randrange(2, 12)))
        value = rng.choice(values)
        others = list(values)
        others.remove(value)
        assert median_without(values, value) == median(others)
