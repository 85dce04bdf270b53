"""Commands that the worker pool may not have read, and their settlement after a reconnection.

`CommandJournal` owns each command until a notice or the answer to a poll confirms that the worker pool has
read the command. It also owns the runs whose command may have been lost; see unconfirmed_runs.py. It must
never send a command again if a second copy could do harm, and must never report a run as ended that may be
running.
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
    ticket: int  # number of the last poll before the command
    data: bytes
    resend_data: bytes | None  # sent in place of `data` if `data` may have been read; None: nothing is sent
    written: bool
    is_start: bool
    is_resent: bool = False  # a start that is sent again may start a second run after the first one ended


class Settlement(Enum):
    """The treatment of an unconfirmed command after a reconnection. The values appear in log lines."""

    WRITTEN = "written"  # the command had not been written before
    WRITTEN_AGAIN = "written again"
    UNCONFIRMED = "unconfirmed"  # the command may have been read, and must not be written again


class CommandJournal:
    """The last unconfirmed command of each running RPC, by the index of the RPC.

    Settlement is the step after a reconnection that decides for each unconfirmed command whether to write the
    command again. Bounds: one command and one unconfirmed run for each running RPC. A command is removed by a
    notice of its run, by the answer to a later poll, or by the settlement.
    """

    def __init__(
        self, effect_buffer: EffectBuffer, connection: PoolConnection, polls: GaugePolls, runs: RunListener
    ) -> None:
        self.effect_buffer = effect_buffer
        self.unconfirmed: dict[int, UnconfirmedCommand] = {}
        self.unconfirmed_runs = UnconfirmedRuns(effect_buffer, self._presume_ended)
        self.settlement_ticket: str | None = None  # ticket of the poll that starts the settlement
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
        """Write a command, or keep it until a connection is bound; see `UnconfirmedCommand`."""
        connection = self._connection
        bound = connection.state is ConnectionState.BOUND
        self.unconfirmed[rpc.index] = UnconfirmedCommand(
            rpc, self._polls.last_ticket, data, resend_data, bound, is_start, is_resent
        )
        if bound:
            connection.send(data)

    def confirm(self, rpc: NodeRpc) -> None:
        """Forget the last command of an RPC, which the worker pool has read or need not read any more."""
        self.unconfirmed.pop(rpc.index, None)
        self.unconfirmed_runs.discard(rpc)

    def may_start_again(self, rpc: NodeRpc) -> bool:
        """Return whether the worker pool may read a second start command of the RPC after its run ended."""
        command = self.unconfirmed.get(rpc.index)
        return command is not None and command.is_start and command.is_resent

    # ---- Answered polls

    def poll_answered(self, ticket: str) -> None:
        """Handle the answer to a poll, which confirms all commands that were written before the poll.

        An answer that is too late for its timer confirms them as well.
        """
        if ticket == self.settlement_ticket:
            self.settlement_ticket = None
            self._settle(int(ticket))
        elif ticket.isdecimal() and len(ticket) <= MAX_TICKET_DIGITS:
            self.confirm_before(int(ticket))

    def confirm_before(self, ticket: int) -> None:
        """Forget the commands written before the poll `ticket`: the worker pool has read them."""
        self.unconfirmed = {
            index: command for index, command in self.unconfirmed.items() if command.ticket >= ticket
        }

    # ---- Settlement after a reconnection

    def begin_settlement(self) -> None:
        """Send the poll whose answer starts the settlement.

        The answer arrives after all earlier notices, so the settlement never starts a run again whose end was
        already reported.
        """
        self.settlement_ticket = self._polls.poll()

    def cancel_settlement(self) -> None:
        """Cancel the settlement, because the connection is lost and the next connection begins a new one."""
        self.settlement_ticket = None

    def _settle(self, ticket: int) -> None:
        settled: Counter[Settlement] = Counter()
        for index in list(self.unconfirmed):
            command = self.unconfirmed.get(index)
            if command is None or command.ticket >= ticket:
                continue  # settling an earlier command ended this run or sent a newer command for it
            settled[self._settle_command(command)] += 1
        if settled:
            counts = ", ".join(f"{count} {settlement.value}" for settlement, count in settled.items())
            text = f"connection {self._connection.number}: commands settled after reconnection: {counts}"
            self.effect_buffer.log_fault(PARTY, "commands settled", text)
            self._polls.poll()  # the answer confirms the commands that were written again

    def _settle_command(self, command: UnconfirmedCommand) -> Settlement:
        rpc = command.rpc
        if not command.written:
            self.send(rpc, command.data, command.resend_data, command.is_start)
            return Settlement.WRITTEN
        # The worker pool may have read the command, and the run may have continued since. A second start
        # could repeat an effect, and a second reply could answer a later call: only `resend_data` is safe.
        if command.resend_data is None:
            # If the run were reported as stopped while it continues, its cores and memory would be assigned
            # to another run.
            del self.unconfirmed[rpc.index]
            self.presume_running(rpc)
            return Settlement.UNCONFIRMED
        self.send(rpc, command.resend_data, command.resend_data, command.is_start, is_resent=True)
        return Settlement.WRITTEN_AGAIN

    # ---- Runs that may be in progress

    def presume_running(self, rpc: NodeRpc, first_end: RunEnd | None = None) -> None:
        """Count the run of an RPC as running until a notice arrives or its time limit has passed."""
        self.unconfirmed_runs.add(rpc, self._runs.longest_run_us(rpc), first_end)

    def presume_all_running(self) -> None:
        """Presume every run to be running, because an unreadable notice may report the end of any of them."""
        for rpc in self._runs.running_rpcs():
            self.presume_running(rpc)

    def _presume_ended(self, rpc: NodeRpc, first_end: RunEnd | None) -> None:
        text = f"run of {rpc.name} presumed ended: no notice for {self._runs.longest_run_us(rpc)} us"
        self.effect_buffer.log_fault(PARTY, "unconfirmed run presumed ended", text)
        self._runs.run_ended(rpc, *(first_end or RunEnd(Outcome.STOPPED, 0, b"")))
