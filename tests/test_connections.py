"""One connection, its buffers and the listener, on real sockets."""

import errno
import random
import select
import socket
import threading
from queue import SimpleQueue

import pytest

from finchcart.limits import Limits
from finchcart.net.buffers import Buffers
from finchcart.net.connection_table import ConnectionTable
from finchcart.net.connections import Connection
from finchcart.net.listener import Listener
from finchcart.protocol.connection_events import (
    ConnectionClosed,
    ConnectionRefused,
    FramesReceived,
    WriteBlocked,
    WriteResumed,
)
from finchcart.thrift import codec
from finchcart.thrift.binary_protocol import BOOL, CALL, FIELD, encode_message
from tests.harness import same_input
from tests.node_testbed import wait_until

LIMITS = Limits(memory_bytes=1 << 28, descriptors=64, stop_timeout_us=1_000_000, linger_timeout_us=20_000)
SMALL_LIMITS = Limits(memory_bytes=1, descriptors=1, stop_timeout_us=1)
HEALTH_CHECK = encode_message(CALL, b"heartbeat", 1, FIELD.pack(BOOL, 1) + b"\1\0")


class TimeoutCounter:
    """A socket that counts the times it waited in vain."""

    def __init__(self, sock):
        self.sock = sock
        self.timeouts = 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv_into(self, *args):
        try:
            return self.sock.recv_into(*args)
        except BlockingIOError:
            self.timeouts += 1
            raise


def socket_pair():
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    return accepted, peer


def open_pair(limits=LIMITS, wrap=lambda sock: sock):
    """A connection of the node, its peer's socket, and the inputs that the connection makes."""
    accepted, peer = socket_pair()
    inputs = SimpleQueue()
    connection = Connection(1, codec.THRIFT_CODEC, inputs, Buffers(limits), limits, sock=wrap(accepted))
    wait_until(lambda: connection.is_open)
    return connection, peer, inputs


def wait_until_closed(inputs):
    while not isinstance(inputs.get(), ConnectionClosed):
        pass


def unread_bytes(connection):
    try:
        return connection.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return b""


def read_all(sock):
    got = b""
    while part := sock.recv(1 << 20):
        got += part
    return got


# ---- Closing


class SilentSystem:
    """A socket of a system that does not tell how much it received, or tells nothing of use."""

    def __init__(self, sock, answer=None):
        self.sock = sock
        self.answer = answer

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def getsockopt(self, *_):
        if self.answer is None:
            raise OSError(errno.ENOPROTOOPT, "not there")
        return self.answer


@pytest.mark.parametrize(
    "wrap",
    [
        lambda sock: sock,
        SilentSystem,
        lambda sock: SilentSystem(sock, b""),
        lambda sock: SilentSystem(sock, bytes(136)),
    ],
)
def test_a_connection_closes_only_where_nothing_is_on_its_way(wrap):
    connection, peer, inputs = open_pair(wrap=wrap)
    peer.sendall(HEALTH_CHECK)
    wait_until(lambda: unread_bytes(connection))
    assert not connection.close_if_idle()  # in the system's buffer
    connection.request_batch()
    # Read, and not yet seen by the core.
    received = inputs.get()
    assert isinstance(received, FramesReceived)
    assert not connection.close_if_idle()
    connection.count_processed(received.frames)
    connection.request_batch()
    peer.sendall(HEALTH_CHECK[:7])
    wait_until(lambda: connection.reader.bytes_read == len(HEALTH_CHECK) + 7 and not unread_bytes(connection))
    assert not connection.close_if_idle()  # half a message
    peer.sendall(HEALTH_CHECK[7:])
    connection.count_processed(inputs.get().frames)
    sent = random.Random(1).randbytes(30_000_000)
    connection.send(sent)
    # An answer that is not written.
    assert same_input(inputs.get(), WriteBlocked(1))
    assert not connection.close_if_idle()
    got = b""
    while len(got) < len(sent):
        got += peer.recv(1 << 20)
    wait_until(connection.close_if_idle)
    assert got == sent
    assert peer.recv(1) == b""  # closed in one direction, nothing was reset
    peer.sendall(HEALTH_CHECK)  # after the close: read past, never handed over as the first is
    peer.close()
    wait_until_closed(inputs)


