"""The graceful shutdown: from the notice over the grace period to the termination deadline.

Owns these times. Until the grace period ends the node serves as ever, but reports itself unhealthy; what
arrives later is rejected (admission.py), and what still runs is failed before the termination deadline
(expiry.py). See "Goodbye to connections: kept and changed" in docs/design.md.
"""

from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcHandle
from finchcart.decisions.run_queue import RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.units import MS

DRAINING_IDLE_TIMEOUT = 10 * MS  # of connections, once the grace period is over
RUN_FACTOR_AFTER_GRACE = 2  # a run may last so many times its method's usual run duration after the grace
USUAL_RUN_QUANTILE = 0.9  # of its method's run durations: the usual one


class GracefulShutdown:
    """The shutdown of this node. Times are microseconds.

    Invariant: `grace_end` and `termination_deadline` are both None before the notice and both set after it;
    the deadline only moves to earlier times; `is_past_grace` is set once, after the notice.
    """

    def __init__(self, settings: NodeSettings, port: Port, runs: RunCounts, queue: RunQueue) -> None:
        """No notice was given."""
        self._port = port
        self._runs = runs
        self._queue = queue
        self._grace_period = settings.drain_grace_us
        self.grace_end: int | None = None
        self.termination_deadline: int | None = None
        self.is_past_grace = False

    def begin(self, now: int, termination_deadline: int) -> None:
        """Act on a notice, and report the node unhealthy; a further notice may only bring the end nearer."""
        if self.termination_deadline is None:
            self.grace_end = now + self._grace_period
            self._port.set_health(False, True)
        self.termination_deadline = min(
            termination_deadline, self.termination_deadline or termination_deadline
        )
        self._port.log(f"drain: {self._in_hand()}, kill in {self.termination_deadline - now} us")

    def end_grace(self, now: int) -> None:
        """End the grace period where it is over: idle connections are closed."""
        if self.grace_end is None or self.is_past_grace or now < self.grace_end:
            return
        self.is_past_grace = True
        self._port.set_idle_timeout(DRAINING_IDLE_TIMEOUT)
        self._port.log(f"drain: grace over, {self._in_hand()}")

    def arrived_after_grace(self, rpc: RpcHandle) -> bool:
        """Return whether an RPC reached the machine after the grace period."""
        return self.grace_end is not None and rpc.reached_at > self.grace_end

    def outlives_grace(self, now: int, rpc: RpcHandle) -> bool:
        """Return whether an RPC takes too long for a node past its grace period."""
        if self.grace_end is None or not self.is_past_grace:
            return False
        began = max(self.grace_end, rpc.started_at)
        usual = rpc.method.estimates.run_duration.quantile(USUAL_RUN_QUANTILE)
        return now > began + RUN_FACTOR_AFTER_GRACE * usual

    def _in_hand(self) -> str:
        return f"{self._runs.in_progress} running {len(self._queue.entries)} queued"
