"""The adapter: hosts instances of the decision module on the simulator's wire.

    python -m finchcart.wirehost

Maps the wire's ids to small indices and back, turns lines into calls and answers into lines. No decisions.
"""

import sys
import traceback

from finchcart import wire
from finchcart.control import Control
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

    def push_back(self, index, wait, last):
        self.say("BUSY", call=self.ids[index], wait=wait or None, last=last or None)

    def abort(self, index):
        self.say("END_FAILED", call=self.ids[index])

    def call(self, index, limit):
        self.say("CALL_DEP", call=self.ids[index], limit=limit)

    def skip(self, index):
        self.say("SKIP", call=self.ids[index])

    def share(self, index):
        self.say("SHARE", call=self.ids[index])

    def remember(self, index, keep):
        self.say("PIN", call=self.ids[index], keepFor=keep)

    def forget(self, index):
        self.say("DROP_KEY", call=self.ids[index])

    def health(self, good, stored):
        self.say("READINESS", want=good, stored=stored)

    def level(self, value):
        self.say("HINT_OUT", x=round(value, 4))

    credit = level  # one value rides on answers, whichever it is

    def idle_limit(self, keep):
        self.say("IDLE_LIMIT", keepFor=keep)

    def wake_in(self, delay, name):
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
            self.control.wake(now, fields["name"], fields.get("feedback", {}))
        elif message == "DRAIN":
            self.control.drain(now, fields["expires"])
        else:
            _, rpc = self.rpcs.get(fields["call"], (None, None))
            if rpc is None:
                return  # over and released
            if message == "WOUND_UP":
                rpc.ended(now, fields["how"], fields.get("spent", 0))
            elif message == "LEFT":
                rpc.gone(now)
            elif message == "WANTS_CALL":
                rpc.at_call(now)
            elif message == "DOWNSTREAM":
                rpc.call_ended(now, fields["how"], fields.get("spent", 0))

    def knock(self, now, fields):
        call, repeats = fields["call"], fields.get("repeats")
        index = self.next
        self.next += 1
        self.ids[index] = call
        self.rpcs[call] = index, None
        rpc = self.control.arrive(
            now,
            index,
            fields["profile"],
            fields["footprint"],
            expires=fields.get("expires", 0),
            waited=fields.get("backlogTime", 0),
            place=fields.get("place"),
            hint=fields.get("estimate", 0),
            again=fields.get("againByClient", False),
            caller=fields.get("neighbour"),
            repeats=None if repeats is None else self.rpcs.get(repeats, (-1, None))[0],
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
