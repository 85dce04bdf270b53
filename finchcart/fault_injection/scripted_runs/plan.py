"""Plans: a script laid out in time from a seed.

Owns the choice of members by chance, all of it made before the run. It must never play a plan: process_run.py
does, on processes, and virtual_run.py, on the virtual clock, from the same plan.
"""

from random import Random
from typing import NamedTuple

from msgspec import Struct

from finchcart.fault_injection.scripted_runs.script import Expect, MemberSet, Round, Script, Step, StepKind

LEADER = "leader"  # in place of a name: the planner that leads when it comes to that

SINGLE_ACTIONS = (
    StepKind.FOCUS,
    StepKind.LIMIT,
    StepKind.END_ELSEWHERE,
    StepKind.STORE,
    StepKind.FLOOD,
    StepKind.OVERRIDE,
)


class PlannedAction(Struct):
    """One thing to do at a time, with members or pairs of them."""

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
    """The time in which a round is played, in seconds from the start of the run."""

    name: str
    since: float
    until: float
    limit: int  # that holds in it; 0: that of the start


class Plan(Struct):
    """All that a run does and is expected to come to."""

    script: Script
    seed: int
    names: list[str]  # all nodes that ever run
    first: list[str]  # that run from the start
    actions: list[PlannedAction]
    expectations: list[PlannedExpectation]
    seconds: float
    spans: list[RoundSpan] = []


def make_plan(script: Script, seed: int, nodes: int | None = None) -> Plan:
    """Lay a script out; `nodes` in place of the script's number of nodes."""
    return PlanBuilder(script, seed, nodes or script.nodes).build()


class PlanBuilder:
    """The plan so far, and who runs at the time that is laid out."""

    def __init__(self, script: Script, seed: int, nodes: int) -> None:
        self.script = script
        self.seed = seed
        self.random = Random(f"script {seed}")
        self.names = [f"n{number:02d}" for number in range(nodes)]
        self.first = list(self.names)
        self.running = list(self.names)
        self.saved: dict[str, list[str]] = {}
        self.actions: list[PlannedAction] = []
        self.expectations: list[PlannedExpectation] = []
        self.spans: list[RoundSpan] = []

    def build(self) -> Plan:
        """Lay out all rounds."""
        for each in self.script.rounds:
            for number in range(each.count):
                at = self.script.settle + each.at + number * each.every
                name = f"{each.name}#{number + 1}" if each.count > 1 else each.name
                self._add_round(each, at, name)
        self.actions.sort(key=lambda action: action.at)
        seconds = self.script.settle + self.script.seconds
        return Plan(
            self.script,
            self.seed,
            self.names,
            self.first,
            self.actions,
            self.expectations,
            seconds,
            self.spans,
        )

    # ---- sets of members

    def _members(self, members: MemberSet) -> list[str]:
        """Return the names of a set, in order."""
        if isinstance(members, list):
            return list(members)
        if isinstance(members, dict):
            return self._members_by_rule(dict(members))
        named = {
            "all": self.running,
            "planners": self.script.planner_names,
            LEADER: [LEADER],
        }
        return list(named[members] if members in named else self.saved[members])

    def _members_by_rule(self, rule: dict) -> list[str]:
        candidates = self._members(rule.pop("of", "all"))
        ((word, value),) = rule.items()
        if word == "rest":
            others = set(self._members(value))
            return [name for name in self.running if name not in others]
        if word == "zone":
            return [name for name in self.running if int(name[1:]) % self.script.zones == value]
        if word == "half":
            return [name for name in self.running if int(name[1:]) % 2 == value]
        count = value if word == "chance" else max(1, round(value * len(candidates)))
        return sorted(self.random.sample(candidates, count))

    # ---- rounds and steps

    def _add_round(self, each: Round, at: float, name: str) -> None:
        if each.length:
            self.spans.append(RoundSpan(each.name, at, at + each.length, each.limit))
        for step in sorted(each.steps, key=lambda step: step.at):
            self._add_step(step, at + step.at)
        for expect in each.expect:
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
        elif step.do in SINGLE_ACTIONS:
            self.actions.append(PlannedAction(at, step.do, names, settings=step.set))
        else:
            self._add_each(step, at, names)

    def _pairs(self, step: Step) -> list[tuple[str, str]]:
        """Return the directed links of a rule; none: all links."""
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

    def _add_each(self, step: Step, at: float, names: list[str]) -> None:
        """Do the same to one name after the other."""
        for number, name in enumerate(names):
            self.actions.append(PlannedAction(at + number * step.over / len(names), step.do, [name]))
            if step.do in (StepKind.KILL, StepKind.TERMINATE) and name in self.running:
                self.running.remove(name)
            elif step.do == StepKind.START and name not in self.running and name in self.names:
                self.running.append(name)

    def _add_replacements(self, step: Step, at: float, names: list[str]) -> None:
        fresh = []
        for number, name in enumerate(names):
            when = at + number * step.over / len(names)
            new = f"n{len(self.names):02d}"
            self.names.append(new)
            fresh.append(new)
            self.actions.append(PlannedAction(when, step.how, [name]))
            self.actions.append(PlannedAction(when, StepKind.START, [new]))
            self.running.remove(name)
            self.running.append(new)
        self.saved[step.fresh] = fresh
