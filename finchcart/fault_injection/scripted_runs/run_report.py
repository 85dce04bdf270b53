"""Reports of a run: rows, tables and one paragraph of what its processes tell of themselves.

Owns how results are put together and printed. It must never judge a run.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from finchcart.fault_injection.scripted_runs.checker import Event, EventKind, Result
from finchcart.fault_injection.scripted_runs.plan import Plan
from finchcart.fault_injection.scripted_runs.run_record import Facts, ScriptedRunRecord

US_PER_S = 1e6
US_PER_MS = 1000
BLOCKED_WITHIN_US = 2e6  # after the first node blocked a source, all do
CALL_COUNTS = ("calls", "wasted", "taken", "taken_after")


def quantile(times: Sequence[float], part: float) -> float:
    """Return that quantile of the times; not a number where there are none."""
    if not times:
        return math.nan
    return sorted(times)[min(len(times) - 1, math.ceil(part * len(times)) - 1)]


# ---- expectations


def expectation_rows(results: Iterable[Result]) -> list[dict]:
    """Return a row for each expectation, the rounds of one name together."""
    groups: dict[tuple[str, str], list[Result]] = defaultdict(list)
    for result in results:
        head, _, tail = result.name.partition("#")
        name = f"{head} {tail.partition(' ')[2]}".strip() if tail else head
        groups[name, result.what].append(result)
    return [expectation_row(name, what, group) for (name, what), group in groups.items()]


def expectation_row(name: str, what: str, results: list[Result]) -> dict:
    """Return the row of results of one name."""
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
    """Return the table of expectations."""
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
    """Return the text of a number of seconds."""
    return "-" if math.isnan(seconds) else f"{seconds:.2f}"


# ---- what processes and store tell


def summary(facts: Facts, events: Iterable[Event], plan: Plan) -> str:
    """Return one paragraph of what the processes tell of themselves."""
    ordered = sum(len(action.names) for action in plan.actions if action.kind == "stop")
    unexpected = max(0, sum(event.kind == EventKind.RESUMED for event in events) - ordered)
    statistics = [each for each in facts["stats"].values() if each.get("late_ms") is not None]

    def worst(name: str) -> float:
        return max((each[name] for each in statistics), default=math.nan)

    lines = [
        f"{facts['driver']}; own ticks late by at most {worst('late_ms')} ms at the end, "
        f"{unexpected} pauses nobody ordered; measured loss at most {worst('loss')}; "
        f"views by their own word at most {worst('stale_ms')} ms old; links: {facts['links']}"
    ]
    if facts.get("load"):
        lines.append(f"RPCs: {facts['load']}")
    if facts.get("effects"):
        lines.append(f"effects: {facts['effects']}")
    if facts.get("truth") and facts["truth"][-1]["calls"]:
        lines.append(store_summary(facts["truth"]))
    return "\n".join(lines)


def store_summary(truth: list[dict]) -> str:
    """Return what the store counted: most at once, use, and the moments beyond the limit."""
    first = truth[0]
    last = truth[-1]
    over_ms = [(until - since) / US_PER_MS for since, until, _ in last["over"]]
    seconds = (last["t_us"] - first["t_us"]) / US_PER_S
    return (
        f"store: {last['calls']} calls, {last['most']} at once at most, {last['late']} late, "
        f"{(last['used'] - first['used']) / seconds:.1f} in hand on average; moments beyond the limit: "
        f"{len(over_ms)}, together {sum(over_ms):.1f} ms, the longest {max(over_ms, default=0):.1f} ms; "
        f"fullest bucket {last['fullest']:.1f}"
    )


def lines_between(lines: Iterable[dict], since: float, until: float) -> list[dict]:
    """Return the lines of a file of the run that were written in that time."""
    return [line for line in lines if since <= line["t_us"] <= until]


def grouped_by_round(pairs: Iterable[tuple[str, dict]]) -> dict[str, list[dict]]:
    """Return rows by the name of their round, in the order of first appearance."""
    groups: dict[str, list[dict]] = defaultdict(list)
    for name, row in pairs:
        groups[name].append(row)
    return groups


# ---- use of a limit


def use_rows(plan: Plan, record: ScriptedRunRecord) -> list[dict]:
    """Return for each kind of round what the store counted.

    Told are use of the limit, the least of one round, most in hand, and by how much that is beyond the limit.
    """
    if not plan.script.limits or not record.facts.get("truth"):
        return []
    whole = plan.script.limits[0].get("in_hand")
    rows = []
    for name, since, until, limit in plan.spans if whole else ():
        inside = lines_between(
            record.facts["truth"],
            record.start + since * US_PER_S,
            record.start + until * US_PER_S,
        )
        if len(inside) > 1:
            rows.append((name, use_of_round(inside, limit or whole)))
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
    """Return the use of a limit in one round."""
    first = lines[0]
    last = lines[-1]
    seconds = (last["t_us"] - first["t_us"]) / US_PER_S
    most = max(line["lately"] for line in lines)
    use = (last["used"] - first["used"]) / (limit * seconds)
    return {"use": use, "most": most, "over": max(0, most - limit)}


def use_table(rows: Iterable[dict]) -> str:
    """Return the table of use of a limit."""
    lines = [
        "| round | played | use of the limit | least | most in hand | beyond it |",
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
    """Return for each kind of round with faults of the store or floods what became of calls.

    Told are calls, those wasted on a store that is down, the most in hand, the most changes of the store's
    health at one node, and of the RPCs of flooding sources how many were admitted in all and later than the
    bound after the first node blocked one.
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
    """Return what became of calls in one round."""
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
    """Return the table of calls by round."""
    columns = ("round", "rounds", "calls", "wasted", "most", "changes", "taken", "taken_after")
    lines = [
        "| round | played | calls | wasted | most in hand | changes of verdict | "
        "RPCs of floods taken | 2 s after one shut it out |",
        "| --- " * len(columns) + "|",
    ]
    lines += ["| " + " | ".join(str(row[column]) for column in columns) + " |" for row in rows]
    return "\n".join(lines)
