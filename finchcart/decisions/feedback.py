"""Feedback that is published to callers with each response: the shed level, or a credit.

This module keeps the value that was published last. It must not decide which RPCs this node rejects. See
"Missing signals, and what stands in" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.admission_control import SETPOINT_FRACTION
from finchcart.decisions.node_settings import Feedback, NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.units import SECOND

LEVEL_STEP = 0.02  # smaller changes of the level are not published
CLOSED_PROBABILITY = 0.06  # a rank is closed if its highest admission probability is at most this
# A credit does not depend on criticality, so the queue needs a surplus of RPCs from which to run the most
# critical ones.
CREDIT_FACTOR = 4
CREDIT_DEAD_BAND = 0.8, 1.25  # a credit that changed by a factor between these is not published
MIN_COMPARED_CREDIT = 0.001  # avoids a division by zero


class CallerFeedback:
    """Publishes feedback. Invariant: `published` is the last value passed to the port, initially 0."""

    def __init__(self, port: Port, settings: NodeSettings, state: NodeState) -> None:
        """Begin without a published value."""
        self._kind = settings.feedback
        self._lifetime = settings.feedback_lifetime_us
        self._port = port
        self._methods = state.methods
        self._gauges = state.gauges
        self._callers = state.callers
        self._concurrency = state.concurrency
        self._slowdown = state.slowdown
        self.own_level = 0.0  # shed level that follows from this node's load alone
        self.published = 0.0  # shed level or credit

    def publish(self, now: int) -> None:
        """Publish the level or credit, as the settings select, if the value changed enough."""
        if self._kind is Feedback.LEVEL:
            self._publish_level()
        elif self._kind is Feedback.CREDIT:
            self._publish_credit(now)

    def _publish_level(self) -> None:
        """Publish the shed level: this node's own, or the fleet's minimum where that is higher."""
        self.own_level = self._level()
        level = max(self.own_level, self._gauges.min_shed_level)
        if abs(level - self.published) > LEVEL_STEP or (level == 0) != (self.published == 0):
            self._port.set_shed_level(level)
            self.published = level

    def _level(self) -> float:
        """Return this node's own shed level.

        The level is the sum over the ranks, from the lowest, divided by the number of ranks. A closed rank
        counts as 1. The first rank that is not closed counts as the fraction that is not admitted, and ends
        the sum.
        """
        level = 0.0
        rank_count = self._methods.rank_count
        for rank in range(rank_count):
            of_rank = (method for method in self._methods.all if method.criticality_rank == rank)
            probability = max(method.admission_probability for method in of_rank)
            level = (rank + 1 - probability) / rank_count
            if probability > CLOSED_PROBABILITY:
                break
        return level

    def _publish_credit(self, now: int) -> None:
        """Publish how many RPCs each caller may have open: an equal share of those that can end in time."""
        callers = self._callers.count_seen_within(now, self._lifetime)
        service_times = (method.estimates.service_time.mean for method in self._methods.all)
        service_time = max(service_times, default=SECOND) * self._slowdown.factor
        sequential_runs = max(1.0, SETPOINT_FRACTION * self._methods.shortest_objective / service_time)
        credit = CREDIT_FACTOR * (self._concurrency.limit * sequential_runs) / max(1, callers)
        lowest, highest = CREDIT_DEAD_BAND
        if not lowest < credit / max(MIN_COMPARED_CREDIT, self.published) < highest:
            self._port.set_credit(credit)
            self.published = credit
