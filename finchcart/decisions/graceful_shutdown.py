"""Graceful shutdown: the drain notice, the grace period, and the termination deadline.

Until the grace period ends, the node reports itself unhealthy but serves all RPCs. RPCs that arrive later are
rejected (admission_checks.py), and those still running are failed before the termination deadline
(expiry.py). See "Goodbye to connections: kept and changed" in docs/design.md.
"""

from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.run_queue import RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.units import MS

DRAINING_IDLE_TIMEOUT = 10 * MS  # idle timeout of connections after the grace period
RUN_FACTOR_AFTER_GRACE = 2  # after the grace period, a run may take this many times its usual duration
USUAL_RUN_QUANTILE = 0.9  # the usual duration is this quantile of the method's run durations


class GracefulShutdown:
    """Shutdown of this node. Times are microseconds.

    Invariant: `grace_end` and `termination_deadline` are None before the drain notice and set after it. The
    deadline only moves to earlier times. `is_past_grace` is set once, after the notice.
    """

    def __init__(self, settings: NodeSettings, port: Port, runs: RunCounts, queue: RunQueue) -> None:
        """Begin without a drain notice."""
        self._port = port
        self._runs = runs
        self._queue = queue
        self._grace_period = settings.drain_grace_us
        self.grace_end: int | None = None
        self.termination_deadline: int | None = None
        self.is_past_grace = False

    def begin(self, now: int, termination_deadline: int) -> None:
        """Handle a drain notice: report the node unhealthy and set the termination deadline.

        A further notice can only move the termination deadline to an earlier time.
        """
        if self.termination_deadline is None:
            self.grace_end = now + self._grace_period
            self._port.set_health(False, True)
        self.termination_deadline = min(
            termination_deadline, self.termination_deadline or termination_deadline
        )
        self._port.log(
            f"drain: notice received, {self._load_summary()}, "
            f"termination deadline in {self.termination_deadline - now} us"
        )

    def end_grace(self, now: int) -> None:
        """End the grace period if it is over, and have idle connections closed from then on."""
        if self.grace_end is None or self.is_past_grace or now < self.grace_end:
            return
        self.is_past_grace = True
        self._port.set_idle_timeout(DRAINING_IDLE_TIMEOUT)
        self._port.log(f"drain: grace period ended, {self._load_summary()}")

    def arrived_after_grace(self, rpc: RpcHandle) -> bool:
        """Return whether an RPC reached the machine after the grace period."""
        return self.grace_end is not None and rpc.reached_at > self.grace_end

    def outlives_grace(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether an RPC's run has exceeded the time that a run may take after the grace period."""
        if self.grace_end is None or not self.is_past_grace:
            return False
        began = max(self.grace_end, rpc.started_at)
        usual = rpc.method.estimates.run_duration.quantile(USUAL_RUN_QUANTILE)
        return now > began + RUN_FACTOR_AFTER_GRACE * usual

    def _load_summary(self) -> str:
        return f"{self._runs.in_progress} runs in progress, {len(self._queue.entries)} RPCs queued"
