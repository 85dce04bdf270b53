"""External names of settings, and the conversion of external settings into typed `NodeSettings`.

The simulator's protocol and the configuration file of a real node use the same tables of names in this
module, so that both produce the same `NodeSettings`. This module must never choose a value: a setting that is
left out keeps the default of its field in finchcart/decisions/node_settings.py.
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
EMPTY_LIST = ""  # the simulator's protocol writes an empty list as empty text
MAX_QUOTED_LENGTH = 60  # maximum number of characters of a value that an error message quotes

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
# Values of the setting `familyInfo.preemption`.
STOPPING_VALUES = ("drop", "pause")  # a running RPC can be stopped
PAUSING_VALUE = "pause"  # a stopped RPC can also be resumed later
PREEMPTION_VALUES = ("silent", *STOPPING_VALUES)


class Expectation(NamedTuple):
    """The valid values of a setting: a predicate, and their description for error messages."""

    accepts: Callable[[object], bool]
    text: str


class Setting(NamedTuple):
    """A setting: its valid values, and the typed field that receives its value.

    `field` is a field of `NodeSettings` or `MethodSettings`; a setting whose field is None is checked and
    then dropped. `convert` turns the external value into the field's value.
    """

    expectation: Expectation
    field: str | None
    convert: Callable[[Any], Any] | None = None


def number_in_range(low: float, high: float = float("inf")) -> Expectation:
    """Return the expectation that a value is a number from `low` to `high`, both included."""

    def accepts(value: object) -> bool:
        return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high

    bounds = f"from {low} to {high}" if high < float("inf") else f"from {low} up"
    return Expectation(accepts, f"a number {bounds}")


def _one_of(*words: str) -> Expectation:
    return Expectation(lambda value: isinstance(value, str) and value in words, "one of " + ", ".join(words))


def _each(expectation: Expectation) -> Expectation:
    """Return the expectation that a value, or each value of a tuple, meets `expectation`."""

    def accepts(value: object) -> bool:
        return value == EMPTY_LIST or all(map(expectation.accepts, _as_tuple(value)))

    return Expectation(accepts, f"{expectation.text}, for each")


def _enum_parser(members: Mapping[str, Member], default: Member) -> Callable[[str], Member]:
    """Return a function from a word to its enum member.

    An unknown word gives `default`, since the pairs of the simulator are not checked before they are
    converted.
    """
    return lambda word: members.get(word, default)


def _as_tuple(value: object) -> tuple[object, ...]:
    return value if isinstance(value, tuple) else (value,)


ANYTHING = Expectation(lambda value: True, "")
FLAG = Expectation(lambda value: isinstance(value, bool), "true or false")
TEXT = Expectation(lambda value: isinstance(value, str), "text")
TIME = number_in_range(0, MAX_TIME_US)
UNUSED = Setting(ANYTHING, None)

METHOD_KIND = _enum_parser(METHOD_KINDS, MethodKind.NON_IDEMPOTENT)
FEEDBACK = _enum_parser(FEEDBACKS, Feedback.SILENT)
DEPENDENCY = _enum_parser(DEPENDENCIES, Dependency.SILENT)

# Settings of the node, by external name. Settings with other names are ignored.
NODE_SETTINGS = {
    "round": Setting(TIME, "tick_us"),
    "callers.marksRetry": Setting(FLAG, "marks_retries"),
    "contract.answerSlack": Setting(TIME, None),
    "contract.cold": Setting(TIME, "warm_up_us"),
    "contract.fall": Setting(TIME, None),
    "contract.overloadFactor": Setting(number_in_range(1), "overload_factor"),
    "contract.startCapacity": Setting(number_in_range(0, 1), "cold_start_speed"),
    "contract.stopSendingWithin": Setting(TIME, "drain_grace_us"),
    "familyInfo.below": Setting(_one_of(*DEPENDENCIES), "dependency", DEPENDENCY),
    "familyInfo.callerIdle": Setting(TIME, "idle_timeout_max_us"),
    "familyInfo.callsOut": Setting(number_in_range(0), "calls_limit"),
    "familyInfo.callsOver": Setting(TIME, "calls_window_us"),
    "familyInfo.cores": Setting(number_in_range(1), "cores"),
    "familyInfo.freshStart": Setting(FLAG, "fresh_start"),
    "familyInfo.gauges": Setting(_each(TEXT), "gauges", _as_tuple),
    "familyInfo.heeded": Setting(TIME, "feedback_lifetime_us"),
    "familyInfo.kbPerKey": Setting(number_in_range(0), "key_entry_kb"),
    "familyInfo.linger": Setting(TIME, "calls_linger_us"),
    "familyInfo.memoryKb": Setting(number_in_range(0), "memory_kb"),
    "familyInfo.passesDeadline": Setting(FLAG, None),
    "familyInfo.runFactor": Setting(number_in_range(1), "run_memory_factor"),
    "familyInfo.say": Setting(_one_of(*FEEDBACKS), "feedback", FEEDBACK),
    "limits.maxRetryAfter": Setting(TIME, "retry_after_max_us"),
}
# This setting is not in NODE_SETTINGS because its value sets two fields, `can_stop` and `can_pause`.
PREEMPTION = "familyInfo.preemption"
PREEMPTION_EXPECTATION = _one_of(*PREEMPTION_VALUES)
# Settings of the methods that are given as one value for all methods, or as a list with one value per method.
PER_METHOD_SETTINGS = {
    "familyInfo.classCalls": Setting(_each(FLAG), "makes_call"),
    "familyInfo.worthWithout": Setting(_each(number_in_range(0, 1)), "degraded_value"),
}
# Settings of one method, which are the keys of an item of the list `services`.
METHODS_KEY = "services"
METHOD_COUNT = f"{METHODS_KEY}.count"
METHOD_SETTINGS = {
    "name": Setting(TEXT, "name"),
    "deadline": Setting(TIME, "deadline_us"),
    "effect": Setting(_one_of(*METHOD_KINDS), "kind", METHOD_KIND),
    "target": Setting(TIME, "latency_objective_us"),
    "lateWorth": Setting(number_in_range(0, 1), "late_value"),
    "window": Setting(TIME, "key_window_us"),
    "worth": Setting(number_in_range(0), "criticality"),
}


class SettingsOverrides(NamedTuple):
    """The settings that a configuration sets, by typed field, to be applied to other or default settings."""

    node: Mapping[str, Any]  # values by field of NodeSettings
    # For each method that is configured on its own, its values by field of MethodSettings. The key is the
    # method's position in the list of methods, as decimal digits.
    methods: Mapping[str, Mapping[str, Any]]
    method_count: int | None  # None: the number of methods is not configured
    per_method: Mapping[str, Any]  # by field of MethodSettings: one value for all, or a tuple with one each

    def apply_to(self, base: NodeSettings) -> NodeSettings:
        """Return `base` with the values of these overrides in place of its own.

        Raise IndexError if a tuple in `per_method` has fewer values than there are methods.
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
    """Return the settings that the simulator's pairs of path and text describe. Values are not checked."""
    pairs = ((path, text if path.endswith(".name") else _parse_value(text)) for path, text in raw.items())
    return _make_overrides(pairs).apply_to(NodeSettings())


