"""The core of a node: joins its parts, and hands each input to the part that it concerns.

Owns the order of what happens: `reduce(now, what)` takes one input and returns the effects that it asks for.
It must never do I/O, take a lock, read a clock, know a frontend's protocol or decide about an RPC: decisions
come from finchcart/decisions/controller.py through the port.

An RPC's life: rpc_lifecycle.py. What the decision module can do: port.py. The fleet: fleet.py. Inputs and
effects: inputs.py and effects.py.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.limits import Limits
from finchcart.node import inputs
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Drop, Effect, Log
from finchcart.node.fleet import FleetView
from finchcart.node.frontend import Frontend, FrontendHost
from finchcart.node.idempotency import IdempotencyCache
from finchcart.node.methods import read_methods
from finchcart.node.port import CorePort
from finchcart.node.registration import Registration
from finchcart.node.rpc import NodeRpc, RpcAttributes
from finchcart.node.rpc_lifecycle import KEY_LEASE_MARGIN_US, RpcLifecycle
from finchcart.node.store import StoreClient
from finchcart.node.supported_settings import ShadowSettings, supported_settings
from finchcart.node.wall_clock import Arrival, WallClock
from finchcart.node.worker_pool import WorkerPool
from finchcart.protocol import connection_events
from finchcart.protocol.messages import Message

if TYPE_CHECKING:  # none is imported where it is not asked for
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import LimiterSet
    from finchcart.node.observer import NodeObserver
    from finchcart.node.shadow import ShadowController

Address = tuple[str, int]


class Core:
    """The state of one node. Times are whole microseconds.

    Arguments:
        settings: see decisions/node_settings.py. limits: sizes and times of the node. seed: of the decision
        module. name: by which the registry knows the node. addresses: of "pool", "store" (None: there is
        none) and "registry". make_frontends: from the core to its frontends by name. shadow: what is watched,
        or None, see shadow.py. limiters: of the fleet's limits, or None. observer: for the
        fleet's consensus, or None. make_key_leases: from the turn to what gets key leases for runs, or None.
    """

    def __init__(
        self,
        settings: NodeSettings,
        limits: Limits,
        seed: int,
        name: str,
        addresses: Mapping[str, Address | None],
        make_frontends: Callable[[FrontendHost], Mapping[str, Frontend]],
        shadow: ShadowSettings | None = None,
        limiters: "LimiterSet | None" = None,
        observer: "NodeObserver | None" = None,
        make_key_leases: "Callable[[EffectBuffer], KeyLeaseGate] | None" = None,
    ) -> None:
        self.settings = supported_settings(settings)
        self.limits = limits
        self.seed = seed
        self.shadow = shadow
        self.turn = turn = EffectBuffer(limits.log_interval)
        self.methods = read_methods(settings, limits.late_read_grace)
        self.control: NodeController | ShadowController | None = None  # from the worker pool's start on
        self.limiters = limiters
        self.key_leases = make_key_leases(turn) if make_key_leases else None
        self.fleet = FleetView(turn, self.methods, limiters, observer)
        self.idempotency = self._make_idempotency_cache()
        self.lifecycle = RpcLifecycle(turn, self.methods, self.idempotency, self.fleet, self.key_leases)
        self.pool = self._make_worker_pool(addresses["pool"])
        self.store = self._make_store_client(addresses["store"])
        self.lifecycle.connect(self.pool, self.store)
        registry = addresses["registry"]
        self.registration = Registration(turn, limits, name, registry, settings.drain_grace_us, self)
        self.frontends: Mapping[str, Frontend] = make_frontends(self)
        self.port = self._make_port()
        self._longest_wait_us = 0  # of the inputs since the last timer of the decision module
        self.wall_clock = WallClock()
        self._batch_received_at = 0  # of the messages at hand
        self._batch_not_before = 0
        self._input_busy = 0.0  # part of the time in which inputs were processed
        self._handlers = self._input_handlers()

    def _make_idempotency_cache(self) -> IdempotencyCache:
        late_read_us = max((method.late_read_us for method in self.methods.values()), default=0)
        return IdempotencyCache(self.turn, late_read_us, self.limits.cached_results)

    def _make_worker_pool(self, address: Address) -> WorkerPool:
        return WorkerPool(self.turn, self.limits, address, self.settings.gauges, self.lifecycle, self)

    def _make_store_client(self, address: Address | None) -> StoreClient:
        linger_us = (self.settings.calls_linger_us or 0) if self.limiters else 0
        return StoreClient(self.turn, self.limits, address, self.lifecycle.call_ended, linger_us)

    def _make_port(self) -> CorePort:
        return CorePort(
            self.turn,
            self.lifecycle,
            self.pool,
            self.store,
            self.registration,
            self.frontends,
            self.limiters,
            self.key_leases,
        )

    def _input_handlers(self) -> dict[type, Callable[..., None]]:
        """What handles each type of input; called with the input's fields."""
        return {
            inputs.MessagesReceived: self._on_messages,
            connection_events.ConnectionOpened: self._on_connection_opened,
            connection_events.ConnectionClosed: self._on_connection_closed,
            connection_events.ConnectionRefused: self._tell_owner("connection_refused"),
            connection_events.ConnectionEnded: self._tell_owner("connection_ended"),
            connection_events.WriteBlocked: self._tell_owner("write_blocked"),
            connection_events.WriteResumed: self._tell_owner("write_resumed"),
            inputs.CloseDue: self._tell_owner("close_due"),
            inputs.CloseAttempted: self._tell_owner("close_attempted"),
            inputs.DuplicateReady: self.lifecycle.duplicate_ready,
            inputs.CallNotMade: self.lifecycle.call_not_made,
            inputs.RunNotStarted: self.lifecycle.run_not_started,
            inputs.KeyLeasesRequested: self._on_key_leases_requested,
            inputs.KeyLeaseAnswered: self._on_key_lease_answered,
            inputs.MemberChanged: self.fleet.member_changed,
            inputs.IsolationChanged: self.fleet.isolation_changed,
            inputs.AllocationGranted: self.fleet.allocation_granted,
            inputs.ConsensusChanged: self.fleet.consensus_changed,
            inputs.Start: self._on_start,
            inputs.TimersDue: self._on_timers_due,
            inputs.WallClockRead: self._on_wall_clock_read,
            inputs.LoadMeasured: self._on_load_measured,
            inputs.AddressesChanged: self._on_addresses_changed,
            inputs.ThreadDied: self._on_thread_died,
            inputs.Drain: self._on_drain,
        }

    # ---- In and out

    def reduce(self, now: int, what: inputs.Input) -> list[Effect]:
        """Handles one input, after all timers that are due; returns what is to be carried out, in order."""
        effects = self.turn.begin(now)
        self._handlers[type(what)](*what)
        return effects

    def next_timer(self) -> int | None:
        """When the next timer is due, or None."""
        return self.turn.next_timer()

    def is_busy(self) -> bool:
        """Whether anything is open or owed."""
        return not all(frontend.is_idle() for frontend in self.frontends.values()) or (
            self.lifecycle.any_answer_owed()
        )

    def _on_start(self) -> None:
        self.pool.connect()
        self.registration.report()
        self.turn.schedule_after(self.limits.log_interval, self._log_statistics)

    def _log_statistics(self) -> None:
        self._write_statistics()
        self.turn.schedule_after(self.limits.log_interval, self._log_statistics)

    def _write_statistics(self) -> None:
        line = self.turn.statistics.line()
        if line:
            self.turn.emit(Log(f"{line}; {len(self.lifecycle.running_rpcs())} runs in progress"))

    def before_end(self) -> None:
        """The last lines: what was left out of the log, what was counted, and what is open still."""
        self.turn.fault_log.summarize_all()
        self._write_statistics()
        owed = sum(rpc.answer_owed for rpc in self.lifecycle.rpcs.values())
        connections = 0 if all(frontend.is_idle() for frontend in self.frontends.values()) else 1
        open_connections = "open connections" if connections else "no open connection"
        self.turn.emit(Log(f"end: {owed} answers owed, {open_connections}"))

    def _on_timers_due(self) -> None:
        """Nothing but the timers."""

    def _on_wall_clock_read(self, unix: int) -> None:
        step_us = self.wall_clock.look(self.turn.now, unix)
        if step_us:
            self.turn.log_fault("wall clock", "step", f"stepped by {step_us} us")

    def _on_load_measured(self, busy_us: int, span_us: int) -> None:
        self._input_busy = busy_us / max(1, span_us)

    def _on_addresses_changed(self, addresses: Mapping[str, Address | None]) -> None:
        """What is under way at the old addresses ends there where it can."""
        parts = {"pool": self.pool, "store": self.store, "registry": self.registration}
        changed = [kind for kind, part in parts.items() if addresses[kind] != part.address]
        self.turn.emit(Log(f"configuration: {', '.join(changed) or 'nothing'} readdressed"))
        for kind in changed:
            parts[kind].change_address(addresses[kind])

    def _on_thread_died(self, thread: str) -> None:
        raise RuntimeError(f"thread {thread} died")

    def _on_key_leases_requested(self) -> None:
        self.key_leases.send_requests()

    def _on_key_lease_answered(
        self, key: bytes, outcome: inputs.KeyLeaseOutcome, result: bytes, run_by: int | None
    ) -> None:
        self.key_leases.answered(key, outcome, result, run_by)

    # ---- Connections

    def _on_connection_opened(self, connection: int, frontend: str, host: str | None = None) -> None:
        owner = self.frontends[frontend]
        self.turn.connection_owners[connection] = owner
        self.fleet.connection_opened(connection, host)
        owner.connection_opened(connection)

    def _on_messages(
        self, connection: int, messages: Sequence[Message], received_at: int, not_before: int
    ) -> None:
        self._batch_received_at = received_at
        self._batch_not_before = not_before
        self._longest_wait_us = max(self._longest_wait_us, self.turn.now - received_at)
        owner = self.turn.connection_owners.get(connection)
        if owner:
            for message in messages:
                owner.message_received(connection, message)
            owner.batch_completed(connection)

    def _tell_owner(self, method: str) -> Callable[..., None]:
        """Handles an input of one connection by that method of its owner, while it has one."""
        owners = self.turn.connection_owners

        def handle(connection: int, *fields: object) -> None:
            owner = owners.get(connection)
            if owner:
                getattr(owner, method)(connection, *fields)

        return handle

    def _on_connection_closed(self, connection: int) -> None:
        self.turn.emit(Drop(connection))
        self.fleet.connection_closed(connection)
        owner = self.turn.connection_owners.pop(connection, None)
        if owner:
            owner.connection_closed(connection)

    # ---- What frontends use: see FrontendHost

    @property
    def ready(self) -> bool:
        """Whether RPCs can be accepted: the worker pool was there."""
        return self.control is not None

    @property
    def shed_level(self) -> float | None:
        """The shed level that is published with all answers; None: not known yet."""
        return self.port.shed_level

    def read_arrival(self, stamp: int, late_read_us: int) -> Arrival | None:
        """When an RPC of the batch at hand with that Unix time arrived, see `FrontendHost`."""
        received_at = min(self._batch_received_at, self.turn.now)
        oldest = self.turn.now - late_read_us
        return self.wall_clock.arrival(
            stamp, self._batch_not_before, received_at, oldest, self.limits.max_clock_lead
        )

    def unix_now(self) -> int:
        """The Unix time in microseconds, see `FrontendHost`."""
        return self.wall_clock.to_unix(self.turn.now)

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Takes over an RPC that was read to the end, see `FrontendHost`."""
        self.lifecycle.accept(rpc, attributes)

    def abandon(self, rpc: NodeRpc) -> None:
        """The caller of an accepted RPC has gone."""
        self.lifecycle.abandon(rpc)

    def record_invalid_traffic(self, connection: int) -> None:
        """A message that can't be read came on the connection, or none at all."""
        self.fleet.record_invalid_traffic(connection)

    # ---- What the worker pool tells: see PoolListener

    def worker_pool_up(self, cold: bool) -> None:
        """It is there for the first time: the decision module starts."""
        # The ramp of a cold start counts from the worker pool's: a later start is the slower reckoning.
        self.control = self._make_control(cold)
        self.lifecycle.control = self.control
        self.registration.worker_pool_up()
        self.control.start(self.turn.now)
        if self.registration.drain_notice_at is not None:
            self._drain_control()  # the notice came before the worker pool

    def _make_control(self, cold: bool) -> "NodeController | ShadowController":
        settings = self.settings._replace(fresh_start=cold)
        if not self.shadow:
            return NodeController(self.port, settings, self.seed)
        from finchcart.node.shadow import ShadowController  # not imported where nothing is watched

        watched = self.shadow.settings._replace(fresh_start=cold)
        shadow = self.shadow._replace(settings=watched)
        return ShadowController(self.port, settings, shadow, self.seed, self.port.log)

    def worker_pool_restarted(self, cold: bool) -> None:
        """It has lost its runs: each is answered, none is run again."""
        self.control.worker_pool_restarted(self.turn.now, cold)
        lost = self.lifecycle.running_rpcs()
        self.turn.emit(Log(f"worker pool: restarted, {len(lost)} runs lost"))
        for rpc in lost:
            self.lifecycle.run_lost(rpc)

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """The timer of the decision module is due; `readings`: the worker pool's gauges by name."""
        gauges = Gauges.from_readings(readings)._replace(
            input_age=self._longest_wait_us, input_busy=self._input_busy
        )
        self._longest_wait_us = 0
        gauges = self.fleet.add_gauges(gauges, self.store)
        self.fleet.publish_usage(self.lifecycle.rpcs.values(), self.store)
        self.fleet.publish_evidence(self.control.own_shed_level)
        self.control.on_timer(self.turn.now, gauges)
        self.registration.end_if_idle()

    # ---- Drain and end

    def _on_drain(self, received_at: int | None = None) -> None:
        """Grace and kill count from when the notice came, not from when its turn has come."""
        now = self.turn.now
        if not self.registration.drain(min(received_at or now, now)):
            return
        kill_at = self.registration.kill_at
        for frontend in self.frontends.values():
            frontend.drain(kill_at)
        if self.key_leases:
            self.key_leases.end_by(kill_at - KEY_LEASE_MARGIN_US)
        if self.ready:
            self._drain_control()
        else:
            self.port.set_health(False, True)
            self._end_without_worker_pool()

    def _drain_control(self) -> None:
        self.control.drain(self.registration.drain_notice_at, self.registration.kill_at)

    def announce_close(self) -> None:
        """Every connection is announced to close, see `DrainHost`."""
        for frontend in self.frontends.values():
            frontend.announce_close()

    def close_now(self) -> None:
        """Every connection is closed as soon as nothing is open on it, see `DrainHost`."""
        for frontend in self.frontends.values():
            frontend.close_now()

    def _end_without_worker_pool(self) -> None:
        """What comes is rejected, connections close as they idle, and the end comes as ever."""
        if not self.ready:
            for frontend in self.frontends.values():
                frontend.set_idle_timeout(0)
            self.registration.end_if_idle()
            self.turn.schedule(
                self.turn.now + self.limits.unready_check_interval, self._end_without_worker_pool
            )
