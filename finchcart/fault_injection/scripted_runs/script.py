"""Define the format of fault scripts, which are JSON5 files, and read them.

A script says which faults to inject into a fleet, when, and what to expect of its members. This module must
never choose members or execute a step: plan.py makes a plan with fixed members and times from a script, and
process_run.py or virtual_run.py execute the plan.

A script consists of `rounds`. A round is played `count` times, once every `every` seconds, and the times in
it are relative to its start. A set of members is one of:

- `"all"`: the nodes that are running;
- `"planners"`: all planners;
- `"leader"`: the planner that leads when the step is executed;
- a name under which an earlier step saved a set with `as`;
- a list of names;
- `{chance: k}`: k members chosen at random;
- `{part: 0.2}`: this fraction of the members, chosen at random, but at least one;
- `{zone: 1}`: the running nodes of this zone;
- `{half: 0}`: the running nodes with an even number, or an odd one for 1;
- `{rest: set}`: the running nodes that are not in the set.

With `chance` and `part`, `of` names the set to choose from, which is `"all"` by default.
"""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path

import json5
import msgspec
from msgspec import Struct, field

SCRIPTS_FOLDER = Path(__file__).parent / "scripts"

MemberSet = str | list | dict


class StepKind(StrEnum):
    """What a step does: the values of `do`."""

    START = "start"
    KILL = "kill"
    STOP = "stop"
    RESUME = "go_on"
    TERMINATE = "term"
    REPLACE = "replace"  # ends each of `who` by the step `how`, and starts a node with a new name for it
    RULE = "rule"  # applies the link faults `set` to all links from `from` to `to`, with `both` also back
    CLEAR = "clear"  # removes all link faults
    MARK = "mark"  # saves a set of members under `as`, and does nothing else
    FOCUS = "focus"  # sends the whole load to `who`, or to all nodes if `who` is missing
    LIMIT = "limit"  # changes the first limit by `set` in the settings of `who`
    STORE = "store"  # sets the store's state for `who`, `set: {state: "down"}`; "failing": their runs fail
    FLOOD = "flood"  # floods `who` from some sources, `set: {sources: 1, rate: 20}`; ends without `who`
    OVERRIDE = "say"  # issues an operator's override, `set: {kind, name, value}`, or withdraws it (no value)
    START_ELSEWHERE = "elsewhere"  # starts a second process with the name of `who` at the spare's address
    END_ELSEWHERE = "end_elsewhere"  # ends that second process


class ExpectationKind(StrEnum):
    """What is expected: the values of `what`."""

    AGREE = "agree"  # each of `by` holds each of `of` to be in one of `states`
    ISOLATED = "isolated"  # each of `of` considers itself isolated
    CONNECTED = "connected"  # each of `of` considers itself connected
    NEVER = "never"  # none of `by` holds any of `of` to be in one of `states`


class Step(Struct, forbid_unknown_fields=True):
    """One step of a round.

    `who: "leader"` stands for the planner that leads when the step is executed. Only the steps `stop` and
    `kill` look the leader up; any other step applies to the leader that was found last.
    """

    at: float  # seconds from the start of the round
    do: str
    who: MemberSet | None = None
    saved: str | None = field(default=None, name="as")
    origin: MemberSet | None = field(default=None, name="from")
    to: MemberSet | None = None
    both: bool = False
    ring: bool = False  # only the links from each of `from` to the next one of them
    set: dict = {}
    over: float = 0.0  # seconds over which the step is spread, one of `who` after the other
    how: str = "kill"
    fresh: str = "fresh"  # the name under which the set of the new nodes is saved


class Expect(Struct, forbid_unknown_fields=True):
    """What is expected of members in a round.

    The expectation holds from `after` + `within` at the latest, and then until `until`, in seconds from the
    start of the round. `never` applies from `after` on. `of` may also list subjects of health verdicts:
    "store", or "source flood0" for the first source of a flood.
    """

    what: str
    of: MemberSet
    after: float
    until: float
    by: MemberSet = "all"
    within: float = 0.0
    states: list[str] = field(default_factory=lambda: ["failed"])
    name: str = ""


class Round(Struct, forbid_unknown_fields=True):
    """Steps and expectations that belong together."""

    at: float  # seconds from the end of the script's `settle` time
    steps: list[Step]
    expect: list[Expect] = []
    count: int = 1
    every: float = 0.0
    name: str = ""
    length: float = 0.0  # seconds for which the use of a limit is reported; 0: not reported
    limit: int = 0  # the limit in this time; 0: the limit at the start of the run


class ScriptedLoad(Struct, forbid_unknown_fields=True):
    """RPCs of simulated clients, and the simulated peers that the nodes need for them."""

    rate: float  # RPCs per second, over all nodes
    store_ms: float = 0.0  # duration of a call to the store
    work_ms: float = 50.0  # duration of a run in a worker pool
    spin: bool = False  # whether the worker pools use CPU time during a run
    processes: int = 1  # number of processes of worker pools
    links: int = 1  # connections to each node
    keyed: bool = False  # only RPCs with idempotency keys, retried at other nodes; effects are counted by key


class Script(Struct, forbid_unknown_fields=True):
    """A script; the fields are the keys of its file."""

    about: str
    nodes: int
    seconds: float
    rounds: list[Round]
    zones: int = 3
    fleet: dict = {}
    load: ScriptedLoad | None = None
    planners: int = 0  # named p0, p1, ...; not part of "all", but of "planners"
    spares: int = 0  # addresses for processes that are started by `elsewhere`
    limits: list[dict] = field(default_factory=list)  # as in the settings file
    quota: dict = {}  # as in the settings file
    verdicts: dict | None = None  # as in the settings file
    claims: dict | None = None  # as in the settings file; the planners are the replicas
    claims_off: bool = False  # for comparison: effects are counted, but no key is leased
    static: bool = False  # for comparison: each node gets a fixed share of the limit
    settle: float = 6.0  # seconds before the first round

    @property
    def planner_names(self) -> list[str]:
        """The names of the planners."""
        return [f"p{number}" for number in range(self.planners)]


def shipped_scripts() -> Iterator[tuple[str, Script]]:
    """Yield the name and the content of each script that is part of the package."""
    for path in sorted(SCRIPTS_FOLDER.glob("*.json5")):
        yield path.stem, read_script(path)


def read_script(script: str | Path) -> Script:
    """Read a script by its path, or one that is part of the package by its name."""
    path = Path(script)
    if not path.exists():
        path = SCRIPTS_FOLDER / f"{script}.json5"
    return msgspec.convert(json5.loads(path.read_text(encoding="utf-8")), Script)
