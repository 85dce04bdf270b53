"""The limiters of a node: calls in flight and rates."""

import dataclasses
import os
import random
import signal
import socket
import subprocess
import sys
import time

import pytest

from finchcart.net.clock import boot_clock
from finchcart.node.limiters import CallConcurrencyLimiter, RateLimiter
from finchcart.quota.limits import SECOND, Limit


def test_a_limiter_never_permits_more_calls_than_its_allowance_nor_after_its_expiry():
    class Store:
        calls = {False: 0, True: 0}

        def in_flight(self, leased):
            return self.calls[leased]

    limiter, store = CallConcurrencyLimiter(Limit("store", 9, 1), 20_000), Store()
    limiter.now_us = 1_000_000
    assert limiter.capacity(store) == 1
    assert limiter.try_acquire(store) == (False, None)
    store.calls[False] = 1
    assert limiter.try_acquire(store) is None
    assert limiter.refusals == 1
    limiter.set_allowance(1, 2, 2_000_000)
    assert limiter.capacity(store) == 3
    assert limiter.try_acquire(store) == (True, 978_000)
    store.calls[True] = 2
    assert limiter.try_acquire(store) is None
    store.calls[True], limiter.now_us = 1, 1_970_000
    assert limiter.try_acquire(store) is None, "the time left is below the slack"
    assert limiter.capacity(store) == 1, "the time left is below the slack"
    limiter.set_allowance(None, 0, 0)
    assert limiter.capacity(store) is None
    assert limiter.try_acquire(store) == (False, None)


def peak_level(limiter_type=RateLimiter, seed=1):
    """Return the peak level of a bucket that is filled by all requests and drained at the rate of the limit.

    Eight nodes acquire all that their allocations allow. Allocations move between the nodes as planners move
    them: an amount is granted again only after the lease of its last holder has expired.
    """
    rng = random.Random(seed)
    limit = Limit("store", 100, 2, per="rate", burst=40)
    nodes = [limiter_type(limit, 20_000, 8) for _ in range(8)]
    now, level, peak = 10**6, 0.0, 0.0
    granted = [(0, 0)] * len(nodes)  # amount and expiry of each node's lease, as the planner counts them
    for limiter in nodes:
        limiter.now_us = now
        limiter.set_allowance(2, 0, 0)
    while now < 60 * SECOND:
        now += 5_000
        level = max(0.0, level - 5_000 * limit.amount / SECOND)
        n = rng.randrange(len(nodes))
        if now >= granted[n][1] and rng.random() < 0.03:
            free = 84 - sum(amount for amount, until in granted if now < until)
            granted[n] = (rng.randint(0, free), now + rng.randrange(200_000, 3 * SECOND))
            nodes[n].now_us = now
            nodes[n].set_allowance(2, *granted[n])
        for limiter in nodes if now // 700_000 % 2 else ():  # pauses, then bursts of all nodes
            limiter.now_us = now
            while limiter.try_acquire():
                level += 1
        peak = max(peak, level)
    return peak


def test_nodes_never_exceed_a_strict_rate_while_its_shares_move_between_them():
    assert max(peak_level(seed=seed) for seed in range(4)) <= 40
    assert peak_level() > 20, "less than half of the bound is used"


class FullAtOnce(RateLimiter):
    """Adds tokens at once when its share grows."""

    def set_allowance(self, *allowance):
        super().set_allowance(*allowance)
        self.tokens += self.limit.burst / 4


class FullBurstForEachNode(RateLimiter):
    def __init__(self, limit, slack_us, processes=1):
        super().__init__(dataclasses.replace(limit, burst=8 * limit.burst), slack_us, processes)


class NeverExpires(RateLimiter):
    def per_second(self):
        return self.floor + self.amount

    def fill(self):
        self.until = 10**12
        super().fill()


@pytest.mark.parametrize("defect", [FullAtOnce, FullBurstForEachNode, NeverExpires])
def test_a_planted_defect_of_a_rate_limiter_is_found(defect):
    assert max(peak_level(defect, seed) for seed in range(3)) > 40


STOP_BEFORE_WRITE_SCRIPT = """
import os, signal, sys, time
from queue import SimpleQueue
from finchcart.net.buffers import Buffers
from finchcart.limits import Limits
from finchcart.net.clock import boot_clock
from finchcart.net.connection_table import CODECS
from finchcart.net.connections import Connection
class StoppingSocket:
    def __init__(self, sock):
        self.sock = sock
    def __getattr__(self, name):
        return getattr(self.sock, name)
    def send(self, *arguments):
        os.kill(os.getpid(), signal.SIGSTOP)  # after the last check of the clock, before the write
        return self.sock.send(*arguments)
limits = Limits(memory_bytes=10**8, descriptors=100, stop_timeout_us=10**6)
address = "127.0.0.1", int(sys.argv[1])
connection = Connection(-1, CODECS["store"], SimpleQueue(), Buffers(limits), limits, address=address)
while not connection.is_open:
    time.sleep(0.001)
connection.sock = StoppingSocket(connection.sock)
write_by = boot_clock() + 800_000
print(write_by, flush=True)
connection.send(b"CALL one 300 2\\r\\nab\\r\\n", write_by)
connection.send(b"CALL two 300 2\\r\\nab\\r\\n", write_by)
print("over", flush=True)
sys.stdin.read()
"""


def test_a_process_stopped_at_the_write_sends_one_call_too_late_and_the_store_ends_it():
    """A strict limit can be exceeded in one case, which this test shows on a real process.

    A process that is stopped between its last check of the clock and the write sends one call too late. The
    call carries its timeout, at which the store ends the call. The next call is not written, and the
    connection is closed.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        child = subprocess.Popen(
            [sys.executable, "-c", STOP_BEFORE_WRITE_SCRIPT, str(listener.getsockname()[1])],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            connection, _ = listener.accept()
            connection.settimeout(10)
            write_by = int(child.stdout.readline())
            deadline, (pid, status) = time.monotonic() + 20, (0, 0)
            while not pid and time.monotonic() < deadline:  # reached only if the test fails
                pid, status = os.waitpid(child.pid, os.WUNTRACED | os.WNOHANG)
                time.sleep(0.005)
            assert pid
            assert os.WIFSTOPPED(status)
            while boot_clock() <= write_by:
                time.sleep(0.005)
            child.send_signal(signal.SIGCONT)
            received, late_us = connection.recv(1000), boot_clock() - write_by
            assert child.stdout.readline() == "over\n"
            while part := connection.recv(1000):
                received += part
        finally:
            child.kill()
            child.wait()
    assert late_us > 0, "one call with its timeout; the next closes the connection"
    assert received == b"CALL one 300 2\r\nab\r\n", (
        "one call with its timeout; the next closes the connection"
    )
