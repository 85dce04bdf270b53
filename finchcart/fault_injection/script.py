"""Scripts: who, what, when; read from JSON5, laid out in time from a seed.

Owns the words of scripts and the choice of members by chance. It must never play a script: run.py does, on
processes or on the virtual clock, from the same plan.

A script has `rounds`; each is played `count` times, `every` so many seconds, its times relative to its start.
Sets of members: a name saved with `as`, `"all"` (those that run), a list of names, `{chance: k}`, `{part:
0.2}`,
`{zone: 1}`, `{rest: set}` (those that run and are not in it), `{half: 0}`. Of `chance` and `part`, `of` names
the set to draw from.
"""

from pathlib import Path
from random import Random

import json5
import msgspec
from msgspec import Struct, field

SCRIPTS = Path(__file__).parent / "scripts"


class Step(Struct, forbid_unknown_fields=True):
    """`do`: start, kill, stop, go_on, term, replace (`who` goes by `how`, a fresh name starts), rule (`set`
    on all pairs from `origin` to `to`; `both` ways), clear, focus (the load goes to `who` alone; to all
    without it), limit (`set` of the first limit, told to `who`), store (its state for `who`, `set: {state:
    "down"}`; "failing" is of their runs), flood (rubbish from sources to `who`, `set: {sources: 1, rate:
    20}`; none without `who`), say (an operator's word told to `who`, `set: {kind, name, value}`; taken back
    without a value), elsewhere (the name of `who` is started once
    more at the spare's place), end_elsewhere. `who: "leader"`: the planner that shares out when it comes to
    that; the same one in later steps of the round but for stop and kill."""

    at: float
    do: str
    who: str | list | dict | None = None
    saved: str | None = field(default=None, name="as")
    origin: str | list | dict | None = field(default=None, name="from")
    to: str | list | dict | None = None
    both: bool = False
    ring: bool = False  # each of `origin` to the next of them alone
    set: dict = {}
    over: float = 0.0  # `who` one after the other over so many seconds
    how: str = "kill"
    fresh: str = "fresh"  # the set of those that replaced


class Expect(Struct, forbid_unknown_fields=True):
    """`what`: agree (all of `by` hold all of `of` to be one of `states` by `after` + `within`, and until
    `until`), isolated, connected (of themselves), never (no one of `by` holds one of `of` to be one of
    `states`). `of` may be subjects of verdicts: "store", "source flood0" (the first that floods)."""

    what: str
    of: str | list | dict
    after: float
    until: float
    by: str | list | dict = "all"
    within: float = 0.0
    states: list[str] = field(default_factory=lambda: ["failed"])
    name: str = ""


class Round(Struct, forbid_unknown_fields=True):
    at: float
    steps: list[Step]
    expect: list[Expect] = []
    count: int = 1
    every: float = 0.0
    name: str = ""
    length: float = 0.0  # of the span that use of a limit is told for
    limit: int = 0  # that holds in this span, where it is another than at the start


class Load(Struct, forbid_unknown_fields=True):
    rate: float  # RPCs a second, all nodes together
    store_ms: float = 0.0  # of a call to the store
    work_ms: float = 50.0
    spin: bool = False
    processes: int = 1  # of worker pools
    links: int = 1  # connections to each node
    keyed: bool = False  # keys alone, sent again to other nodes; effects are counted by key


class Script(Struct, forbid_unknown_fields=True):
    about: str
    nodes: int
    seconds: float
    rounds: list[Round]
    zones: int = 3
    fleet: dict = {}
    load: Load | None = None
    planners: int = 0  # named p0, p1, ...: in no set but by name, or all of them by "planners"
    spares: int = 0
    limits: list[dict] = field(default_factory=list)  # as in the settings file
    quota: dict = {}
    verdicts: dict | None = None  # as in the settings file
    claims: dict | None = None  # the same; the planners are the keepers
    claims_off: bool = False  # a baseline: effects are counted, and nothing is claimed
    static: bool = False  # each node is told its share of the limit instead: a baseline
    settle: float = 6.0  # before the first round


class Act(Struct):
    """One thing to do at a time: `what` with members or pairs."""

    at: float
    what: str
    who: list[str] = []
    pairs: list[tuple[str, str]] = []
    set: dict = {}


class Held(Struct):
    """An expectation with its members and times; `round` for the table."""

    name: str
    what: str
    of: list[str]
    by: list[str]
    after: float
    within: float
    until: float
    states: list[str]


