"""How long decisions stay in force: each for a hold time, doubled each time that it comes back soon.

Owns the decisions in force and those that ended lately. It must never make a decision: decision.py does.
"""

from collections.abc import Mapping

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.decision import Decision
from finchcart.consensus.subjects import GOOD

MAX_RECURRENCES = 10  # that still lengthen the hold time
NO_DECISION = Decision(GOOD, 0, 0)


class ActiveDecision:
    """A decision in force."""

    def __init__(self, now: int, decision: Decision, recurrences: int, config: ConsensusConfig) -> None:
        self.value = decision.value
        self.votes = decision.votes
        self.voters = decision.voters
        self.since = now
        self.recurrences = recurrences  # how often it came back lately
        self.until = now + config.hold_time(recurrences)  # at least


class EndedDecision:
    """A decision that was in force until `ended_at`."""

    __slots__ = ("ended_at", "recurrences")

    def __init__(self, ended_at: int, recurrences: int) -> None:
        self.ended_at = ended_at
        self.recurrences = recurrences


class ActiveDecisions:
    """Bounded by the subjects that there are reports of.

    Arguments:
        own_subject: of this node.
        config: the hold times.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig) -> None:
        self.own_subject = own_subject
        self.config = config
        self.by_subject: dict[int, ActiveDecision] = {}
        self._ended: dict[int, EndedDecision] = {}
        self._ejected_since: int | None = None  # since when the reports say that this node is to be ejected

    def clear(self) -> None:
        """Drop all decisions: they are of before a suspension."""
        self.by_subject.clear()

    def values(self) -> dict[int, int]:
        """Return subject -> value of all decisions in force."""
        return {subject: active.value for subject, active in self.by_subject.items()}

    def max_recurrences(self) -> int:
        """Return how often what is in force came back lately, at most."""
        return max((active.recurrences for active in self.by_subject.values()), default=0)

    def update(self, now: int, decisions: Mapping[int, Decision], reaction_time_bound: int) -> None:
        """Put decisions into force and end those that are over; a worse value is in force at once.

        Arguments:
            now: boot clock, microseconds.
            decisions: by subject, of all but the level.
            reaction_time_bound: microseconds until all nodes have received the reports of all others.
        """
        if self.own_subject not in decisions:
            self._ejected_since = None
        for subject, decision in decisions.items():
            if decision.value != GOOD and not self._waits_for_others(now, subject, reaction_time_bound):
                self._hold(now, subject, decision)
        self._end_expired(now, decisions)
        self._forget_ended(now)

    def _waits_for_others(self, now: int, subject: int, reaction_time_bound: int) -> bool:
        """Whether this node is yet to wait before it takes itself for ejected.

        Guards against more nodes ejected at once than may be: the others' reports must have had time to come.
        """
        if subject != self.own_subject or subject in self.by_subject:
            return False
        self._ejected_since = self._ejected_since or now
        return now - self._ejected_since < reaction_time_bound

    def _hold(self, now: int, subject: int, decision: Decision) -> None:
        active = self.by_subject.get(subject)
        if active is None:
            recurrences = self._recurrences(now, subject)
        elif decision.value > active.value or (decision.value < active.value and now >= active.until):
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
            if now >= active.until and decisions.get(subject, NO_DECISION).value == GOOD:
                del self.by_subject[subject]
                self._ended[subject] = EndedDecision(now, active.recurrences)

    def _forget_ended(self, now: int) -> None:
        for subject in [
            one for one, ended in self._ended.items() if now - ended.ended_at > self.config.recurrence_window
        ]:
            del self._ended[subject]
