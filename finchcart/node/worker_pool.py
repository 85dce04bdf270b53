"""The connection to the worker pool: its cursor, commands not confirmed yet, and its gauges.

Owns the one connection, the number of the last notice, commands that no notice or poll has confirmed yet, and
polls under way. It must never write a command again that could do harm if the first copy was read, take a
notice twice, nor report a run as over that may be running: unknown_runs.py.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.decisions.outcome import Outcome
from finchcart.errors import ProtocolError
from finchcart.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Drop, Log, Read, Send
from finchcart.node.rpc import NodeRpc
from finchcart.node.unknown_runs import RunEnd, UnknownRuns
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

PARTY = "worker pool"  # in log lines
MAX_TICKET_DIGITS = 18
MAX_PAUSE_DOUBLINGS = 10


class RunListener(Protocol):
    """What is notified of runs."""

    def running_rpcs(self) -> list[NodeRpc]:
        """The RPCs that were started and are not completed."""

    def longest_run_us(self, rpc: NodeRpc) -> int:
        """How long a run that was lost sight of may go on, by the settings."""

    def answer_before_end(self, rpc: NodeRpc, outcome: Outcome, result: bytes) -> None:
        """The run is over and may have been started once more: `run_ended` follows for both."""

    def find_running(self, name: str) -> NodeRpc | None:
        """The RPC of that name whose run is not completed, or None."""

    def run_ended(self, rpc: NodeRpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """The run is over."""

    def awaiting_call(self, rpc: NodeRpc, cursor: int, body: bytes) -> None:
        """The run awaits a call."""


class PoolListener(Protocol):
    """What is notified of the worker pool itself."""

    def worker_pool_up(self, cold: bool) -> None:
        """It is there for the first time."""

    def worker_pool_restarted(self, cold: bool) -> None:
        """It has lost all runs."""

    def timer_due(self, readings: Mapping[str, float]) -> None:
        """The timer of the decision module, with the worker pool's gauges by name; none where it is late."""


class LinkState(Enum):
    """The states of the connection."""

    DISCONNECTED = "disconnected"
    BINDING = "binding"  # asked for notices from the cursor on; no command is written
    BOUND = "bound"
    MOVING = "moving"  # to another address, once all commands are known to be read


class UnconfirmedCommand(NamedTuple):
    """A command that the worker pool may not have read."""

    rpc: NodeRpc
    ticket: int  # of the last poll before it
    data: bytes
    safe_data: bytes | None  # what may be written where `data` may have been read; None: nothing may
    written: bool
    is_start: bool
    is_copy: bool = False  # written again: a start may start a run once more that is over by then


