"""The listening socket, and the limit on accepted connections.

A `Listener` owns its socket and assigns the numbers of accepted connections. It must never read from an
accepted connection.
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

INITIAL_BACKOFF_US = 1_000
MAX_BACKOFF_DOUBLINGS = 10
MAX_CONSECUTIVE_FAILURES = 32  # failures of accept(2) that are retried without a backoff

# The function that takes over an accepted connection. Its arguments are the connection's number, its socket,
# the peer's host, and a function that must be called once the socket's descriptor is free. If it raises
# OSError, because the connection cannot be served yet, the listener calls it again after a backoff.
OnAccepted = Callable[[int, socket.socket, str | None, Callable[[], None]], None]


class Listener:
    """Accepts dispatchers' connections and numbers them in ascending order from 1.

    At most `limits.max_accepted` connections are open at once, so that descriptors remain for the node's own
    connections and files. Further connections wait in the kernel's backlog until one closes.
    """

    def __init__(self, address: tuple[str, int], limits: Limits) -> None:
        self.capacity = threading.Semaphore(limits.max_accepted)
        self.on_accepted: OnAccepted  # must be set before `accept` or `stop` is called
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
        """Pass each connection to `on_accepted` until `stop` is called; runs in a thread of its own."""
        last_logged_errno: int | None = None
        failures = 0  # number of consecutive calls of accept(2) that failed
        while not self._is_stopped:
            self.capacity.acquire()
            try:
                self._accept_one()
            except OSError as error:
                self.capacity.release()
                if self._is_stopped:
                    return
                failures += 1
                if error.errno != last_logged_errno:
                    logger.warning("accept failed: {}; retrying", error.strerror)
                last_logged_errno = error.errno
                # Without the backoff, a shortage of descriptors or memory would cause a busy loop. An error
                # of a single connection delays the others only after many failures in a row.
                if error.errno not in CONNECTION_ERRORS or failures > MAX_CONSECUTIVE_FAILURES:
                    self._back_off(failures)
                continue
            last_logged_errno = None
            failures = 0

    def _back_off(self, failures: int) -> None:
        """Sleep; the delay doubles with each consecutive failure, up to `limits.accept_retry_delay_us`."""
        delay_us = INITIAL_BACKOFF_US << min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        sleep(min(delay_us, self._limits.accept_retry_delay_us) / MICROSECONDS_PER_SECOND)

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
                # Closing the connection would lose its request, so the connection waits until it can be
                # served.
                if self._is_stopped:
                    sock.close()
                    raise
                logger.warning("connection {} cannot be served yet: {}; retrying", number, error.strerror)
                failures += 1
                self._back_off(failures)

    def stop(self) -> None:
        """Accept the backlog and stop listening.

        Closing the socket would reset the connections in the backlog and lose their requests. New connection
        requests (SYN) are ignored while the backlog is accepted; a peer is refused when it retransmits its
        SYN.
        """
        self._is_stopped = True
        with suppress(OSError):  # if SYNs cannot be ignored, a new connection may be reset
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
                logger.warning("accept failed while accepting the backlog at shutdown: {}", error.strerror)
        shut_down(self.sock, socket.SHUT_RDWR)
