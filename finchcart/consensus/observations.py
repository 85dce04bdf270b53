"""The observer of a node, which turns the evidence of the node's core into reports.

Owns the evidence within the observation windows and its bounds. This module must never take other nodes'
reports into account. It is deterministic: the same evidence at the same times gives the same reports. Times
are whole microseconds.
"""

from collections import deque
from collections.abc import Sequence
from math import log2

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.evidence import CallCounts, Evidence, RunOutcomeCounts, SourceCounts
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.subjects import (
    LEVEL_SUBJECT,
    STORE_SUBJECT,
    ZONE_SUBJECT,
    Restriction,
    StoreHealth,
    SubjectKind,
    kind_of,
)
from finchcart.fleet.units import SECOND

PERCENT_FACTOR = 10**6  # the weight of a source's report is its percentage of RPCs times this, plus its rate
LEVEL_STEPS = 20  # a reported load-shedding level is rounded to one of so many steps
LEVEL_STEP_THOUSANDTHS = 1000 // LEVEL_STEPS
EVICTION_ATTEMPTS = 8  # sources examined to find one that can be evicted
CALL_TIME_SMOOTHING = 64  # a new mean has the weight 1/64 in the moving average


class SlidingSums:
    """Sums of tuples of `width` numbers over the last `span` microseconds; bounded by the samples in it."""

    def __init__(self, span: int, width: int) -> None:
        self.span = span
        self.sums = [0] * width
        self._samples: deque[tuple[int, Sequence[int]]] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether the span holds no sample other than zeros."""
        return not self._samples

    def add(self, now: int, sample: Sequence[int]) -> None:
        """Add one sample."""
        if any(sample):
            self._samples.append((now, sample))
            self.sums = [total + number for total, number in zip(self.sums, sample, strict=True)]
        self.expire(now)

    def expire(self, now: int) -> None:
        """Remove the samples that are older than the span."""
        while self._samples and self._samples[0][0] <= now - self.span:
            _, sample = self._samples.popleft()
            self.sums = [total - number for total, number in zip(self.sums, sample, strict=True)]


class ObservedSource:
    """The traffic of one source within the window, and the restriction that is reported for it."""

    def __init__(self, config: ConsensusConfig) -> None:
        self.sums = SlidingSums(config.source_span, len(SourceCounts()))
        self.restriction: Restriction | None = None
        self.restricted_until = 0
        self.worst_count = 0

    def restrict(self, restriction: Restriction, until: int, count: int) -> None:
        """Report a restriction until the time `until`, because of `count` messages."""
        self.restriction = restriction
        self.restricted_until = until
        self.worst_count = count


class Observer:
    """Derives a node's reports from its evidence; observes at most `config.max_sources` sources.

    Arguments:
        own_subject: the subject of this node.
        config: spans and thresholds.
        zone: the hash of this node's zone, 0 for none.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig, zone: int = 0) -> None:
        self.own_subject = own_subject
        self.config = config
        self.zone = zone
        self._usual_call_time: float | None = None  # moving average while the store was working
        self._clear()

    def _clear(self) -> None:
        config = self.config
        self.calls = SlidingSums(config.observation_span, len(CallCounts()))
        self.runs = SlidingSums(config.observation_span, len(RunOutcomeCounts()))
        self.rpcs = SlidingSums(config.source_span, 1)
        self.sources: dict[int, ObservedSource] = {}
        self._store: StoreHealth | None = None
        self._store_updated_at = 0
        self._runs_summary: tuple[int, int] | None = None  # percentage of failed runs, mean microseconds
        self._runs_updated_at = 0
        self._level = 0.0

    def reset(self) -> None:
        """Drop all evidence, as it dates from before a suspension of this process."""
        self._clear()

    # ---- evidence

    def observe(self, now: int, evidence: Evidence) -> None:
        """Take the evidence that the core collected since its previous evidence."""
        calls = evidence.calls
        self.calls.add(now, calls)
        self.runs.add(now, evidence.runs)
        self.rpcs.add(now, (evidence.rpcs,))
        self._level = evidence.level
        self._observe_store(now, bool(calls.succeeded or calls.failed))
        self._observe_runs(now)
        for subject, counts in evidence.sources.items():
            self._observe_source(now, subject, counts)
        self._update_restrictions(now)

    def _observe_store(self, now: int, was_called: bool) -> None:
        succeeded, failed, time = self.calls.sums
        # While the store is down only probe calls reach it, and one of them is enough to show its recovery.
        required = 1 if self._store == StoreHealth.DOWN else self.config.min_calls
        if was_called and succeeded + failed >= required:
            self._store = self._compute_store_health(succeeded, failed, time)
            self._store_updated_at = now
        elif self._store and now - self._store_updated_at > self.config.report_lifetime:
            self._store = None

    def _compute_store_health(self, succeeded: int, failed: int, time: int) -> StoreHealth:
        mean = time / succeeded if succeeded else 0
        usual = self._usual_call_time
        if failed >= self.config.failed_fraction * (succeeded + failed):
            return StoreHealth.DOWN
        if usual and mean > self.config.slow_factor * usual:
            return StoreHealth.SLOW
        self._usual_call_time = mean if usual is None else usual + (mean - usual) / CALL_TIME_SMOOTHING
        return StoreHealth.WORKING

    def _observe_runs(self, now: int) -> None:
        ended, failed, time = self.runs.sums
        if ended >= self.config.min_runs:
            self._runs_summary = round(100 * failed / ended), time // ended
            self._runs_updated_at = now
        elif self._runs_summary and now - self._runs_updated_at > self.config.runs_report_lifetime:
            self._runs_summary = None

    def _observe_source(self, now: int, subject: int, counts: SourceCounts) -> None:
        source = self.sources.get(subject)
        if source is None:
            if len(self.sources) >= self.config.max_sources and not self._evict_source():
                return
            source = ObservedSource(self.config)
            self.sources[subject] = source
        source.sums.add(now, counts)

    def _evict_source(self) -> bool:
        """Evict the oldest source without a restriction, among the few oldest sources.

        This bounds memory and time where new sources keep appearing. Return False if each source examined
        has a restriction that is reported.
        """
        for _ in range(EVICTION_ATTEMPTS):
            subject = next(iter(self.sources))
            source = self.sources.pop(subject)
            if not source.restriction:
                return True
            self.sources[subject] = source
        return False

    def _update_restrictions(self, now: int) -> None:
        until = now + self.config.restriction_time
        for subject, source in list(self.sources.items()):
            source.sums.expire(now)
            bad, over_rate, _ = source.sums.sums
            is_dispatcher = kind_of(subject) == SubjectKind.DISPATCHER
            if bad >= self.config.max_bad_messages:
                source.restrict(Restriction.BLOCKED, until, bad)
            elif (
                over_rate >= self.config.max_bad_messages
                and is_dispatcher
                and source.restriction != Restriction.BLOCKED
            ):
                source.restrict(Restriction.THROTTLED, until, over_rate)
            if source.restriction and now >= source.restricted_until:
                source.restriction = None
            if not source.restriction and source.sums.is_empty:
                del self.sources[subject]

    # ---- reports

    def reports(self, now: int) -> list[ObservationReport]:
        """Return the reports of this node, in coarse steps so that a healthy node's seldom change.

        Value and weight depend on the kind of the subject:

        - Store: the value is a `StoreHealth`, the weight 1 if there were calls within the last span, else 0.
        - Source: the value is a `Restriction`, the weight the source's percentage of the well-formed RPCs
          times `PERCENT_FACTOR`, plus its rate of excess messages a second.
        - This node: the value is the percentage of its runs that failed, the weight the mean time of a run.
        - Level: the value is the load-shedding level in thousandths.
        - Zone: the value is the hash of this node's zone.
        """
        level = LEVEL_STEP_THOUSANDTHS * round(LEVEL_STEPS * self._level)
        reports = [ObservationReport(ZONE_SUBJECT, self.zone, 0), ObservationReport(LEVEL_SUBJECT, level, 0)]
        if self._store:
            is_fresh = now - self._store_updated_at <= self.config.observation_span
            reports.append(ObservationReport(STORE_SUBJECT, self._store, int(is_fresh)))
        if self._runs_summary:
            percent_failed, time = self._runs_summary
            coarse_time = round(2 ** (round(2 * log2(max(1, time))) / 2))
            reports.append(ObservationReport(self.own_subject, 10 * round(percent_failed / 10), coarse_time))
        reports += map(self._report_source, self._worst_sources())
        return reports

    def _worst_sources(self) -> list[int]:
        restricted = [subject for subject, source in self.sources.items() if source.restriction]
        restricted.sort(key=lambda subject: (-self.sources[subject].worst_count, subject))
        return restricted[: self.config.max_source_reports]

    def _report_source(self, subject: int) -> ObservationReport:
        source = self.sources[subject]
        restriction = source.restriction or Restriction.NONE  # `_worst_sources` never returns NONE
        all_rpcs = max(1, self.rpcs.sums[0])
        rpcs = SourceCounts(*source.sums.sums).rpcs
        percent = min(100, 100 * rpcs // all_rpcs)
        rate = min(PERCENT_FACTOR - 1, source.worst_count * SECOND // self.config.source_span)
        return ObservationReport(subject, restriction, percent * PERCENT_FACTOR + rate)
