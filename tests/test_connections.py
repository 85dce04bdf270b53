"""Tests of a connection, its buffers and the listener, with real sockets."""

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


class TimeoutCountingSocket:
    """A socket that counts the reads that timed out."""

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
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    return accepted, peer


def open_pair(limits=LIMITS, wrap=lambda sock: sock):
    """Return a connection of the node, its peer's socket, and the queue of the connection's inputs."""
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
    received = b""
    while part := sock.recv(1 << 20):
        received += part
    return received


# ---- Closing


class SocketWithoutByteCount:
    """A socket for which TCP_INFO is not supported, or returns `answer`, which has no count of bytes."""

    def __init__(self, sock, answer=None):
        self.sock = sock
        self.answer = answer

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def getsockopt(self, *_):
        if self.answer is None:
            raise OSError(errno.ENOPROTOOPT, "not supported")
        return self.answer


@pytest.mark.parametrize(
    "wrap",
    [
        lambda sock: sock,
        SocketWithoutByteCount,
        lambda sock: SocketWithoutByteCount(sock, b""),
        lambda sock: SocketWithoutByteCount(sock, bytes(136)),
    ],
)
def test_close_if_idle_keeps_a_connection_open_while_data_is_in_transit(wrap):
    connection, peer, inputs = open_pair(wrap=wrap)
    peer.sendall(HEALTH_CHECK)
    wait_until(lambda: unread_bytes(connection))
    assert not connection.close_if_idle()  # a message is in the kernel's receive buffer
    connection.request_batch()
    # The message was read, and is not yet processed by the core.
    batch = inputs.get()
    assert isinstance(batch, FramesReceived)
    assert not connection.close_if_idle()
    connection.count_processed(batch.frames)
    connection.request_batch()
    peer.sendall(HEALTH_CHECK[:7])
    wait_until(lambda: connection.reader.bytes_read == len(HEALTH_CHECK) + 7 and not unread_bytes(connection))
    assert not connection.close_if_idle()  # half of a message was read
    peer.sendall(HEALTH_CHECK[7:])
    connection.count_processed(inputs.get().frames)
    sent = random.Random(1).randbytes(30_000_000)
    connection.send(sent)
    # Part of an answer is not written yet.
    assert same_input(inputs.get(), WriteBlocked(1))
    assert not connection.close_if_idle()
    received = b""
    while len(received) < len(sent):
        received += peer.recv(1 << 20)
    wait_until(connection.close_if_idle)
    assert received == sent
    assert peer.recv(1) == b""  # closed in one direction, and not reset
    peer.sendall(HEALTH_CHECK)  # after the close: discarded
    peer.close()
    wait_until_closed(inputs)


class PausingSocket:
    """A socket that pauses the reader thread after it has read bytes and before it can count them."""

    def __init__(self, sock):
        self.sock = sock
        self.has_read = threading.Event()
        self.may_continue = threading.Event()

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv_into(self, buffer, count=0, flags=0):
        read = self.sock.recv_into(buffer, count, flags)
        if not flags & socket.MSG_PEEK:
            self.has_read.set()
            assert self.may_continue.wait(10)
        return read


def test_close_if_idle_keeps_a_connection_open_while_its_delayed_reader_holds_a_request():
    # The request was lost if the reader thread, after reading it, waited for the CPU or the interpreter lock.
    connection, peer, inputs = open_pair(wrap=PausingSocket)
    connection.request_batch()
    peer.sendall(HEALTH_CHECK)
    assert connection.sock.has_read.wait(10)
    assert not connection.close_if_idle()
    connection.sock.may_continue.set()
    connection.count_processed(inputs.get().frames)
    assert connection.close_if_idle()


def test_a_peer_that_reads_late_receives_all_data_sent_before_the_close():
    connection, peer, _ = open_pair(wrap=TimeoutCountingSocket)
    sent = random.Random(2).randbytes(30_000_000)
    connection.send(sent)
    connection.close()
    # The peer has been silent for longer than the linger timeout.
    wait_until(lambda: connection.sock.timeouts >= 4)
    assert read_all(peer) == sent


