"""All figures of verdicts, in one type, and the bounds that follow from them.

Owns what operators set; filled once from the settings file. It must never hold what is learnt while running.
Times are whole microseconds, parts are from 0 to 1.
"""

from dataclasses import dataclass
from math import ceil

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class Figures:
    zone: str = ""  # where this node stands; opinions from `zones` of them are needed
    zones: int = 1
    look: int = 250 * MS  # the core tells what it saw so often
    span: int = 2 * SECOND  # of calls and runs that an opinion rests on
    pace: int = 300 * MS  # between two changes of the own opinions
    life: int = 15 * SECOND  # an opinion that is not confirmed for so long is void
    quiet: int = 3 * SECOND  # after a pause this node says nothing for so long
    count: int = 2  # opinions that a verdict needs at least
    part: float = 0.5  # of those that could know, and more: store
    hold: int = 2 * SECOND  # a verdict stands so long at least; twice as long each time it comes back soon
    hold_most: int = 16 * SECOND
    calls: int = 4  # in a span, for an opinion of the store
    failed: float = 0.5  # of calls, or of runs, that failed: down, or failing
    slower: float = 4.0  # times the usual time of calls, or the median of other nodes' runs: slow
    trials: int = 4  # calls of the whole fleet to a store that is down
    trial: int = 1 * SECOND  # the longest of these
    rise: int = 500 * MS  # each so long twice as many calls, once it is back
    bad: int = 20  # messages that can't be read and connections without an RPC, in `bad_span`
    bad_span: int = 10 * SECOND
    source_part: float = 0.25  # of the members that have to say so of a source, and at least `count`
    shut: int = 30 * SECOND  # an opinion on a source stands so long after the last that was seen
    slowed: int = 5  # RPCs a second that each node takes of a source that is slowed
    most_out: float = 0.2  # of all RPCs: what comes from sources shut out by opinions together
    runs: int = 20  # in a span, for an opinion of a node
    out_part: float = 0.2  # of the members that may be out at once
    node_hold: int = 30 * SECOND  # a node that is out and runs nothing keeps its figures for so long
    level_step: float = 0.2  # a node may be laxer than the fleet's level by this
    opinions: int = 12  # on sources, of one node: the worst
    subjects: int = 512  # sources looked at by a node; the one that did least goes when full
    words: int = 16  # of operators; the one that ends first goes when full
    again: int = 30 * SECOND  # a verdict that comes back within this stands for longer each time

    def acts_within(self, members, count, loss=0.0, late=0):
        """From the moment that enough nodes have the evidence until all connected nodes act: the core's look,
        the fleet's thread, the pace of changes, the way, the thread at the other end, the core's next wake.
        `members`: figures of membership; `count`: of members."""
        if count <= members.watch + 1:
            way = members.spread(count, loss)
        else:
            # Passed on with the usual beats, to two each: a period a step.
            steps = (count // members.watch).bit_length() + 2
            way = members.spread(count, loss) + steps * members.period
        return self.look + self.pace + way + 3 * members.tick + 3 * late

    def store_within(self, members, count, loss=0.0, late=0):
        """From a fault of the store until all connected nodes act: the span has to fill with it first."""
        return self.span + self.trial + self.acts_within(members, count, loss, late)

    def back_within(self, members, count, again=0, loss=0.0, late=0):
        """From the store's return until calls rise again everywhere: `again`: how often it fell lately."""
        hold = min(self.hold << again, self.hold_most)
        return 2 * self.span + hold + self.acts_within(members, count, loss, late)

    def stale(self):
        """The oldest opinion that a verdict can rest on."""
        return self.life

    def needed(self, members):
        """Opinions that a verdict on a source needs, of so many members."""
        return max(self.count, ceil(self.source_part * members))

    def beyond(self, per_second, members, within):
        """What a source can have sent to all nodes between the evidence and the last node that acts."""
        return ceil(per_second * members * within / SECOND)


def mistakes(figures):
    """(field, reason) of what can't be held."""
    if figures.part <= 0:
        yield "part", "0 lets one node alone speak for all"
    if figures.life < 3 * figures.span:
        yield (
            "life_ms",
            (
                f"{figures.life // MS} ms is less than 3 x span_ms = {3 * figures.span // MS} ms: "
                "opinions would be void before they are confirmed"
            ),
        )
    if figures.hold_most < figures.hold:
        yield "hold_most_ms", f"{figures.hold_most // MS} ms is less than hold_ms, {figures.hold // MS} ms"


def warnings(figures):
    """What can be held, but is seldom meant."""
    if figures.count < 2:
        yield "count", "1: one node that is wrong, or lies, shuts a source out for all"
    if figures.most_out > 0.5:
        yield "most_out", f"{figures.most_out}: opinions may turn away more than half of all RPCs"
