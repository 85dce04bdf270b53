"""The connection to the worker pool: its cursor, commands not confirmed yet, and its gauges.

Owns the one connection, the number of the last notice, commands that no notice or poll has confirmed yet, and
polls under way. It must never write a command again that could do harm if the first copy was read, nor take a
notice twice.
"""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from finchcart.interface import Outcome
from finchcart.net import line_protocol
from finchcart.net.limits import Limits
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.effects import Drop, Log, Read, Send
from finchcart.node.rpc import Rpc

PARTY = "worker pool"  # in log lines


class RunListener(Protocol):
    """What is notified of runs."""

    def find_running(self, name: str) -> Rpc | None:
        """The RPC of that name whose run is not completed, or None."""

    def run_ended(self, rpc: Rpc, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """The run is over."""

    def awaiting_call(self, rpc: Rpc, cursor: int, body: bytes) -> None:
        """The run awaits a call."""


class PoolListener(Protocol):
    """What is notified of the worker pool itself."""

    def worker_pool_up(self, cold: bool) -> None:
        """It is there for the first time."""

    def worker_pool_restarted(self, cold: bool) -> None:
        """It has lost all runs."""

    def timer_due(self, name: str, readings: Mapping[str, float]) -> None:
        """A timer of the decision module, with the worker pool's gauges by name; none where it is late."""


class LinkState(Enum):
    """The states of the connection."""

    DISCONNECTED = "disconnected"
    BINDING = "binding"  # asked for notices from the cursor on; no command is written
    BOUND = "bound"
    MOVING = "moving"  # to another address, once all commands are known to be read


class UnconfirmedCommand(NamedTuple):
    """A command that the worker pool may not have read."""

    rpc: Rpc
    ticket: int  # of the last poll before it
    data: bytes
    safe_data: bytes | None  # what may be written where `data` may have been read; None: nothing may
    written: bool


class WorkerPool:
    """The worker pool as the node sees it. Times are whole microseconds.

    Bounds: one unconfirmed command a running RPC, until a notice, a later poll or the settling after a new
    connection; one poll a timer, answered or given up after `limits.gauges_timeout`.
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
        self.pending_timers: dict[str, str] = {}  # ticket of a poll -> name of the timer that waits for it
        self.settle_ticket: str | None = None  # of the poll after a new connection
        self._write_blocked = False
        self._last_ticket = 0
        self._move_ticket: str | None = None  # of the poll before the connection is left for another address
        self._started_at: int | None = None  # when the worker pool started, as far as it said
        self._unreadable_after: int | None = None  # the last notice before one that could not be read
        self._handlers = {
            "up": self._on_bound,
            "run_ended": self._on_run_ended,
            "at_call": self._on_awaiting_call,
            "gauges": self._on_gauges,
            "undone": self._on_not_carried_out,
            "remark": self._on_remark,
            "other": self._on_other,
        }

    # ---- Commands

    def run(self, rpc: Rpc, idempotent: bool) -> None:
        """Starts the run of an RPC."""
        data = line_protocol.start_run(rpc.name, rpc.method, rpc.body)
        self.send_command(rpc, data, data if idempotent else None)

    def reply(self, rpc: Rpc, cursor: int, body: bytes, can_degrade: bool) -> None:
        """Hands a run the reply that it awaits.

        A reply that may have been lost can't be written again, but its call can be left out.
        """
        data = line_protocol.answer_call(rpc.name, body)
        self.send_command(rpc, data, line_protocol.skip_call(rpc.name, cursor) if can_degrade else None)

    def degrade(self, rpc: Rpc, cursor: int) -> None:
        """Has a run go on without the call that it awaits."""
        data = line_protocol.skip_call(rpc.name, cursor)
        self.send_command(rpc, data, data)

    def send_command(self, rpc: Rpc, data: bytes, safe_data: bytes | None) -> None:
        """Writes a command, or keeps it until it can be written; see `UnconfirmedCommand`."""
        bound = self.state is LinkState.BOUND
        self.unconfirmed[rpc.index] = UnconfirmedCommand(rpc, self._last_ticket, data, safe_data, bound)
        if bound:
            self._send(data)

    def confirm(self, rpc: Rpc) -> None:
        """The worker pool has read the RPC's last command, or need not any more."""
        self.unconfirmed.pop(rpc.index, None)

    def request_gauges(self, timer: str) -> None:
        """A timer of the decision module is due: the gauges are asked for, and waited for a little."""
        if self.state is LinkState.BOUND and not self._write_blocked:
            ticket = self._poll()
            self.pending_timers[ticket] = timer
            self.turn.schedule(self.turn.now + self.limits.gauges_timeout, self._complete_timer, ticket, {})
        else:
            self.listener.timer_due(timer, {})

    def _send(self, data: bytes) -> None:
        """Written where there is a connection; what is lost with one is settled once the next is bound."""
        if self.connection is not None:
            self.turn.emit(Send(self.connection, data))

    def _poll(self) -> str:
        self._last_ticket += 1
        ticket = str(self._last_ticket)
        self._send(line_protocol.request_gauges(ticket))
        return ticket

    # ---- The connection's life

    def connect(self) -> None:
        """Opens the connection where there is none."""
        if self.connection is not None:
            return
        self.connection = self.turn.connect("pool", self.address, self)
        self.state = LinkState.BINDING
        self.turn.emit(Read(self.connection))
        self._send(line_protocol.subscribe(self.cursor))

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
        pause = 0 if self.state is LinkState.BOUND else self.limits.pool_retry_interval
        owed = f"{len(self.unconfirmed)} commands not confirmed, {len(self.pending_timers)} polls open"
        text = f"connection {self.connection} lost while {self.state.value} ({reason or 'closed'})"
        self.turn.log_fault(PARTY, self.state.value, f"{text}, cursor {self.cursor}, {owed}")
        self._disconnect()
        self.turn.schedule(self.turn.now + pause, self.connect)

    def _disconnect(self) -> None:
        connection = self.connection
        self.connection = None
        self.state = LinkState.DISCONNECTED
        self.settle_ticket = None
        self._move_ticket = None
        self._write_blocked = False
        self.turn.emit(Drop(connection))

    # ---- What comes on the connection: see ConnectionOwner

    def message_received(self, connection: int, message: tuple) -> None:
        """A notice: its kind, and what it carries."""
        if connection == self.connection:
            self._handlers[message[0]](*message[1:])

    def batch_completed(self, connection: int) -> None:
        """Asks for the next read."""
        if connection == self.connection:
            self.turn.emit(Read(connection))

    def connection_refused(self, connection: int, reason: str) -> None:
        """Tries again after a pause."""
        if connection == self.connection:
            self._lose(reason)

    def connection_ended(self, connection: int, reason: str) -> None:
        """Connects again."""
        if connection != self.connection:
            return
        if reason and self.state is LinkState.BOUND:
            # Guards against a notice that can't be read and comes again right after each bind: it may have
            # been damaged on its way once; then it is passed over, and its run is answered in time even so.
            if self._unreadable_after == self.cursor and self.settle_ticket is not None:
                self.cursor += 1
            self._unreadable_after = self.cursor
        self._lose(reason)

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
        previous_start = self._started_at
        started_at = turn.now - age_us
        if previous_start is None:
            self._started_at = started_at
            self.listener.worker_pool_up(cold)
            return
        # Guards against commands lost with the old connection: they are seen to once all notices since then
        # are read, so that nothing that ended is started again.
        self.settle_ticket = self._poll()
        if started_at > previous_start + self.limits.pool_start_tolerance:
            self.cursor = 0
            self.listener.worker_pool_restarted(cold)
        self._started_at = started_at

    def _is_new_notice(self, cursor: int) -> bool:
        """Each notice is handled once."""
        is_new = cursor > self.cursor
        if is_new:
            self.cursor = cursor
        return is_new

    def _on_run_ended(self, cursor: int, name: str, outcome: Outcome, spent_us: int, result: bytes) -> None:
        rpc = self.runs.find_running(name)
        if self._is_new_notice(cursor) and rpc:
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
            self.runs.run_ended(rpc, Outcome.NOT_STARTED if was_run else Outcome.STOPPED, 0, b"")

    def _on_remark(self, cursor: int) -> None:
        self._is_new_notice(cursor)

    def _on_other(self) -> None:
        """An event of a later protocol."""

    def _on_gauges(self, ticket: str, values: Sequence[float]) -> None:
        if ticket == self.settle_ticket:
            self.settle_ticket = None
            self._settle_commands(int(ticket))
        elif ticket == self._move_ticket or ticket in self.pending_timers:
            # The worker pool read the poll, so what was written before it too.
            self.unconfirmed = {
                index: command for index, command in self.unconfirmed.items() if command.ticket >= int(ticket)
            }
            if ticket == self._move_ticket:
                self._reconnect(self.connection)
            else:
                self._complete_timer(ticket, dict(zip(self.gauge_names, values, strict=False)))

    def _settle_commands(self, ticket: int) -> None:
        """All notices of the last connection are read: settles commands not confirmed since."""
        for index in list(self.unconfirmed):
            command = self.unconfirmed.get(index)
            if command is None or command.ticket >= ticket:
                continue  # ended or sent another since, by the end of one before it
            # Guards against a second effect, and a reply that meets a later call: what the worker pool did
            # read may have gone on since, so only what does no harm twice is written again.
            data = command.safe_data if command.written else command.data
            if data is not None:
                self.send_command(command.rpc, data, command.safe_data)
            else:
                self.runs.run_ended(command.rpc, Outcome.STOPPED, 0, b"")

    def _complete_timer(self, ticket: str, readings: Mapping[str, float]) -> None:
        timer = self.pending_timers.pop(ticket, None)
        if timer is not None:
            self.listener.timer_due(timer, readings)
