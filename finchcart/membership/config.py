"""The configuration of membership, in one type, and the bounds that follow from it.

Owns the times and sizes by which a member acts, by the names of the code; `FIELDS_BY_SETTING` has the words
of the settings file. It must never hold what is learnt while running. Times are whole microseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, log, log2
from typing import Any

from finchcart.fleet.units import MS, SECOND

UNINFORMED_PROBABILITY = 0.01  # that one member of a fleet still lacks an update after the stated bound

# Key of a setting (without its unit) -> the field, where they differ.
FIELDS_BY_SETTING = {
    "patience_most": "max_patience",
    "suspect": "suspicion_timeout",
    "rise": "recovery_time",
    "watch": "watch_degree",
    "revive": "probes_per_period",
    "members": "max_members",
    "news": "max_pending_updates",
    "datagrams": "max_datagrams",
    "remember": "forget_after",
}


@dataclass(frozen=True)
class MembershipConfig:
    """Times and sizes by which a member acts; see docs/operate/members.md for how to choose them."""

    period: int = 500 * MS  # between heartbeats to one member
    ticks_per_period: int = 5  # the heartbeats of a period are spread over its ticks
    patience: int = 4  # periods without two-way contact after which a link is down, where nothing is lost
    max_patience: int = 10  # the same where much is lost
    link_error_rate: float = 0.01  # patience is chosen so that loss alone takes a link down this seldom
    suspicion_timeout: int = 500 * MS  # a member suspected for so long is failed
    recovery_time: int = 500 * MS  # a failed member is alive again after it was connected for so long
    watch_degree: int = 24  # members that each exchanges heartbeats with, at most, rounded down to even
    forget_after: int = 600 * SECOND  # a failed or left member is forgotten after this
    probes_per_period: int = 8  # failed members and seeds sent a heartbeat in a period
    max_members: int = 4096  # records kept; when full, failed ones go first, then new ones are refused
    max_pending_updates: int = 256  # changed records to be gossiped; the rest is left to anti-entropy
    max_datagrams: int = 400  # sent in one period at most; what is over waits for the next tick
    max_clock_ahead_ms: int = 24 * 3600 * 1000  # past the own wall clock: a later incarnation is impossible
    max_lateness_allowance: int = 5 * SECOND  # a late member's patience grows by no more

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> "MembershipConfig":
        """Return the configuration of settings by key (without its unit); times are microseconds."""
        return cls(**{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    @property
    def tick(self) -> int:
        """Return the microseconds between two ticks."""
        return self.period // self.ticks_per_period

    @property
    def clock_gap(self) -> int:
        """Return the microseconds without an input that mean a suspension of this process."""
        return self.period + self.tick

    def patience_periods(self, loss: float) -> int:
        """Return the patience in periods where the part `loss` (0 to 1) of messages is lost.

        In n periods a link has n attempts there and back, in turn: at a loss of p all fail by chance with a
        probability of (n (1 - p) + 1) p^n or less.
        """
        for periods in range(self.patience, self.max_patience):
            if loss <= 0 or (periods * (1 - loss) + 1) * loss**periods <= self.link_error_rate:
                return periods
        return self.max_patience

    def link_timeout(self, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the microseconds without two-way contact after which a link is down.

        Arguments:
            loss: part of messages lost, 0 to 1.
            lateness: microseconds by which the own ticks run late.
        """
        allowance = min(4 * lateness, self.max_lateness_allowance)
        return self.patience_periods(loss) * self.period + allowance

    def dissemination_time(self, count: int, loss: float = 0.0) -> int:
        """Return the microseconds until an update is known to all of `count` connected members.

        Each step takes a tick to go out, and a period more for each retransmission, of which there are so
        many that at most one member in a hundred fleets lacks it.
        """
        steps = 1 if count <= self.watch_degree + 1 else ceil(log(count) / log(self.watch_degree)) + 1
        retransmissions = 0
        if loss > 0:
            retransmissions = ceil(log(UNINFORMED_PROBABILITY / max(1, count)) / log(loss)) - 1
        return steps * 2 * self.tick + retransmissions * self.period

    def detection_bound(self, count: int, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the microseconds from a member's failure until all of `count` members know it."""
        timeout = self.link_timeout(loss, lateness)
        return (
            timeout
            + 2 * self.tick
            + self.dissemination_time(count, loss)
            + self.suspicion_timeout
            + 2 * lateness
        )

    def staleness_bound(self, count: int, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the greatest age, in microseconds, of what a view says of a member, whatever failed."""
        return self.detection_bound(count, loss, lateness) + self.period

    def retransmissions(self, count: int) -> int:
        """Return how often each member that has a changed record gossips it, in a fleet of `count`."""
        return 3 * max(1, ceil(log2(count + 1)))
