"""State of one node, as a set of components.

Each component's module describes the component's state and its invariant.
"""

from finchcart.decisions.arrival_statistics import ArrivalStatistics
from finchcart.decisions.caller_reuse import CallerReuse
from finchcart.decisions.concurrency import ConcurrencyLimit
from finchcart.decisions.deadlines import ResponseDeadlines
from finchcart.decisions.dependency_calls import DependencyCalls
from finchcart.decisions.gauges import LatestGauges
from finchcart.decisions.graceful_shutdown import GracefulShutdown
from finchcart.decisions.idempotency_keys import IdempotencyKeys
from finchcart.decisions.memory import MemoryAccount
from finchcart.decisions.method import MethodSet
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.port import Port
from finchcart.decisions.rpc_table import RpcTable
from finchcart.decisions.run_queue import RunQueue
from finchcart.decisions.runs import RunCounts
from finchcart.decisions.slowdown import Slowdown
from finchcart.decisions.warm_up import WarmUp


class NodeState:
    """Components that hold the state of a node."""

    def __init__(self, port: Port, settings: NodeSettings) -> None:
        """Begin without RPCs."""
        # Methods, callers and arrivals
        self.methods = MethodSet(settings)
        self.warm_up = WarmUp(settings)
        self.callers = CallerReuse(self.warm_up)
        self.arrivals = ArrivalStatistics()
        # RPCs and their resources
        self.table = RpcTable()
        self.memory = MemoryAccount(settings.memory_kb)
        self.keys = IdempotencyKeys(settings, port, self.memory)
        self.queue = RunQueue()
        self.runs = RunCounts(settings.cores)
        # Measurements, and the limits derived from them
        self.gauges = LatestGauges()
        self.slowdown = Slowdown(self.methods.all, self.runs)
        self.concurrency = ConcurrencyLimit(settings, self.warm_up, self.runs, self.queue, self.gauges)
        self.shutdown = GracefulShutdown(settings, port, self.runs, self.queue)
        self.deadlines = ResponseDeadlines(settings, self.shutdown, self.slowdown)
        self.calls = DependencyCalls(
            settings,
            port,
            self.runs,
            self.gauges,
            self.slowdown,
            self.deadlines,
            self.methods.shortest_objective,
        )
