"""Drives the decision module directly, and maps its current names to the recorded names.

A rename in the decision module or its port changes this file and no recorded hash. The recorded names are
those of the simulator's line protocol, and some more for values that the protocol does not carry.
"""

from finchcart.decisions.arrival import FleetQuota, RpcArrival
from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.settings import from_pairs
from finchcart.simulator.codec import OUTCOMES
from tests.pins.adapter import as_text

# Method of the port -> recorded action and the names of its values; "call" is the index of an RPC.
PORT_METHODS = {
    "run": ("TAKE", "call"),
    "stop": ("STOP", "call"),
    "reject": ("BUSY", "call", "wait", "last"),
    "fail": ("END_FAILED", "call"),
    "call": ("CALL_DEP", "call", "limit"),
    "degrade": ("SKIP", "call"),
    "answer_duplicate": ("SHARE", "call"),
    "store_key": ("PIN", "call", "keepFor"),
    "evict_key": ("DROP_KEY", "call"),
    "set_health": ("READINESS", "want", "stored"),
    "set_shed_level": ("HINT_OUT", "x"),
    "set_credit": ("CREDIT", "x"),
    "set_idle_timeout": ("IDLE_LIMIT", "keepFor"),
    "set_timer": ("NOTIFY_ME", "fromNow"),
    "log": ("TRACE", "what"),
    "release": ("RELEASE", "call"),
}
GAUGE_NAMES = {  # recorded name -> current name; gauges that the decision module ignores are left out
    "core_use": "core_use",
    "on_cores": "on_cores",
    "callsRoom": "call_capacity",
    "ejected": "ejected",
    "leastLevel": "min_shed_level",
    "dependencyDown": "dependency_down",
    "intakeUse": "input_busy",
    "intakeAge": "input_age",
}
TIMER_NAME = "sweep"  # recorded name of the only timer
ARRIVAL_KEYWORDS = {  # recorded field of an arrival -> current keyword argument
    "expires": "expires_at",
    "backlogTime": "waited",
    "place": "shed_rank",
    "estimate": "service_time_hint",
    "againByClient": "is_retry",
    "neighbour": "caller",
}


class DirectLink:
    """Calls the decision module in this process; also implements its port, and records each call on it."""

    def __init__(self):
        self.actions = []
        self.identifiers = {}  # index -> identifier
        self.rpcs = {}  # identifier -> (index, handle)

    def __getattr__(self, method):
        name, *value_names = PORT_METHODS[method]

        def record(*values):
            if method == "reject":
                index, _reason, *advice = values  # the line protocol carries no reason
                values = index, *advice
            fields = {key: as_text(value) for key, value in zip(value_names, values, strict=True)}
            if name == "NOTIFY_ME":
                fields["name"] = TIMER_NAME
            if "call" in fields:
                fields["call"] = self.identifiers[values[0]]
            if name == "RELEASE":
                self.rpcs.pop(self.identifiers.pop(values[0]))
            self.actions.append((name, fields))

        return record

    def exchange(self, now, events):
        self.actions = []
        for message, fields in events:
            self.handle(now, message, fields)
        return self.actions

    def handle(self, now, message, fields):
        if message == "CREATE":
            self.identifiers, self.rpcs = {}, {}
            settings = from_pairs({name: as_text(value) for name, value in fields.items()})
            self.controller = NodeController(self, settings, fields["randomSeed"])
            self.controller.start(now)
        elif message == "KNOCK":
            self.handle_arrival(now, fields)
        elif message == "WAKE":
            readings = fields["feedback"].items()
            gauges = Gauges(
                **{
                    GAUGE_NAMES[recorded_name]: value
                    for recorded_name, value in readings
                    if recorded_name in GAUGE_NAMES
                }
            )
            self.controller.on_timer(now, gauges)
        elif message == "DRAIN":
            self.controller.drain(now, fields["expires"])
        elif message == "RESTARTED":
            self.controller.worker_pool_restarted(now, fields["cold"])
        elif message != "KILL" and fields["call"] in self.rpcs:
            rpc = self.rpcs[fields["call"]][1]
            if message == "WOUND_UP":
                rpc.run_ended(now, OUTCOMES[fields["how"]], fields["spent"])
            elif message == "DOWNSTREAM":
                rpc.call_ended(now, OUTCOMES[fields["how"]], fields["spent"])
            elif message == "LEFT":
                rpc.caller_gone(now)
            else:
                rpc.awaiting_call(now)

    def handle_arrival(self, now, fields):
        identifier, index = fields["call"], fields["number"]
        self.identifiers[index] = identifier
        self.rpcs[identifier] = index, None
        keywords = {
            ARRIVAL_KEYWORDS[recorded_name]: value
            for recorded_name, value in fields.items()
            if recorded_name in ARRIVAL_KEYWORDS
        }
        if "repeats" in fields:
            keywords["duplicate_of"] = self.rpcs.get(fields["repeats"], (-1, None))[0]
        if "room" in fields:
            keywords["quota"] = FleetQuota(*fields["room"])
        arrival = RpcArrival(fields["profile"], fields["footprint"], **keywords)
        rpc = self.controller.admit(now, index, arrival)
        if identifier in self.rpcs:
            self.rpcs[identifier] = index, rpc