class LateReader:
    """A socket whose reader is held after it has taken bytes and before it can say so."""

    def __init__(self, sock):
        self.sock = sock
        self.has_read = threading.Event()
        self.goes_on = threading.Event()

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv_into(self, buffer, count=0, flags=0):
        read = self.sock.recv_into(buffer, count, flags)
        if not flags & socket.MSG_PEEK:
            self.has_read.set()
            assert self.goes_on.wait(10)
        return read


def test_a_request_in_the_hands_of_a_reader_that_is_late_is_not_closed_over():
    # Guards against a request lost at a close, where its reader thread waits for a core or for the GIL.
    connection, peer, inputs = open_pair(wrap=LateReader)
    connection.request_batch()
    peer.sendall(HEALTH_CHECK)
    assert connection.sock.has_read.wait(10)
    assert not connection.close_if_idle()
    connection.sock.goes_on.set()
    connection.count_processed(inputs.get().frames)
    assert connection.close_if_idle()


def test_a_peer_that_reads_late_gets_all_that_was_sent_before_the_close():
    connection, peer, _ = open_pair(wrap=TimeoutCounter)
    sent = random.Random(2).randbytes(30_000_000)
    connection.send(sent)
    connection.close()
    # The peer was silent for longer than is waited for its end.
    wait_until(lambda: connection.sock.timeouts >= 4)
    assert read_all(peer) == sent


def test_a_writer_that_can_not_be_started_breaks_the_connection_and_leaves_nothing_waiting(monkeypatch):
    connection, peer, inputs = open_pair()

    def refuse(act, name):
        raise OSError("can't start new thread")

    monkeypatch.setattr("finchcart.net.writer.start_thread", refuse)
    connection.send(b"x" * 30_000_000)
    assert [type(inputs.get()) for _ in range(2)] == [WriteBlocked, WriteResumed]
    connection.close()
    assert len(read_all(peer)) < 30_000_000
    wait_until_closed(inputs)


def test_a_close_over_unread_bytes_resets_nothing():
    connection, peer, inputs = open_pair()
    peer.sendall(HEALTH_CHECK * 500)  # more than is read before the close
    connection.send(b"the answer")
    connection.close()
    assert read_all(peer) == b"the answer"
    peer.close()
    wait_until_closed(inputs)


# ---- Threads and buffers


def test_a_connection_whose_thread_can_not_be_started_counts_as_refused(monkeypatch):
    def refuse(thread):
        raise RuntimeError("can't start new thread")

    inputs = SimpleQueue()
    connections = ConnectionTable(
        inputs, Buffers(SMALL_LIMITS), SMALL_LIMITS, None, "thrift", codec.THRIFT_CODEC
    )
    monkeypatch.setattr("threading.Thread.start", refuse)
    connections.connect(-1, "store", ("127.0.0.1", 9))
    assert same_input(inputs.get_nowait(), ConnectionRefused(-1, "can't start new thread"))
    assert same_input(inputs.get_nowait(), ConnectionClosed(-1))  # or the core would keep its number for ever


def test_only_a_connection_whose_peer_does_not_read_takes_a_writer_thread():
    connection, peer, inputs = open_pair(SMALL_LIMITS)
    before = set(threading.enumerate())  # threads that other tests left may end meanwhile
    connection.send(b"first")
    assert set(threading.enumerate()) <= before
    assert inputs.empty()
    sent = [random.Random(n).randbytes(1_000_000) for n in range(20)]
    for part in sent:
        connection.send(part)
    started = set(threading.enumerate()) - before
    assert [thread.name for thread in started] == ["write 1"]
    assert same_input(inputs.get(), WriteBlocked(1))
    connection.close()
    assert read_all(peer) == b"first" + b"".join(sent)
    assert same_input(inputs.get(), WriteResumed(1))
    peer.close()
    wait_until_closed(inputs)


