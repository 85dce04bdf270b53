"""Present names of the decision module and its port; a rename changes this file and no hash.

Pinned words are those of the adapter's wire, and a few more for what the wire does not carry.
"""

from finchcart.control import Control
from finchcart.settings import from_pairs
from finchcart.wire import OUTCOMES
from tests.pins.adapter import as_text

# Verb of the port -> pinned action, and the names of its values; "call" is the index of an RPC.
VERBS = {
    "run": ("TAKE", "call"),
    "stop": ("STOP", "call"),
    "push_back": ("BUSY", "call", "wait", "last"),
    "abort": ("END_FAILED", "call"),
    "call": ("CALL_DEP", "call", "limit"),
    "skip": ("SKIP", "call"),
    "share": ("SHARE", "call"),
    "remember": ("PIN", "call", "keepFor"),
    "forget": ("DROP_KEY", "call"),
    "health": ("READINESS", "want", "stored"),
    "level": ("HINT_OUT", "x"),
    "credit": ("CREDIT", "x"),
    "idle_limit": ("IDLE_LIMIT", "keepFor"),
    "wake_in": ("NOTIFY_ME", "fromNow", "name"),
    "log": ("TRACE", "what"),
    "release": ("RELEASE", "call"),
}
GAUGES = {  # pinned word -> present gauge
    "core_use": "core_use",
    "on_cores": "on_cores",
    "heap_share": "heap_share",
    "links": "links",
    "callsRoom": "calls_room",
    "ejected": "told_out",
    "leastLevel": "told_level",
    "dependencyDown": "below_down",
    "intakeUse": "intake_use",
    "intakeAge": "intake_age",
}
ARRIVAL = {  # pinned field of an arrival -> present keyword
    "expires": "expires",
    "backlogTime": "waited",
    "place": "place",
    "estimate": "hint",
    "againByClient": "again",
    "neighbour": "caller",
    "room": "room",
}


class DirectLink:
    """Calls the decision module in this process; also the port, whose every verb is recorded."""

    def __init__(self):
        self.actions = []
        self.identifiers = {}  # index -> identifier
        self.rpcs = {}  # identifier -> (index, handle)

    def __getattr__(self, verb):
        name, *value_names = VERBS[verb]

        def record(*values):
            fields = {key: as_text(value) for key, value in zip(value_names, values, strict=True)}
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
            self.control = Control(self, settings, fields["randomSeed"])
            self.control.start(now)
        elif message == "KNOCK":
            self.arrive(now, fields)
        elif message == "WAKE":
            gauges = {GAUGES[word]: value for word, value in fields["feedback"].items()}
            self.control.wake(now, fields["name"], gauges)
        elif message == "DRAIN":
            self.control.drain(now, fields["expires"])
        elif message == "RESTARTED":
            self.control.anew(now, fields["cold"])
        elif message != "KILL" and fields["call"] in self.rpcs:
            rpc = self.rpcs[fields["call"]][1]
            if message == "WOUND_UP":
                rpc.ended(now, OUTCOMES[fields["how"]], fields["spent"])
            elif message == "DOWNSTREAM":
                rpc.call_ended(now, OUTCOMES[fields["how"]], fields["spent"])
            elif message == "LEFT":
                rpc.gone(now)
            else:
                rpc.at_call(now)

    def arrive(self, now, fields):
        identifier, index = fields["call"], fields["number"]
        self.identifiers[index] = identifier
        self.rpcs[identifier] = index, None
        keywords = {ARRIVAL[word]: value for word, value in fields.items() if word in ARRIVAL}
        if "repeats" in fields:
            keywords["repeats"] = self.rpcs.get(fields["repeats"], (-1, None))[0]
        rpc = self.control.arrive(now, index, fields["profile"], fields["footprint"], **keywords)
        if identifier in self.rpcs:
            self.rpcs[identifier] = index, rpc
