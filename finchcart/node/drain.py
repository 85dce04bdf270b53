"""Carries out a drain: notifies the frontends, the key leases and the decision module, in this order.

This module must never choose the time of a step: shutdown.py does.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from finchcart.limits import Limits
from finchcart.node.controller_host import ControllerHost
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Log
from finchcart.node.frontend import Frontend
from finchcart.node.port import CorePort
from finchcart.node.rpc_admission import KEY_LEASE_MARGIN_US
from finchcart.node.rpc_lifecycle import RpcLifecycle
from finchcart.node.shutdown import ShutdownSchedule
from finchcart.node.statistics_log import StatisticsLog

if TYPE_CHECKING:  # at run time, this module is imported only if key leases are configured
    from finchcart.node.key_leases import KeyLeaseGate


class NodeDrain:
    """The steps of a drain; implements `ShutdownHost`.

    `NodeDrain` uses one timer, and only while the worker pool was never connected.
    """

    controllers: ControllerHost  # `connect` sets this attribute and the three below
    shutdown: ShutdownSchedule
    frontends: Mapping[str, Frontend]
    port: CorePort

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        lifecycle: RpcLifecycle,
        statistics_log: StatisticsLog,
        key_leases: "KeyLeaseGate | None",
    ) -> None:
        self.effect_buffer = effect_buffer
        self._check_interval_us = limits.unready_check_interval_us
        self._lifecycle = lifecycle
        self._statistics_log = statistics_log
        self._key_leases = key_leases

    def connect(
        self,
        controllers: ControllerHost,
        shutdown: ShutdownSchedule,
        frontends: Mapping[str, Frontend],
        port: CorePort,
    ) -> None:
        """Set the components that a drain acts on; called once, before the first input."""
        self.controllers = controllers
        self.shutdown = shutdown
        self.frontends = frontends
        self.port = port

    def on_drain(self, received_at: int | None = None) -> None:
        """Begin the drain; grace period and kill time count from `received_at`, not from now."""
        now = self.effect_buffer.now
        times = self.shutdown.drain(min(received_at or now, now))
        if times is None:
            return
        for frontend in self.frontends.values():
            frontend.drain(times.kill_at)
        if self._key_leases:
            self._key_leases.resolve_all_by(times.kill_at - KEY_LEASE_MARGIN_US)
        if self.controllers.controller is not None:
            self.controllers.drain()
        else:
            self.port.set_health(False, True)
            self._end_without_worker_pool()

    def is_busy(self) -> bool:
        """Return whether a connection would be cut by the end of the node, or a response is pending."""
        return not self._is_idle() or self._lifecycle.any_response_pending()

    def announce_close(self) -> None:
        """Announce the close to all open connections."""
        for frontend in self.frontends.values():
            frontend.announce_close()

    def announce_close_of_new(self) -> None:
        """Announce the close to all open connections, and from now on to each new one."""
        for frontend in self.frontends.values():
            frontend.announce_close_of_new()

    def close_now(self) -> None:
        """Close each connection as soon as no RPC is open on it."""
        for frontend in self.frontends.values():
            frontend.close_now()

    def before_end(self) -> None:
        """Log the suppressed faults, the statistics, and the number of responses that are still pending."""
        self.effect_buffer.fault_log.summarize_all()
        self._statistics_log.write()
        pending = sum(rpc.response_pending for rpc in self._lifecycle.rpcs.values())
        connections = "no open connection" if self._is_idle() else "open connections"
        self.effect_buffer.emit(Log(f"node ends: {pending} responses pending, {connections}"))

    def _is_idle(self) -> bool:
        return all(frontend.is_idle() for frontend in self.frontends.values())

    def _end_without_worker_pool(self) -> None:
        """Close idle connections, and end the node once the grace period is over and it is idle."""
        if self.controllers.controller is not None:
            return
        for frontend in self.frontends.values():
            frontend.set_idle_timeout(0)
        self.shutdown.end_if_idle()
        self.effect_buffer.schedule_after(self._check_interval_us, self._end_without_worker_pool)
