"""Calls and RPCs held to the node's parts of the fleet's limits.

Owns what the node may have in hand or take a second: its floor, and beyond it what it was granted until a
time on the boot clock. Calls in hand are the store's links, asked each time. It must never give out more than
was granted, nor decide which call is made or which RPC gives way: the module does, told how much there is.

`now` is the boot clock in whole microseconds, set by the driver before each turn; the turn's own clock may be
set back, and would lengthen a grant.
"""

from math import ceil

MS, SECOND = 1_000, 1_000_000
PROBE_DEMAND_PERIOD_US = 10 * SECOND  # who called the store since takes part in trying it
SPAN = 250 * MS  # between two looks at how much is asked for


class Limiter:
    """What all kinds have alike. `limit`: see quota/limits.py; `slack`: a call is written so long after this
    turn began, or not at all."""

    def __init__(self, limit, slack, most=1):
        self.limit, self.name, self.slack, self.most = limit, limit.name, slack, most
        self.now_us, self.off = 0, False  # off: the limit is in the settings no more
        self.floor = limit.floor if limit.strict else 0
        self.amount, self.until = 0, 0
        self.told, self.refusals = None, 0

    def set_allowance(self, floor, amount, until):
        if floor is None:
            self.off = True
        else:
            self.off, self.floor, self.amount, self.until = False, floor, amount, until

    def news(self, *said):
        """What is to be told to those that share out, or None where it is what was told last."""
        if said == self.told:
            return None
        self.told = said
        return said


class CallConcurrencyLimiter(Limiter):
    """Calls in hand. What is left of a strict grant is told to the store less the slack, so that the store
    ends the call itself however late this process is then."""

    def left(self):
        """Microseconds that a call beyond the floor may take from here on."""
        return self.until - self.now_us - self.slack - 2 * MS

    def capacity(self, store):
        """Calls that may be in hand now; None: as many as the module likes."""
        if self.off:
            return None
        return self.floor + (self.amount if self.left() > self.slack else 0)

    def try_acquire(self, store):
        """(leased, longest) for one more call: whether it is beyond the floor, and how long it may take there
        (None: as long as the module likes). None where there is no room."""
        if self.off:
            return False, None
        if not self.limit.strict:
            if store.in_flight(False) < self.capacity(store):
                return False, None
        else:
            if store.in_flight(False) < self.floor:
                return False, None
            left = self.left()
            if left > self.slack and store.in_flight(True) < self.amount:
                return True, left
        self.refusals += 1
        return None

    def usage(self, store, standing, first=0):
        """(in hand, wanted, first) beyond the floor where it is strict, else in all."""
        if not self.limit.strict:
            return self.news(store.in_flight(False), max(store.in_flight(False), standing), first)
        return self.news(store.in_flight(True), max(0, standing - self.floor), max(0, first - self.floor))


class ProbeLimiter(CallConcurrencyLimiter):
    """This node's part of the few calls that the whole fleet tries while the store is held to be down. Wanted
    by who called it lately, so that the parts are there when they are needed."""

    def __init__(self, limit, slack, most=1):
        super().__init__(limit, slack, most)
        self.called, self.probing = None, False

    def usage(self, store, standing, first=0):
        in_hand = store.in_flight(False) + store.in_flight(True)
        if standing or in_hand:
            self.called = self.now_us
        wants = int(self.called is not None and self.now_us - self.called < PROBE_DEMAND_PERIOD_US)
        return self.news(in_hand if self.probing else 0, wants, 0)


class RateLimiter(Limiter):
    """So many a second, and at once no more than this node's part of the burst: each of `most` processes has
    one of it, the rest goes with the parts of the rate. A part that grows begins empty. So all nodes together
    never take more than the burst and what the rate gives, in any time."""

    def __init__(self, limit, slack, most=1):
        super().__init__(limit, slack, most)
        self.tokens, self.filled, self.waits = 0.0, None, 0
        self.asked, self.looked, self.demand = 0, None, 0.0  # demand: lately, a second

    def set_allowance(self, floor, amount, until):
        if not self.off:
            self.fill()  # at the old part until now
        super().set_allowance(floor, amount, until)

    def per_second(self):
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def fill(self):
        """What came since the last look: the grant may have ended meanwhile."""
        if self.filled is None:
            self.filled = self.now_us
        granted = max(0, min(self.now_us, self.until) - self.filled) * self.amount
        gained = ((self.now_us - self.filled) * self.floor + granted) / SECOND
        self.tokens, self.filled = min(self.capacity(), self.tokens + max(0.0, gained)), self.now_us

    def capacity(self):
        """Of the bucket."""
        return 1 + max(0, self.limit.burst - self.most) * self.per_second() / self.limit.amount

    def left(self):
        """(how many may be taken now, of how many at most); None where the limit is gone."""
        if self.off:
            return None
        self.fill()
        return int(self.tokens), int(self.capacity())

    def record_demand(self):
        """One more is wanted, whatever comes of it."""
        self.asked += 1

    def try_acquire(self, rpc=None):
        """Whether one more was taken."""
        if self.off:
            return True
        self.fill()
        if self.tokens < 1:
            self.refusals += 1
            return False
        self.tokens -= 1
        return True

    def back(self):
        """Microseconds until there is one more, as things are."""
        rate = self.per_second()
        return int((1 - min(1.0, self.tokens)) / rate * SECOND) if rate else SECOND

    def usage(self, store, standing, first=0):
        """(0, wanted a second): a little over what was asked for lately, so that a part can grow. Calls that
        wait are worked off within a second."""
        waits = self.limit.counts == "calls"
        waiting = max(0, standing - store.in_flight(False) - store.in_flight(True)) if waits else 0
        if self.looked is None:
            self.looked = self.now_us
        if self.now_us - self.looked >= SPAN:
            self.demand = (self.demand + self.asked * SECOND / (self.now_us - self.looked)) / 2
            self.asked, self.looked = 0, self.now_us
        wanted = ceil(1.1 * self.demand) + waiting if self.demand + waiting > 0.5 else 0
        return self.news(0, max(0, wanted - (self.floor if self.limit.strict else 0)), 0)


