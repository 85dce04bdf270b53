"""External names of settings, and how the typed settings of a node are made from them.

Owns the table of names, for the simulator's protocol and for a real node's configuration alike, so that both
give the same `NodeSettings`. It must never choose a value: a setting that is left out keeps the default of
its field, see finchcart/decisions/node_settings.py.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple, TypeVar

from finchcart.decisions.node_settings import (
    Dependency,
    Feedback,
    MethodKind,
    MethodSettings,
    NodeSettings,
)
from finchcart.errors import ConfigError

Member = TypeVar("Member", bound=Enum)

MAX_TIME_US = 10**12
EMPTY_LIST = ""  # what the simulator sends for it
MAX_QUOTED_LENGTH = 60  # characters of a value that an error quotes

METHOD_KINDS = {
    "read_like": MethodKind.IDEMPOTENT,
    "idempotency_key": MethodKind.KEYED,
    "non_idempotent": MethodKind.NON_IDEMPOTENT,
}
FEEDBACKS = {
    "level": Feedback.LEVEL,
    "credit": Feedback.CREDIT,
    "weight": Feedback.WEIGHT,
    "silent": Feedback.SILENT,
}
DEPENDENCIES = {
    "shared": Dependency.SHARED,
    "tier": Dependency.TIER,
    "silent": Dependency.SILENT,
}
STOPPING_WORDS = ("drop", "pause")  # of preemption: running work can be stopped
PAUSING_WORD = "pause"
PREEMPTION_WORDS = ("silent", *STOPPING_WORDS)


class Expectation(NamedTuple):
    """What a value can be: a test, and the words of an error."""

    holds: Callable[[object], bool]
    text: str


class Setting(NamedTuple):
    """A setting: what its value can be, and the typed field that it becomes."""

    expectation: Expectation
    field: str | None  # of NodeSettings or MethodSettings; None: checked and not used
    convert: Callable[[Any], Any] | None = None  # from the external word


def number(low: float, high: float = float("inf")) -> Expectation:
    """Return the expectation of a number from `low` to `high`, both included."""

    def holds(value: object) -> bool:
        return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high

    bounds = f"from {low} to {high}" if high < float("inf") else f"from {low} up"
    return Expectation(holds, f"a number {bounds}")


def _one_of(*words: str) -> Expectation:
    return Expectation(lambda value: isinstance(value, str) and value in words, "one of " + ", ".join(words))


def _each(expectation: Expectation) -> Expectation:
    """Return the expectation of one such value, or of a tuple of them."""

    def holds(value: object) -> bool:
        return value == EMPTY_LIST or all(map(expectation.holds, _as_tuple(value)))

    return Expectation(holds, f"{expectation.text}, for each")


def _enum_parser(words: Mapping[str, Member], default: Member) -> Callable[[str], Member]:
    """Return what a word means: `default` for one that is not known, as pairs are not checked."""
    return lambda word: words.get(word, default)


def _as_tuple(value: object) -> tuple[object, ...]:
    return value if isinstance(value, tuple) else (value,)


ANYTHING = Expectation(lambda value: True, "")
FLAG = Expectation(lambda value: isinstance(value, bool), "true or false")
TEXT = Expectation(lambda value: isinstance(value, str), "text")
TIME = number(0, MAX_TIME_US)
UNUSED = Setting(ANYTHING, None)

METHOD_KIND = _enum_parser(METHOD_KINDS, MethodKind.NON_IDEMPOTENT)
FEEDBACK = _enum_parser(FEEDBACKS, Feedback.SILENT)
DEPENDENCY = _enum_parser(DEPENDENCIES, Dependency.SILENT)

# Settings of the node by their external names; others are not read.
NODE_SETTINGS = {
    "round": Setting(TIME, "tick_us"),
    "callers.marksRetry": Setting(FLAG, "marks_retries"),
    "contract.answerSlack": Setting(TIME, None),
    "contract.cold": Setting(TIME, "warm_up_us"),
    "contract.fall": Setting(TIME, None),
    "contract.overloadFactor": Setting(number(1), "overload_factor"),
    "contract.startCapacity": Setting(number(0, 1), "cold_start_speed"),
    "contract.stopSendingWithin": Setting(TIME, "drain_grace_us"),
    "familyInfo.below": Setting(_one_of(*DEPENDENCIES), "dependency", DEPENDENCY),
    "familyInfo.callerIdle": Setting(TIME, "idle_timeout_max_us"),
    "familyInfo.callsOut": Setting(number(0), "calls_limit"),
    "familyInfo.callsOver": Setting(TIME, "calls_window_us"),
    "familyInfo.cores": Setting(number(1), "cores"),
    "familyInfo.freshStart": Setting(FLAG, "fresh_start"),
    "familyInfo.gauges": Setting(_each(TEXT), "gauges", _as_tuple),
    "familyInfo.heeded": Setting(TIME, "feedback_lifetime_us"),
    "familyInfo.kbPerKey": Setting(number(0), "key_entry_kb"),
    "familyInfo.linger": Setting(TIME, "calls_linger_us"),
    "familyInfo.memoryKb": Setting(number(0), "memory_kb"),
    "familyInfo.passesDeadline": Setting(FLAG, None),
    "familyInfo.runFactor": Setting(number(1), "run_memory_factor"),
    "familyInfo.say": Setting(_one_of(*FEEDBACKS), "feedback", FEEDBACK),
    "limits.maxRetryAfter": Setting(TIME, "retry_after_max_us"),
}
# Its value gives two fields, `can_stop` and `can_pause`.
PREEMPTION = "familyInfo.preemption"
PREEMPTION_EXPECTATION = _one_of(*PREEMPTION_WORDS)
# Fields of each method that are configured as one value for all methods, or as a list with one for each.
PER_METHOD_SETTINGS = {
    "familyInfo.classCalls": Setting(_each(FLAG), "makes_call"),
    "familyInfo.worthWithout": Setting(_each(number(0, 1)), "degraded_value"),
}
# Settings of one method, of an item of the list `services`.
METHODS_KEY = "services"
METHOD_COUNT = f"{METHODS_KEY}.count"
METHOD_SETTINGS = {
    "name": Setting(TEXT, "name"),
    "deadline": Setting(TIME, "deadline_us"),
    "effect": Setting(_one_of(*METHOD_KINDS), "kind", METHOD_KIND),
    "target": Setting(TIME, "latency_objective_us"),
    "lateWorth": Setting(number(0, 1), "late_value"),
    "window": Setting(TIME, "key_window_us"),
    "worth": Setting(number(0), "criticality"),
}


class SettingsOverrides(NamedTuple):
    """The settings that are configured, by typed field, to be applied to others or to the defaults."""

    node: Mapping[str, Any]  # by field of NodeSettings
    methods: Mapping[str, Mapping[str, Any]]  # by position as text, then by field of MethodSettings
    method_count: int | None  # None: not configured
    per_method: Mapping[str, Any]  # by field of MethodSettings: one value for all, or a tuple of values

    def apply_to(self, base: NodeSettings) -> NodeSettings:
        """Return `base` with these values in place of its own.

        Raise IndexError where a tuple has fewer values than there are methods.
        """
        count = len(base.methods) if self.method_count is None else self.method_count
        methods = tuple(self._method(base, position) for position in range(count))
        return base._replace(methods=methods, **self.node)

    def _method(self, base: NodeSettings, position: int) -> MethodSettings:
        is_new = position >= len(base.methods)
        method = MethodSettings(name=str(position)) if is_new else base.methods[position]
        shared = {
            field: value[position] if isinstance(value, tuple) else value
            for field, value in self.per_method.items()
        }
        return method._replace(**shared, **self.methods.get(str(position), {}))


def from_pairs(raw: Mapping[str, str]) -> NodeSettings:
    """Return the settings of the simulator's pairs of path and text, which are not checked."""
    pairs = ((path, text if path.endswith(".name") else _parse_value(text)) for path, text in raw.items())
    return _overrides(pairs).apply_to(NodeSettings())


