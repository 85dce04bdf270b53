"""System calls that fail for a moment cost nobody a request, and no node its start.

The failure. In staging nodes did not start, or ended, once each: one ENOBUFS of `socket` or `listen`, or two
EADDRINUSE of `bind`, gave status 2; ENFILE at the second to fourth `socket`, or no thread for the first
readers, gave status 1. A node that left lost requests in its backlog after one ECONNABORTED of `accept`, and
a connection whose reader thread could not be started was closed with the request in it.

The evidence. A library in the process that fails the n-th call of a kind (finchcart/fault_injection/
process_shim.c): the exit status, and each request that had no answer.
"""

import errno
import random
import socket
import threading
from queue import SimpleQueue

from finchcart.fault_injection.processes.process_shim import Call
from finchcart.fault_injection.soak.call_sweep import CallFault, CallSweep, all_faults
from finchcart.limits import Limits
from finchcart.log_sink import LogSink
from finchcart.net.listener import Listener
from tests.test_connections import HEALTH_CHECK, open_pair

SAMPLE = 36
PEERS = 3
START_FAULTS = (
    CallFault(Call.SOCKET, errno.ENOBUFS, 1),
    CallFault(Call.LISTEN, errno.ENOBUFS, 1),
    CallFault(Call.BIND, errno.EADDRINUSE, 1, 2),
    CallFault(Call.SOCKET, errno.ENFILE, 2),
    CallFault(Call.SOCKET, errno.ENFILE, 3),
    CallFault(Call.SOCKET, errno.ENFILE, 4),
    CallFault(Call.THREAD, errno.EAGAIN, 1),
    CallFault(Call.THREAD, errno.EAGAIN, 2, 3),
    CallFault(Call.WRITE, errno.ENOSPC, 1, 50),
)


def test_a_start_gets_over_calls_that_fail_for_a_moment(tmp_path):
    sweep = CallSweep(tmp_path)
    assert [line for fault in START_FAULTS for line in sweep.play_start(fault)] == []


def test_calls_that_fail_in_service_cost_nobody_a_request(tmp_path):
    """A seeded sample; `finchcart trial calls` plays each call, error and count."""
    faults = random.Random(7).sample(all_faults(), SAMPLE)
    assert CallSweep(tmp_path).play_in_service(faults) == []


class FailingLook:
    """A socket whose looks at what the system received fail for a moment."""

    def __init__(self, sock):
        self.sock = sock

    def getsockopt(self, level, option, size):
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        raise OSError(errno.ENOMEM, "no memory")

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_a_look_that_fails_closes_no_connection_over_what_waits():
    connection, peer, _ = open_pair()
    connection.sock = FailingLook(connection.sock)
    peer.sendall(HEALTH_CHECK)
    assert not connection.close_if_idle()


def test_log_lines_that_can_not_be_written_are_counted_and_told_once_they_can(monkeypatch):
    written = []
    full = [True]

    def write(descriptor, data):
        if full[0]:
            raise OSError(errno.ENOSPC, "full")
        written.append(bytes(data[:7]))  # short writes
        return len(written[-1])

    monkeypatch.setattr("finchcart.log_sink.os.write", write)
    sink = LogSink()
    sink("lost\n")
    sink("lost too\n")
    full[0] = False
    sink("a line\n")
    sink("another line\n")
    assert b"".join(written) == b"2 log lines could not be written\na line\nanother line\n"


class AbortedAccepts:
    """A listening socket some of whose accepts fail, as where the peer has gone already."""

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


def test_the_end_of_listening_takes_the_backlog_over_accepts_that_fail():
    for failing in ({1}, {2, 3}, {1, 3, 4}):
        assert accepted_at_the_end(failing) == PEERS, failing


def accepted_at_the_end(failing):
    limits = Limits(memory_bytes=64 << 20, descriptors=200, stop_timeout_us=3_000_000)
    listener = Listener(("127.0.0.1", 0), limits)
    address = listener.sock.getsockname()
    peers = [socket.create_connection(address) for _ in range(PEERS)]
    listener.sock = AbortedAccepts(listener.sock, failing)
    accepted = SimpleQueue()
    listener.on_accepted = lambda number, sock, host, on_closed: accepted.put(sock)
    listener.stop()
    assert len(peers) == PEERS
    return accepted.qsize()


def test_a_connection_whose_reader_can_not_be_started_waits_for_a_thread():
    limits = Limits(
        memory_bytes=64 << 20, descriptors=200, stop_timeout_us=3_000_000, accept_retry_delay_us=1_000
    )
    listener = Listener(("127.0.0.1", 0), limits)
    refusals = [OSError(errno.EAGAIN, "no thread")] * 3
    taken = SimpleQueue()

    def on_accepted(number, sock, host, on_closed):
        if refusals:
            raise refusals.pop()
        taken.put(sock)

    listener.on_accepted = on_accepted
    threading.Thread(target=listener.accept, daemon=True).start()
    peer = socket.create_connection(listener.sock.getsockname())
    peer.sendall(b"request")
    assert taken.get(timeout=10).recv(100) == b"request"
    listener.stop()
