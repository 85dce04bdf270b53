"""Tests of a node as a process, with simulated peers over loopback, and of starts that fail."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from benchmarks.node_process import free_address
from finchcart.simulated_peers.worker_pool import SimulatedWorkerPool
from tests.node_testbed import METHODS, NodeTestbed, read_answers, wait_until


def test_a_node_serves_duplicates_survives_bad_peers_and_drains(testbed):
    testbed.start()  # the node starts before its worker pool
    testbed.start_peers()
    wait_until(testbed.serves)
    client = testbed.client()
    look_up, first, duplicate, unknown_method = (
        client.submit("look-up", b"bird"),
        client.submit("book", b"seat", "a" * 32),
        client.submit("book", b"seat", "a" * 32),
        client.submit("shout", b""),
    )
    replies = read_answers(client, 4)
    assert replies[look_up] == ("ok", b"BIRD drib tuoba")
    assert replies[first] == replies[duplicate] == ("ok", b"SEAT")
    assert replies[unknown_method][0] == "exception"
    assert b"no such method" in replies[unknown_method][1]
    assert sorted(run[1:] for run in testbed.pool.spawned if run[2] != b"?") == [
        ("book", b"seat"),
        ("look-up", b"bird"),
    ]
    # Invalid bytes close only their own connection, after the pending response on it was sent.
    bad = testbed.client()
    pending = bad.submit("book", b"owed", "b" * 32)
    bad.sock.sendall(b"\xff\xff\xff\xffrubbish")
    assert read_answers(bad, 1) == {pending: ("ok", b"OWED")}
    with pytest.raises((EOFError, ConnectionError)):
        bad.answer()
    # A client that writes slowly and a lost connection to the worker pool do not affect other clients.
    slow = testbed.client()
    slow.sock.sendall(b"\0\0")
    testbed.pool.connection.shutdown(socket.SHUT_RDWR)
    wait_until(testbed.serves)
    wait_until(lambda: testbed.registration() == "on")
    last = testbed.client()
    sequence = last.submit("book", b"last", "c" * 32)
    testbed.send_signals(signal.SIGTERM)
    assert read_answers(last, 1) == {sequence: ("ok", b"LAST")}
    for each in (client, slow, last, bad):
        each.sock.close()
    assert testbed.process.wait(10) == 0
    assert testbed.registration() == "off"
    log = testbed.process.stderr.read()
    assert "drain" in log
    assert "ended" in log
    assert "Traceback" not in log
    assert "ERROR" not in log


def test_a_node_of_the_last_tier_serves_without_a_store_address(testbed):
    del testbed.addresses["store"], testbed.config["store"]
    testbed.write_config()
    testbed.pool = SimulatedWorkerPool(testbed.addresses["pool"], METHODS)
    testbed.start()
    wait_until(testbed.serves)  # the run asks for a call, which is skipped because there is no store
    client = testbed.client()
    sequence = client.submit("book", b"seat", "a" * 32)
    assert read_answers(client, 1) == {sequence: ("ok", b"SEAT")}
    status, log = testbed.terminate()
    assert status == 0
    assert "Traceback" not in log
    assert "ERROR" not in log


def test_sighup_applies_new_addresses_and_rejects_an_invalid_configuration(testbed):
    testbed.start()
    testbed.start_peers()
    wait_until(testbed.serves)
    client = testbed.client()
    during = client.submit("book", b"seat", "a" * 32)
    testbed.path.write_text("{")
    testbed.send_signals(signal.SIGHUP)
    assert testbed.serves()
    testbed.addresses.update(
        pool=free_address(), store=free_address(), roster=free_address(socket.SOCK_DGRAM)
    )
    testbed.start_registry()
    before = testbed.store.accepted
    for party in (testbed.pool, testbed.store):
        party.listen(testbed.addresses["pool" if party is testbed.pool else "store"])
    testbed.write_config()
    for _ in range(3):
        testbed.send_signals(signal.SIGHUP)
    wait_until(lambda: testbed.registration() == "on")
    assert read_answers(client, 1) == {during: ("ok", b"SEAT")}
    wait_until(lambda: testbed.serves() and testbed.store.accepted > before)
    status, log = testbed.terminate()
    assert status == 0
    assert "configuration rejected" in log
    assert "addresses changed: pool, store, registry" in log


@pytest.mark.parametrize(
    "sent", [b"", b"\0\0\1\0\x80\1", b"\x03\xff\xff\xff", b"\xff\0\0\1", b"GET / HTTP/1.1\r\n"]
)
def test_a_connection_that_stays_silent_or_sends_invalid_bytes_is_closed_in_time(testbed, sent):
    testbed.start_peers()
    testbed.start()
    client = testbed.client()
    client.sock.sendall(sent)
    client.sock.settimeout(3)
    with pytest.raises((EOFError, ConnectionError)):
        while client.answer():
            pass


def test_a_node_that_is_killed_and_restarted_serves_without_its_old_state(testbed):
    testbed.start_peers()
    testbed.start()
    wait_until(testbed.serves)
    client = testbed.client()
    client.submit("book", b"seat", "a" * 32)
    testbed.kill()
    with pytest.raises((EOFError, ConnectionError)):
        while True:
            client.answer()
    testbed.start()
    wait_until(testbed.serves)
    again = testbed.client()
    sequence = again.submit("book", b"seat", "a" * 32)
    assert read_answers(again, 1) == {sequence: ("ok", b"SEAT")}


def test_running_out_of_descriptors_causes_neither_an_exit_nor_a_busy_loop(testbed):
    testbed.start_peers()
    testbed.start("ulimit -n 40; exec")
    wait_until(testbed.serves)
    live = testbed.client()
    served = 0
    crowd = [socket.create_connection(testbed.addresses["listen"]) for _ in range(60)]
    before = testbed.cpu_seconds()
    began = time.monotonic()
    while time.monotonic() - began < 0.6 or served < 5:  # an accepted connection is served meanwhile
        sequence = live.submit("book", b"live", f"{served:032x}")
        assert read_answers(live, 1) == {sequence: ("ok", b"LIVE")}
        served += 1
    assert testbed.cpu_seconds() - before < 0.5 * (time.monotonic() - began)
    live.sock.close()
    for sock in crowd:
        sock.close()
    wait_until(testbed.serves)
    status, log = testbed.terminate()
    assert status == 0
    assert 1 <= log.count("accept failed:") <= 3


def test_five_hundred_connections_take_a_third_of_the_memory(testbed):
    testbed.start_peers()
    testbed.start("exec env MALLOC_ARENA_MAX=2")
    wait_until(testbed.serves)
    crowd = []
    for _ in range(500):  # each sends a request immediately, as a silent connection is closed after 1.5 s
        crowd.append(testbed.client())
        crowd[-1].submit("look-up", b"x" * 2000)
    for client in crowd:
        assert len(read_answers(client, 1)) == 1
        client.sock.sendall(b"\0\0\3\0\x80")  # an incomplete message, for which the node holds a buffer
    wait_until(testbed.serves)
    assert testbed.peak_memory_mb() < 64
    for client in crowd:
        client.sock.close()


def test_a_node_without_a_fleet_imports_no_optional_module():
    code = "import sys, finchcart.__main__; print(*sys.modules)"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    loaded = set(completed.stdout.split())
    optional = (
        "cli",
        "fleet_settings",
        "fleet_queries",
        "membership",
        "quota",
        "consensus",
        "key_leases",
        "fault_injection",
        "simulated_peers",
        "node.shadow",
    )
    assert not [name for name in loaded if name.startswith(tuple(f"finchcart.{part}" for part in optional))]
    assert not loaded & {"msgspec", "xxhash", "json5", "click"}


@pytest.mark.parametrize(
    "mistake, expected",
    [
        (None, "No such file"),
        ("{", "Expecting"),
        ("{}", "is missing"),
        ("bad port", "invalid literal"),
        ("taken", "Address already in use"),
    ],
)
def test_a_start_that_fails_prints_one_line_and_exits_with_status_2(tmp_path, mistake, expected):
    testbed = NodeTestbed(tmp_path)
    path = testbed.path
    if mistake in ("{", "{}"):
        path.write_text(mistake)
    elif mistake == "bad port":
        _, port = testbed.addresses["listen"]
        path.write_text(path.read_text().replace(f":{port}", ":port", 1))
    elif mistake == "taken":
        other_listener = socket.create_server(testbed.addresses["listen"])
    else:
        path = tmp_path / "none.json"
    completed = subprocess.run(
        [sys.executable, "-m", "finchcart"],
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    if mistake == "taken":
        other_listener.close()
    lines = completed.stderr.splitlines()
    if mistake == "taken":  # a transient error: the node retries for a while and logs one warning
        assert "WARNING" in lines[0]
        assert "trying again" in lines.pop(0)
    assert completed.returncode == 2
    assert expected in completed.stderr
    assert len(lines) == 1
