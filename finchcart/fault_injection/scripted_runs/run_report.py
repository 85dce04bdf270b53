"""Format the report of a run: rows and tables of results, and a summary of what its processes measured.

This module only aggregates and formats results; checker.py and runner.py decide what is a breach.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from finchcart.fault_injection.scripted_runs.checker import Event, EventKind, Result
from finchcart.fault_injection.scripted_runs.plan import Plan
from finchcart.fault_injection.scripted_runs.run_record import Facts, ScriptedRunRecord

US_PER_S = 1e6
US_PER_MS = 1000
BLOCKED_WITHIN_US = 2e6  # bound from the first node's block of a source until all nodes block it
CALL_COUNTS = ("calls", "wasted", "taken", "taken_after")


def quantile(times: Sequence[float], fraction: float) -> float:
    """Return the quantile of the times at this fraction; NaN if there are no times."""
    if not times:
        return math.nan
    return sorted(times)[min(len(times) - 1, math.ceil(fraction * len(times)) - 1)]


# ---- expectations


def expectation_rows(results: Iterable[Result]) -> list[dict]:
    """Return a row for each expectation, with all repetitions of a round in one row."""
    groups: dict[tuple[str, str], list[Result]] = defaultdict(list)
    for result in results:
        head, _, tail = result.name.partition("#")
        name = f"{head} {tail.partition(' ')[2]}".strip() if tail else head
        groups[name, result.what].append(result)
    return [expectation_row(name, what, group) for (name, what), group in groups.items()]


def expectation_row(name: str, what: str, results: list[Result]) -> dict:
    """Return the row of an expectation from its results in all repetitions of its round."""
    times = [seconds for result in results for seconds in result.times]
    return {
        "name": name,
        "what": what,
        "rounds": len(results),
        "held": len(times),
        "median_s": quantile(times, 0.5),
        "p99_s": quantile(times, 0.99),
        "worst_s": max(times, default=math.nan),
        "changes": sum(result.changes for result in results),
        "breaches": sum(result.breach is not None for result in results),
    }


def expectation_table(rows: Iterable[dict]) -> str:
    """Return the Markdown table of expectations."""
    lines = [
        "| expectation | what | rounds | held | median s | p99 s | worst s | changes after | breaches |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        seconds = " | ".join(seconds_cell(row[name]) for name in ("median_s", "p99_s", "worst_s"))
        lines.append(
            f"| {row['name']} | {row['what']} | {row['rounds']} | {row['held']} | {seconds} | "
            f"{row['changes']} | {row['breaches']} |"
        )
    return "\n".join(lines)


def seconds_cell(seconds: float) -> str:
    """Return a table cell with a number of seconds."""
    return "-" if math.isnan(seconds) else f"{seconds:.2f}"


# ---- what the processes and the store report


def summary(facts: Facts, events: Iterable[Event], plan: Plan) -> str:
    """Return a few lines on what the processes and the simulated peers measured."""
    ordered = sum(len(action.names) for action in plan.actions if action.kind == "stop")
    unexpected = max(0, sum(event.kind == EventKind.RESUMED for event in events) - ordered)
    statistics = [each for each in facts["stats"].values() if each.get("late_ms") is not None]

    def worst(name: str) -> float:
        return max((each[name] for each in statistics), default=math.nan)

    lines = [
        f"{facts['driver']}; ticks of the processes late by at most {worst('late_ms')} ms at the end, "
        f"{unexpected} suspensions that the script did not order; measured loss at most {worst('loss')}; "
        f"views of the fleet at most {worst('stale_ms')} ms old by their own measure; links: {facts['links']}"
    ]
    if facts.get("load"):
        lines.append(f"RPCs: {facts['load']}")
    if facts.get("effects"):
        lines.append(f"effects: {facts['effects']}")
    if facts.get("truth") and facts["truth"][-1]["calls"]:
        lines.append(store_summary(facts["truth"]))
    return "\n".join(lines)


def store_summary(truth: list[dict]) -> str:
    """Return the counts of the store: calls, its use, and the times during which the limit was exceeded."""
    first = truth[0]
    last = truth[-1]
    over_ms = [(until - since) / US_PER_MS for since, until, _ in last["over"]]
    seconds = (last["t_us"] - first["t_us"]) / US_PER_S
    return (
        f"store: {last['calls']} calls, at most {last['most']} at once, {last['late']} past their deadline, "
        f"{(last['used'] - first['used']) / seconds:.1f} in progress on average; times over the limit: "
        f"{len(over_ms)}, {sum(over_ms):.1f} ms in total, the longest {max(over_ms, default=0):.1f} ms; "
        f"highest level of the rate bucket {last['fullest']:.1f}"
    )


def lines_between(lines: Iterable[dict], since: float, until: float) -> list[dict]:
    """Return the lines of a JSON-lines file of the run that were written in that time."""
    return [line for line in lines if since <= line["t_us"] <= until]


def grouped_by_round(pairs: Iterable[tuple[str, dict]]) -> dict[str, list[dict]]:
    """Return the rows grouped by the name of their round, in the order of first appearance."""
    groups: dict[str, list[dict]] = defaultdict(list)
    for name, row in pairs:
        groups[name].append(row)
    return groups


# ---- use of a limit


def use_rows(plan: Plan, record: ScriptedRunRecord) -> list[dict]:
    """Return a row for each kind of round with the use of the limit that the store counted.

    A row has the average use of the limit, the lowest use in one round, the most calls in progress at once,
    and by how much these exceed the limit.
    """
    if not plan.script.limits or not record.facts.get("truth"):
        return []
    script_limit = plan.script.limits[0].get("in_hand")
    rows = []
    for name, since, until, limit in plan.spans if script_limit else ():
        inside = lines_between(
            record.facts["truth"],
            record.start + since * US_PER_S,
            record.start + until * US_PER_S,
        )
        if len(inside) > 1:
            rows.append((name, use_of_round(inside, limit or script_limit)))
    return [
        {
            "round": name,
            "rounds": len(group),
            "use": sum(row["use"] for row in group) / len(group),
            "least_use": min(row["use"] for row in group),
            "most": max(row["most"] for row in group),
            "over": max(row["over"] for row in group),
        }
        for name, group in grouped_by_round(rows).items()
    ]


def use_of_round(lines: list[dict], limit: float) -> dict:
    """Return the use of the limit in one round, as a fraction of it, and the most calls in progress."""
    first = lines[0]
    last = lines[-1]
    seconds = (last["t_us"] - first["t_us"]) / US_PER_S
    most = max(line["lately"] for line in lines)
    use = (last["used"] - first["used"]) / (limit * seconds)
    return {"use": use, "most": most, "over": max(0, most - limit)}


def use_table(rows: Iterable[dict]) -> str:
    """Return the Markdown table of the use of a limit."""
    lines = [
        "| round | played | use of the limit | least | most in progress | over the limit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {row['round']} | {row['rounds']} | {row['use']:.2f} | {row['least_use']:.2f} "
        f"| {row['most']} | {row['over']} |"
        for row in rows
    ]
    return "\n".join(lines)


# ---- calls by round


def call_rows(plan: Plan, record: ScriptedRunRecord) -> list[dict]:
    """Return a row for each kind of round with counts of calls, if the script has store faults or floods.

    A row has the number of calls, those wasted on a store that was down, the most in progress at once, the
    most changes of the store's health verdict at one node, and of the valid RPCs from flooding sources the
    number admitted in all and the number admitted later than BLOCKED_WITHIN_US after the first node blocked a
    source.
    """
    if record.facts.get("flood") is None:
        return []
    rows = []
    for name, since_s, until_s, _ in plan.spans:
        since = record.start + since_s * US_PER_S
        until = record.start + until_s * US_PER_S
        lines = lines_between(record.facts["truth"], since, until)
        if len(lines) > 1:
            events = [event for event in record.events if since <= event.when <= until]
            flood = lines_between(record.facts.get("flood", ()), since, until)
            rows.append((name, calls_of_round(lines, events, flood)))
    return [
        {
            "round": name,
            "rounds": len(group),
            "most": max(row["most"] for row in group),
            "changes": max(row["changes"] for row in group),
            **{count: sum(row[count] for row in group) for count in CALL_COUNTS},
        }
        for name, group in grouped_by_round(rows).items()
    ]


def calls_of_round(lines: list[dict], events: list[Event], flood: list[dict]) -> dict:
    """Return the counts of calls in one round."""
    first = lines[0]
    last = lines[-1]
    states = [event for event in events if event.kind == EventKind.STATE]
    changes = Counter(event.observer for event in states if event.subject == "store")
    blocked = [event.when for event in events if event.subject.startswith("source") and event.value == "out"]
    admitted = [line["t_us"] for line in flood if line["how"] == "ok"]
    blocked_by_all = min(blocked) + BLOCKED_WITHIN_US if blocked else math.inf
    return {
        "calls": last["calls"] - first["calls"],
        "wasted": last["wasted"] - first["wasted"],
        "most": max(line["lately"] for line in lines),
        "changes": max(changes.values(), default=0),
        "taken": len(admitted),
        "taken_after": sum(when > blocked_by_all for when in admitted),
    }


def call_table(rows: Iterable[dict]) -> str:
    """Return the Markdown table of calls by round."""
    columns = ("round", "rounds", "calls", "wasted", "most", "changes", "taken", "taken_after")
    lines = [
        "| round | played | calls | wasted | most in progress | changes of verdict | "
        "flood RPCs admitted | admitted over 2 s after the first block |",
        "| --- " * len(columns) + "|",
    ]
    lines += ["| " + " | ".join(str(row[column]) for column in columns) + " |" for row in rows]
    return "\n".join(lines)