class WorkerPool:
    """The worker pool as the node sees it. Times are whole microseconds.

    Bounds: one unconfirmed command a running RPC, until a notice, a later poll or the settling after a new
    connection; one unknown run a running RPC, see `UnknownRuns`; one poll a timer, answered or given up after
    `limits.gauges_timeout`.
    """

    def __init__(
        self,
        turn: EffectBuffer,
        limits: Limits,
        address: tuple[str, int],
        gauge_names: Sequence[str],
        runs: RunListener,
        listener: PoolListener,
    ) -> None:
        self.turn = turn
        self.limits = limits
        self.address = address
        self.gauge_names = gauge_names
        self.runs = runs
        self.listener = listener
        self.state = LinkState.DISCONNECTED
        self.connection: int | None = None
        self.cursor = 0  # number of the last notice
        self.unconfirmed: dict[int, UnconfirmedCommand] = {}  # by index
        self.unknown_runs = UnknownRuns(turn, self._unknown_run_expired)
        self.pending_timers: set[str] = set()  # tickets of the polls that a timer waits for
        self.settle_ticket: str | None = None  # of the poll after a new connection
        self._write_blocked = False
        self._last_ticket = 0
        self._move_ticket: str | None = None  # of the poll before the connection is left for another address
        self._bind_sent_at = 0
        self._bound_at = 0
        self._quick_losses = 0  # connections lost one after the other soon after they were bound, or before
        self._started_by: int | None = None  # the worker pool had started by then, as far as it said
        self._unreadable_after: int | None = None  # the last notice before one that could not be read
        self._handlers: dict[type[WorkerPoolMessage], Callable[..., None]] = {
            Subscribed: self._on_bound,
            RunEndedNotice: self._on_run_ended,
            RunAwaitingCall: self._on_awaiting_call,
            GaugesRead: self._on_gauges,
            CommandRejected: self._on_not_carried_out,
            InformationalNotice: self._on_remark,
            UnknownNotice: self._on_other,
        }

    # ---- Commands

    def run(self, rpc: NodeRpc, idempotent: bool) -> None:
        """Starts the run of an RPC."""
        data = worker_pool_codec.encode_start(rpc.name, rpc.method, rpc.body)
        self.send_command(rpc, data, data if idempotent else None, is_start=True)

    def reply(self, rpc: NodeRpc, cursor: int, body: bytes, can_degrade: bool) -> None:
        """Hands a run the reply that it awaits.

        A reply that may have been lost can't be written again, but its call can be left out.
        """
        data = worker_pool_codec.encode_reply(rpc.name, body)
        self.send_command(
            rpc, data, worker_pool_codec.encode_degrade(rpc.name, cursor) if can_degrade else None
        )

    def degrade(self, rpc: NodeRpc, cursor: int) -> None:
        """Has a run go on without the call that it awaits."""
        data = worker_pool_codec.encode_degrade(rpc.name, cursor)
        self.send_command(rpc, data, data)

    def send_command(
        self,
        rpc: NodeRpc,
        data: bytes,
        safe_data: bytes | None,
        is_start: bool = False,
        is_copy: bool = False,
    ) -> None:
        """Writes a command, or keeps it until it can be written; see `UnconfirmedCommand`."""
        bound = self.state is LinkState.BOUND
        self.unconfirmed[rpc.index] = UnconfirmedCommand(
            rpc, self._last_ticket, data, safe_data, bound, is_start, is_copy
        )
        if bound:
            self._send(data)

    def confirm(self, rpc: NodeRpc) -> None:
        """The worker pool has read the RPC's last command, or need not any more."""
        self.unconfirmed.pop(rpc.index, None)
        self.unknown_runs.discard(rpc)

    def request_gauges(self) -> None:
        """The timer of the decision module is due: the gauges are asked for, and waited for a little."""
        if self.state is LinkState.BOUND and not self._write_blocked:
            ticket = self._poll()
            self.pending_timers.add(ticket)
            self.turn.schedule(self.turn.now + self.limits.gauges_timeout, self._complete_timer, ticket, {})
        else:
            self.listener.timer_due({})

    def _send(self, data: bytes) -> None:
        """Written where there is a connection; what is lost with one is settled once the next is bound."""
        if self.connection is not None:
            self.turn.emit(Send(self.connection, data))

    def _poll(self) -> str:
        self._last_ticket += 1
        ticket = str(self._last_ticket)
        self._send(worker_pool_codec.encode_gauges_request(ticket))
        return ticket

    # ---- The connection's life

    def connect(self) -> None:
        """Opens the connection where there is none."""
        if self.connection is not None:
            return
        self.connection = self.turn.connect("pool", self.address, self)
        self.state = LinkState.BINDING
        self._bind_sent_at = self.turn.now
        self.turn.emit(Read(self.connection))
        self._send(worker_pool_codec.encode_subscribe(self.cursor))

    def change_address(self, address: tuple[str, int]) -> None:
        """Guards against commands lost with the old connection: it is left once they are all read."""
        self.address = address
        if self.connection is None:
            return
        if self.state is LinkState.BOUND:
            self.state = LinkState.MOVING
            self._move_ticket = self._poll()
            self.turn.schedule(
                self.turn.now + self.limits.pool_move_timeout, self._reconnect, self.connection
            )
        else:
            self._reconnect(self.connection)

    def _reconnect(self, connection: int) -> None:
        if self.connection == connection and self.state is not LinkState.BOUND:
            self._disconnect()
            self.connect()

    def _lose(self, reason: str) -> None:
        pause_us = self._pause_before_connecting()
        owed = f"{len(self.unconfirmed)} commands not confirmed, {len(self.pending_timers)} polls open"
        text = f"connection {self.connection} lost while {self.state.value} ({reason or 'closed'})"
        self.turn.log_fault(PARTY, self.state.value, f"{text}, cursor {self.cursor}, {owed}")
        self._disconnect()
        self.turn.schedule(self.turn.now + pause_us, self.connect)

    def _pause_before_connecting(self) -> int:
        """At once after a connection that held for a while; else pauses that grow, so that nothing spins."""
        now = self.turn.now
        if self.state is LinkState.BOUND and now - self._bound_at >= self.limits.pool_steady_time:
            self._quick_losses = 0
            return 0
        pause_us = self.limits.pool_retry_interval << min(self._quick_losses, MAX_PAUSE_DOUBLINGS)
        self._quick_losses += 1
        return min(pause_us, self.limits.pool_longest_pause)

    def _disconnect(self) -> None:
        connection = self.connection
        self.connection = None
        self.state = LinkState.DISCONNECTED
        self.settle_ticket = None
        self._move_ticket = None
        self._write_blocked = False
        self.turn.emit(Drop(connection))

    # ---- What comes on the connection: see ConnectionOwner

    def message_received(self, connection: int, message: WorkerPoolMessage) -> None:
        """Handle a notice by its type."""
        if connection == self.connection:
            self._handlers[type(message)](*message)

    def batch_completed(self, connection: int) -> None:
        """Asks for the next read."""
        if connection == self.connection:
            self.turn.emit(Read(connection))

    def connection_refused(self, connection: int, reason: str) -> None:
        """Tries again after a pause."""
        if connection == self.connection:
            self._lose(reason)

    def connection_ended(self, connection: int, fault: ProtocolError | None) -> None:
        """Connects again."""
        if connection != self.connection:
            return
        if fault is not None and self.state is LinkState.BOUND:
            # Guards against a notice that can't be read and comes again right after each bind: it may have
            # been damaged on its way once; then it is passed over, and its run is answered in time even so.
            if self._unreadable_after == self.cursor and self.settle_ticket is not None:
                self._pass_over_notice()
            self._unreadable_after = self.cursor
        self._lose(str(fault or ""))

    def connection_closed(self, connection: int) -> None:
        """Nothing: it was left before."""

    def write_blocked(self, connection: int) -> None:
        """No gauges are asked for until it reads again."""
        if connection == self.connection:
            self._write_blocked = True

    def write_resumed(self, connection: int) -> None:
        """All is written."""
        if connection == self.connection:
            self._write_blocked = False

    # ---- Notices

    def _on_bound(self, cold: bool, age_us: int) -> None:
        turn = self.turn
        turn.emit(Log(f"{PARTY}: up, {'cold' if cold else 'warm'}, for {age_us // 1000} ms"))
        self.state = LinkState.BOUND
        self._bound_at = turn.now
        previous_start = self._started_by
        started_by = turn.now - age_us
        if previous_start is None:
            self._started_by = started_by
            self.listener.worker_pool_up(cold)
            return
        # Guards against commands lost with the old connection: they are seen to once all notices since then
        # are read, so that nothing that ended is started again.
        self.settle_ticket = self._poll()
        # Guards against runs that are given up though they go on: `bound` may be held back, or read late. It
        # was written after the request for it; a restart is what began after the last start even so.
        started_after = self._bind_sent_at - age_us
        if started_after > previous_start + self.limits.pool_start_tolerance:
            self.cursor = 0
            self.unknown_runs.clear()
            self.listener.worker_pool_restarted(cold)
            self._started_by = started_by
        elif turn.now - self._bind_sent_at < self.limits.pool_start_tolerance:
            self._started_by = started_by  # measured well: follows where the two clocks drift apart

    def _is_new_notice(self, cursor: int) -> bool:
        """Each notice is handled once."""
        is_new = cursor > self.cursor
        if is_new:
            self.cursor = cursor
        return is_new

    def _on_run_ended(self, cursor: int, name: str, outcome: Outcome, spent_us: int, result: bytes) -> None:
        rpc = self.runs.find_running(name)
        if not self._is_new_notice(cursor) or rpc is None:
            return
        first_end = self.unknown_runs.first_end(rpc)
        if first_end is not None:
            self.runs.run_ended(rpc, *first_end)
            return
        command = self.unconfirmed.get(rpc.index)
        if command and command.is_start and command.is_copy and outcome is not Outcome.NOT_STARTED:
            # Guards against a run that nobody counts: the start written again may be read after this end.
            self.confirm(rpc)
            limit_us = self.runs.longest_run_us(rpc)
            self.unknown_runs.add(rpc, limit_us, RunEnd(outcome, spent_us, result))
            self.runs.answer_before_end(rpc, outcome, result)
            return
        self.runs.run_ended(rpc, outcome, spent_us, result)

    def _on_awaiting_call(self, cursor: int, name: str, body: bytes) -> None:
        rpc = self.runs.find_running(name)
        if self._is_new_notice(cursor) and rpc:
            self.confirm(rpc)
            self.runs.awaiting_call(rpc, cursor, body)

    def _on_not_carried_out(self, was_run: bool, name: str) -> None:
        rpc = self.runs.find_running(name)
        if rpc:
            text = f"{'start' if was_run else 'command'} of {name} not carried out"
            self.turn.log_fault(PARTY, "not carried out", text)
            if was_run:
                self.runs.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")
            else:
                self._lose_sight(rpc)  # the command was not carried out; that says nothing of the run

    def _on_remark(self, cursor: int) -> None:
        self._is_new_notice(cursor)

    def _on_other(self) -> None:
        """An event of a later protocol."""

    def _on_gauges(self, ticket: str, values: Sequence[float]) -> None:
        if ticket == self.settle_ticket:
            self.settle_ticket = None
            self._settle_commands(int(ticket))
        elif ticket.isdecimal() and len(ticket) <= MAX_TICKET_DIGITS:
            # Also where it comes too late for its timer: the worker pool read the poll, so what was written
            # before it too.
            self._confirm_before(int(ticket))
        if ticket == self._move_ticket:
            self._reconnect(self.connection)
        self._complete_timer(ticket, dict(zip(self.gauge_names, values, strict=False)))

    def _confirm_before(self, ticket: int) -> None:
        self.unconfirmed = {
            index: command for index, command in self.unconfirmed.items() if command.ticket >= ticket
        }

    # ---- Commands that were lost, and runs that were lost sight of

    def _settle_commands(self, ticket: int) -> None:
        """All notices of the last connection are read: settles commands not confirmed since."""
        settled: Counter[str] = Counter()
        for index in list(self.unconfirmed):
            command = self.unconfirmed.get(index)
            if command is None or command.ticket >= ticket:
                continue  # ended or sent another since, by the end of one before it
            settled[self._settle_command(command)] += 1
        if settled:
            counts = ", ".join(f"{count} {what}" for what, count in settled.items())
            self.turn.log_fault(
                PARTY, "commands settled", f"connection {self.connection}: commands: {counts}"
            )
            self._poll()  # its answer tells that what was written again is read

    def _settle_command(self, command: UnconfirmedCommand) -> str:
        """Settles a command that no notice or poll has confirmed; returns what was done, for the log."""
        rpc = command.rpc
        if not command.written:
            self.send_command(rpc, command.data, command.safe_data, command.is_start)
            return "written"
        # Guards against a second effect, and a reply that meets a later call: what the worker pool did read
        # may have gone on since, so only what does no harm twice is written again.
        if command.safe_data is None:
            # It may have been read, and run: it counts as running until a notice, or for as long as the
            # settings let it. Reported as stopped, its cores and memory would be given to another.
            del self.unconfirmed[rpc.index]
            self._lose_sight(rpc)
            return "of unknown fate"
        self.send_command(rpc, command.safe_data, command.safe_data, command.is_start, is_copy=True)
        return "written again"

    def _lose_sight(self, rpc: NodeRpc) -> None:
        self.unknown_runs.add(rpc, self.runs.longest_run_us(rpc))

    def _pass_over_notice(self) -> None:
        """The next notice can't be read: it may be the end of any run, which then never comes."""
        self.cursor += 1
        for rpc in self.runs.running_rpcs():
            self._lose_sight(rpc)

    def _unknown_run_expired(self, rpc: NodeRpc, first_end: RunEnd | None) -> None:
        """Nothing was heard of the run for as long as the settings let it go on: it counts as over."""
        text = f"run of {rpc.name} counts as over: no notice for {self.runs.longest_run_us(rpc)} us"
        self.turn.log_fault(PARTY, "unknown run over", text)
        self.runs.run_ended(rpc, *(first_end or RunEnd(Outcome.STOPPED, 0, b"")))

    def _complete_timer(self, ticket: str, readings: Mapping[str, float]) -> None:
        if ticket in self.pending_timers:
            self.pending_timers.remove(ticket)
            self.listener.timer_due(readings)
