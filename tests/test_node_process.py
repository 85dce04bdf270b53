"""The node as a process, over loopback among simulated peers; and starts that can't be."""

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


def test_it_serves_repeats_closes_and_drains_over_loopback(testbed):
    testbed.start()  # the worker pool comes later
    testbed.start_peers()
    wait_until(testbed.serves)
    client = testbed.client()
    look, first, second, odd = (
        client.submit("look-up", b"bird"),
        client.submit("book", b"seat", "a" * 32),
        client.submit("book", b"seat", "a" * 32),
        client.submit("shout", b""),
    )
    got = read_answers(client, 4)
    assert got[look] == ("ok", b"BIRD drib tuoba")
    assert got[first] == got[second] == ("ok", b"SEAT")
    assert got[odd][0] == "exception"
    assert b"no such method" in got[odd][1]
    assert sorted(run[1:] for run in testbed.pool.spawned if run[2] != b"?") == [
        ("book", b"seat"),
        ("look-up", b"bird"),
    ]
    # hostile bytes cost one connection, after the answers that it is owed
    bad = testbed.client()
    owed = bad.submit("book", b"owed", "b" * 32)
    bad.sock.sendall(b"\xff\xff\xff\xffrubbish")
    assert read_answers(bad, 1) == {owed: ("ok", b"OWED")}
    with pytest.raises((EOFError, ConnectionError)):
        bad.answer()
    # a slow writer and a broken connection to the pool bother no one
    slow = testbed.client()
    slow.sock.sendall(b"\0\0")
    testbed.pool.connection.shutdown(socket.SHUT_RDWR)
    wait_until(testbed.serves)
    wait_until(lambda: testbed.registration() == "on")
    last = testbed.client()
    seq = last.submit("book", b"last", "c" * 32)
    testbed.send_signals(signal.SIGTERM)
    assert read_answers(last, 1) == {seq: ("ok", b"LAST")}
    for each in (client, slow, last, bad):
        each.sock.close()
    assert testbed.process.wait(10) == 0
    assert testbed.registration() == "off"
    log = testbed.process.stderr.read()
    assert "drain" in log
    assert "ended" in log
    assert "Traceback" not in log
    assert "ERROR" not in log


def test_a_node_of_the_last_tier_starts_and_serves_with_no_store_named(testbed):
    del testbed.addresses["store"], testbed.config["store"]
    testbed.write_config()
    testbed.pool = SimulatedWorkerPool(testbed.addresses["pool"], METHODS)
    testbed.start()
    wait_until(testbed.serves)  # its run stands at a call, which is left out: there is nobody to call
    client = testbed.client()
    seq = client.submit("book", b"seat", "a" * 32)
    assert read_answers(client, 1) == {seq: ("ok", b"SEAT")}
    status, log = testbed.terminate()
    assert status == 0
    assert "Traceback" not in log
    assert "ERROR" not in log


def test_sighup_moves_it_to_new_addresses_and_what_can_not_be_used_is_left(testbed):
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
    assert "pool, store, registry readdressed" in log


@pytest.mark.parametrize(
    "sent", [b"", b"\0\0\1\0\x80\1", b"\x03\xff\xff\xff", b"\xff\0\0\1", b"GET / HTTP/1.1\r\n"]
)
def test_a_client_that_stays_silent_or_sends_rubbish_is_closed_in_time(testbed, sent):
    testbed.start_peers()
    testbed.start()
    client = testbed.client()
    client.sock.sendall(sent)
    client.sock.settimeout(3)
    with pytest.raises((EOFError, ConnectionError)):
        while client.answer():
            pass


def test_killed_and_restarted_it_serves_without_state(testbed):
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
    seq = again.submit("book", b"seat", "a" * 32)
    assert read_answers(again, 1) == {seq: ("ok", b"SEAT")}


def test_running_out_of_descriptors_neither_kills_nor_spins_it(testbed):
    testbed.start_peers()
    testbed.start("ulimit -n 40; exec")
    wait_until(testbed.serves)
    live = testbed.client()
    served = 0
    crowd = [socket.create_connection(testbed.addresses["listen"]) for _ in range(60)]
    before = testbed.cpu_seconds()
    began = time.monotonic()
    while time.monotonic() - began < 0.6 or served < 5:  # who is in is served meanwhile
        seq = live.submit("book", b"live", f"{served:032x}")
        assert read_answers(live, 1) == {seq: ("ok", b"LIVE")}
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
    for _ in range(500):  # each speaks as it comes: those that stay silent for 1.5 s are closed
        crowd.append(testbed.client())
        crowd[-1].submit("look-up", b"x" * 2000)
    for client in crowd:
        assert len(read_answers(client, 1)) == 1
        client.sock.sendall(b"\0\0\3\0\x80")  # and now holds a buffer
    wait_until(testbed.serves)
    assert testbed.peak_memory_mb() < 64
    for client in crowd:
        client.sock.close()


def test_nothing_optional_is_imported_on_the_way_to_ready():
    code = "import sys, finchcart.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    loaded = set(done.stdout.split())
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
    "spoil, words",
    [
        (None, "No such file"),
        ("{", "Expecting"),
        ("{}", "is missing"),
        ("bad port", "invalid literal"),
        ("taken", "Address already in use"),
    ],
)
def test_a_start_that_can_not_be_is_one_plain_line_and_status_2(tmp_path, spoil, words):
    testbed = NodeTestbed(tmp_path)
    path = testbed.path
    if spoil in ("{", "{}"):
        path.write_text(spoil)
    elif spoil == "bad port":
        _, port = testbed.addresses["listen"]
        path.write_text(path.read_text().replace(f":{port}", ":port", 1))
    elif spoil == "taken":
        holder = socket.create_server(testbed.addresses["listen"])
    else:
        path = tmp_path / "none.json"
    done = subprocess.run(
        [sys.executable, "-m", "finchcart"],
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    if spoil == "taken":
        holder.close()
    lines = done.stderr.splitlines()
    if spoil == "taken":  # it may pass: tried again for a while, which is told once
        assert "WARNING" in lines[0]
        assert "trying again" in lines.pop(0)
    assert done.returncode == 2
    assert words in done.stderr
    assert len(lines) == 1
