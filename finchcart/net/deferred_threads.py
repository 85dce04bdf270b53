"""Threads that could not be started for a shortage of them: started later, by a thread that always runs.

Owns that one thread. It must never abandon a thread before `MAX_START_ATTEMPTS`, which outlast a shortage.
"""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from time import sleep

from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import SHORTAGE_PAUSE_S, retry_at_start

MAX_START_ATTEMPTS = 300  # one every `SHORTAGE_PAUSE_S`


class DeferredThread:
    """A thread that is still to be started; `join` waits for it as for one that runs.

    `on_abandoned()` is called where it could not be started within the bound.
    """

    def __init__(self, act: Callable[[], None], name: str, on_abandoned: Callable[[], None]) -> None:
        self._act = act
        self._name = name
        self._on_abandoned = on_abandoned
        self._ended = threading.Event()

    def join(self) -> None:
        """Wait until it has run, or was abandoned."""
        self._ended.wait()

    def start(self) -> None:
        """Try to start it until it runs, within the bound."""
        for _ in range(MAX_START_ATTEMPTS):
            try:
                start_thread(self._run, self._name)
                return
            except OSError:
                sleep(SHORTAGE_PAUSE_S)
        self._on_abandoned()
        self._ended.set()

    def _run(self) -> None:
        try:
            self._act()
        finally:
            self._ended.set()


class DeferredThreadStarter:
    """Starts deferred threads, one after the other. Bounds: what waits is one writer a connection."""

    def __init__(self) -> None:
        self._waiting: SimpleQueue[DeferredThread] = SimpleQueue()
        retry_at_start(lambda: start_thread(self._run, "deferred threads"), "threads")

    def start(self, thread: DeferredThread) -> None:
        """Have a thread started as soon as the system has one; never blocks."""
        self._waiting.put(thread)

    def _run(self) -> None:
        while True:
            self._waiting.get().start()
