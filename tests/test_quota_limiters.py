"""Limits as a node enforces them: calls in progress and rates."""

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


def test_a_limiter_never_gives_more_than_was_granted_nor_for_longer():
    class Store:
        hands = {False: 0, True: 0}

        def in_flight(self, leased):
            return self.hands[leased]

    limiter, store = CallConcurrencyLimiter(Limit("store", 9, 1), 20_000), Store()
    limiter.now_us = 1_000_000
    assert limiter.capacity(store) == 1
    assert limiter.try_acquire(store) == (False, None)
    store.hands[False] = 1
    assert limiter.try_acquire(store) is None
    assert limiter.refusals == 1
    limiter.set_allowance(1, 2, 2_000_000)
    assert limiter.capacity(store) == 3
    assert limiter.try_acquire(store) == (True, 978_000)
    store.hands[True] = 2
    assert limiter.try_acquire(store) is None
    store.hands[True], limiter.now_us = 1, 1_970_000
    assert limiter.try_acquire(store) is None, "less is left than a call may be late by"
    assert limiter.capacity(store) == 1, "less is left than a call may be late by"
    limiter.set_allowance(None, 0, 0)
    assert limiter.capacity(store) is None
    assert limiter.try_acquire(store) == (False, None)


def fullest_bucket(make=RateLimiter, seed=1):
    """The most that a bucket held which empties at a limit's rate.

    Nodes take all that their allocations allow, and allocations move between them as planners move them:
    granted again when the last holder's is over.
    """
    chance = random.Random(seed)
    limit = Limit("store", 100, 2, per="rate", burst=40)
    nodes = [make(limit, 20_000, 8) for _ in range(8)]
    now, level, fullest = 10**6, 0.0, 0.0
    granted = [(0, 0)] * len(nodes)  # amount and end of each one's lease, as the planner counts them
    for limiter in nodes:
        limiter.now_us = now
        limiter.set_allowance(2, 0, 0)
    while now < 60 * SECOND:
        now += 5_000
        level = max(0.0, level - 5_000 * limit.amount / SECOND)
        n = chance.randrange(len(nodes))
        if now >= granted[n][1] and chance.random() < 0.03:
            free = 84 - sum(amount for amount, until in granted if now < until)
            granted[n] = (chance.randint(0, free), now + chance.randrange(200_000, 3 * SECOND))
            nodes[n].now_us = now
            nodes[n].set_allowance(2, *granted[n])
        for limiter in nodes if now // 700_000 % 2 else ():  # all wait, and then take all there is
            limiter.now_us = now
            while limiter.try_acquire():
                level += 1
        fullest = max(fullest, level)
    return fullest


def test_a_strict_rate_is_never_over_however_its_parts_move():
    assert max(fullest_bucket(seed=seed) for seed in range(4)) <= 40
    assert fullest_bucket() > 20, "more than half of the bound is used"


class FullAtOnce(RateLimiter):
    """A part that grows has its burst at once."""

    def set_allowance(self, *what):
        super().set_allowance(*what)
        self.tokens += self.limit.burst / 4


class BurstForEach(RateLimiter):
    def __init__(self, limit, slack, most=1):
        super().__init__(dataclasses.replace(limit, burst=8 * limit.burst), slack, most)


class NeverEnds(RateLimiter):
    def per_second(self):
        return self.floor + self.amount

    def fill(self):
        self.until = 10**12
        super().fill()


@pytest.mark.parametrize("defect", [FullAtOnce, BurstForEach, NeverEnds])
def test_a_planted_defect_of_a_rate_is_found(defect):
    assert max(fullest_bucket(defect, seed) for seed in range(3)) > 40


AT_THE_WRITE = """
import os, signal, sys, time
from queue import SimpleQueue
from finchcart.net.buffers import Buffers
from finchcart.limits import Limits
from finchcart.net.clock import boot_clock
from finchcart.net.connection_table import CODECS
from finchcart.net.connections import Connection
class Stops:
    def __init__(self, sock):
        self.sock = sock
    def __getattr__(self, name):
        return getattr(self.sock, name)
    def send(self, *what):
        os.kill(os.getpid(), signal.SIGSTOP)  # after the last look at the clock, before the write
        return self.sock.send(*what)
limits = Limits(memory_bytes=10**8, descriptors=100, stop_timeout_us=10**6)
place = "127.0.0.1", int(sys.argv[1])
link = Connection(-1, CODECS["store"], SimpleQueue(), Buffers(limits), limits, address=place)
while not link.is_open:
    time.sleep(0.001)
link.sock = Stops(link.sock)
by = boot_clock() + 800_000
print(by, flush=True)
link.send(b"CALL one 300 2\\r\\nab\\r\\n", by)
link.send(b"CALL two 300 2\\r\\nab\\r\\n", by)
print("over", flush=True)
sys.stdin.read()
"""


def test_a_process_stopped_at_the_write_sends_one_call_too_late_and_the_store_ends_it():
    """The stated remainder, on a real process: one call, with the time limit that the store ends it by."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        child = subprocess.Popen(
            [sys.executable, "-c", AT_THE_WRITE, str(listener.getsockname()[1])],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            link, _ = listener.accept()
            link.settimeout(10)
            by = int(child.stdout.readline())
            end, (pid, status) = time.monotonic() + 20, (0, 0)
            while not pid and time.monotonic() < end:  # the bound only ends a run that failed
                pid, status = os.waitpid(child.pid, os.WUNTRACED | os.WNOHANG)
                time.sleep(0.005)
            assert pid
            assert os.WIFSTOPPED(status)
            while boot_clock() <= by:
                time.sleep(0.005)
            child.send_signal(signal.SIGCONT)
            said, late = link.recv(1000), boot_clock() - by
            assert child.stdout.readline() == "over\n"
            while part := link.recv(1000):
                said += part
        finally:
            child.kill()
            child.wait()
    assert late > 0, "one, with its limit; the next breaks the link"
    assert said == b"CALL one 300 2\r\nab\r\n", "one, with its limit; the next breaks the link"
