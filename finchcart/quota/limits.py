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
    """At most `amount` of what it counts in hand at any moment, in all of the fleet."""

    name: str
    amount: int
    floor: int = 0  # each node's own, whatever fails
    counts: str = "calls"  # calls to the store

    def shared(self, most):
        """What is left to share out besides the floors of `most` processes."""
        return self.amount - self.floor * most


@dataclass(frozen=True)
class Quota:
    limits: tuple = ()
    planners: tuple = ()  # their addresses; which of them is which is told by place
    most: int = 64  # processes of nodes at once, those that are stopped counted
    life: int = 3 * SECOND  # of a grant
    round: int = 500 * MS  # between a holder's asks
    lease: int = 3 * SECOND  # of the planner that shares out
    drift: float = 0.001
    step: float = 0.25  # of what is shared: a holder's part rises by no more in a round
    room: float = 0.05  # of what is shared: kept free for those who come
    slack: int = 20 * MS  # a call is written so soon after it was decided on, or not at all
    holders: int = 1024  # remembered by the planner that shares out

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
    def silence(self):
        """A planner that starts votes for nobody before any lease that it may have voted for is over."""
        return self.wide(self.lease)

    @property
    def wait(self):
        """A planner that begins to share out gives nothing new before any earlier grant is over."""
        return self.wide(self.life)

    @property
    def retry(self):
        """Between tries to be elected, at least."""
        return self.lease // 6

    def alone_within(self):
        """From the loss of all planners until a node is down to its floor: what it holds ends, and is seen
        to."""
        return self.wide(self.life) + TICK

    def back_within(self):
        """From contact with a majority of planners, all started anew, until what is shared is given again:
        their silence, an election in a few tries, and the wait; then a part more in each round."""
        return self.silence + 4 * self.retry + self.wait + self.round

    def jump_within(self):
        """From a jump of demand at one holder to its whole part, where all answer: the others are asked to
        give way at their next ask, and say that they did; then it rises step by step."""
        return 2 * self.round + ceil(1 / self.step) * self.round

    def stale(self):
        """The oldest word that a holder acts on."""
        return self.life

    def over_at_most(self, stopped):
        """Calls beyond a strict limit: one for each process that is stopped between its last look at the
        clock and the write, and none without that."""
        return stopped

    def over_for(self):
        """How long such a call can be in hand, once written: its time limit is never longer."""
        return self.life


def mistakes(quota):
    """(field, reason) of what can't hold its own bounds."""
    for n, limit in enumerate(quota.limits):
        if limit.floor * quota.most > limit.amount:
            yield (f"limits.{n}.floor", f"{limit.floor} x {quota.most} (most) = {limit.floor * quota.most} "
                   f"is more than the limit of {limit.amount}")
    if len({limit.name for limit in quota.limits}) < len(quota.limits):
        yield "limits", "two have one name"
    if len(quota.planners) not in (1, 3, 5):
        yield "planners", f"{len(quota.planners)} are named: a majority of 1, 3 or 5 is needed"
    if len(set(quota.planners)) < len(quota.planners):
        yield "planners", "one is named twice: its vote would count double"
    if quota.life < 3 * quota.round:
        yield "life_ms", (f"{quota.life // MS} ms is less than 3 x round_ms = {3 * quota.round // MS} ms: "
                          "two lost asks would cost a holder its part")
    if quota.lease < 4 * quota.retry or quota.lease < SECOND // 2:
        yield "lease_ms", f"{quota.lease // MS} ms is too short to be renewed in time: at least 500 ms"
    if quota.slack * 4 > quota.life:
        yield "slack_ms", f"{quota.slack // MS} ms is more than a quarter of life_ms, {quota.life // MS} ms"
