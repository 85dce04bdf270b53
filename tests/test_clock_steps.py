"""Tests of a node whose machine's wall clock steps, by seconds or by an hour, in either direction.

They guard against deadlines, timers and a grace period that are measured on the wall clock, held at its
highest value while it is behind. After a step back by an hour, a node with this fault rejected every RPC for
an hour as too far from its clock (`field s=...: too far from ...`). After a step forward, its open RPCs
failed immediately. If the clock stepped back during a drain, the node did not end before it was killed. With
the steps +3600 s, 0, -3600 s, 0, +2 s, -2 s, 0, 31 of 42 RPCs got a wrong answer; without a step, 30 of 30
RPCs were served.
"""

import signal
import time
from itertools import product

import pytest

from finchcart.simulated_peers.client import ClientOutcome
from tests.node_testbed import read_answers

HOUR_S = 3600
STEPS_S = (0, HOUR_S, 0, -HOUR_S, 0, 2, -2, 0)
STOP_MS = 2500
END_SLACK_S = 1.0


@pytest.fixture
def stepped(testbed):
    shim = testbed.load_shim()
    testbed.start_serving(stop_ms=STOP_MS)
    return testbed, shim


def timestamp(shim, steps_with_machine):
    """Field `s` of an RPC, on the clock of the node's machine or on a clock that does not step with it."""
    return str(int((time.time() + (shim.clock_offset_s if steps_with_machine else 0)) * 1000))


def submit(client, shim, number, steps_with_machine=True):
    return client.submit(
        "book", b"seat", f"{number:032x}", s=timestamp(shim, steps_with_machine), f=str(number)
    )


def test_rpcs_are_served_before_during_and_after_each_step(stepped):
    testbed, shim = stepped
    client = testbed.client()
    outcomes = []
    for step, (offset_s, steps_with_machine) in enumerate(product(STEPS_S, (True, False))):
        before = submit(client, shim, 10 * step, steps_with_machine)
        shim.set_clock_offset(offset_s)
        after = [submit(client, shim, 10 * step + number, steps_with_machine) for number in (1, 2)]
        answers = read_answers(client, 3)
        outcomes += [answers[sequence][0] for sequence in (before, *after)]
    assert outcomes == [ClientOutcome.OK] * 6 * len(STEPS_S)


@pytest.mark.parametrize("offset_s", [-HOUR_S, HOUR_S])
def test_a_node_that_starts_with_a_wrong_clock_serves_requests_with_correct_timestamps(testbed, offset_s):
    # Guards against rejecting each request as invalid because the node never observed its callers' offset.
    shim = testbed.load_shim()
    shim.set_clock_offset(offset_s)
    testbed.start_serving(stop_ms=STOP_MS)
    client = testbed.client()
    for number in range(4):
        sequence = submit(client, shim, number, steps_with_machine=False)
        assert read_answers(client, 1)[sequence][0] is ClientOutcome.OK
    by_own_clock = submit(client, shim, 4)
    assert read_answers(client, 1)[by_own_clock][0] is ClientOutcome.OK
    assert "stamps of another clock" in testbed.read_log_until("another clock")


@pytest.mark.parametrize("offset_s", [HOUR_S, 2])
def test_a_drain_ends_in_time_after_a_step_forward(stepped, offset_s):
    check_drain_ends_in_time(*stepped, offset_s)


def test_a_drain_ends_in_time_after_a_step_back(stepped):
    check_drain_ends_in_time(*stepped, -HOUR_S)


def check_drain_ends_in_time(testbed, shim, offset_s):
    client = testbed.client()
    started_at = time.monotonic()
    testbed.send_signals(signal.SIGTERM)
    shim.set_clock_offset(offset_s)
    sequence = submit(client, shim, 1)
    assert read_answers(client, 1)[sequence][0] in (ClientOutcome.OK, ClientOutcome.REJECTED)
    client.sock.close()
    assert testbed.process.wait(STOP_MS / 1000 + END_SLACK_S) == 0
    assert time.monotonic() - started_at < STOP_MS / 1000


def test_an_rpc_that_waited_while_the_process_was_stopped_is_late_and_one_after_a_clock_step_is_not(stepped):
    testbed, shim = stepped
    deadline_s = testbed.config["settings"]["services"][1]["deadline"] / 1e6
    client = testbed.client()
    testbed.send_signals(signal.SIGSTOP)
    waited = submit(client, shim, 1)
    time.sleep(deadline_s + 0.3)  # past the deadline; how far past does not matter
    shim.set_clock_offset(-deadline_s)
    testbed.send_signals(signal.SIGCONT)
    assert read_answers(client, 1)[waited][0] != ClientOutcome.OK
    fresh = submit(client, shim, 2)
    assert read_answers(client, 1)[fresh][0] == ClientOutcome.OK
    shim.set_clock_offset(-deadline_s - 2)
    looks_old = [submit(client, shim, number) for number in (3, 4)]
    assert {answer[0] for answer in read_answers(client, 2).values()} == {ClientOutcome.OK}, looks_old
    assert testbed.started_runs().count(b"seat") == 3
