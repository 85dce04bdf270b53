"""The simulator adapter: hosts instances of the decision module on the simulator's line protocol.

    python -m finchcart.wirehost

Maps the protocol's identifiers to small indices and back, turns events into calls on the decision module, and
its calls on the port into lines. Decides nothing.
"""

import sys
import traceback
from collections.abc import Iterable
from typing import TextIO

from finchcart import wire
from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.rpc import RpcHandle
from finchcart.wire import WireError

UNKNOWN_INDEX = -1  # of the first RPC of a key, where that one is released
MAX_FAULT_TEXT = 120  # characters of a fault that are reported
EXIT_BAD_INPUT = 2
TIMER_NAME = "sweep"  # of the one timer, in the protocol

Fields = dict[str, object]


class Node:
    """One instance with its identifiers; the `Port` of its decision module (see decisions/port.py)."""

    def __init__(self, who: int, output: list[str], settings: Fields, seed: int) -> None:
        self.who = who  # the instance, in the protocol
        self.output = output  # lines of the present batch
        self.identifiers: dict[int, str] = {}  # index -> the protocol's identifier
        self.rpcs: dict[str, tuple[int, RpcHandle | None]] = {}  # identifier -> (index, handle)
        self.next_index = 0
        self.failed = False  # the decision module raised an exception: it is not called any more
        self.control = NodeController(self, settings, seed)

    def send(self, message: str, **fields: object) -> None:
        """Write one line of the answer to this batch."""
        self.output.append(wire.write(message, self.who, **fields))

    # ---- The port

    def run(self, index: int) -> None:
        """Start or resume an RPC."""
        self.send("TAKE", call=self.identifiers[index])

    def stop(self, index: int) -> None:
        """Stop or pause a run."""
        self.send("STOP", call=self.identifiers[index])

    def reject(self, index: int, retry_after: int, do_not_retry: bool) -> None:
        """Answer that it never ran."""
        identifier = self.identifiers[index]
        self.send("BUSY", call=identifier, wait=retry_after or None, last=do_not_retry or None)

    def fail(self, index: int) -> None:
        """Answer that it failed."""
        self.send("END_FAILED", call=self.identifiers[index])

    def call(self, index: int, timeout: int) -> None:
        """Make the call to the dependency."""
        self.send("CALL_DEP", call=self.identifiers[index], limit=timeout)

    def degrade(self, index: int) -> None:
        """Leave out the call to the dependency."""
        self.send("SKIP", call=self.identifiers[index])

    def answer_duplicate(self, index: int) -> None:
        """Share the result of the first RPC of the key."""
        self.send("SHARE", call=self.identifiers[index])

    def store_key(self, index: int, ttl: int) -> None:
        """Keep the idempotency key for `ttl` microseconds."""
        self.send("PIN", call=self.identifiers[index], keepFor=ttl)

    def evict_key(self, index: int) -> None:
        """Remove the idempotency key."""
        self.send("DROP_KEY", call=self.identifiers[index])

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set how health checks are answered."""
        self.send("READINESS", want=healthy, stored=cached)

    def set_shed_level(self, level: float) -> None:
        """Publish the shed level with all answers."""
        self.send("HINT_OUT", x=round(level, 4))

    set_credit = set_shed_level  # one value is published with answers, whichever it is

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""
        self.send("IDLE_LIMIT", keepFor=timeout)

    def set_timer(self, delay: int) -> None:
        """Ask for a timer event after `delay` microseconds."""
        self.send("NOTIFY_ME", fromNow=delay, name=TIMER_NAME)

    def log(self, text: str) -> None:
        """Write a line for the operators."""
        self.send("TRACE", what=text)

    def release(self, index: int) -> None:
        """Forget an RPC."""
        self.rpcs.pop(self.identifiers.pop(index, None), None)

    # ---- Events

    def handle(self, now: int, message: str, fields: Fields) -> None:
        """Hand one event to the decision module."""
        if message == "KNOCK":
            self._admit(now, fields)
        elif message == "WAKE":
            gauges = Gauges.from_readings(fields.get("feedback", {}))
            self.control.on_timer(now, gauges)
        elif message == "DRAIN":
            self.control.drain(now, fields["expires"])
        else:
            _, rpc = self.rpcs.get(fields["call"], (None, None))
            if rpc is not None:  # else it is completed and released
                _report(rpc, now, message, fields)

    def _admit(self, now: int, fields: Fields) -> None:
        identifier = fields["call"]
        first = fields.get("repeats")
        index = self.next_index
        self.next_index += 1
        self.identifiers[index] = identifier
        self.rpcs[identifier] = index, None
        arrival = RpcArrival(
            fields["profile"],
            fields["footprint"],
            expires_at=fields.get("expires", 0),
            waited=fields.get("backlogTime", 0),
            shed_rank=fields.get("place"),
            service_time_hint=fields.get("estimate", 0),
            is_retry=fields.get("againByClient", False),
            caller=fields.get("neighbour"),
            duplicate_of=None if first is None else self.rpcs.get(first, (UNKNOWN_INDEX, None))[0],
        )
        rpc = self.control.admit(now, index, arrival)
        if identifier in self.rpcs:
            self.rpcs[identifier] = index, rpc


def _report(rpc: RpcHandle, now: int, message: str, fields: Fields) -> None:
    """Report an event of one RPC on its handle."""
    if message == "WOUND_UP":
        rpc.run_ended(now, fields["how"], fields.get("spent", 0))
    elif message == "LEFT":
        rpc.caller_gone(now)
    elif message == "WANTS_CALL":
        rpc.awaiting_call(now)
    elif message == "DOWNSTREAM":
        rpc.call_ended(now, fields["how"], fields.get("spent", 0))


class Host:
    """All instances, and the batch that is being read: its time and the lines of its answer."""

    def __init__(self, sink: TextIO) -> None:
        self.sink = sink
        self.nodes: dict[int, Node] = {}
        self.output: list[str] = []
        self.now: int | None = None  # None: between two batches

    def handle(self, message: str, fields: Fields) -> None:
        """Act on one line; raises WireError where it can't come here."""
        if (message == "TICK") != (self.now is None):
            expected = "TICK" if self.now is None else "an event or END"
            raise WireError(f"{message}: expected {expected} here")
        if message == "TICK":
            self.now = fields["wall"]
        elif message == "END":
            self._answer_batch()
        else:
            self._handle_event(message, fields)

    def _answer_batch(self) -> None:
        self.output.append("FINISHED")
        self.sink.write("\n".join(self.output) + "\n")
        self.sink.flush()
        self.output.clear()
        self.now = None

    def _handle_event(self, message: str, fields: Fields) -> None:
        who = fields["who"]
        if message != "CREATE" and who not in self.nodes:
            raise WireError(f"{message}: field who={who}: expected an instance that was started")
        if message == "KILL":
            del self.nodes[who]
            return
        try:
            if message == "CREATE":
                self.nodes[who] = Node(who, self.output, fields["setup"], fields["randomSeed"])
                self.nodes[who].control.start(self.now)
            elif not self.nodes[who].failed:
                self.nodes[who].handle(self.now, message, fields)
        except Exception as error:
            self._instance_failed(who, error)

    def _instance_failed(self, who: int, error: Exception) -> None:
        """A fault of one instance ends that instance alone."""
        traceback.print_exc()
        if who in self.nodes:
            self.nodes[who].failed = True
        text = f"{type(error).__name__}: {error}"[:MAX_FAULT_TEXT].replace("\n", " ")
        self.output.append(wire.write("BROKEN", who, what=text))


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError, with the line's number, for bad input."""
    host = Host(sink)
    line_number = 0
    for line_number, line in enumerate(source, start=1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        try:
            message, fields = wire.parse(text)
            host.handle(message, fields)
        except WireError as error:
            raise WireError(f"line {line_number}: {error}") from None
    if host.now is not None:
        raise WireError(f"line {line_number}: the input ends inside a batch, expected END")


def main() -> int:
    """Serve standard input and output; the exit code."""
    sys.stdin.reconfigure(encoding="utf-8")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"finchcart.wirehost: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
