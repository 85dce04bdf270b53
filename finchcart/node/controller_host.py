"""The node's decision module: when it starts, and what it is called with.

Owns the one `Controller`, which is made at the worker pool's first contact. It must never decide about an
RPC, nor start the decision module twice.
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
    """Makes the decision module and calls it; see `PoolListener`. Times are whole microseconds."""

    lifecycle: RpcLifecycle  # set by `connect`, as the two below
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
        self.controller: Controller | None = None  # from the worker pool's first contact on
        self._settings = settings
        self._seed = seed
        self._shadow = shadow
        self._admission = admission
        self._fleet = fleet
        self._load = load
        self._shutdown = shutdown

    def connect(self, lifecycle: RpcLifecycle, port: CorePort, store: StoreClient) -> None:
        """Set what the decision module acts on: called once, before the first input."""
        self.lifecycle = lifecycle
        self.port = port
        self.store = store

    # ---- What the worker pool reports: see PoolListener

    def worker_pool_ready(self, cold: bool) -> None:
        """Start the decision module: RPCs are accepted from now on."""
        # The slow start after a cold start counts from here: of the two starts the later one.
        controller = self._make_controller(cold)
        self.controller = controller
        self._admission.start(controller)
        self._shutdown.worker_pool_ready()
        controller.start(self.effect_buffer.now)
        self.drain()  # the notice may have come before the worker pool

    def worker_pool_restarted(self, cold: bool) -> None:
        """Answer all runs, as they are lost; none is run again."""
        if self.controller is None:
            return
        self.controller.worker_pool_restarted(self.effect_buffer.now, cold)
        lost = self.lifecycle.running_rpcs()
        self.effect_buffer.emit(Log(f"worker pool: restarted, {len(lost)} runs lost"))
        for rpc in lost:
            self.lifecycle.run_lost(rpc)

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """Call the decision module's timer with the worker pool's gauges, given by name."""
        if self.controller is None:
            return
        gauges = self._load.add_gauges(Gauges.from_readings(readings))
        gauges = self._fleet.add_gauges(gauges, self.store)
        self._fleet.publish_usage(self.lifecycle.rpcs.values(), self.store)
        self._fleet.publish_evidence(self.controller.own_shed_level)
        self.controller.on_timer(self.effect_buffer.now, gauges)
        self._shutdown.end_if_idle()

    def drain(self) -> None:
        """Begin the decision module's graceful shutdown, where the notice has come and it has started."""
        times = self._shutdown.times
        if self.controller is not None and times is not None:
            self.controller.drain(times.notice_at, times.kill_at)

    def _make_controller(self, cold: bool) -> Controller:
        settings = self._settings._replace(fresh_start=cold)
        if not self._shadow:
            return NodeController(self.port, settings, self._seed)
        from finchcart.node.shadow import ShadowController  # not imported where nothing is watched

        watched = self._shadow.settings._replace(fresh_start=cold)
        shadow = self._shadow._replace(settings=watched)
        return ShadowController(self.port, settings, shadow, self._seed, self.port.log)
