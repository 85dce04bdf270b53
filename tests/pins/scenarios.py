"""The simulated days that pin decisions, and the settings of each."""

from dataclasses import dataclass, field

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True)
class Scenario:
    """What a simulated day is made of; `settings` stand over those of every day."""

    settings: dict = field(default_factory=dict)
    effects: tuple = ("read_like", "idempotency_key")  # one class each
    load: float = 1.0  # times what the cores can do, on average
    work: float = 100 * MS  # of an RPC on a core, on average
    callers: int = 6
    calling: float = 0.4  # part of the RPCs that make a call
    drain: bool = False
    kill: bool = False
    stalls: bool = False  # timers ring late at times
    estimates: bool = False
    fleet: tuple = ()  # what the fleet tells by gauges and arrivals; these days are driven directly


READS, KEYED, ONCE = "read_like", "idempotency_key", "non_idempotent"
THREE = (READS, KEYED, ONCE)
PAUSE, DROP = {"familyInfo.preemption": "pause"}, {"familyInfo.preemption": "drop"}
SCENARIOS = {
    "one class": Scenario(effects=(READS,)),
    "many classes": Scenario(effects=(READS, KEYED, ONCE, READS, KEYED), load=1.4),
    "many RPCs": Scenario(load=1.2, work=4 * MS, callers=3000, calling=0.2),
    "overload": Scenario(effects=THREE, load=3.0, calling=0.1),
    "pause": Scenario(PAUSE, effects=THREE, load=1.6, calling=0.2),
    "pause and drain": Scenario(PAUSE, effects=(READS, READS, KEYED), load=2.0, drain=True),
    "drop": Scenario(DROP, effects=THREE, load=1.6),
    "drop, late is lost": Scenario(DROP | {"services.0.lateWorth": 0.5}, effects=(READS, READS), load=2.0),
    "credit": Scenario({"familyInfo.say": "credit"}, load=1.3),
    "weight": Scenario({"familyInfo.say": "weight"}, load=1.3),
    "nothing told": Scenario({"familyInfo.say": "silent"}, effects=THREE, load=1.3),
    "tier": Scenario({"familyInfo.below": "tier", "familyInfo.callsOut": 0.0}, calling=0.8),
    "no dependency": Scenario({"familyInfo.below": "silent"}, calling=0.0),
    "narrow dependency": Scenario({"familyInfo.callsOut": 0.6}, effects=THREE, calling=0.9),
    "degraded answers": Scenario({"familyInfo.worthWithout": "0.6,0.0,0.3"}, effects=THREE, calling=0.9),
    "cold start": Scenario({"familyInfo.freshStart": True}, effects=THREE, load=0.9),
    "keyed": Scenario({"familyInfo.kbPerKey": 900.0}, effects=(KEYED,), load=1.2),
    "runs once": Scenario(effects=(ONCE,), load=1.2, calling=0.7),
    "drain": Scenario(effects=THREE, drain=True, load=1.3),
    "small memory": Scenario({"familyInfo.memoryKb": 2500.0}, effects=THREE, load=1.5),
    "small memory, keyed": Scenario(
        {"familyInfo.memoryKb": 1100.0, "familyInfo.kbPerKey": 40.0}, effects=(KEYED,), load=2.5
    ),
    "pause under overload": Scenario(PAUSE, effects=(READS, KEYED, ONCE, READS), load=3.0, calling=0.1),
    "no marks": Scenario({"callers.marksRetry": False}, load=2.0),
    "killed": Scenario({"familyInfo.freshStart": True}, effects=THREE, kill=True),
    "stalls": Scenario(effects=THREE, stalls=True),
    "estimates": Scenario({"familyInfo.passesDeadline": True}, effects=THREE, estimates=True, load=1.5),
    "level of the fleet": Scenario(effects=THREE, fleet=("leastLevel",)),
    "ejected": Scenario(effects=THREE, fleet=("ejected",)),
    "calls shared out": Scenario(effects=THREE, calling=0.9, fleet=("callsRoom",)),
    "calls shared out, degraded": Scenario(
        {"familyInfo.worthWithout": "0.6,0.0,0.3"}, THREE, calling=0.9, fleet=("callsRoom", "dependencyDown")
    ),
    "dependency down": Scenario(effects=THREE, calling=0.9, fleet=("callsRoom", "dependencyDown")),
    "RPCs shared out": Scenario(effects=(READS, KEYED, ONCE, READS), fleet=("room",)),
    "busy node": Scenario(effects=THREE, fleet=("intakeUse", "intakeAge")),
    "worker pool restarted": Scenario(effects=THREE, load=1.5, fleet=("restarted",)),
}
SEEDS = 5  # of each scenario


def settings_of(scenario, random):
    """Settings of a day, as the adapter is told them."""
    count = len(scenario.effects)
    calls = ["true" if scenario.calling and random.random() < 0.8 else "false" for _ in range(count)]
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
