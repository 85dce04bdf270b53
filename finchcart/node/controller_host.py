"""Starts the node's decision module when the worker pool is ready, and passes the pool's events to it.

`ControllerHost` owns the only `Controller`, which is constructed when the worker pool is first connected. It
must never decide about an RPC, nor start the decision module twice.
"""

from collections.abc import Mapping

from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.node.controller_interface import Controller
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Log
from finchcart.node.fleet import FleetView
from finchcart.node.input_load import InputLoad
from finchcart.node.port import CorePort
from finchcart.node.rpc_admission import RpcAdmission
from finchcart.node.rpc_lifecycle import RpcLifecycle
from finchcart.node.shutdown import ShutdownSchedule
from finchcart.node.store import StoreClient
from finchcart.node.supported_settings import ShadowSettings


class ControllerHost:
    """Owner of the decision module; implements `PoolListener`. Times are whole microseconds."""

    lifecycle: RpcLifecycle  # `connect` sets this attribute and the two below
    port: CorePort
    store: StoreClient

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        settings: NodeSettings,
        seed: int,
        shadow: ShadowSettings | None,
        admission: RpcAdmission,
        fleet: FleetView,
        load: InputLoad,
        shutdown: ShutdownSchedule,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.controller: Controller | None = None  # None until the worker pool is first connected
        self._settings = settings
        self._seed = seed
        self._shadow = shadow
        self._admission = admission
        self._fleet = fleet
        self._load = load
        self._shutdown = shutdown

    def connect(self, lifecycle: RpcLifecycle, port: CorePort, store: StoreClient) -> None:
        """Set the components that the decision module acts on; called once, before the first input."""
        self.lifecycle = lifecycle
        self.port = port
        self.store = store

    # ---- Events of the worker pool: the implementation of PoolListener

    def worker_pool_ready(self, cold: bool) -> None:
        """Start the decision module; RPCs are accepted from now on."""
        # The warm-up after a cold start begins once both the worker pool and the node have started.
        controller = self._make_controller(cold)
        self.controller = controller
        self._admission.start(controller)
        self._shutdown.worker_pool_ready()
        controller.start(self.effect_buffer.now)
        self.drain()  # the termination notice may have come before the worker pool was connected

    def worker_pool_restarted(self, cold: bool) -> None:
        """Handle a restart of the worker pool: all runs are lost and answered, and none is started again."""
        if self.controller is None:
            return
        self.controller.worker_pool_restarted(self.effect_buffer.now, cold)
        lost = self.lifecycle.running_rpcs()
        self.effect_buffer.emit(Log(f"worker pool: restarted, {len(lost)} runs lost"))
        for rpc in lost:
            self.lifecycle.run_lost(rpc)

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """Publish to the fleet and call the decision module's timer; `readings` are gauges by name."""
        if self.controller is None:
            return
        gauges = self._load.add_gauges(Gauges.from_readings(readings))
        gauges = self._fleet.add_gauges(gauges, self.store)
        self._fleet.publish_usage(self.lifecycle.rpcs.values(), self.store)
        self._fleet.publish_evidence(self.controller.own_shed_level)
        self.controller.on_timer(self.effect_buffer.now, gauges)
        self._shutdown.end_if_idle()

    def drain(self) -> None:
        """Begin the decision module's graceful shutdown if a drain has begun and the module has started."""
        times = self._shutdown.times
        if self.controller is not None and times is not None:
            self.controller.drain(times.notice_at, times.kill_at)

    def _make_controller(self, cold: bool) -> Controller:
        settings = self._settings._replace(fresh_start=cold)
        if not self._shadow:
            return NodeController(self.port, settings, self._seed)
        from finchcart.node.shadow import ShadowController  # imported only in watch mode

        watched = self._shadow.settings._replace(fresh_start=cold)
        shadow = self._shadow._replace(settings=watched)
        return ShadowController(self.port, settings, shadow, self._seed, self.port.log)
