"""The reports that a node derives from the evidence of its core."""

from finchcart.consensus import subjects
from finchcart.consensus.config import SECOND
from finchcart.consensus.evidence import CallCounts, Evidence, SourceCounts
from finchcart.consensus.observations import Observer
from finchcart.consensus.subjects import (
    STORE_SUBJECT,
)
from finchcart.decisions.outcome import Outcome
from finchcart.node.observer import NodeObserver
from tests.consensus_examples import CONFIG, DOWN, SLOW, WORKING
from tests.harness import MS


def test_reports_follow_the_evidence_and_are_bounded():
    observer = Observer(subjects.node_subject("n0"), CONFIG)

    def observe(now, **evidence):
        observer.observe(now, Evidence(**evidence))

    def reported(now):
        """Return value and weight of the report on the store, or None."""
        return next((each[1:] for each in observer.reports(now) if each.subject == STORE_SUBJECT), None)

    for n in range(8):
        observe(n * 250 * MS, calls=CallCounts(3, 0, 60_000))
    assert reported(1750 * MS) == (WORKING, 1)
    observe(2000 * MS, calls=CallCounts(0, 2, 0))
    assert reported(2000 * MS) == (WORKING, 1), "too few calls failed"
    for n in range(9, 18):
        observe(n * 250 * MS, calls=CallCounts(0, 3, 0))
    assert reported(4250 * MS) == (DOWN, 1)
    observe(9 * SECOND)
    assert reported(9 * SECOND) == (DOWN, 0), "no call within the observation span"
    observe(9 * SECOND + 1, calls=CallCounts(1, 0, 20_000))
    assert reported(9 * SECOND + 1) == (WORKING, 1), "one successful probe call is enough"
    for n in range(18, 26):
        observe(10 * SECOND + n * 250 * MS, calls=CallCounts(3, 0, 3_000_000))
    assert reported(16 * SECOND + 250 * MS)[0] == SLOW
    observe(60 * SECOND)
    assert reported(60 * SECOND) is None
    for n in range(3000):
        source = subjects.source_subject(f"10.{n // 250}.0.{n % 250}")
        observe(70 * SECOND, sources={source: SourceCounts(30 if n % 2 else 1, 0, 0)})
    assert len(observer.sources) == CONFIG.max_sources
    assert len(observer.reports(70 * SECOND)) <= CONFIG.max_source_reports + 4
    observe(150 * SECOND)
    assert not observer.sources


def test_a_timeout_of_a_call_that_this_node_cut_short_is_no_evidence_on_the_store():
    observer = NodeObserver(CONFIG)
    observer.call_ended(Outcome.TIMEOUT, 5, True)
    observer.call_ended(Outcome.REJECTED, 5, False)
    observer.call_ended(Outcome.CONNECTION_LOST, 5, True)
    assert observer.collect_evidence(0, 0.0).calls == (0, 1, 0)
