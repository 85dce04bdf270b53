"""The rule that makes decisions of reports.

Pure, without memory: the same reports give the same decisions at everybody, whatever was decided before. So
after a cut heals there is nothing to settle but which reports are there. What must stay in force for
a while is kept by active_decisions.py.
"""

from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from statistics import median, median_low
from typing import NamedTuple

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.observations import MILLION
from finchcart.consensus.subjects import (
    EJECTED,
    LEVEL_SUBJECT,
    STORE_SUBJECT,
    ZONE_SUBJECT,
    Restriction,
    StoreHealth,
    SubjectKind,
    is_source,
    kind_of,
)

Reports = Mapping[int, Sequence[ObservationReport]]  # id of a member -> what it reports
Zones = Mapping[int, int]  # id of a member -> hash of its zone


class Decision(NamedTuple):
    """What the fleet decides of one subject."""

    value: int
    votes: int  # reports for it
    voters: int  # of how many that could know


def decide(reports: Reports, config: ConsensusConfig, member_count: int) -> dict[int, Decision]:
    """Return subject -> decision, from the reports of `member_count` members of the fleet."""
    zones = {who: report.value for who, report in _reports_of(reports, ZONE_SUBJECT)}
    decisions: dict[int, Decision] = {}
    store = decide_store(reports, zones, config)
    if store:
        decisions[STORE_SUBJECT] = store
    decisions.update(decide_sources(reports, zones, config, member_count))
    decisions.update(decide_nodes(reports, config, member_count))
    level = decide_level(reports, config)
    if level:
        decisions[LEVEL_SUBJECT] = level
    return decisions


def _reports_of(reports: Reports, subject: int) -> list[tuple[int, ObservationReport]]:
    return [
        (who, report) for who, of_one in reports.items() for report in of_one if report.subject == subject
    ]


def _are_enough(voters: Collection[int], zones: Zones, config: ConsensusConfig) -> bool:
    return len(voters) >= config.min_reports and len({zones.get(who) for who in voters}) >= config.min_zones


def decide_store(reports: Reports, zones: Zones, config: ConsensusConfig) -> Decision | None:
    """Decide on the store: those who called it lately vote; where too few did, all who reported it."""
    of_store = dict(_reports_of(reports, STORE_SUBJECT))
    votes = {who: value for who, (_, value, is_fresh) in of_store.items() if is_fresh}
    if len(votes) < config.min_reports:
        votes = {who: value for who, (_, value, _) in of_store.items()}
    for health in (StoreHealth.DOWN, StoreHealth.SLOW):
        voters = [who for who, value in votes.items() if value >= health]
        # More than that part: where two halves differ, neither speaks for all.
        if _are_enough(voters, zones, config) and len(voters) > config.store_quorum * len(votes):
            return Decision(health, len(voters), len(votes))
    working = sum(value == StoreHealth.WORKING for value in votes.values())
    if working >= config.min_reports:
        return Decision(StoreHealth.WORKING, working, len(votes))
    return None


def decide_sources(
    reports: Reports, zones: Zones, config: ConsensusConfig, member_count: int
) -> dict[int, Decision]:
    """Decide which sources are restricted, those reported by most nodes first."""
    by_source: dict[int, dict[int, ObservationReport]] = {}
    for who, of_one in reports.items():
        for report in of_one:
            if is_source(report.subject):
                by_source.setdefault(report.subject, {})[who] = report
    required = config.required_reports(member_count)
    percent_left = 100 * config.max_blocked_fraction
    decisions = {}
    for source, by_member in sorted(by_source.items(), key=lambda item: (-len(item[1]), item[0])):
        if len(by_member) < required or not _are_enough(by_member, zones, config):
            continue
        # Guards against rejecting much of all RPCs: what this source carries counts as the median of those
        # who report it have it.
        percent = median(weight // MILLION for _, _, weight in by_member.values())
        blocking = sum(value == Restriction.BLOCKED for _, value, _ in by_member.values())
        if blocking >= required and percent <= percent_left:
            percent_left -= percent
            decisions[source] = Decision(Restriction.BLOCKED, blocking, member_count)
        elif percent <= 100 * config.max_blocked_fraction:
            decisions[source] = Decision(Restriction.THROTTLED, len(by_member), member_count)
    return decisions


def median_without(values: Sequence[float], value: float) -> float:
    """Return the median of the sorted `values` without one that is `value`, with no sort for each node."""
    removed = bisect_left(values, value)
    count = len(values) - 1

    def pick(index: int) -> float:
        return values[index + (index >= removed)]

    middle = count // 2
    return pick(middle) if count % 2 else (pick(middle - 1) + pick(middle)) / 2


def decide_nodes(reports: Reports, config: ConsensusConfig, member_count: int) -> dict[int, Decision]:
    """Decide which nodes are ejected: outliers, by their own numbers against the median of the others."""
    by_member = {
        who: report
        for who, of_one in reports.items()
        for report in of_one
        if kind_of(report.subject) == SubjectKind.NODE
    }
    of_nodes = list(by_member.values())
    if len(of_nodes) <= config.min_reports:
        return {}
    all_failed = sorted(percent_failed for _, percent_failed, _ in of_nodes)
    all_times = sorted(time for _, _, time in of_nodes)
    outliers: list[tuple[float, int]] = []  # (negative distance, subject): the farthest first
    for node, percent_failed, time in of_nodes:
        usual_failed = median_without(all_failed, percent_failed)
        usual_time = median_without(all_times, time)
        if percent_failed >= 100 * config.failed_fraction and usual_failed < 50 * config.failed_fraction:
            outliers.append((-percent_failed, node))
        elif usual_time and time >= config.slow_factor * usual_time:
            outliers.append((-time / usual_time, node))
    others = len(of_nodes) - 1
    most = int(config.max_ejected_fraction * member_count)
    return {node: Decision(EJECTED, others, others) for _, node in sorted(outliers)[:most]}


def decide_level(reports: Reports, config: ConsensusConfig) -> Decision | None:
    """Decide on the level of load shedding: the lower median, which fewer than half cannot move."""
    levels = [report.value for _, report in _reports_of(reports, LEVEL_SUBJECT)]
    if len(levels) < config.min_reports:
        return None
    level = median_low(levels)
    return Decision(level, sum(each >= level for each in levels), len(levels)) if level else None


class FaultThresholds(NamedTuple):
    """How many wrong or lying nodes it takes to move a decision of each kind."""

    store: int
    source: int
    level: int
    node: int


def fault_thresholds(config: ConsensusConfig, member_count: int) -> FaultThresholds:
    """Return how many wrong or lying nodes of `member_count` it takes, by the rule alone."""
    half = member_count // 2
    return FaultThresholds(
        store=max(config.min_reports, int(config.store_quorum * member_count) + 1),
        source=config.required_reports(member_count),
        level=half,
        node=half,
    )
