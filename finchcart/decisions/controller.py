"""Interface of the decision module that the host of a node calls.

The controller creates the components of one node and keeps the time of the last maintenance. It makes no
decision itself: it passes each call to the modules that the table in finchcart/decisions/__init__.py lists,
in the order given there.
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
    """Decision module of one node.

    The methods call the port before they return. Times are whole microseconds.
    """

    def __init__(self, port: Port, settings: NodeSettings, seed: int) -> None:
        """Create a node without RPCs; `seed` initializes the random number generator."""
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
        """Shed level that follows from this node's load alone, without the fleet's minimum."""
        return self.control_loop.feedback.own_level

    def start(self, now: int) -> None:
        """Start to serve: report the node healthy and set the first timer."""
        self._maintained_at = now
        self.state.warm_up.begin(now)
        self.state.calls.start(now)
        self._port.set_health(True, True)
        self.control_loop.idle_timeout.start()
        self._port.set_timer(MAINTENANCE_INTERVAL)

    def admit(self, now: int, index: int, arrival: RpcArrival) -> RpcHandle:
        """Decide on an RPC that was read, and return the handle on which the host reports its events."""
        return self._admission.admit(now, index, arrival)

    def on_timer(self, now: int, gauges: Gauges) -> None:
        """Do the periodic maintenance.

        Store the gauges, respond to overdue RPCs, run one iteration of the control loop, and start the calls
        and runs that are now allowed.
        """
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
        state.arrivals.decay()
        self.control_loop.run_once(now)
        state.calls.make_calls(now)
        self._starter.start_queued(now)
        self._port.set_timer(MAINTENANCE_INTERVAL)

    def drain(self, now: int, termination_deadline: int) -> None:
        """Begin the graceful shutdown.

        The node serves until the grace period ends, and responds to every RPC before the termination
        deadline.
        """
        self.state.shutdown.begin(now, termination_deadline)

    def worker_pool_restarted(self, now: int, cold: bool) -> None:
        """Begin a new warm-up after a restart of the worker pool.

        The host reports the end of each run that the restart interrupted on the handle of its RPC.
        """
        self.state.warm_up.restart(now, cold)
