"""Execute a plan on real processes."""

import json
import time
from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from itertools import pairwise
from pathlib import Path

from finchcart.fault_injection.scripted_runs.checker import events_from_logs
from finchcart.fault_injection.scripted_runs.fleet_options import FleetOptions
from finchcart.fault_injection.scripted_runs.plan import LEADER, Plan, PlannedAction
from finchcart.fault_injection.scripted_runs.process_fleet import (
    EFFECTS_FILE,
    FLOOD_FILE,
    LOAD_FILE,
    TRUTH_FILE,
    ProcessFleet,
)
from finchcart.fault_injection.scripted_runs.run_record import Facts, ScriptedRunRecord
from finchcart.fault_injection.scripted_runs.script import Script, StepKind
from finchcart.fleet_queries import query_members
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.membership.config import MS
from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.store import StoreState

START_INTERVAL_S = 0.02  # between the starts of the initial processes
LOAD_ENDS_BEFORE_S = 2  # time from the end of the load to the end of the run
LOAD_TIMEOUT_S = 20
TRUTH_DELAY_S = 0.5  # time for the simulated store to write its last line
QUERY_TIMEOUT_S = 1.0
US_PER_S = 1e6
END = "end"  # the action at the end of a run


def play_on_processes(
    plan: Plan, folder: Path, exchange_messages: bool = True, oracle: bool = False
) -> ScriptedRunRecord:
    """Execute a plan on processes whose logs and other files go to `folder`.

    Without `exchange_messages` the nodes don't form a fleet. With `oracle` each node learns of a change of
    the store's state immediately, by an operator's override.
    """
    script = plan.script
    fleet = ProcessFleet(
        folder, plan.names, plan.seed, script.fleet, FleetOptions.from_script(script, exchange_messages)
    )
    facts: Facts = {"driver": "processes", "stats": {}}
    try:
        for name in fleet.planners + plan.initial_names:
            fleet.start(name)
            time.sleep(START_INTERVAL_S)
        start = boot_clock()
        late_s = ProcessRun(plan, fleet, oracle, start).play(facts)
    finally:
        fleet.end()
    facts["late_s"] = late_s
    alias = partial(source_alias, fleet.addresses.sources_net)
    return ScriptedRunRecord(events_from_logs(folder, plan.names, fleet.process_starts, alias), start, facts)


def source_alias(sources_net: str, host: str) -> str:
    """Return the name of the flood source with this address; any other address unchanged."""
    if not host.startswith(f"{sources_net}."):
        return host
    return f"flood{int(host.rpartition('.')[2]) - 1}"


