"""The wall clock of a node's machine steps, by seconds or by an hour, either way; spans are real time.

The failure. After a step back by an hour a node served nobody for an hour: each RPC got the exception
`field s=...: too far from ...`. After a step forward what was in hand failed at once. A node that was told to
leave and then stepped back did not end before its kill.

The cause. Deadlines, timers and the grace were counted on the wall clock, held at the highest that was seen.
The evidence: no step, 30 of 30 RPCs served; steps to +3600 s, 0, -3600 s, 0, +2, -2, 0: 31 of 42 wrong.
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


def stamp(shim, follows):
    """`s` of an RPC, on the node's own machine's clock or on one that does not step with it."""
    return str(int((time.time() + (shim.clock_offset_s if follows else 0)) * 1000))


def submit(client, shim, number, follows=True):
    return client.submit("book", b"seat", f"{number:032x}", s=stamp(shim, follows), f=str(number))


def test_rpcs_are_served_before_across_and_after_each_step(stepped):
    testbed, shim = stepped
    client = testbed.client()
    outcomes = []
    for step, (offset_s, follows) in enumerate(product(STEPS_S, (True, False))):
        before = submit(client, shim, 10 * step, follows)
        shim.set_clock_offset(offset_s)
        after = [submit(client, shim, 10 * step + number, follows) for number in (1, 2)]
        answers = read_answers(client, 3)
        outcomes += [answers[sequence][0] for sequence in (before, *after)]
    assert outcomes == [ClientOutcome.OK] * 6 * len(STEPS_S)


@pytest.mark.parametrize("offset_s", [-HOUR_S, HOUR_S])
def test_a_node_that_starts_while_its_clock_is_wrong_serves_requests_stamped_by_the_right_one(
    testbed, offset_s
):
    # Guards against a node that rejects each request as invalid: it never saw its callers' offset.
    shim = testbed.load_shim()
    shim.set_clock_offset(offset_s)
    testbed.start_serving(stop_ms=STOP_MS)
    client = testbed.client()
    for number in range(4):
        sequence = submit(client, shim, number, follows=False)
        assert read_answers(client, 1)[sequence][0] is ClientOutcome.OK
    follows = submit(client, shim, 4)
    assert read_answers(client, 1)[follows][0] is ClientOutcome.OK
    assert "stamps of another clock" in testbed.read_log_until("another clock")


@pytest.mark.parametrize("offset_s", [HOUR_S, 2])
def test_the_drain_ends_in_real_time_whatever_the_clock_does(stepped, offset_s):
    drain_ends_in_time(*stepped, offset_s)


def test_the_drain_ends_in_real_time_after_steps_back(stepped):
    drain_ends_in_time(*stepped, -HOUR_S)


def drain_ends_in_time(testbed, shim, offset_s):
    client = testbed.client()
    began = time.monotonic()
    testbed.send_signals(signal.SIGTERM)
    shim.set_clock_offset(offset_s)
    sequence = submit(client, shim, 1)
    assert read_answers(client, 1)[sequence][0] in (ClientOutcome.OK, ClientOutcome.REJECTED)
    client.sock.close()
    assert testbed.process.wait(STOP_MS / 1000 + END_SLACK_S) == 0
    assert time.monotonic() - began < STOP_MS / 1000


def test_what_waited_while_the_process_was_stopped_counts_as_old_and_what_only_looks_so_does_not(stepped):
    testbed, shim = stepped
    deadline_s = testbed.config["settings"]["services"][1]["deadline"] / 1e6
    client = testbed.client()
    testbed.send_signals(signal.SIGSTOP)
    waited = submit(client, shim, 1)
    time.sleep(deadline_s + 0.3)  # that much older it is: nothing is decided by how much
    shim.set_clock_offset(-deadline_s)
    testbed.send_signals(signal.SIGCONT)
    assert read_answers(client, 1)[waited][0] != ClientOutcome.OK
    fresh = submit(client, shim, 2)
    assert read_answers(client, 1)[fresh][0] == ClientOutcome.OK
    shim.set_clock_offset(-deadline_s - 2)
    looks_old = [submit(client, shim, number) for number in (3, 4)]
    assert {answer[0] for answer in read_answers(client, 2).values()} == {ClientOutcome.OK}, looks_old
    assert testbed.started_runs().count(b"seat") == 3
