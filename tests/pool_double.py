"""The worker pool of one simulated core: it runs what it is commanded, and checks that it may."""

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
    """A run in the worker pool."""

    state: str  # "running", "blocked" or "over"
    key: str
    calls: int = 0
    call_never_ran: bool = True  # it is proved of its last call
    cursor: int | None = None  # of the notice that it is blocked


class PoolDouble:
    """The runs and notices of a worker pool. `harness`: has the time, connections and other peers."""

    def __init__(self, harness):
        self.harness = harness
        self.connection = None
        self.accepts = True
        self.is_cold = False
        self.started_at = harness.now
        self.notices = []
        self.notices_numbered = 0
        self.runs = {}  # by name
        self.active_runs = {}
        self.results = set()  # (key, result) of all runs that ended well, also of those started once more

    def read_command(self, connection, said):
        event = said["event"]
        name = said.get("handle")
        run = self.runs.get(name)
        if event == "bind":
            assert said["cursor"] <= self.notices_numbered
            self.harness.deliver(connection, Subscribed(self.is_cold, self.harness.now - self.started_at))
            for notice in self.notices[said["cursor"] :]:
                self.harness.deliver(connection, notice)
        elif event == "poll":
            self.harness.deliver(connection, GaugesRead(said["ticket"], (0.5, 1.0)))
        elif event == "spawn":
            self.start_run(name, said)
        elif event in ("supply", "pass") and run and run.state == "blocked":
            if event == "supply":
                assert b64decode(said["arg"]) == self.harness.store.replies[name], (
                    "not the reply to this call"
                )
            elif said["cursor"] != run.cursor:
                return  # of an earlier call
            run.state = "running"

    def start_run(self, name, said):
        run = self.runs.get(name)
        attempt = self.harness.dispatchers.attempts[name]
        assert (said["entry"], b64decode(said["arg"])) == (f"m{attempt.method}", attempt.body)
        if run and run.state != "over":
            return
        assert run is None or attempt.kind == "idempotent", "run again"
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
            assert all(each.arrived_at + window < attempt.arrived_at for each in others), "effect twice"
        if self.harness.drain_notice_at is not None:
            grace_ends_at = self.harness.drain_notice_at + self.harness.settings["drain_grace"]
            assert attempt.arrived_at <= grace_ends_at, "ran what came past the grace"
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
        """The run awaits a call."""
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
        """The worker pool dies, and its runs with it."""
        self.lose_connection()
        self.started_at = self.harness.now
        self.is_cold = True
        self.notices = []
        for run in self.active_runs.values():
            run.state = "over"
        self.active_runs = {}
