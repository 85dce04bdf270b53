"""The configuration of membership, and the time bounds that are computed from it.

`FIELDS_BY_SETTING` maps the names in the settings file to the fields of `MembershipConfig` where the two
differ. Values that are measured at run time are passed in as arguments and never stored here. All times are
whole microseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, log, log2
from typing import Any

from finchcart.fleet.units import MS, SECOND

UNINFORMED_PROBABILITY = 0.01  # probability that any member lacks an update after `dissemination_time`

# Setting (without its unit suffix) -> field of `MembershipConfig`, where the names differ.
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
    """Timeouts and limits of a member; see docs/operate/members.md for how to choose them."""

    period: int = 500 * MS  # time between two heartbeats to the same member
    ticks_per_period: int = 5  # heartbeats are spread over the ticks of a period
    patience: int = 4  # periods without two-way contact after which a link is down if no packets are lost
    max_patience: int = 10  # upper bound of `patience` as it is raised under packet loss
    link_error_rate: float = 0.01  # accepted probability that packet loss alone takes a link down
    suspicion_timeout: int = 500 * MS  # time after which a suspected member counts as failed
    recovery_time: int = 500 * MS  # time for which a failed member must be connected again to count as alive
    watch_degree: int = 24  # maximum number of members to exchange heartbeats with, rounded down to even
    forget_after: int = 600 * SECOND  # time after which a failed or left member is removed from the table
    probes_per_period: int = 8  # number of failed members to which a heartbeat is sent per period
    max_members: int = 4096  # when full, failed and left members are evicted, then new ones are rejected
    max_pending_updates: int = 256  # changed records waiting to be gossiped; anti-entropy sends the rest
    max_datagrams: int = 400  # maximum number sent per period; further heartbeats wait for the next tick
    max_clock_ahead_ms: int = 24 * 3600 * 1000  # incarnations further ahead of the wall clock are rejected
    max_lateness_allowance: int = 5 * SECOND  # maximum extension of the link timeout while ticks run late

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> "MembershipConfig":
        """Return the configuration for settings by name (without unit suffix), with times in microseconds."""
        return cls(**{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    @property
    def tick(self) -> int:
        """The microseconds between two ticks."""
        return self.period // self.ticks_per_period

    @property
    def clock_gap(self) -> int:
        """The microseconds between two inputs above which this process counts as suspended in between."""
        return self.period + self.tick

    def patience_periods(self, loss: float) -> int:
        """Return after how many periods without contact a link is down at a message loss of `loss` (0 to 1).

        In n periods a link makes n round-trip attempts. At a message loss of p, all of them fail by chance
        with a probability of at most (n (1 - p) + 1) p^n, which is kept below `link_error_rate`.
        """
        for periods in range(self.patience, self.max_patience):
            if loss <= 0 or (periods * (1 - loss) + 1) * loss**periods <= self.link_error_rate:
                return periods
        return self.max_patience

    def link_timeout(self, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the microseconds without two-way contact after which a link is down.

        Arguments:
            loss: fraction of messages lost, 0 to 1.
            lateness: microseconds by which the ticks of this process run late.
        """
        allowance = min(4 * lateness, self.max_lateness_allowance)
        return self.patience_periods(loss) * self.period + allowance

    def dissemination_time(self, count: int, loss: float = 0.0) -> int:
        """Return the microseconds until all of `count` connected members have received an update.

        Each hop takes up to two ticks, and each retransmission one more period. The number of retransmissions
        is chosen so that the probability of any member lacking the update is `UNINFORMED_PROBABILITY`.
        """
        steps = 1 if count <= self.watch_degree + 1 else ceil(log(count) / log(self.watch_degree)) + 1
        retransmissions = 0
        if loss > 0:
            retransmissions = ceil(log(UNINFORMED_PROBABILITY / max(1, count)) / log(loss)) - 1
        return steps * 2 * self.tick + retransmissions * self.period

    def detection_bound(self, count: int, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the maximum microseconds from a member's failure until all of `count` members detect it."""
        timeout = self.link_timeout(loss, lateness)
        return (
            timeout
            + 2 * self.tick
            + self.dissemination_time(count, loss)
            + self.suspicion_timeout
            + 2 * lateness
        )

    def staleness_bound(self, count: int, loss: float = 0.0, lateness: int = 0) -> int:
        """Return the maximum age in microseconds of the information on any member in a view."""
        return self.detection_bound(count, loss, lateness) + self.period

    def retransmissions(self, count: int) -> int:
        """Return how many times each member of a fleet of `count` gossips a changed record."""
        return 3 * max(1, ceil(log2(count + 1)))
