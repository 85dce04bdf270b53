"""Valid and invalid settings files and configurations, derived from those that the project ships."""

import copy
import json
import re
from enum import Enum

import json5

from finchcart.node_config import read_config
from tests.pins.adapter import ROOT

SHIPPED_SETTINGS = (ROOT / "deploy" / "finchcart.json5").read_text(encoding="utf-8")
EXAMPLE_CONFIG_PATH = ROOT / "example" / "config.json"


def load_all_settings():
    """Return the settings of `deploy/finchcart.json5` with all settings that are commented out enabled."""
    setting = re.compile(r"^(\s*)// ((?:  )*(?:\w+: .*|\{name: .*|\},|\],))$", re.MULTILINE)
    text = setting.sub(r"\1\2", SHIPPED_SETTINGS)
    return json5.loads(text)


def apply_changes(tree, *changes):
    """Return a copy of the tree with values set at dotted paths; the value `...` deletes the name."""
    tree = copy.deepcopy(tree)
    for path, value in changes:
        *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
        parent = tree
        for part in parents:
            parent = parent[part]
        if value is ...:
            del parent[last]
        else:
            parent[last] = value
    return tree


ALL_SETTINGS = load_all_settings()
ONE_LIMIT = {"name": "a", "in_hand": 100}
SETTINGS_CHANGES = {
    "everything": [],
    "no fleet": [(name, ...) for name in ("fleet", "limits", "quota", "verdicts", "claims")],
    "fleet alone": [(name, ...) for name in ("limits", "quota", "verdicts", "claims")],
    "defaults of verdicts": [("verdicts", {})],
    "warnings of verdicts": [("verdicts.count", 1), ("verdicts.most_out", 0.6)],
    "no such setting": [("fleet.perod_ms", 500), ("fleet.x", 1), ("nothing_alike", 2)],
    "fleet without a name": [("fleet.name", ...), ("fleet.listen", ...)],
    "not an object": [("fleet", 7), ("verdicts", [])],
    "wrong types": [("fleet.period_ms", "often"), ("fleet.seeds", "127.0.0.1:1"), ("claims.drift", "x")],
    "out of range": [("fleet.watch", 97), ("fleet.patience", 1), ("quota.room", 0.6), ("verdicts.zones", 0)],
    "wrong items": [("limits.0.mode", "firm"), ("limits.1.weight", 0), ("limits.2.name", "")],
    "impossible addresses": [
        ("fleet.listen", "300.0.0.1:7400"),
        ("fleet.advertise", "127.0.0.1:99999"),
        ("fleet.seeds.1", "127.0.0.1:0"),
        ("quota.planners.1", "127.0.0.256:1"),
        ("claims.keepers.2", "127.0.0.1:70000"),
    ],
    "address in words": [("fleet.listen", "localhost:7400")],
    "listens everywhere": [("fleet.listen", "0.0.0.0:7400"), ("fleet.advertise", ...)],
    "patience": [("fleet.patience", 20)],
    "forgets too soon": [("fleet.remember_s", 10)],
    "too few datagrams": [("fleet.datagrams", 20)],
    "limits without quota": [("quota", ...)],
    "quota without limits": [("limits", [])],
    "neither in_hand nor rate": [("limits.0.in_hand", ...)],
    "both in_hand and rate": [("limits.1.in_hand", 5)],
    "rate without burst": [("limits.1.burst", ...)],
    "burst without rate": [("limits.0.burst", 5)],
    "seventeen limits": [("limits", [ONE_LIMIT | {"name": f"l{number}"} for number in range(17)])],
    "strict RPCs in hand": [("limits.2.mode", "strict")],
    "burst less than most": [("limits.1.burst", 10)],
    "calls of a method": [("limits.0.method", "book")],
    "calls of a dispatcher": [("limits.0.dispatcher", "17")],
    "floors above the limit": [("limits.0.floor", 4)],
    "two limits of one name": [("limits.1.name", "store")],
    "two limits on the same": [("limits", [ONE_LIMIT, ONE_LIMIT | {"name": "b"}])],
    "two planners": [("quota.planners", ["127.0.0.11:7400", "127.0.0.12:7400"])],
    "a planner named twice": [("quota.planners", ["127.0.0.11:7400"] * 3)],
    "life of a grant too short": [("quota.life_ms", 1000)],
    "lease too short": [("quota.lease_ms", 300)],
    "slack too long": [("quota.slack_ms", 800)],
    "verdicts void too soon": [("verdicts.span_ms", 10_000)],
    "hold over the most": [("verdicts.hold_ms", 20_000)],
    "no keepers": [("claims.keepers", ...)],
    "a keeper named twice": [("claims.keepers", ["127.0.0.11:7400"] * 3)],
    "command too long": [("claims.command_ms", 15_000)],
    "no fleet for the rest": [("fleet", ...)],
}
SETTINGS_FILES = {
    "as it is shipped": SHIPPED_SETTINGS,
    "not JSON5": "{fleet: ",
    "not an object at all": "[1, 2]",
    **{name: json.dumps(apply_changes(ALL_SETTINGS, *changes)) for name, changes in SETTINGS_CHANGES.items()},
}

