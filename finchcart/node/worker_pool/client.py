"""The client of the worker pool, which combines the connection, the commands, the notices and the gauges.

`WorkerPoolClient` owns the order in which these parts handle a message. It must never decide about an RPC,
and it must never mistake a restarted worker pool for the previous process.
"""

from collections.abc import Callable, Sequence

from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Log, Read
from finchcart.node.rpc import NodeRpc
from finchcart.node.worker_pool.command_journal import CommandJournal
from finchcart.node.worker_pool.connection import ConnectionState, PoolConnection
from finchcart.node.worker_pool.gauge_polls import GaugePolls
from finchcart.node.worker_pool.listeners import PARTY, PoolListener, RunListener
from finchcart.node.worker_pool.notice_cursor import NoticeCursor
from finchcart.node.worker_pool.notices import NoticeHandler
from finchcart.node.worker_pool.restart_detector import PoolContact, RestartDetector
from finchcart.protocol import worker_pool_codec
from finchcart.protocol.messages import (
    CommandRejected,
    GaugesRead,
    InformationalNotice,
    RunAwaitingCall,
    RunEndedNotice,
    Subscribed,
    UnknownNotice,
    WorkerPoolMessage,
)


class WorkerPoolClient:
    """The client of the one worker pool of a node. Times are whole microseconds."""

    def __init__(
        self,
        effect_buffer: EffectBuffer,
        limits: Limits,
        address: tuple[str, int],
        gauge_names: Sequence[str],
        runs: RunListener,
        listener: PoolListener,
    ) -> None:
        self.effect_buffer = effect_buffer
        self.listener = listener
        self.cursor = NoticeCursor()
        self.connection = PoolConnection(effect_buffer, limits, address, self.cursor, self)
        self.polls = GaugePolls(effect_buffer, limits, gauge_names, self.connection, listener)
        self.commands = CommandJournal(effect_buffer, self.connection, self.polls, runs)
        self.notices = NoticeHandler(effect_buffer, self.cursor, self.commands, runs)
        self._restarts = RestartDetector(limits.pool_start_tolerance_us)
        self._handlers: dict[type[WorkerPoolMessage], Callable[..., None]] = {
            RunEndedNotice: self.notices.run_ended,
            RunAwaitingCall: self.notices.awaiting_call,
            CommandRejected: self.notices.command_rejected,
            InformationalNotice: self.notices.informational,
            GaugesRead: self._on_gauges,
            Subscribed: self._on_subscribed,
            UnknownNotice: self._on_unknown,
        }

    # ---- Commands

    def run(self, rpc: NodeRpc, idempotent: bool) -> None:
        """Start the run of an RPC; the run of an RPC that is not idempotent is never started twice."""
        data = worker_pool_codec.encode_start(rpc.name, rpc.method, rpc.body)
        self.commands.send(rpc, data, data if idempotent else None, is_start=True)

    def reply(self, rpc: NodeRpc, cursor: int, body: bytes, can_degrade: bool) -> None:
        """Send a run the reply to the call that the run awaits.

        A reply that may have been lost is never sent again. If `can_degrade` is true, the run is then told to
        continue without the call. `cursor` is the number of the notice that reported the call.
        """
        data = worker_pool_codec.encode_reply(rpc.name, body)
        resend_data = worker_pool_codec.encode_degrade(rpc.name, cursor) if can_degrade else None
        self.commands.send(rpc, data, resend_data)

    def degrade(self, rpc: NodeRpc, cursor: int) -> None:
        """Tell a run to continue without the call that it awaits."""
        data = worker_pool_codec.encode_degrade(rpc.name, cursor)
        self.commands.send(rpc, data, data)

    def confirm(self, rpc: NodeRpc) -> None:
        """Forget the last command of an RPC, because its run is over."""
        self.commands.confirm(rpc)

    def request_gauges(self) -> None:
        """Handle a due timer of the decision module; see `GaugePolls.on_timer`."""
        self.polls.on_timer()

    # ---- The connection

    @property
    def address(self) -> tuple[str, int]:
        """The address of the worker pool."""
        return self.connection.address

    def connect(self) -> None:
        """Open the connection unless there is one."""
        self.connection.connect()

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address once the worker pool has read all commands on the old connection."""
        if self.connection.change_address(address):
            self.connection.reconnect_after_poll(self.polls.poll())

    # ---- Events of the connection: see PoolConnectionOwner

    def message_received(self, connection: int, message: WorkerPoolMessage) -> None:
        """Pass a message to the handler of its type."""
        if connection == self.connection.number:
            self._handlers[type(message)](*message)

    def batch_completed(self, connection: int) -> None:
        """Request the next read."""
        if connection == self.connection.number:
            self.effect_buffer.emit(Read(connection))

    def connection_refused(self, connection: int, reason: str) -> None:
        """Reconnect after a backoff."""
        if connection == self.connection.number:
            self._lose_connection(reason)

    def connection_ended(self, connection: int, fault: ProtocolError | None) -> None:
        """Reconnect after a backoff, and skip a notice that failed to decode twice."""
        if connection != self.connection.number:
            return
        if fault is not None and self.connection.state is ConnectionState.BOUND:
            # A notice that can't be decoded is sent again after each subscription and would break every
            # connection. The first failure may be damage in transit; at the second one the notice is skipped.
            is_settling = self.commands.settlement_ticket is not None
            if self.cursor.is_unreadable_again() and is_settling:
                self.notices.unreadable()
        self._lose_connection(str(fault or ""))

    def connection_closed(self, connection: int) -> None:
        """Do nothing, because the connection was dropped before."""

    def write_blocked(self, connection: int) -> None:
        """Request no gauges until the worker pool reads again."""
        if connection == self.connection.number:
            self.connection.write_blocked = True

    def write_resumed(self, connection: int) -> None:
        """Request gauges again, because all pending data is written."""
        if connection == self.connection.number:
            self.connection.write_blocked = False

    def disconnected(self) -> None:
        """Cancel the settlement in progress."""
        self.commands.cancel_settlement()

    def _lose_connection(self, reason: str) -> None:
        connection = self.connection
        state = connection.state.value
        pending = (
            f"{len(self.commands.unconfirmed)} commands not confirmed, "
            f"{len(self.polls.pending_timers)} polls pending"
        )
        text = f"connection {connection.number} lost while {state} ({reason or 'closed'})"
        self.effect_buffer.log_fault(PARTY, state, f"{text}, cursor {self.cursor.position}, {pending}")
        connection.lose()

    # ---- Messages other than notices of runs

    def _on_subscribed(self, cold: bool, uptime_us: int) -> None:
        effect_buffer = self.effect_buffer
        start = "cold start" if cold else "warm"
        effect_buffer.emit(Log(f"{PARTY}: ready, {start}, started {uptime_us // 1000} ms ago"))
        self.connection.bound()
        contact = self._restarts.observe(effect_buffer.now, self.connection.bind_requested_at, uptime_us)
        if contact is PoolContact.FIRST:
            self.listener.worker_pool_ready(cold)
            return
        self.commands.begin_settlement()
        if contact is PoolContact.RESTARTED:
            self.cursor.reset()
            self.commands.unconfirmed_runs.clear()
            self.listener.worker_pool_restarted(cold)

    def _on_gauges(self, ticket: str, values: Sequence[float]) -> None:
        self.commands.poll_answered(ticket)
        self.connection.poll_answered(ticket)
        self.polls.answered(ticket, values)

    def _on_unknown(self) -> None:
        """Ignore an event of a later protocol version."""
