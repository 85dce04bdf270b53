"""The store of a simulated core, which checks each call that it receives."""

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    StoreReply,
)


class StoreDouble:
    """The calls in flight. `harness` supplies the connections and the other peers."""

    def __init__(self, harness):
        self.harness = harness
        self.accepts = True
        self.calls = {}  # connection -> {name of the attempt: body of the reply}
        self.replies = {}  # name of the attempt -> body of the last reply

    def read_call(self, connection, data):
        name = data.split()[1].decode()
        run = self.harness.pool.runs[name]
        assert run.state != "running", "a call for a run that awaits none"
        assert run.call_never_ran or self.harness.dispatchers.attempts[name].kind == "idempotent", (
            "a call is repeated without proof that the store did not execute it"
        )
        assert not self.calls[connection], "two calls are in flight on one connection"
        run.call_never_ran = False
        self.calls[connection][name] = self.harness.rng.randbytes(5)
        self.replies[name] = None

    def reply(self, connection, name, outcome):
        body = self.calls[connection].pop(name)
        self.harness.pool.runs[name].call_never_ran = outcome.never_ran
        self.replies[name] = body
        reply = StoreReply(name, outcome, body if outcome is Outcome.OK else b"")
        anomaly = self.harness.rng.random()
        if anomaly < 0.1:
            self.harness.deliver(connection, StoreReply("0" * 16, Outcome.OK, b"another's"))
        self.harness.deliver(connection, reply)
        if anomaly > 0.9:
            self.harness.deliver(connection, StoreReply(name, Outcome.OK, b"a copy"))

    def lose_connection(self, connection):
        self.calls[connection] = {}
        self.harness.lose_connection(connection)
