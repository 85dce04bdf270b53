"""The one connection to the worker pool: its state machine, and the backoff between attempts to connect.

`PoolConnection` owns the number and the state of the connection, the address of the worker pool and the
backoff. It must never hold a command or a notice: command_journal.py settles the commands that a lost
connection may have lost.

    DISCONNECTED --connect--> BINDING --bound--> BOUND --change_address--> CHANGING_ADDRESS
         ^                       |                 |                              |
         +------- disconnect ----+-----------------+------------------------------+
"""

from enum import Enum
from typing import Protocol

from finchcart.limits import Limits
from finchcart.node.effect_buffer import ConnectionOwner, EffectBuffer
from finchcart.node.effects import Drop, Read, Send
from finchcart.node.worker_pool.notice_cursor import NoticeCursor
from finchcart.protocol import worker_pool_codec
from finchcart.protocol.messages import WorkerPoolMessage

MAX_BACKOFF_DOUBLINGS = 10


class ConnectionState(Enum):
    """The states of the connection. The values appear in log lines and in names of statistics counters."""

    DISCONNECTED = "disconnected"
    BINDING = "binding"  # the node has requested the notices after the cursor, and writes no commands yet
    BOUND = "bound"
    CHANGING_ADDRESS = "moving"  # the node reconnects to a new address once all commands are read


class PoolConnectionOwner(ConnectionOwner[WorkerPoolMessage], Protocol):
    """The listener for events and messages of the connection."""

    def disconnected(self) -> None:
        """Handle the loss or the planned end of the connection."""


class ReconnectBackoff:
    """The exponential backoff before the next attempt to connect. Times are whole microseconds."""

    __slots__ = ("_first_us", "_longest_us", "_quick_losses", "_steady_us")

    def __init__(self, limits: Limits) -> None:
        self._steady_us = limits.pool_stable_after_us
        self._first_us = limits.pool_min_retry_delay_us
        self._longest_us = limits.pool_max_retry_delay_us
        self._quick_losses = 0  # connections in a row that were bound for less than `_steady_us`

    def after_loss(self, bound_for_us: int | None) -> int:
        """Return the time to wait before the next attempt to connect.

        The wait is 0 after a connection that was bound for long enough. Otherwise it grows exponentially, so
        that the node does not reconnect in a busy loop. `bound_for_us` is the time for which the lost
        connection was bound; None: it was never bound.
        """
        if bound_for_us is not None and bound_for_us >= self._steady_us:
            self._quick_losses = 0
            return 0
        backoff_us = self._first_us << min(self._quick_losses, MAX_BACKOFF_DOUBLINGS)
        self._quick_losses += 1
        return min(backoff_us, self._longest_us)


class PoolConnection:
    """The connection and its state.

    Bounds: one connection, and one timer for the next attempt to connect or for the change of the address.
    """

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        address: tuple[str, int],
        cursor: NoticeCursor,
        owner: PoolConnectionOwner,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.address = address
        self.state = ConnectionState.DISCONNECTED
        self.number: int | None = None
        self.write_blocked = False
        self.bind_requested_at = 0
        self._address_change_timeout_us = limits.pool_move_timeout_us
        self._cursor = cursor
        self._owner = owner
        self._backoff = ReconnectBackoff(limits)
        self._bound_at = 0
        self._address_change_ticket: str | None = None  # the answer to this poll starts the reconnection

    def send(self, data: bytes) -> None:
        """Write data if there is a connection; commands that are lost with it are settled later."""
        if self.number is not None:
            self.effect_buffer.emit(Send(self.number, data))

    def connect(self) -> None:
        """Open the connection unless there is one, and request the notices after the cursor."""
        if self.number is not None:
            return
        self.number = self.effect_buffer.connect("pool", self.address, self._owner)
        self.state = ConnectionState.BINDING
        self.bind_requested_at = self.effect_buffer.now
        self.effect_buffer.emit(Read(self.number))
        self.send(worker_pool_codec.encode_subscribe(self._cursor.position))

    def bound(self) -> None:
        """Enter the state in which commands are written."""
        self.state = ConnectionState.BOUND
        self._bound_at = self.effect_buffer.now

    def lose(self) -> None:
        """Drop a connection that failed, and reconnect after the backoff."""
        is_bound = self.state is ConnectionState.BOUND
        backoff_us = self._backoff.after_loss(self.effect_buffer.now - self._bound_at if is_bound else None)
        self._disconnect()
        self.effect_buffer.schedule(self.effect_buffer.now + backoff_us, self.connect)

    # ---- Change of the address

    def change_address(self, address: tuple[str, int]) -> bool:
        """Set the address, and reconnect at once if no commands can be in transit.

        Return whether commands may be in transit. The caller must then send a poll and pass its ticket to
        `reconnect_after_poll`.
        """
        self.address = address
        if self.number is None:
            return False
        if self.state is ConnectionState.BOUND:
            self.state = ConnectionState.CHANGING_ADDRESS
            return True
        self._reconnect(self.number)
        return False

    def reconnect_after_poll(self, ticket: str) -> None:
        """Reconnect to the new address once the poll with this ticket is answered, or after a timeout."""
        self._address_change_ticket = ticket
        self.effect_buffer.schedule(
            self.effect_buffer.now + self._address_change_timeout_us, self._reconnect, self.number
        )

    def poll_answered(self, ticket: str) -> None:
        """Reconnect to the new address if this poll confirms that all commands were read."""
        if ticket == self._address_change_ticket:
            self._reconnect(self.number)

    def _reconnect(self, number: int | None) -> None:
        if self.number == number and self.state is not ConnectionState.BOUND:
            self._disconnect()
            self.connect()

    def _disconnect(self) -> None:
        number = self.number
        if number is None:
            return
        self.number = None
        self.state = ConnectionState.DISCONNECTED
        self.write_blocked = False
        self._address_change_ticket = None
        self._owner.disconnected()
        self.effect_buffer.emit(Drop(number))
