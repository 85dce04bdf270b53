"""How a frontend joins the core: the contract of both sides.

Owns the types between the core and its frontends; it must never hold state. A frontend owns connections and a
protocol; the core owns RPCs. What a frontend does, always within a turn:

1. It makes an `NodeRpc` with whatever `reference` finds its caller again, and hands it over by
   `core.accept(rpc, attributes)` once it has read it to the end. From then on the core sends exactly one
   `frontend.send_final_answer(rpc, ...)`, which may come inside `accept`, so `reference` has to be in the
   frontend's tables before. An `InvalidRpcError` of `accept` names what is wrong with the RPC: the core kept
   nothing, and the frontend answers by its own protocol.
2. Where the caller is known to be gone it calls `core.abandon(rpc)`, once, instead of waiting for the final
   answer: none comes after that.
3. It requests reads on its connections (`effect_buffer.emit(Read(connection))`), each of which brings one
   batch. A frontend that connects out has `effect_buffer.connect(kind, address, self)`.
4. `core.ready` is whether RPCs can be accepted yet: before the worker pool is there, `accept` is not
called.

What the frontend does with a final answer is its own: the core never checks whether it arrived.
"""

from collections.abc import Mapping
from typing import Protocol

from finchcart.node.effect_buffer import AnyOwner, EffectBuffer
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import AnswerReceiver, NodeRpc, RpcAttributes
from finchcart.node.wall_clock import Arrival


class FrontendHost(Protocol):
    """What a frontend can use of the core."""

    effect_buffer: EffectBuffer
    methods: Mapping[str, MethodInfo]

    @property
    def ready(self) -> bool:
        """Whether RPCs can be accepted yet."""

    @property
    def shed_level(self) -> float | None:
        """The shed level, to be published with all answers; None: not known yet."""

    def read_arrival(self, stamp: int, late_read_us: int) -> Arrival | None:
        """Return when an RPC of the batch at hand with that Unix time arrived; None where it can't have."""

    def unix_now(self) -> int:
        """Return the Unix time in microseconds, for texts."""

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Take over an RPC that was read to the end.

        Raises:
            InvalidRpcError: with what is wrong with it; nothing of it is kept then.
        """

    def abandon(self, rpc: NodeRpc) -> None:
        """Handle the loss of an accepted RPC's caller."""

    def record_invalid_traffic(self, connection: int) -> None:
        """Record a message that can't be read, or a connection without any."""


class Frontend(AnyOwner, AnswerReceiver, Protocol):
    """What the core calls, besides the methods of any owner of connections."""

    def connection_opened(self, connection: int) -> None:
        """Handle a connection that a peer made."""

    def close_due(self, connection: int) -> None:
        """Handle the frontend's own deferred `CloseDue`: all that was received before it was handed over."""

    def close_attempted(self, connection: int, closed: bool) -> None:
        """Handle the result of the effect `CloseIfIdle`.

        Where `closed`, nothing more is read or sent on the connection; else something was under way, and it
        is as before.
        """

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set after how long connections that are idle may be closed."""

    def set_health(self, healthy: bool) -> None:
        """Set how health checks are answered from now on."""

    def drain(self, kill_at: int) -> None:
        """Handle the notice to leave; the process is killed at `kill_at`."""

    def announce_close(self) -> None:
        """Announce to every connection that is open now that it will be closed: the node leaves."""

    def announce_close_of_new(self) -> None:
        """Announce the close of every connection, also of those that are made from now on."""

    def close_now(self) -> None:
        """Close every connection between two RPCs, as soon as nothing is open: the node ends shortly."""

    def is_idle(self) -> bool:
        """Return whether nothing is open that the end of the node would cut."""
