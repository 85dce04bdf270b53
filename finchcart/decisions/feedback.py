"""What is published to callers with each response: the shed level, or a credit.

Owns what was published last. It must never decide what is rejected here. See "Missing signals, and what
stands in" in docs/design.md. Times are microseconds.
"""

from finchcart.decisions.admission_control import SETPOINT_PART
from finchcart.decisions.node_settings import Feedback, NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.port import Port
from finchcart.decisions.units import SECOND

LEVEL_STEP = 0.02  # smaller changes of the level are not published
CLOSED_PROBABILITY = 0.06  # the level reaches the next rank once one is admitted with no more than this
CREDIT_FACTOR = 4  # a credit knows no criticality: the queue needs some RPCs to choose from
CREDIT_DEAD_BAND = 0.8, 1.25  # changes of the credit by a factor between these are not published
MIN_COMPARED_CREDIT = 0.001


class CallerFeedback:
    """The published feedback. Invariant: `published` is the last value given to the port, 0 before it."""

    def __init__(self, port: Port, settings: NodeSettings, state: NodeState) -> None:
        """Nothing is published yet."""
        self._kind = settings.feedback
        self._lifetime = settings.feedback_lifetime_us
        self._port = port
        self._methods = state.methods
        self._gauges = state.gauges
        self._callers = state.callers
        self._concurrency = state.concurrency
        self._slowdown = state.slowdown
        self.own_level = 0.0  # the shed level that this node alone would publish
        self.published = 0.0  # shed level or credit

    def publish(self, now: int) -> None:
        """Publish what the settings ask for, where it changed."""
        if self._kind is Feedback.LEVEL:
            self._publish_level()
        elif self._kind is Feedback.CREDIT:
            self._publish_credit(now)

    def _publish_level(self) -> None:
        """Publish what is cut here: of the lowest rank, and of the next one up when that is closed."""
        self.own_level = self._level()
        level = max(self.own_level, self._gauges.min_shed_level)
        if abs(level - self.published) > LEVEL_STEP or (level == 0) != (self.published == 0):
            self._port.set_shed_level(level)
            self.published = level

    def _level(self) -> float:
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
        """Publish how many RPCs a caller may have open: its part of what ends within the objective."""
        callers = self._callers.count_seen_within(now, self._lifetime)
        service_times = (method.estimates.service_time.mean for method in self._methods.all)
        service_time = max(service_times, default=SECOND) * self._slowdown.factor
        turns = max(1.0, SETPOINT_PART * self._methods.shortest_objective / service_time)
        credit = CREDIT_FACTOR * (self._concurrency.limit * turns) / max(1, callers)
        lowest, highest = CREDIT_DEAD_BAND
        if not lowest < credit / max(MIN_COMPARED_CREDIT, self.published) < highest:
            self._port.set_credit(credit)
            self.published = credit