def from_json(tree: Mapping[str, object]) -> NodeSettings:
    """Return the settings that the nested object of a configuration describes.

    See `overrides_from_json` for errors.
    """
    return overrides_from_json(tree).apply_to(NodeSettings())


def overrides_from_json(tree: Mapping[str, object]) -> SettingsOverrides:
    """Return the overrides that the nested object of a configuration describes; a null sets nothing.

    Raise ConfigError for an invalid value, see `check_value`.
    """
    pairs = [(path, value) for path, value in _flatten("", tree) if value is not None]
    for path, value in pairs:
        check_value(path, value, _expectation_for(path))
    return _make_overrides(pairs)


def check_value(path: str, value: object, expectation: Expectation) -> None:
    """Raise ConfigError, which names the path, the value and the expectation, if the value is invalid."""
    accepts, text = expectation
    if not accepts(value):
        raise ConfigError(f"{path}: {value!r:.{MAX_QUOTED_LENGTH}}: expected {text}")


def parse_whole_number(text: str) -> int:
    """Convert decimal digits, with an optional minus sign, to a number. Raise ValueError for other text."""
    if not text.isascii() or not text.lstrip("-").isdigit():
        raise ValueError(text)
    return int(text)


def _split_method_path(path: str) -> tuple[str, str] | None:
    """Return the position of the method and the name of its setting.

    Return None for the path of a setting of the node or of all methods.
    """
    group, _, rest = path.partition(".")
    if group != METHODS_KEY:
        return None
    position, _, item = rest.partition(".")
    return position, item


def _expectation_for(path: str) -> Expectation:
    if path == PREEMPTION:
        return PREEMPTION_EXPECTATION
    method_path = _split_method_path(path)
    if method_path:
        return METHOD_SETTINGS.get(method_path[1], UNUSED).expectation
    return (NODE_SETTINGS.get(path) or PER_METHOD_SETTINGS.get(path, UNUSED)).expectation


def _make_overrides(pairs: Iterable[tuple[str, Any]]) -> SettingsOverrides:
    node: dict[str, Any] = {}
    methods: dict[str, dict[str, Any]] = {}
    per_method: dict[str, Any] = {}
    method_count: int | None = None
    for path, value in pairs:
        method_path = _split_method_path(path)
        if path == METHOD_COUNT:
            method_count = value
        elif path == PREEMPTION:
            node["can_stop"] = value in STOPPING_VALUES
            node["can_pause"] = value == PAUSING_VALUE
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
    """Return a list as `_parse_value` returns it for the simulator's pairs: a single item without a tuple."""
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
