"""Types for one RPC: the attributes that a frontend reads, the state in the core, and the final answer.

This module contains only types. It must never hold a table of RPCs nor decide about an RPC.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.node.controller_interface import ControlledRpc
from finchcart.node.key_entry import KeyEntry

NOT_ACCEPTED = -1  # the index of an RPC that the core has not accepted yet


class FinalOutcome(Enum):
    """The kinds of final answer to an RPC."""

    OK = "ok"  # the run succeeded; the answer carries the result, unchanged
    REJECTED = "rejected"  # the RPC never ran on this node
    FAILED = "failed"  # the RPC failed, and may or may not have run


class RpcAttributes(NamedTuple):
    """What a frontend reads of an RPC besides its name, method and body. Times are whole microseconds."""

    arrived_at: int  # when the RPC reached this machine
    caller: str | int  # the caller that admission and limits count the RPC for: a dispatcher's number
    idempotency_key: str | None = None
    is_retry: bool = False
    service_time_hint_us: int = 0  # the expected duration of the run; 0 means no hint
    memory_kb: float = 1.0
    shed_rank: float | None = None  # 0 to 1: the rank of the RPC's user among the users that may be shed
    expires_at: int = 0  # 0 means that the method's deadline applies
    connection: int | None = None
    arrival_uncertainty_us: int = 0  # the RPC arrived at most this much later than `arrived_at`


class AnswerReceiver(Protocol):
    """The interface by which the core sends an RPC's final answer to the RPC's frontend."""

    def send_final_answer(
        self, rpc: "NodeRpc", outcome: FinalOutcome, result: bytes, retry_after_us: int, do_not_retry: bool
    ) -> None:
        """Send the one final answer of an RPC that was accepted and not abandoned.

        Arguments:
            rpc: the same object that the frontend passed to `accept`.
            outcome: the kind of answer.
            result: the run's result, unchanged, if the outcome is `FinalOutcome.OK`.
            retry_after_us: if the outcome is `REJECTED`: the delay after which the caller may retry; 0 for no
                advice.
            do_not_retry: if the outcome is `REJECTED`: whether the caller is asked not to retry at any node.
        """


class InFlightCounter(Protocol):
    """A limiter that counts an RPC from the RPC's admission until its completion."""

    count: int


class AwaitedCall(NamedTuple):
    """The call to the dependency that a run awaits."""

    cursor: int  # the cursor of the worker pool's notice, which the reply to the worker pool repeats
    body: bytes


class NodeRpc:
    """The state of one RPC, shared by the core and the RPC's frontend.

    `name` is unique among the open RPCs and identifies the run to the worker pool. `reference` belongs to the
    frontend; the core never reads it.
    """

    __slots__ = (
        "response_pending",
        "arrival_uncertainty_us",
        "awaited_call",
        "body",
        "call_connection",
        "call_started_at",
        "call_timeout_capped",
        "calls_made",
        "completed",
        "counted_by",
        "frontend",
        "handle",
        "index",
        "joined_at",
        "key_entry",
        "method",
        "name",
        "reference",
        "started",
    )

    def __init__(
        self, frontend: AnswerReceiver, reference: object, name: str, method: str, body: bytes
    ) -> None:
        self.frontend = frontend
        self.reference = reference
        self.name = name
        self.method = method
        self.body = body
        self.index = NOT_ACCEPTED
        self.key_entry: KeyEntry | None = None  # the entry of the RPC's idempotency key
        self.handle: ControlledRpc | None = None  # returned by the decision module's `admit`; None before
        self.response_pending = True
        self.arrival_uncertainty_us = 0
        self.started = False  # set when the decision module starts the run
        self.completed = False  # set when the RPC's run, or a duplicate's wait, is over
        self.awaited_call: AwaitedCall | None = None
        self.call_connection: int | None = None  # the store connection that carries the RPC's call
        self.calls_made = 0
        self.call_started_at = 0
        self.joined_at: int | None = None  # when a duplicate began to wait for the first RPC of its key
        self.call_timeout_capped = False  # whether a limit of this node shortened the call's timeout
        self.counted_by: tuple[InFlightCounter, ...] | None = None  # limiters that count the RPC as in flight

    @property
    def is_running(self) -> bool:
        """Whether the RPC was started and is not completed."""
        return self.started and not self.completed
