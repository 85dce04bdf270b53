"""Scripts: who, what, when; read from JSON5.

Owns the words and keys of scripts. It must never choose or play: plan.py lays a script out in time, and
process_run.py or virtual_run.py play the plan.

A script has `rounds`; each is played `count` times, `every` so many seconds, its times relative to its
start. Sets of members: a name saved with `as`, `"all"` (those that run), a list of names, `{chance: k}`,
`{part: 0.2}`, `{zone: 1}`, `{rest: set}` (those that run and are not in it), `{half: 0}`. Of `chance` and
`part`, `of` names the set to draw from.
"""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path

import json5
import msgspec
from msgspec import Struct, field

SCRIPTS = Path(__file__).parent / "scripts"

MemberSet = str | list | dict


class StepKind(StrEnum):
    """What a step does: the words of `do`."""

    START = "start"
    KILL = "kill"
    STOP = "stop"
    RESUME = "go_on"
    TERMINATE = "term"
    REPLACE = "replace"  # `who` goes by `how`, a fresh name starts
    RULE = "rule"  # `set` on all pairs from `origin` to `to`; `both` ways
    CLEAR = "clear"
    MARK = "mark"  # saves a set, and does nothing
    FOCUS = "focus"  # the load goes to `who` alone; to all without it
    LIMIT = "limit"  # `set` of the first limit, told to `who`
    STORE = "store"  # its state for `who`, `set: {state: "down"}`; "failing" is of their runs
    FLOOD = "flood"  # from sources to `who`, `set: {sources: 1, rate: 20}`; none without `who`
    OVERRIDE = "say"  # an operator's, `set: {kind, name, value}`; withdrawn without a value
    START_ELSEWHERE = "elsewhere"  # the name of `who` is started once more at the spare's address
    END_ELSEWHERE = "end_elsewhere"


class ExpectationKind(StrEnum):
    """What is expected: the words of `what`."""

    AGREE = "agree"  # all of `by` hold all of `of` to be in `states` in time, and until `until`
    ISOLATED = "isolated"
    CONNECTED = "connected"
    NEVER = "never"  # no one of `by` holds one of `of` to be in `states`


class Step(Struct, forbid_unknown_fields=True):
    """One step of a round.

    `who: "leader"` is the planner that leads when it comes to that; the same one in later steps of the
    round but for stop and kill.
    """

    at: float
    do: str
    who: MemberSet | None = None
    saved: str | None = field(default=None, name="as")
    origin: MemberSet | None = field(default=None, name="from")
    to: MemberSet | None = None
    both: bool = False
    ring: bool = False  # each of `origin` to the next of them alone
    set: dict = {}
    over: float = 0.0  # `who` one after the other over so many seconds
    how: str = "kill"
    fresh: str = "fresh"  # the set of those that replaced


class Expect(Struct, forbid_unknown_fields=True):
    """An expectation of a round, by `after` + `within` and until `until`.

    `of` may be subjects of consensus: "store", "source flood0" (the first that floods).
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
    """Steps and expectations that are played together."""

    at: float
    steps: list[Step]
    expect: list[Expect] = []
    count: int = 1
    every: float = 0.0
    name: str = ""
    length: float = 0.0  # of the span that use of a limit is told for
    limit: int = 0  # that holds in this span, where it is another than at the start


class ScriptedLoad(Struct, forbid_unknown_fields=True):
    """RPCs of simulated clients, and the simulated peers that the nodes need for them."""

    rate: float  # RPCs a second, all nodes together
    store_ms: float = 0.0  # of a call to the store
    work_ms: float = 50.0
    spin: bool = False
    processes: int = 1  # of worker pools
    links: int = 1  # connections to each node
    keyed: bool = False  # keys alone, sent again to other nodes; effects are counted by key


class Script(Struct, forbid_unknown_fields=True):
    """A script; its keys are those of the file."""

    about: str
    nodes: int
    seconds: float
    rounds: list[Round]
    zones: int = 3
    fleet: dict = {}
    load: ScriptedLoad | None = None
    planners: int = 0  # named p0, p1, ...: in no set but by name, or all of them by "planners"
    spares: int = 0
    limits: list[dict] = field(default_factory=list)  # as in the settings file
    quota: dict = {}
    verdicts: dict | None = None  # as in the settings file
    claims: dict | None = None  # the same; the planners are the replicas
    claims_off: bool = False  # a baseline: effects are counted, and no key is leased
    static: bool = False  # each node is told its share of the limit instead: a baseline
    settle: float = 6.0  # before the first round

    @property
    def planner_names(self) -> list[str]:
        """The names of the planners."""
        return [f"p{number}" for number in range(self.planners)]


def shipped_scripts() -> Iterator[tuple[str, Script]]:
    """Yield names and scripts that come with the program."""
    for path in sorted(SCRIPTS.glob("*.json5")):
        yield path.stem, read_script(path)


def read_script(script: str | Path) -> Script:
    """Read a script by its path, or one that comes with the program by its name."""
    path = Path(script)
    if not path.exists():
        path = SCRIPTS / f"{script}.json5"
    return msgspec.convert(json5.loads(path.read_text(encoding="utf-8")), Script)
