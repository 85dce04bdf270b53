"""Settings of a node and of its methods, as named fields.

Settings are one flat mapping (finchcart/settings.py reads it from a configuration). The decision module looks
for these names, all optional but `cores` and the methods; times are whole microseconds:

- `methods.count`, and for each method N: `methods.N.name`, `.kind` (`idempotent`, `keyed`,
  `non_idempotent`), `.criticality`, `.latency_target`, `.deadline`, `.window` (of its idempotency keys),
  `.late_value`
- for each method, as a tuple: `degraded_value` (value of an answer without its optional call; 0: the call is
  not optional) and `method_calls` (whether a run makes a call)
- `cores`, `memory_kb`, `run_factor` (memory of a running RPC over that of a queued one), `key_entry_kb`,
  `tick`, `can_stop` (running work can be stopped), `can_pause` (with it: a run that is stopped while an
  answer is owed is paused, keeps its memory, and is resumed by `Port.run`)
- `drain_grace` (for so long RPCs are served after the drain notice), `overload_factor` (running RPCs that a
  core survives), `fresh_start`, `cold_start_speed`, `warm_up` (a fresh start begins at this part of its speed
  and reaches all of it after this time)
- `dependency` (`shared`, the default, or `tier`), `calls_limit`, `calls_window`, `calls_linger`: the node's
  share of the dependency, where it is shared
- `feedback` (`level`, `credit`; others are not used), `feedback_lifetime` (for so long callers heed it),
  `retry_after_max`, `idle_timeout_max`, `marks_retries` (false: retries carry no mark)

What stands in for a setting that is not told is chosen here only where it means "none" or "no limit"; what
would be a decision is given by finchcart/decisions/controller.py.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields

UNLIMITED_CALLS = 1e9
UNLIMITED_MEMORY_KB = 1e12
DEPENDENCY_OF_ALL = "shared"  # it has one limit, and each node a share of that


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of the node."""

    overload_factor: float
    calls_window: int
    calls_linger: int
    feedback: str
    feedback_lifetime: int
    idle_timeout_max: int
    tick: int
    cores: float = 1
    memory_kb: float = UNLIMITED_MEMORY_KB
    run_factor: float = 1
    key_entry_kb: float = 0
    can_pause: bool = False
    drain_grace: int = 0
    fresh_start: bool = False
    cold_start_speed: float = 1
    warm_up: int = 1
    dependency: str = DEPENDENCY_OF_ALL
    calls_limit: float = UNLIMITED_CALLS
    retry_after_max: int = 0
    marks_retries: bool = True

    @classmethod
    def pick(cls, settings: Mapping[str, object], defaults: Mapping[str, object]) -> "NodeSettings":
        """The node's part of all settings."""
        told = {**defaults, **settings}
        picked = {field.name: told[field.name] for field in fields(cls) if field.name in told}
        if picked.get("dependency", DEPENDENCY_OF_ALL) != DEPENDENCY_OF_ALL:
            picked["calls_limit"] = UNLIMITED_CALLS  # a tier decides for itself; no share of it is told
        return cls(**picked)

    def warm_up_progress(self, elapsed: int) -> float:
        """Part of its full speed that what began to warm up has reached, on the slowest ramp allowed."""
        start = self.cold_start_speed
        return min(1.0, start + (1 - start) * elapsed / max(1, self.warm_up))


class MethodSettings:
    """Settings of one method."""

    def __init__(self, settings: Mapping[str, object], number: int, default_deadline: int) -> None:
        """`number`: of the method in the settings, from 0."""

        def setting(name: str, default: object) -> object:
            return settings.get(f"methods.{number}.{name}", default)

        def item(name: str) -> object:
            values = settings.get(name, 0)
            return values[number] if isinstance(values, tuple) else values

        kind = setting("kind", "non_idempotent")
        self.name = setting("name", str(number))
        self.keyed = kind == "keyed"
        self.idempotent = kind == "idempotent"
        self.criticality = setting("criticality", 1)
        self.criticality_rank = 0  # among those of the node; 0: the least critical
        self.more_critical: list[MethodSettings] = []
        self.less_critical: list[MethodSettings] = []
        self.deadline = setting("deadline", default_deadline)
        self.latency_objective = setting("latency_target", self.deadline)
        self.key_window = setting("window", 0)
        self.degraded_value = item("degraded_value")  # of an answer without its call; 0: not optional
        self.needs_call = not self.degraded_value and bool(item("method_calls"))
        self.stoppable = self.idempotent and settings.get("can_stop", False)
        self.worthless_when_late = self.stoppable and not setting("late_value", 0)


def order_by_criticality(methods: Sequence[MethodSettings]) -> int:
    """Tell each method its rank and those above and below; returns the number of ranks."""
    criticalities = sorted({method.criticality for method in methods})
    for method in methods:
        method.criticality_rank = criticalities.index(method.criticality)
        method.more_critical = [other for other in methods if other.criticality > method.criticality]
        method.less_critical = [other for other in methods if other.criticality < method.criticality]
    return len(criticalities)
