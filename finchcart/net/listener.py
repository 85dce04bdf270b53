"""The listening socket, and the limit on accepted connections.

Owns the listening socket and the numbers of accepted connections. It must never read from one.
"""

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from time import sleep

from loguru import logger

from finchcart.limits import Limits
from finchcart.net.sockets import MICROSECONDS_PER_SECOND, ignore_new_connections, shut_down
from finchcart.net.transient_errors import CONNECTION_ERRORS

FIRST_PAUSE_US = 1_000  # after a failure of accept; it doubles
MAX_DOUBLINGS = 10
MAX_CONSECUTIVE_FAILURES = 32  # of accept, that are retried immediately

# Called with a number, the socket, the peer's host, and what to call once its descriptor is free. May raise
# OSError where the connection cannot be served yet: then it is called again after a pause.
OnAccepted = Callable[[int, socket.socket, str | None, Callable[[], None]], None]


class Listener:
    """Accepts dispatchers' connections and numbers them from 1 up.

    Bounded by `limits.max_accepted`: others wait in the system's backlog until one closes, so that
    descriptors remain for the node's own connections and files.
    """

    def __init__(self, address: tuple[str, int], limits: Limits) -> None:
        self.capacity = threading.Semaphore(limits.max_accepted)
        self.on_accepted: OnAccepted  # to be set before `accept` or `stop`
        self._limits = limits
        self._numbers = count(1)
        self._is_stopped = False
        self.sock = self._listen(address)

    def _listen(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(self._limits.backlog)
        except OSError:
            sock.close()
            raise
        return sock

    def accept(self) -> None:
        """Hand each connection to `on_accepted` until `stop` is called; the body of a thread."""
        warned_of: int | None = None
        failures = 0  # one after the other
        while not self._is_stopped:
            self.capacity.acquire()
            try:
                self._accept_one()
            except OSError as error:
                self.capacity.release()
                if self._is_stopped:
                    return
                failures += 1
                if error.errno != warned_of:
                    logger.warning("accept: {}", error.strerror)
                warned_of = error.errno
                # Guards against a busy loop where descriptors or memory run out: the backlog is accepted
                # later. An error of one connection delays the others only where it goes on.
                if error.errno not in CONNECTION_ERRORS or failures > MAX_CONSECUTIVE_FAILURES:
                    self._pause(failures)
                continue
            warned_of = None
            failures = 0

    def _pause(self, failures: int) -> None:
        """Back off: the pause doubles with each consecutive failure, up to `limits.accept_retry_delay_us`."""
        pause_us = FIRST_PAUSE_US << min(failures - 1, MAX_DOUBLINGS)
        sleep(min(pause_us, self._limits.accept_retry_delay_us) / MICROSECONDS_PER_SECOND)

    def _accept_one(self) -> None:
        sock, address = self.sock.accept()
        host = address and address[0]
        number = next(self._numbers)
        failures = 0
        while True:
            try:
                self.on_accepted(number, sock, host, self.capacity.release)
                return
            except OSError as error:
                # Guards against a request that is lost with its connection: it waits until it can be served.
                if self._is_stopped:
                    sock.close()
                    raise
                logger.warning("connection {}: {}; trying again", number, error.strerror)
                failures += 1
                self._pause(failures)

    def stop(self) -> None:
        """Stop listening, after the backlog is accepted: a reset would lose requests.

        No connection is made from the first look at the backlog on; a peer that tries is refused at its next
        attempt.
        """
        self._is_stopped = True
        with suppress(OSError):  # without it, one that is made before the listener closes may be reset
            ignore_new_connections(self.sock)
        self.sock.setblocking(False)
        failures = 0
        while failures <= MAX_CONSECUTIVE_FAILURES and self.capacity.acquire(blocking=False):
            try:
                self._accept_one()
                failures = 0
            except BlockingIOError:
                self.capacity.release()
                break  # the backlog is empty
            except OSError as error:
                self.capacity.release()
                failures += 1
                logger.warning("accept, at the end of listening: {}", error.strerror)
        shut_down(self.sock, socket.SHUT_RDWR)
