"""The handling of the notices of runs that the worker pool sends.

`NoticeHandler` ignores notices that were handled before, by the number that `NoticeCursor` keeps, and has no
other state. If a run may have been started twice, `NoticeHandler` must never report the end of the first run
as the end of both.
"""

from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.worker_pool.command_journal import CommandJournal
from finchcart.node.worker_pool.listeners import PARTY, RunListener
from finchcart.node.worker_pool.notice_cursor import NoticeCursor
from finchcart.node.worker_pool.unconfirmed_runs import RunEnd


class NoticeHandler:
    """Passes each new notice to the listener for runs."""

    def __init__(
        self, effect_buffer: EffectBuffer, cursor: NoticeCursor, commands: CommandJournal, runs: RunListener
    ) -> None:
        self.effect_buffer = effect_buffer
        self._cursor = cursor
        self._commands = commands
        self._runs = runs

    def run_ended(self, number: int, name: str, outcome: Outcome, spent_us: int, result: bytes) -> None:
        """Handle the end of a run."""
        rpc = self._runs.find_running(name)
        if not self._cursor.advance(number) or rpc is None:
            return
        commands = self._commands
        first_end = commands.unconfirmed_runs.first_end(rpc)
        if first_end is not None:
            self._runs.run_ended(rpc, *first_end)
            return
        if outcome is not Outcome.NOT_STARTED and commands.may_start_again(rpc):
            # The worker pool may read the second start after this end and run the RPC again. The RPC is
            # answered now, and its run stays counted until the second run has ended or timed out.
            commands.confirm(rpc)
            commands.presume_running(rpc, RunEnd(outcome, spent_us, result))
            self._runs.answer_before_end(rpc, outcome, result)
            return
        self._runs.run_ended(rpc, outcome, spent_us, result)

    def awaiting_call(self, number: int, name: str, body: bytes) -> None:
        """Handle the notice that a run awaits a call; `body` is the body of the call."""
        rpc = self._runs.find_running(name)
        if self._cursor.advance(number) and rpc:
            self._commands.confirm(rpc)
            self._runs.awaiting_call(rpc, number, body)

    def command_rejected(self, was_start: bool, name: str) -> None:
        """Handle the notice that the worker pool rejected a command.

        `was_start` tells whether the command was to start a run.
        """
        rpc = self._runs.find_running(name)
        if rpc is None:
            return
        text = f"{'start' if was_start else 'later'} command for run {name} not carried out"
        self.effect_buffer.log_fault(PARTY, "not carried out", text)
        if was_start:
            self._runs.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")
        else:
            self._commands.presume_running(rpc)  # the rejection of a later command does not end the run

    def informational(self, number: int) -> None:
        """Handle a notice whose content the node does not use; only its number matters."""
        self._cursor.advance(number)

    def unreadable(self) -> None:
        """Skip a notice that cannot be decoded; it may have reported the end of any run."""
        self._cursor.skip()
        self._commands.presume_all_running()