class Plan(Struct):
    script: Script
    seed: int
    names: list[str]  # all nodes that ever run
    first: list[str]  # that run from the start
    acts: list[Act]
    holds: list[Held]
    seconds: float
    spans: list[tuple[str, float, float, int]] = []  # (round, from, until, limit or 0)


def shipped():
    for path in sorted(SCRIPTS.glob("*.json5")):
        yield path.stem, read(path)


def read(script):
    path = Path(script)
    if not path.exists():
        path = SCRIPTS / f"{script}.json5"
    with open(path, encoding="utf-8") as file:
        return msgspec.convert(json5.load(file), Script)


def lay_out(script, seed, nodes=None, seconds=None):
    """The plan of a script: every choice by chance is made here."""
    return Layout(script, seed, nodes or script.nodes).plan()


class Layout:
    def __init__(self, script, seed, nodes):
        self.script, self.seed = script, seed
        self.random = Random(f"script {seed}")
        self.names = [f"n{n:02d}" for n in range(nodes)]
        self.first = list(self.names)
        self.runs, self.saved = list(self.names), {}
        self.acts, self.holds, self.spans = [], [], []

    def plan(self):
        for turn in self.script.rounds:
            for n in range(turn.count):
                self.lay(
                    turn,
                    self.script.settle + turn.at + n * turn.every,
                    f"{turn.name}#{n + 1}" if turn.count > 1 else turn.name,
                )
        self.acts.sort(key=lambda act: act.at)
        end = self.script.settle + self.script.seconds
        return Plan(self.script, self.seed, self.names, self.first, self.acts, self.holds, end, self.spans)

    def members(self, told):
        """The names of a set, in order."""
        if told == "all":
            return list(self.runs)
        if told == "planners":
            return [f"p{n}" for n in range(self.script.planners)]
        if told == "leader":
            return ["leader"]
        if isinstance(told, str):
            return list(self.saved[told])
        if isinstance(told, list):
            return list(told)
        told = dict(told)
        runs = self.members(told.pop("of", "all"))
        ((word, value),) = told.items()
        if word == "rest":
            out = set(self.members(value))
            return [name for name in self.runs if name not in out]
        if word == "zone":
            return [name for name in self.runs if int(name[1:]) % self.script.zones == value]
        if word == "half":
            return [name for name in self.runs if int(name[1:]) % 2 == value]
        count = value if word == "chance" else max(1, round(value * len(runs)))
        return sorted(self.random.sample(runs, count))

    def lay(self, turn, at, name):
        expects = list(turn.expect)
        if turn.length:
            self.spans.append((turn.name, at, at + turn.length, turn.limit))
        for step in sorted(turn.steps, key=lambda step: step.at):
            self.step(step, at + step.at)
        for expect in expects:
            of, by = self.members(expect.of), self.members(expect.by)
            self.holds.append(
                Held(
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

    def step(self, step, at):
        who = self.members(step.who) if step.who is not None else []
        if step.saved:
            self.saved[step.saved] = who
        if step.do == "mark":
            return
        if step.do == "rule":
            if step.origin is None:
                self.acts.append(Act(at, "rule", set=step.set))
                return
            origin, to = self.members(step.origin), self.members(step.to) if step.to is not None else []
            pairs = [(a, b) for a in origin for b in to if a != b]
            if step.ring:
                pairs = list(zip(origin, origin[1:] + origin[:1]))
            if step.both:
                pairs += [(b, a) for a, b in pairs]
            self.acts.append(Act(at, "rule", pairs=pairs, set=step.set))
        elif step.do == "clear":
            self.acts.append(Act(at, "clear"))
        elif step.do == "replace":
            self.replace(step, at, who)
        elif step.do in ("focus", "limit", "end_elsewhere", "store", "flood", "say"):
            self.acts.append(Act(at, step.do, who, set=step.set))
        else:
            for n, name in enumerate(who):
                self.acts.append(Act(at + n * step.over / len(who), step.do, [name]))
                if step.do in ("kill", "term") and name in self.runs:
                    self.runs.remove(name)
                elif step.do == "start" and name not in self.runs and name in self.names:
                    self.runs.append(name)

    def replace(self, step, at, who):
        fresh = []
        for n, name in enumerate(who):
            when = at + n * step.over / len(who)
            new = f"n{len(self.names):02d}"
            self.names.append(new)
            fresh.append(new)
            self.acts += [Act(when, step.how, [name]), Act(when, "start", [new])]
            self.runs.remove(name)
            self.runs.append(new)
        self.saved[step.fresh] = fresh