EXAMPLE_CONFIG = json.loads(EXAMPLE_CONFIG_PATH.read_text(encoding="utf-8"))
CONFIG_CHANGES = {
    **{f"{name} is missing": [(name, ...)] for name in ("name", "listen", "pool", "roster", "settings")},
    **{f"{name} is missing": [(name, ...)] for name in ("limits", "stop_ms", "limits.memory_mb")},
    "listen has no port": [("listen", "127.0.0.1")],
    "port too high": [("pool", "127.0.0.1:70000")],
    "address in words": [("store", "localhost:8900")],
    "address not text": [("roster", 5)],
    "seed not hex": [("seed", "xyz")],
    "memory not a number": [("limits.memory_mb", "much")],
    "sockets missing": [("limits.sockets", ...)],
    "cores": [("settings.familyInfo.cores", 0)],
    "flag": [("settings.familyInfo.freshStart", "no")],
    "word": [("settings.familyInfo.say", "loud")],
    "preemption": [("settings.familyInfo.preemption", True)],
    "time": [("settings.contract.cold", -1)],
    "part": [("settings.contract.startCapacity", 1.5)],
    "each a flag": [("settings.familyInfo.classCalls", [True, 3])],
    "each a part": [("settings.familyInfo.worthWithout", [0.5, 2])],
    "each a text": [("settings.familyInfo.gauges", [1])],
    "effect": [("settings.services.0.effect", "once")],
    "target": [("settings.services.1.target", "soon")],
    "name of a class": [("settings.services.1.name", 7)],
    "watch without settings": [("watch", {"period_ms": 500})],
    "watch too often": [("watch", {"settings": {}, "period_ms": 5})],
    "watch with wrong settings": [("watch", {"settings": {"round": "x"}})],
}
INVALID_CONFIGS = {
    "empty": "",
    "not an object": "[]",
    "nested too deep": "[" * 100_000,
    **{name: json.dumps(apply_changes(EXAMPLE_CONFIG, *changes)) for name, changes in CONFIG_CHANGES.items()},
}

# The error texts of these cases come from the interpreter and differ between its versions. Only the exit
# status is compared, and that the output is one line that names the file.
PYTHON_ERROR_CASES = (
    "not an object",
    "nested too deep",
    "listen has no port",
    "address in words",
    "address not text",
    "seed not hex",
    "memory not a number",
)


UNRECORDED_FIELDS = ("feedback_lifetime_us", "marks_retries")


def example_config():
    """Return the values of the example configuration. Settings and limits are sorted values without names."""
    config = read_config(str(EXAMPLE_CONFIG_PATH))
    limits = config.limits
    return {
        "name": config.name,
        "listen": list(config.listen),
        "worker pool, store, registry": [list(address) for address in config.addresses],
        "seed": config.seed,
        "watch": config.watch,
        "limits": sorted(limits),
        "connections, and those on their way out": [limits.max_connections, limits.max_accepted],
        "settings": sorted(str(value) for value in recorded_values(config.settings)),
    }


def recorded_values(settings):
    """Return the values of all settings that are neither text nor enum members.

    The values of `makes_call` and `degraded_value` are one tuple each, with a value per method.
    """
    methods = settings.methods
    values = [len(methods), tuple(method.makes_call for method in methods)]
    values.append(tuple(method.degraded_value for method in methods))
    for part in (settings, *methods):
        for name, value in part._asdict().items():
            if name not in ("methods", "makes_call", "degraded_value", *UNRECORDED_FIELDS):
                values.append(value)
    return [value for value in values if not isinstance(value, str | Enum)]