def test_a_failed_start_of_the_writer_thread_breaks_the_connection_and_ends_the_write(monkeypatch):
    connection, peer, inputs = open_pair()

    def refuse(act, name):
        raise OSError("can't start new thread")

    monkeypatch.setattr("finchcart.net.writer.start_thread", refuse)
    connection.send(b"x" * 30_000_000)
    assert [type(inputs.get()) for _ in range(2)] == [WriteBlocked, WriteResumed]
    connection.close()
    assert len(read_all(peer)) < 30_000_000
    wait_until_closed(inputs)


def test_a_close_with_unread_bytes_does_not_reset_the_connection():
    connection, peer, inputs = open_pair()
    peer.sendall(HEALTH_CHECK * 500)  # more than the reader reads before the close
    connection.send(b"the answer")
    connection.close()
    assert read_all(peer) == b"the answer"
    peer.close()
    wait_until_closed(inputs)


# ---- Threads and buffers


def test_a_connection_whose_thread_cannot_be_started_is_reported_as_refused(monkeypatch):
    def refuse(thread):
        raise RuntimeError("can't start new thread")

    inputs = SimpleQueue()
    connections = ConnectionTable(
        inputs, Buffers(SMALL_LIMITS), SMALL_LIMITS, None, "thrift", codec.THRIFT_CODEC
    )
    monkeypatch.setattr("threading.Thread.start", refuse)
    connections.connect(-1, "store", ("127.0.0.1", 9))
    assert same_input(inputs.get_nowait(), ConnectionRefused(-1, "can't start new thread"))
    assert same_input(
        inputs.get_nowait(), ConnectionClosed(-1)
    )  # without it, the core keeps the number forever


def test_a_writer_thread_is_started_only_while_the_peer_does_not_read():
    connection, peer, inputs = open_pair(SMALL_LIMITS)
    before = set(threading.enumerate())  # includes threads of other tests, which may end during this test
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


def test_all_buffers_are_released_after_truncated_complete_and_random_messages():
    rng = random.Random(9)
    limits = SMALL_LIMITS._replace(linger_timeout_us=50_000)
    buffers = Buffers(limits)
    inputs = SimpleQueue()
    for number in range(60):
        accepted, peer = socket_pair()
        connection = Connection(number, codec.THRIFT_CODEC, inputs, buffers, limits, sock=accepted)
        message = (
            (29).to_bytes(4, "big")
            + bytes.fromhex("8001000100000009")
            + b"heartbeat"
            + bytes.fromhex("000000010200010100")
            + b"\0" * 4
        )
        peer.sendall(
            rng.choice((message[:29] * 3, message[: rng.randrange(40)], rng.randbytes(rng.randrange(200))))
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


def test_stop_accepts_the_connections_in_the_backlog():
    listener, opened, address = make_listener(LIMITS)  # `accept` does not run: clients wait in the backlog
    clients = [socket.create_connection(address) for _ in range(5)]
    for client in clients:
        client.sendall(HEALTH_CHECK)
    listener.stop()
    accepted = [opened.get_nowait()[1] for _ in clients]
    assert all(sock.recv(100) == HEALTH_CHECK for sock in accepted)
    with pytest.raises(OSError):
        socket.create_connection(address, timeout=1).recv(1)
    for sock in (*accepted, *clients):
        sock.close()


class ListenerWithLateClient:
    """A listening socket to which a client connects right after the backlog was found empty."""

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


def test_a_client_that_connects_as_listening_ends_is_not_connected_and_then_reset():
    # A request was lost if the kernel completed a connection that the node never accepted.
    listener, opened, _ = make_listener(SMALL_LIMITS._replace(descriptors=20))
    listener.sock = late_socket = ListenerWithLateClient(listener.sock)
    listener.stop()
    assert late_socket.was_connected is False
    assert opened.empty()
    late_socket.client.close()


def test_connections_beyond_the_limit_wait_until_one_closes():
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
