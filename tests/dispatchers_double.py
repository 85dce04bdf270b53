"""Simulated dispatchers of a core under test: they submit attempts and check the answer to each."""

from dataclasses import dataclass

from finchcart.node.rpc import FinalOutcome
from finchcart.protocol.connection_events import (
    ConnectionOpened,
)
from finchcart.protocol.messages import (
    RevokeNotice,
    SubmitCall,
)
from finchcart.thrift import codec as thrift
from finchcart.thrift.binary_protocol import I32, STRING, STRUCT, Reader

MS = 1000
MAX_DELAY_US = 60 * MS  # an answer may come this long after the attempt is due


@dataclass
class Attempt:
    """An attempt of an RPC, as its dispatcher knows it."""

    method: int
    key: str
    kind: str
    arrived_at: int
    connection: int
    sequence: int
    body: bytes
    due: int
    answers: int = 0
    has_run: bool = False
    response_pending: bool = True  # the dispatcher waits for the response
    outcome: str | None = None  # the value of a FinalOutcome


class DispatchersDouble:
    """The dispatchers of a test and their attempts.

    `harness` provides the time, the connections and the other simulated peers.
    """

    def __init__(self, harness):
        self.harness = harness
        self.connection_count = 0
        self.attempts = {}  # by name
        self.attempts_by_sequence = {}  # by connection and sequence number
        self.unanswered = {}  # by name
        self.last_sequences = {}  # by connection

    def open(self, host="127.0.0.1"):
        """Open a connection of a dispatcher, and return its number."""
        self.connection_count += 1
        self.harness.connections[self.connection_count] = "open"
        self.harness.feed(ConnectionOpened(self.connection_count, "front", host))
        return self.connection_count

    def submit(self, connection, method=0, retry_of=None, waited=0, **fields):
        """Submit an attempt and return its name; `retry_of` is the name of an earlier attempt of the RPC."""
        name = f"{self.harness.rng.getrandbits(64):016x}"
        sequence = self.last_sequences.get(connection, 0) + 1
        self.last_sequences[connection] = sequence
        first = self.attempts.get(retry_of)
        key = first.key if first else name * 2
        method = first.method if first else method
        kind = self.harness.settings[f"methods.{method}.kind"]
        arrived_at = (self.harness.now - waited) // 1000 * 1000
        rpc_fields = {
            "c": f"m{method}",
            "i": name,
            "s": str(arrived_at // 1000),
            "f": "3",
            "h": "100.00",
            "m": "20.0",
            "p": "0.5",
        }
        rpc_fields.update({"r": "1"} if first else {})
        rpc_fields.update({"k": key} if kind == "keyed" else {}, **fields)
        attempt = Attempt(
            method=method,
            key=key,
            kind=kind,
            arrived_at=arrived_at,
            connection=connection,
            sequence=sequence,
            body=first.body if first else self.harness.rng.randbytes(8),
            due=max(self.harness.now, arrived_at + self.harness.settings[f"methods.{method}.deadline"]),
        )
        self.attempts[name] = attempt
        self.unanswered[name] = attempt
        self.attempts_by_sequence[connection, sequence] = attempt
        self.harness.deliver(connection, SubmitCall(sequence, rpc_fields, attempt.body))
        return name

    def revoke(self, name):
        """Revoke an attempt, as its caller has gone."""
        attempt = self.attempts[name]
        attempt.response_pending = False
        self.harness.deliver(attempt.connection, RevokeNotice(attempt.sequence))

    def end_connection(self, connection, reason=""):
        """End a connection: the dispatcher closes it, or sends invalid bytes if there is a `reason`.

        No message that is still in the connection's inbox is read.
        """
        unread = {m.sequence for m in self.harness.inboxes.get(connection, ()) if isinstance(m, SubmitCall)}
        for attempt in self.unanswered.values():
            if attempt.connection == connection and (not reason or attempt.sequence in unread):
                attempt.response_pending = False
        self.harness.lose_connection(connection, reason)

    def on_reply(self, connection, data):
        """Record the final answer that a reply carries."""
        _, name, sequence, arguments = read_answer(data)
        if name == b"submit":
            if (0, STRUCT) in arguments:
                self.record_answer(connection, sequence, FinalOutcome.OK, arguments[0, STRUCT][1, STRING])
            elif (thrift.REJECTED_FIELD, STRUCT) in arguments:
                self.record_answer(connection, sequence, FinalOutcome.REJECTED, b"")
            else:
                self.record_answer(connection, sequence, FinalOutcome.FAILED, b"")

    def record_answer(self, connection, sequence, outcome, body):
        """Record a final answer that the core has sent, and check it."""
        attempt = self.attempts_by_sequence.get((connection, sequence))
        if attempt is None:
            return
        attempt.answers += 1
        assert attempt.answers == 1, "two answers"
        assert self.harness.now <= attempt.due + MAX_DELAY_US or not attempt.response_pending, "late"
        if outcome is FinalOutcome.OK:
            assert (attempt.key, body) in self.harness.pool.results, "answered with a result of no run"
        elif outcome is FinalOutcome.REJECTED:
            assert not attempt.has_run, "rejected after it ran"
        attempt.outcome = outcome.value

    def responses_pending(self):
        return [each for each in self.unanswered.values() if each.response_pending and not each.answers]

    def is_unread(self, attempt):
        inbox = self.harness.inboxes.get(attempt.connection, ())
        return any(isinstance(each, SubmitCall) and each.sequence == attempt.sequence for each in inbox)

    def check(self):
        """Check that no attempt has been waiting too long for its answer."""
        self.unanswered = {
            name: attempt
            for name, attempt in self.unanswered.items()
            if attempt.response_pending and not attempt.answers
        }
        for name, attempt in self.unanswered.items():
            assert self.harness.now <= attempt.due + 2 * MAX_DELAY_US, f"lost: {name} {attempt}"


def read_answer(data):
    """Return the message type, name, sequence number and arguments of an answer to a dispatcher."""
    reader = Reader(data[4:])
    kind = reader.read_integer(I32) & 0xFF
    return kind, reader.read_value(STRING), reader.read_integer(I32), reader.read_value(STRUCT)
