"""Runs a script on processes or on the virtual clock, checks it and reports.

Owns the steps of a run from the script to its status. What a breach of an expectation is, checker.py decides.
"""

import signal
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn

import click
import msgspec

from finchcart.fault_injection.scripted_runs.checker import Result, check_plan
from finchcart.fault_injection.scripted_runs.limit_bounds import bucket_bound, overshoot_bound
from finchcart.fault_injection.scripted_runs.plan import Plan, make_plan
from finchcart.fault_injection.scripted_runs.process_run import play_on_processes
from finchcart.fault_injection.scripted_runs.run_record import ScriptedRunRecord
from finchcart.fault_injection.scripted_runs.run_report import (
    call_rows,
    call_table,
    expectation_rows,
    expectation_table,
    summary,
    use_rows,
    use_table,
)
from finchcart.fault_injection.scripted_runs.script import Script, read_script
from finchcart.fault_injection.scripted_runs.virtual_run import play_on_virtual_clock

US_PER_S = 1e6
US_PER_MS = 1000
STATUS_ENDED = 3  # of a run that was told to end


@dataclass(frozen=True)
class RunOptions:
    """What a run is asked for: the options of `finchcart trial run`."""

    script: str  # a path, or the name of a script that comes with the program
    seed: int = 1
    nodes: int | None = None  # in place of the script's
    out: str | None = None  # a folder that keeps logs, table and chart
    virtual: bool = False
    apart: bool = False  # the nodes exchange nothing, and nothing is expected of them
    share: str = "strict"  # how the first limit is held: "strict", "loose" or "static"
    verdicts: str = "on"  # "on", "off", or "oracle": all are told of the store at once
    times: int | None = None  # how often each kind of round is played


@dataclass(frozen=True)
class ScriptedRunReport:
    """The rows of a run's tables, and the text of all of them."""

    results: list[Result]
    expectations: list[dict]
    uses: list[dict]
    calls: list[dict]
    text: str


