"""Tests that a draining node ends before the earliest kill: the longest deadline (at most 3 s) plus 0.7 s.

A deployment with deadlines of 0.5 s lost requests at each release. The node expected the kill after `stop_ms`
but was killed 1.2 s after the drain notice, with open requests and with connections that it had never
announced to close, since their clients sent without a pause and the connections never idled.

The tests use clients that keep sending on open connections, and check that each request is answered and that
the process ends before the kill.
"""

import os
import signal
import sys
import time

from finchcart.fault_injection.soak.recorded_rules import ProcessLifetime, RuleLimits, find_breaches
from finchcart.fault_injection.soak.recording_client import ClientLoad, MethodProfile, RecordingClient
from tests.node_testbed import wait_until

DEADLINE_S = 0.5
EARLIEST_KILL_S = DEADLINE_S + 0.7
CLIENTS = 6
METHODS = [
    MethodProfile("look-up", "read_like", DEADLINE_S, 0),
    MethodProfile("book", "idempotency_key", DEADLINE_S, 13.0),
]


def leave_under_load(testbed, signals=(signal.SIGTERM,), grace_s=0.3):
    """Drain a node under load; return breaches, exit status, records and the process's lifetime."""
    for service in testbed.config["settings"]["services"]:
        service |= {"deadline": int(DEADLINE_S * 1e6), "target": int(DEADLINE_S * 4e5)}
    testbed.config["settings"]["contract"]["stopSendingWithin"] = int(grace_s * 1e6)
    testbed.start_serving(stop_ms=3200)
    clients = [
        RecordingClient("n1", testbed.addresses["listen"], METHODS, ClientLoad(0.004, 8), seed, time.time)
        for seed in range(CLIENTS)
    ]
    began = time.monotonic()
    for client in clients:
        client.start()
    time.sleep(0.5)
    notice_at = time.monotonic()
    testbed.send_signals(*signals)
    try:
        status = testbed.process.wait(EARLIEST_KILL_S)
    except Exception:
        testbed.kill()
        status = None
    ended_at = time.monotonic()
    for client in clients:
        client.stop()
    for client in clients:
        client.join(3)
    records = [record for client in clients for record in client.records]
    rules = RuleLimits(grace_s, 8.0, 3.0, 4, 1e6, 8.0)
    lifetime = ProcessLifetime(
        began, notice_at, notice_at + EARLIEST_KILL_S, ended_at, killed_without_notice=False
    )
    assert len(records) > 200
    return find_breaches(rules, [lifetime], records, testbed.pool.history), status, records, lifetime


def test_all_requests_are_answered_and_the_node_ends_before_the_earliest_kill(testbed):
    found, status, _, _ = leave_under_load(testbed)
    assert found == []
    assert status == 0


def test_repeated_signals_do_not_delay_the_end_or_lose_requests(testbed):
    series = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
    found, status, _, _ = leave_under_load(testbed, series, grace_s=5.0)
    assert found == []
    assert status == 0


def test_a_reload_signal_before_the_handlers_are_installed_does_not_end_the_process(testbed):
    testbed.start_peers()
    testbed.start_process()
    # Wait for the interpreter: the shell before it ignores SIGHUP only after running its first command.
    wait_until(lambda: testbed.command_line().startswith(os.fsencode(sys.executable)))
    for _ in range(60):  # covers the first 0.3 s, in part of which the signal handlers are not installed yet
        testbed.send_signals(signal.SIGHUP)
        time.sleep(0.005)
    assert testbed.process.poll() is None
    testbed.wait_until_healthy()
