"""Membership by size, on the virtual clock: detection, wrong verdicts, messages and bytes a member-second.

    .venv/bin/python -m benchmarks.members --json docs/results/members-size.json
    .venv/bin/python -m benchmarks.members --cost    # 24 processes that serve RPCs, with and without it
    .venv/bin/python -m benchmarks.members --rules   # other verdict rules on the same rows, one-sided cuts

Owns the measurement. It must never judge: it reports. Virtual figures are of the true state machines in one
thread; the cost is of real processes on loopback.
"""

import argparse
import functools
import json
import math
import statistics
import tempfile
import time
from pathlib import Path

from finchcart.fault_injection.script import Act, Load, Plan, Script
from finchcart.fault_injection.virtual import Fleet
from finchcart.membership import failure_detection, view
from finchcart.membership.config import SECOND, MembershipConfig


def know_each_other(fleet):
    """Rows of all at everybody, as after a start that was spread over minutes: thousands that start in one
    moment, with nobody to ask, are no installation, and take hours of one thread."""
    rows = [place.member.record for place in fleet.places.values()]
    for place in fleet.places.values():
        for row in rows:
            place.member.learn(fleet.now, row)
        place.member.table.updates.clear()


def size(count, loss, kills, together=300):
    """One row: a fleet of `count`, calm for a while, then `kills` members killed at a time apart. Up to
    `together` members start in one moment, knowing the seeds alone."""
    # Pure, and the same at all members here: worked out once in this thread, by each process in a fleet.
    once = functools.lru_cache(maxsize=64)(view.watch_graph)
    failure_detection.watch_graph = lambda ids, watch: once(frozenset(ids), watch)
    events, began = [], time.monotonic()
    fleet = Fleet(
        [f"n{n:04d}" for n in range(count)],
        f"size {count}",
        MembershipConfig(),
        watch=lambda now, name, effect: events.append((now, name, effect)),
    )
    for name in fleet.places:
        fleet.start(name)
    if count > together:
        know_each_other(fleet)
    fleet.run(4 * SECOND)
    while not all(len(seen) == count for seen in fleet.views().values()) and fleet.now < 30 * SECOND:
        fleet.run(fleet.now + SECOND)
    joined = fleet.now / SECOND if count <= together else None
    if loss:
        fleet.fabric.reduce(fleet.now, ("rule", None, None, {"lose": loss}))
        fleet.run(fleet.now + 6 * SECOND)
    sums = lambda what: sum(fleet.places[name].member.counts.get(what, 0) for name in fleet.live())
    events.clear()
    sent, size_, start = sums("sent"), sums("bytes sent"), fleet.now
    fleet.run(start + 6 * SECOND)
    rates = [(sums(what) - before) / count / 6 for what, before in (("sent", sent), ("bytes sent", size_))]
    took, all_took, dead = [], [], set()
    for n in range(kills):
        name, killed = f"n{(n + 1) * count // (kills + 2):04d}", fleet.now
        fleet.kill(name)
        dead.add(name)
        fleet.run(killed + int(1.1 * fleet.figures.detection_bound(count, loss)) + SECOND)
        times = [
            (now - killed) / SECOND
            for now, at, effect in events
            if now > killed and effect[0] == "change" and effect[1:3] == (name, "failed")
        ]
        took += times
        all_took.append(max(times) if len(times) == len(fleet.live()) else math.nan)
    wrong = [
        effect
        for now, at, effect in events
        if effect[0] == "change" and effect[2] == "failed" and effect[1] not in dead
    ]
    hours = count * (fleet.now - start) / SECOND / 3600
    return {
        "members": count,
        "loss": loss,
        "all_know_all_s": joined,
        "median_s": statistics.median(took),
        "p99_s": sorted(took)[math.ceil(0.99 * len(took)) - 1],
        "last_s": max(all_took),
        "bound_s": fleet.figures.detection_bound(count, loss) / SECOND,
        "wrong_an_hour": len(wrong) / hours,
        "member_hours": hours,
        "messages": rates[0],
        "bytes": rates[1],
        "real_s": time.monotonic() - began,
    }


COLUMNS = {
    "members": "members",
    "loss": "loss",
    "all_know_all_s": "start: all know all by s",
    "median_s": "failed, median s",
    "p99_s": "p99 s",
    "last_s": "the last s",
    "bound_s": "bound s",
    "wrong_an_hour": "wrong verdicts a member-hour",
    "member_hours": "member-hours",
    "messages": "messages sent a member-second",
    "bytes": "bytes",
}


def table(rows, columns):
    cell = lambda value: f"{value:.2f}" if isinstance(value, float) else "-" if value is None else str(value)
    return "\n".join(
        ["| " + " | ".join(columns.values()) + " |", "| --- " * len(columns) + "|"]
        + ["| " + " | ".join(cell(row[name]) for name in columns) + " |" for row in rows]
    )


