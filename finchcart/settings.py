"""Outside names of settings, turned into the one plain map that the module reads.

Owns the table of names, for the simulator's wire and for a real node's configuration alike, so that both give
the module the same map. It must never choose a value: what is not told stays out of the map, and the module
picks its own default.
"""

KINDS = {"read_like": "idempotent", "idempotency_key": "tokened", "non_idempotent": "non_idempotent"}

# The outside names of settings, in the module's words; others are passed over.
SETTINGS = {
    "round": "tick", "callers.marksRetry": "marks_further",
    "contract.answerSlack": "slack", "contract.cold": "cold", "contract.fall": "crowd_window",
    "contract.overloadFactor": "crowd", "contract.startCapacity": "cold_start",
    "contract.stopSendingWithin": "grace", "familyInfo.callerIdle": "idle_max",
    "familyInfo.below": "below", "familyInfo.callsOut": "calls_limit", "familyInfo.callsOver": "calls_window",
    "familyInfo.classCalls": "method_calls", "familyInfo.cores": "cores",
    "familyInfo.gauges": "gauges",
    "familyInfo.freshStart": "fresh_start", "familyInfo.kbPerKey": "entry_kb",
    "familyInfo.linger": "calls_linger", "familyInfo.heeded": "told_heeded",
    "familyInfo.memoryKb": "memory_kb", "familyInfo.passesDeadline": "tells_deadline",
    "familyInfo.preemption": "can_stop", "familyInfo.runFactor": "run_factor", "familyInfo.say": "told",
    "familyInfo.worthWithout": "method_poorer", "limits.maxRetryAfter": "advice_max",
    "services.count": "methods.count",
}
ITEMS = {
    "services": ("methods", {"name": "name", "deadline": "deadline", "effect": "kind",
                             "target": "latency_target", "lateWorth": "late_worth",
                             "window": "window", "worth": "criticality"}),
}


def _number(low, high=float("inf")):
    told = f"a number from {low}" + (f" to {high}" if high < float("inf") else " up")
    return lambda v: isinstance(v, (int, float)) and not isinstance(v, bool) and low <= v <= high, told


def _word(*words):
    return lambda v: isinstance(v, str) and v in words, "one of " + ", ".join(words)


_FLAG = (lambda v: isinstance(v, bool), "true or false")
_TIME = _number(0, 10**12)
# What a configuration may tell of what the module reads; on the simulator's wire it is the wire's own.
CHECKS = {
    "round": _TIME, "callers.marksRetry": _FLAG, "contract.answerSlack": _TIME, "contract.cold": _TIME,
    "contract.fall": _TIME, "contract.overloadFactor": _number(1), "contract.startCapacity": _number(0, 1),
    "contract.stopSendingWithin": _TIME, "familyInfo.below": _word("shared", "tier", "silent"),
    "familyInfo.callerIdle": _TIME, "familyInfo.callsOut": _number(0), "familyInfo.callsOver": _TIME,
    "familyInfo.cores": _number(1), "familyInfo.freshStart": _FLAG, "familyInfo.heeded": _TIME,
    "familyInfo.kbPerKey": _number(0), "familyInfo.linger": _TIME, "familyInfo.memoryKb": _number(0),
    "familyInfo.passesDeadline": _FLAG, "familyInfo.preemption": _word("silent", "drop", "pause"),
    "familyInfo.runFactor": _number(1), "familyInfo.say": _word("level", "credit", "weight", "silent"),
    "limits.maxRetryAfter": _TIME, "services[].deadline": _TIME, "services[].target": _TIME,
    "services[].effect": _word(*KINDS), "services[].lateWorth": _number(0, 1), "services[].window": _TIME,
    "services[].worth": _number(0),
}


def from_pairs(raw):
    """From the wire's pairs of path and text."""
    return _named((path, text if path.endswith(".name") else _value(text)) for path, text in raw.items())


def from_json(tree):
    """From a configuration's nested object: lists of objects as counts and items, plain lists as tuples. What
    the module reads is checked; a ValueError names the field, its value and what is expected."""
    pairs = [(path, value) for path, value in _flat("", tree) if value is not None]
    for path, value in pairs:
        group, _, rest = path.partition(".")
        number, _, item = rest.partition(".")
        check = CHECKS.get(path) or (CHECKS.get(f"{group}[].{item}") if number.isdigit() else None)
        if check and not check[0](value):
            raise ValueError(f"{path}: {value!r}: expected {check[1]}")
    return _named(pairs)


def _named(pairs):
    out = {}
    for path, value in pairs:
        name = SETTINGS.get(path)
        if name is None:
            group, _, rest = path.partition(".")
            number, _, item = rest.partition(".")
            prefix, names = ITEMS.get(group, ("", {}))
            if item not in names:
                continue
            name = f"{prefix}.{number}.{names[item]}"
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
