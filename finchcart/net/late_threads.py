"""Threads that could not be started for want of one: started later, by a thread that is always there.

Owns that one thread. It must never give up what waits before a bound that is long for a shortage.
"""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from time import sleep

from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import SHORTAGE_PAUSE_S, retry_at_start

MOST_TRIES = 300  # one every `SHORTAGE_PAUSE_S`


class LateThread:
    """A thread that is still to be started; it can be waited for like one that runs.

    `give_up()` is called where it could not be started in time.
    """

    def __init__(self, act: Callable[[], None], name: str, give_up: Callable[[], None]) -> None:
        self._act = act
        self._name = name
        self._give_up = give_up
        self._ended = threading.Event()

    def join(self) -> None:
        """Wait until it has run, or was given up."""
        self._ended.wait()

    def start(self) -> None:
        """Try to start it until it runs, within the bound."""
        for _ in range(MOST_TRIES):
            try:
                start_thread(self._run, self._name)
                return
            except OSError:
                sleep(SHORTAGE_PAUSE_S)
        self._give_up()
        self._ended.set()

    def _run(self) -> None:
        try:
            self._act()
        finally:
            self._ended.set()


class LateThreads:
    """Starts threads, one after the other. Bounds: what waits is one writer a connection."""

    def __init__(self) -> None:
        self._waiting: SimpleQueue[LateThread] = SimpleQueue()
        retry_at_start(lambda: start_thread(self._run, "late threads"), "threads")

    def start(self, thread: LateThread) -> None:
        """Have a thread started as soon as there is one; never blocks."""
        self._waiting.put(thread)

    def _run(self) -> None:
        while True:
            self._waiting.get().start()