class ProcessRun:
    """The execution of a plan on a fleet of processes."""

    def __init__(self, plan: Plan, fleet: ProcessFleet, oracle: bool, start: int) -> None:
        self.plan = plan
        self.fleet = fleet
        self.oracle = oracle
        self.start = start
        kinds = {action.kind for action in plan.actions}
        self.has_floods = StepKind.FLOOD in kinds
        self.has_store_faults = StepKind.STORE in kinds
        self.handlers = {
            StepKind.RULE: self._set_rule,
            StepKind.CLEAR: self._clear_rules,
            StepKind.FOCUS: self._focus,
            StepKind.STORE: self._set_store_state,
            StepKind.FLOOD: self._flood,
            StepKind.OVERRIDE: self._override,
            StepKind.LIMIT: self._set_limit,
            StepKind.END_ELSEWHERE: self._end_elsewhere,
            END: self._end,
        }
        self.member_handlers = {
            StepKind.START: fleet.start,
            StepKind.KILL: fleet.kill,
            StepKind.STOP: fleet.stop,
            StepKind.RESUME: fleet.resume,
            StepKind.TERMINATE: fleet.terminate,
            StepKind.START_ELSEWHERE: fleet.start_elsewhere,
        }

    def play(self, facts: Facts) -> float:
        """Perform all actions at their times and collect the facts.

        Returns the longest delay of an action, in seconds.
        """
        load = self.plan.script.load
        if load:
            load_process = self.fleet.start_load(self.plan.seconds - LOAD_ENDS_BEFORE_S)
            if self.has_floods:
                self.fleet.start_misbehaving_clients()
        late_s = self._perform_all()
        for name in self.fleet.running():
            facts["stats"][name] = process_statistics(self.fleet, name)
        if load:
            load_process.wait(LOAD_TIMEOUT_S)
            facts |= self._load_facts()
        facts["links"] = self.fleet.link_counts()
        return late_s

    def _perform_all(self) -> float:
        late_s = 0.0
        for action in [*self.plan.actions, PlannedAction(self.plan.seconds, END)]:
            wait = action.at - (boot_clock() - self.start) / US_PER_S
            if wait > 0:
                time.sleep(wait)
            late_s = max(late_s, -wait)
            self.handlers.get(action.kind, self._perform_on_each)(action)
        return late_s

    def _load_facts(self) -> Facts:
        """Return the figures that the load generator and the simulated peers wrote to files."""
        folder = self.fleet.folder
        facts: Facts = {"load": json.loads((folder / LOAD_FILE).read_text())}
        time.sleep(TRUTH_DELAY_S)
        facts["truth"] = self.fleet.read_lines(TRUTH_FILE)
        if self.plan.script.load.keyed:
            answered = facts["load"].pop("answered")
            facts["effects"] = effect_counts(folder, answered, run_spacing(self.plan.script))
        if self.has_store_faults or self.has_floods:
            facts["flood"] = self.fleet.read_lines(FLOOD_FILE)
        return facts

    # ---- actions

    def _set_rule(self, action: PlannedAction) -> None:
        names = self.fleet.names
        pairs = [(origin, target) for origin, target in action.pairs if origin in names and target in names]
        if pairs or not action.pairs:
            self.fleet.send_order({"do": "rule", "pairs": pairs, "set": action.settings})

    def _clear_rules(self, action: PlannedAction) -> None:
        self.fleet.send_order({"do": "clear"})

    def _focus(self, action: PlannedAction) -> None:
        self.fleet.focus(action.names)

    def _set_store_state(self, action: PlannedAction) -> None:
        state = action.settings["state"]
        self.fleet.set_store_state(action.names, state)
        if self.oracle:
            for name in action.names:
                self.fleet.override(name, "store", "", "working" if state == StoreState.OK else "down")

    def _flood(self, action: PlannedAction) -> None:
        self.fleet.flood(action.names, action.settings)

    def _override(self, action: PlannedAction) -> None:
        settings = action.settings
        for name in action.names:
            self.fleet.override(name, settings["kind"], settings.get("name", ""), settings.get("value", ""))

    def _set_limit(self, action: PlannedAction) -> None:
        for name in action.names:
            if self.fleet.settings.get(name, {}).get("limits"):
                self.fleet.set_limit(name, action.settings)

    def _end_elsewhere(self, action: PlannedAction) -> None:
        self.fleet.end_elsewhere()

    def _end(self, action: PlannedAction) -> None:
        """Do nothing: this action only keeps the run going until its end."""

    def _perform_on_each(self, action: PlannedAction) -> None:
        for planned_name in action.names:
            name = self._leader(action) if planned_name == LEADER else planned_name
            if name in self.fleet.names:  # `name` is None if the script is run without its planners
                self.member_handlers[action.kind](name)

    def _leader(self, action: PlannedAction) -> str | None:
        """Return the planner that leads now for stop and kill, and the one found last for other actions."""
        if action.kind in (StepKind.STOP, StepKind.KILL):
            return self.fleet.find_leader()
        return self.fleet.leader


def process_statistics(fleet: ProcessFleet, name: str) -> dict:
    """Return the resource usage of a process, and the statistics that a node reports about itself."""
    cpu_s, peak_mb = fleet.usage(name)
    view = {}
    if fleet.options.exchange_messages and name not in fleet.planners:
        try:
            view = query_members(fleet.addresses.member(name), QUERY_TIMEOUT_S)
        except TimeoutError:
            view = {}
    return {
        "cpu_s": cpu_s,
        "mb": peak_mb,
        "late_ms": view.get("late_ms"),
        "loss": view.get("loss"),
        "stale_ms": view.get("age_ms"),
        "counts": view.get("counts", {}),
    }


def run_spacing(script: Script) -> int:
    """Return the shortest time in microseconds that key leases allow between two runs of one key."""
    claims = script.claims or {}
    settings = {name: claims[f"{name}_ms"] * MS for name in ("life", "command") if f"{name}_ms" in claims}
    return KeyLeaseConfig.from_settings((), settings).run_spacing_bound()


def effect_counts(folder: Path, answered: Iterable[str], spacing: int) -> dict:
    """Return counts from the record of effects that the worker pools wrote.

    Counted are runs, keys that ran, keys that ran twice in less than `spacing` microseconds, and keys whose
    RPC was answered ok although they never ran.
    """
    times: dict[str, list[int]] = defaultdict(list)
    for line in (folder / EFFECTS_FILE).read_text().splitlines():
        when, key = line.split(" ", 1)
        times[key].append(int(when))
    twice = [
        key
        for key, whens in times.items()
        if any(later - earlier < spacing for earlier, later in pairwise(sorted(whens)))
    ]
    return {
        "runs": sum(map(len, times.values())),
        "keys that ran": len(times),
        "keys that ran twice": len(twice),
        "ok without a run": sum(key not in times for key in answered),
        "first twice": twice[:1],
    }
