"""Other rules for who is held to be in the fleet, on the same rows: changes of verdict by rule.

Owns the rules that members are made to follow instead of their own, for `benchmarks.members --rules`.
"""

import json
from collections.abc import Collection, Mapping

from finchcart.fault_injection.scripted_runs.checker import check_plan
from finchcart.fault_injection.scripted_runs.plan import make_plan
from finchcart.fault_injection.scripted_runs.script import read_script
from finchcart.fault_injection.scripted_runs.virtual_run import play_on_virtual_clock
from finchcart.membership import failure_detection, view

LOSSY_S = 120  # of the script `loss`
WAYS_ROUND = 3

Graph = Mapping[int, Collection[int]]

RULES_COLUMNS = {
    "rule": "rule",
    "wrong": "wrong verdicts on those that stay",
    "flaps": "changes after a verdict",
    "breaches": "expectations broken",
    "lossy": "failed at 30 % loss, 2 minutes",
}


def own_links(me: int, down: Graph, graph: Graph, out: frozenset = frozenset()) -> set[int]:
    """Hold each by the own links alone: all-to-all heartbeats."""
    return set(graph) - set(down[me])


def no_way_round(me: int, down: Graph, graph: Graph, out: frozenset = frozenset()) -> set[int]:
    """Hold out where any one in reach finds no way, not over three others either: probes as SWIM's."""

    def is_cut(a: int, b: int) -> bool:
        return b in down.get(a, ()) or a in down.get(b, ())

    def finds_no_way(observer: int, subject: int, number: int) -> bool:
        first = ids.index(observer) + number
        others = [ids[(first + offset) % len(ids)] for offset in range(1, WAYS_ROUND + 1)]
        return is_cut(observer, subject) and all(
            other in (observer, subject) or is_cut(observer, other) or is_cut(other, subject)
            for other in others
        )

    ids = sorted(graph)
    connected = {me}
    for number, subject in enumerate(ids):
        reach = [other for other in ids if other not in (subject, me) and not is_cut(me, other)] + [me]
        if not any(finds_no_way(observer, subject, number) for observer in reach if observer != subject):
            connected.add(subject)
    return connected


def rule_rows(nodes: int) -> list[dict]:
    """Return a row for each rule, over the scripts `cuts` and `loss`.

    Counted are changes of verdict on those that are to stay, and after the verdict on those that are out, and
    failed verdicts at 30 % loss.
    """
    rules = {
        "own links": own_links,
        "any observer without a way round": no_way_round,
        "half of the links": view.connected_members,
    }
    rows = []
    for name, rule in rules.items():
        failure_detection.connected_members = rule
        rows.append(rule_row(name, nodes))
        print(json.dumps(rows[-1]), flush=True)
    failure_detection.connected_members = view.connected_members
    return rows


def rule_row(name: str, nodes: int) -> dict:
    """Return the row of the rule that members follow now."""
    plan = make_plan(read_script("cuts"), 1, nodes)
    record = play_on_virtual_clock(plan)
    results = check_plan(plan, record.events, record.start)
    lossy = read_script("loss")
    lossy.seconds = LOSSY_S
    events = play_on_virtual_clock(make_plan(lossy, 1, nodes)).events
    return {
        "rule": name,
        "wrong": sum(result.changes for result in results if result.what == "never"),
        "flaps": sum(result.changes for result in results if result.what == "agree"),
        "breaches": f"{sum(result.breach is not None for result in results)} of {len(results)}",
        "lossy": sum(event.kind == "state" and event.value == "failed" for event in events),
    }
