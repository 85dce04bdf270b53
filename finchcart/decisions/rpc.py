"""One RPC: its states, what is known of it, and the handle on which the host reports its events.

Owns the record. It must never decide: events go on to the `RpcEvents` that admitted the RPC. Points in time
and durations are microseconds, memory is in units of 1024 bytes.
"""

from enum import Enum
from typing import Protocol

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.method import Method
from finchcart.decisions.outcome import Outcome


class RpcState(Enum):
    """Where an RPC is on its way. The usual way: QUEUED, RUNNING, COMPLETED."""

    QUEUED = "queued"  # admitted, waits for a core; it never ran
    RUNNING = "running"  # on a core
    AWAITING_CALL = "awaiting call"  # its run needs a call to the dependency that was not made yet
    CALLING = "calling"  # its run waits for the dependency's reply
    SHARING = "sharing"  # a duplicate: waits for the result of the first RPC of its key
    PAUSED = "paused"  # its run yielded its core and waits in the queue to go on
    COMPLETED = "completed"  # no response is pending and nothing runs


# Names of their own: a member that is looked up in its Enum costs a call on Python 3.11.
QUEUED, RUNNING, AWAITING_CALL, CALLING, SHARING, PAUSED, COMPLETED = RpcState


class RpcEvents(Protocol):
    """What the handle of an RPC calls: see the handle's methods of the same names."""

    def run_ended(self, now: int, rpc: "RpcHandle", outcome: Outcome, spent: int) -> None:
        """Act on the end of a run, or of the wait of a duplicate."""

    def caller_gone(self, now: int, rpc: "RpcHandle") -> None:
        """Act on the loss of the caller."""

    def awaiting_call(self, now: int, rpc: "RpcHandle") -> None:
        """Act on a run that needs its call to the dependency."""

    def call_ended(self, now: int, rpc: "RpcHandle", outcome: Outcome, spent: int) -> None:
        """Act on the end of a call."""


class RpcHandle:
    """The record and handle of one RPC: the host reports here what happens to it.

    Each field is written by one module, given in the list below; fields without one never change.
    """

    __slots__ = (
        "_events",
        "awaiting_since",
        "called_at",
        "caller_is_gone",
        "due_at",
        "duplicate_of",
        "expected_service_time",
        "extra_run_kb",
        "failed",
        "failed_calls",
        "has_run",
        "index",
        "is_retry",
        "key_expires_at",
        "memory_kb",
        "method",
        "objective_at",
        "priority",
        "quota",
        "reached_at",
        "response_sent",
        "service_time_hint",
        "shed_rank",
        "spent_before_pause",
        "started_at",
        "state",
        "time_at_calls",
    )

    # Set as it is admitted.
    expected_service_time: float  # that is left, as far as is learned: admission.py; after a pause runs.py
    objective_at: int  # until then its response meets the latency objective: admission.py
    priority: tuple[float, float]  # order of the queue, the smallest first: admission.py
    # Set as its run comes to a call.
    awaiting_since: int  # when it last began to await a call: runs.py
    called_at: int  # when its last call was made: dependency_calls.py

    def __init__(
        self, events: RpcEvents, now: int, index: int, method: Method, arrival: RpcArrival, run_factor: float
    ) -> None:
        """Record an RPC that was read `now`; `run_factor`: memory of a run over that of a queued RPC."""
        self._events = events
        self.index = index  # names the RPC at the port
        self.method = method
        self.memory_kb = arrival.memory_kb  # held until it is completed
        self.extra_run_kb = self.memory_kb * (run_factor - 1)  # held besides from when it began to run
        self.reached_at = now - arrival.waited  # the machine
        self.due_at = arrival.expires_at or self.reached_at + method.deadline  # its response
        self.shed_rank = arrival.shed_rank
        self.service_time_hint = arrival.service_time_hint
        self.is_retry = arrival.is_retry
        self.duplicate_of = arrival.duplicate_of
        self.quota = arrival.quota
        self.state = QUEUED  # runs.py, dependency_calls.py, completion.py, duplicates.py
        self.response_sent = False  # completion.py
        self.caller_is_gone = False  # rpc_events.py
        self.has_run = False  # it began, an effect may have come of it: runs.py; at its end rpc_events.py
        self.failed = False  # rpc_events.py
        self.failed_calls = 0  # rpc_events.py
        self.started_at = 0  # runs.py
        self.spent_before_pause = 0  # runs.py
        self.time_at_calls = 0  # runs.py
        self.key_expires_at = 0  # 0: its idempotency key is not stored; idempotency_keys.py

    @property
    def response_pending(self) -> bool:
        """Whether its caller still waits for a response."""
        return not (self.response_sent or self.caller_is_gone)

    def run_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report that a run, or the wait of a duplicate, ended; with OK and ERROR its response was sent.

        `spent`: microseconds since it began or last went on.
        """
        self._events.run_ended(now, self, outcome, spent)

    def caller_gone(self, now: int) -> None:
        """Report that the caller no longer waits for a response."""
        self._events.caller_gone(now, self)

    def awaiting_call(self, now: int) -> None:
        """Report that the run needs its call to the dependency to go on."""
        self._events.awaiting_call(now, self)

    def call_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report that the call ended after `spent`; with OK the run goes on by itself."""
        self._events.call_ended(now, self, outcome, spent)
