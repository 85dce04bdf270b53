"""How long decisions stand: what is bad is held for a while, and longer each time it comes back soon.

Owns the decisions that stand and those that ended lately. It must never make a decision: decision.py does.
"""

from collections.abc import Mapping

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.decision import Decision
from finchcart.consensus.subjects import GOOD

MAX_RECURRENCES = 10  # that still lengthen the time for which a decision stands
NO_DECISION = Decision(GOOD, 0, 0)


class StandingDecision:
    """A decision that stands."""

    def __init__(self, now: int, decision: Decision, recurrences: int, config: ConsensusConfig) -> None:
        self.value = decision.value
        self.votes = decision.votes
        self.voters = decision.voters
        self.since = now
        self.recurrences = recurrences  # how often it came back lately
        self.until = now + config.hold_time(recurrences)  # at least


class EndedDecision:
    """A decision that stood until `ended_at`."""

    __slots__ = ("ended_at", "recurrences")

    def __init__(self, ended_at: int, recurrences: int) -> None:
        self.ended_at = ended_at
        self.recurrences = recurrences


class StandingDecisions:
    """Bounded by the subjects that there are reports of.

    Arguments:
        own_subject: of this node.
        config: for how long decisions stand.
    """

    def __init__(self, own_subject: int, config: ConsensusConfig) -> None:
        self.own_subject = own_subject
        self.config = config
        self.by_subject: dict[int, StandingDecision] = {}
        self._ended: dict[int, EndedDecision] = {}
        self._ejected_since: int | None = None  # since when the reports say that this node is to be ejected

    def clear(self) -> None:
        """After a suspension: what stood is of before."""
        self.by_subject.clear()

    def values(self) -> dict[int, int]:
        """subject -> value of all that stands."""
        return {subject: standing.value for subject, standing in self.by_subject.items()}

    def max_recurrences(self) -> int:
        """How often what stands came back lately, at most."""
        return max((standing.recurrences for standing in self.by_subject.values()), default=0)

    def update(self, now: int, decisions: Mapping[int, Decision], acts_within: int) -> None:
        """What is bad stands for a while once it is decided; what is worse stands at once.

        Arguments:
            now: boot clock, microseconds.
            decisions: by subject, of all but the level.
            acts_within: microseconds until all nodes have heard the reports of all others.
        """
        if self.own_subject not in decisions:
            self._ejected_since = None
        for subject, decision in decisions.items():
            if decision.value != GOOD and not self._waits_for_others(now, subject, acts_within):
                self._hold(now, subject, decision)
        self._end_expired(now, decisions)
        self._forget_ended(now)

    def _waits_for_others(self, now: int, subject: int, acts_within: int) -> bool:
        """Guards against more nodes ejected at once than may be: the others' numbers must have had time to
        come."""
        if subject != self.own_subject or subject in self.by_subject:
            return False
        self._ejected_since = self._ejected_since or now
        return now - self._ejected_since < acts_within

    def _hold(self, now: int, subject: int, decision: Decision) -> None:
        standing = self.by_subject.get(subject)
        if standing is None:
            recurrences = self._recurrences(now, subject)
        elif decision.value > standing.value or (decision.value < standing.value and now >= standing.until):
            recurrences = standing.recurrences
        else:
            standing.votes = decision.votes
            standing.voters = decision.voters
            return
        self.by_subject[subject] = StandingDecision(now, decision, recurrences, self.config)

    def _recurrences(self, now: int, subject: int) -> int:
        ended = self._ended.pop(subject, None)
        if ended is None or now - ended.ended_at > self.config.recurrence_window:
            return 0
        return min(ended.recurrences + 1, MAX_RECURRENCES)

    def _end_expired(self, now: int, decisions: Mapping[int, Decision]) -> None:
        for subject, standing in list(self.by_subject.items()):
            if now >= standing.until and decisions.get(subject, NO_DECISION).value == GOOD:
                del self.by_subject[subject]
                self._ended[subject] = EndedDecision(now, standing.recurrences)

    def _forget_ended(self, now: int) -> None:
        for subject in [
            one for one, ended in self._ended.items() if now - ended.ended_at > self.config.recurrence_window
        ]:
            del self._ended[subject]
