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

from finchcart.fault_injection import check
from finchcart.fault_injection.processes import Processes
from finchcart.fault_injection.relay import clock
from finchcart.fault_injection.script import Act, lay_out, read
from finchcart.membership.config import MS, SECOND, MembershipConfig

UP = 0.02  # seconds between the starts of the first processes


def figures_of(fleet):
    """Figures of a script's `fleet`: the same names and units as in the settings file."""
    units = {"_ms": MS, "_s": SECOND}
    told = {}
    for name, value in fleet.items():
        unit = next((unit for end, unit in units.items() if name.endswith(end)), 1)
        told[name.removesuffix("_ms").removesuffix("_s")] = value * unit
    return MembershipConfig.from_settings(told)


def on_processes(plan, folder, talk=True, oracle=False):
    """(events, start, facts) of a run on real processes. `oracle`: each node is told of the store's state at
    once."""
    script = plan.script
    fleet = Processes(
        folder,
        plan.names,
        plan.seed,
        script.fleet,
        script.load,
        talk,
        0 if script.static else script.planners,
        script.limits,
        script.quota,
        script.static,
        script.spares,
        script.verdicts,
        None if script.claims_off else script.claims,
    )
    fleet.knows_all = oracle
    if script.verdicts is not None:
        import finchcart.cli.queries  # noqa: F401  (guards against a first word that comes late by this import)
    late, facts = 0.0, {"driver": "processes", "stats": {}}
    try:
        for name in fleet.planners + plan.first:
            fleet.start(name)
            time.sleep(UP)
        start = clock()
        if plan.script.load:
            callers = fleet.callers(plan.seconds - 2)
            if any(act.what == "flood" for act in plan.acts):
                fleet.flooder()
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
            if plan.script.load.keyed:
                facts["effects"] = effects(folder, facts["load"].pop("answered"), apart_of(plan.script))
            if any(act.what in ("store", "flood") for act in plan.acts):
                facts["flood"] = fleet.truth("flood.jsonl")
        facts["links"] = fleet.counts()
    finally:
        fleet.end()
    facts["late_s"] = late
    alias = lambda host: (
        f"flood{int(host.rpartition('.')[2]) - 1}" if host.startswith(f"{fleet.net}.9.") else host
    )
    return check.from_logs(folder, plan.names, fleet.began, alias), start, facts


def apart_of(script):
    """Microseconds within which a key may run once."""
    from finchcart.key_leases.config import KeyLeaseConfig

    told = {
        name: script.claims[f"{name}_ms"] * MS
        for name in ("life", "command")
        if f"{name}_ms" in (script.claims or {})
    }
    return KeyLeaseConfig(**told).run_spacing_bound()


def effects(folder, answered, apart):
    """What the worker pools' own record says: runs, keys that ran twice within `apart`, and keys that were
    answered ok and never ran."""
    times = {}
    for line in (folder / "effects.txt").read_text().splitlines():
        when, key = line.split(" ", 1)
        times.setdefault(key, []).append(int(when))
    twice = [
        key
        for key, whens in times.items()
        if any(b - a < apart for a, b in zip(sorted(whens), sorted(whens)[1:]))
    ]
    return {
        "runs": sum(map(len, times.values())),
        "keys that ran": len(times),
        "keys that ran twice": len(twice),
        "ok without a run": sum(key not in times for key in answered),
        "first twice": twice[:1],
    }


def stats(fleet, name):
    from finchcart.cli.queries import query_members

    cpu, mb = fleet.usage(name)
    try:
        view = (
            query_members((fleet.own(name), 7400), 1.0) if fleet.talk and name not in fleet.planners else {}
        )
    except TimeoutError:
        view = {}
    return {
        "cpu_s": cpu,
        "mb": mb,
        "late_ms": view.get("late_ms"),
        "loss": view.get("loss"),
        "stale_ms": view.get("age_ms"),
        "counts": view.get("counts", {}),
    }