def from_json(tree: Mapping[str, object]) -> NodeSettings:
    """Return the settings of a configuration's nested object, see `overrides_from_json`."""
    return overrides_from_json(tree).apply_to(NodeSettings())


def overrides_from_json(tree: Mapping[str, object]) -> SettingsOverrides:
    """Return what a configuration's nested object sets; a null sets nothing. Raise as `check` does."""
    pairs = [(path, value) for path, value in _flatten("", tree) if value is not None]
    for path, value in pairs:
        check(path, value, _expectation(path))
    return _overrides(pairs)


def check(path: str, value: object, expectation: Expectation) -> None:
    """Raise ConfigError with the field, its value and what is expected, where the value can't be."""
    holds, text = expectation
    if not holds(value):
        raise ConfigError(f"{path}: {value!r:.{MAX_QUOTED_LENGTH}}: expected {text}")


def parse_whole_number(text: str) -> int:
    """Return the whole number of a text. Raise ValueError for any other text."""
    if not text.isascii() or not text.lstrip("-").isdigit():
        raise ValueError(text)
    return int(text)


def _split_method_path(path: str) -> tuple[str, str] | None:
    """Return position and item of a setting of one method; None: it is of the node, or of all methods."""
    group, _, rest = path.partition(".")
    if group != METHODS_KEY:
        return None
    position, _, item = rest.partition(".")
    return position, item