def chart(rows, path):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss, colour in ((0.0, "#2e6f95"), (0.3, "#c8553d")):
        mine = [row for row in rows if row["loss"] == loss]
        count = [row["members"] for row in mine]
        left.plot(
            count, [row["last_s"] for row in mine], "o-", color=colour, label=f"last to know, loss {loss:.0%}"
        )
        left.plot(count, [row["bound_s"] for row in mine], "--", color=colour, label="bound by formula")
        right.plot(count, [row["bytes"] / 1000 for row in mine], "o-", color=colour, label=f"loss {loss:.0%}")
    for axes, name in ((left, "seconds from the death"), (right, "kB sent a member-second")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(name)
        axes.set_ylim(0)
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def cost(seconds, rate):
    """Rows with and without membership: CPU and memory of 24 nodes, latency of their RPCs."""
    from finchcart.fault_injection.run import on_processes

    rows = []
    for talk in (True, False, True, False):
        script = Script("cost", 24, seconds, [], load=Load(rate=rate, work_ms=20.0, processes=4))
        names = [f"n{n:02d}" for n in range(24)]
        plan = Plan(script, 1, names, names, [Act(1.0, "clear")], [], seconds)
        with tempfile.TemporaryDirectory() as folder:
            _, _, facts = on_processes(plan, Path(folder), talk)
        stats, load = list(facts["stats"].values()), facts["load"]
        rows.append(
            {
                "talk": talk,
                "cpu": 100 * statistics.mean(s["cpu_s"] for s in stats) / seconds,
                "mb": statistics.mean(s["mb"] for s in stats),
                **load,
            }
        )
    return rows


def own_links(me, down, graph, out=frozenset()):
    """Each by its own links alone: all-to-all heartbeats."""
    return set(graph) - set(down[me])


def no_way_round(me, down, graph, out=frozenset()):
    """Out where any one in reach finds no way to it, not over three others either: probes as SWIM's."""
    cut = lambda a, b: b in down.get(a, ()) or a in down.get(b, ())
    ids, part = sorted(graph), {me}
    for n, one in enumerate(ids):
        reach = [a for a in ids if a not in (one, me) and not cut(me, a)] + [me]
        ways = lambda a: [ids[(ids.index(a) + n + k) % len(ids)] for k in (1, 2, 3)]
        if not any(
            cut(a, one) and all(w in (a, one) or cut(a, w) or cut(w, one) for w in ways(a))
            for a in reach
            if a != one
        ):
            part.add(one)
    return part


def rules(nodes):
    """Changes of verdict on those that are to stay, and after the verdict on those that are out, by rule,
    over the script `cuts`; and failed verdicts at 30 % loss."""
    from finchcart.fault_injection.check import History, check
    from finchcart.fault_injection.run import on_virtual
    from finchcart.fault_injection.script import lay_out, read

    rows = []
    for name, rule in (
        ("own links", own_links),
        ("any observer without a way round", no_way_round),
        ("half of the links", view.connected_members),
    ):
        failure_detection.connected_members = rule
        plan = lay_out(read("cuts"), 1, nodes)
        events, start, _ = on_virtual(plan)
        results = [check(History(events), hold, start) for hold in plan.holds]
        script = read("loss")
        script.seconds = 120
        events, start, _ = on_virtual(lay_out(script, 1, nodes))
        rows.append(
            {
                "rule": name,
                "wrong": sum(r.changes for r in results if r.what == "never"),
                "flaps": sum(r.changes for r in results if r.what == "agree"),
                "breaches": f"{sum(r.breach is not None for r in results)} of {len(results)}",
                "lossy": sum(event.kind == "state" and event.value == "failed" for event in events),
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    failure_detection.connected_members = view.connected_members
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[10, 24, 100, 300, 1000, 2000])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.3])
    parser.add_argument("--join", nargs="*", help="JSON of earlier runs, for one table and chart")
    parser.add_argument("--json")
    parser.add_argument("--chart")
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--rules", action="store_true")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rate", type=float, default=240.0)
    told = parser.parse_args()
    if told.rules:
        rows = rules(24)
        print(
            table(
                rows,
                {
                    "rule": "rule",
                    "wrong": "wrong verdicts on those that stay",
                    "flaps": "changes after a verdict",
                    "breaches": "expectations broken",
                    "lossy": "failed at 30 % loss, 2 minutes",
                },
            )
        )
    elif told.cost:
        rows = cost(told.seconds, told.rate)
        print(
            table(
                rows,
                {
                    "talk": "membership",
                    "cpu": "CPU of a node, % of a core",
                    "mb": "peak MB",
                    "ok": "ok",
                    "median_ms": "median ms",
                    "p99_ms": "p99 ms",
                },
            )
        )
    else:
        rows = [row for path in told.join or () for row in json.loads(Path(path).read_text())]
        for count in told.sizes:
            for loss in told.losses:
                rows.append(size(count, loss, 5 if count <= 100 else 2 if count < 1000 else 1))
                print(json.dumps(rows[-1]), flush=True)
        rows.sort(key=lambda row: (row["members"], row["loss"]))
        print(table(rows, COLUMNS))
        if told.chart:
            chart(rows, told.chart)
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
