"""Execute a plan on the virtual clock, with simulated members in one process."""

from collections.abc import Callable
from random import Random

from finchcart.fault_injection.membership.simulation import MemberFactory, MembershipSimulation
from finchcart.fault_injection.scripted_runs.checker import Event, EventKind
from finchcart.fault_injection.scripted_runs.plan import Plan, PlannedAction
from finchcart.fault_injection.scripted_runs.run_record import Facts, ScriptedRunRecord
from finchcart.fault_injection.scripted_runs.script import StepKind
from finchcart.fleet.effects import LogLine
from finchcart.fleet.inputs import Leave, Shutdown
from finchcart.membership.config import MS, SECOND, MembershipConfig
from finchcart.membership.effects import IsolationChanged, MemberChanged
from finchcart.membership.member import Member

US_PER_S = 1e6
MIN_DRAIN_US = 400_000
EXTRA_DRAIN_US = 1_500_000  # a drain takes a random time of up to this in addition to the minimum

AfterStep = Callable[[MembershipSimulation], None]


def membership_config(fleet: dict) -> MembershipConfig:
    """Return the configuration for a script's `fleet`, which has the names and units of the settings file."""
    units = {"_ms": MS, "_s": SECOND}
    fields = {}
    for name, value in fleet.items():
        unit = next((unit for suffix, unit in units.items() if name.endswith(suffix)), 1)
        fields[name.removesuffix("_ms").removesuffix("_s")] = value * unit
    return MembershipConfig.from_settings(fields)


def play_on_virtual_clock(
    plan: Plan, make: MemberFactory = Member, after_step: AfterStep | None = None
) -> ScriptedRunRecord:
    """Execute a plan; `make` creates a member, so that a test can plant a defect in it."""
    return VirtualRun(plan, make, after_step).play()


class VirtualRun:
    """The execution of a plan on the virtual clock, with the drains in progress."""

    def __init__(self, plan: Plan, make: MemberFactory, after_step: AfterStep | None) -> None:
        self.plan = plan
        self.after_step = after_step
        self.events: list[Event] = []
        config = membership_config(plan.script.fleet)
        self.fleet = MembershipSimulation(plan.names, plan.seed, config, watch=self._watch, make=make)
        self.start = self.fleet.now
        self.random = Random(f"drain {plan.seed}")
        self.drain_ends: dict[str, int] = {}  # name -> time at which its drain ends

    def play(self) -> ScriptedRunRecord:
        """Perform all actions in order of their times, and return the record of the run."""
        for name in self.plan.initial_names:
            self._start(name)
        for action in sorted(self.plan.actions, key=lambda action: action.at):
            when = self.start + int(action.at * US_PER_S)
            while self.drain_ends and min(self.drain_ends.values()) <= when:
                self._end_next_drain()
            self.fleet.run(when, self.after_step)
            self._perform(action)
        while self.drain_ends:
            self._end_next_drain()
        self.fleet.run(self.start + int(self.plan.seconds * US_PER_S), self.after_step)
        return ScriptedRunRecord(self.events, self.start, self._facts())

    def _watch(self, now: int, name: str, effect: tuple) -> None:
        if isinstance(effect, MemberChanged):
            line = f"{now} {name}: change {effect.name!r}, {str(effect.state)!r}, {effect.incarnation}"
            self.events.append(Event(now, name, EventKind.STATE, effect.name, effect.state, line))
        elif isinstance(effect, IsolationChanged):
            line = f"{now} {name}: isolated {effect.is_isolated}, {effect.reason!r}"
            self.events.append(Event(now, name, EventKind.ISOLATED, "", effect.is_isolated, line))
        elif isinstance(effect, LogLine) and "gap_ms" in effect.fields:
            self.events.append(Event(now, name, EventKind.RESUMED, "", str(effect.fields["gap_ms"])))

    def _start(self, name: str) -> None:
        self.events.append(Event(self.fleet.now, name, EventKind.STARTED))
        self.fleet.start(name)

    def _perform(self, action: PlannedAction) -> None:
        fleet = self.fleet
        if action.kind == StepKind.RULE:
            for origin, target in action.pairs or [(None, None)]:
                fleet.network.set_rule(fleet.now, origin, target, action.settings)
        elif action.kind == StepKind.CLEAR:
            fleet.network.clear_rules(fleet.now)
        handlers = {
            StepKind.START: self._start,
            StepKind.KILL: fleet.kill,
            StepKind.STOP: fleet.stop,
            StepKind.RESUME: fleet.resume,
            StepKind.TERMINATE: self._drain,
        }
        for name in action.names:
            handlers[action.kind](name)

    def _drain(self, name: str) -> None:
        self.fleet.feed(name, Leave())
        self.drain_ends[name] = self.fleet.now + MIN_DRAIN_US + self.random.randrange(EXTRA_DRAIN_US)

    def _end_next_drain(self) -> None:
        """Run to the end of the next drain; the member then sends its last messages and ends."""
        name = min(self.drain_ends, key=self.drain_ends.get)
        self.fleet.run(self.drain_ends.pop(name), self.after_step)
        self.fleet.feed(name, Shutdown())
        self.fleet.kill(name)

    def _facts(self) -> Facts:
        return {
            "driver": "virtual",
            "links": self.fleet.network.total_counts(),
            "late_s": 0.0,
            "stats": {name: self._statistics(name) for name in self.fleet.running()},
        }

    def _statistics(self, name: str) -> dict:
        member = self.fleet.processes[name].machine
        return {
            "late_ms": member.lateness // 1000,
            "loss": member.loss,
            "stale_ms": member.staleness_bound() // 1000,
            "counts": member.counts,
        }
