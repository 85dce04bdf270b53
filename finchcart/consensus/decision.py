"""The rules that derive the fleet's decisions from the members' reports.

Pure functions without state: the same reports give the same decisions on every node, whatever was decided
before. So after a network partition heals, nodes agree again as soon as they have the same reports.
active_decisions.py keeps decisions in force for their hold time.
"""

from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from statistics import median, median_low
from typing import NamedTuple

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.messages import ObservationReport
from finchcart.consensus.observations import PERCENT_FACTOR
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

Reports = Mapping[int, Sequence[ObservationReport]]  # a member's reports, by member id
Zones = Mapping[int, int]  # the hash of a member's zone, by member id


class Decision(NamedTuple):
    """The fleet's decision on one subject."""

    value: int
    votes: int  # number of members whose reports support the value
    voters: int  # number of members that could have supported it


def decide(reports: Reports, config: ConsensusConfig, member_count: int) -> dict[int, Decision]:
    """Return the decisions by subject, from the reports in a fleet of `member_count` members."""
    zones = {member_id: report.value for member_id, report in _reports_on(reports, ZONE_SUBJECT)}
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


def _reports_on(reports: Reports, subject: int) -> list[tuple[int, ObservationReport]]:
    return [
        (member_id, report)
        for member_id, member_reports in reports.items()
        for report in member_reports
        if report.subject == subject
    ]


def _are_enough(voters: Collection[int], zones: Zones, config: ConsensusConfig) -> bool:
    return (
        len(voters) >= config.min_reports
        and len({zones.get(member_id) for member_id in voters}) >= config.min_zones
    )


def decide_store(reports: Reports, zones: Zones, config: ConsensusConfig) -> Decision | None:
    """Decide on the health of the store.

    Members that called the store within their observation span vote; if they are too few, all members that
    report on the store do.
    """
    store_reports = dict(_reports_on(reports, STORE_SUBJECT))
    votes = {member_id: value for member_id, (_, value, is_fresh) in store_reports.items() if is_fresh}
    if len(votes) < config.min_reports:
        votes = {member_id: value for member_id, (_, value, _) in store_reports.items()}
    for health in (StoreHealth.DOWN, StoreHealth.SLOW):
        voters = [member_id for member_id, value in votes.items() if value >= health]
        # More than the quorum, not equal to it: of two halves that differ, neither decides for the fleet.
        if _are_enough(voters, zones, config) and len(voters) > config.store_quorum * len(votes):
            return Decision(health, len(voters), len(votes))
    working = sum(value == StoreHealth.WORKING for value in votes.values())
    if working >= config.min_reports:
        return Decision(StoreHealth.WORKING, working, len(votes))
    return None


def decide_sources(
    reports: Reports, zones: Zones, config: ConsensusConfig, member_count: int
) -> dict[int, Decision]:
    """Decide which sources are restricted; sources that more nodes report are considered first."""
    by_source: dict[int, dict[int, ObservationReport]] = {}
    for member_id, member_reports in reports.items():
        for report in member_reports:
            if is_source(report.subject):
                by_source.setdefault(report.subject, {})[member_id] = report
    required = config.required_reports(member_count)
    percent_left = 100 * config.max_blocked_fraction
    decisions = {}
    for source, by_member in sorted(by_source.items(), key=lambda item: (-len(item[1]), item[0])):
        if len(by_member) < required or not _are_enough(by_member, zones, config):
            continue
        # The loop bounds the fraction of all RPCs that decisions reject. A source's fraction is taken
        # to be the median of the percentages that its reporters give.
        percent = median(weight // PERCENT_FACTOR for _, _, weight in by_member.values())
        blocking = sum(value == Restriction.BLOCKED for _, value, _ in by_member.values())
        if blocking >= required and percent <= percent_left:
            percent_left -= percent
            decisions[source] = Decision(Restriction.BLOCKED, blocking, member_count)
        elif percent <= 100 * config.max_blocked_fraction:
            decisions[source] = Decision(Restriction.THROTTLED, len(by_member), member_count)
    return decisions


def median_without(values: Sequence[float], value: float) -> float:
    """Return the median of the sorted `values` less one occurrence of `value`, without sorting again."""
    removed = bisect_left(values, value)
    count = len(values) - 1

    def pick(index: int) -> float:
        return values[index + (index >= removed)]

    middle = count // 2
    return pick(middle) if count % 2 else (pick(middle - 1) + pick(middle)) / 2


def decide_nodes(reports: Reports, config: ConsensusConfig, member_count: int) -> dict[int, Decision]:
    """Decide which nodes are ejected: outliers in failed runs or run time against the others' median."""
    by_member = {
        member_id: report
        for member_id, member_reports in reports.items()
        for report in member_reports
        if kind_of(report.subject) == SubjectKind.NODE
    }
    node_reports = list(by_member.values())
    if len(node_reports) <= config.min_reports:
        return {}
    all_failed = sorted(percent_failed for _, percent_failed, _ in node_reports)
    all_times = sorted(time for _, _, time in node_reports)
    # Each outlier is (the negated percentage of failed runs or multiple of the median run time, subject), so
    # that the worst outliers sort first.
    outliers: list[tuple[float, int]] = []
    for node, percent_failed, time in node_reports:
        median_failed = median_without(all_failed, percent_failed)
        median_time = median_without(all_times, time)
        if percent_failed >= 100 * config.failed_fraction and median_failed < 50 * config.failed_fraction:
            outliers.append((-percent_failed, node))
        elif median_time and time >= config.slow_factor * median_time:
            outliers.append((-time / median_time, node))
    others = len(node_reports) - 1
    max_ejected = int(config.max_ejected_fraction * member_count)
    return {node: Decision(EJECTED, others, others) for _, node in sorted(outliers)[:max_ejected]}


def decide_level(reports: Reports, config: ConsensusConfig) -> Decision | None:
    """Decide on the load-shedding level: the lower median, which fewer than half of the nodes cannot move."""
    levels = [report.value for _, report in _reports_on(reports, LEVEL_SUBJECT)]
    if len(levels) < config.min_reports:
        return None
    level = median_low(levels)
    return Decision(level, sum(each >= level for each in levels), len(levels)) if level else None


class FaultThresholds(NamedTuple):
    """The number of faulty or lying nodes that can change a decision of each kind."""

    store: int
    source: int
    level: int
    node: int


def fault_thresholds(config: ConsensusConfig, member_count: int) -> FaultThresholds:
    """Return the thresholds in a fleet of `member_count`, from the decision rules alone."""
    half = member_count // 2
    return FaultThresholds(
        store=max(config.min_reports, int(config.store_quorum * member_count) + 1),
        source=config.required_reports(member_count),
        level=half,
        node=half,
    )
