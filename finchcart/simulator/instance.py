"""One instance of the decision module, driven by the simulator.

Maps the simulator's RPC identifiers to the decision module's integer indices and back, passes events to the
decision module, and turns the decision module's calls on the port into lines of the protocol. This module
must never make decisions itself.
"""

from collections.abc import Callable

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.controller import NodeController
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.rejection_reason import RejectionReason
from finchcart.decisions.rpc import RpcHandle
from finchcart.simulator import codec
from finchcart.simulator.events import (
    CallAwaited,
    CallEnded,
    CallerGone,
    DrainNotice,
    InstanceEvent,
    RpcArrived,
    RpcEvent,
    RunEnded,
    TimerFired,
)

RELEASED_INDEX = -1  # reported for the first RPC of an idempotency key that was already released


class SimulatorInstance:
    """One instance, which is also the `Port` of its decision module (see decisions/port.py).

    The identifier and the handle of an RPC are kept until the decision module releases the RPC, which bounds
    their number.
    """

    def __init__(self, number: int, write: Callable[[str], None], settings: NodeSettings, seed: int) -> None:
        """Create an instance that passes its lines to `write`; `number` identifies it in the protocol."""
        self.number = number
        self.write = write
        self.identifiers: dict[int, str] = {}  # by index
        self.rpcs: dict[str, tuple[int, RpcHandle | None]] = {}  # identifier -> (index, handle)
        self.next_index = 0
        self.failed = False  # True after the decision module raised an exception; it is never called again
        self.controller = NodeController(self, settings, seed)

    # ---- The port

    def run(self, index: int) -> None:
        """Command the simulator to start or resume the run of an RPC."""
        self.write(codec.run(self.number, self.identifiers[index]))

    def stop(self, index: int) -> None:
        """Stop or pause a run."""
        self.write(codec.stop(self.number, self.identifiers[index]))

    def reject(self, index: int, reason: RejectionReason, retry_after: int, do_not_retry: bool) -> None:
        """Reject an RPC. The reason is dropped, since the protocol has no field for it."""
        self.write(codec.reject(self.number, self.identifiers[index], retry_after, do_not_retry))

    def fail(self, index: int) -> None:
        """Respond to an RPC with a failure."""
        self.write(codec.fail(self.number, self.identifiers[index]))

    def call(self, index: int, timeout: int) -> None:
        """Make the call of a run to the dependency."""
        self.write(codec.call(self.number, self.identifiers[index], timeout))

    def degrade(self, index: int) -> None:
        """Let a run go on without its call to the dependency."""
        self.write(codec.degrade(self.number, self.identifiers[index]))

    def answer_duplicate(self, index: int) -> None:
        """Respond to a duplicate with the result of the first RPC with its idempotency key."""
        self.write(codec.answer_duplicate(self.number, self.identifiers[index]))

    def store_key(self, index: int, ttl: int) -> None:
        """Store the idempotency key of an RPC for `ttl` microseconds."""
        self.write(codec.store_key(self.number, self.identifiers[index], ttl))

    def evict_key(self, index: int) -> None:
        """Evict the idempotency key of an RPC."""
        self.write(codec.evict_key(self.number, self.identifiers[index]))

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set the response to health checks."""
        self.write(codec.set_health(self.number, healthy, cached))

    def set_shed_level(self, level: float) -> None:
        """Publish the shed level, which all responses then carry."""
        self.write(codec.publish_feedback(self.number, level))

    def set_credit(self, credit: float) -> None:
        """Publish the credit, which all responses then carry."""
        self.write(codec.publish_feedback(self.number, credit))

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` microseconds."""
        self.write(codec.set_idle_timeout(self.number, timeout))

    def set_timer(self, delay: int) -> None:
        """Set the timer to fire after `delay` microseconds."""
        self.write(codec.set_timer(self.number, delay))

    def log(self, text: str) -> None:
        """Write a log message."""
        self.write(codec.log(self.number, text))

    def release(self, index: int) -> None:
        """Delete the identifier and the handle of an RPC."""
        self.rpcs.pop(self.identifiers.pop(index), None)

    # ---- Events

    def handle(self, now: int, event: InstanceEvent) -> None:
        """Pass one event to the decision module."""
        match event:
            case RpcArrived():
                self._admit(now, event)
            case TimerFired():
                self.controller.on_timer(now, event.gauges)
            case DrainNotice():
                self.controller.drain(now, event.kill_at)
            case _:
                _, handle = self.rpcs.get(event.rpc, (None, None))
                if handle is not None:  # None: the RPC has completed and was released
                    _handle_rpc_event(handle, now, event)

    def _admit(self, now: int, event: RpcArrived) -> None:
        index = self.next_index
        self.next_index += 1
        self.identifiers[index] = event.rpc
        self.rpcs[event.rpc] = index, None
        arrival = RpcArrival(
            event.method,
            event.memory_kb,
            caller=event.caller,
            expires_at=event.expires_at,
            waited=event.waited,
            shed_rank=event.shed_rank,
            service_time_hint=event.service_time_hint,
            is_retry=event.is_retry,
            duplicate_of=self._index_of(event.first_rpc),
        )
        handle = self.controller.admit(now, index, arrival)
        if event.rpc in self.rpcs:  # otherwise admit() already completed and released the RPC
            self.rpcs[event.rpc] = index, handle

    def _index_of(self, identifier: str | None) -> int | None:
        if identifier is None:
            return None
        index, _ = self.rpcs.get(identifier, (RELEASED_INDEX, None))
        return index


def _handle_rpc_event(handle: RpcHandle, now: int, event: RpcEvent) -> None:
    match event:
        case RunEnded():
            handle.run_ended(now, event.outcome, event.duration)
        case CallerGone():
            handle.caller_gone(now)
        case CallAwaited():
            handle.awaiting_call(now)
        case CallEnded():
            handle.call_ended(now, event.outcome, event.duration)
