"""The types of one RPC: what a frontend hands over, what the core keeps of it, and how it is answered.

Owns types alone; it must never hold a table of RPCs nor decide about one.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.node.controller_interface import ControlledRpc
from finchcart.node.key_entry import KeyEntry

NOT_ACCEPTED = -1  # the index of an RPC that was not accepted yet


class FinalOutcome(Enum):
    """The three kinds of final answer."""

    OK = "ok"  # with the run's result, unchanged
    REJECTED = "rejected"  # it never ran here
    FAILED = "failed"  # without a statement whether it ran


class RpcAttributes(NamedTuple):
    """What a frontend read of an RPC besides its name, method and body. Times are whole microseconds."""

    arrived_at: int  # when it reached this machine
    caller: str | int  # who is admitted and limited by it: a dispatcher's number
    idempotency_key: str | None = None
    is_retry: bool = False
    service_time_hint_us: int = 0  # how long its run may take; 0: no hint
    memory_kb: float = 1.0
    shed_rank: float | None = None  # 0 to 1, where its user stands among those that may be shed
    expires_at: int = 0  # 0: by its method's deadline
    connection: int | None = None
    arrival_uncertainty_us: int = 0  # it may have reached the machine later than `arrived_at` by this


class AnswerReceiver(Protocol):
    """The frontend that an RPC came from, as far as the core needs it to answer."""

    def send_final_answer(
        self, rpc: "NodeRpc", outcome: FinalOutcome, result: bytes, retry_after_us: int, do_not_retry: bool
    ) -> None:
        """Send the one final answer of an RPC that was accepted and not abandoned.

        Arguments:
            rpc: as it was handed over.
            outcome: which kind of answer.
            result: of the run, unchanged, with `FinalOutcome.OK`.
            retry_after_us: with `REJECTED`: when the caller may come back, 0 for no advice.
            do_not_retry: with `REJECTED`: whether it is asked not to try another node either.
        """


class InFlightCounter(Protocol):
    """A limiter that counts an RPC from its admission until it is completed."""

    count: int


class AwaitedCall(NamedTuple):
    """The call that a run awaits."""

    cursor: int  # of the worker pool's notice
    body: bytes


class NodeRpc:
    """One RPC, as the core and its frontend hold it.

    `name` is unique among the open ones and the worker pool's name for the run; `reference` is the frontend's
    own and never looked at by the core.
    """

    __slots__ = (
        "response_pending",
        "arrival_uncertainty_us",
        "awaited_call",
        "body",
        "call_connection",
        "call_started_at",
        "call_time_cut",
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
        self.key_entry: KeyEntry | None = None  # of its idempotency key
        self.handle: ControlledRpc | None = None  # of the decision module; None until it is admitted there
        self.response_pending = True
        self.arrival_uncertainty_us = 0
        self.started = False  # the decision module had it run
        self.completed = False  # its run or its wait is over
        self.awaited_call: AwaitedCall | None = None
        self.call_connection: int | None = None  # that carries its call
        self.calls_made = 0
        self.call_started_at = 0
        self.joined_at: int | None = None  # since when it waits for the first RPC of its key
        self.call_time_cut = False  # the time of its call was cut short by this node's own allowance
        self.counted_by: tuple[InFlightCounter, ...] | None = None  # until it is completed

    @property
    def is_running(self) -> bool:
        """Whether it was started and is not completed."""
        return self.started and not self.completed
