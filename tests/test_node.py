"""The whole program over loopback against small stand-ins, and starts that can't be."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from queue import SimpleQueue

import pytest

from benchmarks.node_process import free_address
from finchcart.net.buffers import Buffers
from finchcart.net.connection_table import ConnectionTable
from finchcart.net.connections import Connection
from finchcart.net.limits import Limits
from finchcart.node.inputs import ConnectionClosed, ConnectionRefused, WriteBlocked, WriteResumed
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.registry import Registry
from finchcart.simulated_peers.store import Store
from finchcart.simulated_peers.worker_pool import WorkerPool
from finchcart.thrift import codec
from tests.harness import same_input

METHODS = {"look-up": True, "book": False}


def until(true, within=20):
    """Waits for what must come; the bound only ends a run that failed."""
    end = time.monotonic() + within
    while not true():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.01)


class World:
    def __init__(self, folder):
        self.places = {name: free_address() for name in ("listen", "pool", "store")}
        self.places["roster"] = free_address(socket.SOCK_DGRAM)
        self.registry = Registry(self.places["roster"], on_change=lambda text: None)
        with open("example/config.json", encoding="utf-8") as file:
            self.config = json.load(file)
        self.config["settings"]["contract"]["stopSendingWithin"] = 200_000
        self.path = folder / "config.json"
        self.write(stop_ms=2500)

    def start(self, shell="exec"):
        command = f"{shell} {sys.executable} -m finchcart"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            env={**os.environ, "ROUTER_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        until(self.listens)

    def write(self, **more):
        self.config.update({name: "%s:%d" % place for name, place in self.places.items()}, **more)
        self.path.write_text(json.dumps(self.config))

    def hang_up(self):
        self.process.send_signal(signal.SIGHUP)

    def up(self):
        self.pool, self.store = WorkerPool(self.places["pool"], METHODS), Store(self.places["store"])

    def listens(self):
        try:
            client = Client(self.places["listen"])
            client.heartbeat()
            return client.answer()[2] == "ok"
        except OSError:
            return False

    def client(self):
        return Client(self.places["listen"])

    def serves(self):
        client = self.client()
        client.submit("look-up", b"?")
        return client.answer()[2] == "ok"

    def cpu(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            return sum(map(int, file.read().split()[13:15])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024

    def end(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10), self.process.stderr.read()


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path)
    yield made
    if getattr(made, "process", None) and made.process.poll() is None:
        made.process.kill()
        made.process.wait()


def answers(client, count):
    """By sequence number, whatever the order; word of a close left out."""
    got = {}
    while len(got) < count:
        name, seq, what, body, _ = client.answer()
        if name != "closing":
            got[seq] = what, body
    return got


def test_it_serves_repeats_closes_and_drains_over_loopback(world):
    world.start()  # the worker pool comes later
    world.up()
    until(world.serves)
    client = world.client()
    look, first, second, odd = (
        client.submit("look-up", b"bird"),
        client.submit("book", b"seat", "a" * 32),
        client.submit("book", b"seat", "a" * 32),
        client.submit("shout", b""),
    )
    got = answers(client, 4)
    assert got[look] == ("ok", b"BIRD drib tuoba") and got[first] == got[second] == ("ok", b"SEAT")
    assert got[odd][0] == "exception" and b"no such method" in got[odd][1]
    assert sorted(run[1:] for run in world.pool.spawned if run[2] != b"?") == [
        ("book", b"seat"),
        ("look-up", b"bird"),
    ]
    # hostile bytes cost one connection, after the answers that it is owed
    bad = world.client()
    owed = bad.submit("book", b"owed", "b" * 32)
    bad.sock.sendall(b"\xff\xff\xff\xffrubbish")
    assert answers(bad, 1) == {owed: ("ok", b"OWED")}
    with pytest.raises((EOFError, ConnectionError)):
        bad.answer()
    # a slow writer and a broken link to the pool bother no one
    slow = world.client()
    slow.sock.sendall(b"\0\0")
    world.pool.connection.shutdown(socket.SHUT_RDWR)
    until(world.serves)
    until(lambda: world.registry.registrations.get("n1") == "on")
    last = world.client()
    seq = last.submit("book", b"last", "c" * 32)
    world.process.send_signal(signal.SIGTERM)
    assert answers(last, 1) == {seq: ("ok", b"LAST")}
    for each in (client, slow, last, bad):
        each.sock.close()
    assert world.process.wait(10) == 0
    assert world.registry.registrations["n1"] == "off"
    log = world.process.stderr.read()
    assert "drain" in log and "ended" in log and "Traceback" not in log and "ERROR" not in log


def test_a_node_of_the_last_tier_starts_and_serves_with_no_store_named(world):
    del world.places["store"], world.config["store"]
    world.write()
    world.pool = WorkerPool(world.places["pool"], METHODS)
    world.start()
    until(world.serves)  # its run stands at a call, which is left out: there is nobody to call
    client = world.client()
    seq = client.submit("book", b"seat", "a" * 32)
    assert answers(client, 1) == {seq: ("ok", b"SEAT")}
    status, log = world.end()
    assert status == 0 and "Traceback" not in log and "ERROR" not in log


def test_sighup_moves_it_to_new_places_and_what_can_not_be_used_is_left(world):
    world.start()
    world.up()
    until(world.serves)
    client = world.client()
    during = client.submit("book", b"seat", "a" * 32)
    world.path.write_text("{")
    world.hang_up()
    assert world.serves()
    world.places.update(pool=free_address(), store=free_address(), roster=free_address(socket.SOCK_DGRAM))
    world.registry = Registry(world.places["roster"], on_change=lambda text: None)
    before = world.store.accepted
    for party in (world.pool, world.store):
        party.listen(world.places["pool" if party is world.pool else "store"])
    world.write()
    for _ in range(3):
        world.hang_up()
    until(lambda: world.registry.registrations.get("n1") == "on")
    assert answers(client, 1) == {during: ("ok", b"SEAT")}
    until(lambda: world.serves() and world.store.accepted > before)
    status, log = world.end()
    assert status == 0 and "not taken" in log and "pool, store, registry readdressed" in log


@pytest.mark.parametrize(
    "sent", [b"", b"\0\0\1\0\x80\1", b"\x03\xff\xff\xff", b"\xff\0\0\1", b"GET / HTTP/1.1\r\n"]
)
def test_a_client_that_stays_silent_or_sends_rubbish_is_closed_in_time(world, sent):
    world.up()
    world.start()
    client = world.client()
    client.sock.sendall(sent)
    client.sock.settimeout(3)
    with pytest.raises((EOFError, ConnectionError)):
        while client.answer():
            pass


def test_killed_and_started_again_it_serves_with_empty_hands(world):
    world.up()
    world.start()
    until(world.serves)
    client = world.client()
    client.submit("book", b"seat", "a" * 32)
    world.process.kill()
    world.process.wait()
    with pytest.raises((EOFError, ConnectionError)):
        while True:
            client.answer()
    world.start()
    until(world.serves)
    again = world.client()
    seq = again.submit("book", b"seat", "a" * 32)
    assert answers(again, 1) == {seq: ("ok", b"SEAT")}


def test_running_out_of_descriptors_neither_kills_nor_spins_it(world):
    world.up()
    world.start("ulimit -n 40; exec")
    until(world.serves)
    live, served = world.client(), 0
    crowd = [socket.create_connection(world.places["listen"]) for _ in range(60)]
    before, began = world.cpu(), time.monotonic()
    while time.monotonic() - began < 0.6 or served < 5:  # who is in is served meanwhile
        seq = live.submit("book", b"live", f"{served:032x}")
        assert answers(live, 1) == {seq: ("ok", b"LIVE")}
        served += 1
    assert world.cpu() - before < 0.5 * (time.monotonic() - began)
    live.sock.close()
    for sock in crowd:
        sock.close()
    until(world.serves)
    status, log = world.end()
    assert status == 0 and 1 <= log.count("accept:") <= 3


def test_five_hundred_connections_take_a_third_of_the_memory(world):
    world.up()
    world.start("exec env MALLOC_ARENA_MAX=2")
    until(world.serves)
    crowd = []
    for _ in range(500):  # each speaks as it comes: those that stay silent for 1.5 s are closed
        crowd.append(world.client())
        crowd[-1].submit("look-up", b"x" * 2000)
    for client in crowd:
        assert len(answers(client, 1)) == 1
        client.sock.sendall(b"\0\0\3\0\x80")  # and now holds a buffer
    until(world.serves)
    assert world.peak_mb() < 64
    for client in crowd:
        client.sock.close()


def test_nothing_optional_is_imported_on_the_way_to_ready():
    code = "import sys, finchcart.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    loaded = set(done.stdout.split())
    optional = (
        "cli",
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


def test_a_link_whose_thread_can_not_be_started_counts_as_refused(monkeypatch):
    def none(thread):
        raise RuntimeError("can't start new thread")

    inputs, limits = SimpleQueue(), Limits(memory=1, descriptors=1, stop_timeout=1)
    links = ConnectionTable(inputs, Buffers(limits), limits, None, "thrift", codec.THRIFT_CODEC)
    monkeypatch.setattr("threading.Thread.start", none)
    links.connect(-1, "store", ("127.0.0.1", 9))
    assert same_input(inputs.get_nowait(), ConnectionRefused(-1, "can't start new thread"))
    assert same_input(inputs.get_nowait(), ConnectionClosed(-1))  # or the core would keep its number for ever


def test_only_a_link_whose_far_side_does_not_read_takes_a_writer_thread():
    limits, inputs = Limits(memory=1, descriptors=1, stop_timeout=1), SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname())
        near, _ = server.accept()
    link = Connection(1, codec.THRIFT_CODEC, inputs, Buffers(limits), limits, sock=near)
    until(lambda: link.is_open)
    before = threading.active_count()
    link.send(b"first")
    assert threading.active_count() == before and inputs.empty()
    sent = [random.Random(n).randbytes(1_000_000) for n in range(20)]
    for part in sent:
        link.send(part)
    assert threading.active_count() == before + 1 and same_input(inputs.get(), WriteBlocked(1))
    link.close()
    got = b""
    while part := far.recv(1 << 20):
        got += part
    assert got == b"first" + b"".join(sent) and same_input(inputs.get(), WriteResumed(1))
    far.close()
    while not isinstance(inputs.get(), ConnectionClosed):
        pass


def test_buffers_all_come_back_after_cut_whole_and_hostile_bytes():
    rng, limits = random.Random(9), Limits(memory=1, descriptors=1, stop_timeout=1, linger_timeout=50_000)
    buffers, inputs = Buffers(limits), SimpleQueue()
    server = socket.create_server(("127.0.0.1", 0))
    for number in range(60):
        far = socket.create_connection(server.getsockname())
        near, _ = server.accept()
        link = Connection(number, codec.THRIFT_CODEC, inputs, buffers, limits, sock=near)
        whole = (
            (29).to_bytes(4, "big")
            + bytes.fromhex("8001000100000009")
            + b"heartbeat"
            + bytes.fromhex("000000010200010100")
            + b"\0" * 4
        )
        far.sendall(
            rng.choice((whole[:29] * 3, whole[: rng.randrange(40)], rng.randbytes(rng.randrange(200))))
        )
        for _ in range(rng.randrange(4)):
            link.request_batch()
        if rng.random() < 0.8:
            far.shutdown(socket.SHUT_WR)
            link.close()
        else:
            link.drop()
        while not isinstance(inputs.get(), ConnectionClosed):
            pass
        far.close()
    server.close()
    assert not buffers.in_use


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
    world = World(tmp_path)
    path = world.path
    if spoil in ("{", "{}"):
        path.write_text(spoil)
    elif spoil == "bad port":
        path.write_text(path.read_text().replace(":%d" % world.places["listen"][1], ":port", 1))
    elif spoil == "taken":
        holder = socket.create_server(world.places["listen"])
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
    assert done.returncode == 2 and words in done.stderr and done.stderr.count("\n") == 1
