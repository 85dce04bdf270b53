"""The interface between the core and its frontends.

A frontend owns connections and implements a protocol; the core owns the RPCs. This module contains only
types. The frontend and the core call each other only while the core processes an input. A frontend has these
duties:

1. Once an RPC is read completely, the frontend creates a `NodeRpc`, whose `reference` identifies the caller
   to the frontend, and calls `core.accept(rpc, attributes)`. The core then calls
   `frontend.send_final_answer(rpc, ...)` exactly once. It may do so before `accept` returns, so the frontend
   must store what `reference` refers to before it calls `accept`. If `accept` raises `InvalidRpcError`, the
   core has kept nothing of the RPC, and the frontend reports the error to the caller by its own protocol.
2. If the caller of an accepted RPC is gone, the frontend calls `core.abandon(rpc)`, once. The core then sends
   no final answer.
3. The frontend requests each read of a connection with `effect_buffer.emit(Read(connection))`; each `Read`
   delivers one batch of messages. To open a connection itself, it calls
   `effect_buffer.connect(kind, address, self)`.
4. The frontend must not call `accept` before `core.ready` is true, which is when the worker pool was first
   connected.

The core never checks whether a final answer reached the caller.
"""

from collections.abc import Mapping
from typing import Protocol

from finchcart.node.effect_buffer import AnyOwner, EffectBuffer
from finchcart.node.methods import MethodInfo
from finchcart.node.rpc import AnswerReceiver, NodeRpc, RpcAttributes
from finchcart.node.wall_clock import Arrival


class FrontendHost(Protocol):
    """The interface of the core for frontends."""

    effect_buffer: EffectBuffer
    methods: Mapping[str, MethodInfo]

    @property
    def ready(self) -> bool:
        """Whether RPCs can be accepted: true once the worker pool was first connected."""

    @property
    def shed_level(self) -> float | None:
        """The shed level, to be published with all answers; None until it is known."""

    def read_arrival(self, timestamp: int, late_read_us: int) -> Arrival | None:
        """Return when an RPC of the current batch arrived at the machine.

        Arguments:
            timestamp: the Unix time of the arrival in microseconds, as the RPC carries it.
            late_read_us: the RPC is valid if it arrived at most this long ago.

        Returns:
            The time of arrival on the node's clock; None if the timestamp is not valid.
        """

    def unix_now(self) -> int:
        """Return the Unix time in microseconds, for messages and log lines."""

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Take over an RPC that was read completely.

        Raises:
            InvalidRpcError: the RPC is not valid, and the core has kept nothing of it.
        """

    def abandon(self, rpc: NodeRpc) -> None:
        """Handle the disconnect of an accepted RPC's caller."""

    def record_invalid_traffic(self, connection: int) -> None:
        """Record an undecodable message, or a connection that sent no message at all."""


class Frontend(AnyOwner, AnswerReceiver, Protocol):
    """The interface of a frontend for the core, in addition to that of any owner of connections."""

    def connection_opened(self, connection: int) -> None:
        """Handle a connection that a peer opened."""

    def close_due(self, connection: int) -> None:
        """Handle the frontend's own deferred `CloseDue`; all inputs received before it were processed."""

    def close_attempted(self, connection: int, closed: bool) -> None:
        """Handle the result of the effect `CloseIfIdle`.

        If `closed`, nothing more is read or sent on the connection. Otherwise the connection was in use, and
        stays open.
        """

    def set_idle_timeout(self, timeout_us: int) -> None:
        """Set how long a connection must be idle before it may be closed."""

    def set_health(self, healthy: bool) -> None:
        """Set the health that health checks report from now on."""

    def drain(self, kill_at: int) -> None:
        """Handle the termination notice; the process may be killed soon after `kill_at`."""

    def announce_close(self) -> None:
        """Announce the close to all open connections, as the node is about to end."""

    def announce_close_of_new(self) -> None:
        """Announce the close to all open connections, and from now on to each new one."""

    def close_now(self) -> None:
        """Close each connection as soon as no RPC is open on it, as the node ends shortly."""

    def is_idle(self) -> bool:
        """Return whether no connection would be cut by the end of the node."""
