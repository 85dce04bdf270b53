"""Watching: what the settings of another shape would have decided, beside what is decided.

Owns a second `Control` with the watched settings and a chance of its own, on a port that only notes, and the
counts of where it decided otherwise. `Watch` is called like a `Control` and hands everything to the one that
decides first; nothing of the second reaches a wire. It must never change what the first does: a fault in the
second is logged and ends the watching alone. What it holds is bounded by what the first has open, and by the
second's own memory of tokens.

What the counts can't show: the course that was not taken is not played. The second hears how the first's runs
end, so the work it would have spared or added, what callers would have done after another answer (further
tries, connections) and the health of others under it are missing; an RPC that it would have run and the first
pushed back ends for it at once, one that it paused goes on running. Read the counts as a rate of differing
decisions under today's traffic, not as the traffic after the move.
"""

from collections import Counter

from finchcart.control import OVER, Control
from finchcart.interface import Outcome

TAKEN_WOULD_PUSH_BACK = "taken, would be pushed back"
PUSHED_BACK_WOULD_TAKE = "pushed back, would be taken"
GIVEN_UP = "given up or paused"
ADVICE, TOLD, HEALTH = "advice", "told value", "health"
KINDS = TAKEN_WOULD_PUSH_BACK, PUSHED_BACK_WOULD_TAKE, GIVEN_UP, ADVICE, TOLD, HEALTH


class Notes:
    """A port that notes what is answered and told, and passes on to `port` where there is one."""

    def __init__(self, port=None):
        self.port = port
        self.pushed, self.given_up, self.told, self.good = {}, set(), None, True
        self.noting = True  # not once the watching ended: nobody would take the notes away

    def push_back(self, index, wait, last):
        if self.noting:
            self.pushed[index] = wait, last
        if self.port:
            self.port.push_back(index, wait, last)

    def abort(self, index):
        if self.noting:
            self.given_up.add(index)
        if self.port:
            self.port.abort(index)

    def stop(self, index):
        if self.noting:
            self.given_up.add(index)
        if self.port:
            self.port.stop(index)

    def level(self, value):
        self.told = value
        if self.port:
            self.port.level(value)

    def credit(self, value):
        self.told = value
        if self.port:
            self.port.credit(value)

    def health(self, good, stored):
        self.good = good
        if self.port:
            self.port.health(good, stored)

    def __getattr__(self, name):
        """All else that a port can do."""
        return getattr(self.port, name) if self.port else lambda *_: None


class Handle:
    """The handle of one RPC: what happens to it is told to both."""

    __slots__ = ("watch", "index", "first", "second")

    def __init__(self, watch, index):
        self.watch, self.index, self.first, self.second = watch, index, None, None

    def tell(self, what, now, *args):
        getattr(self.first, what)(now, *args)
        if self.second is not None:
            self.watch.second_hears(lambda: getattr(self.second, what)(now, *args))
        self.watch.settle(now, self)

    def ended(self, now, outcome, spent):
        self.tell("ended", now, outcome, spent)

    def gone(self, now):
        self.tell("gone", now)

    def at_call(self, now):
        self.tell("at_call", now)

    def call_ended(self, now, outcome, spent):
        self.tell("call_ended", now, outcome, spent)


class Watch:
    """Called like a `Control`. `period`: between lines, in microseconds; `log(text)`: one line."""

    def __init__(self, port, settings, watched, seed, period, log):
        self.notes, self.second_notes = Notes(port), Notes()
        self.first, self.period, self.log = Control(self.notes, settings, seed), period, log
        self.second, self.told_at = None, 0
        self.counts, self.seen = Counter(), 0
        self.handles = {}  # index -> handle, of what the first has open

        def begin():
            self.second = Control(self.second_notes, watched, seed)

        self.second_hears(begin, starts=True)

    def second_hears(self, act, starts=False):
        """Guards the first against faults of the second: they end the watching alone."""
        if self.second is None and not starts:
            return
        try:
            act()
        except Exception as error:
            self.second, self.notes.noting = None, False
            for left in (self.handles, self.notes.pushed, self.notes.given_up):
                left.clear()
            self.log(f"watching ended by a fault: {type(error).__name__}: {error}"[:200])

    def both(self, what, now, *args):
        getattr(self.first, what)(now, *args)
        self.second_hears(lambda: getattr(self.second, what)(now, *args))
        for handle in list(self.handles.values()):
            self.settle(now, handle)

    def start(self, now):
        self.told_at = now
        self.both("start", now)

    def anew(self, now, cold):
        self.both("anew", now, cold)

    def drain(self, now, kill_at):
        self.both("drain", now, kill_at)

    def wake(self, now, name, gauges):
        self.both("wake", now, name, dict(gauges))
        if self.second is None:
            return
        self.counts[TOLD] += self.notes.told != self.second_notes.told
        self.counts[HEALTH] += self.notes.good != self.second_notes.good
        if now - self.told_at >= self.period:
            self.told_at = now
            self.log(f"watching: of {self.seen} RPCs, would differ: "
                     + ", ".join(f"{kind} {self.counts[kind]}" for kind in KINDS))
            self.counts, self.seen = Counter(), 0

    def arrive(self, now, index, *args, **more):
        handle = Handle(self, index)
        handle.first = self.first.arrive(now, index, *args, **more)
        if self.second is None:
            return handle
        self.seen += 1
        self.handles[index] = handle

        def take():
            handle.second = self.second.arrive(now, index, *args, **more)

        self.second_hears(take)
        for other in list(self.handles.values()):  # an arrival may push others out of the hold
            self.settle(now, other)
        return handle

    def settle(self, now, handle):
        """Once it is over for the first: counts how the second differed, and ends it there too."""
        index, second = handle.index, handle.second
        if handle.first.state != OVER or self.handles.pop(index, None) is None:
            return
        pushed, would = self.notes.pushed.pop(index, None), self.second_notes.pushed.pop(index, None)
        counts = self.counts
        counts[TAKEN_WOULD_PUSH_BACK] += pushed is None and would is not None
        counts[PUSHED_BACK_WOULD_TAKE] += pushed is not None and would is None
        counts[ADVICE] += pushed is not None and would is not None and pushed != would
        counts[GIVEN_UP] += (index in self.notes.given_up) != (index in self.second_notes.given_up)
        self.notes.given_up.discard(index)
        if second.state != OVER:
            self.second_hears(lambda: second.gone(now))
        if second.state != OVER:
            self.second_hears(lambda: second.ended(now, Outcome.MOOT, 0))
        for notes in (self.notes, self.second_notes):
            notes.pushed.pop(index, None)
            notes.given_up.discard(index)
