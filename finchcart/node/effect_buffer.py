"""The state that all components of a node share: current time, emitted effects, timers, connection owners.

`EffectBuffer` owns the time at which the current input is processed, the effects that were emitted for that
input, the heap of timers, the numbers of the connections that the node opens, and the owner of each
connection, which handles the connection's events. `EffectBuffer` must not depend on the components that use
it. effects.py defines the types of effects.
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
Timer = tuple[
    int, int, Callable[..., None], tuple[object, ...]
]  # due time, serial number, callback, arguments


class ConnectionOwner(Protocol[MessageT]):
    """The component that handles the events of a connection, whose codec decodes `MessageT`."""

    def message_received(self, connection: int, message: MessageT) -> None:
        """Handle one decoded message; `batch_completed` is called after the last message of a batch."""

    def batch_completed(self, connection: int) -> None:
        """Handle the end of a batch of messages; the owner may now request the next read."""

    def write_blocked(self, connection: int) -> None:
        """Handle a blocked write: the peer is not reading."""

    def write_resumed(self, connection: int) -> None:
        """Handle the end of a blocked write: all pending data is written."""

    def connection_refused(self, connection: int, reason: str) -> None:
        """Handle the failure to establish a connection that the node opened."""

    def connection_ended(self, connection: int, fault: ProtocolError | None) -> None:
        """Handle the end of the incoming data; `fault` is None unless data could not be decoded."""

    def connection_closed(self, connection: int) -> None:
        """Handle the final close of a connection."""


AnyOwner = ConnectionOwner[Any]  # a connection's codec always decodes the messages that its owner handles


def own_connections_first(inputs: Iterable[Input]) -> list[Input]:
    """Sort the inputs of one event-loop turn: those of connections that the node opened come first.

    These connections, to the worker pool and the store, carry the progress of RPCs that the node has already
    accepted. The order of the inputs of each connection is kept, so that the end of a connection never
    overtakes messages that were read before it.
    """
    return sorted(inputs, key=lambda received: getattr(received, "connection", 0) >= 0)


class EffectBuffer:
    """Time, effects, timers and connection owners. Times are whole microseconds.

    Each component bounds the number of timers that it schedules. A connection has one owner until it is
    closed. `log_interval_us` is the interval of the `FaultLog`.
    """

    def __init__(self, log_interval_us: int) -> None:
        self.now = 0
        self.effects: list[Effect] = []
        self.timers: list[Timer] = []  # heap with the earliest timer first
        self.connection_owners: dict[int, AnyOwner] = {}
        self._timers_made = 0
        self._connections_made = 0
        self.statistics = Statistics()
        self.fault_log = FaultLog(log_interval_us, self._log, self.schedule_after)

    def begin(self, now: int) -> list[Effect]:
        """Begin to process an input: run all timers that are due, and return the input's list of effects."""
        self.now = now = max(now, self.now)
        effects: list[Effect] = []
        self.effects = effects
        timers = self.timers
        while timers and timers[0][0] <= now:
            _, _, callback, arguments = heappop(timers)
            callback(*arguments)
        return effects

    def next_timer(self) -> int | None:
        """Return when the next timer is due, or None if no timer is set."""
        return self.timers[0][0] if self.timers else None

    def emit(self, effect: Effect) -> None:
        """Append an effect to the effects of the current input."""
        self.effects.append(effect)

    def schedule(self, when: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule `callback(*arguments)` to run before the first input that is processed from `when` on."""
        self._timers_made += 1
        heappush(self.timers, (when, self._timers_made, callback, arguments))

    def connect(self, kind: str, address: tuple[str, int], owner: AnyOwner) -> int:
        """Open a connection for `owner`, with the codec that `kind` names; return the connection's number."""
        self._connections_made += 1
        connection = -self._connections_made
        self.connection_owners[connection] = owner
        self.emit(Connect(connection, kind, address))
        return connection

    def schedule_after(self, delay: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule `callback(*arguments)` to run before the first input after `delay` microseconds."""
        self.schedule(self.now + delay, callback, *arguments)

    def log_fault(self, origin: str, cause: str, text: str) -> None:
        """Log a fault of a peer or component and count it by cause; `FaultLog` limits the log lines."""
        self.statistics.count(f"{origin}: {cause}")
        self.fault_log.record(origin, cause, text)

    def _log(self, text: str) -> None:
        self.emit(Log(text))
