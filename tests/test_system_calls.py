"""Tests that transient errors of system calls neither lose a request nor prevent a node from starting.

In staging, such errors ended nodes at the start: one ENOBUFS of `socket` or `listen`, or two EADDRINUSE of
`bind`, led to exit status 2; ENFILE of the second to fourth `socket` call, or a failed start of one of the
first reader threads, led to status 1. A draining node lost the requests in its backlog after one ECONNABORTED
of `accept`. A connection whose reader thread could not be started was closed, and its request was lost.

The tests preload a library into the node that makes the n-th call of a kind fail
(finchcart/fault_injection/processes/process_shim.c), and check the exit status and that each request is
answered.
"""

import errno
import random
import socket
import threading
from queue import SimpleQueue

from finchcart.fault_injection.processes.process_shim import SystemCall
from finchcart.fault_injection.soak.call_sweep import CallFault, CallSweep, all_faults
from finchcart.limits import Limits
from finchcart.log_sink import LogSink
from finchcart.net.listener import Listener
from tests.test_connections import HEALTH_CHECK, open_pair

SAMPLE_SIZE = 36
PEER_COUNT = 3
START_FAULTS = (
    CallFault(SystemCall.SOCKET, errno.ENOBUFS, 1),
    CallFault(SystemCall.LISTEN, errno.ENOBUFS, 1),
    CallFault(SystemCall.BIND, errno.EADDRINUSE, 1, 2),
    CallFault(SystemCall.SOCKET, errno.ENFILE, 2),
    CallFault(SystemCall.SOCKET, errno.ENFILE, 3),
    CallFault(SystemCall.SOCKET, errno.ENFILE, 4),
    CallFault(SystemCall.THREAD, errno.EAGAIN, 1),
    CallFault(SystemCall.THREAD, errno.EAGAIN, 2, 3),
    CallFault(SystemCall.WRITE, errno.ENOSPC, 1, 50),
)


def test_a_node_starts_despite_transient_errors_of_system_calls(tmp_path):
    sweep = CallSweep(tmp_path)
    assert [line for fault in START_FAULTS for line in sweep.check_start(fault)] == []


def test_transient_errors_of_system_calls_in_service_lose_no_request(tmp_path):
    """Runs a seeded sample; `finchcart trial calls` runs every combination of call, error and count."""
    faults = random.Random(7).sample(all_faults(), SAMPLE_SIZE)
    assert CallSweep(tmp_path).check_in_service(faults) == []


class SocketWithFailingTcpInfo:
    """A socket on which the request for the count of received bytes fails with a transient error."""

    def __init__(self, sock):
        self.sock = sock

    def getsockopt(self, level, option, size):
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        raise OSError(errno.ENOMEM, "no memory")

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_close_if_idle_keeps_a_connection_open_if_its_check_fails():
    connection, peer, _ = open_pair()
    connection.sock = SocketWithFailingTcpInfo(connection.sock)
    peer.sendall(HEALTH_CHECK)
    assert not connection.close_if_idle()


def test_lost_log_lines_are_counted_and_reported_once_writes_succeed_again(monkeypatch):
    written = []
    is_full = [True]

    def write(descriptor, data):
        if is_full[0]:
            raise OSError(errno.ENOSPC, "full")
        written.append(bytes(data[:7]))  # short writes
        return len(written[-1])

    monkeypatch.setattr("finchcart.log_sink.os.write", write)
    sink = LogSink()
    sink("lost\n")
    sink("lost too\n")
    is_full[0] = False
    sink("a line\n")
    sink("another line\n")
    assert b"".join(written) == b"2 log lines could not be written\na line\nanother line\n"


class ListenerWithAbortedAccepts:
    """A listening socket on which some calls of `accept` fail, as if the peer had already gone."""

    def __init__(self, sock, failing):
        self.sock = sock
        self.failing = failing
        self.calls = 0

    def accept(self):
        self.calls += 1
        if self.calls in self.failing:
            raise OSError(errno.ECONNABORTED, "aborted")
        return self.sock.accept()

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_stop_accepts_the_whole_backlog_despite_failing_accepts():
    for failing in ({1}, {2, 3}, {1, 3, 4}):
        assert accepted_by_stop(failing) == PEER_COUNT, failing


def accepted_by_stop(failing):
    limits = Limits(memory_bytes=64 << 20, descriptors=200, stop_timeout_us=3_000_000)
    listener = Listener(("127.0.0.1", 0), limits)
    address = listener.sock.getsockname()
    peers = [socket.create_connection(address) for _ in range(PEER_COUNT)]
    listener.sock = ListenerWithAbortedAccepts(listener.sock, failing)
    accepted = SimpleQueue()
    listener.on_accepted = lambda number, sock, host, on_closed: accepted.put(sock)
    listener.stop()
    assert len(peers) == PEER_COUNT
    return accepted.qsize()


def test_a_connection_that_cannot_be_served_yet_waits_and_keeps_its_request():
    limits = Limits(
        memory_bytes=64 << 20, descriptors=200, stop_timeout_us=3_000_000, accept_retry_delay_us=1_000
    )
    listener = Listener(("127.0.0.1", 0), limits)
    errors = [OSError(errno.EAGAIN, "no thread")] * 3
    accepted = SimpleQueue()

    def on_accepted(number, sock, host, on_closed):
        if errors:
            raise errors.pop()
        accepted.put(sock)

    listener.on_accepted = on_accepted
    threading.Thread(target=listener.accept, daemon=True).start()
    peer = socket.create_connection(listener.sock.getsockname())
    peer.sendall(b"request")
    assert accepted.get(timeout=10).recv(100) == b"request"
    listener.stop()
