"""The worker pool of a simulated core, which checks each command that it receives."""

from base64 import b64decode
from dataclasses import dataclass

from finchcart.decisions.outcome import Outcome
from finchcart.protocol.messages import (
    GaugesRead,
    RunAwaitingCall,
    RunEndedNotice,
    Subscribed,
)

RUN_TIME_US = 50_000


@dataclass
class Run:
    """The state of a run in the worker pool."""

    state: str  # "running", "blocked" or "over"
    key: str
    calls: int = 0
    call_never_ran: bool = True  # whether it is proven that the store did not execute the last call
    cursor: int | None = None  # number of the notice that reported the last call


class PoolDouble:
    """The runs and notices of a worker pool.

    `harness` supplies the time, the connections and the other peers.
    """

    def __init__(self, harness):
        self.harness = harness
        self.connection = None
        self.accepts = True
        self.is_cold = False
        self.started_at = harness.now
        self.notices = []
        self.notices_numbered = 0
        self.runs = {}  # all runs by the name of their RPC
        self.active_runs = {}
        # (key, result) of each successful run. An RPC that is started twice may have two results.
        self.results = set()

    def read_command(self, connection, command):
        event = command["event"]
        name = command.get("handle")
        run = self.runs.get(name)
        if event == "bind":
            assert command["cursor"] <= self.notices_numbered
            self.harness.deliver(connection, Subscribed(self.is_cold, self.harness.now - self.started_at))
            for notice in self.notices[command["cursor"] :]:
                self.harness.deliver(connection, notice)
        elif event == "poll":
            self.harness.deliver(connection, GaugesRead(command["ticket"], (0.5, 1.0)))
        elif event == "spawn":
            self.start_run(name, command)
        elif event in ("supply", "pass") and run and run.state == "blocked":
            if event == "supply":
                assert b64decode(command["arg"]) == self.harness.store.replies[name], (
                    "the reply belongs to another call"
                )
            elif command["cursor"] != run.cursor:
                return  # the command belongs to an earlier call
            run.state = "running"

    def start_run(self, name, command):
        run = self.runs.get(name)
        attempt = self.harness.dispatchers.attempts[name]
        assert (command["entry"], b64decode(command["arg"])) == (f"m{attempt.method}", attempt.body)
        if run and run.state != "over":
            return
        assert run is None or attempt.kind == "idempotent", "a run that is not idempotent is started again"
        if attempt.answers or not attempt.response_pending:
            self.send_notice(RunEndedNotice, name, Outcome.NOT_STARTED, 0, b"")
            self.runs[name] = Run(state="over", key=attempt.key)
            return
        others = [
            each
            for each in self.harness.dispatchers.attempts.values()
            if each.key == attempt.key and each.has_run
        ]
        window = self.harness.settings[f"methods.{attempt.method}.window"]
        if attempt.kind == "keyed":
            assert all(each.arrived_at + window < attempt.arrived_at for each in others), (
                "an effect happens twice"
            )
        if self.harness.drain_notice_at is not None:
            grace_ends_at = self.harness.drain_notice_at + self.harness.settings["drain_grace"]
            assert attempt.arrived_at <= grace_ends_at, "an RPC that arrived after the grace period runs"
        attempt.has_run = True
        self.runs[name] = self.active_runs[name] = Run(state="running", key=attempt.key)

    def send_notice(self, notice_type, *fields):
        self.notices.append(notice_type(len(self.notices) + 1, *fields))
        self.notices_numbered = max(self.notices_numbered, len(self.notices))
        if self.connection and self.harness.connections.get(self.connection) == "open":
            self.harness.deliver(self.connection, self.notices[-1])

    def end_run(self, name, outcome):
        run = self.runs[name]
        run.state = "over"
        self.active_runs.pop(name, None)
        result = self.harness.rng.randbytes(6) if outcome is Outcome.OK else b""
        if result:
            self.results.add((run.key, result))
        self.send_notice(RunEndedNotice, name, outcome, RUN_TIME_US, result)

    def block_at_call(self, name):
        """Report that a run awaits a call."""
        run = self.runs[name]
        run.state = "blocked"
        run.cursor = len(self.notices) + 1
        run.call_never_ran = True
        run.calls += 1
        self.send_notice(RunAwaitingCall, name, b"call %d" % run.calls)

    def lose_connection(self):
        if self.harness.connections.get(self.connection) == "open":
            self.harness.lose_connection(self.connection)

    def restart(self):
        """Restart the worker pool, which loses all runs."""
        self.lose_connection()
        self.started_at = self.harness.now
        self.is_cold = True
        self.notices = []
        for run in self.active_runs.values():
            run.state = "over"
        self.active_runs = {}
