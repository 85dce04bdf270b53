"""Make a plan from a script and a seed: the actions and expectations of a run with fixed times and members.

All random choices are made here, before the run. This module must never execute a plan: process_run.py and
virtual_run.py execute the same plan on real processes and on the virtual clock.
"""

from random import Random
from typing import NamedTuple

from msgspec import Struct

from finchcart.fault_injection.scripted_runs.script import Expect, MemberSet, Round, Script, Step, StepKind

LEADER = "leader"  # stands in place of a name for the planner that leads when the action is executed

# The steps that become one action with all names; other steps become an action for each name.
SINGLE_ACTION_STEPS = (
    StepKind.FOCUS,
    StepKind.LIMIT,
    StepKind.END_ELSEWHERE,
    StepKind.STORE,
    StepKind.FLOOD,
    StepKind.OVERRIDE,
)


class PlannedAction(Struct):
    """One action on some members, or on the links between pairs of them."""

    at: float  # seconds from the start of the run
    kind: str  # a `StepKind`, or "end"
    names: list[str] = []
    pairs: list[tuple[str, str]] = []
    settings: dict = {}


class PlannedExpectation(Struct):
    """An expectation with its members and times, in seconds from the start of the run."""

    name: str
    what: str
    of: list[str]
    by: list[str]
    after: float
    within: float
    until: float
    states: list[str]


class RoundSpan(NamedTuple):
    """The time of a round for which the use of limits is reported, in seconds from the start of the run."""

    name: str
    since: float
    until: float
    limit: int  # the limit in this time; 0: the limit at the start of the run


class Plan(Struct):
    """All actions and expectations of a run."""

    script: Script
    seed: int
    names: list[str]  # all nodes that run at any time
    initial_names: list[str]  # the nodes that are started at the start of the run
    actions: list[PlannedAction]
    expectations: list[PlannedExpectation]
    seconds: float
    spans: list[RoundSpan] = []


def make_plan(script: Script, seed: int, nodes: int | None = None) -> Plan:
    """Return the plan of a script; `nodes`, if given, replaces the script's number of nodes."""
    return PlanBuilder(script, seed, nodes or script.nodes).build()


class PlanBuilder:
    """Builder of a plan: the plan so far, and which nodes run at the time of the step being added."""

    def __init__(self, script: Script, seed: int, nodes: int) -> None:
        self.script = script
        self.seed = seed
        self.random = Random(f"script {seed}")
        self.names = [f"n{number:02d}" for number in range(nodes)]
        self.initial_names = list(self.names)
        self.running = list(self.names)
        self.saved: dict[str, list[str]] = {}
        self.actions: list[PlannedAction] = []
        self.expectations: list[PlannedExpectation] = []
        self.spans: list[RoundSpan] = []

    def build(self) -> Plan:
        """Return the plan of all rounds of the script, with its actions in the order of their times."""
        for scripted_round in self.script.rounds:
            for number in range(scripted_round.count):
                at = self.script.settle + scripted_round.at + number * scripted_round.every
                name = (
                    f"{scripted_round.name}#{number + 1}" if scripted_round.count > 1 else scripted_round.name
                )
                self._add_round(scripted_round, at, name)
        self.actions.sort(key=lambda action: action.at)
        seconds = self.script.settle + self.script.seconds
        return Plan(
            self.script,
            self.seed,
            self.names,
            self.initial_names,
            self.actions,
            self.expectations,
            seconds,
            self.spans,
        )

    # ---- sets of members

    def _members(self, members: MemberSet) -> list[str]:
        """Return the names in a set of members, in order."""
        if isinstance(members, list):
            return list(members)
        if isinstance(members, dict):
            return self._chosen_members(dict(members))
        named = {
            "all": self.running,
            "planners": self.script.planner_names,
            LEADER: [LEADER],
        }
        return list(named[members] if members in named else self.saved[members])

    def _chosen_members(self, choice: dict) -> list[str]:
        candidates = self._members(choice.pop("of", "all"))
        ((key, value),) = choice.items()
        if key == "rest":
            others = set(self._members(value))
            return [name for name in self.running if name not in others]
        if key == "zone":
            return [name for name in self.running if int(name[1:]) % self.script.zones == value]
        if key == "half":
            return [name for name in self.running if int(name[1:]) % 2 == value]
        count = value if key == "chance" else max(1, round(value * len(candidates)))
        return sorted(self.random.sample(candidates, count))

    # ---- rounds and steps

    def _add_round(self, scripted_round: Round, at: float, name: str) -> None:
        if scripted_round.length:
            self.spans.append(
                RoundSpan(scripted_round.name, at, at + scripted_round.length, scripted_round.limit)
            )
        for step in sorted(scripted_round.steps, key=lambda step: step.at):
            self._add_step(step, at + step.at)
        for expect in scripted_round.expect:
            self._add_expectation(expect, at, name)

    def _add_expectation(self, expect: Expect, at: float, name: str) -> None:
        of = self._members(expect.of)
        by = self._members(expect.by)
        self.expectations.append(
            PlannedExpectation(
                f"{name} {expect.name}".strip(),
                expect.what,
                of,
                by,
                at + expect.after,
                expect.within,
                at + expect.until,
                expect.states,
            )
        )

    def _add_step(self, step: Step, at: float) -> None:
        names = self._members(step.who) if step.who is not None else []
        if step.saved:
            self.saved[step.saved] = names
        if step.do == StepKind.MARK:
            return
        if step.do == StepKind.RULE:
            self.actions.append(PlannedAction(at, step.do, pairs=self._pairs(step), settings=step.set))
        elif step.do == StepKind.CLEAR:
            self.actions.append(PlannedAction(at, step.do))
        elif step.do == StepKind.REPLACE:
            self._add_replacements(step, at, names)
        elif step.do in SINGLE_ACTION_STEPS:
            self.actions.append(PlannedAction(at, step.do, names, settings=step.set))
        else:
            self._add_action_for_each(step, at, names)

    def _pairs(self, step: Step) -> list[tuple[str, str]]:
        """Return the directed links of a rule as (origin, target); an empty list stands for all links."""
        if step.origin is None:
            return []
        origins = self._members(step.origin)
        targets = self._members(step.to) if step.to is not None else []
        pairs = [(origin, target) for origin in origins for target in targets if origin != target]
        if step.ring:
            pairs = list(zip(origins, origins[1:] + origins[:1], strict=True))
        if step.both:
            pairs += [(target, origin) for origin, target in pairs]
        return pairs

    def _add_action_for_each(self, step: Step, at: float, names: list[str]) -> None:
        """Add an action for each name, spread over the step's time, and update the running processes."""
        for number, name in enumerate(names):
            self.actions.append(PlannedAction(at + number * step.over / len(names), step.do, [name]))
            if step.do in (StepKind.KILL, StepKind.TERMINATE) and name in self.running:
                self.running.remove(name)
            elif step.do == StepKind.START and name not in self.running and name in self.names:
                self.running.append(name)

    def _add_replacements(self, step: Step, at: float, names: list[str]) -> None:
        replacements = []
        for number, name in enumerate(names):
            when = at + number * step.over / len(names)
            replacement = f"n{len(self.names):02d}"
            self.names.append(replacement)
            replacements.append(replacement)
            self.actions.append(PlannedAction(when, step.how, [name]))
            self.actions.append(PlannedAction(when, StepKind.START, [replacement]))
            self.running.remove(name)
            self.running.append(replacement)
        self.saved[step.fresh] = replacements
