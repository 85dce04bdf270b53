"""The limits of a fleet, the times by which they are shared out, and the bounds that follow.

Owns the figures; filled once from the settings file. It must never hold what is learnt while running. Times
are whole microseconds. `drift` is the part by which any two clocks of the fleet may run apart.
"""

from dataclasses import dataclass
from math import ceil

MS, SECOND = 1_000, 1_000_000
TICK = 100 * MS  # between looks at the clock, of holders and planners


@dataclass(frozen=True)
class Limit:
    """In all of the fleet: at most `amount` in hand at any moment (`per` "in_hand"), or `amount` a second and
    `burst` at once (`per` "rate")."""

    name: str
    amount: int
    floor: int = 0  # each node's own, whatever fails; of a loose limit, until it knows others
    counts: str = "calls"  # to the store; or "rpcs" that are taken
    per: str = "in_hand"
    burst: int = 0
    mode: str = "strict"  # never over, whoever fails; or "loose": on every side of a cut
    method: str = ""  # of RPCs: those of this method alone
    dispatcher: str = ""  # those of this dispatcher alone
    weight: float = 1.0  # of this node, where it is divided

    @property
    def strict(self):
        return self.mode == "strict"

    @property
    def what(self):
        return self.counts, self.per, self.method, self.dispatcher

    def shareable(self, most):
        """What is left to share out besides the floors of `most` processes."""
        return self.amount - self.floor * most


@dataclass(frozen=True)
class QuotaConfig:
    limits: tuple = ()
    planners: tuple = ()  # their addresses; which of them is which is told by place
    most: int = 64  # processes of nodes at once, those that are stopped counted
    life: int = 3 * SECOND  # of a grant
    round: int = 500 * MS  # between a holder's asks
    lease: int = 1_500 * MS  # of the planner that shares out: the next one is there before grants are over
    drift: float = 0.001
    step: float = 0.25  # of what is shared: a holder's part rises by no more in a round
    room: float = 0.05  # of what is shared: kept free for those who come
    slack: int = 20 * MS  # a call is written so soon after it was decided on, or not at all
    holders: int = 1024  # remembered by the planner that shares out
    over: float = 1.0  # of a loose limit: the sides of a cut together exceed it by this part at most

    @property
    def strict(self):
        """Those that planners share out."""
        return tuple(limit for limit in self.limits if limit.strict)

    @property
    def loose(self):
        return tuple(limit for limit in self.limits if not limit.strict)

    def times(self):
        """What all planners must have alike."""
        return f"{self.life} {self.lease} {self.drift} {self.most}"

    def wide(self, time):
        """So long on the own clock, and the time is over on any other that began before."""
        return ceil(time * (1 + self.drift) / (1 - self.drift)) + 1

    def narrow(self, time):
        """So long on the own clock, and the time is not over on any other that began after."""
        return int(time * (1 - self.drift) / (1 + self.drift)) - 1

    @property
    def startup_quiet_period(self):
        """A planner that starts votes for nobody before any lease that it may have voted for is over."""
        return self.wide(self.lease)

    @property
    def takeover_wait(self):
        """A planner that begins to share out gives nothing new before any earlier grant is over."""
        return self.wide(self.life)

    @property
    def election_retry(self):
        """Between tries to be elected, at least."""
        return self.lease // 10

    def fallback_bound(self):
        """From the loss of all planners until a node is down to its floor: what it holds ends, and is seen
        to."""
        return self.wide(self.life) + TICK

    def recovery_bound(self):
        """From contact with a majority of planners, all started anew, until what is shared is given again:
        their silence, an election in a few tries, and the wait; then a part more in each round."""
        return self.startup_quiet_period + 4 * self.election_retry + self.takeover_wait + self.round

    def rebalancing_bound(self):
        """From a jump of demand at one holder to its whole part, where all answer: the others are asked to
        give way at their next ask, and say that they did; then it rises step by step."""
        return 3 * self.round + ceil(1 / self.step) * self.round

    def stale(self):
        """The oldest word that a holder acts on."""
        return self.life

    def strict_overshoot_bound(self, stopped):
        """Calls beyond a strict limit: one for each process that is stopped between its last look at the
        clock and the write, and none without that."""
        return stopped

    def window_bound(self, limit, window):
        """The most of a strict rate in any `window`: calls are written up to `slack` after they were counted,
        by clocks that may be fast by the drift."""
        return limit.burst + ceil(limit.amount * (window + self.slack) * (1 + self.drift) / SECOND)

    def partition_allowance(self, limit, seen, known):
        """What a side of a cut may use of a loose limit, where it sees so many of those that it knows to be
        in the fleet, or lately failed. However the fleet is cut, the parts of all sides together are no more
        than (1 + over) of the limit."""
        return int(limit.amount * min(1.0, (1 + self.over) * seen / max(1, known)))

    def loose_overshoot_bound(self, limit, known, joined=0):
        """Beyond a loose limit, all sides of any cut together: `known` members before it, `joined` on one
        side since, whom the others don't know; parts are whole numbers, which may be rounded up at each."""
        new = (1 + self.over) * joined / max(1, known + joined)
        rounded = 0 if limit.per == "rate" else min(known + joined - 1, limit.amount)
        return ceil(limit.amount * (self.over + new)) + rounded

    def overshoot_duration_bound(self):
        """How long such a call can be in hand, once written: its time limit is never longer."""
        return self.life


def validation_errors(quota):
    """(field, reason) of what can't hold its own bounds."""
    for n, limit in enumerate(quota.limits):
        if limit.strict and limit.counts == "rpcs" and limit.per == "in_hand":
            yield (
                f"limits.{n}.mode",
                "an RPC in hand can't be ended with a grant, so this can't be strict: loose, or a rate",
            )
        if limit.per == "rate" and limit.burst < quota.most:
            yield (
                f"limits.{n}.burst",
                f"{limit.burst} is less than most = {quota.most}: each process has "
                "one of it, or could never use its part",
            )
        if limit.counts == "calls" and (limit.method or limit.dispatcher):
            yield f"limits.{n}", "method and dispatcher are of RPCs: counts has to be rpcs"
        if limit.floor * quota.most > limit.amount:
            yield (
                f"limits.{n}.floor",
                f"{limit.floor} x {quota.most} (most) = {limit.floor * quota.most} "
                f"is more than the limit of {limit.amount}",
            )
    if len({limit.name for limit in quota.limits}) < len(quota.limits):
        yield "limits", "two have one name"
    if len({limit.what for limit in quota.limits}) < len(quota.limits):
        yield "limits", "two limit the same: one limit holds it"
    if quota.strict and len(quota.planners) not in (1, 3, 5):
        yield "planners", f"{len(quota.planners)} are named: a majority of 1, 3 or 5 is needed"
    if len(set(quota.planners)) < len(quota.planners):
        yield "planners", "one is named twice: its vote would count double"
    if quota.life < 3 * quota.round:
        yield (
            "life_ms",
            (
                f"{quota.life // MS} ms is less than 3 x round_ms = {3 * quota.round // MS} ms: "
                "two lost asks would cost a holder its part"
            ),
        )
    if quota.lease < SECOND // 2:
        yield "lease_ms", f"{quota.lease // MS} ms is too short to be renewed in time: at least 500 ms"
    if quota.slack * 4 > quota.life:
        yield "slack_ms", f"{quota.slack // MS} ms is more than a quarter of life_ms, {quota.life // MS} ms"
