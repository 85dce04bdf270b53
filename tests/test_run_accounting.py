"""The node counts each run in the worker pool as running until the run has provably ended.

These tests guard against an overload of the machine after lost connections to the worker pool. The node can't
prove that a start command was read if the connection is lost after the write. Runs that are not idempotent
were reported to the decision module as stopped, and their cores and memory were assigned to other runs while
they continued. Idempotent runs were started again, even if the first run ended meanwhile, and the second run
was not counted. In staging this happened with four lost connections in two seconds. With a relay that cuts
the connection 10 runs were in progress at once, instead of 6 without cuts; with answers delayed by 30 ms 8
runs, instead of 4 without cuts, and 24 of 169 idempotent runs were started twice. See
docs/incidents/2026-12-02-staging-fault-injection.md.
"""

import random
import threading

from finchcart.decisions.outcome import Outcome
from finchcart.node.inputs import TimersDue
from finchcart.protocol.messages import CommandRejected
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool
from tests.core_cases import GAUGES, end_run_with_success, outcome_of, plain_harness, start_run
from tests.core_harness import MS, CoreHarness
from tests.harness import draw_settings
from tests.node_testbed import METHODS, read_answers, wait_until
from tests.random_core_runs import run_randomly

SEEDS = range(24)
CALLERS = 24
CORES = 4
RUN_TIME_S = 0.25


class CountingHarness(CoreHarness):
    """Compares the counted runs with the actual runs at each step, and often cuts the connection."""

    cut_probability = 0.06

    def check(self):
        super().check()
        controller = self.core.controller
        if controller is None:
            return
        on_cores = sum(run.state == "running" for run in self.pool.active_runs.values())
        assert controller.state.runs.in_progress >= len(self.pool.active_runs), (
            "more runs in progress than the node counts"
        )
        assert controller.state.runs.on_cores >= on_cores, "more runs on cores than the node counts"
        if self.rng.random() < self.cut_probability:
            self.pool.lose_connection()


def test_every_run_stays_counted_while_connections_are_lost():
    for seed in SEEDS:
        rng = random.Random(seed)
        harness = CountingHarness({**draw_settings(rng), **GAUGES}, seed)
        assert "ok" in run_randomly(harness, rng)


def test_a_second_run_is_counted_if_the_first_one_ends_while_its_start_is_sent_again():
    """The worker pool reads the second start after the end of the first run, and runs the RPC again."""
    harness = plain_harness()
    name = harness.dispatchers.submit(harness.dispatchers.open(), 0)
    harness.step(0)
    harness.read_commands()
    harness.pool.lose_connection()
    for _ in range(40):
        harness.step(MS)
        if any(b"spawn" in data for _, data in harness.commands):
            break
    assert any(b"spawn" in data for _, data in harness.commands), "the start is not written again"
    harness.pool.end_run(name, Outcome.OK)  # the notice is in transit when the second start is read
    for _ in range(3):
        harness.step(MS)
    assert outcome_of(harness, name) == "ok"
    assert harness.pool.runs[name].state == "running"
    assert harness.core.controller.state.runs.on_cores == 1
    harness.pool.end_run(name, Outcome.OK)
    for _ in range(3):
        harness.step(MS)
    assert harness.core.controller.state.runs.on_cores == 0


def test_a_subscription_reply_that_is_read_late_is_not_mistaken_for_a_restart():
    harness = plain_harness()
    name = start_run(harness, 1)
    harness.pool.lose_connection()
    while not harness.commands:
        harness.now += MS
        harness.feed(TimersDue())
        harness.establish_connections()
    harness.read_commands()  # the worker pool replies with `bound`
    harness.step(1_500 * MS)  # the reply is delayed for longer than the tolerance of the restart detection
    assert outcome_of(harness, name) is None
    assert harness.core.controller.state.runs.in_progress == 1
    end_run_with_success(harness, name)


def test_the_rejection_of_a_later_command_does_not_end_the_run():
    harness = plain_harness()
    name = start_run(harness, 1)
    harness.deliver(harness.pool.connection, CommandRejected(False, name))
    harness.step(MS)
    assert outcome_of(harness, name) is None
    assert harness.core.controller.state.runs.in_progress == 1
    end_run_with_success(harness, name)


def test_a_run_whose_end_notice_is_unreadable_is_counted_until_its_deadline():
    harness = plain_harness()
    name = start_run(harness, 1)
    for _ in range(10):
        harness.step(10 * MS)  # the start is confirmed
    assert not harness.core.pool.commands.unconfirmed
    harness.pool.notices_numbered = 1  # the unreadable notice of the end
    for _ in range(2):  # the notice is sent again after the reconnection, and then skipped
        harness.lose_connection(harness.pool.connection, "a line that is no message")
        for _ in range(40):
            harness.step(MS)
            if harness.core.pool.commands.settlement_ticket:
                break
    assert harness.core.pool.cursor.position == 1
    assert harness.core.controller.state.runs.in_progress == 1
    deadline = harness.now + harness.settings["methods.1.deadline"]
    while harness.now <= deadline:
        harness.step(20 * MS)
    assert outcome_of(harness, name) == "failed"
    assert harness.core.controller.state.runs.in_progress == 0


class DisconnectingPool(SimulatedWorkerPool):
    """Closes the connection right after every third start, before the node can know that it was read."""

    starts = 0

    def _spawn(self, connection, message):
        started = super()._spawn(connection, message)
        self.starts += 1
        if self.starts % 3 == 0:
            self.break_connection()
        return started


def test_a_node_never_starts_more_runs_than_cores_while_its_connection_keeps_breaking(testbed):
    settings = testbed.config["settings"]
    settings["contract"]["overloadFactor"] = 2.0
    testbed.write_config()
    testbed.pool = DisconnectingPool(
        testbed.addresses["pool"], dict.fromkeys(METHODS, False), RUN_TIME_S, CORES
    )
    testbed.pool.started -= 60
    testbed.start()
    wait_until(testbed.serves)
    outcomes = []

    def call(number):
        client = testbed.client()
        for attempt in range(12):
            key = f"{number:016x}{attempt:016x}"
            sequence = client.submit("book", b"seat", key, f=str(number))
            outcomes.append(read_answers(client, 1)[sequence][0])

    callers = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert outcomes.count("ok") > 3 * CORES
    assert testbed.pool.peak_load() <= CORES, "more runs at once than cores"
