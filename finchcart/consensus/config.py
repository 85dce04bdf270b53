"""The configuration of consensus, in one type, and the bounds that follow from it.

Owns what operators set; filled once from the settings file, whose keys the fields are named after (without
the unit). It must never hold what is learnt while running. Times are whole microseconds, parts are from 0 to
1.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

from finchcart.membership.config import MembershipConfig

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class ConsensusConfig:
    """Spans, thresholds and bounds; see docs/operate/verdicts.md for how to choose them."""

    zone: str = ""  # where this node stands; reports from `zones` of them are needed
    zones: int = 1
    look: int = 250 * MS  # the core hands on what it saw so often
    span: int = 2 * SECOND  # of calls and runs that a report rests on
    pace: int = 300 * MS  # between two changes of the own reports
    life: int = 15 * SECOND  # a report that is not confirmed for so long is void
    quiet: int = 3 * SECOND  # after a suspension this node reports nothing for so long
    count: int = 2  # reports that a decision needs at least
    part: float = 0.5  # of those that could know, and more: store
    hold: int = 2 * SECOND  # a decision stands so long at least; twice as long each time it comes back soon
    hold_most: int = 16 * SECOND
    calls: int = 4  # in a span, for a report of the store
    failed: float = 0.5  # of calls, or of runs, that failed: down, or failing
    slower: float = 4.0  # times the usual time of calls, or the median of other nodes' runs: slow
    trials: int = 4  # calls of the whole fleet to a store that is down
    trial: int = 1 * SECOND  # the longest of these
    rise: int = 500 * MS  # each so long twice as many calls, once it is back
    bad: int = 20  # messages that can't be read and connections without an RPC, in `bad_span`
    bad_span: int = 10 * SECOND
    source_part: float = 0.25  # of the members that have to report a source, and at least `count`
    shut: int = 30 * SECOND  # a source is reported for so long after the last that was seen
    slowed: int = 5  # RPCs a second that each node admits of a source that is throttled
    most_out: float = 0.2  # of all RPCs: what comes from sources blocked by reports together
    runs: int = 20  # in a span, for a report of a node
    out_part: float = 0.2  # of the members that may be ejected at once
    node_hold: int = 30 * SECOND  # an ejected node that runs nothing keeps its numbers for so long
    level_step: float = 0.2  # a node may be laxer than the fleet's level by this
    opinions: int = 12  # reports of sources, by one node: the worst
    subjects: int = 512  # sources looked at by a node; the one that did least goes when full
    words: int = 16  # overrides of operators; the one that ends first goes when full
    again: int = 30 * SECOND  # a decision that comes back within this stands for longer each time

    def acts_within(
        self, membership: MembershipConfig, count: int, loss: float = 0.0, lateness: int = 0
    ) -> int:
        """Microseconds from the moment that enough nodes have the evidence until all connected nodes act.

        The sum of the core's look, the fleet's thread, the pace of changes, dissemination, the thread at the
        other end and the core's next timer.

        Arguments:
            membership: the configuration of membership.
            count: of members.
            loss: part of messages lost, 0 to 1.
            lateness: microseconds by which ticks run late.
        """
        dissemination = membership.dissemination_time(count, loss)
        if count > membership.watch + 1:
            # Passed on with the usual heartbeats, to two each: a period a step.
            steps = (count // membership.watch).bit_length() + 2
            dissemination += steps * membership.period
        return self.look + self.pace + dissemination + 3 * membership.tick + 3 * lateness

    def store_within(
        self, membership: MembershipConfig, count: int, loss: float = 0.0, lateness: int = 0
    ) -> int:
        """Microseconds from a fault of the store until all connected nodes act: the span has to fill
        first."""
        return self.span + self.trial + self.acts_within(membership, count, loss, lateness)

    def back_within(
        self,
        membership: MembershipConfig,
        count: int,
        recurrences: int = 0,
        loss: float = 0.0,
        lateness: int = 0,
    ) -> int:
        """Microseconds from the store's return until calls rise again everywhere; `recurrences`: how often it
        fell lately."""
        return (
            2 * self.span + self.hold_time(recurrences) + self.acts_within(membership, count, loss, lateness)
        )

    def hold_time(self, recurrences: int) -> int:
        """Microseconds that a decision stands at least, where it came back so often lately."""
        return min(self.hold << recurrences, self.hold_most)

    def staleness_bound(self) -> int:
        """Microseconds: the oldest report that a decision can rest on."""
        return self.life

    def required_reports(self, member_count: int) -> int:
        """Reports that a decision on a source needs, of so many members."""
        return max(self.count, ceil(self.source_part * member_count))

    def excess_messages(self, per_second: int, member_count: int, within: int) -> int:
        """What a source can have sent to all nodes in the microseconds between the evidence and the last node
        that acts."""
        return ceil(per_second * member_count * within / SECOND)


class FieldProblem(NamedTuple):
    """What is wrong with a field of the configuration, or seldom meant."""

    field: str  # its key in the settings file
    reason: str


def config_errors(config: ConsensusConfig) -> Iterator[FieldProblem]:
    """What cannot be used."""
    if config.part <= 0:
        yield FieldProblem("part", "0 lets one node alone speak for all")
    if config.life < 3 * config.span:
        yield FieldProblem(
            "life_ms",
            f"{config.life // MS} ms is less than 3 x span_ms = {3 * config.span // MS} ms: "
            "opinions would be void before they are confirmed",
        )
    if config.hold_most < config.hold:
        yield FieldProblem(
            "hold_most_ms", f"{config.hold_most // MS} ms is less than hold_ms, {config.hold // MS} ms"
        )


def config_warnings(config: ConsensusConfig) -> Iterator[FieldProblem]:
    """What can be used, but is seldom meant."""
    if config.count < 2:
        yield FieldProblem("count", "1: one node that is wrong, or lies, shuts a source out for all")
    if config.most_out > 0.5:
        yield FieldProblem(
            "most_out", f"{config.most_out}: opinions may turn away more than half of all RPCs"
        )
