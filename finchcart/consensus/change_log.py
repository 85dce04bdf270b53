"""The log lines by which operators see decisions change.

Owns the values that were logged last. It must never log what concerns another node alone.
"""

from collections.abc import Iterator, Mapping

from finchcart.consensus.active_decisions import ActiveDecision
from finchcart.consensus.subjects import GOOD, SubjectKind, describe, kind_of
from finchcart.fleet.effects import LogLine


class DecisionChangeLog:
    """Bounded by the decisions in force.

    Arguments:
        own_subject: of this node.
    """

    def __init__(self, own_subject: int) -> None:
        self.own_subject = own_subject
        self._logged: dict[int, int] = {}

    def changes(
        self,
        values: Mapping[int, int],
        decisions: Mapping[int, ActiveDecision],
        node_names: Mapping[int, str],
    ) -> Iterator[LogLine]:
        """Yield a line for each value that changed.

        Arguments:
            values: subject -> value, of all that is in force.
            decisions: subject -> decision, where it is one and no override.
            node_names: subject of a node -> its name.
        """
        before = self._logged
        self._logged = {
            subject: value
            for subject, value in values.items()
            if kind_of(subject) != SubjectKind.NODE or subject == self.own_subject
        }
        for subject in {**before, **self._logged}:
            value = self._logged.get(subject, GOOD)
            if before.get(subject) != self._logged.get(subject):
                yield _line(subject, value, decisions.get(subject), node_names)


def _line(
    subject: int, value: int, decision: ActiveDecision | None, node_names: Mapping[int, str]
) -> LogLine:
    kind, name, word = describe(subject, value, node_names)
    votes = f"{decision.votes} of {decision.voters}" if decision else ""
    text = f"decision {kind} {name} {word}".replace("  ", " ")
    return LogLine(text, {"kind": kind, "subject": name, "value": word, "votes": votes})
