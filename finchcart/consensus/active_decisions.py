"""The decisions in force: each stays for a hold time, which doubles each time that the decision recurs soon.

Owns the decisions in force and those that ended within the recurrence window. This module must never make a
decision: decision.py does.
"""

from collections.abc import Mapping

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.decision import Decision
from finchcart.consensus.subjects import HEALTHY

MAX_RECURRENCES = 10  # further recurrences don't lengthen the hold time
NO_DECISION = Decision(HEALTHY, 0, 0)


class ActiveDecision:
    """A decision in force."""

    def __init__(self, now: int, decision: Decision, recurrences: int, config: ConsensusConfig) -> None:
        self.value = decision.value
        self.votes = decision.votes
        self.voters = decision.voters
        self.started_at = now
        self.recurrences = recurrences  # how often the decision recurred within the recurrence window
        self.hold_ends_at = now + config.hold_time(recurrences)  # the earliest time at which it can end


class EndedDecision:
    """A decision that was in force until `ended_at`."""

    __slots__ = ("ended_at", "recurrences")

    def __init__(self, ended_at: int, recurrences: int) -> None:
        self.ended_at = ended_at
        self.recurrences = recurrences


class ActiveDecisions:
    """The decisions in force by subject; their number is bounded by the subjects that reports name.

    Arguments:
        own_subject: the subject of this node.
        config: sets the hold times and the recurrence window.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig) -> None:
        self.own_subject = own_subject
        self.config = config
        self.by_subject: dict[int, ActiveDecision] = {}
        self._ended: dict[int, EndedDecision] = {}
        self._ejected_since: int | None = None  # since when the reports have led to this node's ejection

    def clear(self) -> None:
        """Drop all decisions, as they date from before a suspension of this process."""
        self.by_subject.clear()

    def values(self) -> dict[int, int]:
        """Return the value of each decision in force, by subject."""
        return {subject: active.value for subject, active in self.by_subject.items()}

    def max_recurrences(self) -> int:
        """Return the highest number of recurrences among the decisions in force."""
        return max((active.recurrences for active in self.by_subject.values()), default=0)

    def update(self, now: int, decisions: Mapping[int, Decision], reaction_time_bound: int) -> None:
        """Put decisions into force and end those that are over; a worse value takes effect at once.

        Arguments:
            now: boot clock, microseconds.
            decisions: decisions derived from present reports, by subject, without the load-shedding level.
            reaction_time_bound: microseconds until all nodes have received the reports of all others.
        """
        if self.own_subject not in decisions:
            self._ejected_since = None
        for subject, decision in decisions.items():
            if decision.value != HEALTHY and not self._waits_for_others(now, subject, reaction_time_bound):
                self._put_in_force(now, subject, decision)
        self._end_expired(now, decisions)
        self._forget_ended(now)

    def _waits_for_others(self, now: int, subject: int, reaction_time_bound: int) -> bool:
        """Whether this node has to wait for other nodes' reports before it considers itself ejected.

        Without this wait, nodes that have not yet received each other's reports could eject themselves at
        the same time, and exceed the number that may be ejected at once.
        """
        if subject != self.own_subject or subject in self.by_subject:
            return False
        self._ejected_since = self._ejected_since or now
        return now - self._ejected_since < reaction_time_bound

    def _put_in_force(self, now: int, subject: int, decision: Decision) -> None:
        active = self.by_subject.get(subject)
        if active is None:
            recurrences = self._recurrences(now, subject)
        elif decision.value > active.value or (decision.value < active.value and now >= active.hold_ends_at):
            recurrences = active.recurrences
        else:
            active.votes = decision.votes
            active.voters = decision.voters
            return
        self.by_subject[subject] = ActiveDecision(now, decision, recurrences, self.config)

    def _recurrences(self, now: int, subject: int) -> int:
        ended = self._ended.pop(subject, None)
        if ended is None or now - ended.ended_at > self.config.recurrence_window:
            return 0
        return min(ended.recurrences + 1, MAX_RECURRENCES)

    def _end_expired(self, now: int, decisions: Mapping[int, Decision]) -> None:
        for subject, active in list(self.by_subject.items()):
            if now >= active.hold_ends_at and decisions.get(subject, NO_DECISION).value == HEALTHY:
                del self.by_subject[subject]
                self._ended[subject] = EndedDecision(now, active.recurrences)

    def _forget_ended(self, now: int) -> None:
        for subject in [
            key for key, ended in self._ended.items() if now - ended.ended_at > self.config.recurrence_window
        ]:
            del self._ended[subject]
