"""The worker pool's notices of runs, each handled once.

Owns no state but the cursor's use: a notice that was handled before is ignored. It must never report the end
of a run that may have been started a second time as the end of both.
"""

from finchcart.decisions.outcome import Outcome
from finchcart.node.effect_buffer import EffectBuffer
from finchcart.node.worker_pool.command_journal import CommandJournal
from finchcart.node.worker_pool.listeners import PARTY, RunListener
from finchcart.node.worker_pool.notice_cursor import NoticeCursor
from finchcart.node.worker_pool.unconfirmed_runs import RunEnd


class NoticeHandler:
    """Hands each new notice to what is notified of runs."""

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
            # Guards against a run that nobody counts: the start written again may be read after this end.
            commands.confirm(rpc)
            commands.presume_running(rpc, RunEnd(outcome, spent_us, result))
            self._runs.answer_before_end(rpc, outcome, result)
            return
        self._runs.run_ended(rpc, outcome, spent_us, result)

    def awaiting_call(self, number: int, name: str, body: bytes) -> None:
        """Handle a run that awaits a call."""
        rpc = self._runs.find_running(name)
        if self._cursor.advance(number) and rpc:
            self._commands.confirm(rpc)
            self._runs.awaiting_call(rpc, number, body)

    def command_rejected(self, was_start: bool, name: str) -> None:
        """Handle a command that the worker pool did not carry out."""
        rpc = self._runs.find_running(name)
        if rpc is None:
            return
        text = f"{'start' if was_start else 'command'} of {name} not carried out"
        self.effect_buffer.log_fault(PARTY, "not carried out", text)
        if was_start:
            self._runs.run_ended(rpc, Outcome.NOT_STARTED, 0, b"")
        else:
            self._commands.presume_running(rpc)  # the refusal of a later command does not end the run

    def informational(self, number: int) -> None:
        """Handle a notice of which only the number counts."""
        self._cursor.advance(number)

    def unreadable(self) -> None:
        """Pass over a notice that cannot be read: it may be the end of any run, which then never comes."""
        self._cursor.skip()
        self._commands.presume_all_running()
