"""Run a script on processes or on the virtual clock, check the result and print a report.

This module leads a run from the script to the exit status, and checks the limits and key leases. The
expectations of the script are checked by checker.py.
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
INTERRUPTED_STATUS = 3  # exit status of a run that a signal ended


@dataclass(frozen=True)
class RunOptions:
    """The options of `finchcart trial run`."""

    script: str  # a path, or the name of a script that is part of the package
    seed: int = 1
    nodes: int | None = None  # replaces the script's number of nodes
    out: str | None = None  # a folder in which logs, table and chart are kept
    virtual: bool = False  # run on the virtual clock instead of processes
    apart: bool = False  # the nodes exchange no messages, and no expectation is checked
    share: str = "strict"  # how the first limit is enforced: "strict", "loose" or "static"
    verdicts: str = "on"  # "on", "off", or "oracle": each node learns the store's state immediately
    times: int | None = None  # how many times each round is played


@dataclass(frozen=True)
class ScriptedRunReport:
    """The results of a run: the rows of its tables, and the text of the report."""

    results: list[Result]
    expectations: list[dict]
    uses: list[dict]
    calls: list[dict]
    text: str


def end_run(*_: object) -> NoReturn:
    """Handle SIGTERM or SIGINT by an exit that runs the clean-up, so that no process outlives the run.

    Further signals are ignored, because they would interrupt the clean-up.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(INTERRUPTED_STATUS)


def play(options: RunOptions) -> int:
    """Run a script and print its report; return 0, or 1 after printing the first breach."""
    plan = plan_from_options(options)
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


def plan_from_options(options: RunOptions) -> Plan:
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
    """Change how the first limit of the script is enforced, and return the script."""
    if share == "static":
        script.static = True
    elif share == "loose":
        script.limits[0] = {**script.limits[0], "mode": "loose", "floor": 0}
        script.planners = 0
    return script


def repeat_rounds(script: Script, times: int) -> Script:
    """Change how many times each round of the script is played, and return the script."""
    for scripted_round in script.rounds:
        scripted_round.count = times
    script.seconds = max(
        scripted_round.at + (times - 1) * scripted_round.every + scripted_round.length
        for scripted_round in script.rounds
    )
    return script


def play_plan(plan: Plan, options: RunOptions, folder: Path) -> ScriptedRunRecord:
    """Execute a plan on processes or on the virtual clock, as the options ask."""
    if options.virtual:
        return play_on_virtual_clock(plan)
    oracle = options.verdicts == "oracle"
    return play_on_processes(plan, folder / "processes", not options.apart, oracle)


# ---- the report


def make_report(plan: Plan, record: ScriptedRunRecord, options: RunOptions) -> ScriptedRunReport:
    """Check the expectations of a run and return its tables."""
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
    """Write table.md, results.json and timeline.png into the folder."""
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
    """Return the first breach of an expectation, of a limit or of key leases."""
    return next(breaches(plan, record, report, options), None)


def breaches(
    plan: Plan, record: ScriptedRunRecord, report: ScriptedRunReport, options: RunOptions
) -> Iterator[Result]:
    """Yield a result with the text of the breach for each breach of a run."""
    script = plan.script
    overshoot = overshoot_bound(script)
    bucket = bucket_bound(script)
    yield from (result for result in report.results if result.breach)
    if record.facts.get("truth"):
        last = record.facts["truth"][-1]
        if overshoot is not None:
            yield from limit_violations(script, last, record.start, overshoot, options.share)
        yield from bucket_overflow(bucket, last)
    yield from wrong_effects(script, record)
    for row in report.uses if overshoot is not None else ():
        if row["over"] > overshoot:
            yield Result("limit", row["round"], [], 0, f"limit exceeded by {row['over']} calls")


def limit_violations(script: Script, last: dict, start: int, overshoot: int, share: str) -> Iterator[Result]:
    """Yield a breach for each time during which the store had more calls in progress than the bound."""
    limit = script.limits[0].get("in_hand")
    for since, until, most in last["over"] if limit else ():
        if most > limit + overshoot:
            text = f"{most} calls in progress at the store for {(until - since) / US_PER_MS:.1f} ms"
            yield Result("limit", share, [], 0, f"{text}, at {(since - start) / US_PER_S:.2f} s")


def bucket_overflow(bound: float | None, last: dict) -> Iterator[Result]:
    """Yield a breach if the level of the store's rate bucket exceeded its bound."""
    if bound is not None and last["fullest"] > bound:
        text = f"the store's rate bucket reached a level of {last['fullest']:.1f}, but {bound} is the bound"
        yield Result("limit", "rate", [], 0, text)


def wrong_effects(script: Script, record: ScriptedRunRecord) -> Iterator[Result]:
    """Yield a breach if a key ran twice, or if the RPC of a key that never ran was answered ok."""
    effects = record.facts.get("effects")
    if not effects:
        return
    twice = effects["keys that ran twice"] and not script.claims_off
    if twice or effects["ok without a run"]:
        yield Result("claims", "effects", [], 0, str(effects))
