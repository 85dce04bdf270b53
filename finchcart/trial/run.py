"""Plays a plan on processes or on the virtual clock, checks it and reports.

Owns the order in time of a run and its report: table, chart, events. It must never decide what a breach is:
check.py does.
"""

import json
import math
import signal
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import click
import msgspec

from finchcart.members.figures import MS, SECOND, Figures
from finchcart.trial import check
from finchcart.trial.processes import Processes
from finchcart.trial.relay import clock
from finchcart.trial.script import Act, lay_out, read

UP = 0.02  # seconds between the starts of the first processes


def figures_of(fleet):
    """Figures of a script's `fleet`: the same names and units as in the settings file."""
    units = {"_ms": MS, "_s": SECOND}
    told = {}
    for name, value in fleet.items():
        unit = next((unit for end, unit in units.items() if name.endswith(end)), 1)
        told[name.removesuffix("_ms").removesuffix("_s")] = value * unit
    return Figures(**told)


def on_processes(plan, folder, talk=True):
    """(events, start, facts) of a run on real processes."""
    script = plan.script
    fleet = Processes(folder, plan.names, plan.seed, script.fleet, script.load, talk,
                      0 if script.static else script.planners, script.limits, script.quota, script.static)
    late, facts = 0.0, {"driver": "processes", "stats": {}}
    try:
        for name in fleet.planners + plan.first:
            fleet.start(name)
            time.sleep(UP)
        start = clock()
        if plan.script.load:
            callers = fleet.callers(plan.seconds - 2)
        for act in plan.acts + [Act(plan.seconds, "end")]:
            wait = act.at - (clock() - start) / 1e6
            if wait > 0:
                time.sleep(wait)
            late = max(late, -wait)
            perform(fleet, act)
        for name in fleet.running():
            facts["stats"][name] = stats(fleet, name)
        if plan.script.load:
            callers.wait(20)
            facts["load"] = json.loads((folder / "load.json").read_text())
            time.sleep(0.5)
            facts["truth"] = fleet.truth()
        facts["links"] = fleet.counts()
    finally:
        fleet.end()
    facts["late_s"] = late
    return check.from_logs(folder, plan.names, fleet.began), start, facts


def stats(fleet, name):
    from finchcart.cli.serve import ask
    cpu, mb = fleet.usage(name)
    try:
        view = ask((fleet.own(name), 7400), 1.0) if fleet.talk and name not in fleet.planners else {}
    except TimeoutError:
        view = {}
    return {"cpu_s": cpu, "mb": mb, "late_ms": view.get("late_ms"), "loss": view.get("loss"),
            "stale_ms": view.get("age_ms"), "counts": view.get("counts", {})}


def perform(fleet, act):
    if act.what == "rule":
        fleet.order({"do": "rule", "pairs": act.pairs, "set": act.set})
    elif act.what == "clear":
        fleet.order({"do": "clear"})
    elif act.what != "end":
        for name in act.who:
            getattr(fleet, act.what)(name)


def on_virtual(plan, make=None, after_step=None):
    """The same on the virtual clock."""
    from finchcart.members.member import Member
    from finchcart.trial.virtual import Fleet
    events = []

    def watch(now, name, effect):
        if effect[0] == "change":
            events.append(check.Event(now, name, "state", effect[1], effect[2], f"{now} {name}: {effect}"))
        elif effect[0] == "isolated":
            events.append(check.Event(now, name, "isolated", "", effect[1], f"{now} {name}: {effect}"))
        elif "gap_ms" in effect[2]:
            events.append(check.Event(now, name, "woke", "", str(effect[2]["gap_ms"])))

    fleet = Fleet(plan.names, plan.seed, figures_of(plan.script.fleet), watch=watch, make=make or Member)
    start, ends = fleet.now, {}
    draining = Random(f"drain {plan.seed}")
    for name in plan.first:
        events.append(check.Event(fleet.now, name, "began"))
        fleet.start(name)
    todo = [(act.at, n, act) for n, act in enumerate(plan.acts)]
    for at, _, act in sorted(todo, key=lambda item: item[:2]):
        when = start + int(at * 1e6)
        while ends and min(ends.values()) <= when:
            finish(fleet, ends, min(ends, key=ends.get), after_step)
        fleet.run(when, after_step)
        if act.what == "rule":
            for a, b in act.pairs or [(None, None)]:
                fleet.fabric.reduce(fleet.now, ("rule", a, b, act.set))
        elif act.what == "clear":
            fleet.fabric.reduce(fleet.now, ("clear",))
        for name in act.who:
            if act.what == "term":
                fleet.tell(name, "leave")
                ends[name] = fleet.now + 400_000 + draining.randrange(1_500_000)
            else:
                if act.what == "start":
                    events.append(check.Event(fleet.now, name, "began"))
                getattr(fleet, act.what)(name)
    while ends:
        finish(fleet, ends, min(ends, key=ends.get), after_step)
    fleet.run(start + int(plan.seconds * 1e6), after_step)
    facts = {"driver": "virtual", "links": fleet.fabric.total(), "late_s": 0.0, "stats": {
        name: {"late_ms": fleet.places[name].member.late // 1000, "loss": fleet.places[name].member.loss,
               "stale_ms": fleet.places[name].member.stale() // 1000,
               "counts": fleet.places[name].member.counts} for name in fleet.live()}}
    return events, start, facts