def _expectation(path: str) -> Expectation:
    if path == PREEMPTION:
        return PREEMPTION_EXPECTATION
    method_path = _split_method_path(path)
    if method_path:
        return METHOD_SETTINGS.get(method_path[1], UNUSED).expectation
    return (NODE_SETTINGS.get(path) or PER_METHOD_SETTINGS.get(path, UNUSED)).expectation


def _overrides(pairs: Iterable[tuple[str, Any]]) -> SettingsOverrides:
    node: dict[str, Any] = {}
    methods: dict[str, dict[str, Any]] = {}
    per_method: dict[str, Any] = {}
    method_count: int | None = None
    for path, value in pairs:
        method_path = _split_method_path(path)
        if path == METHOD_COUNT:
            method_count = value
        elif path == PREEMPTION:
            node["can_stop"] = value in STOPPING_WORDS
            node["can_pause"] = value == PAUSING_WORD
        elif path in PER_METHOD_SETTINGS:
            if value != EMPTY_LIST:
                _set_field(per_method, PER_METHOD_SETTINGS[path], value)
        elif method_path:
            position, item = method_path
            _set_field(methods.setdefault(position, {}), METHOD_SETTINGS.get(item, UNUSED), value)
        else:
            _set_field(node, NODE_SETTINGS.get(path, UNUSED), value)
    return SettingsOverrides(node, methods, method_count, per_method)


def _set_field(fields: dict[str, Any], setting: Setting, value: object) -> None:
    if setting.field is not None:
        fields[setting.field] = setting.convert(value) if setting.convert else value


def _flatten(path: str, value: object) -> Iterator[tuple[str, object]]:
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flatten(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list) and value and all(isinstance(part, dict) for part in value):
        yield f"{path}.count", len(value)
        for position, part in enumerate(value):
            yield from _flatten(f"{path}.{position}", part)
    elif isinstance(value, list):
        yield path, _as_pair_value(value)
    else:
        yield path, value


def _as_pair_value(values: list[object]) -> object:
    """Return a plain list as the simulator's pairs give it: one of a single value is that value."""
    if not values:
        return EMPTY_LIST
    return values[0] if len(values) == 1 else tuple(values)


def _parse_value(text: str) -> object:
    if "," in text:
        return tuple(_parse_value(part) for part in text.split(","))
    if text in ("true", "false"):
        return text == "true"
    for read in (parse_whole_number, float):
        try:
            return read(text)
        except ValueError:
            continue
    return text
