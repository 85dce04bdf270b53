"""One node's opinions, from what its core saw.

Owns the evidence of the last spans and its bounds; it must never hear of other nodes' opinions. Pure but for
what it remembers: the same evidence at the same times gives the same opinions. Times are whole microseconds.

Evidence is a map, told once a look: `calls`: (ok, failed, time of the ok ones together), `runs`: (ended,
failed, time together), `rpcs`: taken, `sources`: subject -> (bad, over, rpcs), `level`: 0 to 1. An opinion is
(subject, value, weight), see `State.opinions`.
"""

from collections import deque
from math import log2

from finchcart.consensus.subjects import (
    DOWN,
    LEVEL_ITSELF,
    NUMBER,
    OUT,
    SLOW,
    SLOWED,
    STORE_ITSELF,
    WORKING,
    ZONE_ITSELF,
    kind_of,
)

MILLION = 10**6


class Sums:
    """Sums of tuples over a sliding time; bounded by the looks in it."""

    def __init__(self, span, width):
        self.span, self.items, self.sum = span, deque(), [0] * width

    def add(self, now, item):
        if any(item):
            self.items.append((now, item))
            self.sum = [a + b for a, b in zip(self.sum, item)]
        self.fade(now)

    def fade(self, now):
        while self.items and self.items[0][0] <= now - self.span:
            _, item = self.items.popleft()
            self.sum = [a - b for a, b in zip(self.sum, item)]


class Source:
    """What one source did."""

    def __init__(self, figures):
        self.sums = Sums(figures.bad_span, 3)  # bad, over a rate, RPCs
        self.said, self.until, self.worst = None, 0, 0


class State:
    """`opinions(now)` are those of this moment."""

    def __init__(self, me, figures, zone=0):
        self.me, self.figures, self.zone = me, figures, zone
        self.calls, self.runs = Sums(figures.span, 3), Sums(figures.span, 3)
        self.rpcs = Sums(figures.bad_span, 1)
        self.sources = {}
        self.usual = None  # time of a call, as it was while the store worked
        self.store, self.store_at = None, 0  # value, and when there was evidence last
        self.node, self.node_at = None, 0
        self.level = 0.0

    def forget(self):
        """After a pause: what was seen is of before."""
        usual = self.usual
        self.__init__(self.me, self.figures, self.zone)
        self.usual = usual

    def see(self, now, evidence):
        figures = self.figures
        self.calls.add(now, evidence.get("calls", (0, 0, 0)))
        self.runs.add(now, evidence.get("runs", (0, 0, 0)))
        self.rpcs.add(now, (evidence.get("rpcs", 0),))
        self.level = evidence.get("level", 0.0)
        self.see_store(now, any(evidence.get("calls", ())[:2]))
        ended, failed, time = self.runs.sum
        if ended >= figures.runs:
            self.node, self.node_at = (round(100 * failed / ended), time // ended), now
        elif self.node and now - self.node_at > figures.node_hold:
            self.node = None
        for one, item in evidence.get("sources", {}).items():
            self.see_source(now, one, item)
        self.look_at_sources(now)

    def see_store(self, now, fresh):
        ok, failed, time = self.calls.sum
        few = self.store != DOWN  # of a store that is down one trial call tells
        if fresh and ok + failed >= (self.figures.calls if few else 1):
            mean = time / ok if ok else 0
            if failed >= self.figures.failed * (ok + failed):
                value = DOWN
            elif self.usual and mean > self.figures.slower * self.usual:
                value = SLOW
            else:
                value = WORKING
                self.usual = mean if self.usual is None else self.usual + (mean - self.usual) / 64
            self.store, self.store_at = value, now
        elif self.store and now - self.store_at > self.figures.life:
            self.store = None

    def see_source(self, now, one, item):
        source = self.sources.get(one)
        if source is None:
            if len(self.sources) >= self.figures.subjects and not self.make_room():
                return
            source = self.sources[one] = Source(self.figures)
        source.sums.add(now, item)

    def make_room(self):
        """Guards against memory and time that sources without end take: of a few that are there longest, the
        first of which nothing is said goes. False where something is said of each."""
        for _ in range(8):
            one = next(iter(self.sources))
            source = self.sources.pop(one)
            if not source.said:
                return True
            self.sources[one] = source
        return False

    def look_at_sources(self, now):
        for one, source in list(self.sources.items()):
            source.sums.fade(now)
            bad, over, _ = source.sums.sum
            if bad >= self.figures.bad:
                source.said, source.until, source.worst = OUT, now + self.figures.shut, bad
            elif over >= self.figures.bad and kind_of(one) == NUMBER and source.said != OUT:
                source.said, source.until, source.worst = SLOWED, now + self.figures.shut, over
            if source.said and now >= source.until:
                source.said = None
            if not source.said and not source.sums.items:
                del self.sources[one]

    def opinions(self, now):
        """(subject, value, weight): of the store the weight is 1 where there is evidence of the last span; of
        a source its percent of the well-formed RPCs times a million, and what it does a second; of the node
        itself the value is its failed runs in percent, the weight the mean time of a run; of the level
        thousandths. Coarse, so that a node that is well says the same for long."""
        out = [(ZONE_ITSELF, self.zone, 0), (LEVEL_ITSELF, 50 * round(20 * self.level), 0)]
        if self.store:
            out.append((STORE_ITSELF, self.store, int(now - self.store_at <= self.figures.span)))
        if self.node:
            failed, time = self.node
            out.append((self.me, 10 * round(failed / 10), round(2 ** (round(2 * log2(max(1, time))) / 2))))
        said = sorted(
            (one for one, source in self.sources.items() if source.said),
            key=lambda one: (-self.sources[one].worst, one),
        )
        whole = max(1, self.rpcs.sum[0])
        for one in said[: self.figures.opinions]:
            source = self.sources[one]
            percent = min(100, 100 * source.sums.sum[2] // whole)
            rate = source.worst * MILLION // self.figures.bad_span
            out.append((one, source.said, percent * MILLION + min(MILLION - 1, rate)))
        return out
