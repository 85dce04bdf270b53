"""The core of a node: constructs the node's components and dispatches each input to its handler.

The core is a state machine: `reduce(now, received)` processes one input and returns the effects that the host
has to carry out, in order. The core must never do I/O, take a lock, read a clock, depend on a frontend's
protocol or decide about an RPC: the decision module (finchcart/decisions/controller.py) decides, and acts
through the port.

An RPC passes through these modules, in this order: connection_dispatch.py, frontend.py, rpc_admission.py,
controller_host.py (which calls the decision module), rpc_lifecycle.py, port.py (the actions that the decision
module can request), worker_pool/, store.py. fleet.py holds the state of the fleet; shutdown.py and drain.py
end the node; inputs.py and effects.py define the inputs and effects.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from finchcart.decisions.node_settings import NodeSettings
from finchcart.limits import Limits
from finchcart.node import inputs
from finchcart.node.addresses import NodeAddresses
from finchcart.node.arrivals import ArrivalClock
from finchcart.node.connection_dispatch import ConnectionDispatcher
from finchcart.node.controller_host import ControllerHost
from finchcart.node.controller_interface import Controller
from finchcart.node.drain import NodeDrain
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Effect, Log
from finchcart.node.fleet import FleetView
from finchcart.node.frontend import Frontend, FrontendHost
from finchcart.node.idempotency import IdempotencyCache
from finchcart.node.input_load import InputLoad
from finchcart.node.methods import MethodInfo, read_methods
from finchcart.node.port import CorePort
from finchcart.node.registration import Registration
from finchcart.node.rpc import NodeRpc, RpcAttributes
from finchcart.node.rpc_admission import RpcAdmission
from finchcart.node.rpc_lifecycle import RpcLifecycle
from finchcart.node.shutdown import ShutdownSchedule
from finchcart.node.statistics_log import StatisticsLog
from finchcart.node.store import StoreClient
from finchcart.node.supported_settings import ShadowSettings, supported_settings
from finchcart.node.wall_clock import Arrival
from finchcart.node.worker_pool.client import WorkerPoolClient
from finchcart.protocol import connection_events

if TYPE_CHECKING:  # at run time, these modules are imported only if they are configured
    from finchcart.node.key_leases import KeyLeaseGate
    from finchcart.node.limiter_set import LimiterSet
    from finchcart.node.observer import NodeObserver

InputHandlers = dict[type[inputs.Input], Callable[..., None]]


class Core:
    """The state of one node; implements `FrontendHost` for the frontends. Times are whole microseconds.

    Arguments:
        settings: the settings of the methods and of the decision module, see decisions/node_settings.py.
        limits: the sizes and durations by which the node bounds itself.
        seed: the seed of the decision module's random numbers.
        name: the name under which the node registers at the registry.
        addresses: the addresses of worker pool, store and registry.
        make_frontends: constructs the frontends for a host and returns them by name.
        shadow: the settings of the shadow decision module, see shadow.py; None if there is none.
        limiters: the limiters for the fleet's limits; None if the fleet has no limits.
        observer: collects observations for the fleet's consensus; None if there is no consensus.
        make_key_leases: constructs the component that acquires key leases; None if runs need no lease.
    """

    def __init__(
        self,
        settings: NodeSettings,
        limits: Limits,
        seed: int,
        name: str,
        addresses: NodeAddresses,
        make_frontends: Callable[[FrontendHost], Mapping[str, Frontend]],
        shadow: ShadowSettings | None = None,
        limiters: "LimiterSet | None" = None,
        observer: "NodeObserver | None" = None,
        make_key_leases: "Callable[[EffectBuffer], KeyLeaseGate] | None" = None,
    ) -> None:
        settings = supported_settings(settings)
        self.effect_buffer = EffectBuffer(limits.log_interval_us)
        self.methods: Mapping[str, MethodInfo] = read_methods(settings, limits.late_read_grace_us)
        self.limiters = limiters
        self.key_leases = make_key_leases(self.effect_buffer) if make_key_leases else None
        self.fleet = FleetView(self.effect_buffer, self.methods, limiters, observer)
        self.registration = Registration(self.effect_buffer, limits, name, addresses.registry)
        self._load = InputLoad()
        self._arrivals = ArrivalClock(self.effect_buffer, limits.max_clock_lead_us)
        self._make_rpc_parts(limits)
        self._make_shutdown(limits, settings.drain_grace_us)
        self._controllers = self._make_controller_host(settings, seed, shadow)
        self._make_clients(settings, limits, addresses)
        self.frontends = make_frontends(self)
        self.port = self._make_port()
        self._connect_parts()
        self._connections = ConnectionDispatcher(
            self.effect_buffer, self.frontends, self.fleet, self._arrivals, self._load
        )
        self._handlers = self._input_handlers()

    def _make_rpc_parts(self, limits: Limits) -> None:
        late_read_us = max((method.late_read_us for method in self.methods.values()), default=0)
        self.idempotency = IdempotencyCache(self.effect_buffer, late_read_us, limits.cached_results_bytes)
        self.lifecycle = RpcLifecycle(
            self.effect_buffer, self.methods, self.idempotency, self.fleet, self.key_leases
        )
        self.admission = RpcAdmission(
            self.effect_buffer, self.methods, self.idempotency, self.fleet, self.lifecycle, self.key_leases
        )

    def _make_shutdown(self, limits: Limits, drain_grace_us: int) -> None:
        self._statistics_log = StatisticsLog(self.effect_buffer, self.lifecycle, limits.log_interval_us)
        self._drain = NodeDrain(
            self.effect_buffer, limits, self.lifecycle, self._statistics_log, self.key_leases
        )
        self.shutdown = ShutdownSchedule(self.effect_buffer, limits, drain_grace_us, self._drain)

    def _make_controller_host(
        self, settings: NodeSettings, seed: int, shadow: ShadowSettings | None
    ) -> ControllerHost:
        return ControllerHost(
            self.effect_buffer,
            settings,
            seed,
            shadow,
            self.admission,
            self.fleet,
            self._load,
            self.shutdown,
        )

    def _make_clients(self, settings: NodeSettings, limits: Limits, addresses: NodeAddresses) -> None:
        self.pool = WorkerPoolClient(
            self.effect_buffer, limits, addresses.pool, settings.gauges, self.lifecycle, self._controllers
        )
        linger_us = (settings.calls_linger_us or 0) if self.limiters else 0
        self.store = StoreClient(
            self.effect_buffer, limits, addresses.store, self.lifecycle.call_ended, linger_us
        )

    def _make_port(self) -> CorePort:
        return CorePort(
            self.effect_buffer,
            self.lifecycle,
            self.pool,
            self.store,
            self.registration,
            self.frontends,
            self.limiters,
            self.key_leases,
        )

    def _connect_parts(self) -> None:
        """Pass each component the components that were constructed after it."""
        self.lifecycle.connect(self.pool, self.store)
        self._controllers.connect(self.lifecycle, self.port, self.store)
        self._drain.connect(self._controllers, self.shutdown, self.frontends, self.port)

    def _input_handlers(self) -> InputHandlers:
        """Return the handler for each type of input; a handler's arguments are the input's fields."""
        connections = self._connections
        handlers: InputHandlers = {
            inputs.MessagesReceived: connections.on_messages,
            connection_events.ConnectionOpened: connections.on_opened,
            connection_events.ConnectionClosed: connections.on_closed,
            connection_events.ConnectionRefused: connections.on_refused,
            connection_events.ConnectionEnded: connections.on_ended,
            connection_events.WriteBlocked: connections.on_write_blocked,
            connection_events.WriteResumed: connections.on_write_resumed,
            inputs.CloseDue: connections.on_close_due,
            inputs.CloseAttempted: connections.on_close_attempted,
            inputs.DuplicateReady: self.lifecycle.duplicate_ready,
            inputs.CallNotMade: self.lifecycle.call_not_made,
            inputs.RunNotStarted: self.lifecycle.run_not_started,
            inputs.FleetMemberChanged: self.fleet.member_changed,
            inputs.FleetIsolationChanged: self.fleet.isolation_changed,
            inputs.AllocationGranted: self.fleet.allocation_granted,
            inputs.ConsensusChanged: self.fleet.consensus_changed,
            inputs.Start: self._on_start,
            inputs.TimersDue: self._on_timers_due,
            inputs.WallClockRead: self._arrivals.on_wall_clock_read,
            inputs.LoadMeasured: self._load.on_load_measured,
            inputs.AddressesChanged: self._on_addresses_changed,
            inputs.ThreadDied: self._on_thread_died,
            inputs.Drain: self._drain.on_drain,
        }
        if self.key_leases:
            handlers[inputs.KeyLeasesRequested] = self.key_leases.send_requests
            handlers[inputs.KeyLeaseAnswered] = self.key_leases.answered
        return handlers

    # ---- Inputs and timers

    def reduce(self, now: int, received: inputs.Input) -> list[Effect]:
        """Run the timers that are due, then handle one input; return the effects in order."""
        effects = self.effect_buffer.begin(now)
        self._handlers[type(received)](*received)
        return effects

    def next_timer(self) -> int | None:
        """Return when the next timer is due, or None if no timer is set."""
        return self.effect_buffer.next_timer()

    @property
    def controller(self) -> Controller | None:
        """The decision module; None until the worker pool is first connected."""
        return self._controllers.controller

    def _on_start(self) -> None:
        self.pool.connect()
        self.registration.report()
        self._statistics_log.start()

    def _on_timers_due(self) -> None:
        """Do nothing: `reduce` has already run the timers that were due."""

    def _on_addresses_changed(self, addresses: NodeAddresses) -> None:
        """Switch to new addresses; work in progress at an old address completes there if it can."""
        pool_changed = addresses.pool != self.pool.address
        store_changed = addresses.store != self.store.address
        registry_changed = addresses.registry != self.registration.address
        changes = {"pool": pool_changed, "store": store_changed, "registry": registry_changed}
        names = ", ".join(name for name, is_changed in changes.items() if is_changed)
        self.effect_buffer.emit(Log(f"configuration reloaded, addresses changed: {names or 'nothing'}"))
        if pool_changed:
            self.pool.change_address(addresses.pool)
        if store_changed:
            self.store.change_address(addresses.store)
        if registry_changed:
            self.registration.change_address(addresses.registry)

    def _on_thread_died(self, thread: str) -> None:
        raise RuntimeError(f"thread {thread} ended with an exception")

    # ---- The interface for frontends: see FrontendHost

    @property
    def ready(self) -> bool:
        """Whether RPCs can be accepted: true once the worker pool was first connected."""
        return self._controllers.controller is not None

    @property
    def shed_level(self) -> float | None:
        """The shed level that is published with all answers, or None until it is known."""
        return self.port.shed_level

    def read_arrival(self, timestamp: int, late_read_us: int) -> Arrival | None:
        """Return the time of arrival for an RPC's timestamp, or None if it is invalid; see `FrontendHost`."""
        return self._arrivals.read_arrival(timestamp, late_read_us)

    def unix_now(self) -> int:
        """Return the Unix time in microseconds, for messages and log lines."""
        return self._arrivals.unix_now()

    def accept(self, rpc: NodeRpc, attributes: RpcAttributes) -> None:
        """Take over an RPC that was read completely, see `FrontendHost`."""
        self.admission.accept(rpc, attributes)

    def abandon(self, rpc: NodeRpc) -> None:
        """Handle the disconnect of an accepted RPC's caller."""
        self.lifecycle.abandon(rpc)

    def record_invalid_traffic(self, connection: int) -> None:
        """Record an undecodable message, or a connection that sent no message at all."""
        self.fleet.record_invalid_traffic(connection)
