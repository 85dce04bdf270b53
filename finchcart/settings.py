"""Outside names of settings, turned into the one plain map that the module reads.

Owns the table of names, for the simulator's wire and for a real node's configuration alike, so that both give
the module the same map. It must never choose a value: what is not told stays out of the map, and the module
picks its own default.
"""

KINDS = {"read_like": "idempotent", "idempotency_key": "keyed", "non_idempotent": "non_idempotent"}


def number(low, high=float("inf")):
    told = f"a number from {low}" + (f" to {high}" if high < float("inf") else " up")
    return lambda v: isinstance(v, (int, float)) and not isinstance(v, bool) and low <= v <= high, told


def _word(*words):
    return lambda v: isinstance(v, str) and v in words, "one of " + ", ".join(words)


def _each(check):
    holds, told = check
    return lambda v: v == "" or all(map(holds, v if isinstance(v, tuple) else (v,))), f"{told}, for each"


_FLAG = (lambda v: isinstance(v, bool), "true or false")
_TEXT = (lambda v: isinstance(v, str), "text")
_TIME = number(0, 10**12)
# The outside names of settings: the module's word, and what a configuration may tell. Others are passed over.
SETTINGS = {
    "round": ("tick", _TIME),
    "callers.marksRetry": ("marks_retries", _FLAG),
    "contract.answerSlack": ("slack", _TIME),
    "contract.cold": ("warm_up", _TIME),
    "contract.fall": ("overload_window", _TIME),
    "contract.overloadFactor": ("overload_factor", number(1)),
    "contract.startCapacity": ("cold_start_speed", number(0, 1)),
    "contract.stopSendingWithin": ("drain_grace", _TIME),
    "familyInfo.below": ("dependency", _word("shared", "tier", "silent")),
    "familyInfo.callerIdle": ("idle_timeout_max", _TIME),
    "familyInfo.callsOut": ("calls_limit", number(0)),
    "familyInfo.callsOver": ("calls_window", _TIME),
    "familyInfo.classCalls": ("method_calls", _each(_FLAG)),
    "familyInfo.cores": ("cores", number(1)),
    "familyInfo.freshStart": ("fresh_start", _FLAG),
    "familyInfo.gauges": ("gauges", _each(_TEXT)),
    "familyInfo.heeded": ("feedback_lifetime", _TIME),
    "familyInfo.kbPerKey": ("key_entry_kb", number(0)),
    "familyInfo.linger": ("calls_linger", _TIME),
    "familyInfo.memoryKb": ("memory_kb", number(0)),
    "familyInfo.passesDeadline": ("tells_deadline", _FLAG),
    "familyInfo.preemption": ("can_stop", _word("silent", "drop", "pause")),
    "familyInfo.runFactor": ("run_factor", number(1)),
    "familyInfo.say": ("feedback", _word("level", "credit", "weight", "silent")),
    "familyInfo.worthWithout": ("degraded_value", _each(number(0, 1))),
    "limits.maxRetryAfter": ("retry_after_max", _TIME),
}
_PASSED_OVER = None, (lambda v: True, "")
# The same for each item of the list of methods.
METHODS = {
    "name": ("name", _TEXT),
    "deadline": ("deadline", _TIME),
    "effect": ("kind", _word(*KINDS)),
    "target": ("latency_target", _TIME),
    "lateWorth": ("late_value", number(0, 1)),
    "window": ("window", _TIME),
    "worth": ("criticality", number(0)),
}


def from_pairs(raw):
    """From the wire's pairs of path and text."""
    return _named((path, text if path.endswith(".name") else _value(text)) for path, text in raw.items())


def from_json(tree):
    """From a configuration's nested object: lists of objects as counts and items, plain lists as tuples. What
    is told is checked, see `check`."""
    pairs = [(path, value) for path, value in _flat("", tree) if value is not None]
    for path, value in pairs:
        check(path, value, _look_up(path)[1])
    return _named(pairs)


def check(path, value, expected):
    """A ValueError with the field, its value and what is expected, where the value can't be."""
    holds, told = expected
    if not holds(value):
        raise ValueError(f"{path}: {value!r:.60}: expected {told}")


def _look_up(path):
    """The module's name of a setting, or None, and what may be told."""
    group, _, rest = path.partition(".")
    number, _, item = rest.partition(".")
    if group != "services":
        return SETTINGS.get(path, _PASSED_OVER)
    if rest == "count":
        return "methods.count", _PASSED_OVER[1]
    name, expected = METHODS.get(item, _PASSED_OVER)
    return name and f"methods.{number}.{name}", expected


def _named(pairs):
    out = {}
    for path, value in pairs:
        name, _ = _look_up(path)
        if name:
            out[name] = KINDS.get(value, "non_idempotent") if name.endswith(".kind") else value
    if "can_stop" in out:
        out["can_pause"] = out["can_stop"] == "pause"
        out["can_stop"] = out["can_stop"] in ("drop", "pause")
    return out


def _flat(path, value):
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flat(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list) and value and all(isinstance(part, dict) for part in value):
        yield f"{path}.count", len(value)
        for n, part in enumerate(value):
            yield from _flat(f"{path}.{n}", part)
    elif isinstance(value, list):
        # As on the wire: a list of one can't be told from its only value, nor an empty one from no text.
        yield path, tuple(value) if len(value) > 1 else value[0] if value else ""
    else:
        yield path, value


def whole(text):
    if not text.isascii() or not text.lstrip("-").isdigit():
        raise ValueError
    return int(text)


def _value(text):
    if "," in text:
        return tuple(_value(part) for part in text.split(","))
    if text in ("true", "false"):
        return text == "true"
    for read in (whole, float):
        try:
            return read(text)
        except ValueError:
            pass
    return text