def test_buffers_all_come_back_after_cut_whole_and_hostile_bytes():
    rng = random.Random(9)
    limits = SMALL_LIMITS._replace(linger_timeout_us=50_000)
    buffers = Buffers(limits)
    inputs = SimpleQueue()
    for number in range(60):
        accepted, peer = socket_pair()
        connection = Connection(number, codec.THRIFT_CODEC, inputs, buffers, limits, sock=accepted)
        whole = (
            (29).to_bytes(4, "big")
            + bytes.fromhex("8001000100000009")
            + b"heartbeat"
            + bytes.fromhex("000000010200010100")
            + b"\0" * 4
        )
        peer.sendall(
            rng.choice((whole[:29] * 3, whole[: rng.randrange(40)], rng.randbytes(rng.randrange(200))))
        )
        for _ in range(rng.randrange(4)):
            connection.request_batch()
        if rng.random() < 0.8:
            peer.shutdown(socket.SHUT_WR)
            connection.close()
        else:
            connection.drop()
        wait_until_closed(inputs)
        peer.close()
    assert not buffers.in_use


# ---- Accepting


def make_listener(limits):
    listener = Listener(("127.0.0.1", 0), limits)
    opened = SimpleQueue()
    listener.on_accepted = lambda *args: opened.put(args)
    return listener, opened, listener.sock.getsockname()


def test_what_the_system_accepted_before_the_end_of_listening_is_taken():
    listener, opened, address = make_listener(LIMITS)  # nobody accepts: all wait in the backlog
    clients = [socket.create_connection(address) for _ in range(5)]
    for client in clients:
        client.sendall(HEALTH_CHECK)
    listener.stop()
    taken = [opened.get_nowait()[1] for _ in clients]
    assert all(sock.recv(100) == HEALTH_CHECK for sock in taken)
    with pytest.raises(OSError):
        socket.create_connection(address, timeout=1).recv(1)
    for sock in (*taken, *clients):
        sock.close()


class LateComer:
    """A listening socket to which a client connects right after the last look at the backlog."""

    def __init__(self, sock):
        self.sock = sock
        self.client = socket.socket()
        self.client.setblocking(False)
        self.was_connected = None

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def accept(self):
        try:
            return self.sock.accept()
        except BlockingIOError:
            self.client.connect_ex(self.sock.getsockname())
            self.was_connected = bool(select.select([], [self.client], [], 0)[1])
            raise


def test_one_that_connects_as_listening_ends_is_refused_and_not_reset_with_its_request():
    # Guards against a request lost on a connection that the system made and the node never accepted.
    listener, opened, _ = make_listener(SMALL_LIMITS._replace(descriptors=20))
    listener.sock = late = LateComer(listener.sock)
    listener.stop()
    assert late.was_connected is False
    assert opened.empty()
    late.client.close()


def test_no_more_are_accepted_than_descriptors_allow_and_the_rest_when_one_closes():
    limits = Limits(memory_bytes=1 << 28, descriptors=20, stop_timeout_us=1)
    listener, opened, address = make_listener(limits)
    thread = threading.Thread(target=listener.accept, daemon=True)
    thread.start()
    clients = [socket.create_connection(address) for _ in range(limits.descriptors + 5)]
    first = [opened.get(timeout=10) for _ in range(limits.max_accepted)]
    assert limits.max_accepted < limits.descriptors
    assert not listener.capacity.acquire(blocking=False)
    assert opened.empty()
    _, sock, _, on_closed = first[0]
    sock.close()
    on_closed()
    opened.get(timeout=10)
    assert opened.empty()
    listener.stop()
    for each in (*clients, *(sock for _, sock, _, _ in first)):
        each.close()
