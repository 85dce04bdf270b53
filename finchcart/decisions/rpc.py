"""The record of one RPC and its states. Decides nothing: what becomes of it is up to controller.py."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from finchcart.decisions.arrival import RpcArrival
    from finchcart.decisions.controller import Method, NodeController


class RpcState(Enum):
    """Where an RPC is on its way. The usual way: QUEUED, RUNNING, COMPLETED."""

    QUEUED = "queued"  # admitted, waits for a core; it never ran
    RUNNING = "running"  # on a core
    AWAITING_CALL = "awaiting call"  # its run needs a call to the dependency that was not made yet
    CALLING = "calling"  # its run waits for the dependency's reply
    SHARING = "sharing"  # a duplicate: waits for the result of the first RPC of its key
    PAUSED = "paused"  # its run gave its core up and waits in the queue to go on
    COMPLETED = "completed"  # nothing is owed and nothing runs


class RpcRecord:
    """What is known of one RPC. Points in time and durations are microseconds, memory is kilobytes."""

    __slots__ = (
        "answered",
        "awaiting_since",
        "called_at",
        "caller_is_gone",
        "control",
        "due_at",
        "duplicate_of",
        "expected_cost",
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
        "service_time_hint",
        "shed_rank",
        "spent_before_pause",
        "started_at",
        "state",
        "time_at_calls",
    )

    # Set by the decision module as it admits the RPC.
    expected_cost: float  # time on a core that is left, as far as is learned
    objective_at: int  # when its answer still meets the latency objective
    priority: tuple[float, float]  # order of the queue, the smallest first
    awaiting_since: int  # when its run last began to await a call
    called_at: int  # when its last call was made

    def __init__(
        self,
        control: NodeController,
        now: int,
        index: int,
        method: Method,
        arrival: RpcArrival,
    ) -> None:
        """Record an RPC that was read `now`."""
        self.control = control
        self.index = index  # names the RPC at the port
        self.method = method
        self.memory_kb = arrival.memory_kb  # held until it is completed
        # Held besides by its run.
        self.extra_run_kb = self.memory_kb * (control.settings.run_memory_factor - 1)
        self.reached_at = now - arrival.waited
        self.due_at = arrival.expires_at or self.reached_at + method.deadline  # its answer is owed until then
        self.shed_rank = arrival.shed_rank  # 0 to 1, of its user; the lowest are shed first
        self.service_time_hint = (
            arrival.service_time_hint
        )  # what a run takes by the caller's estimate; 0: not told
        self.is_retry = arrival.is_retry
        self.duplicate_of = (
            arrival.duplicate_of
        )  # index of the first RPC of its key; -1: it is not known any more
        self.quota = arrival.quota  # what is left here of the fleet's limits on it
        self.state = RpcState.QUEUED
        self.answered = False
        self.caller_is_gone = False
        self.has_run = False  # it started; an effect may have come of it
        self.failed = False
        self.started_at = 0
        self.spent_before_pause = 0
        self.time_at_calls = 0
        self.failed_calls = 0
        self.key_expires_at = 0  # 0: its idempotency key is not stored

    @property
    def is_owed(self) -> bool:
        """Whether its caller still waits for an answer."""
        return not (self.answered or self.caller_is_gone)
