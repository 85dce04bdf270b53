"""The decisions of a node, as its host calls them.

Owns the parts of one node and the time of its last maintenance. It must never decide itself: each call goes
to the modules in the table of finchcart/decisions/__init__.py, in that order.
"""

from finchcart.decisions.admission import Admission
from finchcart.decisions.admission_checks import AdmissionChecks
from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.completion import Completion
from finchcart.decisions.control_loop import ControlLoop
from finchcart.decisions.deadlines import MAINTENANCE_INTERVAL
from finchcart.decisions.duplicates import Duplicates
from finchcart.decisions.expected_wait import WaitForecast
from finchcart.decisions.expiry import Expiry
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.node_state import NodeState
from finchcart.decisions.pausing import Pausing
from finchcart.decisions.port import Port
from finchcart.decisions.rejection import RejectionAdvice
from finchcart.decisions.rpc import COMPLETED, RpcHandle
from finchcart.decisions.rpc_events import RpcEventHandler
from finchcart.decisions.run_starter import RunStarter


class NodeController:
    """The decisions of one node; its port is called inside these calls. Times are whole microseconds."""

    def __init__(self, port: Port, settings: NodeSettings, seed: int) -> None:
        """Begin without an RPC; `seed`: of all that is left to chance."""
        state = NodeState(port, settings)
        pausing = Pausing(port, settings, state)
        wait = WaitForecast(state, pausing)
        completion = Completion(port, state, RejectionAdvice(settings, state))
        starter = RunStarter(port, state, pausing, completion)
        events = RpcEventHandler(port, state, pausing, completion, starter)
        checks = AdmissionChecks(settings, state, seed)
        duplicates = Duplicates(port, state, completion)
        self.state = state
        self.control_loop = ControlLoop(port, settings, state, pausing, wait)
        self._port = port
        self._completion = completion
        self._starter = starter
        self._expiry = Expiry(state, completion)
        self._admission = Admission(settings, state, events, wait, checks, duplicates, completion, starter)
        self._maintained_at = 0

    @property
    def own_shed_level(self) -> float:
        """The shed level that this node alone would publish."""
        return self.control_loop.feedback.own_level

    def start(self, now: int) -> None:
        """Begin to serve."""
        self._maintained_at = now
        self.state.warm_up.begin(now)
        self.state.calls.start(now)
        self._port.set_health(True, True)
        self.control_loop.idle_timeout.start()
        self._port.set_timer(MAINTENANCE_INTERVAL)

    def admit(self, now: int, index: int, arrival: RpcArrival) -> RpcHandle:
        """Decide on an RPC that was read: return its handle, on which the host reports what happens to it."""
        return self._admission.admit(now, index, arrival)

    def on_timer(self, now: int, gauges: Gauges) -> None:
        """Take the gauges over, respond to what is overdue, and turn the control loop once."""
        state = self.state
        elapsed = now - self._maintained_at
        self._maintained_at = now
        state.deadlines.record_timer(elapsed)
        state.gauges.update(gauges, state.runs.on_cores, state.runs.cores)
        state.callers.forget_unseen(now)
        for rpc in state.keys.expire(now):
            if rpc.state is COMPLETED:
                self._completion.release(rpc)
        state.runs.clear_pausing()
        self._expiry.expire_overdue(now)
        state.slowdown.update(elapsed)
        state.arrivals.fade()
        self.control_loop.turn(now)
        state.calls.make_calls(now)
        self._starter.start_queued(now)
        self._port.set_timer(MAINTENANCE_INTERVAL)

    def drain(self, now: int, termination_deadline: int) -> None:
        """Begin the graceful shutdown: serve through the grace period, respond to all before the deadline."""
        self.state.shutdown.begin(now, termination_deadline)

    def worker_pool_restarted(self, now: int, cold: bool) -> None:
        """Count a new warm-up of what runs the RPCs; the ends of its runs are reported one by one."""
        self.state.warm_up.restart(now, cold)
