"""Passes each connection event to the connection's owner: a frontend, the worker pool client or store client.

`ConnectionDispatcher` adds owners to, and removes them from, the table in effect_buffer.py. It must never
inspect a message.
"""

from collections.abc import Mapping, Sequence
from typing import cast

from finchcart.errors import ProtocolError
from finchcart.node.arrivals import ArrivalClock
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Drop
from finchcart.node.fleet import FleetView
from finchcart.node.frontend import Frontend
from finchcart.node.input_load import InputLoad
from finchcart.protocol.messages import Message


class ConnectionDispatcher:
    """Handles the inputs that concern connections; ignores inputs of a connection without an owner."""

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        frontends: Mapping[str, Frontend],
        fleet: FleetView,
        arrivals: ArrivalClock,
        load: InputLoad,
    ) -> None:
        self._effect_buffer = effect_buffer
        self._owners = effect_buffer.connection_owners
        self._frontends = frontends
        self._fleet = fleet
        self._arrivals = arrivals
        self._load = load

    def on_opened(self, connection: int, frontend: str, host: str | None = None) -> None:
        """Handle a connection that a peer opened to a frontend."""
        owner = self._frontends[frontend]
        self._owners[connection] = owner
        self._fleet.connection_opened(connection, host)
        owner.connection_opened(connection)

    def on_messages(
        self, connection: int, messages: Sequence[Message], received_at: int, not_before: int
    ) -> None:
        """Handle a batch of messages."""
        # Sets attributes directly instead of calling methods, because this code runs for each RPC.
        arrivals = self._arrivals
        arrivals.received_at = received_at
        arrivals.not_before = not_before
        wait_us = self._effect_buffer.now - received_at
        load = self._load
        if wait_us > load.longest_wait_us:
            load.longest_wait_us = wait_us
        owner = self._owners.get(connection)
        if owner:
            for message in messages:
                owner.message_received(connection, message)
            owner.batch_completed(connection)

    def on_refused(self, connection: int, reason: str) -> None:
        """Handle the failure to establish a connection that the node opened."""
        owner = self._owners.get(connection)
        if owner:
            owner.connection_refused(connection, reason)

    def on_ended(self, connection: int, fault: ProtocolError | None) -> None:
        """Handle the end of a connection's incoming stream."""
        owner = self._owners.get(connection)
        if owner:
            owner.connection_ended(connection, fault)

    def on_write_blocked(self, connection: int) -> None:
        """Handle a blocked write: the peer is not reading."""
        owner = self._owners.get(connection)
        if owner:
            owner.write_blocked(connection)

    def on_write_resumed(self, connection: int) -> None:
        """Handle the end of a blocked write: the peer is reading again."""
        owner = self._owners.get(connection)
        if owner:
            owner.write_resumed(connection)

    def on_close_due(self, connection: int) -> None:
        """Handle a frontend's deferred attempt to close a connection."""
        frontend = self._frontend_of(connection)
        if frontend:
            frontend.close_due(connection)

    def on_close_attempted(self, connection: int, closed: bool) -> None:
        """Handle the result of a frontend's attempt to close a connection."""
        frontend = self._frontend_of(connection)
        if frontend:
            frontend.close_attempted(connection, closed)

    def on_closed(self, connection: int) -> None:
        """Handle the final close of a connection: remove its owner."""
        self._effect_buffer.emit(Drop(connection))
        self._fleet.connection_closed(connection)
        owner = self._owners.pop(connection, None)
        if owner:
            owner.connection_closed(connection)

    def _frontend_of(self, connection: int) -> Frontend | None:
        return cast("Frontend | None", self._owners.get(connection))  # only frontends use these inputs