def finish(fleet, ends, name, after_step):
    """The end of a drain: the last words, then nothing."""
    fleet.run(ends.pop(name), after_step)
    fleet.tell(name, "end")
    fleet.kill(name)


def quantile(times, part):
    return sorted(times)[min(len(times) - 1, math.ceil(part * len(times)) - 1)] if times else math.nan


def rows(results):
    """Rounds of one name together: name, what, how many, median, 99th percentile, worst, changes,
    breaches."""
    groups = {}
    for result in results:
        head, _, tail = result.name.partition("#")
        key = f"{head} {tail.partition(' ')[2]}".strip() if tail else head
        groups.setdefault((key, result.what), []).append(result)
    out = []
    for (name, what), group in groups.items():
        times = [t for result in group for t in result.times]
        out.append({"name": name, "what": what, "rounds": len(group), "held": len(times),
                    "median_s": quantile(times, 0.5), "p99_s": quantile(times, 0.99),
                    "worst_s": max(times, default=math.nan), "changes": sum(r.changes for r in group),
                    "breaches": sum(r.breach is not None for r in group)})
    return out


def table(made):
    head = ("| expectation | what | rounds | held | median s | p99 s | worst s | changes after | breaches |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    cell = lambda value: "-" if value != value else f"{value:.2f}"
    return "\n".join([head] + [
        f"| {r['name']} | {r['what']} | {r['rounds']} | {r['held']} | {cell(r['median_s'])} | "
        f"{cell(r['p99_s'])} | {cell(r['worst_s'])} | {r['changes']} | {r['breaches']} |" for r in made])


def summary(facts, unexpected):
    """One paragraph of what the processes say of themselves."""
    stats = [s for s in facts["stats"].values() if s.get("late_ms") is not None]
    worst = lambda name: max((s[name] for s in stats), default=math.nan)
    lines = [f"{facts['driver']}; own ticks late by at most {worst('late_ms')} ms at the end, "
             f"{unexpected} pauses nobody ordered; measured loss at most {worst('loss')}; "
             f"views by their own word at most {worst('stale_ms')} ms old; links: {facts['links']}"]
    if facts.get("load"):
        lines.append(f"RPCs: {facts['load']}")
    if facts.get("truth") and facts["truth"][-1]["calls"]:
        lines.append(truth(facts))
    return "\n".join(lines)


def truth(facts):
    """What the store counted: most at once, use, and the moments beyond the limit."""
    first, last = facts["truth"][0], facts["truth"][-1]
    over = [(until - since) / 1000 for since, until, _ in last["over"]]
    span = (last["t_us"] - first["t_us"]) / 1e6
    return (f"store: {last['calls']} calls, {last['most']} at once at most, {last['late']} late, "
            f"{(last['used'] - first['used']) / span:.1f} in hand on average; moments beyond the limit: "
            f"{len(over)}, together {sum(over):.1f} ms, the longest {max(over, default=0):.1f} ms")


def judge(plan, events, start):
    history = check.History(events)
    return [check.check(history, hold, start) for hold in plan.holds]


def told_to_end(*_):
    """Guards against processes that outlive a run that was told to end: the clean-up runs then too, and a
    second word does not break it off."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(3)


def play(script, seed, nodes, out, virtual, apart=False):
    """Status: 0, or 1 with the first breach printed. `apart`: the nodes don't talk, nothing is held of
    them."""
    plan = lay_out(read(script), seed, nodes)
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(out or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        events, start, facts = on_virtual(plan) if virtual else on_processes(
            plan, folder / "processes", not apart)
        results = [] if apart else judge(plan, events, start)
        made = rows(results)
        ordered = sum(len(act.who) for act in plan.acts if act.what == "stop")
        unexpected = max(0, sum(event.kind == "woke" for event in events) - ordered)
        text = f"{table(made)}\n\n{summary(facts, unexpected)}"
        click.echo(text)
        if out:
            (folder / "table.md").write_text(
                f"`{script}`, seed {seed}, {len(plan.first)} members\n\n{text}\n")
            (folder / "results.json").write_bytes(msgspec.json.encode(
                {"script": str(script), "seed": seed, "nodes": len(plan.first), "rows": made,
                 "facts": facts}))
            from finchcart.trial.chart import timeline
            timeline(plan, events, start, folder / "timeline.png")
    broken = next((result for result in results if result.breach), None)
    if plan.script.planners and facts.get("truth") and facts["truth"][-1]["over"]:
        since, until, most = facts["truth"][-1]["over"][0]
        text = f"{most} calls in hand at the store for {(until - since) / 1000:.1f} ms"
        broken = broken or check.Result(
            "limit", "strict", [], 0, f"{text}, at {(since - start) / 1e6:.2f} s")
    if broken:
        click.echo(f"BREACH {broken.name} ({broken.what}): {broken.breach}")
    return 1 if broken else 0
