"""One node's observer: the reports that it makes of what its core saw.

Owns the evidence of the last spans and its bounds; it must never take other nodes' reports into account.
Deterministic: the same evidence at the same times gives the same reports. Times are whole microseconds.
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

MILLION = 10**6  # the weight of a source is its percentage of RPCs times this, plus its rate
LEVEL_STEPS = 20  # of a level, as it is reported
LEVEL_STEP_THOUSANDTHS = 1000 // LEVEL_STEPS
EVICTION_ATTEMPTS = 8  # sources looked at for one that can go
CALL_TIME_SMOOTHING = 64  # a new mean counts for one part in so many


class SlidingSums:
    """Sums of tuples of `width` numbers over the last `span` microseconds; bounded by the looks in it."""

    def __init__(self, span: int, width: int) -> None:
        self.span = span
        self.sums = [0] * width
        self._items: deque[tuple[int, Sequence[int]]] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left in the span."""
        return not self._items

    def add(self, now: int, item: Sequence[int]) -> None:
        """Add one look's numbers."""
        if any(item):
            self._items.append((now, item))
            self.sums = [total + number for total, number in zip(self.sums, item, strict=True)]
        self.expire(now)

    def expire(self, now: int) -> None:
        """Take out what is older than the span."""
        while self._items and self._items[0][0] <= now - self.span:
            _, item = self._items.popleft()
            self.sums = [total - number for total, number in zip(self.sums, item, strict=True)]


class ObservedSource:
    """What one source did, and what is reported of it."""

    def __init__(self, config: ConsensusConfig) -> None:
        self.sums = SlidingSums(config.source_span, len(SourceCounts()))
        self.restriction: Restriction | None = None
        self.restricted_until = 0
        self.worst_count = 0

    def restrict(self, restriction: Restriction, until: int, count: int) -> None:
        """Report a restriction until then, for a count of messages."""
        self.restriction = restriction
        self.restricted_until = until
        self.worst_count = count


class Observer:
    """Bounded by `config.max_sources` sources.

    Arguments:
        own_subject: of this node.
        config: spans and thresholds.
        zone: the hash of the zone it stands in, 0 for none.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig, zone: int = 0) -> None:
        self.own_subject = own_subject
        self.config = config
        self.zone = zone
        self._usual_call_time: float | None = None  # as it was while the store worked
        self._clear()

    def _clear(self) -> None:
        config = self.config
        self.calls = SlidingSums(config.observation_span, len(CallCounts()))
        self.runs = SlidingSums(config.observation_span, len(RunOutcomeCounts()))
        self.rpcs = SlidingSums(config.source_span, 1)
        self.sources: dict[int, ObservedSource] = {}
        self._store: StoreHealth | None = None
        self._store_seen_at = 0
        self._runs_summary: tuple[int, int] | None = None  # percent that failed, mean microseconds
        self._runs_seen_at = 0
        self._level = 0.0

    def forget(self) -> None:
        """Drop what was seen: it is of before a suspension."""
        self._clear()

    # ---- what is seen

    def observe(self, now: int, evidence: Evidence) -> None:
        """Take what the core saw since the last look."""
        calls = evidence.calls
        self.calls.add(now, calls)
        self.runs.add(now, evidence.runs)
        self.rpcs.add(now, (evidence.rpcs,))
        self._level = evidence.level
        self._observe_store(now, bool(calls.succeeded or calls.failed))
        self._observe_runs(now)
        for subject, counts in evidence.sources.items():
            self._observe_source(now, subject, counts)
        self._review_sources(now)

    def _observe_store(self, now: int, was_called: bool) -> None:
        succeeded, failed, time = self.calls.sums
        # One probe call is enough to see that a store which was down is back.
        required = 1 if self._store == StoreHealth.DOWN else self.config.min_calls
        if was_called and succeeded + failed >= required:
            self._store = self._judge_store(succeeded, failed, time)
            self._store_seen_at = now
        elif self._store and now - self._store_seen_at > self.config.report_lifetime:
            self._store = None

    def _judge_store(self, succeeded: int, failed: int, time: int) -> StoreHealth:
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
            self._runs_seen_at = now
        elif self._runs_summary and now - self._runs_seen_at > self.config.runs_report_lifetime:
            self._runs_summary = None

    def _observe_source(self, now: int, subject: int, counts: SourceCounts) -> None:
        source = self.sources.get(subject)
        if source is None:
            if len(self.sources) >= self.config.max_sources and not self._make_room():
                return
            source = ObservedSource(self.config)
            self.sources[subject] = source
        source.sums.add(now, counts)

    def _make_room(self) -> bool:
        """Evict one source: of the oldest few, the first of which nothing is reported.

        Bounds the memory and time that sources without end would take. Return False where something is
        reported of each.
        """
        for _ in range(EVICTION_ATTEMPTS):
            subject = next(iter(self.sources))
            source = self.sources.pop(subject)
            if not source.restriction:
                return True
            self.sources[subject] = source
        return False

    def _review_sources(self, now: int) -> None:
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

    # ---- what is reported

    def reports(self, now: int) -> list[ObservationReport]:
        """Return what this node reports now, in coarse steps, so that a healthy node seldom changes it.

        Of the store the weight is 1 where there is evidence of the last span; of a source its percentage of
        the well-formed RPCs times a million, and what it does a second; of the node itself the value is its
        failed runs in percent, the weight the mean time of a run; of the level the value is in thousandths.
        """
        level = LEVEL_STEP_THOUSANDTHS * round(LEVEL_STEPS * self._level)
        reports = [ObservationReport(ZONE_SUBJECT, self.zone, 0), ObservationReport(LEVEL_SUBJECT, level, 0)]
        if self._store:
            is_fresh = now - self._store_seen_at <= self.config.observation_span
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
        restriction = source.restriction or Restriction.NONE  # a restriction, as `_worst_sources` chose it
        all_rpcs = max(1, self.rpcs.sums[0])
        rpcs = SourceCounts(*source.sums.sums).rpcs
        percent = min(100, 100 * rpcs // all_rpcs)
        rate = min(MILLION - 1, source.worst_count * MILLION // self.config.source_span)
        return ObservationReport(subject, restriction, percent * MILLION + rate)
