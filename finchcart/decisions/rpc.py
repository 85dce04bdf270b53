"""Record of one RPC: its states, its data, and the handle on which the host reports its events.

This module holds the record and decides nothing: the handle forwards each event to the `RpcEvents` object
that admission gave it. Points in time and durations are in microseconds, memory is in units of 1024 bytes.
"""

from enum import Enum
from typing import Protocol

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.method import Method
from finchcart.decisions.outcome import Outcome


class RpcState(Enum):
    """State of an RPC. The usual sequence is QUEUED, RUNNING, COMPLETED."""

    QUEUED = "queued"  # admitted and waiting for a core; the RPC has not run yet
    RUNNING = "running"  # the run is on a core
    AWAITING_CALL = "awaiting call"  # the run needs a call to the dependency that was not made yet
    CALLING = "calling"  # the run waits for the dependency's reply
    SHARING = "sharing"  # a duplicate that waits for the result of the first RPC with its idempotency key
    PAUSED = "paused"  # the run yielded its core and waits in the queue to be resumed
    COMPLETED = "completed"  # no response is pending and nothing runs


# Module-level aliases, as each access to a member through its Enum class costs a call on Python 3.11.
QUEUED, RUNNING, AWAITING_CALL, CALLING, SHARING, PAUSED, COMPLETED = RpcState


class RpcEvents(Protocol):
    """Receiver of the events that are reported on RPC handles.

    The methods of `RpcHandle` with the same names describe each event.
    """

    def run_ended(self, now: int, rpc: "RpcHandle", outcome: Outcome, duration: int) -> None:
        """Handle the end of a run, or of a duplicate's wait for a result."""

    def caller_gone(self, now: int, rpc: "RpcHandle") -> None:
        """Handle a caller that no longer waits for a response."""

    def awaiting_call(self, now: int, rpc: "RpcHandle") -> None:
        """Handle a run that needs its call to the dependency."""

    def call_ended(self, now: int, rpc: "RpcHandle", outcome: Outcome, duration: int) -> None:
        """Handle the end of a call."""


class RpcHandle:
    """Record of one RPC, and the handle on which the host reports the RPC's events.

    The comment behind each field names the modules that write it; fields without a module never change.
    """

    __slots__ = (
        "_events",
        "awaiting_since",
        "called_at",
        "caller_is_gone",
        "due_at",
        "duplicate_of",
        "duration_before_pause",
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
        "started_at",
        "state",
        "time_at_calls",
    )

    # Set on admission.
    expected_service_time: float  # after a pause, that of the remaining work: admission.py, runs.py
    objective_at: int  # latest time at which a response meets the latency objective: admission.py
    priority: tuple[float, float]  # sort key of the queue, the smallest first: admission.py
    # Set when the run needs a call.
    awaiting_since: int  # when the run last began to await a call: runs.py
    called_at: int  # when the last call was made: dependency_calls.py

    def __init__(
        self, events: RpcEvents, now: int, index: int, method: Method, arrival: RpcArrival, run_factor: float
    ) -> None:
        """Record an RPC that was read at `now`.

        `run_factor` is the ratio of a running RPC's memory to a queued RPC's.
        """
        self._events = events
        self.index = index  # identifies the RPC in calls of the port
        self.method = method
        self.memory_kb = arrival.memory_kb  # memory that the RPC holds until its completion
        self.extra_run_kb = self.memory_kb * (run_factor - 1)  # additional memory from the start of the run
        self.reached_at = now - arrival.waited  # when the RPC reached the machine
        self.due_at = arrival.expires_at or self.reached_at + method.deadline  # deadline of the response
        self.shed_rank = arrival.shed_rank
        self.service_time_hint = arrival.service_time_hint
        self.is_retry = arrival.is_retry
        self.duplicate_of = arrival.duplicate_of
        self.quota = arrival.quota
        self.state = QUEUED  # runs.py, dependency_calls.py, completion.py, duplicates.py
        self.response_sent = False  # completion.py
        self.caller_is_gone = False  # rpc_events.py
        self.has_run = False  # its run began and may have had an effect: runs.py; at its end rpc_events.py
        self.failed = False  # rpc_events.py
        self.failed_calls = 0  # rpc_events.py
        self.started_at = 0  # runs.py
        self.duration_before_pause = 0  # runs.py
        self.time_at_calls = 0  # runs.py
        self.key_expires_at = 0  # 0 while no idempotency key is stored for the RPC: idempotency_keys.py

    @property
    def response_pending(self) -> bool:
        """Whether the caller still waits for a response."""
        return not (self.response_sent or self.caller_is_gone)

    def run_ended(self, now: int, outcome: Outcome, duration: int) -> None:
        """Report that a run ended, or that a duplicate's wait for a result ended.

        With the outcomes OK and ERROR, the host has sent the response. `duration` is the time in microseconds
        since the run started or was last resumed.
        """
        self._events.run_ended(now, self, outcome, duration)

    def caller_gone(self, now: int) -> None:
        """Report that the caller no longer waits for a response."""
        self._events.caller_gone(now, self)

    def awaiting_call(self, now: int) -> None:
        """Report that the run cannot continue without its call to the dependency."""
        self._events.awaiting_call(now, self)

    def call_ended(self, now: int, outcome: Outcome, duration: int) -> None:
        """Report that the call ended after `duration` microseconds.

        With the outcome OK, the run continues without a further command from the decision module.
        """
        self._events.call_ended(now, self, outcome, duration)
