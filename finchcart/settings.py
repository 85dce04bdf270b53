"""Outside names of settings, turned into the one flat mapping that the decision module reads.

Owns the table of names, for the simulator's protocol and for a real node's configuration alike, so that both
give the module the same mapping. Never chooses a value: what is not told stays out of the mapping, and the
module has its own default.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

METHOD_KINDS = {
    "read_like": "idempotent",
    "idempotency_key": "keyed",
    "non_idempotent": "non_idempotent",
}
MAX_TIME = 10**12  # microseconds


class Expectation(NamedTuple):
    """What a value can be: a test, and the words of an error."""

    holds: Callable[[object], bool]
    text: str


class Setting(NamedTuple):
    """A setting as the decision module names it; no name: it is not read."""

    name: str | None
    expectation: Expectation


def number(low: float, high: float = float("inf")) -> Expectation:
    """A number within these bounds, which belong to them."""

    def holds(value: object) -> bool:
        return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high

    bounds = f"from {low} to {high}" if high < float("inf") else f"from {low} up"
    return Expectation(holds, f"a number {bounds}")


def _one_of(*words: str) -> Expectation:
    return Expectation(lambda value: isinstance(value, str) and value in words, "one of " + ", ".join(words))


def _each(expectation: Expectation) -> Expectation:
    """One value for all methods, or a tuple with one for each."""

    def holds(value: object) -> bool:
        values = value if isinstance(value, tuple) else (value,)
        return value == "" or all(map(expectation.holds, values))

    return Expectation(holds, f"{expectation.text}, for each")


ANYTHING = Expectation(lambda value: True, "")
FLAG = Expectation(lambda value: isinstance(value, bool), "true or false")
TEXT = Expectation(lambda value: isinstance(value, str), "text")
TIME = number(0, MAX_TIME)
NOT_READ = Setting(None, ANYTHING)

# By their outside names; others are not read.
SETTINGS = {
    "round": Setting("tick", TIME),
    "callers.marksRetry": Setting("marks_retries", FLAG),
    "contract.answerSlack": Setting("slack", TIME),
    "contract.cold": Setting("warm_up", TIME),
    "contract.fall": Setting("overload_window", TIME),
    "contract.overloadFactor": Setting("overload_factor", number(1)),
    "contract.startCapacity": Setting("cold_start_speed", number(0, 1)),
    "contract.stopSendingWithin": Setting("drain_grace", TIME),
    "familyInfo.below": Setting("dependency", _one_of("shared", "tier", "silent")),
    "familyInfo.callerIdle": Setting("idle_timeout_max", TIME),
    "familyInfo.callsOut": Setting("calls_limit", number(0)),
    "familyInfo.callsOver": Setting("calls_window", TIME),
    "familyInfo.classCalls": Setting("method_calls", _each(FLAG)),
    "familyInfo.cores": Setting("cores", number(1)),
    "familyInfo.freshStart": Setting("fresh_start", FLAG),
    "familyInfo.gauges": Setting("gauges", _each(TEXT)),
    "familyInfo.heeded": Setting("feedback_lifetime", TIME),
    "familyInfo.kbPerKey": Setting("key_entry_kb", number(0)),
    "familyInfo.linger": Setting("calls_linger", TIME),
    "familyInfo.memoryKb": Setting("memory_kb", number(0)),
    "familyInfo.passesDeadline": Setting("tells_deadline", FLAG),
    "familyInfo.preemption": Setting("can_stop", _one_of("silent", "drop", "pause")),
    "familyInfo.runFactor": Setting("run_factor", number(1)),
    "familyInfo.say": Setting("feedback", _one_of("level", "credit", "weight", "silent")),
    "familyInfo.worthWithout": Setting("degraded_value", _each(number(0, 1))),
    "limits.maxRetryAfter": Setting("retry_after_max", TIME),
}
# The same for each item of the list of methods, which is called `services` outside.
METHOD_SETTINGS = {
    "name": Setting("name", TEXT),
    "deadline": Setting("deadline", TIME),
    "effect": Setting("kind", _one_of(*METHOD_KINDS)),
    "target": Setting("latency_target", TIME),
    "lateWorth": Setting("late_value", number(0, 1)),
    "window": Setting("window", TIME),
    "worth": Setting("criticality", number(0)),
}


def from_pairs(raw: Mapping[str, str]) -> dict[str, object]:
    """From the protocol's pairs of path and text."""
    return _named((path, text if path.endswith(".name") else _value(text)) for path, text in raw.items())


def from_json(tree: Mapping[str, object]) -> dict[str, object]:
    """From a configuration's nested object: lists of objects as counts and items, plain lists as tuples.

    Each value is checked, see `check`.
    """
    pairs = [(path, value) for path, value in _flat("", tree) if value is not None]
    for path, value in pairs:
        check(path, value, _look_up(path).expectation)
    return _named(pairs)


def check(path: str, value: object, expectation: Expectation) -> None:
    """Raise a ValueError with the field, its value and what is expected, where the value can't be."""
    holds, text = expectation
    if not holds(value):
        raise ValueError(f"{path}: {value!r:.60}: expected {text}")


def whole(text: str) -> int:
    """A whole number; raises ValueError for any other text."""
    if not text.isascii() or not text.lstrip("-").isdigit():
        raise ValueError(text)
    return int(text)


def _look_up(path: str) -> Setting:
    group, _, rest = path.partition(".")
    if group != "services":
        return SETTINGS.get(path, NOT_READ)
    if rest == "count":
        return Setting("methods.count", ANYTHING)
    method, _, item = rest.partition(".")
    setting = METHOD_SETTINGS.get(item, NOT_READ)
    return setting._replace(name=setting.name and f"methods.{method}.{setting.name}")


def _named(pairs: Iterable[tuple[str, object]]) -> dict[str, object]:
    """The mapping by the module's names, with its words for kinds of methods and for preemption."""
    named = {}
    for path, value in pairs:
        name = _look_up(path).name
        if name:
            named[name] = METHOD_KINDS.get(value, "non_idempotent") if name.endswith(".kind") else value
    if "can_stop" in named:
        preemption = named["can_stop"]
        named["can_stop"] = preemption in ("drop", "pause")
        named["can_pause"] = preemption == "pause"
    return named


def _flat(path: str, value: object) -> Iterator[tuple[str, object]]:
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flat(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list) and value and all(isinstance(part, dict) for part in value):
        yield f"{path}.count", len(value)
        for position, part in enumerate(value):
            yield from _flat(f"{path}.{position}", part)
    elif isinstance(value, list):
        # As in the protocol: a list of one can't be told from its only value, nor an empty one from no text.
        yield path, tuple(value) if len(value) > 1 else value[0] if value else ""
    else:
        yield path, value


def _value(text: str) -> object:
    if "," in text:
        return tuple(_value(part) for part in text.split(","))
    if text in ("true", "false"):
        return text == "true"
    for read in (whole, float):
        try:
            return read(text)
        except ValueError:
            continue
    return text
