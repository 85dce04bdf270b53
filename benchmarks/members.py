"""Benchmark membership by fleet size: detection time, wrong verdicts, messages and bytes per member.

    .venv/bin/python -m benchmarks.members --json docs/results/members-size.json
    .venv/bin/python -m benchmarks.members --cost    # 24 node processes, with membership and without
    .venv/bin/python -m benchmarks.members --rules   # other verdict rules under one-sided cuts and loss

Sizes and rules run the real state machines on the virtual clock in one thread; `--cost` measures real
processes on loopback. The program prints its measurements and must never fail because of their values.
"""

import argparse
import functools
import json
import math
import statistics
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from benchmarks.membership_rules import RULES_COLUMNS, rule_rows
from finchcart.fault_injection.membership.simulation import MembershipSimulation
from finchcart.fault_injection.scripted_runs.plan import Plan, PlannedAction
from finchcart.fault_injection.scripted_runs.process_run import play_on_processes
from finchcart.fault_injection.scripted_runs.script import Script, ScriptedLoad, StepKind
from finchcart.membership import failure_detection, view
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.effects import MemberChanged

MAX_STARTED_TOGETHER = 300  # members that start at the same time and know only the seeds
JOIN_US = 4 * SECOND
JOIN_TIMEOUT_US = 30 * SECOND
LOSS_MEASURED_US = 6 * SECOND
MEASURED_S = 6
COST_NODES = 24
RULES_NODES = 24

