"""The scenarios of the simulated runs whose decisions are recorded, and the settings of each."""

from dataclasses import dataclass, field

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class Scenario:
    """The parameters of a simulated run."""

    settings: dict = field(default_factory=dict)  # override the settings that all scenarios share
    effects: tuple = ("read_like", "idempotency_key")  # the kind of each method
    load: float = 1.0  # mean load, as a multiple of the capacity of the cores
    mean_work: float = 100 * MS  # mean processor time of an RPC, in microseconds
    callers: int = 6
    call_fraction: float = 0.4  # fraction of the RPCs that make a call to the dependency
    drains: bool = False
    is_killed: bool = False
    has_late_timers: bool = False  # some timers fire late
    sends_estimates: bool = False
    # Inputs from a fleet, which the line protocol lacks: the run calls the decision module directly.
    fleet_inputs: tuple = ()


READS, KEYED, ONCE = "read_like", "idempotency_key", "non_idempotent"
THREE_METHODS = (READS, KEYED, ONCE)
PAUSE, DROP = {"familyInfo.preemption": "pause"}, {"familyInfo.preemption": "drop"}
SCENARIOS = {
    "one class": Scenario(effects=(READS,)),
    "many classes": Scenario(effects=(READS, KEYED, ONCE, READS, KEYED), load=1.4),
    "many RPCs": Scenario(load=1.2, mean_work=4 * MS, callers=3000, call_fraction=0.2),
    "overload": Scenario(effects=THREE_METHODS, load=3.0, call_fraction=0.1),
    "pause": Scenario(PAUSE, effects=THREE_METHODS, load=1.6, call_fraction=0.2),
    "pause and drain": Scenario(PAUSE, effects=(READS, READS, KEYED), load=2.0, drains=True),
    "drop": Scenario(DROP, effects=THREE_METHODS, load=1.6),
    "drop, late is lost": Scenario(DROP | {"services.0.lateWorth": 0.5}, effects=(READS, READS), load=2.0),
    "credit": Scenario({"familyInfo.say": "credit"}, load=1.3),
    "weight": Scenario({"familyInfo.say": "weight"}, load=1.3),
    "nothing told": Scenario({"familyInfo.say": "silent"}, effects=THREE_METHODS, load=1.3),
    "tier": Scenario({"familyInfo.below": "tier", "familyInfo.callsOut": 0.0}, call_fraction=0.8),
    "no dependency": Scenario({"familyInfo.below": "silent"}, call_fraction=0.0),
    "narrow dependency": Scenario({"familyInfo.callsOut": 0.6}, effects=THREE_METHODS, call_fraction=0.9),
    "degraded answers": Scenario(
        {"familyInfo.worthWithout": "0.6,0.0,0.3"}, effects=THREE_METHODS, call_fraction=0.9
    ),
    "cold start": Scenario({"familyInfo.freshStart": True}, effects=THREE_METHODS, load=0.9),
    "keyed": Scenario({"familyInfo.kbPerKey": 900.0}, effects=(KEYED,), load=1.2),
    "runs once": Scenario(effects=(ONCE,), load=1.2, call_fraction=0.7),
    "drain": Scenario(effects=THREE_METHODS, drains=True, load=1.3),
    "small memory": Scenario({"familyInfo.memoryKb": 2500.0}, effects=THREE_METHODS, load=1.5),
    "small memory, keyed": Scenario(
        {"familyInfo.memoryKb": 1100.0, "familyInfo.kbPerKey": 40.0}, effects=(KEYED,), load=2.5
    ),
    "pause under overload": Scenario(PAUSE, effects=(READS, KEYED, ONCE, READS), load=3.0, call_fraction=0.1),
    "no marks": Scenario({"callers.marksRetry": False}, load=2.0),
    "killed": Scenario({"familyInfo.freshStart": True}, effects=THREE_METHODS, is_killed=True),
    "stalls": Scenario(effects=THREE_METHODS, has_late_timers=True),
    "estimates": Scenario(
        {"familyInfo.passesDeadline": True}, effects=THREE_METHODS, sends_estimates=True, load=1.5
    ),
    "level of the fleet": Scenario(effects=THREE_METHODS, fleet_inputs=("leastLevel",)),
    "ejected": Scenario(effects=THREE_METHODS, fleet_inputs=("ejected",)),
    "calls shared out": Scenario(effects=THREE_METHODS, call_fraction=0.9, fleet_inputs=("callsRoom",)),
    "calls shared out, degraded": Scenario(
        {"familyInfo.worthWithout": "0.6,0.0,0.3"},
        THREE_METHODS,
        call_fraction=0.9,
        fleet_inputs=("callsRoom", "dependencyDown"),
    ),
    "dependency down": Scenario(
        effects=THREE_METHODS, call_fraction=0.9, fleet_inputs=("callsRoom", "dependencyDown")
    ),
    "RPCs shared out": Scenario(effects=(READS, KEYED, ONCE, READS), fleet_inputs=("room",)),
    "busy node": Scenario(effects=THREE_METHODS, fleet_inputs=("intakeUse", "intakeAge")),
    "worker pool restarted": Scenario(effects=THREE_METHODS, load=1.5, fleet_inputs=("restarted",)),
}
SEEDS = 5  # runs of each scenario


def make_settings(scenario, random):
    """Return the settings of a run, as values of the simulator's line protocol."""
    count = len(scenario.effects)
    calls = ["true" if scenario.call_fraction and random.random() < 0.8 else "false" for _ in range(count)]
    out = {
        "round": random.choice((1, 2, 5)) * MS,
        "callers.marksRetry": True,
        "contract.answerSlack": 80 * MS,
        "contract.cold": 3 * SECOND,
        "contract.fall": 3 * SECOND,
        "contract.overloadFactor": random.choice((3.0, 8.0)),
        "contract.startCapacity": 0.2,
        "contract.stopSendingWithin": 800 * MS,
        "familyInfo.below": "shared",
        "familyInfo.callerIdle": 30 * SECOND,
        "familyInfo.callsOut": random.choice((2.0, 6.5)),
        "familyInfo.callsOver": 5 * SECOND,
        "familyInfo.classCalls": ",".join(calls),
        "familyInfo.cores": random.choice((1, 2, 3)),
        "familyInfo.freshStart": False,
        "familyInfo.heeded": SECOND,
        "familyInfo.kbPerKey": 130.15,
        "familyInfo.linger": 200 * MS,
        "familyInfo.memoryKb": 45882.0,
        "familyInfo.passesDeadline": False,
        "familyInfo.preemption": "silent",
        "familyInfo.runFactor": 8.0,
        "familyInfo.say": "level",
        "familyInfo.worthWithout": ",".join(["0.0"] * count),
        "limits.maxRetryAfter": SECOND,
        "services.count": count,
    }
    for number, effect in enumerate(scenario.effects):
        target = random.choice((400, 700, 1000)) * MS
        values = {
            "name": f"class-{number}",
            "effect": effect,
            "target": target,
            "deadline": target * random.choice((1, 2, 3)),
            "lateWorth": 0.0,
            "window": 2 * SECOND,
            "worth": float(random.choice((1, 2, 3, 5))),
        }
        out |= {f"services.{number}.{name}": value for name, value in values.items()}
    out |= scenario.settings
    return {name: str(value).lower() if isinstance(value, bool) else value for name, value in out.items()}