def end_run(*_: object) -> NoReturn:
    """Handle a signal to end: guards against processes that outlive the run.

    The clean-up runs then too, and a second signal does not break it off.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(STATUS_ENDED)


def play(options: RunOptions) -> int:
    """Run a script; return the status: 0, or 1 with the first breach printed."""
    plan = plan_of(options)
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(options.out or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        record = play_plan(plan, options, folder)
        report = make_report(plan, record, options)
        click.echo(report.text)
        if options.out:
            save_report(plan, record, report, options, folder)
    breach = first_breach(plan, record, report, options)
    if breach:
        click.echo(f"BREACH {breach.name} ({breach.what}): {breach.breach}")
    return 1 if breach else 0


# ---- the plan


def plan_of(options: RunOptions) -> Plan:
    """Return the plan of a script with the changes that the options ask for."""
    script = share_limit(read_script(options.script), options.share)
    if options.times:
        script = repeat_rounds(script, options.times)
    plan = make_plan(script, options.seed, options.nodes)
    if options.verdicts == "off":
        script.claims_off = True
    if options.verdicts != "on":
        plan.expectations = []
    if options.verdicts not in ("on", "oracle"):
        script.verdicts = None
    return plan


def share_limit(script: Script, share: str) -> Script:
    """Return the script with its first limit held in another way."""
    if share == "static":
        script.static = True
    elif share == "loose":
        script.limits[0] = {**script.limits[0], "mode": "loose", "floor": 0}
        script.planners = 0
    return script


def repeat_rounds(script: Script, times: int) -> Script:
    """Return the script with each kind of round played so often."""
    for each in script.rounds:
        each.count = times
    script.seconds = max(each.at + (times - 1) * each.every + each.length for each in script.rounds)
    return script


def play_plan(plan: Plan, options: RunOptions, folder: Path) -> ScriptedRunRecord:
    """Play a plan where the options say."""
    if options.virtual:
        return play_on_virtual_clock(plan)
    oracle = options.verdicts == "oracle"
    return play_on_processes(plan, folder / "processes", not options.apart, oracle)


# ---- the report


def make_report(plan: Plan, record: ScriptedRunRecord, options: RunOptions) -> ScriptedRunReport:
    """Check a run and put its tables together."""
    results = [] if options.apart else check_plan(plan, record.events, record.start)
    expectations = expectation_rows(results)
    uses = use_rows(plan, record)
    calls = call_rows(plan, record)
    parts = [expectation_table(expectations), summary(record.facts, record.events, plan)]
    if uses:
        parts.append(use_table(uses))
    if calls:
        parts.append(call_table(calls))
    return ScriptedRunReport(results, expectations, uses, calls, "\n\n".join(parts))


def save_report(
    plan: Plan, record: ScriptedRunRecord, report: ScriptedRunReport, options: RunOptions, folder: Path
) -> None:
    """Write table.md, results.json and timeline.png."""
    from finchcart.fault_injection.scripted_runs.timeline_chart import (
        save_timeline,  # matplotlib is slow to import
    )

    members = len(plan.initial_names)
    head = f"`{options.script}`, seed {options.seed}, {members} members"
    (folder / "table.md").write_text(f"{head}\n\n{report.text}\n")
    results = {
        "script": str(options.script),
        "seed": options.seed,
        "nodes": members,
        "rows": report.expectations,
        "uses": report.uses,
        "calls": report.calls,
        "facts": record.facts,
    }
    (folder / "results.json").write_bytes(msgspec.json.encode(results))
    save_timeline(plan, record.events, record.start, folder / "timeline.png")


# ---- breaches


def first_breach(
    plan: Plan, record: ScriptedRunRecord, report: ScriptedRunReport, options: RunOptions
) -> Result | None:
    """Return the first breach of an expectation, of the limit or of key leases."""
    return next(breaches(plan, record, report, options), None)


def breaches(
    plan: Plan, record: ScriptedRunRecord, report: ScriptedRunReport, options: RunOptions
) -> Iterator[Result]:
    """Yield all that did not hold."""
    script = plan.script
    overshoot = overshoot_bound(script)
    bucket = bucket_bound(script)
    yield from (result for result in report.results if result.breach)
    if record.facts.get("truth"):
        last = record.facts["truth"][-1]
        if overshoot is not None:
            yield from moments_beyond_limit(script, last, record.start, overshoot, options.share)
        yield from overfull_bucket(bucket, last)
    yield from wrong_effects(script, record)
    for row in report.uses if overshoot is not None else ():
        if row["over"] > overshoot:
            yield Result("limit", row["round"], [], 0, f"over by {row['over']}")


def moments_beyond_limit(
    script: Script, last: dict, start: int, overshoot: int, share: str
) -> Iterator[Result]:
    """Yield the moments in which more was in hand at the store than the bound."""
    limit = script.limits[0].get("in_hand")
    for since, until, most in last["over"] if limit else ():
        if most > limit + overshoot:
            text = f"{most} calls in hand at the store for {(until - since) / US_PER_MS:.1f} ms"
            yield Result("limit", share, [], 0, f"{text}, at {(since - start) / US_PER_S:.2f} s")


def overfull_bucket(most: float | None, last: dict) -> Iterator[Result]:
    """Yield a breach if the store's bucket held more than its bound."""
    if most is not None and last["fullest"] > most:
        text = f"the store's bucket held {last['fullest']:.1f}, {most} at most"
        yield Result("limit", "rate", [], 0, text)


def wrong_effects(script: Script, record: ScriptedRunRecord) -> Iterator[Result]:
    """Yield a breach if a key ran twice, or was answered ok and never ran."""
    effects = record.facts.get("effects")
    if not effects:
        return
    twice = effects["keys that ran twice"] and not script.claims_off
    if twice or effects["ok without a run"]:
        yield Result("claims", "effects", [], 0, str(effects))
