"""Compare rules by which a member decides, from the same table rows, which members are connected.

`benchmarks.members --rules` replaces the rule that members follow by each of these in turn, and counts the
changes of verdict.
"""

import json
from collections.abc import Collection, Mapping

from finchcart.fault_injection.scripted_runs.checker import check_plan
from finchcart.fault_injection.scripted_runs.plan import make_plan
from finchcart.fault_injection.scripted_runs.script import read_script
from finchcart.fault_injection.scripted_runs.virtual_run import play_on_virtual_clock
from finchcart.membership import failure_detection, view

LOSS_SCRIPT_S = 120
INDIRECT_PROBES = 3

Graph = Mapping[int, Collection[int]]

RULES_COLUMNS = {
    "rule": "rule",
    "wrong": "wrong verdicts on those that stay",
    "flaps": "changes after a verdict",
    "breaches": "expectations broken",
    "lossy": "failed at 30 % loss, 2 minutes",
}


def connected_by_own_links(me: int, down: Graph, graph: Graph, out: frozenset = frozenset()) -> set[int]:
    """Return the members that the observer's own links reach, as with all-to-all heartbeats."""
    return set(graph) - set(down[me])


def connected_by_indirect_probes(
    me: int, down: Graph, graph: Graph, out: frozenset = frozenset()
) -> set[int]:
    """Return the members that every reachable observer reaches, directly or through another member.

    As with indirect probes in SWIM, each observer tries `INDIRECT_PROBES` other members as intermediaries.
    """

    def is_cut(a: int, b: int) -> bool:
        return b in down.get(a, ()) or a in down.get(b, ())

    def cannot_reach(observer: int, subject: int, number: int) -> bool:
        first = ids.index(observer) + number
        others = [ids[(first + offset) % len(ids)] for offset in range(1, INDIRECT_PROBES + 1)]
        return is_cut(observer, subject) and all(
            other in (observer, subject) or is_cut(observer, other) or is_cut(other, subject)
            for other in others
        )

    ids = sorted(graph)
    connected = {me}
    for number, subject in enumerate(ids):
        observers = [other for other in ids if other not in (subject, me) and not is_cut(me, other)] + [me]
        if not any(cannot_reach(observer, subject, number) for observer in observers if observer != subject):
            connected.add(subject)
    return connected


def rule_rows(nodes: int) -> list[dict]:
    """Return a row for each rule, from plays of the scripts `cuts` and `loss`.

    A row counts the changes of verdict on members that should stay, the changes after the verdict on members
    that are cut off, and the failed verdicts at 30 % message loss.
    """
    rules = {
        "own links": connected_by_own_links,
        "any observer without a way round": connected_by_indirect_probes,
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
    """Return the row for the rule that members currently follow."""
    plan = make_plan(read_script("cuts"), 1, nodes)
    record = play_on_virtual_clock(plan)
    results = check_plan(plan, record.events, record.start)
    loss_script = read_script("loss")
    loss_script.seconds = LOSS_SCRIPT_S
    events = play_on_virtual_clock(make_plan(loss_script, 1, nodes)).events
    return {
        "rule": name,
        "wrong": sum(result.changes for result in results if result.what == "never"),
        "flaps": sum(result.changes for result in results if result.what == "agree"),
        "breaches": f"{sum(result.breach is not None for result in results)} of {len(results)}",
        "lossy": sum(event.kind == "state" and event.value == "failed" for event in events),
    }
