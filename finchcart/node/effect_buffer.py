"""One event-loop turn of a node: its time, the effects emitted in it, timers and connection numbers.

Owns the clock value of the turn, the list of effects, the heap of timers, the numbers of connections that the
node opens and who is notified of what happens on each connection. All parts of a node share one
`EffectBuffer`; it must never know what they do with it.

The types of effects: effects.py.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any, Protocol, TypeVar

from finchcart.errors import ProtocolError
from finchcart.node.effects import Connect, Effect, Log
from finchcart.node.fault_log import FaultLog
from finchcart.node.inputs import Input
from finchcart.node.statistics import Statistics

MessageT = TypeVar("MessageT", contravariant=True)
Timer = tuple[int, int, Callable[..., None], tuple[object, ...]]  # when, number, callback, its arguments


class ConnectionOwner(Protocol[MessageT]):
    """What is notified of a connection, whose codec reads messages of one protocol."""

    def message_received(self, connection: int, message: MessageT) -> None:
        """Handle one message of the connection's codec; `batch_completed` follows the last of a batch."""

    def batch_completed(self, connection: int) -> None:
        """Handle the end of a batch: the next read may be requested."""

    def write_blocked(self, connection: int) -> None:
        """Handle a peer that does not read what is sent."""

    def write_resumed(self, connection: int) -> None:
        """Handle a peer that reads again: all that was pending is written."""

    def connection_refused(self, connection: int, reason: str) -> None:
        """Handle a connection of the node's own that was never established."""

    def connection_ended(self, connection: int, fault: ProtocolError | None) -> None:
        """Handle the end of what is read; `fault` is None where the peer closed."""

    def connection_closed(self, connection: int) -> None:
        """Handle a connection that is gone."""


AnyOwner = ConnectionOwner[Any]  # each connection's codec reads what its owner handles


def own_connections_first(inputs: Iterable[Input]) -> list[Input]:
    """Return the inputs of one turn, work under way first: those of the node's own connections.

    Guards against an end that overtakes what was read before it: the order on each connection is kept.
    """
    return sorted(inputs, key=lambda what: getattr(what, "connection", 0) >= 0)


class EffectBuffer:
    """The turn under way. Times are whole microseconds; `log_interval_us`: see `FaultLog`.

    Bounds: the timers are what the parts of a node schedule, each of which bounds its own; one owner a
    connection, until that is closed.
    """

    def __init__(self, log_interval_us: int) -> None:
        self.now = 0
        self.effects: list[Effect] = []
        self.timers: list[Timer] = []  # a heap
        self.connection_owners: dict[int, AnyOwner] = {}
        self._timers_made = 0
        self._connections_made = 0
        self.statistics = Statistics()
        self.fault_log = FaultLog(log_interval_us, self._log, self.schedule_after)

    def begin(self, now: int) -> list[Effect]:
        """Begin a turn: run all timers that are due, and return the list that effects are added to."""
        self.now = now = max(now, self.now)
        effects: list[Effect] = []
        self.effects = effects
        timers = self.timers
        while timers and timers[0][0] <= now:
            _, _, callback, arguments = heappop(timers)
            callback(*arguments)
        return effects

    def next_timer(self) -> int | None:
        """Return when the next timer is due, or None."""
        return self.timers[0][0] if self.timers else None

    def emit(self, effect: Effect) -> None:
        """Add an effect to those of this turn."""
        self.effects.append(effect)

    def schedule(self, when: int, callback: Callable[..., None], *arguments: object) -> None:
        """Have `callback(*arguments)` called at the beginning of the first turn from `when` on."""
        self._timers_made += 1
        heappush(self.timers, (when, self._timers_made, callback, arguments))

    def connect(self, kind: str, address: tuple[str, int], owner: AnyOwner) -> int:
        """Open a connection with the codec of that kind for `owner`; return its number."""
        self._connections_made += 1
        connection = -self._connections_made
        self.connection_owners[connection] = owner
        self.emit(Connect(connection, kind, address))
        return connection

    def schedule_after(self, delay: int, callback: Callable[..., None], *arguments: object) -> None:
        """Have `callback(*arguments)` called at the beginning of the first turn after `delay`."""
        self.schedule(self.now + delay, callback, *arguments)

    def log_fault(self, party: str, cause: str, text: str) -> None:
        """Log a fault of a party, or count its cause where there are many; see `FaultLog`."""
        self.statistics.count(f"{party}: {cause}")
        self.fault_log.record(party, cause, text)

    def _log(self, text: str) -> None:
        self.emit(Log(text))
