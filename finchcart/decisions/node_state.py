"""The state of one node, by the parts that own it.

Owns the parts, and no field besides: each part's module says what it owns and what always holds of it.
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
    """The parts that own the state of a node."""

    def __init__(self, port: Port, settings: NodeSettings) -> None:
        """Begin without an RPC."""
        # What is known of methods and callers
        self.methods = MethodSet(settings)
        self.warm_up = WarmUp(settings)
        self.callers = CallerReuse(self.warm_up)
        self.arrivals = ArrivalStatistics()
        # RPCs and what they hold
        self.table = RpcTable()
        self.memory = MemoryAccount(settings.memory_kb)
        self.keys = IdempotencyKeys(settings, port, self.memory)
        self.queue = RunQueue()
        self.runs = RunCounts(settings.cores)
        # What is measured, and the limits that follow
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
