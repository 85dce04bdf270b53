"""Commands that the worker pool may not have read, and what becomes of them after a new connection.

Owns each command until a notice or an answered poll confirms it, and the runs whose command may have been
lost (unconfirmed_runs.py). It must never write a command again that could do harm if the first copy was read,
nor report a run as over that may be running.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.rpc import NodeRpc
from finchcart.node.worker_pool.connection import ConnectionState, PoolConnection
from finchcart.node.worker_pool.gauge_polls import GaugePolls
from finchcart.node.worker_pool.listeners import PARTY, RunListener
from finchcart.node.worker_pool.unconfirmed_runs import RunEnd, UnconfirmedRuns

MAX_TICKET_DIGITS = 18


class UnconfirmedCommand(NamedTuple):
    """A command that the worker pool may not have read."""

    rpc: NodeRpc
    ticket: int  # of the last poll before it
    data: bytes
    resend_data: bytes | None  # what may be written where `data` may have been read; None: nothing may
    written: bool
    is_start: bool
    is_resent: bool = False  # written again: a start may start a run once more that is over by then


class Settlement(Enum):
    """What was done about an unconfirmed command after a new connection; the values stand in log lines."""

    WRITTEN = "written"  # for the first time
    WRITTEN_AGAIN = "written again"
    UNCONFIRMED = "unconfirmed"  # it may have been read, and must not be written again


class CommandJournal:
    """The last unconfirmed command of each running RPC, by its index.

    Bounds: one command and one unconfirmed run a running RPC; a command leaves by a notice, a later poll or
    the settlement after a new connection.
    """

    def __init__(
        self, effect_buffer: EffectBuffer, connection: PoolConnection, polls: GaugePolls, runs: RunListener
    ) -> None:
        self.effect_buffer = effect_buffer
        self.unconfirmed: dict[int, UnconfirmedCommand] = {}
        self.unconfirmed_runs = UnconfirmedRuns(effect_buffer, self._presume_ended)
        self.settlement_ticket: str | None = None  # of the poll after a new connection
        self._connection = connection
        self._polls = polls
        self._runs = runs

    def send(
        self,
        rpc: NodeRpc,
        data: bytes,
        resend_data: bytes | None,
        is_start: bool = False,
        is_resent: bool = False,
    ) -> None:
        """Write a command, or keep it until it can be written; see `UnconfirmedCommand`."""
        connection = self._connection
        bound = connection.state is ConnectionState.BOUND
        self.unconfirmed[rpc.index] = UnconfirmedCommand(
            rpc, self._polls.last_ticket, data, resend_data, bound, is_start, is_resent
        )
        if bound:
            connection.send(data)

    def confirm(self, rpc: NodeRpc) -> None:
        """Forget the RPC's last command: the worker pool has read it, or need not any more."""
        self.unconfirmed.pop(rpc.index, None)
        self.unconfirmed_runs.discard(rpc)

    def may_start_again(self, rpc: NodeRpc) -> bool:
        """Return whether a second copy of the RPC's start may be read after the end of its run."""
        command = self.unconfirmed.get(rpc.index)
        return command is not None and command.is_start and command.is_resent

    # ---- Answered polls

    def poll_answered(self, ticket: str) -> None:
        """Handle the answer of a poll: what was written before it was read.

        Also where the answer is too late for its timer.
        """
        if ticket == self.settlement_ticket:
            self.settlement_ticket = None
            self._settle(int(ticket))
        elif ticket.isdecimal() and len(ticket) <= MAX_TICKET_DIGITS:
            self.confirm_before(int(ticket))

    def confirm_before(self, ticket: int) -> None:
        """Forget the commands that were written before the poll of this number."""
        self.unconfirmed = {
            index: command for index, command in self.unconfirmed.items() if command.ticket >= ticket
        }

    # ---- Settlement after a new connection

    def begin_settlement(self) -> None:
        """Poll on a new connection: what is unconfirmed is settled once all notices before it are read.

        So nothing that ended is started again.
        """
        self.settlement_ticket = self._polls.poll()

    def cancel_settlement(self) -> None:
        """Forget the settlement under way: the connection is lost, and the next one has its own."""
        self.settlement_ticket = None

    def _settle(self, ticket: int) -> None:
        settled: Counter[Settlement] = Counter()
        for index in list(self.unconfirmed):
            command = self.unconfirmed.get(index)
            if command is None or command.ticket >= ticket:
                continue  # ended or sent another since, by the end of one before it
            settled[self._settle_command(command)] += 1
        if settled:
            counts = ", ".join(f"{count} {settlement.value}" for settlement, count in settled.items())
            text = f"connection {self._connection.number}: commands: {counts}"
            self.effect_buffer.log_fault(PARTY, "commands settled", text)
            self._polls.poll()  # its answer confirms what was written again

    def _settle_command(self, command: UnconfirmedCommand) -> Settlement:
        rpc = command.rpc
        if not command.written:
            self.send(rpc, command.data, command.resend_data, command.is_start)
            return Settlement.WRITTEN
        # Guards against a second effect, and a reply that meets a later call: what the worker pool did read
        # may have gone on since, so only what does no harm twice is written again.
        if command.resend_data is None:
            # Reported as stopped, the cores and memory of a run that goes on would be given to another.
            del self.unconfirmed[rpc.index]
            self.presume_running(rpc)
            return Settlement.UNCONFIRMED
        self.send(rpc, command.resend_data, command.resend_data, command.is_start, is_resent=True)
        return Settlement.WRITTEN_AGAIN

    # ---- Runs that may be in progress

    def presume_running(self, rpc: NodeRpc, first_end: RunEnd | None = None) -> None:
        """Count the RPC's run as running until a notice, or for as long as the settings let it run."""
        self.unconfirmed_runs.add(rpc, self._runs.longest_run_us(rpc), first_end)

    def presume_all_running(self) -> None:
        """Count every run so: the notice of its end may be the one that cannot be read."""
        for rpc in self._runs.running_rpcs():
            self.presume_running(rpc)

    def _presume_ended(self, rpc: NodeRpc, first_end: RunEnd | None) -> None:
        text = f"run of {rpc.name} presumed ended: no notice for {self._runs.longest_run_us(rpc)} us"
        self.effect_buffer.log_fault(PARTY, "unconfirmed run presumed ended", text)
        self._runs.run_ended(rpc, *(first_end or RunEnd(Outcome.STOPPED, 0, b"")))
