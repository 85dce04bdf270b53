"""Log lines for operators, one for each change of a decision or an override.

`DecisionChangeLog` owns the values that were logged last. It must never log a decision about another node,
because each node logs the decisions about itself.
"""

from collections.abc import Iterator, Mapping

from finchcart.consensus.active_decisions import ActiveDecision
from finchcart.consensus.subjects import HEALTHY, SubjectKind, describe, kind_of
from finchcart.fleet.effects import LogLine


class DecisionChangeLog:
    """Compares the values in force with those logged last; holds at most one value per subject.

    Arguments:
        own_subject: the subject of this node.
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
        """Yield a log line for each value that changed since the last call, except the values of other nodes.

        Arguments:
            values: the values in force by subject, each set by a decision or an override.
            decisions: the decisions in force, by subject.
            node_names: the names of nodes, by subject.
        """
        previously_logged = self._logged
        self._logged = {
            subject: value
            for subject, value in values.items()
            if kind_of(subject) != SubjectKind.NODE or subject == self.own_subject
        }
        for subject in {**previously_logged, **self._logged}:
            value = self._logged.get(subject, HEALTHY)
            if previously_logged.get(subject) != self._logged.get(subject):
                yield _line(subject, value, decisions.get(subject), node_names)


def _line(
    subject: int, value: int, decision: ActiveDecision | None, node_names: Mapping[int, str]
) -> LogLine:
    kind, name, value_name = describe(subject, value, node_names)
    votes = f"{decision.votes} of {decision.voters}" if decision else ""
    text = f"decision changed: {kind} {name} is now {value_name}".replace("  ", " ")
    return LogLine(text, {"kind": kind, "subject": name, "value": value_name, "votes": votes})
