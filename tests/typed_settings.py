"""Conversion of the flat settings of tests, with short names without units, to `NodeSettings`."""

from finchcart.decisions.node_settings import Dependency, Feedback, MethodKind, NodeSettings
from finchcart.settings import SettingsOverrides

NODE_FIELDS = {
    "calls_limit": "calls_limit",
    "calls_linger": "calls_linger_us",
    "calls_window": "calls_window_us",
    "can_pause": "can_pause",
    "can_stop": "can_stop",
    "cold_start_speed": "cold_start_speed",
    "cores": "cores",
    "dependency": "dependency",
    "drain_grace": "drain_grace_us",
    "feedback": "feedback",
    "feedback_lifetime": "feedback_lifetime_us",
    "fresh_start": "fresh_start",
    "gauges": "gauges",
    "idle_timeout_max": "idle_timeout_max_us",
    "key_entry_kb": "key_entry_kb",
    "marks_retries": "marks_retries",
    "memory_kb": "memory_kb",
    "overload_factor": "overload_factor",
    "retry_after_max": "retry_after_max_us",
    "run_factor": "run_memory_factor",
    "tick": "tick_us",
    "warm_up": "warm_up_us",
}
METHOD_FIELDS = {
    "criticality": "criticality",
    "deadline": "deadline_us",
    "kind": "kind",
    "latency_target": "latency_objective_us",
    "late_value": "late_value",
    "name": "name",
    "window": "key_window_us",
}
PER_METHOD_FIELDS = {"degraded_value": "degraded_value", "method_calls": "makes_call"}
HARNESS_FIELDS = {"methods.count", "overload_window", "slack", "tells_deadline"}
ENUMS = {"dependency": Dependency, "feedback": Feedback, "kind": MethodKind}


def typed(flat, base=None):
    """Return the settings of a flat dict, applied over `base`; each name must be known."""
    node, methods, per_method = {}, {}, {}
    for name, value in flat.items():
        if name in NODE_FIELDS:
            node[NODE_FIELDS[name]] = as_enum(name, value)
        elif name in PER_METHOD_FIELDS:
            per_method[PER_METHOD_FIELDS[name]] = value
        elif name not in HARNESS_FIELDS:
            _, position, item = name.split(".")
            methods.setdefault(position, {})[METHOD_FIELDS[item]] = as_enum(item, value)
    overrides = SettingsOverrides(node, methods, flat.get("methods.count"), per_method)
    return overrides.apply_to(base or NodeSettings())


def as_enum(name, value):
    return ENUMS[name](value) if name in ENUMS else value