class RpcConcurrencyLimiter(Limiter):
    """RPCs in hand, from being taken until they are over. A loose limit alone: an RPC can't be ended with a
    grant."""

    def __init__(self, limit, slack, most=1):
        super().__init__(limit, slack, most)
        self.count, self.asked, self.before, self.looked = 0, 0, 0, 0

    def capacity(self):
        return self.floor + (self.amount if self.now_us < self.until else 0)

    def left(self):
        if self.off:
            return None
        return self.capacity() - self.count, self.capacity()

    def record_demand(self):
        self.asked += 1

    def try_acquire(self, rpc):
        self.count += 1
        rpc.counted = (*(rpc.counted or ()), self)
        return True

    def back(self):
        return 0  # nobody knows when one is over

    def usage(self, store, standing, first=0):
        """(in hand, wanted): those that were turned away in the last span are wanted too."""
        if self.now_us - self.looked >= SPAN:
            self.before, self.asked, self.looked = self.asked, 0, self.now_us
        return self.news(self.count, max(self.count, self.before, self.asked), 0)


class LimiterSet:
    """All limits of the fleet that this node is held to. `slack`, `most`: see quota/limits.py."""

    def __init__(self, limits, slack, most):
        self.slack, self.all, self.now_us = slack, [], 0
        self.calls = self.calls_rate = self.trial = None
        self.rpcs, self.back_since, self.recovery_step_us, self.probe_timeout_us = [], None, 0, 0
        for limit in limits:
            kind = (
                ProbeLimiter
                if limit.counts == "trial"
                else RateLimiter
                if limit.per == "rate"
                else (CallConcurrencyLimiter if limit.counts == "calls" else RpcConcurrencyLimiter)
            )
            meter = kind(limit, slack, most)
            self.all.append(meter)
            if limit.counts == "rpcs":
                self.rpcs.append(meter)
            elif limit.counts == "trial":
                self.trial = meter
            elif limit.per == "rate":
                self.calls_rate = meter
            else:
                self.calls = meter
        self.by_name = {meter.name: meter for meter in self.all}

    def set_clock(self, now):
        """The boot clock of this turn."""
        self.now_us = now
        for meter in self.all:
            meter.now_us = now

    def set_allowance(self, name, *what):
        if name in self.by_name:
            self.by_name[name].set_allowance(*what)

    # ---- a store that is held to be down, and comes back

    @property
    def probing(self):
        return self.trial is not None and self.trial.probing

    def set_dependency_down(self, down):
        """The fleet's verdict. `recovery_step_us`, `probe_timeout_us`: see verdicts/figures.py."""
        if self.trial and self.trial.probing != down:
            self.trial.probing = down
            self.back_since = None if down else self.now_us

    def least_room(self, store):
        """Calls that may be in hand as far as the verdict goes: this node's part of the trials, then twice as
        many after each step; None: no bound. Guards against a rush of all nodes on a store that came back."""
        if self.probing:
            return self.trial.capacity(store)
        if self.back_since is None:
            return None
        steps = (self.now_us - self.back_since) // self.recovery_step_us
        if steps > 12:
            self.back_since = None
            return None
        return 1 << steps

    # ---- calls

    def call_capacity(self, store):
        """Calls that may be in hand until the next look; None: as many as the module likes."""
        rooms = [self.least_room(store)]
        if self.calls:
            rooms.append(self.calls.capacity(store))
        if self.calls_rate and not self.calls_rate.off:
            rooms.append(store.in_flight(False) + store.in_flight(True) + self.calls_rate.left()[0])
        return min((room for room in rooms if room is not None), default=None)

    def acquire_call(self, store):
        """(leased, longest, written by) of one more call, or None where there is no room; `written by`: on
        the boot clock, None for any time."""
        leased, longest = False, None
        least = self.least_room(store)
        if least is not None and store.in_flight(False) + store.in_flight(True) >= least:
            return None
        rate = self.calls_rate
        if rate and not rate.off and rate.left()[0] < 1:
            rate.refusals += 1
            return None
        if self.calls:
            given = self.calls.try_acquire(store)
            if given is None:
                return None
            leased, longest = given
        if self.probing:
            longest = min(longest or self.probe_timeout_us, self.probe_timeout_us)
        if rate:
            rate.try_acquire()
        strict = leased or bool(rate) and rate.limit.strict
        return leased, longest, self.now_us + self.slack if strict else None

    # ---- RPCs

    def limiters_of(self, method, caller):
        return [
            meter
            for meter in self.rpcs
            if not meter.off
            and meter.limit.method in ("", method)
            and meter.limit.dispatcher in ("", str(caller))
        ]

    def quota(self, meters):
        """(left, of, back): RPCs that may be taken, of how many at most, and when there may be more; of the
        limit that has the least left."""
        for meter in meters:
            meter.record_demand()
        if not meters:
            return None
        left, of, back = min((*meter.left(), meter.back()) for meter in meters)
        return left, of, back

    def usage(self, store, standing, first):
        """(name, in hand, wanted, first) of each that has news."""
        out = []
        for meter in self.all:
            said = meter.usage(store, standing, first)
            if said:
                out.append((meter.name, *said))
        return out
