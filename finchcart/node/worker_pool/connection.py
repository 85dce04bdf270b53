"""The one connection to the worker pool: its state machine, and the backoff between attempts.

Owns the connection's number and state, the worker pool's address and the backoff. It must never hold a
command or a notice: what a lost connection may have lost is command_journal.py's to settle.

    DISCONNECTED --connect--> BINDING --bound--> BOUND --change_address--> READDRESSING
         ^                       |                 |                            |
         +------- disconnect ----+-----------------+----------------------------+
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
    """The states of the connection; the values stand in log lines."""

    DISCONNECTED = "disconnected"
    BINDING = "binding"  # requested notices from the cursor on; no command is written
    BOUND = "bound"
    READDRESSING = "moving"  # to another address, once all commands are known to be read


class PoolConnectionOwner(ConnectionOwner[WorkerPoolMessage], Protocol):
    """What is notified of the connection and its messages."""

    def disconnected(self) -> None:
        """Handle the loss or the planned end of the connection."""


class ReconnectBackoff:
    """The time to wait before the next connection. Times are whole microseconds."""

    __slots__ = ("_first_us", "_longest_us", "_quick_losses", "_steady_us")

    def __init__(self, limits: Limits) -> None:
        self._steady_us = limits.pool_stable_after_us
        self._first_us = limits.pool_min_retry_delay_us
        self._longest_us = limits.pool_max_retry_delay_us
        self._quick_losses = 0  # connections lost one after the other before they were steady

    def after_loss(self, bound_for_us: int | None) -> int:
        """Return how long to wait; `bound_for_us`: the connection was bound for so long, None: it was not.

        No time after a steady connection; else exponential, so that nothing spins.
        """
        if bound_for_us is not None and bound_for_us >= self._steady_us:
            self._quick_losses = 0
            return 0
        backoff_us = self._first_us << min(self._quick_losses, MAX_BACKOFF_DOUBLINGS)
        self._quick_losses += 1
        return min(backoff_us, self._longest_us)


class PoolConnection:
    """The connection and its state. Bounds: one connection, one timer for the next attempt or address."""

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
        self._move_timeout_us = limits.pool_move_timeout_us
        self._cursor = cursor
        self._owner = owner
        self._backoff = ReconnectBackoff(limits)
        self._bound_at = 0
        self._move_ticket: str | None = None  # of the poll before the connection is left for another address

    def send(self, data: bytes) -> None:
        """Write where there is a connection; what is lost with one is settled once the next is bound."""
        if self.number is not None:
            self.effect_buffer.emit(Send(self.number, data))

    def connect(self) -> None:
        """Open the connection where there is none, and request the notices from the cursor on."""
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
        """Give up a connection that failed, and connect again after the backoff."""
        is_bound = self.state is ConnectionState.BOUND
        backoff_us = self._backoff.after_loss(self.effect_buffer.now - self._bound_at if is_bound else None)
        self._disconnect()
        self.effect_buffer.schedule(self.effect_buffer.now + backoff_us, self.connect)

    # ---- Another address

    def readdress(self, address: tuple[str, int]) -> bool:
        """Use another address; return whether `leave_after` has to follow: commands may be on their way."""
        self.address = address
        if self.number is None:
            return False
        if self.state is ConnectionState.BOUND:
            self.state = ConnectionState.READDRESSING
            return True
        self._reconnect(self.number)
        return False

    def leave_after(self, ticket: str) -> None:
        """Leave for the new address once the poll of this ticket is answered, or after a time limit."""
        self._move_ticket = ticket
        self.effect_buffer.schedule(
            self.effect_buffer.now + self._move_timeout_us, self._reconnect, self.number
        )

    def poll_answered(self, ticket: str) -> None:
        """Leave for the new address where that poll was awaited: all commands before it were read."""
        if ticket == self._move_ticket:
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
        self._move_ticket = None
        self._owner.disconnected()
        self.effect_buffer.emit(Drop(number))