SIZE_COLUMNS = {
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
COST_COLUMNS = {
    "talk": "membership",
    "cpu": "CPU of a node, % of a core",
    "mb": "peak MB",
    "ok": "ok",
    "median_ms": "median ms",
    "p99_ms": "p99 ms",
}


# ---- by size


class SizeRun:
    """A run of a fleet of `count` members: all join, the fleet is calm, then members are killed in turn."""

    def __init__(self, count: int, loss: float) -> None:
        self.count = count
        self.loss = loss
        self.changes: list[tuple[int, str, str, str]] = []  # (time, observer, member, state)
        self.dead: set[str] = set()
        names = [f"n{number:04d}" for number in range(count)]
        self.fleet = MembershipSimulation(names, f"size {count}", MembershipConfig(), watch=self._watch)
        self.detection_times: list[float] = []  # seconds from each kill to each failed verdict on the member
        self.last_detection_times: list[float] = []  # seconds to the last verdict; NaN if one is missing

    def _watch(self, now: int, name: str, effect: tuple) -> None:
        if isinstance(effect, MemberChanged):
            self.changes.append((now, name, effect.name, effect.state))

    def join(self) -> float | None:
        """Start all members; return the seconds until each member knows all members.

        Return None if the fleet is so large that each member is given the rows of all at the start.
        """
        fleet = self.fleet
        for name in fleet.processes:
            fleet.start(name)
        if self.count > MAX_STARTED_TOGETHER:
            introduce_all(fleet)
        fleet.run(JOIN_US)
        while not self._all_know_all() and fleet.now < JOIN_TIMEOUT_US:
            fleet.run(fleet.now + SECOND)
        return fleet.now / SECOND if self.count <= MAX_STARTED_TOGETHER else None

    def _all_know_all(self) -> bool:
        return all(len(seen) == self.count for seen in self.fleet.views().values())

    def lose_messages(self) -> None:
        """Let all links lose messages, and wait until the members have measured the loss."""
        if self.loss:
            self.fleet.network.set_rule(self.fleet.now, None, None, {"lose": self.loss})
            self.fleet.run(self.fleet.now + LOSS_MEASURED_US)

    def send_rates(self) -> list[float]:
        """Return the messages and the bytes that a member sends per second while no member fails."""
        columns = ("sent", "bytes sent")
        before = [self._sum(column) for column in columns]
        self.fleet.run(self.fleet.now + MEASURED_S * SECOND)
        after = [self._sum(column) for column in columns]
        return [(after[n] - before[n]) / self.count / MEASURED_S for n in range(len(columns))]

    def _sum(self, column: str) -> int:
        running = self.fleet.running()
        return sum(self.fleet.processes[name].machine.counts.get(column, 0) for name in running)

    def kill(self, name: str) -> None:
        """Kill a member, wait until its detection is due, and record the times of the verdicts on it."""
        fleet = self.fleet
        killed = fleet.now
        fleet.kill(name)
        self.dead.add(name)
        bound = fleet.config.detection_bound(self.count, self.loss)
        fleet.run(killed + int(1.1 * bound) + SECOND)
        times = [
            (when - killed) / SECOND
            for when, _, subject, state in self.changes
            if when > killed and (subject, state) == (name, "failed")
        ]
        self.detection_times += times
        self.last_detection_times.append(max(times) if len(times) == len(fleet.running()) else math.nan)

    def wrong_verdicts(self) -> int:
        """Return the number of failed verdicts on members that were alive."""
        return sum(state == "failed" and subject not in self.dead for _, _, subject, state in self.changes)


def introduce_all(fleet: MembershipSimulation) -> None:
    """Give each member the rows of all, as after a start that was spread over minutes.

    No installation starts thousands of members at once that know no running member, and simulating such a
    start takes hours in one thread.
    """
    members = [process.machine for process in fleet.processes.values()]
    rows = [each.record for each in members]
    for each in members:
        for row in rows:
            each.learn(fleet.now, row)
        each.table.updates.clear()


def cache_watch_graph() -> None:
    """Cache the watch graph, so that this thread computes it once for all members.

    `view.watch_graph` is a pure function with the same arguments at all members here. In a real fleet each
    process computes the graph itself.
    """
    cached = functools.lru_cache(maxsize=64)(view.watch_graph)
    failure_detection.watch_graph = lambda ids, watch: cached(frozenset(ids), watch)


def size_row(count: int, loss: float, kills: int) -> dict:
    """Return the row for a fleet of `count` members, of which `kills` are killed one after the other."""
    cache_watch_graph()
    began = time.monotonic()
    run = SizeRun(count, loss)
    joined = run.join()
    run.lose_messages()
    run.changes.clear()
    start = run.fleet.now
    messages, size = run.send_rates()
    for number in range(kills):
        run.kill(f"n{(number + 1) * count // (kills + 2):04d}")
    hours = count * (run.fleet.now - start) / SECOND / 3600
    return {
        "members": count,
        "loss": loss,
        "all_know_all_s": joined,
        "median_s": statistics.median(run.detection_times),
        "p99_s": sorted(run.detection_times)[math.ceil(0.99 * len(run.detection_times)) - 1],
        "last_s": max(run.last_detection_times),
        "bound_s": run.fleet.config.detection_bound(count, loss) / SECOND,
        "wrong_an_hour": run.wrong_verdicts() / hours,
        "member_hours": hours,
        "messages": messages,
        "bytes": size,
        "real_s": time.monotonic() - began,
    }


def kills_for_size(count: int) -> int:
    """Return the number of members to kill in a fleet of `count` members."""
    if count <= 100:
        return 5
    return 2 if count < 1000 else 1


# ---- cost


def cost_rows(seconds: float, rate: float) -> list[dict]:
    """Return rows with CPU and memory of nodes and latency of RPCs, with membership and without."""
    rows = []
    for talk in (True, False, True, False):
        load = ScriptedLoad(rate=rate, work_ms=20.0, processes=4)
        script = Script("cost", COST_NODES, seconds, [], load=load)
        names = [f"n{number:02d}" for number in range(COST_NODES)]
        plan = Plan(script, 1, names, names, [PlannedAction(1.0, StepKind.CLEAR)], [], seconds)
        with tempfile.TemporaryDirectory() as folder:
            facts = play_on_processes(plan, Path(folder), talk).facts
        figures = facts["stats"].values()
        rows.append(
            {
                "talk": talk,
                "cpu": 100 * statistics.mean(each["cpu_s"] for each in figures) / seconds,
                "mb": statistics.mean(each["mb"] for each in figures),
                **facts["load"],
            }
        )
    return rows


# ---- table, chart and command


def cell(value: object) -> str:
    """Return the text of a value in a table cell."""
    if isinstance(value, float):
        return f"{value:.2f}"
    return "-" if value is None else str(value)


def table(rows: Iterable[dict], columns: dict[str, str]) -> str:
    """Return a Markdown table of the rows; `columns` maps keys of a row to column heads."""
    lines = ["| " + " | ".join(columns.values()) + " |", "| --- " * len(columns) + "|"]
    lines += ["| " + " | ".join(cell(row[name]) for name in columns) + " |" for row in rows]
    return "\n".join(lines)


def save_chart(rows: list[dict], path: str) -> None:
    """Save a chart of detection time and bytes sent by fleet size."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss, colour in ((0.0, "#2e6f95"), (0.3, "#c8553d")):
        loss_rows = [row for row in rows if row["loss"] == loss]
        count = [row["members"] for row in loss_rows]
        last = [row["last_s"] for row in loss_rows]
        left.plot(count, last, "o-", color=colour, label=f"last to know, loss {loss:.0%}")
        left.plot(count, [row["bound_s"] for row in loss_rows], "--", color=colour, label="bound by formula")
        right.plot(
            count, [row["bytes"] / 1000 for row in loss_rows], "o-", color=colour, label=f"loss {loss:.0%}"
        )
    for axes, name in ((left, "seconds from the death"), (right, "kB sent a member-second")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(name)
        axes.set_ylim(0)
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def size_rows(arguments: argparse.Namespace) -> list[dict]:
    """Return the rows of earlier runs and of all requested sizes; print each new row when it is complete."""
    rows = [row for path in arguments.join or () for row in json.loads(Path(path).read_text())]
    for count in arguments.sizes:
        for loss in arguments.losses:
            rows.append(size_row(count, loss, kills_for_size(count)))
            print(json.dumps(rows[-1]), flush=True)
    rows.sort(key=lambda row: (row["members"], row["loss"]))
    return rows


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[10, 24, 100, 300, 1000, 2000])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.3])
    parser.add_argument(
        "--join", nargs="*", help="JSON files of earlier runs to include in the table and chart"
    )
    parser.add_argument("--json")
    parser.add_argument("--chart")
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--rules", action="store_true")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rate", type=float, default=240.0)
    return parser.parse_args()


def main() -> None:
    """Run the measurements that the command line selects."""
    arguments = parse_arguments()
    if arguments.rules:
        rows = rule_rows(RULES_NODES)
        print(table(rows, RULES_COLUMNS))
    elif arguments.cost:
        rows = cost_rows(arguments.seconds, arguments.rate)
        print(table(rows, COST_COLUMNS))
    else:
        rows = size_rows(arguments)
        print(table(rows, SIZE_COLUMNS))
        if arguments.chart:
            save_chart(rows, arguments.chart)
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
