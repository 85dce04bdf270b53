"""Runs a node with a deliberate defect, to test that the soak test detects the defect.

Start it with `python -m finchcart.fault_injection.soak.planted_defects`; the environment variable
FINCHCART_PLANT names the defect. Only fault-injection runs may start it, since each defect breaks a rule of
recorded_rules.py.
"""

import os
import time
from collections.abc import Callable

from finchcart.decisions.graceful_shutdown import GracefulShutdown
from finchcart.node.idempotency import IdempotencyCache
from finchcart.node.key_entry import KeyEntry
from finchcart.node.worker_pool.client import WorkerPoolClient
from finchcart.node.worker_pool.command_journal import CommandJournal
from finchcart.node.worker_pool.unconfirmed_runs import UnconfirmedRuns
from finchcart.node_process import exit_process, run_node
from finchcart.thrift.frontend import ThriftFrontend

DEFECT_VARIABLE = "FINCHCART_PLANT"
ANSWERS_PER_LOSS = 40  # one of this many answers is dropped


def lose_answers() -> None:
    """Break rule 1: some final answers are never sent."""
    send = ThriftFrontend.send_final_answer
    sent = [0]

    def send_final_answer(self: ThriftFrontend, rpc: object, *more: object) -> None:
        sent[0] += 1
        if sent[0] % ANSWERS_PER_LOSS:
            send(self, rpc, *more)
        else:
            connection, sequence = rpc.reference
            del connection.open_rpcs[sequence]

    ThriftFrontend.send_final_answer = send_final_answer


def forget_keys() -> None:
    """Break rule 2: the node recognises no RPC as a duplicate of another."""

    def entry_for(
        self: IdempotencyCache, key: tuple[str, str], index: int, digest: bytes, arrived_at: int
    ) -> tuple[KeyEntry, bool]:
        return KeyEntry(key, index, digest), False

    IdempotencyCache.entry_for = entry_for


def resend_starts() -> None:
    """Break rule 2: after a reconnection, every start of a run is sent again, also of non-idempotent runs."""
    run = WorkerPoolClient.run
    WorkerPoolClient.run = lambda self, rpc, idempotent: run(self, rpc, True)


def serve_after_grace_period() -> None:
    """Break rule 3: the grace period lasts until the termination deadline."""
    GracefulShutdown.end_grace = lambda self, now: None
    begin = GracefulShutdown.begin

    def begin_without_grace(self: GracefulShutdown, now: int, termination_deadline: int) -> None:
        begin(self, now, termination_deadline)
        self.grace_end = termination_deadline

    GracefulShutdown.begin = begin_without_grace


def forget_runs() -> None:
    """Break rule 4: an unconfirmed run, which the worker pool may have started, counts as ended."""

    def add(self: UnconfirmedRuns, rpc: object, limit_us: int, first_end: object = None) -> None:
        self._on_expired(rpc, first_end)

    UnconfirmedRuns.add = add
    CommandJournal.confirm_before = lambda self, ticket: None


def use_wall_clock() -> None:
    """Measure durations on the wall clock, so that clock steps change them."""
    from finchcart import event_loop
    from finchcart.net import clock, connections, reader

    def wall_clock() -> int:
        return time.time_ns() // 1000

    for module in (event_loop, clock, connections, reader):
        module.boot_clock = wall_clock
    event_loop.read_clocks = lambda: clock.ClockReading(wall_clock(), wall_clock())


def expect_late_kill() -> None:
    """Break rule 1: the node expects the kill only after `stop_ms`."""
    from finchcart import limits

    limits.KILL_DELAY_US = 1000 * limits.SECOND


DEFECTS: dict[str, Callable[[], None]] = {
    "lost": lose_answers,
    "duplicate": forget_keys,
    "started again": resend_starts,
    "drain": serve_after_grace_period,
    "fall-over": forget_runs,
    "clock": use_wall_clock,
    "early kill": expect_late_kill,
}


def main() -> None:
    """Install the defect and run a node."""
    DEFECTS[os.environ[DEFECT_VARIABLE]]()
    exit_process(run_node())


if __name__ == "__main__":
    main()
