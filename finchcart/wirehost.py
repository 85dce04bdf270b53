"""The adapter: hosts instances of the decision module on the simulator's wire.

    python -m finchcart.wirehost

Maps the wire's ids to small indices and back, turns lines into calls and answers into lines. No decisions.
"""

import sys
import traceback

from finchcart import wire
from finchcart.control import Control
from finchcart.interface import Gauges
from finchcart.wire import WireError


class Node:
    """One instance with its ids; the module's `Port`."""

    def __init__(self, who, out, setup, seed):
        self.who = who
        self.out = out
        self.ids = {}  # index -> the wire's id
        self.rpcs = {}  # the wire's id -> (index, handle)
        self.next = 0
        self.failed = False
        self.control = Control(self, setup, seed)

    def say(self, message, **fields):
        self.out.append(wire.write(message, self.who, **fields))

    # the port
    def run(self, index):
        self.say("TAKE", call=self.ids[index])

    def stop(self, index):
        self.say("STOP", call=self.ids[index])

    def reject(self, index, retry_after, do_not_retry):
        self.say("BUSY", call=self.ids[index], wait=retry_after or None, last=do_not_retry or None)

    def fail(self, index):
        self.say("END_FAILED", call=self.ids[index])

    def call(self, index, timeout):
        self.say("CALL_DEP", call=self.ids[index], limit=timeout)

    def degrade(self, index):
        self.say("SKIP", call=self.ids[index])

    def answer_duplicate(self, index):
        self.say("SHARE", call=self.ids[index])

    def store_key(self, index, ttl):
        self.say("PIN", call=self.ids[index], keepFor=ttl)

    def evict_key(self, index):
        self.say("DROP_KEY", call=self.ids[index])

    def set_health(self, healthy, cached):
        self.say("READINESS", want=healthy, stored=cached)

    def set_shed_level(self, level):
        self.say("HINT_OUT", x=round(level, 4))

    set_credit = set_shed_level  # one value rides on answers, whichever it is

    def set_idle_timeout(self, timeout):
        self.say("IDLE_LIMIT", keepFor=timeout)

    def set_timer(self, delay, name):
        self.say("NOTIFY_ME", fromNow=delay, name=name)

    def log(self, text):
        self.say("TRACE", what=text)

    def release(self, index):
        self.rpcs.pop(self.ids.pop(index, None), None)

    # the wire's messages
    def take(self, now, message, fields):
        if message == "KNOCK":
            self.knock(now, fields)
        elif message == "WAKE":
            self.control.on_timer(now, fields["name"], Gauges.from_readings(fields.get("feedback", {})))
        elif message == "DRAIN":
            self.control.drain(now, fields["expires"])
        else:
            _, rpc = self.rpcs.get(fields["call"], (None, None))
            if rpc is None:
                return  # over and released
            if message == "WOUND_UP":
                rpc.run_ended(now, fields["how"], fields.get("spent", 0))
            elif message == "LEFT":
                rpc.caller_gone(now)
            elif message == "WANTS_CALL":
                rpc.awaiting_call(now)
            elif message == "DOWNSTREAM":
                rpc.call_ended(now, fields["how"], fields.get("spent", 0))

    def knock(self, now, fields):
        call, repeats = fields["call"], fields.get("repeats")
        index = self.next
        self.next += 1
        self.ids[index] = call
        self.rpcs[call] = index, None
        rpc = self.control.admit(
            now,
            index,
            fields["profile"],
            fields["footprint"],
            expires_at=fields.get("expires", 0),
            waited=fields.get("backlogTime", 0),
            shed_rank=fields.get("place"),
            cost_hint=fields.get("estimate", 0),
            is_retry=fields.get("againByClient", False),
            caller=fields.get("neighbour"),
            duplicate_of=None if repeats is None else self.rpcs.get(repeats, (-1, None))[0],
        )
        if call in self.rpcs:
            self.rpcs[call] = index, rpc


def serve(source, sink):
    """Answer batches until the input ends."""
    nodes, out, now, line_no = {}, [], None, 0
    for line in source:
        line_no += 1
        line = line.rstrip("\r\n")
        if not line:
            continue
        try:
            message, fields = wire.parse(line)
            if (message == "TICK") != (now is None):
                raise WireError(f"{message}: expected {'TICK' if now is None else 'an event or END'} here")
            if message == "TICK":
                now = fields["wall"]
            elif message == "END":
                out.append("FINISHED")
                sink.write("\n".join(out) + "\n")
                sink.flush()
                out.clear()
                now = None
            else:
                event(nodes, out, now, message, fields)
        except WireError as error:
            raise WireError(f"line {line_no}: {error}") from None
    if now is not None:
        raise WireError(f"line {line_no}: the input ends inside a batch, expected END")


def event(nodes, out, now, message, fields):
    who = fields["who"]
    if message != "CREATE" and who not in nodes:
        raise WireError(f"{message}: field who={who}: expected an instance that was started")
    if message == "KILL":
        del nodes[who]
        return
    try:
        if message == "CREATE":
            nodes[who] = Node(who, out, fields["setup"], fields["randomSeed"])
            nodes[who].control.start(now)
        elif not nodes[who].failed:
            nodes[who].take(now, message, fields)
    except Exception as error:
        traceback.print_exc()
        if who in nodes:
            nodes[who].failed = True
        text = f"{type(error).__name__}: {error}"[:120].replace("\n", " ")
        out.append(wire.write("BROKEN", who, what=text))


def main():
    sys.stdin.reconfigure(encoding="utf-8")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"finchcart.wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