def perform(fleet, act):
    if act.what == "rule":
        pairs = [pair for pair in act.pairs if pair[0] in fleet.names and pair[1] in fleet.names]
        if pairs or not act.pairs:
            fleet.order({"do": "rule", "pairs": pairs, "set": act.set})
    elif act.what == "clear":
        fleet.order({"do": "clear"})
    elif act.what == "focus":
        fleet.focus(act.who)
    elif act.what == "store":
        fleet.store(act.who, act.set["state"])
        if fleet.knows_all:
            for name in act.who:
                fleet.say(name, "store", "", "working" if act.set["state"] == "ok" else "down")
    elif act.what == "flood":
        fleet.flood(act.who, act.set)
    elif act.what == "say":
        for name in act.who:
            fleet.say(name, act.set["kind"], act.set.get("name", ""), act.set.get("value", ""))
    elif act.what == "limit":
        for name in act.who:
            if fleet.told.get(name, {}).get("limits"):
                fleet.set_limit(name, act.set)
    elif act.what == "end_elsewhere":
        fleet.kill(fleet.spares[0])
    elif act.what != "end":
        for name in act.who:
            if name == "leader":
                name = fleet.leads() if act.what in ("stop", "kill") else fleet.leader
            if name is None or name not in fleet.names:
                continue  # played without planners
            getattr(fleet, act.what)(name)


def on_virtual(plan, make=None, after_step=None):
    """The same on the virtual clock."""
    from finchcart.fault_injection.virtual import Fleet
    from finchcart.membership.member import Member

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
    facts = {
        "driver": "virtual",
        "links": fleet.fabric.total(),
        "late_s": 0.0,
        "stats": {
            name: {
                "late_ms": fleet.places[name].member.lateness // 1000,
                "loss": fleet.places[name].member.loss,
                "stale_ms": fleet.places[name].member.staleness_bound() // 1000,
                "counts": fleet.places[name].member.counts,
            }
            for name in fleet.live()
        },
    }
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
        out.append(
            {
                "name": name,
                "what": what,
                "rounds": len(group),
                "held": len(times),
                "median_s": quantile(times, 0.5),
                "p99_s": quantile(times, 0.99),
                "worst_s": max(times, default=math.nan),
                "changes": sum(r.changes for r in group),
                "breaches": sum(r.breach is not None for r in group),
            }
        )
    return out


