"""Retries the start of threads that could not be started because the system had no thread left.

A `DeferredThreadStarter` owns the thread that makes the attempts, and starts this thread when it is created.
A deferred thread must never be abandoned before `MAX_START_ATTEMPTS` attempts, which last longer than a
temporary shortage.
"""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from time import sleep

from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import SHORTAGE_PAUSE_S, retry_at_start

MAX_START_ATTEMPTS = 300  # attempts are `SHORTAGE_PAUSE_S` apart


class DeferredThread:
    """A thread that is started later; `join` waits for it as for a `threading.Thread`.

    `on_abandoned()` is called if the thread could not be started in `MAX_START_ATTEMPTS` attempts.
    """

    def __init__(self, target: Callable[[], None], name: str, on_abandoned: Callable[[], None]) -> None:
        self._target = target
        self._name = name
        self._on_abandoned = on_abandoned
        self._ended = threading.Event()

    def join(self) -> None:
        """Wait until the thread has ended or was abandoned."""
        self._ended.wait()

    def start(self) -> None:
        """Try to start the thread, at most `MAX_START_ATTEMPTS` times."""
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
            self._target()
        finally:
            self._ended.set()


class DeferredThreadStarter:
    """Starts deferred threads one after the other.

    At most a reader thread and a writer thread of each connection wait to be started.
    """

    def __init__(self) -> None:
        self._waiting: SimpleQueue[DeferredThread] = SimpleQueue()
        retry_at_start(lambda: start_thread(self._run, "deferred threads"), "threads")

    def start(self, thread: DeferredThread) -> None:
        """Queue a thread to be started as soon as the system allows; never blocks."""
        self._waiting.put(thread)

    def _run(self) -> None:
        while True:
            self._waiting.get().start()
