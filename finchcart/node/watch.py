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

from finchcart.control import Control
from finchcart.interface import Outcome
from finchcart.rpc_record import RpcState

TAKEN_WOULD_PUSH_BACK = "taken, would be pushed back"
PUSHED_BACK_WOULD_TAKE = "pushed back, would be taken"
GIVEN_UP = "given up or paused"
ADVICE, TOLD, HEALTH = "advice", "told value", "health"
KINDS = TAKEN_WOULD_PUSH_BACK, PUSHED_BACK_WOULD_TAKE, GIVEN_UP, ADVICE, TOLD, HEALTH


class Notes:
    """A port that notes what is answered and told, and passes it all on to `port` where there is one."""

    def __init__(self, port=None):
        self.port = port
        self.pushed, self.given_up, self.told, self.good = {}, set(), None, True  # by index, but what is told

    def __getattr__(self, verb):
        """Any verb of a port."""

        def act(*args):
            self.note(verb, args)
            if self.port:
                getattr(self.port, verb)(*args)

        return act

    def note(self, verb, args):
        if verb == "reject":
            self.pushed[args[0]] = args[1:]
        elif verb in ("fail", "stop"):
            self.given_up.add(args[0])
        elif verb in ("set_shed_level", "set_credit"):
            self.told = args[0]
        elif verb == "set_health":
            self.good = args[0]

    def take(self, index):
        """What was noted of an RPC, and no longer is: (pushed back how, or None; given up)."""
        given_up = index in self.given_up
        self.given_up.discard(index)
        return self.pushed.pop(index, None), given_up


def told_to_both(what):
    return lambda handle, now, *args: handle.watch.both(handle.first, handle.second, what, now, *args)


class Handle:
    """The handle of one RPC: what happens to it is told to both."""

    __slots__ = ("watch", "first", "second")
    run_ended, caller_gone, awaiting_call, call_ended = map(
        told_to_both, ("run_ended", "caller_gone", "awaiting_call", "call_ended")
    )


class Watch:
    """Called like a `Control`. `period`: between lines, in microseconds; `log(text)`: one line."""

    def __init__(self, port, settings, watched, seed, period, log):
        self.notes, self.second_notes = Notes(port), Notes()
        self.first, self.period, self.log = Control(self.notes, settings, seed), period, log
        self.told_at = 0
        self.counts, self.seen = Counter(), 0
        self.handles = {}  # index -> handle, of what the first has open
        self.second = self.second_hears(Control, self.second_notes, watched, seed)  # None: watching is over

    def second_hears(self, act, *args, **more):
        """Guards the first against faults of the second: they end the watching alone."""
        try:
            return act(*args, **more)
        except Exception as error:
            self.second = None
            self.handles.clear()
            # Nobody would take further notes away: none are made from here on.
            self.notes.pushed, self.notes.given_up, self.notes.note = {}, set(), lambda verb, args: None
            self.log(f"watching ended by a fault: {type(error).__name__}: {error}"[:200])

    def both(self, first, second, what, now, *args):
        getattr(first, what)(now, *args)
        if self.second:
            self.second_hears(getattr(second, what), now, *args)
        self.settle(now)

    def start(self, now):
        self.told_at = now
        self.both(self.first, self.second, "start", now)

    def worker_pool_restarted(self, now, cold):
        self.both(self.first, self.second, "worker_pool_restarted", now, cold)

    def drain(self, now, kill_at):
        self.both(self.first, self.second, "drain", now, kill_at)

    def on_timer(self, now, name, gauges):
        self.both(self.first, self.second, "on_timer", now, name, gauges)
        self.counts[TOLD] += self.notes.told != self.second_notes.told
        self.counts[HEALTH] += self.notes.good != self.second_notes.good
        if self.second and now - self.told_at >= self.period:
            self.told_at = now
            self.log(
                f"watching: of {self.seen} RPCs, would differ: "
                + ", ".join(f"{kind} {self.counts[kind]}" for kind in KINDS)
            )
            self.counts, self.seen = Counter(), 0

    def admit(self, now, index, *args, **more):
        handle = Handle()
        handle.watch, handle.first = self, self.first.admit(now, index, *args, **more)
        handle.second = self.second and self.second_hears(self.second.admit, now, index, *args, **more)
        if self.second:
            self.seen += 1
            self.handles[index] = handle
        self.settle(now)  # an arrival may push others out of the hold
        return handle

    def settle(self, now):
        """What is over for the first: counts how the second differed, and ends it there too."""
        for index in [
            index for index, handle in self.handles.items() if handle.first.state is RpcState.COMPLETED
        ]:
            if not self.second:
                return  # one of those before it was the second's end
            second = self.handles.pop(index).second
            (pushed, given_up), (would, would_give_up) = self.notes.take(index), self.second_notes.take(index)
            self.counts[TAKEN_WOULD_PUSH_BACK] += pushed is None and would is not None
            self.counts[PUSHED_BACK_WOULD_TAKE] += pushed is not None and would is None
            self.counts[ADVICE] += None not in (pushed, would) and pushed != would
            self.counts[GIVEN_UP] += given_up != would_give_up
            for act, *more in ((second.caller_gone,), (second.run_ended, Outcome.NOT_STARTED, 0)):
                if self.second and second.state is not RpcState.COMPLETED:
                    self.second_hears(act, now, *more)
            self.second_notes.take(index)  # of what ended it