def table(made):
    head = (
        "| expectation | what | rounds | held | median s | p99 s | worst s | changes after | breaches |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    cell = lambda value: "-" if value != value else f"{value:.2f}"
    return "\n".join(
        [head]
        + [
            f"| {r['name']} | {r['what']} | {r['rounds']} | {r['held']} | {cell(r['median_s'])} | "
            f"{cell(r['p99_s'])} | {cell(r['worst_s'])} | {r['changes']} | {r['breaches']} |"
            for r in made
        ]
    )


def summary(facts, unexpected):
    """One paragraph of what the processes say of themselves."""
    stats = [s for s in facts["stats"].values() if s.get("late_ms") is not None]
    worst = lambda name: max((s[name] for s in stats), default=math.nan)
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
        lines.append(truth(facts))
    return "\n".join(lines)


def truth(facts):
    """What the store counted: most at once, use, and the moments beyond the limit."""
    first, last = facts["truth"][0], facts["truth"][-1]
    over = [(until - since) / 1000 for since, until, _ in last["over"]]
    span = (last["t_us"] - first["t_us"]) / 1e6
    return (
        f"store: {last['calls']} calls, {last['most']} at once at most, {last['late']} late, "
        f"{(last['used'] - first['used']) / span:.1f} in hand on average; moments beyond the limit: "
        f"{len(over)}, together {sum(over):.1f} ms, the longest {max(over, default=0):.1f} ms; "
        f"fullest bucket {last['fullest']:.1f}"
    )


def uses(plan, facts, start):
    """Of each kind of round, what the store counted: use of the limit, the least of one, most in hand, and by
    how much that is beyond the limit."""
    lines, whole = facts["truth"], plan.script.limits[0].get("in_hand")
    groups = {}
    for name, since, until, limit in plan.spans if whole else ():
        limit = limit or whole
        inside = [line for line in lines if start + since * 1e6 <= line["t_us"] <= start + until * 1e6]
        if len(inside) > 1:
            first, last = inside[0], inside[-1]
            use = (last["used"] - first["used"]) / (limit * (last["t_us"] - first["t_us"]) / 1e6)
            most = max(line["lately"] for line in inside)
            groups.setdefault(name, []).append((use, most, max(0, most - limit)))
    return [
        {
            "round": name,
            "rounds": len(group),
            "use": sum(use for use, *_ in group) / len(group),
            "least_use": min(use for use, *_ in group),
            "most": max(most for _, most, _ in group),
            "over": max(over for *_, over in group),
        }
        for name, group in groups.items()
    ]


def use_table(made):
    return "\n".join(
        [
            "| round | played | use of the limit | least | most in hand | beyond it |",
            "| --- | --- | --- | --- | --- | --- |",
        ]
        + [
            f"| {row['round']} | {row['rounds']} | {row['use']:.2f} | {row['least_use']:.2f} "
            f"| {row['most']} | {row['over']} |"
            for row in made
        ]
    )


def calls_by_round(plan, events, facts, start):
    """Of each kind of round with faults of the store or floods: calls, those wasted on a store that is down,
    the most in hand, the most changes of the store's verdict at one node, and of the RPCs of flooding sources
    how many were taken in all and later than the bound after the first node shut one out."""
    stores = [event for event in events if event.of == "store" and event.kind == "state"]
    shuts = [event for event in events if event.of.startswith("source") and event.value == "out"]
    groups = {}
    for name, since, until, _ in plan.spans:
        since, until = start + since * 1e6, start + until * 1e6
        inside = [line for line in facts["truth"] if since <= line["t_us"] <= until]
        if len(inside) < 2:
            continue
        first, last = inside[0], inside[-1]
        changes = {}
        for event in stores:
            if since <= event.when <= until:
                changes[event.at] = changes.get(event.at, 0) + 1
        shut = min((event.when for event in shuts if since <= event.when <= until), default=None)
        taken = [
            line["t_us"]
            for line in facts.get("flood", ())
            if since <= line["t_us"] <= until and line["how"] == "ok"
        ]
        groups.setdefault(name, []).append(
            {
                "calls": last["calls"] - first["calls"],
                "wasted": last["wasted"] - first["wasted"],
                "most": max(line["lately"] for line in inside),
                "changes": max(changes.values(), default=0),
                "taken": len(taken),
                "taken_after": sum(shut is not None and t > shut + 2e6 for t in taken),
            }
        )
    return [
        {
            "round": name,
            "rounds": len(group),
            "most": max(each["most"] for each in group),
            "changes": max(each["changes"] for each in group),
            **{
                word: sum(each[word] for each in group)
                for word in ("calls", "wasted", "taken", "taken_after")
            },
        }
        for name, group in groups.items()
    ]


def calls_table(made):
    words = "rounds", "calls", "wasted", "most", "changes", "taken", "taken_after"
    head = (
        "| round | played | calls | wasted | most in hand | changes of verdict | "
        "RPCs of floods taken | 2 s after one shut it out |\n" + "| --- " * 8 + "|"
    )
    cells = lambda row: " | ".join(str(row[word]) for word in ("round", *words))
    return "\n".join([head] + [f"| {cells(row)} |" for row in made])


def judge(plan, events, start):
    history = check.History(events)
    return [check.check(history, hold, start) for hold in plan.holds]


def told_to_end(*_):
    """Guards against processes that outlive a run that was told to end: the clean-up runs then too, and a
    second word does not break it off."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(3)


def shared_as(script, way):
    """The script with its first limit held in another way: "loose", or "static" (each node its part)."""
    if way == "static":
        script.static = True
    elif way == "loose":
        script.limits[0] = {**script.limits[0], "mode": "loose", "floor": 0}
        script.planners = 0
    return script


def quota_of(script):
    """The limits of a script as its processes have them; None where nothing holds them."""
    from finchcart.cli.settings_file import check_settings
    from finchcart.cli.settings_schema import quota_config

    if script.static or not script.limits:
        return None
    planners = [f"127.0.0.1:{n + 2}" for n in range(script.planners)]
    return quota_config(
        check_settings(
            {
                "fleet": {"name": "x", "listen": "127.0.0.1:1"},
                "limits": script.limits,
                "quota": {"planners": planners, **script.quota},
            },
            "script",
        )
    )


def most_over(script):
    """By how much the limit may be exceeded, whatever fails; None where nothing holds it."""
    shared = quota_of(script)
    if shared is None:
        return None
    limit = shared.limits[0]
    return 0 if limit.strict else shared.loose_overshoot_bound(limit, script.nodes)


def fullest_at_most(script):
    """Of a bucket at the store that empties at the strict rate which the first limit is; None where it is
    none. Calls that were counted are written up to the slack later, so that so many may come in one
    moment."""
    shared = quota_of(script)
    if shared is None or shared.limits[0].per != "rate" or not shared.limits[0].strict:
        return None
    return shared.window_bound(shared.limits[0], 0)


def shortened(script, times):
    """The script with each kind of round played so often."""
    for each in script.rounds:
        each.count = times
    script.seconds = max(each.at + (times - 1) * each.every + each.length for each in script.rounds)
    return script


def play(script, seed, nodes, out, virtual, apart=False, way="strict", verdicts="on", times=None):
    """Status: 0, or 1 with the first breach printed. `apart`: the nodes don't talk, nothing is held of
    them; `way`: see `shared_as`; `verdicts`: "on", "off", or "oracle": all are told of the store at once."""
    told = shared_as(read(script), way)
    plan = lay_out(shortened(told, times) if times else told, seed, nodes)
    if verdicts == "off":
        plan.script.claims_off = True
    if verdicts != "on":
        plan.holds = []
        plan.script.verdicts = plan.script.verdicts if verdicts == "oracle" else None
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(out or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        events, start, facts = (
            on_virtual(plan)
            if virtual
            else on_processes(plan, folder / "processes", not apart, verdicts == "oracle")
        )
        results = [] if apart else judge(plan, events, start)
        made = rows(results)
        ordered = sum(len(act.who) for act in plan.acts if act.what == "stop")
        unexpected = max(0, sum(event.kind == "woke" for event in events) - ordered)
        text = f"{table(made)}\n\n{summary(facts, unexpected)}"
        used = uses(plan, facts, start) if plan.script.limits and facts.get("truth") else []
        if used:
            text += f"\n\n{use_table(used)}"
        earned = calls_by_round(plan, events, facts, start) if facts.get("flood") is not None else []
        if earned:
            text += f"\n\n{calls_table(earned)}"
        click.echo(text)
        if out:
            (folder / "table.md").write_text(
                f"`{script}`, seed {seed}, {len(plan.first)} members\n\n{text}\n"
            )
            (folder / "results.json").write_bytes(
                msgspec.json.encode(
                    {
                        "script": str(script),
                        "seed": seed,
                        "nodes": len(plan.first),
                        "rows": made,
                        "uses": used,
                        "calls": earned,
                        "facts": facts,
                    }
                )
            )
            from finchcart.fault_injection.chart import timeline

            timeline(plan, events, start, folder / "timeline.png")
    broken = next((result for result in results if result.breach), None)
    over = most_over(plan.script)
    whole = plan.script.limits[0].get("in_hand") if over is not None and facts.get("truth") else None
    for since, until, most in facts["truth"][-1]["over"] if whole else ():
        if most > whole + over and not broken:
            text = f"{most} calls in hand at the store for {(until - since) / 1000:.1f} ms"
            broken = check.Result("limit", way, [], 0, f"{text}, at {(since - start) / 1e6:.2f} s")
    most = fullest_at_most(plan.script)
    if most is not None and facts.get("truth") and facts["truth"][-1]["fullest"] > most and not broken:
        text = f"the store's bucket held {facts['truth'][-1]['fullest']:.1f}, {most} at most"
        broken = check.Result("limit", "rate", [], 0, text)
    made = facts.get("effects")
    twice = made and made["keys that ran twice"] and not plan.script.claims_off
    if made and (twice or made["ok without a run"]) and not broken:
        broken = check.Result("claims", "effects", [], 0, str(made))
    for row in used if over is not None else ():
        if row["over"] > over and not broken:
            broken = check.Result("limit", row["round"], [], 0, f"over by {row['over']}")
    if broken:
        click.echo(f"BREACH {broken.name} ({broken.what}): {broken.breach}")
    return 1 if broken else 0
