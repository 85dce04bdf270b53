"""What the fields of an RPC may say.

Owns the ranges that each field is held against before the module hears of it. Pure: it must never keep
anything, nor let through what no dispatcher would say.
"""

HEX = set("0123456789abcdef")


def number(fields, name, low, high, default=None):
    text = fields.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise ValueError(f"field {name}={str(text)[:40]!r}: expected a number") from None
    if not low <= value < high:
        raise ValueError(f"field {name}={text[:40]!r}: expected {low:.0f} to under {high:.0f}")
    return value


def read(fields, body, now, limits, kinds, late):
    """(name, method, token, what `Core.take` is to be told); a ValueError says what is wrong.

    `kinds`: method -> kind; `late`: method -> how long after its arrival an RPC may still be read, in us."""
    if fields is None or body is None:
        raise ValueError("the call carries no fields or no body")
    if len(body) > limits.body_size:
        raise ValueError(f"body: {len(body)} bytes, {limits.body_size} at most")
    get = fields.get
    method, token, name, caller, came = get("c"), get("k"), get("i", ""), get("f", ""), get("s", "")
    if method not in kinds:
        raise ValueError(f"field c={str(method)[:40]!r}: no such method")
    if len(name) != 16 or not HEX.issuperset(name):
        raise ValueError(f"field i={name[:40]!r}: expected 16 hex digits, new with every try")
    if kinds[method] != "keyed":
        token = None
    elif not token or len(token) > 64:
        raise ValueError("field k is missing, or too long")
    if not came.isdigit():
        raise ValueError(f"field s={came[:40]!r}: expected Unix milliseconds")
    reached = int(number(fields, "s", 0, 1e14)) * 1000
    if not now - late[method] <= reached <= now + limits.max_clock_lead:
        raise ValueError(f"field s={reached // 1000}: too far from {now // 1000}")
    if not (caller.isdigit() and len(caller) < 12):
        raise ValueError(f"field f={caller[:40]!r}: expected the number of a dispatcher")
    place = number(fields, "p", 0, 1, -1)
    return (
        name,
        method,
        token,
        {
            "reached": min(reached, now),
            "caller": caller,
            "again": "r" in fields,
            "hint": int(number(fields, "h", 0, limits.max_expected_run / 1000, 0) * 1000),
            "kb": number(fields, "m", 1e-9, 2000),
            "place": None if place < 0 else place,
        },
    )
